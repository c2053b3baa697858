package api

import (
	"cmp"
	"testing"

	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// TestCancel checks the response to a cancellation, the number of commits, and that only a committed
// cancellation is forwarded to the other controllers.
func TestCancel(t *testing.T) {
	for _, tc := range []struct {
		name    string
		id      string
		setup   func(*fakeDependencies)
		want    answer
		commits int
	}{
		{name: "invalid job id", id: "x", want: answer{404, false, "no such job"}},
		{name: "unknown job", want: answer{404, false, "no such job"}},
		{
			name:  "done",
			setup: func(d *fakeDependencies) { d.cacheResult(newJobID, storage.JobDone) },
			want:  answer{200, false, protocol.JobDone},
		},
		{
			name: "done, result only in the state service",
			setup: func(d *fakeDependencies) {
				d.putRecord(storage.KindJobResult, newJobID, &storage.JobResult{State: storage.JobDone})
			},
			want: answer{200, false, protocol.JobDone},
		},
		{
			name:  "open, state service unavailable",
			setup: func(d *fakeDependencies) { d.mirrorJob(newJobID, nil); d.unavailable = true },
			want:  answer{503, true, unreachable},
		},
		{
			name:    "open",
			setup:   func(d *fakeDependencies) { d.mirrorJob(newJobID, nil) },
			want:    answer{200, false, protocol.JobCancelled},
			commits: 1,
		},
		{
			name:  "open record not in the mirror",
			setup: func(d *fakeDependencies) { d.putRecord(storage.KindOpenJob, newJobID, 1) },
			want:  answer{503, true, "changing just now"},
		},
		{
			name:    "conflict, result not yet visible",
			setup:   func(d *fakeDependencies) { d.mirrorJob(newJobID, nil); d.commitOutcome = protocol.Conflict },
			want:    answer{503, true, "changing just now"},
			commits: 1,
		},
		{
			name: "conflict with the job's completion",
			setup: func(d *fakeDependencies) {
				d.mirrorJob(newJobID, nil)
				d.commitOutcome = protocol.Conflict
				d.cacheResultOnCommit(newJobID, storage.JobDone)
			},
			want:    answer{200, false, protocol.JobDone},
			commits: 1,
		},
		{
			name:    "commit with unknown outcome",
			setup:   func(d *fakeDependencies) { d.mirrorJob(newJobID, nil); d.commitOutcome = protocol.Unknown },
			want:    answer{503, true, unreachable},
			commits: 1,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			deps := newModifiedDependencies(tc.setup)
			deps.expectAnswer(t, tc.want, func(h *Handler, respond Respond) {
				h.Cancel(cmp.Or(tc.id, newJobID), respond)
			})
			if len(deps.commits) != tc.commits {
				t.Errorf("%s: got %d commits, want %d", tc.name, len(deps.commits), tc.commits)
			}
			if committed := tc.want.text == protocol.JobCancelled; committed != (len(deps.cancelled) == 1) {
				t.Errorf("%s: got %v forwarded to the other controllers, want one cancellation: %v",
					tc.name, deps.cancelled, committed)
			}
		})
	}
}
