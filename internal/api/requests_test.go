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

// TestSubmit: the answer of each step of a submission, and whether it commits.
func TestSubmit(t *testing.T) {
	unknownTeam := func(s *protocol.Submission) { s.Team = "nobody" }
	for _, tc := range []struct {
		name    string
		world   func(*fakeWorld)
		change  func(*protocol.Submission)
		body    []byte
		want    answer
		commits int
	}{
		{name: "accepted", want: answer{201, false, protocol.JobPending}, commits: 1},
		{name: "no map", body: []byte{0xc1}, want: answer{400, false, "not a MessagePack message"}},
		{
			name:   "malformed",
			change: func(s *protocol.Submission) { s.Tasks = 0 },
			want:   answer{400, false, protocol.FieldTasks + ": must lie between 1 and 100000"},
		},
		{
			name:   "malformed, and the state service can't be asked",
			world:  func(w *fakeWorld) { w.unavailable = true },
			change: func(s *protocol.Submission) { s.Tasks = 0 },
			want:   answer{400, false, protocol.FieldTasks + ": must lie between 1 and 100000"},
		},
		{
			name:   "malformed before the records are loaded",
			world:  func(w *fakeWorld) { w.notReady = true },
			change: func(s *protocol.Submission) { s.Tasks = 0 },
			want:   answer{503, true, unreachable},
		},
		{
			name:   "malformed, known, in an outage",
			world:  func(w *fakeWorld) { w.unavailable = true; w.mirrorJob(newJobID, nil) },
			change: func(s *protocol.Submission) { s.Tasks = 0 },
			want:   answer{503, true, unreachable},
		},
		{
			name:   "malformed and known",
			world:  func(w *fakeWorld) { w.mirrorJob(newJobID, nil) },
			change: func(s *protocol.Submission) { s.Tasks = 0 },
			want:   answer{200, false, protocol.JobPending},
		},
		{
			name:  "over, in an outage",
			world: func(w *fakeWorld) { w.cacheResult(newJobID, storage.JobDone); w.unavailable = true },
			want:  answer{200, false, protocol.JobDone},
		},
		{
			name:  "repeated",
			world: func(w *fakeWorld) { w.mirrorJob(newJobID, nil) },
			want:  answer{200, false, protocol.JobPending},
		},
		{
			name:  "records not loaded",
			world: func(w *fakeWorld) { w.notReady = true },
			want:  answer{503, true, "records not read yet"},
		},
		{name: "outage", world: func(w *fakeWorld) { w.unavailable = true }, want: answer{503, true, unreachable}},
		{
			name:  "queue of users full",
			world: func(w *fakeWorld) { w.fillQueue(ratelimit.PriorityUserRequest, 15, w.now) },
			want:  answer{429, true, "too many requests"},
		},
		{
			name:    "queue of users one below",
			world:   func(w *fakeWorld) { w.fillQueue(ratelimit.PriorityUserRequest, 14, w.now) },
			want:    answer{201, false, protocol.JobPending},
			commits: 1,
		},
		{
			name:  "machine types unknown",
			world: func(w *fakeWorld) { w.types = nil },
			want:  answer{503, true, "machine types not known yet"},
		},
		{name: "unknown team", change: unknownTeam, want: answer{422, false, "unknown team"}},
		{
			name:   "unknown team, but the job is known",
			world:  func(w *fakeWorld) { w.putRecord(storage.KindOpenJob, newJobID, 1) },
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
			name:   "fits no type",
			change: func(s *protocol.Submission) { s.CPUs = 9 },
			want:   answer{422, false, "a task fits no allowed machine type"},
		},
		{
			name:   "unknown type",
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
			world: func(w *fakeWorld) {
				for i := range mirror.MaxOpenJobs {
					w.mirrorJob(fmt.Sprintf("j-open-%d", i), nil)
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
			name:    "another controller was first",
			world:   func(w *fakeWorld) { w.commitOutcome = protocol.Conflict; w.putRecord(storage.KindOpenJob, newJobID, 1) },
			want:    answer{200, false, protocol.JobPending},
			commits: 1,
		},
		{
			name:    "commit rejected",
			world:   func(w *fakeWorld) { w.commitOutcome = protocol.Rejected },
			want:    answer{503, true, "not kept"},
			commits: 1,
		},
		{
			name:    "commit without an answer",
			world:   func(w *fakeWorld) { w.commitOutcome = protocol.Unknown },
			want:    answer{503, true, unreachable},
			commits: 1,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			world := newFakeWorld()
			if tc.world != nil {
				tc.world(world)
			}
			body := tc.body
			if body == nil {
				body = newSubmission(tc.change)
			}
			respond, got := once(t)
			world.handler().Submit(body, respond)
			if got() != tc.want {
				t.Errorf("got %+v, want %+v", got(), tc.want)
			}
			if len(world.commits) != tc.commits {
				t.Errorf("%d commits, want %d", len(world.commits), tc.commits)
			}
			if accepted := tc.want.status == 201; accepted != (world.accepted[newJobID] == 7) ||
				accepted != (world.placed == 1) {
				t.Errorf("accepted %v, placed %d times", world.accepted, world.placed)
			}
		})
	}
}

// TestBurstIsRejectedLater: the rejection of a burst comes with a longer time to wait than others.
func TestBurstIsRejectedLater(t *testing.T) {
	world := newFakeWorld()
	world.fillQueue(ratelimit.PriorityBurst, 3, world.now) // a quarter of 15 calls, rounded down
	handler := world.handler()
	body := newSubmission(func(s *protocol.Submission) { s.Priority = protocol.BestEffort })
	for i := range minBurstSubmissions {
		var status, retryAfter int
		handler.Submit(body, func(response transport.Response) { status, retryAfter = response.Status, response.RetryAfter })
		if last := i == minBurstSubmissions-1; last != (status == 429) {
			t.Errorf("submission %d: %d", i, status)
		} else if last && (retryAfter < 2 || retryAfter > 4) {
			t.Errorf("to be retried after %d s", retryAfter)
		}
	}
}

// TestStatus: where a job's status is read, and what is answered.
func TestStatus(t *testing.T) {
	resultKey, openKey := storage.Key(storage.KindJobResult, newJobID), storage.Key(storage.KindOpenJob, newJobID)
	done := storage.JobResult{State: storage.JobDone}
	for _, tc := range []struct {
		name  string
		id    string
		world func(*fakeWorld)
		want  answer
		reads []string
	}{
		{name: "no id of a job", id: "x", want: answer{404, false, "no such job"}},
		{
			name:  "remembered, in an outage",
			world: func(w *fakeWorld) { w.cacheResult(newJobID, storage.JobCancelled); w.unavailable = true },
			want:  answer{200, false, protocol.JobCancelled},
		},
		{
			name: "ended in the mirror, in an outage",
			world: func(w *fakeWorld) {
				w.mirrorJob(newJobID, func(job *mirror.Job) { job.FinalStatus = storage.JobCancelled })
				w.unavailable = true
			},
			want: answer{200, false, protocol.JobCancelled},
		},
		{
			name:  "running",
			world: func(w *fakeWorld) { w.mirrorJob(newJobID, func(job *mirror.Job) { job.AssignedTasks = 1 }) },
			want:  answer{200, false, protocol.JobRunning},
		},
		{
			name:  "open, in an outage",
			world: func(w *fakeWorld) { w.mirrorJob(newJobID, nil); w.unavailable = true },
			want:  answer{503, true, unreachable},
		},
		{
			name:  "too many wait",
			world: func(w *fakeWorld) { w.waitingReaders = MaxWaitingReaders },
			want:  answer{429, true, "too many requests"},
		},
		{
			name:  "mirror not current",
			world: func(w *fakeWorld) { w.stale = true },
			want:  answer{503, true, unreachable},
		},
		{
			name:  "queue of users full",
			world: func(w *fakeWorld) { w.fillQueue(ratelimit.PriorityUserRequest, 15, w.now) },
			want:  answer{429, true, "too many requests"},
		},
		{
			name:  "result in the state service",
			world: func(w *fakeWorld) { w.putRecord(storage.KindJobResult, newJobID, &done) },
			want:  answer{200, false, protocol.JobDone},
			reads: []string{resultKey},
		},
		{
			name:  "result that can't be read",
			world: func(w *fakeWorld) { w.putRecord(storage.KindJobResult, newJobID, 1) },
			want:  answer{503, true, "final state can't be read"},
			reads: []string{resultKey},
		},
		{
			name:  "open record in the state service",
			world: func(w *fakeWorld) { w.putRecord(storage.KindOpenJob, newJobID, 1) },
			want:  answer{200, false, protocol.JobPending},
			reads: []string{resultKey, openKey},
		},
		{
			name: "ends between two reads",
			world: func(w *fakeWorld) {
				w.onRead = func(key string) {
					if key == openKey {
						w.putRecord(storage.KindJobResult, newJobID, &done)
					}
				}
			},
			want:  answer{200, false, protocol.JobDone},
			reads: []string{resultKey, openKey, resultKey},
		},
		{name: "unknown", want: answer{404, false, "no such job"}, reads: []string{resultKey, openKey, resultKey}},
		{
			name:  "read without an answer",
			world: func(w *fakeWorld) { w.callOutcome = protocol.Unknown },
			want:  answer{503, true, unreachable},
			reads: []string{resultKey},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			world := newFakeWorld()
			if tc.world != nil {
				tc.world(world)
			}
			id := newJobID
			if tc.id != "" {
				id = tc.id
			}
			respond, got := once(t)
			world.handler().Status(id, respond)
			if got() != tc.want {
				t.Errorf("got %+v, want %+v", got(), tc.want)
			}
			if !slices.Equal(world.reads, tc.reads) {
				t.Errorf("read %v, want %v", world.reads, tc.reads)
			}
		})
	}
}

// TestCancel: what a cancellation answers, and whether it commits.
func TestCancel(t *testing.T) {
	for _, tc := range []struct {
		name    string
		id      string
		world   func(*fakeWorld)
		want    answer
		commits int
	}{
		{name: "no id of a job", id: "x", want: answer{404, false, "no such job"}},
		{name: "unknown", want: answer{404, false, "no such job"}},
		{
			name:  "done",
			world: func(w *fakeWorld) { w.cacheResult(newJobID, storage.JobDone) },
			want:  answer{200, false, protocol.JobDone},
		},
		{
			name: "done, known to the state service only",
			world: func(w *fakeWorld) {
				w.putRecord(storage.KindJobResult, newJobID, &storage.JobResult{State: storage.JobDone})
			},
			want: answer{200, false, protocol.JobDone},
		},
		{
			name:  "outage",
			world: func(w *fakeWorld) { w.mirrorJob(newJobID, nil); w.unavailable = true },
			want:  answer{503, true, unreachable},
		},
		{
			name:    "open",
			world:   func(w *fakeWorld) { w.mirrorJob(newJobID, nil) },
			want:    answer{200, false, protocol.JobCancelled},
			commits: 1,
		},
		{
			name:  "a record that the mirror doesn't hold",
			world: func(w *fakeWorld) { w.putRecord(storage.KindOpenJob, newJobID, 1) },
			want:  answer{503, true, "changing just now"},
		},
		{
			name:    "conflict, result not seen yet",
			world:   func(w *fakeWorld) { w.mirrorJob(newJobID, nil); w.commitOutcome = protocol.Conflict },
			want:    answer{503, true, "changing just now"},
			commits: 1,
		},
		{
			name: "conflict with its completion",
			world: func(w *fakeWorld) {
				w.mirrorJob(newJobID, nil)
				w.commitOutcome = protocol.Conflict
				w.cacheResultOnCommit(newJobID, storage.JobDone)
			},
			want:    answer{200, false, protocol.JobDone},
			commits: 1,
		},
		{
			name:    "commit without an answer",
			world:   func(w *fakeWorld) { w.mirrorJob(newJobID, nil); w.commitOutcome = protocol.Unknown },
			want:    answer{503, true, unreachable},
			commits: 1,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			world := newFakeWorld()
			if tc.world != nil {
				tc.world(world)
			}
			id := newJobID
			if tc.id != "" {
				id = tc.id
			}
			respond, got := once(t)
			world.handler().Cancel(id, respond)
			if got() != tc.want {
				t.Errorf("got %+v, want %+v", got(), tc.want)
			}
			if len(world.commits) != tc.commits {
				t.Errorf("%d commits, want %d", len(world.commits), tc.commits)
			}
			if committed := tc.want.text == protocol.JobCancelled; committed != (len(world.cancelled) == 1) {
				t.Errorf("passed on to the other controllers: %v", world.cancelled)
			}
		})
	}
}

// TestHealth: unhealthy only where others can take the requests, or before the records are loaded.
func TestHealth(t *testing.T) {
	for _, tc := range []struct {
		name  string
		world func(*fakeWorld)
		want  answer
	}{
		{"healthy", func(*fakeWorld) {}, answer{200, false, ""}},
		{"outage for all", func(w *fakeWorld) { w.unavailable = true }, answer{200, false, ""}},
		{"records not loaded", func(w *fakeWorld) { w.notReady = true }, answer{503, true, "records not read yet"}},
		{"cut off alone", func(w *fakeWorld) { w.betterElsewhere = true }, answer{503, true, unreachable}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			world := newFakeWorld()
			tc.world(world)
			if got := answerOf(t, world.handler().Health()); got != tc.want {
				t.Errorf("got %+v, want %+v", got, tc.want)
			}
		})
	}
}

// TestRetryAfterIsSpreadInOutage: one second, or one to three while the state service is unavailable.
func TestRetryAfterIsSpreadInOutage(t *testing.T) {
	world := newFakeWorld()
	handler := world.handler()
	seen := map[int]bool{}
	for range 100 {
		seen[handler.deferRequest(429, "").RetryAfter] = true
	}
	if len(seen) != 1 || !seen[1] {
		t.Errorf("without an outage: %v", seen)
	}
	world.unavailable = true
	for range 100 {
		seen[handler.deferRequest(503, "").RetryAfter] = true
	}
	if len(seen) != 3 || !seen[1] || !seen[2] || !seen[3] {
		t.Errorf("in an outage: %v", seen)
	}
	if got := handler.Counters().RequestsDeferred; got != 200 {
		t.Errorf("%d requests counted", got)
	}
}

// TestMaxQueuedUserCalls: the bounds follow the rate of writes.
func TestMaxQueuedUserCalls(t *testing.T) {
	for _, tc := range []struct {
		rate        float64
		user, burst int
	}{{0, 4, 2}, {5, 4, 2}, {20, 15, 3}, {100, 75, 18}} {
		world := newFakeWorld()
		world.queue.SetRates(ratelimit.Rates{}, ratelimit.Rates{PerSecond: tc.rate})
		handler := world.handler()
		if user, burst := handler.MaxQueuedUserCalls(), handler.maxQueuedBurstCalls(); user != tc.user ||
			burst != tc.burst {
			t.Errorf("%v writes a second: %d and %d, want %d and %d", tc.rate, user, burst, tc.user, tc.burst)
		}
	}
}
