package placement

import (
	"pipitgap/internal/agents"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/resources"
	"pipitgap/internal/scheduling"
)

const (
	// preemptionTimeout is how long a job waits for room that a preemption is making before it may preempt
	// again.
	preemptionTimeout = 3 * monotime.Second
	// maxPreemptionsPerPass is the maximum number of a job's tasks for which preemptFor makes room in one
	// pass.
	maxPreemptionsPerPass = 8
	// imageFetchLossPerGB is the cost of fetching one gigabyte of an image, expressed as CPU seconds of lost
	// work.
	imageFetchLossPerGB = 8
	// imageFetchLossPerCPU is the lost work, in CPU seconds per CPU of a service's task, that a preemption
	// may cause so that the service starts on a machine that has its image instead of fetching the image.
	imageFetchLossPerCPU = 24
)

// pendingPreemption is the room that a preemption is making for a job.
type pendingPreemption struct {
	expiresAt monotime.Micros
	machines  map[string]bool // their free room is reserved for the job until expiresAt
}

// preemptionRequest is a request to make room for tasks of a job by stopping other tasks.
type preemptionRequest struct {
	job        *mirror.Job
	tasks      int // number of its tasks that need room
	zones      *scheduling.ZoneConstraint
	candidates []*candidateMachine
	now        monotime.Micros
	// Preempt only on machines that have the job's image, and only if little work is lost.
	cachedImageOnly bool
}

// preemptionPlan is the set of tasks to stop on a machine to make room for one task.
type preemptionPlan struct {
	candidate *candidateMachine
	scheduling.VictimSelection
}

// isPreempting reports whether a preemption is still making room for a job.
func (sc *Scheduler) isPreempting(job string, now monotime.Micros) bool {
	pending := sc.preemptions[job]
	return pending != nil && now < pending.expiresAt
}

// preemptFor stops tasks so that up to request.tasks tasks of a job get room on this partition's machines. It
// starts with the machine where the least work is lost; mayPreempt decides which tasks it may stop. Only
// services preempt because of their priority: an array gains little by preemption, and the work that it would
// discard has already been paid for. preemptFor reports whether room is being made.
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

// recordPreemption records the machines on which tasks were stopped for a job, so that their free room is
// reserved for it, and reports whether there are any.
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

// cheapestPreemption finds the machine on which making room for one task loses the least work. If there are
// many machines, it examines a random sample: the loss hardly differs between machines, and examining a
// machine iterates over all tasks that run there.
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

// mayPreemptOn reports whether tasks may be stopped on a machine for a job. The job must be allowed to run
// there, and the machine must neither be stopping tasks already nor be reserved for another job.
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

// preemptionOn selects the tasks to stop on a machine to make room for one task; ok is false if that is not
// possible. If the machine lacks the image, the cost of fetching it counts as lost work.
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

// victimsOn lists the tasks on a machine that may be stopped: those of jobs that mayStop accepts, without
// attempts that have already ended.
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

// stopVictims requests the stop of tasks on a machine and reserves the free room there for a job.
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

// mayPreempt reports whether tasks of victim may be stopped for job. A service may preempt jobs of lower
// priority. A job within its team's guarantee may preempt arrays of another team that exceeds its own
// guarantee. The protocol allows the second case for any priority of the victim. A victim of higher priority,
// however, would be placed again first, and the two jobs would stop each other forever, so it is excluded.
// Services with a disruption budget are never stopped for other jobs.
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

// exceedsGuarantee reports whether a team uses more than its guarantee even after the resources in stopping,
// which its tasks are about to release, are subtracted.
func (sc *Scheduler) exceedsGuarantee(team string, stopping resources.Vector) bool {
	limits, _ := sc.deps.Quota.Limits(team)
	use := sc.deps.Mirror.UsageByTeam[team].AddScaled(stopping, -1)
	return !limits.GuaranteeCovers(use)
}
