package coordination

import (
	"math"

	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/resources"
	"pipitgap/internal/scheduling"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// Bounds of one placement pass.
const (
	sampleAboveMachines    = 48    // with more machines than this, and
	sampleAboveComparisons = 20000 // more jobs times machines than this, a sample is looked at
	candidateSampleSize    = 24
	reassignmentInterval   = 1 * monotime.Second
	maxTasksPerMachine     = 300 // tasks on a machine: what a report of 64 KiB can name
)

// candidateMachine is a machine with the room that a pass still has on it.
type candidateMachine struct {
	machine        *mirror.Machine
	record         *storage.ShardMachine
	update         *ShardUpdate // nil where only the room counts
	freeResources  resources.Vector
	serviceCPUs    float64 // CPUs that services hold, this pass's too
	taskCount      int
	closing        bool   // closing: reopened if nothing else has room
	heldBack       bool   // kept for a more urgent job that hasn't room yet
	reservedForJob string // a job that tasks are being stopped for here
}

// availableTo tells whether a job may use what is free on a machine. Room that is being
// made is the job's it is made for: others' tasks took what was free there before the
// stopped ones were gone, and a service had tasks stopped three times over.
func (cd *candidateMachine) availableTo(job *mirror.Job) bool {
	return cd.reservedForJob == "" || cd.reservedForJob == job.ID
}

// schedulable tells whether new tasks may go to a machine of ours: it is open, its
// worker has lately shown that our answers reach it, and nothing speaks against it.
func (sc *scheduler) schedulable(machine *mirror.Machine, now monotime.Micros) bool {
	agent := sc.c.agents.agentOf(machine)
	if agent == nil || !agent.HasReported() || !agent.ClaimAcknowledged() || agent.LeaseExpired() ||
		agent.InterruptionNoticed() ||
		agent.RemovalReason() != "" ||
		!agent.IsReachable() {
		return false
	}
	if sc.machineFault(agent).Doubtful {
		return false
	}
	return now-agent.LastReachedAt() < sc.c.durations.PlacementSilenceLimit
}

// candidateMachines lists the machines of the updates that may get tasks.
func (sc *scheduler) candidateMachines(updates []*ShardUpdate, now monotime.Micros) []*candidateMachine {
	var out []*candidateMachine
	for _, update := range updates {
		for _, id := range sortedmap.Keys(update.Machines()) {
			record, machine := update.Machines()[id], sc.c.mirror.Machines[id]
			if machine == nil || machine.Record == nil || record.State != storage.MachineOpen ||
				!sc.schedulable(machine, now) {
				continue
			}
			machineType, ok := sc.c.catalog.machineTypes[record.Type]
			if !ok {
				continue
			}
			free := mirror.MachineCapacity(&machineType).AddScaled(machine.Used, -1)
			_, closed := sc.c.api.jobsClosedAt[id]
			candidate := &candidateMachine{
				machine:       machine,
				record:        record,
				update:        update,
				freeResources: update.FreeAfter(id, free),
				serviceCPUs:   sc.serviceCPUs(machine),
				taskCount:     len(machine.Attempts),
				closing:       closed,
			}
			out = append(out, candidate)
		}
	}
	return out
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
		candidate.reservedForJob = jobByMachine[candidate.machine.ID]
	}
}

// assignmentShardBytes is how large a shard may get by assignments.
func (sc *scheduler) assignmentShardBytes() int {
	return int(maxShardFill * float64(sc.c.maxValueBytes()))
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
		if candidate.heldBack {
			held++
		}
	}
	// Few at a time: past what can be done, room that is kept is room wasted.
	n = min(n, max(1, len(candidates)/6)-held)
	for ; n > 0; n-- {
		var best *candidateMachine
		for _, candidate := range candidates {
			if candidate.heldBack || candidate.reservedForJob != "" ||
				!scheduling.MachineAllowed(&job.Record.Spec, candidate.record) ||
				!zones.Allows(candidate.record.Zone) {
				continue
			}
			machineType := sc.c.catalog.machineTypes[candidate.record.Type]
			if job.TaskResources.FitsIn(mirror.MachineCapacity(&machineType)) &&
				(best == nil || candidate.freeResources.CPUs > best.freeResources.CPUs) {
				best = candidate
			}
		}
		if best == nil {
			return
		}
		best.heldBack, best.freeResources = true, resources.Vector{}
	}
}

// waitedForImage tells whether a job has waited too long to go on looking for a better
// place.
func (sc *scheduler) waitedForImage(job *mirror.Job, wall int64) bool {
	return wall-job.Record.AcceptedAt > int64(2*monotime.Second)
}

// chooseMachine picks the machine for a task: spot before ordinary where the job may,
// one that has the image, the tightest fit. Under overload it looks at a sample,
// and at all before it says that there is no room.
// preferred: candidates of the shard that the job's last task went to, tried first.
// given: only shards that give back enough of the team's share.
// idle: ordinary machines only where services keep them in any case.
func (sc *scheduler) chooseMachine(
	job *mirror.Job,
	candidates []*candidateMachine,
	zones *scheduling.ZoneConstraint,
	fencedUpdate *ShardUpdate,
	preferred []*candidateMachine,
	sample, freedQuotaOnly, spotOnly bool,
) *candidateMachine {
	var best *candidateMachine
	bestScore := math.Inf(1)
	spec := &job.Record.Spec
	failures := sc.failuresOf(job.ID)
	limit, conds := sc.shardBytesFor(spec)-len(job.ID)-32, 4*sc.c.cfg.Facts.State.TxnOps-4
	consider := func(candidate *candidateMachine) {
		sc.c.counters.machinesExamined++
		if !job.TaskResources.FitsIn(candidate.freeResources) || !candidate.availableTo(job) || !scheduling.MachineAllowed(spec, candidate.record) || !zones.Allows(candidate.record.Zone) || candidate.taskCount >= maxTasksPerMachine ||
			fencedUpdate != nil && candidate.update != fencedUpdate ||
			freedQuotaOnly && !job.TaskResources.FitsIn(candidate.update.FreedQuota(spec.Team)) ||
			candidate.update.MaxBytes() > limit ||
			candidate.update.Compares() >= conds && !candidate.update.AssignsJob(job.ID) {
			return
		}
		if failures.Excludes(candidate.machine.ID) ||
			spotOnly && !candidate.record.Spot && candidate.serviceCPUs == 0 {
			return
		}
		score := candidate.freeResources.CPUs
		if spec.Spot && !candidate.record.Spot && candidate.serviceCPUs == 0 {
			score += 10 * lessPreferredPenalty
		}
		if spec.Spot && candidate.record.Spot {
			// An ordinary machine with services stays in any case: filling it first
			// leaves spot machines to empty.
			score += spotBesideServicesPenalty
		}
		if candidate.closing {
			score += lessPreferredPenalty
		}
		if !candidate.machine.CachedImages[spec.Image] {
			score += imageFetchPenalty(spec)
		}
		if spec.Service {
			// Services last: kept together they leave other machines to empty. But
			// not too many: all of them go down with their machine.
			if most := sc.servicePackingTarget(sc.c.catalog.machineTypes[candidate.record.Type].CPUs); candidate.serviceCPUs <= most {
				score -= 8 * candidate.serviceCPUs
			} else {
				score += 8 * (candidate.serviceCPUs - most)
			}
		}
		if score < bestScore {
			best, bestScore = candidate, score
		}
	}
	if !spec.Service {
		// A job that stands in few shards takes little of each: every shard that names
		// it spends its id, two conditions, and numbers of tasks that are no ranges.
		for _, candidate := range preferred {
			consider(candidate)
		}
		if best != nil && bestScore < lessPreferredPenalty {
			return best
		}
	}
	if sample && len(candidates) > candidateSampleSize {
		for i := 0; i < candidateSampleSize; i++ {
			consider(candidates[sc.c.env.Rand().IntN(len(candidates))])
		}
		if best != nil {
			return best
		}
	}
	for _, candidate := range candidates {
		consider(candidate)
	}
	return best
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

// guaranteePreemptionDelay is how long a job within a guarantee looks for free room first.
const guaranteePreemptionDelay = 5 * monotime.Second / 2

// guaranteePreemptionBatch is how many tasks of a job get room by its team's guarantee at a time.
const guaranteePreemptionBatch = 4

// Services are drawn to a machine until they hold one of packedPart parts of it, or
// servicePackingFleetFraction of what all services hold, if that is more: then losing the machine is
// no more of a loss. servicePackingMaxFraction is the most that they are to hold.
const (
	servicePackingDivisor       = 4
	servicePackingFleetFraction = 0.02
	servicePackingMaxFraction   = 0.75
)

// servicePackingTarget is up to how many of a machine's CPUs services are drawn to it.
func (sc *scheduler) servicePackingTarget(cpus float64) float64 {
	return min(
		max(cpus/servicePackingDivisor, servicePackingFleetFraction*sc.serviceCPUsAssigned),
		servicePackingMaxFraction*cpus,
	)
}

// lessPreferredPenalty is what it costs a machine to be closing, or an ordinary one for a task
// that may use spot machines: more than anything else that is weighed.
const lessPreferredPenalty = 1e5

// spotBesideServicesPenalty is what a tight fit or an image at hand must be worth for a task to go
// to a spot machine rather than beside services.
const spotBesideServicesPenalty = 50

// imageFetchPenalty weighs an image fetch against a tighter fit: a service counts as
// started only once its image is there, and it stays, so it pays to wait for
// nothing else.
func imageFetchPenalty(spec *storage.JobSpec) float64 {
	if spec.Service {
		return 1000 + 4*spec.ImageGB
	}
	return 4 * spec.ImageGB
}
