package scheduling

import (
	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

// MachineRoom is a machine with its free resources.
type MachineRoom struct {
	MachineID    string
	Record       *storage.ShardMachine
	Free         resources.Vector
	CachedImages map[string]bool // images that tasks have fetched to the machine
}

// PartitionCapacity holds the free resources of each partition's machines.
type PartitionCapacity struct {
	machines map[string][]MachineRoom // by partition
}

// NewPartitionCapacity returns a PartitionCapacity without machines.
func NewPartitionCapacity() *PartitionCapacity {
	return &PartitionCapacity{machines: map[string][]MachineRoom{}}
}

// Add adds a machine to a partition.
func (p *PartitionCapacity) Add(partition string, machine MachineRoom) {
	p.machines[partition] = append(p.machines[partition], machine)
}

// TasksFitting returns how many tasks of a job fit on a partition's machines. need is the resources of each
// task.
func (p *PartitionCapacity) TasksFitting(
	spec *storage.JobSpec,
	need resources.Vector,
	partition string,
) int {
	return p.countTasks(spec, need, partition, anyMachine)
}

// TasksFittingWithCachedImage is like TasksFitting but counts only machines that have the job's image.
func (p *PartitionCapacity) TasksFittingWithCachedImage(
	spec *storage.JobSpec,
	need resources.Vector,
	partition string,
) int {
	return p.countTasks(spec, need, partition, (*MachineRoom).hasImage)
}

// hasImage reports whether tasks have fetched an image to the machine.
func (m *MachineRoom) hasImage(image string) bool { return m.CachedImages[image] }

// anyMachine is a filter for countTasks that includes every machine, regardless of its images.
func anyMachine(*MachineRoom, string) bool { return true }

// countTasks returns how many tasks of a job fit on those machines of a partition that the filter includes.
func (p *PartitionCapacity) countTasks(
	spec *storage.JobSpec,
	need resources.Vector,
	partition string,
	includes func(machine *MachineRoom, image string) bool,
) int {
	tasks := 0
	for i := range p.machines[partition] {
		machine := &p.machines[partition][i]
		if includes(machine, spec.Image) && MachineAllowed(spec, machine.Record) {
			tasks += need.CountIn(machine.Free)
		}
	}
	return tasks
}

// PreemptionFit describes a task that may preempt other tasks to get room.
type PreemptionFit struct {
	Spec               *storage.JobSpec
	Need               resources.Vector
	RequireCachedImage bool // only consider machines that have the task's image
	// Freed returns the resources of those tasks on a machine that may be stopped for the task.
	Freed func(machine string) resources.Vector
}

// MachinesAfterPreemption returns the number of machines in a partition on which the task would fit after all
// permitted preemptions.
func (p *PartitionCapacity) MachinesAfterPreemption(partition string, fit PreemptionFit) int {
	count := 0
	for i := range p.machines[partition] {
		machine := &p.machines[partition][i]
		if !MachineAllowed(fit.Spec, machine.Record) ||
			fit.RequireCachedImage && !machine.hasImage(fit.Spec.Image) {
			continue
		}
		if fit.Need.FitsIn(machine.Free.Plus(fit.Freed(machine.MachineID))) {
			count++
		}
	}
	return count
}

// PartitionScore returns the suitability of a partition for a job, or 0 if the partition is unsuitable.
type PartitionScore func(partition string) int

// BestPartition returns the partition with the highest value of the first score that is positive for any
// partition. Among equal values, the first partition in the list wins, so partitions must be in order of
// preference. If no score is positive, BestPartition returns fallback.
func BestPartition(partitions []string, fallback string, scores ...PartitionScore) string {
	for _, score := range scores {
		best, bestScore := fallback, 0
		for _, partition := range partitions {
			if value := score(partition); value > bestScore {
				best, bestScore = partition, value
			}
		}
		if bestScore > 0 {
			return best
		}
	}
	return fallback
}
