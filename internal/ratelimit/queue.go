// Package ratelimit paces calls of a service with limited rates: token buckets, and a queue that hands out
// calls by priority. It holds no clock and makes no calls.
package ratelimit

import (
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

const (
	// shardMaxWait is how long users' calls go before shard work. A usual burst of submissions is over
	// sooner, and more of them must not keep tasks from starting and ending. Beyond it they take turns: if
	// the one that has waited longer always went first, users of the last live controller would wait for
	// seconds.
	shardMaxWait = 300 * monotime.Millisecond
	// shardTurnsPerBurstCall is how many calls of shard work go before a burst call while both wait: burst
	// calls must not wait for ever either, but tasks that start and end come first.
	shardTurnsPerBurstCall = 2
	// throttledPause is how long no call goes after one was throttled.
	throttledPause = 100 * monotime.Millisecond
)

// Call is a call that waits in a queue.
type Call struct {
	*protocol.StoreCall
	Priority Priority
	QueuedAt monotime.Micros
	OnResult func(protocol.StoreResult) // for whoever makes the call; the queue doesn't call it
}

// Rates are the budget of a token bucket.
type Rates struct {
	PerSecond float64 // tokens added
	Burst     float64 // tokens held at most
}

// Queue paces the calls of one controller to its share of the limits of the state service. Each call costs a
// read and its number of writes.
//
// Calls go by priority, and within one in their order, but for three kinds of turns: users' calls with shard
// work (updates and job results) that has waited for shardMaxWait; shard updates with job results, of which
// a shard of small jobs has very many; and burst calls, which get a turn among shard work.
type Queue struct {
	reads, writes TokenBucket
	inFlight      int
	maxInFlight   int
	pausedUntil   monotime.Micros
	waiting       [numPriorities][]Call

	userCallServedLast       bool // of users' calls and shard work, a user's call went last
	shardUpdateServedLast    bool // of shard updates and job results, a shard update went last
	shardCallsSinceBurstCall int  // calls of shard work since the last burst call
}

// NewQueue makes a queue without budget, of which so many calls may be in flight at a time. Leases aren't
// bound by that, but count.
func NewQueue(maxInFlight int) *Queue { return &Queue{maxInFlight: maxInFlight} }

// SetRates sets the budgets of reads and writes. Tokens that are left stay.
func (q *Queue) SetRates(reads, writes Rates) {
	q.reads.Rate, q.reads.Burst = reads.PerSecond, reads.Burst
	q.writes.Rate, q.writes.Burst = writes.PerSecond, writes.Burst
}

// WritesPerSecond is the rate of the budget of writes.
func (q *Queue) WritesPerSecond() float64 { return q.writes.Rate }

// HasSpareWrites reports whether a fraction of the burst of writes is left.
func (q *Queue) HasSpareWrites(now monotime.Micros, fraction float64) bool {
	return q.writes.WaitTime(now, fraction*q.writes.Burst) == 0
}

// TakeRead takes the cost of a call that is made beside the queue; the budget may go into debt.
func (q *Queue) TakeRead() { q.reads.Take(1) }

// Add queues a call.
func (q *Queue) Add(call Call) { q.waiting[call.Priority] = append(q.waiting[call.Priority], call) }

// Requeue puts a call that was throttled in front of its priority again, and pauses the queue.
func (q *Queue) Requeue(call Call, now monotime.Micros) {
	q.waiting[call.Priority] = append([]Call{call}, q.waiting[call.Priority]...)
	q.reads.Empty()
	q.writes.Empty()
	q.pausedUntil = now + throttledPause
}

// CallDone notes that a call of Next is in flight no longer.
func (q *Queue) CallDone() { q.inFlight-- }

// Len counts the waiting calls of a priority.
func (q *Queue) Len(priority Priority) int { return len(q.waiting[priority]) }

// OldestWait returns how long the first call of a priority has waited, 0 if none waits.
func (q *Queue) OldestWait(priority Priority, now monotime.Micros) monotime.Micros {
	if len(q.waiting[priority]) == 0 {
		return 0
	}
	return now - q.waiting[priority][0].QueuedAt
}

// Next hands out a call that may be made now, or tells how long to wait for one (0 without a call: nothing
// waits, or too much is in flight). Leases go into debt rather than wait: a controller must not lose its
// lease to its own load.
func (q *Queue) Next(now monotime.Micros) (call Call, ok bool, wait monotime.Micros) {
	for p := range q.waiting {
		priority := q.priorityAt(Priority(p), now)
		if len(q.waiting[priority]) == 0 {
			continue
		}
		if priority != PriorityLease {
			if q.inFlight >= q.maxInFlight {
				return Call{}, false, 0
			}
			if wait := q.budgetWait(q.waiting[priority][0], now); wait > 0 {
				return Call{}, false, wait
			}
		}
		return q.take(priority), true, 0
	}
	return Call{}, false, 0
}

// priorityAt returns the priority whose calls go at the place of the one given.
func (q *Queue) priorityAt(priority Priority, now monotime.Micros) Priority {
	if priority == PriorityUserRequest && q.shardWorkPrecedesUserCalls(now) {
		priority = q.nextShardPriority()
	}
	if priority != PriorityShardUpdate {
		return priority
	}
	if q.shardCallsSinceBurstCall >= shardTurnsPerBurstCall && len(q.waiting[PriorityBurst]) > 0 {
		return PriorityBurst
	}
	return q.nextShardPriority()
}

// shardWorkPrecedesUserCalls reports whether shard work has waited so long that it goes before users' calls this
// time.
func (q *Queue) shardWorkPrecedesUserCalls(now monotime.Micros) bool {
	return q.OldestWait(q.nextShardPriority(), now) > shardMaxWait &&
		(q.userCallServedLast || len(q.waiting[PriorityUserRequest]) == 0)
}

// nextShardPriority reports whether a shard update goes next or a job result: they take turns. A shard of small
// jobs has as many results as jobs; if these went first, the next updates, with all tasks that start and
// machines that have joined, would wait behind them.
func (q *Queue) nextShardPriority() Priority {
	if len(q.waiting[PriorityJobResult]) > 0 &&
		(q.shardUpdateServedLast || len(q.waiting[PriorityShardUpdate]) == 0) {
		return PriorityJobResult
	}
	return PriorityShardUpdate
}

// budgetWait returns how long to wait until a call may be made, 0 if it may now.
func (q *Queue) budgetWait(call Call, now monotime.Micros) monotime.Micros {
	budgetWait := max(q.reads.WaitTime(now, 1), q.writes.WaitTime(now, float64(call.Writes())))
	return max(0, budgetWait, q.pausedUntil-now)
}

// take hands out the first call of a priority and notes whose turn it was.
func (q *Queue) take(priority Priority) Call {
	call := q.waiting[priority][0]
	q.waiting[priority][0] = Call{} // the array behind must not keep what the call refers to
	q.waiting[priority] = q.waiting[priority][1:]
	q.reads.Take(1)
	q.writes.Take(float64(call.Writes()))
	q.inFlight++
	switch priority {
	case PriorityUserRequest:
		q.userCallServedLast = true
	case PriorityShardUpdate, PriorityJobResult:
		q.userCallServedLast, q.shardUpdateServedLast = false, priority == PriorityShardUpdate
		q.shardCallsSinceBurstCall++
	case PriorityBurst:
		q.shardCallsSinceBurstCall = 0
	}
	return call
}
