// Package stubs has parts of the stubs with which tests of a package stand in for the rest of a controller.
package stubs

import (
	"testing"

	"pipitgap/internal/mirror"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
)

// Commit is a commit whose result a test decides.
type Commit struct {
	Priority    ratelimit.Priority
	Transaction protocol.Transaction
	Callback    func(protocol.StoreResult)
}

// HeldCommits keeps commits until a test answers them. The zero value holds none.
type HeldCommits struct {
	Commits []Commit // oldest first
}

// Commit keeps a commit.
func (h *HeldCommits) Commit(
	priority ratelimit.Priority,
	transaction protocol.Transaction,
	callback func(protocol.StoreResult),
) {
	h.Commits = append(h.Commits, Commit{priority, transaction, callback})
}

// TakeOldest removes the oldest commit and returns it; the test fails if there is none.
func (h *HeldCommits) TakeOldest(t testing.TB) Commit {
	t.Helper()
	if len(h.Commits) == 0 {
		t.Fatal("no commit was made")
	}
	oldest := h.Commits[0]
	h.Commits = h.Commits[1:]
	return oldest
}

// Only returns the one commit that a test wants to be held, or none; the test fails if more or fewer are.
func (h *HeldCommits) Only(t testing.TB, wantCommit bool) (commit Commit, ok bool) {
	t.Helper()
	if held := len(h.Commits); held > 1 || (held == 1) != wantCommit {
		t.Fatalf("%d commits, want one: %t; they are %+v", held, wantCommit, h.Commits)
	}
	if !wantCommit {
		return Commit{}, false
	}
	return h.Commits[0], true
}

// AppliedCommits has every commit succeed at once and change the mirror.
type AppliedCommits struct {
	Mirror   *mirror.Mirror
	Revision uint64 // of the last change
	Made     int    // commits so far
}

// Commit applies a transaction, whatever its conditions are.
func (a *AppliedCommits) Commit(
	_ ratelimit.Priority,
	transaction protocol.Transaction,
	callback func(protocol.StoreResult),
) {
	a.Revision++
	a.Made++
	for _, operation := range transaction.Then {
		if operation.Delete != "" {
			a.Mirror.ApplyDelete(operation.Delete, a.Revision, false)
		} else {
			a.Mirror.ApplyPut(operation.Put, operation.Value, a.Revision)
		}
	}
	callback(protocol.StoreResult{Outcome: protocol.OK})
}
