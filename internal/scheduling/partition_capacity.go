package scheduling

import (
	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

// MachineRoom is a machine with what is free on it.
type MachineRoom struct {
	MachineID    string
	Record       *storage.ShardMachine
	Free         resources.Vector
	CachedImages map[string]bool // images that tasks have brought there
}

// PartitionCapacity is the free room of every partition.
type PartitionCapacity struct {
	machines map[string][]MachineRoom // by partition
}

// NewPartitionCapacity returns a capacity without machines.
func NewPartitionCapacity() *PartitionCapacity {
	return &PartitionCapacity{machines: map[string][]MachineRoom{}}
}

// Add counts a machine in.
func (p *PartitionCapacity) Add(partition string, machine MachineRoom) {
	p.machines[partition] = append(p.machines[partition], machine)
}

// TasksFitting counts the tasks of a job, each of which needs so much, that fit into a partition.
func (p *PartitionCapacity) TasksFitting(
	spec *storage.JobSpec,
	need resources.Vector,
	partition string,
) int {
	return p.countTasks(spec, need, partition, anyMachine)
}

// TasksFittingBesideImage counts those of a job's tasks that fit on machines which have their image.
func (p *PartitionCapacity) TasksFittingBesideImage(
	spec *storage.JobSpec,
	need resources.Vector,
	partition string,
) int {
	return p.countTasks(spec, need, partition, (*MachineRoom).hasImage)
}

// hasImage reports whether tasks have brought an image to the machine.
func (m *MachineRoom) hasImage(image string) bool { return m.CachedImages[image] }

// anyMachine is the condition of jobs for which every machine counts, whatever images it has.
func anyMachine(*MachineRoom, string) bool { return true }

// countTasks counts the tasks of a job that fit on those machines of a partition that count for its image.
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

// PreemptionFit is a task that may get room by stopping others.
type PreemptionFit struct {
	Spec        *storage.JobSpec
	Need        resources.Vector
	BesideImage bool // on machines that have its image only
	// Freed is what the tasks hold that may be stopped for it on a machine.
	Freed func(machine string) resources.Vector
}

// MachinesAfterPreemption counts the machines of a partition on which a task would fit after such stops.
func (p *PartitionCapacity) MachinesAfterPreemption(partition string, fit PreemptionFit) int {
	count := 0
	for i := range p.machines[partition] {
		machine := &p.machines[partition][i]
		if !MachineAllowed(fit.Spec, machine.Record) ||
			fit.BesideImage && !machine.hasImage(fit.Spec.Image) {
			continue
		}
		if fit.Need.FitsIn(machine.Free.Plus(fit.Freed(machine.MachineID))) {
			count++
		}
	}
	return count
}

// PartitionScore weighs a partition for a job; zero where it has nothing to offer.
type PartitionScore func(partition string) int

// BestPartition names the partition that the first score has most to offer by which any has; partitions come
// in order of preference, and the fallback is taken where no score finds anything.
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
