package api

import (
	"cmp"
	"testing"

	"pipitgap/internal/cancellation"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
	"pipitgap/internal/transport"
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

// TestReadCancellationIsLearnedBeforeAnswer guards against a cancellation that is read from the state service
// and confirmed, but not forwarded to the other controllers.
func TestReadCancellationIsLearnedBeforeAnswer(t *testing.T) {
	requests := map[string]func(h *Handler, respond Respond){
		"status":              func(h *Handler, respond Respond) { h.Status(newJobID, respond) },
		"cancellation":        func(h *Handler, respond Respond) { h.Cancel(newJobID, respond) },
		"repeated submission": func(h *Handler, respond Respond) { h.Submit(newSubmission(nil), respond) },
	}
	for name, request := range requests {
		t.Run(name, func(t *testing.T) {
			d := newFakeDependencies()
			d.commitOutcome = protocol.Conflict // of the submission
			d.putRecord(storage.KindJobResult, newJobID, &storage.JobResult{State: storage.JobCancelled})
			learned := -1
			request(d.handler(), func(transport.Response) { learned = len(d.cancelled) })
			want := cancellation.Committed{Job: newJobID, Revision: recordVersion}
			if learned != 1 || d.cancelled[0] != want || d.sources[0] != cancellation.SourceRead {
				t.Errorf("at the answer: got %d learned cancellations %v from %v, want %v from a read",
					learned, d.cancelled, d.sources, want)
			}
		})
	}
}

// TestUnexchangedCancellationIsNotConfirmed guards against confirming a cancellation that the exchange between
// controllers lacks.
func TestUnexchangedCancellationIsNotConfirmed(t *testing.T) {
	d := newFakeDependencies()
	d.unexchanged = true
	d.cacheResult(newJobID, storage.JobCancelled)
	h := d.handler()
	for _, request := range []func(respond Respond){
		func(respond Respond) { h.Status(newJobID, respond) },
		func(respond Respond) { h.Cancel(newJobID, respond) },
		func(respond Respond) { h.Submit(newSubmission(nil), respond) },
	} {
		request(func(response transport.Response) {
			if response.Status != transport.StatusUnavailable || response.RetryAfter == 0 {
				t.Errorf("got status %d, want 503 with a delay", response.Status)
			}
		})
	}
	if violations := h.invariants.Violations(); violations != 3 {
		t.Errorf("got %d violations, want 3", violations)
	}
}
