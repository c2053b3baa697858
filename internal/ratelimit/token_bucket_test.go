package ratelimit

import (
	"testing"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// TestTokenBucket checks that a bucket starts full, refills at its rate up to its burst and may have a
// negative number of tokens.
func TestTokenBucket(t *testing.T) {
	const begin = 10 * monotime.Second
	cases := []struct {
		name  string
		idle  monotime.Micros // time before tokens are taken
		taken float64
		after monotime.Micros // time after tokens are taken
		n     float64         // tokens to wait for
		want  monotime.Micros // 1 us more than the exact time, so that the tokens are available afterwards
	}{
		{"full at first use", 0, 0, 0, 4, 0},
		{"empty", 0, 4, 0, 1, 100*monotime.Millisecond + 1},
		{"refilled", 0, 4, 100 * monotime.Millisecond, 1, 0},
		{"partially refilled", 0, 4, 50 * monotime.Millisecond, 1, 50*monotime.Millisecond + 1},
		{"refilled only up to the burst", monotime.Minute, 4, 0, 1, 100*monotime.Millisecond + 1},
		{"more than the burst from a full bucket", 0, 0, monotime.Minute, 5, 0},
		{"negative", 0, 7, 0, 1, 400*monotime.Millisecond + 1},
		{"more than the burst from a partly used bucket", 0, 1, 0, 100, 100*monotime.Millisecond + 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			bucket := TokenBucket{Rate: 10, Burst: 4}
			bucket.WaitTime(begin, 0)
			bucket.WaitTime(begin+tc.idle, 0)
			bucket.Take(tc.taken)
			if got := bucket.WaitTime(begin+tc.idle+tc.after, tc.n); got != tc.want {
				t.Errorf("%v tokens after %v were taken: got wait of %d us, want %d us",
					tc.n, tc.taken, got, tc.want)
			}
		})
	}
}

// TestEmptiedBucket checks that Empty removes the remaining tokens but doesn't change a negative number of
// tokens.
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
			t.Errorf("Empty after %v tokens were taken: got wait of %d us, want %d us", tc.taken, got, tc.want)
		}
	}
}

// TestQueueBoundsCallsInFlight checks that the queue hands out no more than maxInFlight calls until CallDone.
// Lease calls may exceed the limit but count against it.
func TestQueueBoundsCallsInFlight(t *testing.T) {
	queue := NewQueue(1)
	queue.SetRates(Rates{PerSecond: 100, Burst: 100}, Rates{PerSecond: 100, Burst: 100})
	add := func(priority Priority) { queue.Add(Call{StoreCall: &protocol.StoreCall{}, Priority: priority}) }
	add(PriorityUserRequest)
	add(PriorityUserRequest)
	if _, ok, _ := queue.Next(0); !ok {
		t.Fatal("first user request: got none from Next, want the request")
	}
	if _, ok, wait := queue.Next(0); ok || wait != 0 {
		t.Errorf("second user request with one in flight: got ok %v, wait of %d us, want false and 0", ok, wait)
	}
	add(PriorityLease)
	if call, ok, _ := queue.Next(0); !ok || call.Priority != PriorityLease {
		t.Errorf("lease request with a user request in flight: got ok %v, priority %v, want true and %v",
			ok, call.Priority, PriorityLease)
	}
	queue.CallDone()
	if _, ok, _ := queue.Next(0); ok {
		t.Errorf("user request with a lease request still in flight: got ok %v, want false", ok)
	}
	queue.CallDone()
	if _, ok, _ := queue.Next(0); !ok {
		t.Errorf("user request with none in flight: got ok %v, want true", ok)
	}
}
