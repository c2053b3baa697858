package stubs

import (
	"testing"

	"pipitgap/internal/mirror"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/storage"
)

func TestHeldCommitsReturnOldestFirst(t *testing.T) {
	var held HeldCommits
	var answered []uint64
	answer := func(result protocol.StoreResult) { answered = append(answered, result.Revision) }
	if _, ok := held.SingleCommit(t, false); ok {
		t.Error("empty queue: got a commit, want none")
	}
	for _, priority := range []ratelimit.Priority{ratelimit.PriorityLease, ratelimit.PriorityBackground} {
		held.Commit(priority, protocol.Transaction{}, answer)
	}
	oldest := held.TakeOldest(t)
	if oldest.Priority != ratelimit.PriorityLease {
		t.Errorf("TakeOldest: got %+v, want the earlier commit", oldest)
	}
	oldest.Callback(protocol.StoreResult{Revision: 1})
	last, ok := held.SingleCommit(t, true)
	if !ok || last.Priority != ratelimit.PriorityBackground {
		t.Errorf("Only: got %+v, ok %t, want the later commit", last, ok)
	}
	last.Callback(protocol.StoreResult{Revision: 2})
	if len(answered) != 2 || answered[0] != 1 || answered[1] != 2 {
		t.Errorf("got answers with revisions %v, want [1 2]", answered)
	}
}

func TestAppliedCommitsChangeTheMirror(t *testing.T) {
	applied := AppliedCommits{Mirror: mirror.New(), Revision: 7}
	outcomes := 0
	commit := func(txn protocol.Transaction) {
		applied.Commit(ratelimit.PriorityBackground, txn, func(result protocol.StoreResult) {
			if result.Outcome == protocol.OK {
				outcomes++
			}
		})
	}
	key := storage.DrainKey("d")
	commit(protocol.PutIfUnchanged(key, 0, &storage.Drain{State: storage.DrainActive}))
	if version := applied.Mirror.VersionOf(key); version != 8 {
		t.Errorf("after the put: got version %d, want 8", version)
	}
	commit(protocol.DeleteIfUnchanged(key, 8))
	if version := applied.Mirror.VersionOf(key); version != 0 {
		t.Errorf("after the delete: got version %d, want 0 (absent)", version)
	}
	if outcomes != 2 || applied.Count != 2 || applied.Revision != 9 {
		t.Errorf("got %d successful outcomes, %d commits, revision %d, want 2, 2, 9",
			outcomes, applied.Count, applied.Revision)
	}
}
