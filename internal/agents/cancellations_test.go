package agents

import (
	"log/slog"
	"testing"

	"pipitgap/internal/cancellation"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/storage"
)

// newTestCancellations begins the exchange of n-0 with n-1, with a mirror that was last up to date at a time.
func newTestCancellations(replica *mirror.Mirror, freshAt monotime.Micros) *Cancellations {
	return NewCancellations(
		replica,
		cancellation.NewRelay(1, []string{"n-1"}),
		func() monotime.Micros { return freshAt },
		10*second,
		slog.New(slog.DiscardHandler),
	)
}

// TestLeaseRenewalIsSuspended: leases are renewed for as long as what is known of cancellations is young enough.
func TestLeaseRenewalIsSuspended(t *testing.T) {
	cs := newTestCancellations(mirror.New(), 50*second)
	for _, tc := range []struct {
		at        monotime.Micros
		suspended bool
	}{{50 * second, false}, {60*second - 1, false}, {60 * second, true}, {59 * second, false}} {
		if got := cs.SuspendsLeaseRenewal(tc.at); got != tc.suspended {
			t.Errorf("at %d s: suspended %v", tc.at/second, got)
		}
	}
}

// TestPeerCancellationsAreApplied: a peer's cancellation reaches the mirror ahead of the watch, unless the watch has
// passed its revision.
func TestPeerCancellationsAreApplied(t *testing.T) {
	for _, tc := range []struct {
		name      string
		revision  uint64
		cancelled bool
	}{{"newer than the mirror", 21, true}, {"known to the watch", 20, false}} {
		replica, _ := newMirrorWithAttempt(t, storage.JobSpec{})
		replica.WatchedRevision = 20
		cs := newTestCancellations(replica, 0)
		cs.Receive("n-1", cancellation.RoundMessage{
			Incarnation: 5, Round: 1, MessagesInRound: 1,
			Committed: []cancellation.Committed{{Job: testTask.Job, Revision: tc.revision}},
		})
		if cancelled := replica.Jobs[testTask.Job].FinalState == storage.JobCancelled; cancelled != tc.cancelled {
			t.Errorf("%s: cancelled %v", tc.name, cancelled)
		}
	}
}

// TestReconcileCancellations: after all records were read anew the exchange has the cancellations that they hold and
// none of jobs that are gone.
func TestReconcileCancellations(t *testing.T) {
	replica, _ := newMirrorWithAttempt(t, storage.JobSpec{})
	cancelJob(replica)
	replica.WatchedRevision = 30
	cs := newTestCancellations(replica, 0)
	cs.Add(cancellation.Committed{Job: "j-gone", Revision: 9})
	cs.Reconcile()
	messages := cs.MessagesFor("n-1", 0, true)
	if len(messages) != 1 || len(messages[0].Committed) != 1 || messages[0].Committed[0].Job != testTask.Job {
		t.Errorf("messages %+v", messages)
	}
	cs.Forget(testTask.Job)
	if messages := cs.MessagesFor("n-1", 0, true); len(messages[0].Committed) != 0 {
		t.Errorf("after its end: messages %+v", messages)
	}
}
