// Package ratelimit paces calls of a service with limited rates: token buckets, and a queue that hands out
// calls by priority class. It holds no clock and makes no calls.
package ratelimit

import (
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// TokenBucket is a token bucket.
type TokenBucket struct {
	Rate       float64 // a second
	Burst      float64
	tokens     float64
	refilledAt monotime.Micros
	started    bool
}

// WaitTime tells how long to wait until n tokens are there.
func (b *TokenBucket) WaitTime(now monotime.Micros, n float64) monotime.Micros {
	if !b.started {
		b.started, b.tokens, b.refilledAt = true, b.Burst, now
	}
	if now > b.refilledAt {
		b.tokens = min(b.Burst, b.tokens+b.Rate*(now-b.refilledAt).Seconds())
		b.refilledAt = now
	}
	n = min(n, b.Burst) // what is larger than the burst goes when the bucket is full
	if b.tokens >= n {
		return 0
	}
	return monotime.FromSeconds((n-b.tokens)/b.Rate) + 1
}

// Take uses n tokens; the bucket may go into debt.
func (b *TokenBucket) Take(n float64) {
	if !b.started {
		b.started, b.tokens = true, b.Burst
	}
	b.tokens -= n
}

// Empty empties the bucket after the other side has said that it is too much.
func (b *TokenBucket) Empty() { b.tokens = min(b.tokens, 0) }

// Priority orders calls under shortage.
type Priority int

// Ranks, the most urgent first.
const (
	PriorityLease Priority = iota
	PriorityClaim
	PriorityCancellation
	PriorityUserRequest
	PriorityShardUpdate
	PriorityJobResult // answers of jobs that are done
	PriorityBackground
	PriorityBurst // what many small jobs of one team would otherwise crowd the rest out with
	numPriorities
)

// shardMaxWait is how long users go before shards: a burst of submissions is over
// sooner than that, a flood must not keep tasks from starting and ending. From then
// on they go in turns: shards that always waited longer kept every user of the one
// controller that was left waiting for five seconds.
const shardMaxWait = 300 * monotime.Millisecond

// shardTurnsPerBurstCall is how many shards go before a swarm's call while both wait: it must not
// wait for ever either, but tasks that start and end come first.
const shardTurnsPerBurstCall = 2

// nextShardWork tells whether a shard goes next or the answer of a job that is done: they take
// turns. A shard that held fifty small jobs had as many answers to write, of two changes
// each, and the next shards, with all that starts and the machines that had come up,
// waited behind them for five seconds.
func (q *Queue) nextShardWork() Priority {
	if len(q.waiting[PriorityJobResult]) > 0 &&
		(q.shardWentLast || len(q.waiting[PriorityShardUpdate]) == 0) {
		return PriorityJobResult
	}
	return PriorityShardUpdate
}

// Call waits in the queue.
type Call struct {
	*protocol.StoreCall
	Priority Priority
	QueuedAt monotime.Micros
	OnResult func(protocol.StoreResult)
}

// Queue paces the calls of one controller to its share of the state service.
// It holds no clock and makes no calls: Next hands out what may go now.
type Queue struct {
	Reads, Writes        TokenBucket
	InFlight             int
	MaxInFlight          int
	pausedUntil          monotime.Micros
	userWentLast         bool // of users and shards, a user's call went last
	shardWentLast        bool // of shards and answers, a shard went last
	shardCallsSinceBurst int  // of these since a swarm's call went
	waiting              [numPriorities][]Call
}

// Add queues a call.
func (q *Queue) Add(call Call) { q.waiting[call.Priority] = append(q.waiting[call.Priority], call) }

// Requeue puts a call that was throttled in front again and pauses the queue.
func (q *Queue) Requeue(call Call, now monotime.Micros) {
	q.waiting[call.Priority] = append([]Call{call}, q.waiting[call.Priority]...)
	q.Reads.Empty()
	q.Writes.Empty()
	q.pausedUntil = now + 100*monotime.Millisecond
}

// Len counts the calls of a rank.
func (q *Queue) Len(priority Priority) int { return len(q.waiting[priority]) }

// OldestWait tells how long the first call of a rank has waited.
func (q *Queue) OldestWait(priority Priority, now monotime.Micros) monotime.Micros {
	if len(q.waiting[priority]) == 0 {
		return 0
	}
	return now - q.waiting[priority][0].QueuedAt
}

// Next gives a call that may be made now, or how long to wait for one (0 with
// no call: nothing waits, or too much is in flight). Lease touches go into
// debt rather than wait: the service must not lose its membership to its load.
func (q *Queue) Next(now monotime.Micros) (call Call, ok bool, wait monotime.Micros) {
	for r := range q.waiting {
		if w := q.nextShardWork(); Priority(r) == PriorityUserRequest &&
			q.OldestWait(w, now) > shardMaxWait &&
			(q.userWentLast || len(q.waiting[PriorityUserRequest]) == 0) {
			r = int(w)
		}
		if Priority(r) == PriorityShardUpdate {
			r = int(q.nextShardWork())
			if q.shardCallsSinceBurst >= shardTurnsPerBurstCall && len(q.waiting[PriorityBurst]) > 0 {
				r = int(PriorityBurst)
			}
		}
		if len(q.waiting[r]) == 0 {
			continue
		}
		call := q.waiting[r][0]
		if Priority(r) != PriorityLease {
			if q.InFlight >= q.MaxInFlight {
				return Call{}, false, 0
			}
			budgetWait := max(q.Reads.WaitTime(now, 1), q.Writes.WaitTime(now, float64(call.Writes())))
			if w := max(budgetWait, q.pausedUntil-now); w > 0 {
				return Call{}, false, w
			}
		}
		q.waiting[r][0] = Call{}
		q.waiting[r] = q.waiting[r][1:]
		q.Reads.Take(1)
		q.Writes.Take(float64(call.Writes()))
		q.InFlight++
		switch Priority(r) {
		case PriorityUserRequest:
			q.userWentLast = true
		case PriorityShardUpdate, PriorityJobResult:
			q.userWentLast, q.shardWentLast = false, Priority(r) == PriorityShardUpdate
			q.shardCallsSinceBurst++
		case PriorityBurst:
			q.shardCallsSinceBurst = 0
		}
		return call, true, 0
	}
	return Call{}, false, 0
}
