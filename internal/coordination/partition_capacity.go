package coordination

import (
	"pipitgap/internal/mirror"
	"pipitgap/internal/resources"
	"pipitgap/internal/scheduling"
	"pipitgap/internal/storage"
)

// partitionCapacity is the free room of every partition, as a pass saw it in the mirror.
type partitionCapacity struct {
	*scheduling.PartitionCapacity
	preemptionTargets map[preemptorClass]string // what bestPreemptionTarget has found
}

// preemptorClass is what decides whose work may be stopped for a job.
type preemptorClass struct {
	shape    scheduling.TaskShape
	service  bool
	priority int
}

// capacityByPartition counts the free room of every partition's open machines.
func (sc *scheduler) capacityByPartition() *partitionCapacity {
	capacity := &partitionCapacity{scheduling.NewPartitionCapacity(), map[preemptorClass]string{}}
	reserved := sc.c.drains.ReservedByMachine()
	for _, machine := range sc.c.mirror.Machines {
		if machine.Record == nil || machine.Record.State != storage.MachineOpen ||
			!sc.c.membership.IsMember(machine.Owner()) {
			continue
		}
		machineType, ok := sc.c.catalog.MachineTypes()[machine.Record.Type]
		if !ok {
			continue
		}
		free := mirror.MachineCapacity(&machineType).Minus(machine.Used).Minus(reserved[machine.ID])
		capacity.Add(machine.Owner(), newCandidate(machine, machine.Record, free))
	}
	return capacity
}

// tasksFitting counts the tasks of a job that fit into a partition.
func (p *partitionCapacity) tasksFitting(spec *storage.JobSpec, partition string) int {
	return p.TasksFitting(spec, mirror.TaskResources(spec), partition)
}

// partitionForNewJob names the partition with most room for a new job; for a service, one that has its image
// too comes first. If none has room: the one that could make most by preemption for a service, or this one.
func (sc *scheduler) partitionForNewJob(spec *storage.JobSpec) string {
	capacity, need := sc.capacityByPartition(), mirror.TaskResources(spec)
	fit := scheduling.PreemptionFit{Spec: spec, Need: need, Freed: func(machine string) resources.Vector {
		return sc.resourcesOn(machine, func(victim *mirror.Job) bool {
			return victim.Record.Spec.Priority < spec.Priority
		})
	}}
	partitions := append([]string{sc.c.node}, sc.c.reachability.ConnectedControllers()...)
	tasksFitting := func(partition string) int { return capacity.TasksFitting(spec, need, partition) }
	if !spec.Service {
		return scheduling.BestPartition(partitions, sc.c.node, tasksFitting)
	}
	besideImage := fit
	besideImage.BesideImage = true
	return scheduling.BestPartition(
		partitions,
		sc.c.node,
		func(partition string) int { return capacity.TasksFittingBesideImage(spec, need, partition) },
		func(partition string) int { return capacity.MachinesAfterPreemption(partition, besideImage) },
		tasksFitting,
		func(partition string) int { return capacity.MachinesAfterPreemption(partition, fit) },
	)
}

// resourcesOn is what those tasks on a machine hold whose jobs are counted.
func (sc *scheduler) resourcesOn(machineID string, counts func(*mirror.Job) bool) resources.Vector {
	held := resources.Vector{}
	for task := range sc.c.mirror.Machines[machineID].Attempts {
		if job := sc.c.mirror.Jobs[task.Job]; job != nil && counts(job) {
			held = held.Plus(job.TaskResources)
		}
	}
	return held
}

// bestPreemptionTarget names the other partition that could make room for a job on most
// machines by stopping what may be stopped for it, or "".
func (sc *scheduler) bestPreemptionTarget(capacity *partitionCapacity, job *mirror.Job) string {
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
	partition := scheduling.BestPartition(sc.c.membership.LiveControllers(), "", func(partition string) int {
		if partition == sc.c.node {
			return 0
		}
		return capacity.MachinesAfterPreemption(partition, fit)
	})
	capacity.preemptionTargets[preemptor] = partition
	return partition
}
