package agents

import (
	"log/slog"
	"testing"

	"pipitgap/internal/cancellation"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// newTestCancellations returns the Cancellations of n-0 with the peer n-1 and a mirror that was last up to
// date at freshAt.
func newTestCancellations(replica *mirror.Mirror, freshAt monotime.Micros) *Cancellations {
	return NewCancellations(
		replica,
		cancellation.NewRelay(1, []string{"n-1"}),
		func() monotime.Micros { return freshAt },
		10*second,
		slog.New(slog.DiscardHandler),
	)
}

// TestLeaseRenewalIsSuspended checks that leases are renewed only while the knowledge of cancellations is
// younger than the renewal window.
func TestLeaseRenewalIsSuspended(t *testing.T) {
	cs := newTestCancellations(mirror.New(), 50*second)
	for _, tc := range []struct {
		at        monotime.Micros
		suspended bool
	}{{50 * second, false}, {60*second - 1, false}, {60 * second, true}, {59 * second, false}} {
		if got := cs.SuspendsLeaseRenewal(tc.at); got != tc.suspended {
			t.Errorf("at %d s: got suspended %v, want %v", tc.at/second, got, tc.suspended)
		}
	}
}

// TestPeerCancellationsAreApplied checks that a cancellation from a peer is applied to the mirror ahead of
// the watch, unless the watch has already passed its revision.
func TestPeerCancellationsAreApplied(t *testing.T) {
	for _, tc := range []struct {
		name      string
		revision  uint64
		cancelled bool
	}{{"newer than the mirror", 21, true}, {"not newer than the mirror", 20, false}} {
		replica, _ := newMirrorWithAttempt(t, storage.JobSpec{})
		replica.WatchedRevision = 20
		cs := newTestCancellations(replica, 0)
		cs.Receive("n-1", cancellation.RoundMessage{
			Incarnation: 5, Round: 1, MessagesInRound: 1,
			Committed: []cancellation.Committed{{Job: testTask.Job, Revision: tc.revision}},
		})
		if cancelled := replica.Jobs[testTask.Job].FinalState == storage.JobCancelled; cancelled != tc.cancelled {
			t.Errorf("%s: got cancelled %v, want %v", tc.name, cancelled, tc.cancelled)
		}
	}
}

// TestReconcileCancellations checks that, after all records have been read again, the exchange contains the
// cancellations in the records and none of jobs that no longer exist.
func TestReconcileCancellations(t *testing.T) {
	replica, _ := newMirrorWithAttempt(t, storage.JobSpec{})
	cancelJob(replica)
	replica.WatchedRevision = 30
	cs := newTestCancellations(replica, 0)
	cs.Learn(cancellation.Committed{Job: "j-gone", Revision: 9}, cancellation.SourcePeer)
	cs.Reconcile()
	messages := cs.MessagesFor("n-1", 0, true)
	if len(messages) != 1 || len(messages[0].Committed) != 1 || messages[0].Committed[0].Job != testTask.Job {
		t.Errorf("got messages %+v, want one with the cancellation of %s only", messages, testTask.Job)
	}
	cs.Forget(testTask.Job)
	if messages := cs.MessagesFor("n-1", 0, true); len(messages[0].Committed) != 0 {
		t.Errorf("after Forget: got messages %+v, want the first without cancellations", messages)
	}
}

// TestOpenRecordAfterCancellationIsCancelled guards against a job that runs because its open record reaches
// the mirror after its cancellation, which was evicted from the cache of results or lost in a reload.
func TestOpenRecordAfterCancellationIsCancelled(t *testing.T) {
	for _, tc := range []struct {
		name   string
		forget func(replica *mirror.Mirror)
	}{
		{"result in the cache", func(*mirror.Mirror) {}},
		{"result evicted", func(replica *mirror.Mirror) { replica.Results = mirror.NewResultCache(1) }},
		{"mirror reloaded", func(replica *mirror.Mirror) { replica.Replace(mirror.New(), 20, 20) }},
	} {
		replica := mirror.New()
		replica.WatchedRevision = 20
		cs := newTestCancellations(replica, 0)
		cs.Learn(cancellation.Committed{Job: testTask.Job, Revision: 25}, cancellation.SourcePeer)
		tc.forget(replica)
		replica.ApplyPut(storage.OpenJobKey(testTask.Job), protocol.MustMarshal(&storage.OpenJob{
			Spec: storage.JobSpec{Tasks: 1, CPUs: 1},
		}), 22)
		cs.ApplyTo(replica.Jobs[testTask.Job])
		if job := replica.Jobs[testTask.Job]; job.FinalState != storage.JobCancelled || job.FinalRevision != 25 {
			t.Errorf("%s: got final state %q of revision %d, want cancelled of 25",
				tc.name, job.FinalState, job.FinalRevision)
		}
	}
}

// TestReadCancellationReachesMirrorAndPeers guards against a cancellation that was read from the state service
// and is known only to the cache of results.
func TestReadCancellationReachesMirrorAndPeers(t *testing.T) {
	for _, tc := range []struct {
		name     string
		revision uint64
		open     bool // the mirror has an open record of the job
		held     bool
	}{
		{"newer than the mirror", 25, true, true},
		{"newer than the mirror, before the open record", 25, false, true},
		{"the mirror has passed it, nothing is left of the job", 20, false, false},
	} {
		replica := mirror.New()
		if tc.open {
			replica, _ = newMirrorWithAttempt(t, storage.JobSpec{})
		}
		replica.WatchedRevision = 20
		cs := newTestCancellations(replica, 0)
		cs.Learn(cancellation.Committed{Job: testTask.Job, Revision: tc.revision}, cancellation.SourceRead)
		replica.Results.Add(testTask.Job, mirror.Result{State: storage.JobCancelled, Revision: tc.revision})
		if cs.Holds(testTask.Job) != tc.held {
			t.Errorf("%s: got part of the exchange %v, want %v", tc.name, !tc.held, tc.held)
		}
		if job := replica.Jobs[testTask.Job]; job != nil && job.IsOpen() {
			t.Errorf("%s: the job is open in the mirror, want cancelled", tc.name)
		}
		if !cs.MayConfirm(testTask.Job) {
			t.Errorf("%s: the cancellation may not be confirmed, want that it may", tc.name)
		}
	}
}

// TestRoundIsAppliedBeforeCommandsFollow guards against commands that start a task of a job whose cancellation
// came in the same round as the one that the commands follow from.
func TestRoundIsAppliedBeforeCommandsFollow(t *testing.T) {
	replica := mirror.New()
	for _, id := range []string{"j-1", "j-2"} {
		replica.ApplyPut(storage.OpenJobKey(id), protocol.MustMarshal(&storage.OpenJob{
			Spec: storage.JobSpec{Tasks: 1, CPUs: 1},
		}), 5)
	}
	changes := 0
	replica.Observe(func(storage.Kind, string, bool) {
		changes++
		for id, job := range replica.Jobs {
			if job.IsOpen() {
				t.Errorf("at change %d: job %s is open, want both cancelled", changes, id)
			}
		}
	}, func(string) {})
	cs := newTestCancellations(replica, 0)
	cs.Receive("n-1", cancellation.RoundMessage{
		Incarnation: 5, Round: 1, MessagesInRound: 1,
		Committed: []cancellation.Committed{{Job: "j-1", Revision: 21}, {Job: "j-2", Revision: 22}},
	})
	if changes != 2 {
		t.Errorf("got %d changes, want 2", changes)
	}
}
