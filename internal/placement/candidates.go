package placement

import (
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/resources"
	"pipitgap/internal/scheduling"
	"pipitgap/internal/shards"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

const (
	wholePercent = 100
	// bestEffortShardPercent is how much of what a shard may be filled to is for arrays of the lowest
	// priority.
	bestEffortShardPercent = 80
	// heldBackDivisor bounds how many of the candidates are kept for more urgent jobs in a pass: past what
	// can be done, room that is kept is room wasted.
	heldBackDivisor = 6
)

// candidateMachine is a candidate of a placement pass together with what it stands for.
type candidateMachine struct {
	scheduling.Candidate
	machine *mirror.Machine
	update  *shards.Update // the update of its shard, which assigns tasks to it
}

// Schedulable reports whether new tasks may go to a machine of this partition: its worker takes tasks, having
// acknowledged an answer recently, and the machine isn't suspected to be faulty.
func (sc *Scheduler) Schedulable(machine *mirror.Machine, now monotime.Micros) bool {
	agent := sc.deps.Agents.Of(machine)
	return agent != nil && agent.AcceptsTasks(now, sc.config.PlacementSilenceLimit) &&
		!sc.MachineFault(agent).Doubtful
}

// candidateMachines lists the machines of the updates that may get tasks.
func (sc *Scheduler) candidateMachines(updates []*shards.Update, now monotime.Micros) []*candidateMachine {
	var candidates []*candidateMachine
	for _, update := range updates {
		for _, id := range sortedmap.Keys(update.Machines()) {
			record, machine := update.Machines()[id], sc.deps.Mirror.Machines[id]
			if machine == nil || machine.Record == nil || record.State != storage.MachineOpen ||
				!sc.Schedulable(machine, now) {
				continue
			}
			machineType, ok := sc.deps.Catalog.MachineTypes()[record.Type]
			if !ok {
				continue
			}
			free := mirror.MachineCapacity(&machineType).AddScaled(machine.Used, -1)
			candidate := newCandidateMachine(machine, record, update.FreeAfter(id, free), update)
			candidate.TypeCPUs = machineType.CPUs
			candidate.ServiceCPUs = sc.serviceCPUs(machine)
			candidate.Closing = sc.deps.ScaleIn.IsClosed(id)
			candidates = append(candidates, candidate)
		}
	}
	return candidates
}

// newCandidateMachine makes a candidate for the tasks that an update assigns.
func newCandidateMachine(
	machine *mirror.Machine,
	record *storage.ShardMachine,
	free resources.Vector,
	update *shards.Update,
) *candidateMachine {
	return &candidateMachine{
		Candidate: scheduling.Candidate{
			MachineID:    machine.ID,
			Record:       record,
			Free:         free,
			TaskCount:    len(machine.Attempts),
			CachedImages: machine.CachedImages,
			Shard:        update,
		},
		machine: machine,
		update:  update,
	}
}

// reservePreemptedRoom keeps the machines on which tasks are being stopped for a job, as long as
// it still waits and the room may be about to be there.
func (sc *Scheduler) reservePreemptedRoom(candidates []*candidateMachine, now monotime.Micros) {
	jobByMachine := map[string]string{}
	for id, pending := range sc.preemptions {
		job := sc.deps.Mirror.Jobs[id]
		if job == nil || !job.IsOpen() || job.UnassignedTasks() <= 0 || now >= pending.expiresAt {
			continue
		}
		for machine := range pending.machines {
			jobByMachine[machine] = id
		}
	}
	for _, candidate := range candidates {
		candidate.ReservedForJob = jobByMachine[candidate.MachineID]
	}
}

// AssignmentShardBytes is how large a shard may get by assignments.
func (sc *Scheduler) AssignmentShardBytes() int {
	return shards.FillBytes(sc.config.MaxValueBytes)
}

// shardBytesFor is how large a shard may get by a job's tasks. A machine takes as many tasks as its shard has
// bytes for: thousands of tiny ones of the lowest priority must not fill the shards, so that others find no
// machine though there is room for all of them.
func (sc *Scheduler) shardBytesFor(spec *storage.JobSpec) int {
	if !spec.Service && spec.Priority == int(protocol.BestEffort) {
		return sc.AssignmentShardBytes() * bestEffortShardPercent / wholePercent
	}
	return sc.AssignmentShardBytes()
}

// holdMachinesFor keeps up to so many machines that are nearest to having room for a job from what is less
// urgent in this pass. Else smaller tasks fill every gap as it opens, and a job of larger ones waits for as
// long as there are any.
func (sc *Scheduler) holdMachinesFor(
	job *mirror.Job,
	candidates []*candidateMachine,
	zones *scheduling.ZoneConstraint,
	machines int,
) {
	held := 0
	for _, candidate := range candidates {
		if candidate.HeldBack {
			held++
		}
	}
	machines = min(machines, max(1, len(candidates)/heldBackDivisor)-held)
	for range machines {
		best := sc.closestToFitting(job, candidates, zones)
		if best == nil {
			return
		}
		best.HeldBack, best.Free = true, resources.Vector{}
	}
}

// closestToFitting finds the machine with the most CPUs free among those that a task of a job would fit on if
// they were empty; nil if there is none that isn't kept for others.
func (sc *Scheduler) closestToFitting(
	job *mirror.Job,
	candidates []*candidateMachine,
	zones *scheduling.ZoneConstraint,
) *candidateMachine {
	var best *candidateMachine
	for _, candidate := range candidates {
		if candidate.HeldBack || candidate.ReservedForJob != "" ||
			!scheduling.MachineAllowed(&job.Record.Spec, candidate.Record) ||
			!zones.Allows(candidate.Record.Zone) {
			continue
		}
		machineType := sc.deps.Catalog.MachineTypes()[candidate.Record.Type]
		if job.TaskResources.FitsIn(mirror.MachineCapacity(&machineType)) &&
			(best == nil || candidate.Free.CPUs > best.Free.CPUs) {
			best = candidate
		}
	}
	return best
}

// serviceCPUs counts the CPUs that services hold of a machine.
func (sc *Scheduler) serviceCPUs(machine *mirror.Machine) float64 {
	held := 0.0
	for task := range machine.Attempts {
		if job := sc.deps.Mirror.Jobs[task.Job]; job != nil && job.Record.Spec.Service {
			held += job.TaskResources.CPUs
		}
	}
	return held
}
