package api

import (
	"cmp"
	"slices"
	"testing"

	"pipitgap/internal/mirror"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/storage"
)

// TestStatus: where a job's status is read, and what is answered.
func TestStatus(t *testing.T) {
	resultKey, openKey := storage.JobResultKey(newJobID), storage.OpenJobKey(newJobID)
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
				w.mirrorJob(newJobID, func(job *mirror.Job) { job.FinalState = storage.JobCancelled })
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
			world := newChangedWorld(tc.world)
			world.expectAnswer(t, tc.want, func(h *Handler, respond Respond) {
				h.Status(cmp.Or(tc.id, newJobID), respond)
			})
			if !slices.Equal(world.reads, tc.reads) {
				t.Errorf("read %v, want %v", world.reads, tc.reads)
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
		{"cut off alone", func(w *fakeWorld) { w.unreachableOnlyHere = true }, answer{503, true, unreachable}},
		{"isolated", func(w *fakeWorld) { w.isolated = true }, answer{503, true, unreachable}},
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
