package scheduling

import "pipitgap/internal/monotime"

// Backoff bounds the pauses between the trials of a job in a crash loop.
type Backoff struct{ First, Max monotime.Micros }

// JobFailures is what one controller has seen of a job's failures, and when the job is tried again. The zero
// value has seen none; reading a nil one is allowed.
type JobFailures struct {
	failedMachines   int             // machines it has failed on, with nothing completed since
	excludedMachines map[string]bool // machines it isn't tried on again
	lastFailureAt    monotime.Micros
	nextTrialAt      monotime.Micros
	backoffDelay     monotime.Micros // the pause before the next trial; 0: not backed off
	trialDemandAt    monotime.Micros // when a machine was last wanted for a trial; 0: never
}

// FailedMachines counts the machines that the job has failed on with nothing completed since.
func (f *JobFailures) FailedMachines() int {
	if f == nil {
		return 0
	}
	return f.failedMachines
}

// LastFailureAt is when a task of the job last failed; 0: never.
func (f *JobFailures) LastFailureAt() monotime.Micros {
	if f == nil {
		return 0
	}
	return f.lastFailureAt
}

// Excludes reports whether the job isn't tried on a machine again.
func (f *JobFailures) Excludes(machine string) bool { return f != nil && f.excludedMachines[machine] }

// ExcludesAny reports whether there is such a machine.
func (f *JobFailures) ExcludesAny() bool { return f != nil && len(f.excludedMachines) > 0 }

// Record notes that a task of the job has failed on a machine.
func (f *JobFailures) Record(machine string, now monotime.Micros) {
	f.lastFailureAt = now
	if f.excludedMachines[machine] {
		return
	}
	if f.excludedMachines == nil {
		f.excludedMachines = map[string]bool{}
	}
	f.excludedMachines[machine] = true
	f.failedMachines++
}

// RecordCompletion forgets the failures: a task of the job has completed.
func (f *JobFailures) RecordCompletion() {
	f.failedMachines = 0
	f.endBackoff()
	clear(f.excludedMachines)
}

// Withdraw takes back what the failures on a machine have said of the job: the machine is faulty.
func (f *JobFailures) Withdraw(machine string) {
	if !f.excludedMachines[machine] {
		return
	}
	delete(f.excludedMachines, machine)
	f.failedMachines = max(0, f.failedMachines-1)
	f.endBackoff()
}

// endBackoff lets the job be tried at once, and its next pause be the first again.
func (f *JobFailures) endBackoff() { f.nextTrialAt, f.backoffDelay = 0, 0 }

// BackOff puts off the next trial of a job in a crash loop, longer each time; it changes nothing while a
// pause lasts.
func (f *JobFailures) BackOff(now monotime.Micros, limits Backoff) {
	if now < f.nextTrialAt {
		return
	}
	if f.backoffDelay == 0 {
		f.backoffDelay = limits.First
	} else {
		f.backoffDelay = min(2*f.backoffDelay, limits.Max)
	}
	f.nextTrialAt = now + f.backoffDelay
}

// Trials returns how many tasks of a job in a crash loop may be placed now: one at a time, the next after a
// pause that grows. A job that other controllers found to be one begins with the first pause.
func (f *JobFailures) Trials(assignedTasks int, now monotime.Micros, limits Backoff) int {
	if f.backoffDelay == 0 {
		f.BackOff(now, limits)
	}
	if assignedTasks > 0 || now < f.nextTrialAt {
		return 0
	}
	if f.backoffDelay >= limits.Max {
		clear(f.excludedMachines) // at the longest pause every machine is tried again
	}
	return 1
}

// MayScaleOutForTrial reports whether a machine may be requested for a trial, if there is no room at all:
// once in the longest pause. The machines may be at fault after all, and where nothing else keeps any the job
// would wait for ever.
func (f *JobFailures) MayScaleOutForTrial(assignedTasks int, now monotime.Micros, limits Backoff) bool {
	return assignedTasks == 0 && (f.trialDemandAt == 0 || now-f.trialDemandAt >= limits.Max)
}

// RecordTrialDemand notes that a machine is wanted for a trial.
func (f *JobFailures) RecordTrialDemand(now monotime.Micros) { f.trialDemandAt = max(now, 1) }
