package api

import (
	"cmp"
	"testing"

	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// TestCancel: what a cancellation answers, and whether it commits.
func TestCancel(t *testing.T) {
	for _, tc := range []struct {
		name    string
		id      string
		setup   func(*fakeDependencies)
		want    answer
		commits int
	}{
		{name: "no id of a job", id: "x", want: answer{404, false, "no such job"}},
		{name: "unknown", want: answer{404, false, "no such job"}},
		{
			name:  "done",
			setup: func(d *fakeDependencies) { d.cacheResult(newJobID, storage.JobDone) },
			want:  answer{200, false, protocol.JobDone},
		},
		{
			name: "done, known to the state service only",
			setup: func(d *fakeDependencies) {
				d.putRecord(storage.KindJobResult, newJobID, &storage.JobResult{State: storage.JobDone})
			},
			want: answer{200, false, protocol.JobDone},
		},
		{
			name:  "outage",
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
			name:  "a record that the mirror doesn't hold",
			setup: func(d *fakeDependencies) { d.putRecord(storage.KindOpenJob, newJobID, 1) },
			want:  answer{503, true, "changing just now"},
		},
		{
			name:    "conflict, result not seen yet",
			setup:   func(d *fakeDependencies) { d.mirrorJob(newJobID, nil); d.commitOutcome = protocol.Conflict },
			want:    answer{503, true, "changing just now"},
			commits: 1,
		},
		{
			name: "conflict with its completion",
			setup: func(d *fakeDependencies) {
				d.mirrorJob(newJobID, nil)
				d.commitOutcome = protocol.Conflict
				d.cacheResultOnCommit(newJobID, storage.JobDone)
			},
			want:    answer{200, false, protocol.JobDone},
			commits: 1,
		},
		{
			name:    "commit without an answer",
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
				t.Errorf("%d commits, want %d", len(deps.commits), tc.commits)
			}
			if committed := tc.want.text == protocol.JobCancelled; committed != (len(deps.cancelled) == 1) {
				t.Errorf("passed on to the other controllers: %v", deps.cancelled)
			}
		})
	}
}
