package coordination

import (
	"pipitgap/internal/mirror"
	"pipitgap/internal/scheduling"
	"pipitgap/internal/storage"
)

// partitionCapacity is the free room of every partition, from the mirror.
type partitionCapacity struct {
	core              *Controller
	partitions        map[string][]*candidateMachine
	preemptionTargets map[preemptorClass]string // what bestPreemptionTarget has found
}

// preemptorClass is what decides whose work may be stopped for a job.
type preemptorClass struct {
	shape    scheduling.TaskShape
	service  bool
	priority int
}

func (sc *scheduler) capacityByPartition() *partitionCapacity {
	fc := &partitionCapacity{
		core:              sc.c,
		partitions:        map[string][]*candidateMachine{},
		preemptionTargets: map[preemptorClass]string{},
	}
	reserved := sc.c.drains.ReservedByMachine()
	for _, machine := range sc.c.mirror.Machines {
		if machine.Record == nil || machine.Record.State != storage.MachineOpen ||
			!sc.c.membership.IsMember(machine.Owner()) {
			continue
		}
		machineType, ok := sc.c.catalog.machineTypes[machine.Record.Type]
		if !ok {
			continue
		}
		fc.partitions[machine.Owner()] = append(
			fc.partitions[machine.Owner()],
			newCandidateMachine(machine, machine.Record, mirror.MachineCapacity(&machineType).
				AddScaled(machine.Used, -1).
				AddScaled(reserved[machine.ID], -1)),
		)
	}
	return fc
}

// tasksFitting counts the tasks of a job that fit into a partition.
func (p *partitionCapacity) tasksFitting(spec *storage.JobSpec, partition string) int {
	taskResources := mirror.TaskResources(spec)
	n := 0
	for _, candidate := range p.partitions[partition] {
		if scheduling.MachineAllowed(spec, candidate.Record) {
			n += taskResources.CountIn(candidate.Free)
		}
	}
	return n
}

// partitionForNewJob names the part with most room for a new job; for a service, one that
// has its image too comes first. If none has room: the part that could make
// most, or ours.
func (sc *scheduler) partitionForNewJob(spec *storage.JobSpec) string {
	fc := sc.capacityByPartition()
	best, most := sc.c.node, 0
	for _, score := range []func(string) int{
		func(node string) int { return fc.tasksFittingWithImage(spec, node) },
		func(node string) int { return fc.machinesAfterPreemption(spec, node, true) },
		func(node string) int { return fc.tasksFitting(spec, node) },
		func(node string) int { return fc.machinesAfterPreemption(spec, node, false) },
	} {
		for _, node := range append([]string{sc.c.node}, sc.c.reachability.ConnectedControllers()...) {
			if r := score(node); r > most {
				best, most = node, r
			}
		}
		if most > 0 {
			break
		}
	}
	return best
}

// tasksFittingWithImage counts a service's tasks that fit beside their image.
func (p *partitionCapacity) tasksFittingWithImage(spec *storage.JobSpec, partition string) int {
	if !spec.Service {
		return 0
	}
	taskResources := mirror.TaskResources(spec)
	n := 0
	for _, candidate := range p.partitions[partition] {
		if candidate.machine.CachedImages[spec.Image] && scheduling.MachineAllowed(spec, candidate.Record) {
			n += taskResources.CountIn(candidate.Free)
		}
	}
	return n
}

// machinesAfterPreemption counts the machines of a partition on which a service would fit if tasks
// of lower priority were stopped; with beside, only those that have its image.
func (p *partitionCapacity) machinesAfterPreemption(
	spec *storage.JobSpec,
	partition string,
	withImage bool,
) int {
	if !spec.Service {
		return 0
	}
	taskResources := mirror.TaskResources(spec)
	n := 0
	for _, candidate := range p.partitions[partition] {
		if !scheduling.MachineAllowed(spec, candidate.Record) ||
			withImage && !candidate.machine.CachedImages[spec.Image] {
			continue
		}
		free := candidate.Free
		for task := range candidate.machine.Attempts {
			if victim := p.core.mirror.Jobs[task.Job]; victim != nil &&
				victim.Record.Spec.Priority < spec.Priority {
				free = free.AddScaled(victim.TaskResources, 1)
			}
		}
		if taskResources.FitsIn(free) {
			n++
		}
	}
	return n
}

// bestPreemptionTarget names the other partition that could make room for a job on most
// machines by stopping what may be stopped for it, or "".
func (p *partitionCapacity) bestPreemptionTarget(job *mirror.Job, excluded string) string {
	spec := &job.Record.Spec
	preemptor := preemptorClass{scheduling.ShapeOf(spec, mirror.TaskResources(spec), spec.Team), spec.Service, spec.Priority}
	if partition, ok := p.preemptionTargets[preemptor]; ok {
		return partition
	}
	most, partition := 0, ""
	defer func() { p.preemptionTargets[preemptor] = partition }()
	for _, node := range p.core.membership.LiveControllers() {
		if node == excluded {
			continue
		}
		r := 0
		for _, candidate := range p.partitions[node] {
			free := candidate.Free
			for task := range candidate.machine.Attempts {
				if victim := p.core.mirror.Jobs[task.Job]; victim != nil && victim.IsOpen() &&
					p.core.scheduler.mayPreempt(job, victim) {
					free = free.AddScaled(victim.TaskResources, 1)
				}
			}
			if scheduling.MachineAllowed(&job.Record.Spec, candidate.Record) && job.TaskResources.FitsIn(free) {
				r++
			}
		}
		if r > most {
			most, partition = r, node
		}
	}
	return partition
}
