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

// TestStatus checks the response to a status request and which records are read from the state service.
func TestStatus(t *testing.T) {
	resultKey, openKey := storage.JobResultKey(newJobID), storage.OpenJobKey(newJobID)
	done := storage.JobResult{State: storage.JobDone}
	for _, tc := range []struct {
		name  string
		id    string
		setup func(*fakeDependencies)
		want  answer
		reads []string
	}{
		{name: "invalid job id", id: "x", want: answer{404, false, "no such job"}},
		{
			name:  "cached result, state service unavailable",
			setup: func(d *fakeDependencies) { d.cacheResult(newJobID, storage.JobCancelled); d.unavailable = true },
			want:  answer{200, false, protocol.JobCancelled},
		},
		{
			name: "result in the mirror, state service unavailable",
			setup: func(d *fakeDependencies) {
				d.mirrorJob(newJobID, func(job *mirror.Job) { job.FinalState = storage.JobCancelled })
				d.unavailable = true
			},
			want: answer{200, false, protocol.JobCancelled},
		},
		{
			name:  "running",
			setup: func(d *fakeDependencies) { d.mirrorJob(newJobID, func(job *mirror.Job) { job.AssignedTasks = 1 }) },
			want:  answer{200, false, protocol.JobRunning},
		},
		{
			name:  "open, state service unavailable",
			setup: func(d *fakeDependencies) { d.mirrorJob(newJobID, nil); d.unavailable = true },
			want:  answer{503, true, unreachable},
		},
		{
			name:  "too many waiting readers",
			setup: func(d *fakeDependencies) { d.waitingReaders = MaxWaitingReaders },
			want:  answer{429, true, "too many requests"},
		},
		{
			name:  "mirror not current",
			setup: func(d *fakeDependencies) { d.stale = true },
			want:  answer{503, true, unreachable},
		},
		{
			name:  "queue of user calls full",
			setup: func(d *fakeDependencies) { d.fillQueue(ratelimit.PriorityUserRequest, 15, d.now) },
			want:  answer{429, true, "too many requests"},
		},
		{
			name:  "result in the state service",
			setup: func(d *fakeDependencies) { d.putRecord(storage.KindJobResult, newJobID, &done) },
			want:  answer{200, false, protocol.JobDone},
			reads: []string{resultKey},
		},
		{
			name:  "result that can't be decoded",
			setup: func(d *fakeDependencies) { d.putRecord(storage.KindJobResult, newJobID, 1) },
			want:  answer{503, true, "final state can't be read"},
			reads: []string{resultKey},
		},
		{
			name:  "open record in the state service",
			setup: func(d *fakeDependencies) { d.putRecord(storage.KindOpenJob, newJobID, 1) },
			want:  answer{200, false, protocol.JobPending},
			reads: []string{resultKey, openKey},
		},
		{
			name: "job ends between two reads",
			setup: func(d *fakeDependencies) {
				d.onRead = func(key string) {
					if key == openKey {
						d.putRecord(storage.KindJobResult, newJobID, &done)
					}
				}
			},
			want:  answer{200, false, protocol.JobDone},
			reads: []string{resultKey, openKey, resultKey},
		},
		{name: "unknown job", want: answer{404, false, "no such job"}, reads: []string{resultKey, openKey, resultKey}},
		{
			name:  "read with unknown outcome",
			setup: func(d *fakeDependencies) { d.callOutcome = protocol.Unknown },
			want:  answer{503, true, unreachable},
			reads: []string{resultKey},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			deps := newModifiedDependencies(tc.setup)
			deps.expectAnswer(t, tc.want, func(h *Handler, respond Respond) {
				h.Status(cmp.Or(tc.id, newJobID), respond)
			})
			if !slices.Equal(deps.reads, tc.reads) {
				t.Errorf("%s: got reads of %v, want %v", tc.name, deps.reads, tc.reads)
			}
		})
	}
}

// TestHealth checks that a controller is unhealthy only if other controllers can handle the requests, or if
// its records aren't loaded yet.
func TestHealth(t *testing.T) {
	for _, tc := range []struct {
		name  string
		setup func(*fakeDependencies)
		want  answer
	}{
		{"healthy", func(*fakeDependencies) {}, answer{200, false, ""}},
		{"state service unavailable to all", func(d *fakeDependencies) { d.unavailable = true }, answer{200, false, ""}},
		{"records not loaded", func(d *fakeDependencies) { d.notReady = true }, answer{503, true, "records not read yet"}},
		{"state service unreachable only here", func(d *fakeDependencies) { d.unreachableOnlyHere = true }, answer{503, true, unreachable}},
		{"isolated", func(d *fakeDependencies) { d.isolated = true }, answer{503, true, unreachable}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			deps := newFakeDependencies()
			tc.setup(deps)
			if got := answerOf(t, deps.handler().Health()); got != tc.want {
				t.Errorf("%s: got %+v, want %+v", tc.name, got, tc.want)
			}
		})
	}
}
