package api

import (
	"fmt"
	"slices"
	"testing"

	"pipitgap/internal/mirror"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/storage"
	"pipitgap/internal/transport"
)

const unreachable = "state service out of reach"

// TestSubmit checks the response that each step of a submission can produce, the number of commits, and that
// only an accepted job is reported to the scheduler and placed.
func TestSubmit(t *testing.T) {
	unknownTeam := func(s *protocol.Submission) { s.Team = "nobody" }
	for _, tc := range []struct {
		name    string
		setup   func(*fakeDependencies)
		change  func(*protocol.Submission)
		body    []byte
		want    answer
		commits int
	}{
		{name: "accepted", want: answer{201, false, protocol.JobPending}, commits: 1},
		{name: "not a map", body: []byte{0xc1}, want: answer{400, false, "not a MessagePack message"}},
		{
			name:   "malformed",
			change: func(s *protocol.Submission) { s.Tasks = 0 },
			want:   answer{400, false, protocol.FieldTasks + ": must lie between 1 and 100000"},
		},
		{
			name:   "malformed, state service unavailable",
			setup:  func(d *fakeDependencies) { d.unavailable = true },
			change: func(s *protocol.Submission) { s.Tasks = 0 },
			want:   answer{400, false, protocol.FieldTasks + ": must lie between 1 and 100000"},
		},
		{
			name:   "malformed before the records are loaded",
			setup:  func(d *fakeDependencies) { d.notReady = true },
			change: func(s *protocol.Submission) { s.Tasks = 0 },
			want:   answer{503, true, unreachable},
		},
		{
			name:   "malformed, known job, state service unavailable",
			setup:  func(d *fakeDependencies) { d.unavailable = true; d.mirrorJob(newJobID, nil) },
			change: func(s *protocol.Submission) { s.Tasks = 0 },
			want:   answer{503, true, unreachable},
		},
		{
			name:   "malformed, known job",
			setup:  func(d *fakeDependencies) { d.mirrorJob(newJobID, nil) },
			change: func(s *protocol.Submission) { s.Tasks = 0 },
			want:   answer{200, false, protocol.JobPending},
		},
		{
			name:  "ended job, state service unavailable",
			setup: func(d *fakeDependencies) { d.cacheResult(newJobID, storage.JobDone); d.unavailable = true },
			want:  answer{200, false, protocol.JobDone},
		},
		{
			name:  "repeated submission",
			setup: func(d *fakeDependencies) { d.mirrorJob(newJobID, nil) },
			want:  answer{200, false, protocol.JobPending},
		},
		{
			name:  "records not loaded",
			setup: func(d *fakeDependencies) { d.notReady = true },
			want:  answer{503, true, "records not read yet"},
		},
		{name: "state service unavailable", setup: func(d *fakeDependencies) { d.unavailable = true }, want: answer{503, true, unreachable}},
		{
			name:  "queue of user calls full",
			setup: func(d *fakeDependencies) { d.fillQueue(ratelimit.PriorityUserRequest, 15, d.now) },
			want:  answer{429, true, "too many requests"},
		},
		{
			name:    "queue of user calls one below the bound",
			setup:   func(d *fakeDependencies) { d.fillQueue(ratelimit.PriorityUserRequest, 14, d.now) },
			want:    answer{201, false, protocol.JobPending},
			commits: 1,
		},
		{
			name:  "machine types unknown",
			setup: func(d *fakeDependencies) { d.types = nil },
			want:  answer{503, true, "machine types not known yet"},
		},
		{name: "unknown team", change: unknownTeam, want: answer{422, false, "unknown team"}},
		{
			name:   "unknown team, known job",
			setup:  func(d *fakeDependencies) { d.putRecord(storage.KindOpenJob, newJobID, 1) },
			change: unknownTeam,
			want:   answer{200, false, protocol.JobPending},
		},
		{
			name:   "service over the limit",
			change: func(s *protocol.Submission) { s.Team, s.Service, s.Tasks = limitedTeam, true, 7 },
			want:   answer{422, false, "needs more than the team's limit"},
		},
		{
			name:    "service at the limit",
			change:  func(s *protocol.Submission) { s.Team, s.Service, s.Tasks = limitedTeam, true, 6 },
			want:    answer{201, false, protocol.JobPending},
			commits: 1,
		},
		{
			name:   "fits no machine type",
			change: func(s *protocol.Submission) { s.CPUs = 9 },
			want:   answer{422, false, "a task fits no allowed machine type"},
		},
		{
			name:   "unknown machine type",
			change: func(s *protocol.Submission) { s.Types = []string{"m99"} },
			want:   answer{422, false, "a task fits no allowed machine type"},
		},
		{
			name:   "unknown zone",
			change: func(s *protocol.Submission) { s.Zone = "z" },
			want:   answer{422, false, "a task fits no allowed machine type"},
		},
		{
			name: "too many open jobs",
			setup: func(d *fakeDependencies) {
				for i := range mirror.MaxOpenJobs {
					d.mirrorJob(fmt.Sprintf("j-open-%d", i), nil)
				}
			},
			want: answer{429, true, "too many unfinished jobs"},
		},
		{
			name:   "record too large",
			change: func(s *protocol.Submission) { s.Types = slices.Repeat([]string{"m8"}, 2000) },
			want:   answer{400, false, "names too long to be kept"},
		},
		{
			name: "another controller committed the job first",
			setup: func(d *fakeDependencies) {
				d.commitOutcome = protocol.Conflict
				d.putRecord(storage.KindOpenJob, newJobID, 1)
			},
			want:    answer{200, false, protocol.JobPending},
			commits: 1,
		},
		{
			name:    "commit rejected",
			setup:   func(d *fakeDependencies) { d.commitOutcome = protocol.Rejected },
			want:    answer{503, true, "not kept"},
			commits: 1,
		},
		{
			name:    "commit with unknown outcome",
			setup:   func(d *fakeDependencies) { d.commitOutcome = protocol.Unknown },
			want:    answer{503, true, unreachable},
			commits: 1,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			deps := newModifiedDependencies(tc.setup)
			body := tc.body
			if body == nil {
				body = newSubmission(tc.change)
			}
			deps.expectAnswer(t, tc.want, func(h *Handler, respond Respond) { h.Submit(body, respond) })
			if len(deps.commits) != tc.commits {
				t.Errorf("%s: got %d commits, want %d", tc.name, len(deps.commits), tc.commits)
			}
			if accepted := tc.want.status == 201; accepted != (deps.accepted[newJobID] == 7) ||
				accepted != (deps.placed == 1) {
				t.Errorf("%s: got accepted jobs %v and %d calls of PlaceNow, want the job at revision 7 and exactly one: %v",
					tc.name, deps.accepted, deps.placed, accepted)
			}
		})
	}
}

// TestBurstRejectionRetryAfter checks that a rejected burst submission gets a longer retry delay than other
// rejections.
func TestBurstRejectionRetryAfter(t *testing.T) {
	deps := newFakeDependencies()
	deps.fillQueue(ratelimit.PriorityBurst, 3, deps.now) // a quarter of 15 calls, rounded down
	handler := deps.handler()
	body := newSubmission(func(s *protocol.Submission) { s.Priority = protocol.BestEffort })
	for i := range minBurstSubmissions {
		var status, retryAfter int
		handler.Submit(
			body,
			func(response transport.Response) { status, retryAfter = response.Status, response.RetryAfter },
		)
		if last := i == minBurstSubmissions-1; last != (status == 429) {
			t.Errorf("submission %d: got status %d, want 429 only for submission %d", i, status, minBurstSubmissions-1)
		} else if last && (retryAfter < 2 || retryAfter > 4) {
			t.Errorf("rejected submission: got a retry delay of %d s, want 2 to 4", retryAfter)
		}
	}
}
