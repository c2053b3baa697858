package api

import (
	"testing"

	"pipitgap/internal/ratelimit"
)

// TestRetryAfterJitterDuringOutage checks the retry delay: one second normally, and one to three seconds
// while the state service is unavailable.
func TestRetryAfterJitterDuringOutage(t *testing.T) {
	deps := newFakeDependencies()
	handler := deps.handler()
	seen := map[int]bool{}
	for range 100 {
		seen[handler.deferRequest(429, "").RetryAfter] = true
	}
	if len(seen) != 1 || !seen[1] {
		t.Errorf("without an outage: got delays %v, want only 1", seen)
	}
	deps.unavailable = true
	for range 100 {
		seen[handler.deferRequest(503, "").RetryAfter] = true
	}
	if len(seen) != 3 || !seen[1] || !seen[2] || !seen[3] {
		t.Errorf("during an outage: got delays %v, want 1, 2 and 3", seen)
	}
	if got := handler.Counters().RequestsDeferred; got != 200 {
		t.Errorf("got %d deferred requests, want 200", got)
	}
}

// TestMaxQueuedUserCalls checks that the bounds on queued user and burst calls depend on the write rate.
func TestMaxQueuedUserCalls(t *testing.T) {
	for _, tc := range []struct {
		rate        float64
		user, burst int
	}{{0, 4, 2}, {5, 4, 2}, {20, 15, 3}, {100, 75, 18}} {
		deps := newFakeDependencies()
		deps.queue.SetRates(ratelimit.Rates{}, ratelimit.Rates{PerSecond: tc.rate})
		handler := deps.handler()
		if user, burst := handler.MaxQueuedUserCalls(), handler.maxQueuedBurstCalls(); user != tc.user ||
			burst != tc.burst {
			t.Errorf("%v writes/s: got bounds of %d user calls and %d burst calls, want %d and %d",
				tc.rate, user, burst, tc.user, tc.burst)
		}
	}
}
