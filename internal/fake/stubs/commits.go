// Package stubs provides building blocks for test stubs of the parts of a controller that the package under
// test calls.
package stubs

import (
	"testing"

	"pipitgap/internal/mirror"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
)

// Commit is a commit that waits for the test to pass a result to Callback.
type Commit struct {
	Priority    ratelimit.Priority
	Transaction protocol.Transaction
	Callback    func(protocol.StoreResult)
}

// HeldCommits queues commits until a test answers them. The zero value is an empty queue.
type HeldCommits struct {
	Commits []Commit // oldest first
}

// Commit appends a commit to the queue.
func (h *HeldCommits) Commit(
	priority ratelimit.Priority,
	transaction protocol.Transaction,
	callback func(protocol.StoreResult),
) {
	h.Commits = append(h.Commits, Commit{priority, transaction, callback})
}

// TakeOldest removes and returns the oldest commit. It fails the test if there is none.
func (h *HeldCommits) TakeOldest(t testing.TB) Commit {
	t.Helper()
	if len(h.Commits) == 0 {
		t.Fatal("got no commit, want at least 1")
	}
	oldest := h.Commits[0]
	h.Commits = h.Commits[1:]
	return oldest
}

// SingleCommit returns the single commit in the queue if wantCommit is set, and otherwise no commit. It fails the
// test if the queue does not hold exactly one commit or none, respectively.
func (h *HeldCommits) SingleCommit(t testing.TB, wantCommit bool) (commit Commit, ok bool) {
	t.Helper()
	if held := len(h.Commits); held > 1 || (held == 1) != wantCommit {
		t.Fatalf("got %d commits, want exactly one: %t; commits: %+v", held, wantCommit, h.Commits)
	}
	if !wantCommit {
		return Commit{}, false
	}
	return h.Commits[0], true
}

// AppliedCommits applies every commit to the mirror and answers it with success immediately.
type AppliedCommits struct {
	Mirror   *mirror.Mirror
	Revision uint64 // of the last commit
	Count    int    // number of commits so far
}

// Commit applies a transaction without checking its comparisons.
func (a *AppliedCommits) Commit(
	_ ratelimit.Priority,
	transaction protocol.Transaction,
	callback func(protocol.StoreResult),
) {
	a.Revision++
	a.Count++
	for _, operation := range transaction.Then {
		if operation.Delete != "" {
			a.Mirror.ApplyDelete(operation.Delete, a.Revision, false)
		} else {
			a.Mirror.ApplyPut(operation.Put, operation.Value, a.Revision)
		}
	}
	callback(protocol.StoreResult{Outcome: protocol.OK})
}
