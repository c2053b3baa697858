package coordination

import (
	"math"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// Each small job costs as many changes as a large one. A team that sends them as fast
// as its users can would have most of the store's changes, and the others' jobs would
// neither be accepted nor placed. So what swarms goes last, with places of its own in
// the queue, and is what gets 429.
const (
	submissionRateWindow = 10 * monotime.Second // submissions that long ago count a third
	minBurstSubmissions  = 8                    // and so many that count make a swarm, if they are
	burstFraction        = 0.6                  // more than this part of all, or of the lowest priority
	contendedQueueAge    = 1200 * monotime.Millisecond
)

// submissionRate counts a team's submissions of jobs that may wait.
type submissionRate struct {
	decayingCount float64
	updatedAt     monotime.Micros
}

func (a *submissionRate) decayedCount(now monotime.Micros) float64 {
	if now > a.updatedAt {
		a.decayingCount *= math.Exp(-(now - a.updatedAt).Seconds() / submissionRateWindow.Seconds())
		a.updatedAt = now
	}
	return a.decayingCount
}

// isRateLimited tells whether a submission is to go after the others while changes are short:
// one of many that a team has sent lately, of the lowest priority, or while other teams
// send theirs too.
func (u *userAPI) isRateLimited(spec *storage.JobSpec) bool {
	if spec.Priority > int(protocol.Standard) || !u.storeContended() {
		return false
	}
	now := u.c.now()
	mine, all := 0.0, 0.0
	for _, team := range sortedmap.Keys(u.submissionRates) {
		n := u.submissionRates[team].decayedCount(now)
		all += n
		if team == spec.Team {
			mine = n
		}
	}
	return mine >= minBurstSubmissions &&
		(spec.Priority == int(protocol.BestEffort) || mine < all-1 && mine > burstFraction*all)
}

// maxQueuedBurstCalls is how many calls of swarms may wait.
func (u *userAPI) maxQueuedBurstCalls() int { return max(2, u.maxQueuedUserCalls()/4) }

// storeContended tells whether the store's changes are short: users wait, or shards and answers, with all
// that starts and ends, have waited for longer than a burst takes.
func (u *userAPI) storeContended() bool {
	now := u.c.now()
	return u.c.store.UserCallsWaiting() ||
		max(
			u.c.store.OldestWait(ratelimit.PriorityShardUpdate, now),
			u.c.store.OldestWait(ratelimit.PriorityJobResult, now),
		) > contendedQueueAge ||
		u.c.store.QueuedCalls(ratelimit.PriorityBurst) > 0
}

// countSubmission notes a submission for its team.
func (u *userAPI) countSubmission(spec *storage.JobSpec) {
	a := u.submissionRates[spec.Team]
	if a == nil {
		a = &submissionRate{}
		u.submissionRates[spec.Team] = a
	}
	a.decayedCount(u.c.now())
	a.decayingCount++
}

// priorityClassOf tells in which rank changes of a job's record go.
func (u *userAPI) priorityClassOf(spec *storage.JobSpec, otherwise ratelimit.Priority) ratelimit.Priority {
	if u.isRateLimited(spec) {
		return ratelimit.PriorityBurst
	}
	return otherwise
}
