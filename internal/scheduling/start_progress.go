package scheduling

import "pipitgap/internal/monotime"

const (
	// starvationTimeout is how long an array may wait until the first of its tasks starts.
	starvationTimeout = 100 * monotime.Second
	// repeatedStarvationTimeout is the same once some have.
	repeatedStarvationTimeout = 45 * monotime.Second
	// catchUpTaskDivisor is which fraction of its waiting tasks a starved array gets before others.
	catchUpTaskDivisor = 4
)

// StartProgress follows how an array's tasks start. Under lasting load those that are late already, large or
// of low priority would never have their turn; an array is starved once nothing more of it has started for
// long, and stays so until a part of its waiting tasks has. The zero value has seen nothing.
type StartProgress struct {
	maxStarted     int             // most tasks that had started so far
	catchUpTarget  int             // tasks that are to have started before it is starved no more
	lastProgressAt monotime.Micros // when the high water last rose; 0: not seen yet
}

// Begun reports whether the job has been seen before.
func (p *StartProgress) Begun() bool { return p.lastProgressAt != 0 }

// Begin notes a job that is seen for the first time. waited is how long ago it was accepted: with nothing
// started it may have waited before this controller began.
func (p *StartProgress) Begin(started int, waited, now monotime.Micros) {
	p.lastProgressAt = max(1, now)
	if started == 0 {
		p.lastProgressAt = max(1, now-min(max(0, waited), 2*starvationTimeout))
	}
}

// Observe notes how many tasks have started by now.
func (p *StartProgress) Observe(started int, now monotime.Micros) {
	if started > p.maxStarted {
		p.maxStarted, p.lastProgressAt = started, now
	}
}

// CatchingUp reports whether the array is starved since earlier and hasn't got what it is to get: room comes
// bit by bit.
func (p *StartProgress) CatchingUp(started int) bool { return started < p.catchUpTarget }

// Stalled reports whether nothing has started for so long that the array is starved from now on.
func (p *StartProgress) Stalled(now monotime.Micros) bool {
	limit := starvationTimeout
	if p.maxStarted > 0 {
		limit = repeatedStarvationTimeout
	}
	return now-p.lastProgressAt > limit
}

// BeginCatchUp sets what a stalled array is to get, and reports whether that is anything. One of the
// scavenger class gets a single task, so that it begins, and never more: the rest is for spare room.
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

// Missing counts the tasks that a starved array still lacks, at least one.
func (p *StartProgress) Missing(started int) int { return max(1, p.catchUpTarget-started) }
