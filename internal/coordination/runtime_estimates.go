package coordination

import (
	"math"

	"pipitgap/internal/agents"
	"pipitgap/internal/config"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// recordExit learns from how an attempt ended.
func (sc *scheduler) recordExit(
	machine *mirror.Machine,
	job *mirror.Job,
	exit agents.Exit,
) {
	failures, taskReport := sc.c.agents.agentOf(machine).Failures(), &exit.Status
	switch taskReport.Cause {
	case protocol.CauseDone:
		if exit.Started && !job.Record.Spec.Service {
			ran := (sc.c.now() - exit.Since).Seconds()
			failures.RecordSpeed(ran, sc.expectedRunSeconds(&job.Record.Spec))
			sc.updateEstimateBias(&job.Record.Spec, ran)
		}
		failures.RecordCompletion()
		if tracking := sc.jobStates[job.ID]; tracking != nil {
			tracking.failedMachines, tracking.backoffDelay, tracking.retryAt = 0, 0, 0
			clear(tracking.excludedMachines)
		}
	case protocol.CauseError:
		sc.c.counters.jobsFailed++
		sc.recordFailure(machine, job)
		sc.c.log.Debug(
			"task failed",
			"task",
			exit.Task.String(),
			"attempt",
			taskReport.Attempt,
			"machine",
			machine.ID,
		)
	case protocol.CauseUnknown, protocol.CauseMachineFull, protocol.CauseBusy:
		tracking := sc.trackingOf(job.ID)
		tracking.placeNotBefore = max(tracking.placeNotBefore, sc.c.now()+500*monotime.Millisecond)
		sc.c.log.Debug("task start refused", "task", exit.Task.String(), "attempt", taskReport.Attempt,
			"machine", machine.ID, "reason", taskReport.Cause)
	}
}

// updateEstimateBias follows how far the owners' estimates of a class are off just now: on
// some days they are mostly too high or mostly too low.
func (sc *scheduler) updateEstimateBias(spec *storage.JobSpec, ran float64) {
	if spec.EstimateS <= 0 || ran <= 0 {
		return
	}
	const weight = 0.05
	sc.estimateBias[spec.Class] += weight * (math.Log(ran/spec.EstimateS) - sc.estimateBias[spec.Class])
}

// expectedRunSeconds is a task's estimate, corrected by what was learned.
func (sc *scheduler) expectedRunSeconds(spec *storage.JobSpec) float64 {
	return spec.EstimateS * math.Exp(min(max(sc.estimateBias[spec.Class], -1), 1))
}

// jobTracking is what a controller notes about a job beside the store.
type jobTracking struct {
	failedMachines   int             // machines of ours that it has failed on, with nothing completed since
	excludedMachines map[string]bool // those that it isn't tried on again
	lastFailureAt    monotime.Micros
	retryAt          monotime.Micros // if it fails everywhere: its next try
	backoffDelay     monotime.Micros // the pause before that
	trialDemandAt    monotime.Micros // when it was last demand, for a try, see mayAsk
	placeNotBefore   monotime.Micros // not to be placed before
	startedHighWater int             // tasks that it had begun when it last got on
	startedTarget    int             // tasks that it is to have begun before it is starved no more
	progressAt       monotime.Micros // when that was
	recordChangedAt  monotime.Micros // when its record last changed: who is to place its tasks
	reassignedAt     monotime.Micros // when its tasks were last handed to another partition
	finalSeenAt      monotime.Micros // when its answer was seen; 0: before we looked
	stolenTasks      int             // tasks that we have just taken over from other partitions
	stolenUntil      monotime.Micros
}

func (sc *scheduler) trackingOf(id string) *jobTracking {
	s := sc.jobStates[id]
	if s == nil {
		s = &jobTracking{excludedMachines: map[string]bool{}}
		sc.jobStates[id] = s
	}
	return s
}

// backOff backs a job that fails everywhere off, longer each time.
func (s *jobTracking) backOff(now monotime.Micros, settings config.Settings) {
	if s.backoffDelay == 0 {
		s.backoffDelay = settings.BackoffFirst.Micros()
	} else {
		s.backoffDelay = min(2*s.backoffDelay, settings.BackoffMax.Micros())
	}
	s.retryAt = now + s.backoffDelay
}
