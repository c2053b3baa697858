package ratelimit

import (
	"testing"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// TestTokenBucket: a bucket begins full, refills at its rate up to its burst, and goes into debt.
func TestTokenBucket(t *testing.T) {
	const begin = 10 * monotime.Second
	cases := []struct {
		name  string
		idle  monotime.Micros // before tokens are taken
		taken float64
		after monotime.Micros
		n     float64
		want  monotime.Micros // a microsecond more than the exact time, so that the tokens are there
	}{
		{"full at first", 0, 0, 0, 4, 0},
		{"empty", 0, 4, 0, 1, 100*monotime.Millisecond + 1},
		{"refilled", 0, 4, 100 * monotime.Millisecond, 1, 0},
		{"refilled in part", 0, 4, 50 * monotime.Millisecond, 1, 50*monotime.Millisecond + 1},
		{"no fuller than the burst", monotime.Minute, 4, 0, 1, 100*monotime.Millisecond + 1},
		{"more than the burst of a full bucket", 0, 0, monotime.Minute, 5, 0},
		{"in debt", 0, 7, 0, 1, 400*monotime.Millisecond + 1},
		{"more than the burst", 0, 1, 0, 100, 100*monotime.Millisecond + 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			bucket := TokenBucket{Rate: 10, Burst: 4}
			bucket.WaitTime(begin, 0)
			bucket.WaitTime(begin+tc.idle, 0)
			bucket.Take(tc.taken)
			if got := bucket.WaitTime(begin+tc.idle+tc.after, tc.n); got != tc.want {
				t.Errorf("wait %d, want %d", got, tc.want)
			}
		})
	}
}

// TestEmptiedBucket: a bucket that is emptied keeps its debt.
func TestEmptiedBucket(t *testing.T) {
	for _, tc := range []struct {
		taken float64
		want  monotime.Micros
	}{{1, 100*monotime.Millisecond + 1}, {6, 300*monotime.Millisecond + 1}} {
		bucket := TokenBucket{Rate: 10, Burst: 4}
		bucket.WaitTime(0, 0)
		bucket.Take(tc.taken)
		bucket.Empty()
		if got := bucket.WaitTime(0, 1); got != tc.want {
			t.Errorf("%v taken: wait %d, want %d", tc.taken, got, tc.want)
		}
	}
}

// TestQueueBoundsCallsInFlight: no more calls than the bound are handed out before one is answered, but
// leases.
func TestQueueBoundsCallsInFlight(t *testing.T) {
	queue := NewQueue(1)
	queue.SetRates(Rates{PerSecond: 100, Burst: 100}, Rates{PerSecond: 100, Burst: 100})
	add := func(priority Priority) { queue.Add(Call{StoreCall: &protocol.StoreCall{}, Priority: priority}) }
	add(PriorityUserRequest)
	add(PriorityUserRequest)
	if _, ok, _ := queue.Next(0); !ok {
		t.Fatal("the first request isn't handed out")
	}
	if _, ok, wait := queue.Next(0); ok || wait != 0 {
		t.Errorf("with a request in flight another is handed out: %v, wait %d", ok, wait)
	}
	add(PriorityLease)
	if call, ok, _ := queue.Next(0); !ok || call.Priority != PriorityLease {
		t.Error("a lease waits for a request in flight")
	}
	queue.CallDone()
	if _, ok, _ := queue.Next(0); ok {
		t.Error("a lease in flight doesn't count")
	}
	queue.CallDone()
	if _, ok, _ := queue.Next(0); !ok {
		t.Error("nothing is handed out after all are answered")
	}
}
