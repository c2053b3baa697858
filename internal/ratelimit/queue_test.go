package ratelimit

import (
	"slices"
	"testing"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// testQueue is a queue with budgets of 10 reads and 2 writes per second.
type testQueue struct {
	*Queue
	t *testing.T
}

func newTestQueue(t *testing.T) testQueue {
	t.Helper()
	queue := NewQueue(100)
	queue.SetRates(Rates{PerSecond: 10, Burst: 4}, Rates{PerSecond: 2, Burst: 2})
	return testQueue{queue, t}
}

// add queues one call for each of the priorities, each with the given queuing time and number of writes.
func (q testQueue) add(queuedAt monotime.Micros, writes int, priorities ...Priority) {
	for _, priority := range priorities {
		call := &protocol.StoreCall{}
		call.Transaction.Then = make([]protocol.Op, writes)
		q.Add(Call{StoreCall: call, Priority: priority, QueuedAt: queuedAt})
	}
}

// requireCalls takes all calls that may be made now and requires their priorities. It returns how long the
// next call must wait.
func (q testQueue) requireCalls(now monotime.Micros, want ...Priority) (wait monotime.Micros) {
	q.t.Helper()
	var got []Priority
	for {
		call, ok, wait := q.Next(now)
		if !ok {
			if !slices.Equal(got, want) {
				q.t.Fatalf("at %d us: got calls of priorities %v, want %v", now, got, want)
			}
			return wait
		}
		got = append(got, call.Priority)
	}
}

// repeat returns the sequence of priorities, repeated n times.
func repeat(n int, priorities ...Priority) []Priority { return slices.Repeat(priorities, n) }

// TestQueueOrdersByPriority checks that the call with the highest priority goes first, whatever the order of
// queuing. The lease call takes one of the two tokens for writes, so the next call, which needs both, must wait.
func TestQueueOrdersByPriority(t *testing.T) {
	q := newTestQueue(t)
	q.add(0, 0, PriorityBackground)
	q.add(0, 2, PriorityUserRequest, PriorityCancellation)
	q.add(0, 1, PriorityLease)
	if wait := q.requireCalls(0, PriorityLease); wait <= 0 {
		t.Fatalf("after a lease request: got wait of %d us for the next one, want more than 0", wait)
	}
	q.requireCalls(500*monotime.Millisecond, PriorityCancellation)
	q.requireCalls(1600*monotime.Millisecond, PriorityUserRequest, PriorityBackground)
}

// TestUsersTakeTurnsWithShardWork checks that user calls go before shard updates until these have waited
// longer than shardMaxWait. From then on both alternate, so that neither can starve the other.
func TestUsersTakeTurnsWithShardWork(t *testing.T) {
	const now = 3 * monotime.Second
	q := newTestQueue(t)
	q.add(now, 0, PriorityUserRequest)
	q.requireCalls(now, PriorityUserRequest)
	q.add(now-shardMaxWait, 1, PriorityShardUpdate, PriorityUserRequest)
	q.requireCalls(now, PriorityUserRequest, PriorityShardUpdate)

	q.add(now-shardMaxWait-2, 0, repeat(2, PriorityShardUpdate, PriorityUserRequest)...)
	q.requireCalls(now+monotime.Second, repeat(2, PriorityUserRequest, PriorityShardUpdate)...)
}

// TestBurstCallsTakeTurns checks that burst calls have the lowest priority but get one turn after every two
// shard updates, so that they don't starve.
func TestBurstCallsTakeTurns(t *testing.T) {
	const now = 60 * monotime.Second
	q := newTestQueue(t)
	// After these two shard updates the next turn belongs to a burst call.
	q.add(now, 0, repeat(2, PriorityShardUpdate)...)
	q.requireCalls(now, repeat(2, PriorityShardUpdate)...)

	q.add(now, 0, repeat(6, PriorityBurst, PriorityShardUpdate)...)
	q.add(now, 0, PriorityUserRequest)
	q.requireCalls(now+monotime.Second,
		PriorityUserRequest, PriorityBurst, PriorityShardUpdate, PriorityShardUpdate)
	q.requireCalls(now+2*monotime.Second,
		PriorityBurst, PriorityShardUpdate, PriorityShardUpdate, PriorityBurst)
}

// TestJobResultsTakeTurns checks that job results alternate with shard updates, so that many results don't
// delay the updates.
func TestJobResultsTakeTurns(t *testing.T) {
	const now = 60 * monotime.Second
	q := newTestQueue(t)
	q.add(now, 0, PriorityShardUpdate)
	q.requireCalls(now, PriorityShardUpdate)

	q.add(now, 0, repeat(4, PriorityJobResult)...)
	q.add(now, 0, PriorityShardUpdate, PriorityShardUpdate, PriorityUserRequest)
	q.requireCalls(now+monotime.Second,
		PriorityUserRequest, PriorityJobResult, PriorityShardUpdate, PriorityJobResult)
	q.requireCalls(now+2*monotime.Second, PriorityShardUpdate, PriorityJobResult, PriorityJobResult)
}

// TestRequeuedCall checks that a throttled call goes before the other calls of its priority, after a pause.
func TestRequeuedCall(t *testing.T) {
	const now = 70 * monotime.Second
	q := newTestQueue(t)
	q.add(now, 1, PriorityUserRequest)
	throttled, _, _ := q.Next(now)
	q.add(now, 2, PriorityUserRequest)
	q.Requeue(throttled, now)
	if _, ok, wait := q.Next(now); ok || wait <= 0 {
		t.Errorf("immediately after a throttled request: got ok %v, wait of %d us, want false and more than 0",
			ok, wait)
	}
	retried, ok, _ := q.Next(now + monotime.Second)
	if !ok || retried.StoreCall != throttled.StoreCall {
		t.Errorf("1 s after a throttled request: got ok %v, the same request first %v, want true and true",
			ok, retried.StoreCall == throttled.StoreCall)
	}
}

// TestPauseAfterThrottledCall checks that the queue pauses after a throttled call and that its budgets start
// again from 0 tokens.
func TestPauseAfterThrottledCall(t *testing.T) {
	cases := []struct {
		name          string
		reads, writes float64 // per second
		want          monotime.Micros
	}{
		{"large budgets", 1000, 1000, throttledPause},
		{"small read budget", 2, 1000, monotime.Second/2 + 1},
		{"small write budget", 1000, 2, monotime.Second/2 + 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			const now = monotime.Minute
			q := newTestQueue(t)
			q.SetRates(Rates{PerSecond: tc.reads, Burst: 10}, Rates{PerSecond: tc.writes, Burst: 10})
			q.add(now, 1, PriorityUserRequest)
			throttled, _, _ := q.Next(now)
			q.Requeue(throttled, now)
			if _, ok, wait := q.Next(now); ok || wait != tc.want {
				t.Errorf("%v reads/s and %v writes/s: got ok %v, wait of %d us, want false and %d us",
					tc.reads, tc.writes, ok, wait, tc.want)
			}
		})
	}
}
