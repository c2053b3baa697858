package bookkeeping

import (
	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
)

// Bucket is a token bucket.
type Bucket struct {
	Rate  float64 // a second
	Burst float64
	have  float64
	last  micros.T
	begun bool
}

// Ready tells how long to wait until n tokens are there.
func (b *Bucket) Ready(now micros.T, n float64) micros.T {
	if !b.begun {
		b.begun, b.have, b.last = true, b.Burst, now
	}
	if now > b.last {
		b.have = min(b.Burst, b.have+b.Rate*(now-b.last).Seconds())
		b.last = now
	}
	n = min(n, b.Burst) // what is larger than the burst goes when the bucket is full
	if b.have >= n {
		return 0
	}
	return micros.FromSeconds((n-b.have)/b.Rate) + 1
}

// Take uses n tokens; the bucket may go into debt.
func (b *Bucket) Take(n float64) {
	if !b.begun {
		b.begun, b.have = true, b.Burst
	}
	b.have -= n
}

// Drain empties the bucket after the other side has said that it is too much.
func (b *Bucket) Drain() { b.have = min(b.have, 0) }

// Rank orders calls under shortage.
type Rank int

// Ranks, the most urgent first.
const (
	RankLease Rank = iota
	RankClaim
	RankCancel
	RankUser
	RankShard
	RankEnd // answers of jobs that are done
	RankRest
	RankSwarm // what many small jobs of one team would otherwise crowd the rest out with
	ranks
)

// pageWaits is how long users go before shards: a burst of submissions is over
// sooner than that, a flood must not keep tasks from starting and ending. From then
// on they go in turns: shards that always waited longer kept every user of the one
// controller that was left waiting for five seconds.
const pageWaits = 300 * micros.Millisecond

// swarmTurns is how many shards go before a swarm's call while both wait: it must not
// wait for ever either, but tasks that start and end come first.
const swarmTurns = 2

// work tells whether a shard goes next or the answer of a job that is done: they take
// turns. A shard that held fifty small jobs had as many answers to write, of two changes
// each, and the next shards, with all that starts and the machines that had come up,
// waited behind them for five seconds.
func (q *Queue) work() Rank {
	if len(q.waiting[RankEnd]) > 0 && (q.endTurn || len(q.waiting[RankShard]) == 0) {
		return RankEnd
	}
	return RankShard
}

// Call waits in the queue.
type Call struct {
	*protocol.StoreCall
	Rank  Rank
	Since micros.T
	Back  func(protocol.StoreResult)
}

// Queue paces the calls of one controller to its share of the state service.
// It holds no clock and makes no calls: Next hands out what may go now.
type Queue struct {
	Reads, Writes Bucket
	InFlight      int
	MaxInFlight   int
	pausedUntil   micros.T
	userTurn      bool // of users and shards, a user's call went last
	endTurn       bool // of shards and answers, a shard went last
	shardTurns    int  // of these since a swarm's call went
	waiting       [ranks][]Call
}

// Add queues a call.
func (q *Queue) Add(c Call) { q.waiting[c.Rank] = append(q.waiting[c.Rank], c) }

// Back puts a call that was throttled in front again and pauses the queue.
func (q *Queue) Back(c Call, now micros.T) {
	q.waiting[c.Rank] = append([]Call{c}, q.waiting[c.Rank]...)
	q.Reads.Drain()
	q.Writes.Drain()
	q.pausedUntil = now + 100*micros.Millisecond
}

// Waiting counts the calls of a rank.
func (q *Queue) Waiting(r Rank) int { return len(q.waiting[r]) }

// Age tells how long the first call of a rank has waited.
func (q *Queue) Age(r Rank, now micros.T) micros.T {
	if len(q.waiting[r]) == 0 {
		return 0
	}
	return now - q.waiting[r][0].Since
}

// Next gives a call that may be made now, or how long to wait for one (0 with
// no call: nothing waits, or too much is in flight). Lease touches go into
// debt rather than wait: the service must not lose its membership to its load.
func (q *Queue) Next(now micros.T) (c Call, ok bool, wait micros.T) {
	for r := range q.waiting {
		if w := q.work(); Rank(r) == RankUser && q.Age(w, now) > pageWaits &&
			(q.userTurn || len(q.waiting[RankUser]) == 0) {
			r = int(w)
		}
		if Rank(r) == RankShard {
			r = int(q.work())
			if q.shardTurns >= swarmTurns && len(q.waiting[RankSwarm]) > 0 {
				r = int(RankSwarm)
			}
		}
		if len(q.waiting[r]) == 0 {
			continue
		}
		c := q.waiting[r][0]
		if Rank(r) != RankLease {
			if q.InFlight >= q.MaxInFlight {
				return Call{}, false, 0
			}
			if w := max(q.Reads.Ready(now, 1), q.Writes.Ready(now, float64(c.Writes())), q.pausedUntil-now); w > 0 {
				return Call{}, false, w
			}
		}
		q.waiting[r][0] = Call{}
		q.waiting[r] = q.waiting[r][1:]
		q.Reads.Take(1)
		q.Writes.Take(float64(c.Writes()))
		q.InFlight++
		switch Rank(r) {
		case RankUser:
			q.userTurn = true
		case RankShard, RankEnd:
			q.userTurn, q.endTurn = false, Rank(r) == RankShard
			q.shardTurns++
		case RankSwarm:
			q.shardTurns = 0
		}
		return c, true, 0
	}
	return Call{}, false, 0
}
