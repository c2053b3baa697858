package scheduling

import "pipitgap/internal/monotime"

// Backoff holds the first and the longest delay between trials of a crash-looping job. Each delay is twice
// the previous one (exponential backoff).
type Backoff struct{ First, Max monotime.Micros }

// JobFailures records the failures of a job that one controller has seen, and when the job may be tried
// again. The zero value has no failures. The read methods FailedMachines, LastFailureAt, Excludes and
// ExcludesAny accept a nil receiver.
type JobFailures struct {
	failedMachines   int             // machines that the job has failed on since a task last completed
	excludedMachines map[string]bool // machines that the job isn't placed on again
	lastFailureAt    monotime.Micros
	nextTrialAt      monotime.Micros
	backoffDelay     monotime.Micros // delay before the next trial; 0 without backoff
	trialDemandAt    monotime.Micros // when a machine was last requested for a trial; 0 if never
}

// FailedMachines returns the number of machines that the job has failed on since a task of it last completed.
func (f *JobFailures) FailedMachines() int {
	if f == nil {
		return 0
	}
	return f.failedMachines
}

// LastFailureAt returns when a task of the job last failed, or 0 if none has.
func (f *JobFailures) LastFailureAt() monotime.Micros {
	if f == nil {
		return 0
	}
	return f.lastFailureAt
}

// Excludes reports whether the job must not be placed on a machine again.
func (f *JobFailures) Excludes(machine string) bool { return f != nil && f.excludedMachines[machine] }

// ExcludesAny reports whether any machine is excluded for the job.
func (f *JobFailures) ExcludesAny() bool { return f != nil && len(f.excludedMachines) > 0 }

// Record records that a task of the job has failed on a machine.
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

// RecordCompletion records that a task of the job has completed. It clears the failures and the backoff.
func (f *JobFailures) RecordCompletion() {
	f.failedMachines = 0
	f.endBackoff()
	clear(f.excludedMachines)
}

// Withdraw removes the failures on a machine that turned out to be faulty, and ends the backoff.
func (f *JobFailures) Withdraw(machine string) {
	if !f.excludedMachines[machine] {
		return
	}
	delete(f.excludedMachines, machine)
	f.failedMachines = max(0, f.failedMachines-1)
	f.endBackoff()
}

// endBackoff allows an immediate trial. The next delay is again the first one.
func (f *JobFailures) endBackoff() { f.nextTrialAt, f.backoffDelay = 0, 0 }

// BackOff delays the next trial of a crash-looping job with exponential backoff. It does nothing while the
// current delay lasts.
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

// Trials returns how many tasks of a crash-looping job may be placed now: 1 if no task is assigned and the
// delay is over, otherwise 0. If other controllers found the job to be crash-looping, it starts with the
// first delay, which then grows as described at BackOff.
func (f *JobFailures) Trials(assignedTasks int, now monotime.Micros, limits Backoff) int {
	if f.backoffDelay == 0 {
		f.BackOff(now, limits)
	}
	if assignedTasks > 0 || now < f.nextTrialAt {
		return 0
	}
	if f.backoffDelay >= limits.Max {
		clear(f.excludedMachines) // at the longest delay, all machines may be tried again
	}
	return 1
}

// MayScaleOutForTrial reports whether a machine may be requested for a trial if no machine has room. It
// allows one request per longest delay. The failures may be the machines' fault after all, and if no other
// job keeps any machine running, the job would otherwise wait forever.
func (f *JobFailures) MayScaleOutForTrial(assignedTasks int, now monotime.Micros, limits Backoff) bool {
	return assignedTasks == 0 && (f.trialDemandAt == 0 || now-f.trialDemandAt >= limits.Max)
}

// RecordTrialDemand records that a machine is requested for a trial.
func (f *JobFailures) RecordTrialDemand(now monotime.Micros) { f.trialDemandAt = max(now, 1) }
