package coordination

import (
	"sort"

	"pipitgap/internal/agents"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/resources"
	"pipitgap/internal/scheduling"
)

// preemptionTimeout is how long room that was made for a job is waited for before
// more is made.
const preemptionTimeout = 3 * monotime.Second

// imageFetchLossPerCPU is how many CPU seconds of lost work for each of its CPUs a service
// is worth that starts beside its image rather than fetching it.
const imageFetchLossPerCPU = 24

// pendingPreemption is the room being made for a job.
type pendingPreemption struct {
	tasks     int
	expiresAt monotime.Micros
	machines  map[string]bool // machines: what is free there until then is the job's
}

// preemptionVictim is a running task of lower priority.
type preemptionVictim struct {
	attempt        agents.AttemptID
	need           resources.Vector
	lostCPUSeconds float64 // CPU seconds of work that stopping it throws away
}

// preemptFor stops tasks so that up to want tasks of a job get room on our machines;
// the cheapest loss first, see mayPreempt. For its priority only a service preempts:
// an array gains little by it and the work thrown away is paid for. It tells
// whether room is being made. With beside, only machines that have the job's
// image count, and only a small loss is worth it.
func (sc *scheduler) preemptFor(
	job *mirror.Job,
	want int,
	zones *scheduling.ZoneConstraint,
	candidates []*candidateMachine,
	withImage bool,
	now monotime.Micros,
) bool {
	pending := sc.preemptions[job.ID]
	if pending != nil && now < pending.expiresAt {
		return true
	}
	made, on := 0, map[string]bool{}
	for ; made < min(want, 8); made++ {
		var best *candidateMachine
		var bestVictims []preemptionVictim
		bestLoss := 0.0
		// A sample of machines is enough when there are many: the loss hardly
		// differs, and each look goes over all that runs there.
		for i := 0; i < min(len(candidates), sampleAboveMachines); i++ {
			candidate := candidates[i]
			if len(candidates) > sampleAboveMachines {
				candidate = candidates[sc.c.env.Rand().IntN(len(candidates))]
			}
			machine := candidate.machine
			if !scheduling.MachineAllowed(&job.Record.Spec, candidate.Record) || !zones.Allows(candidate.Record.Zone) ||
				sc.c.agents.agentOf(machine).IsStoppingAny() ||
				!candidate.AvailableTo(job.ID) {
				continue
			}
			victims, loss, ok := sc.selectVictims(machine, job, candidate.Free, now)
			if !ok {
				continue
			}
			if !machine.CachedImages[job.Record.Spec.Image] {
				loss += 8 * job.Record.Spec.ImageGB
			}
			if withImage &&
				(!machine.CachedImages[job.Record.Spec.Image] || loss > imageFetchLossPerCPU*job.TaskResources.CPUs) {
				continue
			}
			if best == nil || loss < bestLoss {
				best, bestVictims, bestLoss = candidate, victims, loss
			}
		}
		if best == nil {
			break
		}
		for _, victim := range bestVictims {
			sc.c.agents.agentOf(best.machine).StopAttempt(victim.attempt)
			sc.c.log.Debug(
				"task preempted",
				"task",
				victim.attempt.Task.String(),
				"attempt",
				victim.attempt.Attempt,
				"machine",
				best.MachineID,
				"for_job",
				job.ID,
			)
		}
		best.ReservedForJob, on[best.MachineID] = job.ID, true
		sc.c.agents.syncCommands(best.machine)
	}
	if made == 0 {
		return false
	}
	sc.requestPass()
	sc.preemptions[job.ID] = &pendingPreemption{made, now + preemptionTimeout, on}
	return true
}

// mayPreempt tells whether a task of v may be stopped for j: one of lower priority
// for a service; one that another team runs beyond its guarantee, so that j's team
// gets its own. The protocol would let that be of any priority; of a higher one it
// would be placed again first, and the two would stop each other for ever. Services with a
// disruption budget aren't stopped for others.
func (sc *scheduler) mayPreempt(job, victim *mirror.Job) bool {
	if sc.c.drains.protectsFromPreemption(victim) {
		return false
	}
	if victim.Record.Spec.Priority < job.Record.Spec.Priority && job.Record.Spec.Service {
		return true
	}
	return victim.Record.Spec.Team != job.Record.Spec.Team && !victim.Record.Spec.Service &&
		victim.Record.Spec.Priority <= job.Record.Spec.Priority &&
		sc.entitledToGuarantee(job) &&
		sc.exceedsGuarantee(victim.Record.Spec.Team, resources.Vector{})
}

// entitledToGuarantee tells whether a job's next task is owed to its team: the team has a
// guarantee and the task lies within it.
func (sc *scheduler) entitledToGuarantee(job *mirror.Job) bool {
	limits, _ := sc.c.quota.Limits(job.Record.Spec.Team)
	return limits.Guaranteed() && sc.withinGuarantee(job)
}

// exceedsGuarantee tells whether a team uses more than its guarantee, less what is to be
// stopped of it.
func (sc *scheduler) exceedsGuarantee(name string, less resources.Vector) bool {
	limits, _ := sc.c.quota.Limits(name)
	use := sc.c.mirror.UseByTeam[name].AddScaled(less, -1)
	return !limits.GuaranteeCovers(use)
}

// selectVictims picks the tasks of a machine whose stop makes room for one task of
// a job, with least work lost.
func (sc *scheduler) selectVictims(
	machine *mirror.Machine,
	job *mirror.Job,
	free resources.Vector,
	now monotime.Micros,
) (victims []preemptionVictim, loss float64, ok bool) {
	var possible []preemptionVictim
	for task, attempt := range machine.Attempts {
		victim := sc.c.mirror.Jobs[task.Job]
		if victim == nil || !victim.IsOpen() || !sc.mayPreempt(job, victim) ||
			sc.c.agents.agentOf(machine).HasOutcome(agents.AttemptID{Task: task, Attempt: attempt}) {
			continue
		}
		key := agents.AttemptID{Task: task, Attempt: attempt}
		if sc.c.agents.agentOf(machine).HasExited(key) {
			continue
		}
		ran := 0.0
		if at, ok := sc.c.agents.agentOf(machine).RunningSince(key); ok {
			ran = (now - at).Seconds()
		}
		if cp := victim.Record.Spec.CheckpointS; cp > 0 {
			ran = min(ran, cp)
		}
		possible = append(
			possible,
			preemptionVictim{key, victim.TaskResources, ran * victim.TaskResources.CPUs},
		)
	}
	sort.Slice(possible, func(a, b int) bool {
		if possible[a].lostCPUSeconds != possible[b].lostCPUSeconds {
			return possible[a].lostCPUSeconds < possible[b].lostCPUSeconds
		}
		return possible[a].attempt.Task.String() < possible[b].attempt.Task.String()
	})
	taken := map[string]resources.Vector{}
	for _, victim := range possible {
		if job.TaskResources.FitsIn(free) {
			break
		}
		if spec := &sc.c.mirror.Jobs[victim.attempt.Task.Job].Record.Spec; !job.Record.Spec.Service ||
			spec.Priority >= job.Record.Spec.Priority {
			// Only what its team has beyond its guarantee may go.
			if !sc.exceedsGuarantee(spec.Team, taken[spec.Team]) {
				continue
			}
			taken[spec.Team] = taken[spec.Team].AddScaled(victim.need, 1)
		}
		free = free.AddScaled(victim.need, 1)
		loss += victim.lostCPUSeconds
		victims = append(victims, victim)
	}
	return victims, loss, job.TaskResources.FitsIn(free) && len(victims) > 0
}
