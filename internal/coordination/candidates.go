package coordination

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

// candidateMachine is a candidate of a placement pass together with what it stands for.
type candidateMachine struct {
	scheduling.Candidate
	machine *mirror.Machine
	update  *shards.Update // nil where only the room counts
}

// schedulable tells whether new tasks may go to a machine of ours: it is open, its
// worker has lately shown that our answers reach it, and nothing speaks against it.
func (sc *scheduler) schedulable(machine *mirror.Machine, now monotime.Micros) bool {
	agent := sc.c.agents.Of(machine)
	return agent != nil && agent.AcceptsTasks(now, sc.c.durations.PlacementSilenceLimit) &&
		!sc.machineFault(agent).Doubtful
}

// candidateMachines lists the machines of the updates that may get tasks.
func (sc *scheduler) candidateMachines(updates []*shards.Update, now monotime.Micros) []*candidateMachine {
	var out []*candidateMachine
	for _, update := range updates {
		for _, id := range sortedmap.Keys(update.Machines()) {
			record, machine := update.Machines()[id], sc.c.mirror.Machines[id]
			if machine == nil || machine.Record == nil || record.State != storage.MachineOpen ||
				!sc.schedulable(machine, now) {
				continue
			}
			machineType, ok := sc.c.catalog.MachineTypes()[record.Type]
			if !ok {
				continue
			}
			free := mirror.MachineCapacity(&machineType).AddScaled(machine.Used, -1)
			candidate := newCandidateMachine(machine, record, update.FreeAfter(id, free), update)
			candidate.TypeCPUs = machineType.CPUs
			candidate.ServiceCPUs = sc.serviceCPUs(machine)
			candidate.Closing = sc.c.emptyMachines.isClosed(id)
			out = append(out, candidate)
		}
	}
	return out
}

// newCandidate describes a machine of which only the room counts.
func newCandidate(
	machine *mirror.Machine,
	record *storage.ShardMachine,
	free resources.Vector,
) scheduling.Candidate {
	return scheduling.Candidate{
		MachineID:    machine.ID,
		Record:       record,
		Free:         free,
		TaskCount:    len(machine.Attempts),
		CachedImages: machine.CachedImages,
	}
}

// newCandidateMachine makes a candidate for the tasks that an update assigns.
func newCandidateMachine(
	machine *mirror.Machine,
	record *storage.ShardMachine,
	free resources.Vector,
	update *shards.Update,
) *candidateMachine {
	candidate := &candidateMachine{newCandidate(machine, record, free), machine, update}
	candidate.Shard = update
	return candidate
}

// reservePreemptedRoom keeps the machines on which tasks are being stopped for a job, as long as
// it still waits and the room may be about to be there.
func (sc *scheduler) reservePreemptedRoom(candidates []*candidateMachine, now monotime.Micros) {
	jobByMachine := map[string]string{}
	for id, pending := range sc.preemptions {
		if job := sc.c.mirror.Jobs[id]; job != nil && job.IsOpen() && job.UnassignedTasks() > 0 &&
			now < pending.expiresAt {
			for m := range pending.machines {
				jobByMachine[m] = id
			}
		}
	}
	for _, candidate := range candidates {
		candidate.ReservedForJob = jobByMachine[candidate.MachineID]
	}
}

// assignmentShardBytes is how large a shard may get by assignments.
func (sc *scheduler) assignmentShardBytes() int {
	return shards.FillBytes(sc.c.maxValueBytes())
}

// shardBytesFor is how large a shard may get by a job's tasks. A machine takes as many tasks
// as its shard has bytes for: thousands of tiny ones filled the shards, and others found
// no machine beside room for all of them.
func (sc *scheduler) shardBytesFor(spec *storage.JobSpec) int {
	if !spec.Service && spec.Priority == int(protocol.BestEffort) {
		return sc.assignmentShardBytes() * 8 / 10
	}
	return sc.assignmentShardBytes()
}

// holdMachinesFor keeps the machines nearest to having room for a job from what is less
// urgent in this pass. Else smaller tasks fill every gap as it opens, and a job
// of larger ones waits for as long as there are any.
func (sc *scheduler) holdMachinesFor(
	job *mirror.Job,
	candidates []*candidateMachine,
	zones *scheduling.ZoneConstraint,
	n int,
) {
	held := 0
	for _, candidate := range candidates {
		if candidate.HeldBack {
			held++
		}
	}
	// Few at a time: past what can be done, room that is kept is room wasted.
	n = min(n, max(1, len(candidates)/6)-held)
	for ; n > 0; n-- {
		var best *candidateMachine
		for _, candidate := range candidates {
			if candidate.HeldBack || candidate.ReservedForJob != "" ||
				!scheduling.MachineAllowed(&job.Record.Spec, candidate.Record) ||
				!zones.Allows(candidate.Record.Zone) {
				continue
			}
			machineType := sc.c.catalog.MachineTypes()[candidate.Record.Type]
			if job.TaskResources.FitsIn(mirror.MachineCapacity(&machineType)) &&
				(best == nil || candidate.Free.CPUs > best.Free.CPUs) {
				best = candidate
			}
		}
		if best == nil {
			return
		}
		best.HeldBack, best.Free = true, resources.Vector{}
	}
}

// serviceCPUs tells what services hold of a machine.
func (sc *scheduler) serviceCPUs(machine *mirror.Machine) float64 {
	n := 0.0
	for task := range machine.Attempts {
		if job := sc.c.mirror.Jobs[task.Job]; job != nil && job.Record.Spec.Service {
			n += job.TaskResources.CPUs
		}
	}
	return n
}
