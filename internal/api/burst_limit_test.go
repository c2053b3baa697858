package api

import (
	"testing"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/storage"
)

// TestBurstsAreLimited: whose submissions go after the others'.
func TestBurstsAreLimited(t *testing.T) {
	for _, tc := range []struct {
		name      string
		sent      map[string]int
		priority  protocol.Priority
		contended bool
		want      bool
	}{
		{"a few", map[string]int{"guest": 5}, protocol.BestEffort, true, false},
		{"many of the lowest priority", map[string]int{"guest": 50}, protocol.BestEffort, true, true},
		{"while there are changes for all", map[string]int{"guest": 50}, protocol.BestEffort, false, false},
		{"most of all", map[string]int{"guest": 50, "home": 10}, protocol.Standard, true, true},
		{"no more than others", map[string]int{"guest": 50, "home": 50}, protocol.Standard, true, false},
		{"nobody else", map[string]int{"guest": 50}, protocol.Standard, true, false},
		{"services that come in a burst", map[string]int{"guest": 50, "home": 10}, protocol.High, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			deps := newFakeDependencies()
			handler := deps.handler()
			for team, n := range tc.sent {
				for range n {
					handler.bursts.countSubmission(&storage.JobSpec{Team: team})
				}
			}
			if tc.contended {
				deps.fillQueue(ratelimit.PriorityShardUpdate, 1, deps.now-2*monotime.Second)
			}
			spec := &storage.JobSpec{Team: "guest", Priority: int(tc.priority)}
			if got := handler.bursts.isLimited(spec); got != tc.want {
				t.Errorf("limited: %v, want %v", got, tc.want)
			}
			wantClass := ratelimit.PriorityUserRequest
			if tc.want {
				wantClass = ratelimit.PriorityBurst
			}
			if got := handler.PriorityClass(spec, ratelimit.PriorityUserRequest); got != wantClass {
				t.Errorf("class %v, want %v", got, wantClass)
			}
		})
	}
}

// TestWritesContended: what counts as writes being short.
func TestWritesContended(t *testing.T) {
	const old = 2 * monotime.Second
	for _, tc := range []struct {
		name  string
		class ratelimit.Priority
		calls int
		age   monotime.Micros
		want  bool
	}{
		{"nothing waits", ratelimit.PriorityUserRequest, 0, 0, false},
		{"two calls of users", ratelimit.PriorityUserRequest, 2, old, false},
		{"three calls of users", ratelimit.PriorityUserRequest, 3, 0, true},
		{"a shard at the bound", ratelimit.PriorityShardUpdate, 1, contendedQueueAge, false},
		{"a shard past the bound", ratelimit.PriorityShardUpdate, 1, contendedQueueAge + 1, true},
		{"a result past the bound", ratelimit.PriorityJobResult, 1, contendedQueueAge + 1, true},
		{"background work", ratelimit.PriorityBackground, 9, old, false},
		{"a burst", ratelimit.PriorityBurst, 1, 0, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			deps := newFakeDependencies()
			deps.fillQueue(tc.class, tc.calls, deps.now-tc.age)
			handler := deps.handler()
			if got := handler.bursts.writesContended(); got != tc.want {
				t.Errorf("contended: %v, want %v", got, tc.want)
			}
		})
	}
}

// TestSubmissionRateDecays: a count falls to 1/e within the window.
func TestSubmissionRateDecays(t *testing.T) {
	rate := submissionRate{decayingCount: 100, updatedAt: monotime.Second}
	if got := rate.decayedCount(monotime.Second + submissionRateWindow); got < 36.7 || got > 36.9 {
		t.Errorf("after the window: %v", got)
	}
	if got := rate.decayedCount(monotime.Second); got < 36.7 || got > 36.9 {
		t.Errorf("a clock reading of before: %v", got)
	}
}
