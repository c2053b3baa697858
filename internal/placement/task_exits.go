package placement

import (
	"pipitgap/internal/agents"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// refusedStartDelay is how long placement of a job is delayed after a worker refused to start one of its
// tasks.
const refusedStartDelay = 500 * monotime.Millisecond

// RecordExit records how an attempt ended, for later decisions about its job and its machine.
func (sc *Scheduler) RecordExit(machine *mirror.Machine, job *mirror.Job, exit agents.Exit) {
	status := &exit.Status
	switch status.Cause {
	case protocol.CauseDone:
		sc.recordCompletion(machine, job, exit)
	case protocol.CauseError:
		sc.counters.TasksFailed++
		sc.recordFailure(machine, job)
		sc.deps.Log.Debug("task failed", "task", exit.Task.String(), "attempt", status.Attempt,
			"machine", machine.ID)
	case protocol.CauseUnknown, protocol.CauseMachineFull, protocol.CauseBusy:
		sc.delayPlacement(job.ID, sc.deps.Environment.Now()+refusedStartDelay)
		sc.deps.Log.Debug("task start refused", "task", exit.Task.String(), "attempt", status.Attempt,
			"machine", machine.ID, "reason", status.Cause)
	}
}

// recordCompletion records the run time of a completed task, and that neither its machine nor its job is at
// fault.
func (sc *Scheduler) recordCompletion(machine *mirror.Machine, job *mirror.Job, exit agents.Exit) {
	spec, machineFailures := &job.Record.Spec, sc.deps.Agents.Of(machine).Failures()
	if exit.Started && !spec.Service {
		ranSeconds := (sc.deps.Environment.Now() - exit.RunningSince).Seconds()
		machineFailures.RecordSpeed(ranSeconds, sc.ExpectedRunSeconds(spec))
		sc.estimates.Observe(spec, ranSeconds)
	}
	machineFailures.RecordCompletion()
	if tracking := sc.trackingByJob[job.ID]; tracking != nil {
		tracking.failures.RecordCompletion()
	}
}

// ExpectedRunSeconds returns how many seconds a task of a job is expected to run; see
// scheduling.RuntimeEstimates.
func (sc *Scheduler) ExpectedRunSeconds(spec *storage.JobSpec) float64 {
	return sc.estimates.ExpectedSeconds(spec)
}
