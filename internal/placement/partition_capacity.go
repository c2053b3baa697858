package placement

import (
	"pipitgap/internal/mirror"
	"pipitgap/internal/resources"
	"pipitgap/internal/scheduling"
	"pipitgap/internal/storage"
)

// PartitionCapacity is the free room of every partition, computed from the mirror during a pass.
type PartitionCapacity struct {
	*scheduling.PartitionCapacity
	preemptionTargets map[preemptorClass]string // results of bestPreemptionTarget
}

// preemptorClass holds the properties of a job that determine which tasks may be stopped for it.
type preemptorClass struct {
	shape    scheduling.TaskShape
	service  bool
	priority int
}

// CapacityByPartition computes the free room of every partition's open machines, without the room that drains
// reserve.
func (sc *Scheduler) CapacityByPartition() *PartitionCapacity {
	capacity := &PartitionCapacity{scheduling.NewPartitionCapacity(), map[preemptorClass]string{}}
	reserved := sc.deps.Drains.ReservedByMachine()
	for _, machine := range sc.deps.Mirror.Machines {
		if machine.Record == nil || machine.Record.State != storage.MachineOpen ||
			!sc.deps.Membership.IsMember(machine.Owner()) {
			continue
		}
		machineType, ok := sc.deps.Catalog.MachineTypes()[machine.Record.Type]
		if !ok {
			continue
		}
		free := mirror.MachineCapacity(&machineType).Minus(machine.Used).Minus(reserved[machine.ID])
		capacity.Add(machine.Owner(), scheduling.MachineRoom{
			MachineID:    machine.ID,
			Record:       machine.Record,
			Free:         free,
			CachedImages: machine.CachedImages,
		})
	}
	return capacity
}

// tasksFitting counts the tasks of a job that fit into a partition.
func (p *PartitionCapacity) tasksFitting(spec *storage.JobSpec, partition string) int {
	return p.TasksFitting(spec, mirror.TaskResources(spec), partition)
}

// partitionForNewJob returns the partition with the most room for a new job. A service prefers, in this
// order: room on machines that have its image, machines with the image where preemption could make room, room
// on any machine, and any machine where preemption could make room. If no partition qualifies, this one gets
// the job.
func (sc *Scheduler) partitionForNewJob(spec *storage.JobSpec) string {
	capacity, need := sc.CapacityByPartition(), mirror.TaskResources(spec)
	fit := scheduling.PreemptionFit{Spec: spec, Need: need, Freed: func(machine string) resources.Vector {
		return sc.resourcesOn(machine, func(victim *mirror.Job) bool {
			return victim.Record.Spec.Priority < spec.Priority
		})
	}}
	partitions := append([]string{sc.config.Node}, sc.deps.Reachability.ConnectedControllers()...)
	tasksFitting := func(partition string) int { return capacity.TasksFitting(spec, need, partition) }
	if !spec.Service {
		return scheduling.BestPartition(partitions, sc.config.Node, tasksFitting)
	}
	fitWithImage := fit
	fitWithImage.RequireCachedImage = true
	return scheduling.BestPartition(
		partitions,
		sc.config.Node,
		func(partition string) int { return capacity.TasksFittingWithCachedImage(spec, need, partition) },
		func(partition string) int { return capacity.MachinesAfterPreemption(partition, fitWithImage) },
		tasksFitting,
		func(partition string) int { return capacity.MachinesAfterPreemption(partition, fit) },
	)
}

// resourcesOn returns the resources that tasks on a machine hold, for tasks whose job counts accepts.
func (sc *Scheduler) resourcesOn(machineID string, counts func(*mirror.Job) bool) resources.Vector {
	held := resources.Vector{}
	for task := range sc.deps.Mirror.Machines[machineID].Attempts {
		if job := sc.deps.Mirror.Jobs[task.Job]; job != nil && counts(job) {
			held = held.Plus(job.TaskResources)
		}
	}
	return held
}

// bestPreemptionTarget returns the other partition that could make room for a job by preemption on the most
// machines, or "" if none could.
func (sc *Scheduler) bestPreemptionTarget(capacity *PartitionCapacity, job *mirror.Job) string {
	spec := &job.Record.Spec
	preemptor := preemptorClass{
		scheduling.ShapeOf(spec, job.TaskResources, spec.Team),
		spec.Service,
		spec.Priority,
	}
	if partition, ok := capacity.preemptionTargets[preemptor]; ok {
		return partition
	}
	fit := scheduling.PreemptionFit{
		Spec: spec,
		Need: job.TaskResources,
		Freed: func(machine string) resources.Vector {
			return sc.resourcesOn(machine, func(victim *mirror.Job) bool {
				return victim.IsOpen() && sc.mayPreempt(job, victim)
			})
		},
	}
	partition := scheduling.BestPartition(
		sc.deps.Membership.LiveControllers(),
		"",
		func(partition string) int {
			if partition == sc.config.Node {
				return 0
			}
			return capacity.MachinesAfterPreemption(partition, fit)
		},
	)
	capacity.preemptionTargets[preemptor] = partition
	return partition
}
