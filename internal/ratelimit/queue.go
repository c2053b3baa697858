// Package ratelimit provides token buckets and a priority queue for calls to a service with rate limits. Its
// callers pass in the time and make the calls.
package ratelimit

import (
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

const (
	// shardMaxWait is the wait of shard work up to which user calls always go first. A typical burst of
	// submissions ends sooner, and a longer one must not keep tasks from starting and ending. Beyond this
	// wait, user calls and shard work alternate. Serving the oldest call first instead would make users of
	// the last live controller wait for seconds.
	shardMaxWait = 300 * monotime.Millisecond
	// shardTurnsPerBurstCall is the number of shard work calls before each burst call while both wait. Burst
	// calls must not starve, but starting and ending tasks is more important.
	shardTurnsPerBurstCall = 2
	// throttledPause is the time after a throttled call during which the queue hands out only lease calls.
	throttledPause = 100 * monotime.Millisecond
)

// Call is a queued call.
type Call struct {
	*protocol.StoreCall
	Priority Priority
	QueuedAt monotime.Micros
	OnResult func(protocol.StoreResult) // for the code that makes the call; the queue doesn't use it
}

// Rates configures a token bucket.
type Rates struct {
	PerSecond float64 // tokens added per second
	Burst     float64 // maximum number of tokens
}

// Queue limits the calls of one controller to its share of the state service's limits. Each call costs one
// read token and as many write tokens as it has writes.
//
// Calls are served by priority, and first in, first out within a priority, with three exceptions. User calls
// alternate with shard work (shard updates and job results) that has waited longer than shardMaxWait. Shard
// updates alternate with job results, because a shard of small jobs has very many results. A burst call gets
// a turn after every shardTurnsPerBurstCall calls of shard work.
type Queue struct {
	reads, writes TokenBucket
	inFlight      int
	maxInFlight   int
	pausedUntil   monotime.Micros
	waiting       [numPriorities][]Call

	userCallServedLast       bool // the last call among user calls and shard work was a user call
	shardUpdateServedLast    bool // the last call among shard work was a shard update, not a job result
	shardCallsSinceBurstCall int  // shard work calls since the last burst call
}

// NewQueue returns a queue without budget that allows maxInFlight calls in flight at a time. Lease calls may
// exceed this limit but count against it.
func NewQueue(maxInFlight int) *Queue { return &Queue{maxInFlight: maxInFlight} }

// SetRates sets the rates of the read and write budgets. It keeps the tokens that they hold.
func (q *Queue) SetRates(reads, writes Rates) {
	q.reads.Rate, q.reads.Burst = reads.PerSecond, reads.Burst
	q.writes.Rate, q.writes.Burst = writes.PerSecond, writes.Burst
}

// WritesPerSecond returns the rate of the write budget.
func (q *Queue) WritesPerSecond() float64 { return q.writes.Rate }

// HasSpareWrites reports whether at least the given fraction of the write burst is available.
func (q *Queue) HasSpareWrites(now monotime.Micros, fraction float64) bool {
	return q.writes.WaitTime(now, fraction*q.writes.Burst) == 0
}

// TakeRead takes the cost of a call that bypasses the queue from the read budget, which may go negative.
func (q *Queue) TakeRead() { q.reads.Take(1) }

// Add appends a call to the waiting calls of its priority.
func (q *Queue) Add(call Call) { q.waiting[call.Priority] = append(q.waiting[call.Priority], call) }

// Requeue puts a throttled call back in front of its priority. It empties both budgets and pauses the queue
// for throttledPause.
func (q *Queue) Requeue(call Call, now monotime.Micros) {
	q.waiting[call.Priority] = append([]Call{call}, q.waiting[call.Priority]...)
	q.reads.Empty()
	q.writes.Empty()
	q.pausedUntil = now + throttledPause
}

// CallDone records that a call that Next returned is no longer in flight.
func (q *Queue) CallDone() { q.inFlight-- }

// Len returns the number of waiting calls of a priority.
func (q *Queue) Len(priority Priority) int { return len(q.waiting[priority]) }

// OldestWait returns how long the first waiting call of a priority has waited; 0 if none waits.
func (q *Queue) OldestWait(priority Priority, now monotime.Micros) monotime.Micros {
	if len(q.waiting[priority]) == 0 {
		return 0
	}
	return now - q.waiting[priority][0].QueuedAt
}

// Next removes and returns the next call if it may be made now. Otherwise ok is false and wait is the time
// until the call may be made; wait is 0 if no call waits or too many calls are in flight. Lease calls don't
// wait for budget: they may make the budgets negative, so that a controller doesn't lose its lease under its
// own load.
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

// priorityAt applies the exceptions to the order of priorities (see Queue): it returns the priority that is
// served in place of the given one.
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

// shardWorkPrecedesUserCalls reports whether the next turn belongs to shard work instead of user calls: shard
// work has waited longer than shardMaxWait, and a user call had the last turn or no user call waits.
func (q *Queue) shardWorkPrecedesUserCalls(now monotime.Micros) bool {
	return q.OldestWait(q.nextShardPriority(), now) > shardMaxWait &&
		(q.userCallServedLast || len(q.waiting[PriorityUserRequest]) == 0)
}

// nextShardPriority returns the priority of the next shard work call: shard updates and job results
// alternate. A shard of small jobs has as many results as jobs. If results went first, the next updates would
// wait behind all of them, although they start tasks and add machines.
func (q *Queue) nextShardPriority() Priority {
	if len(q.waiting[PriorityJobResult]) > 0 &&
		(q.shardUpdateServedLast || len(q.waiting[PriorityShardUpdate]) == 0) {
		return PriorityJobResult
	}
	return PriorityShardUpdate
}

// budgetWait returns how long to wait until the budgets and a throttling pause allow the call; 0 if they
// allow it now.
func (q *Queue) budgetWait(call Call, now monotime.Micros) monotime.Micros {
	budgetWait := max(q.reads.WaitTime(now, 1), q.writes.WaitTime(now, float64(call.Writes())))
	return max(0, budgetWait, q.pausedUntil-now)
}

// take removes and returns the first call of a priority. It takes the call's cost from the budgets and
// updates the state of the alternation.
func (q *Queue) take(priority Priority) Call {
	call := q.waiting[priority][0]
	q.waiting[priority][0] = Call{} // so that the backing array doesn't keep the call's data alive
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
