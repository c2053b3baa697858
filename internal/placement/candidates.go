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
	// bestEffortShardPercent is the part of a shard's fill limit that tasks of arrays of the lowest priority
	// may use.
	bestEffortShardPercent = 80
	// heldBackDivisor limits the machines that a pass holds back for more urgent jobs to 1/heldBackDivisor of
	// the candidates. Under overload, holding back more room than that only wastes it.
	heldBackDivisor = 6
)

// candidateMachine is a candidate of a placement pass with its machine and the update of the machine's shard.
type candidateMachine struct {
	scheduling.Candidate
	machine *mirror.Machine
	update  *shards.Update // the update of the machine's shard, which assigns tasks to it
}

// Schedulable reports whether a machine of this partition may get new tasks. Its worker must accept tasks,
// which requires that it has recently acknowledged an answer of this controller, and the machine must not be
// suspected to be faulty.
func (sc *Scheduler) Schedulable(machine *mirror.Machine, now monotime.Micros) bool {
	agent := sc.deps.Agents.Of(machine)
	return agent != nil && agent.AcceptsTasks(now, sc.config.PlacementSilenceLimit) &&
		!sc.MachineFault(agent).FailureProne
}

// candidateMachines returns the machines of the updates that may get tasks.
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
			candidate := newCandidateMachine(machine, record, update.FreeResourcesAfter(id, free), update)
			candidate.TypeCPUs = machineType.CPUs
			candidate.ServiceCPUs = sc.serviceCPUs(machine)
			candidate.Closing = sc.deps.ScaleIn.IsClosed(id)
			candidates = append(candidates, candidate)
		}
	}
	return candidates
}

// newCandidateMachine creates a candidate to which the given update assigns tasks.
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

// reservePreemptedRoom reserves each machine on which tasks are being stopped for a job for that job. The
// reservation lasts while the job has waiting tasks and the preemption has not expired.
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

// AssignmentShardBytes returns the limit in bytes up to which assignments may fill a shard.
func (sc *Scheduler) AssignmentShardBytes() int {
	return shards.FillBytes(sc.config.MaxValueBytes)
}

// shardBytesFor returns the size in bytes up to which a job's tasks may fill a shard. A machine can take new
// tasks only while its shard has bytes left. Arrays of the lowest priority have a lower limit: otherwise
// thousands of their tiny tasks could fill the shards, and other jobs would find no machine although the
// machines have room for all tasks.
func (sc *Scheduler) shardBytesFor(spec *storage.JobSpec) int {
	if !spec.Service && spec.Priority == int(protocol.BestEffort) {
		return sc.AssignmentShardBytes() * bestEffortShardPercent / wholePercent
	}
	return sc.AssignmentShardBytes()
}

// holdMachinesFor holds back machines for a job from less urgent jobs in this pass: up to the given number of
// those that are closest to having room for one of its tasks. Without that, smaller tasks fill every gap as
// it opens, and a job with larger tasks waits as long as there are smaller ones.
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

// closestToFitting returns the machine with the most free CPUs among those on which a task of the job would
// fit if they were empty. Machines that are held back or reserved do not count; it returns nil if no other is
// left.
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

// serviceCPUs returns the CPUs that services hold on a machine.
func (sc *Scheduler) serviceCPUs(machine *mirror.Machine) float64 {
	held := 0.0
	for task := range machine.Attempts {
		if job := sc.deps.Mirror.Jobs[task.Job]; job != nil && job.Record.Spec.Service {
			held += job.TaskResources.CPUs
		}
	}
	return held
}
