package placement

import (
	"pipitgap/internal/agents"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/resources"
	"pipitgap/internal/scheduling"
)

const (
	// preemptionTimeout is how long room that was made for a job is waited for before more is made.
	preemptionTimeout = 3 * monotime.Second
	// maxPreemptionsPerPass is for how many tasks of a job a pass makes room at most.
	maxPreemptionsPerPass = 8
	// imageFetchLossPerGB is how many CPU seconds of lost work avoiding the fetch of a gigabyte of an image
	// is worth.
	imageFetchLossPerGB = 8
	// imageFetchLossPerCPU is how many CPU seconds of lost work for each of its CPUs a service
	// is worth that starts beside its image rather than fetching it.
	imageFetchLossPerCPU = 24
)

// pendingPreemption is the room being made for a job.
type pendingPreemption struct {
	expiresAt monotime.Micros
	machines  map[string]bool // what is free on them until then is the job's
}

// preemptionRequest requests room for tasks of a job by stopping others.
type preemptionRequest struct {
	job        *mirror.Job
	tasks      int // for how many of its tasks
	zones      *scheduling.ZoneConstraint
	candidates []*candidateMachine
	now        monotime.Micros
	// Only machines that have the job's image, and only for a small loss.
	cachedImageOnly bool
}

// preemptionPlan is what is to be stopped on a machine for one task.
type preemptionPlan struct {
	candidate *candidateMachine
	scheduling.VictimSelection
}

// isPreempting reports whether tasks are being stopped for a job.
func (sc *Scheduler) isPreempting(job string, now monotime.Micros) bool {
	pending := sc.preemptions[job]
	return pending != nil && now < pending.expiresAt
}

// preemptFor stops tasks so that up to as many tasks of a job as requested get room on the partition's
// machines; the cheapest loss first, see mayPreempt. For its priority only a service preempts: an array gains
// little by it and the work thrown away is paid for. It reports whether room is being made.
func (sc *Scheduler) preemptFor(request preemptionRequest) bool {
	job := request.job
	if sc.isPreempting(job.ID, request.now) {
		return true
	}
	machines := map[string]bool{}
	for range min(request.tasks, maxPreemptionsPerPass) {
		plan, ok := sc.cheapestPreemption(&request)
		if !ok {
			break
		}
		sc.stopVictims("task preempted", plan.candidate, plan.Victims, job)
		machines[plan.candidate.MachineID] = true
	}
	return sc.recordPreemption(job, machines, request.now+preemptionTimeout)
}

// recordPreemption keeps the machines on which tasks were stopped for a job, and reports whether there are any.
func (sc *Scheduler) recordPreemption(
	job *mirror.Job,
	machines map[string]bool,
	expiresAt monotime.Micros,
) bool {
	if len(machines) == 0 {
		return false
	}
	sc.RequestPass()
	sc.preemptions[job.ID] = &pendingPreemption{expiresAt, machines}
	return true
}

// cheapestPreemption looks for the machine on which room for one task costs the least work. A sample of
// machines is enough when there are many: the loss hardly differs, and each look goes over all that runs
// there.
func (sc *Scheduler) cheapestPreemption(request *preemptionRequest) (best preemptionPlan, ok bool) {
	candidates := request.candidates
	for i := range min(len(candidates), sampleAboveMachines) {
		candidate := candidates[i]
		if len(candidates) > sampleAboveMachines {
			candidate = candidates[sc.deps.Environment.Rand().IntN(len(candidates))]
		}
		if !sc.mayPreemptOn(candidate, request.job, request.zones) {
			continue
		}
		plan, possible := sc.preemptionOn(candidate, request)
		if possible && (!ok || plan.LostCPUSeconds < best.LostCPUSeconds) {
			best, ok = plan, true
		}
	}
	return best, ok
}

// mayPreemptOn reports whether tasks may be stopped on a machine for a job.
func (sc *Scheduler) mayPreemptOn(
	candidate *candidateMachine,
	job *mirror.Job,
	zones *scheduling.ZoneConstraint,
) bool {
	return scheduling.MachineAllowed(&job.Record.Spec, candidate.Record) &&
		zones.Allows(candidate.Record.Zone) &&
		!sc.deps.Agents.Of(candidate.machine).IsStoppingAny() &&
		candidate.AvailableTo(job.ID)
}

// preemptionOn tells what to stop on a machine for one task. An image that would have to be fetched counts as
// a loss.
func (sc *Scheduler) preemptionOn(
	candidate *candidateMachine,
	request *preemptionRequest,
) (plan preemptionPlan, ok bool) {
	job, spec := request.job, &request.job.Record.Spec
	victimRequest := scheduling.VictimRequest{
		Need:             job.TaskResources,
		Service:          spec.Service,
		Priority:         spec.Priority,
		Free:             candidate.Free,
		ExceedsGuarantee: sc.exceedsGuarantee,
	}
	victims := sc.victimsOn(candidate.machine, request.now, func(victim *mirror.Job) bool {
		return victim.IsOpen() && sc.mayPreempt(job, victim)
	})
	selection, ok := victimRequest.Select(victims)
	if !ok {
		return preemptionPlan{}, false
	}
	hasImage := candidate.CachedImages[spec.Image]
	if !hasImage {
		selection.LostCPUSeconds += imageFetchLossPerGB * spec.ImageGB
	}
	worthwhile := hasImage && selection.LostCPUSeconds <= imageFetchLossPerCPU*job.TaskResources.CPUs
	if request.cachedImageOnly && !worthwhile {
		return preemptionPlan{}, false
	}
	return preemptionPlan{candidate, selection}, true
}

// victimsOn lists the tasks that run on a machine and may be stopped.
func (sc *Scheduler) victimsOn(
	machine *mirror.Machine,
	now monotime.Micros,
	mayStop func(victim *mirror.Job) bool,
) []scheduling.Victim {
	agent := sc.deps.Agents.Of(machine)
	var victims []scheduling.Victim
	for task, attemptNumber := range machine.Attempts {
		job, attempt := sc.deps.Mirror.Jobs[task.Job], agents.AttemptID{Task: task, Attempt: attemptNumber}
		if job == nil || !mayStop(job) || agent.HasOutcome(attempt) || agent.HasExited(attempt) {
			continue
		}
		spec := &job.Record.Spec
		lostSeconds := 0.0
		if since, running := agent.RunningSince(attempt); running {
			lostSeconds = (now - since).Seconds()
		}
		if spec.CheckpointS > 0 {
			lostSeconds = min(lostSeconds, spec.CheckpointS)
		}
		victims = append(victims, scheduling.Victim{
			Job:            task.Job,
			Task:           task.Index,
			Attempt:        attemptNumber,
			Team:           spec.Team,
			Priority:       spec.Priority,
			Need:           job.TaskResources,
			LostCPUSeconds: lostSeconds * job.TaskResources.CPUs,
			SaveSeconds:    spec.SaveS,
		})
	}
	return victims
}

// stopVictims has tasks on a machine stopped, and keeps what is free there for a job.
func (sc *Scheduler) stopVictims(
	message string,
	candidate *candidateMachine,
	victims []scheduling.Victim,
	job *mirror.Job,
) {
	agent := sc.deps.Agents.Of(candidate.machine)
	for _, victim := range victims {
		task := mirror.TaskID{Job: victim.Job, Index: victim.Task}
		agent.StopAttempt(agents.AttemptID{Task: task, Attempt: victim.Attempt})
		sc.deps.Log.Debug(message, "task", task.String(), "attempt", victim.Attempt,
			"machine", candidate.MachineID, "for_job", job.ID)
	}
	candidate.ReservedForJob = job.ID
	sc.deps.Agents.SyncCommands(candidate.machine)
}

// mayPreempt reports whether a task of victim may be stopped for job: one of lower priority
// for a service; one that another team runs beyond its guarantee, so that job's team
// gets its own. The protocol would let that be of any priority; of a higher one it
// would be placed again first, and the two would stop each other for ever. Services with a
// disruption budget aren't stopped for others.
func (sc *Scheduler) mayPreempt(job, victim *mirror.Job) bool {
	if sc.deps.Drains.ProtectsFromPreemption(victim) {
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

// entitledToGuarantee reports whether a job's team has a guarantee and the job's next task lies within it.
func (sc *Scheduler) entitledToGuarantee(job *mirror.Job) bool {
	limits, _ := sc.deps.Quota.Limits(job.Record.Spec.Team)
	return limits.Guaranteed() && sc.withinGuarantee(job)
}

// exceedsGuarantee reports whether a team uses more than its guarantee, less what is to be
// stopped of it.
func (sc *Scheduler) exceedsGuarantee(team string, stopping resources.Vector) bool {
	limits, _ := sc.deps.Quota.Limits(team)
	use := sc.deps.Mirror.UseByTeam[team].AddScaled(stopping, -1)
	return !limits.GuaranteeCovers(use)
}
