package ratelimit

import (
	"slices"
	"testing"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// testQueue is a queue of 10 reads and 2 writes a second whose calls are made by their priorities.
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

// add queues calls of some priorities, each of so many writes, since a time.
func (q testQueue) add(queuedAt monotime.Micros, writes int, priorities ...Priority) {
	for _, priority := range priorities {
		call := &protocol.StoreCall{}
		call.Transaction.Then = make([]protocol.Op, writes)
		q.Add(Call{StoreCall: call, Priority: priority, QueuedAt: queuedAt})
	}
}

// requireCalls takes all calls that may be made now, checks their priorities, and gives how long the next waits.
func (q testQueue) requireCalls(now monotime.Micros, want ...Priority) (wait monotime.Micros) {
	q.t.Helper()
	var got []Priority
	for {
		call, ok, wait := q.Next(now)
		if !ok {
			if !slices.Equal(got, want) {
				q.t.Fatalf("at %d: %v, want %v", now, got, want)
			}
			return wait
		}
		got = append(got, call.Priority)
	}
}

// repeat repeats priorities n times.
func repeat(n int, priorities ...Priority) []Priority { return slices.Repeat(priorities, n) }

// TestQueueOrdersByPriority: the most urgent call goes first, whenever it came. A lease goes into debt, so that
// other writes wait for it.
func TestQueueOrdersByPriority(t *testing.T) {
	q := newTestQueue(t)
	q.add(0, 0, PriorityBackground)
	q.add(0, 2, PriorityUserRequest, PriorityCancellation)
	q.add(0, 1, PriorityLease)
	if wait := q.requireCalls(0, PriorityLease); wait <= 0 {
		t.Fatalf("wait %d after a lease in debt", wait)
	}
	q.requireCalls(500*monotime.Millisecond, PriorityCancellation)
	q.requireCalls(1600*monotime.Millisecond, PriorityUserRequest, PriorityBackground)
}

// TestUsersTakeTurnsWithShardWork: users' calls go before shard updates, until these have waited too long;
// then they take turns, and neither keeps the other waiting, however many come.
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

// TestBurstCallsTakeTurns: burst calls wait for all others, but among shard updates they have their turns.
func TestBurstCallsTakeTurns(t *testing.T) {
	const now = 60 * monotime.Second
	q := newTestQueue(t)
	// Two shard updates have gone already, so that it is the burst's turn.
	q.add(now, 0, repeat(2, PriorityShardUpdate)...)
	q.requireCalls(now, repeat(2, PriorityShardUpdate)...)

	q.add(now, 0, repeat(6, PriorityBurst, PriorityShardUpdate)...)
	q.add(now, 0, PriorityUserRequest)
	q.requireCalls(now+monotime.Second,
		PriorityUserRequest, PriorityBurst, PriorityShardUpdate, PriorityShardUpdate)
	q.requireCalls(now+2*monotime.Second,
		PriorityBurst, PriorityShardUpdate, PriorityShardUpdate, PriorityBurst)
}

// TestJobResultsTakeTurns: job results take turns with shard updates, however many there are.
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

// TestRequeuedCall: a throttled call goes again before the others of its priority, after a pause.
func TestRequeuedCall(t *testing.T) {
	const now = 70 * monotime.Second
	q := newTestQueue(t)
	q.add(now, 1, PriorityUserRequest)
	throttled, _, _ := q.Next(now)
	q.add(now, 2, PriorityUserRequest)
	q.Requeue(throttled, now)
	if _, ok, wait := q.Next(now); ok || wait <= 0 {
		t.Errorf("a request goes at once after a throttled one: %v, wait %d", ok, wait)
	}
	retried, ok, _ := q.Next(now + monotime.Second)
	if !ok || retried.StoreCall != throttled.StoreCall {
		t.Error("the throttled request isn't the first")
	}
}

// TestPauseAfterThrottledCall: after a throttled call the queue pauses, and its budget begins at nothing.
func TestPauseAfterThrottledCall(t *testing.T) {
	cases := []struct {
		name          string
		reads, writes float64 // a second
		want          monotime.Micros
	}{
		{"large budget", 1000, 1000, throttledPause},
		{"small budget of reads", 2, 1000, monotime.Second/2 + 1},
		{"small budget of writes", 1000, 2, monotime.Second/2 + 1},
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
				t.Errorf("wait %d, want %d", wait, tc.want)
			}
		})
	}
}
