package api

import (
	"testing"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/storage"
)

// TestBurstsAreLimited checks which jobs are queued as burst calls, depending on the submissions of each
// team, the job's priority and whether writes are contended.
func TestBurstsAreLimited(t *testing.T) {
	for _, tc := range []struct {
		name      string
		sent      map[string]int
		priority  protocol.Priority
		contended bool
		want      bool
	}{
		{"few submissions", map[string]int{"guest": 5}, protocol.BestEffort, true, false},
		{"many submissions, lowest priority", map[string]int{"guest": 50}, protocol.BestEffort, true, true},
		{"many submissions, writes not contended", map[string]int{"guest": 50}, protocol.BestEffort, false, false},
		{"most submissions of all teams", map[string]int{"guest": 50, "home": 10}, protocol.Standard, true, true},
		{"as many submissions as another team", map[string]int{"guest": 50, "home": 50}, protocol.Standard, true, false},
		{"no other team submits", map[string]int{"guest": 50}, protocol.Standard, true, false},
		{"burst of high priority", map[string]int{"guest": 50, "home": 10}, protocol.High, true, false},
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
				t.Errorf("%s: got isLimited %v, want %v", tc.name, got, tc.want)
			}
			wantClass := ratelimit.PriorityUserRequest
			if tc.want {
				wantClass = ratelimit.PriorityBurst
			}
			if got := handler.PriorityClass(spec, ratelimit.PriorityUserRequest); got != wantClass {
				t.Errorf("%s: got priority class %v, want %v", tc.name, got, wantClass)
			}
		})
	}
}

// TestWritesContended checks which queued calls count as contended writes.
func TestWritesContended(t *testing.T) {
	const old = 2 * monotime.Second
	for _, tc := range []struct {
		name  string
		class ratelimit.Priority
		calls int
		age   monotime.Micros
		want  bool
	}{
		{"no calls", ratelimit.PriorityUserRequest, 0, 0, false},
		{"two user calls", ratelimit.PriorityUserRequest, 2, old, false},
		{"three user calls", ratelimit.PriorityUserRequest, 3, 0, true},
		{"shard update at the age limit", ratelimit.PriorityShardUpdate, 1, contendedQueueAge, false},
		{"shard update above the age limit", ratelimit.PriorityShardUpdate, 1, contendedQueueAge + 1, true},
		{"job result above the age limit", ratelimit.PriorityJobResult, 1, contendedQueueAge + 1, true},
		{"background calls", ratelimit.PriorityBackground, 9, old, false},
		{"burst request", ratelimit.PriorityBurst, 1, 0, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			deps := newFakeDependencies()
			deps.fillQueue(tc.class, tc.calls, deps.now-tc.age)
			handler := deps.handler()
			if got := handler.bursts.writesContended(); got != tc.want {
				t.Errorf("%s: got writesContended %v, want %v", tc.name, got, tc.want)
			}
		})
	}
}

// TestSubmissionRateDecays checks that a count decays to 1/e within submissionRateWindow, and that an
// earlier clock reading doesn't change it.
func TestSubmissionRateDecays(t *testing.T) {
	rate := submissionRate{decayingCount: 100, updatedAt: monotime.Second}
	if got := rate.decayedCount(monotime.Second + submissionRateWindow); got < 36.7 || got > 36.9 {
		t.Errorf("after submissionRateWindow: got count %v, want 36.7 to 36.9", got)
	}
	if got := rate.decayedCount(monotime.Second); got < 36.7 || got > 36.9 {
		t.Errorf("with an earlier clock reading: got count %v, want 36.7 to 36.9", got)
	}
}
