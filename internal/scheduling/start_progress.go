package scheduling

import "pipitgap/internal/monotime"

const (
	// starvationTimeout is how long an array without started tasks may wait before it is starved.
	starvationTimeout = 100 * monotime.Second
	// repeatedStarvationTimeout is how long an array with started tasks may wait for the next start before it
	// is starved.
	repeatedStarvationTimeout = 45 * monotime.Second
	// catchUpTaskDivisor determines how many tasks of a starved array go before other jobs: the waiting tasks
	// divided by this number.
	catchUpTaskDivisor = 4
)

// StartProgress tracks the starts of an array's tasks to detect starvation. Under sustained load, arrays that
// are already late, large or of low priority would otherwise never start. An array is starved if no further
// task has started for a long time, and stays starved until a fraction of its waiting tasks has started. The
// zero value has no observations.
type StartProgress struct {
	maxStarted     int             // highest number of started tasks seen so far
	catchUpTarget  int             // number of started tasks at which the array is no longer starved
	lastProgressAt monotime.Micros // when maxStarted last grew; 0 before Begin
}

// Begun reports whether Begin has been called.
func (p *StartProgress) Begun() bool { return p.lastProgressAt != 0 }

// Begin starts tracking a job. waited is the time since the job was accepted. If no task has started, this
// time counts, up to twice starvationTimeout, because the job may have waited since before this controller
// started.
func (p *StartProgress) Begin(started int, waited, now monotime.Micros) {
	p.lastProgressAt = max(1, now)
	if started == 0 {
		p.lastProgressAt = max(1, now-min(max(0, waited), 2*starvationTimeout))
	}
}

// Observe records the number of tasks that have started.
func (p *StartProgress) Observe(started int, now monotime.Micros) {
	if started > p.maxStarted {
		p.maxStarted, p.lastProgressAt = started, now
	}
}

// CatchingUp reports whether the array was found starved earlier and its catch-up target isn't reached yet.
// Reaching the target can take several passes because room becomes available gradually.
func (p *StartProgress) CatchingUp(started int) bool { return started < p.catchUpTarget }

// Stalled reports whether the array has become starved because no further task has started within the
// timeout.
func (p *StartProgress) Stalled(now monotime.Micros) bool {
	limit := starvationTimeout
	if p.maxStarted > 0 {
		limit = repeatedStarvationTimeout
	}
	return now-p.lastProgressAt > limit
}

// BeginCatchUp sets the catch-up target of a stalled array and reports whether the array gets one. A
// scavenger array gets a single task, so that it starts, and gets no target once a task has started. Its
// other tasks use spare room only.
func (p *StartProgress) BeginCatchUp(started, waiting int, scavenger bool) bool {
	if !scavenger {
		p.catchUpTarget = started + max(1, waiting/catchUpTaskDivisor)
		return true
	}
	if p.maxStarted > 0 {
		return false
	}
	p.catchUpTarget = started + 1
	return true
}

// TasksToCatchUp returns the number of tasks that a starved array needs to reach its catch-up target, at least 1.
func (p *StartProgress) TasksToCatchUp(started int) int { return max(1, p.catchUpTarget-started) }
