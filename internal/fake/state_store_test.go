package fake

import (
	"testing"

	"pipitgap/internal/protocol"
)

// TestOpenWatchOfRefusedCallerIsNotAnswered guards against a refused controller that learns through a watch.
func TestOpenWatchOfRefusedCallerIsNotAnswered(t *testing.T) {
	sim := NewSimClock(1)
	store := NewStateStore(sim, 100, 100, 10)
	answers := map[string]int{}
	for _, caller := range []string{"refused", "served"} {
		call := &protocol.StoreCall{Op: protocol.StoreWatch, Key: "a/", MaxBlock: 10 * second, Timeout: 20 * second}
		store.Call(caller, call, func(result protocol.StoreResult) { answers[caller] = len(result.Events) })
	}
	sim.Run(second)
	store.RefusedCallers["refused"] = true
	put := func() {
		txn := protocol.Transaction{Then: []protocol.Op{{Put: "a/1", Value: protocol.MustMarshal("x")}}}
		call := &protocol.StoreCall{Op: protocol.StoreCommit, Transaction: txn, Timeout: second}
		store.Call("served", call, func(protocol.StoreResult) {})
		sim.Run(second)
	}
	put()
	if answers["refused"] != 0 || answers["served"] != 1 {
		t.Errorf("while one caller is refused: got events %v, want 1 for the served caller only", answers)
	}
	delete(store.RefusedCallers, "refused")
	put()
	if answers["refused"] != 2 {
		t.Errorf("after the refusal: got %d events, want 2", answers["refused"])
	}
}

// TestWatchOfCallerThatGaveUpIsDropped guards against an answer, counted as read, that nobody waits for.
func TestWatchOfCallerThatGaveUpIsDropped(t *testing.T) {
	sim := NewSimClock(1)
	store := NewStateStore(sim, 100, 100, 10)
	call := &protocol.StoreCall{Op: protocol.StoreWatch, Key: "a/", MaxBlock: second, Timeout: 2 * second}
	store.Call("refused", call, func(protocol.StoreResult) {})
	sim.Run(second / 10)
	store.RefusedCallers["refused"] = true
	sim.Run(3 * second)
	delete(store.RefusedCallers, "refused")
	txn := protocol.Transaction{Then: []protocol.Op{{Put: "a/1", Value: protocol.MustMarshal("x")}}}
	commit := &protocol.StoreCall{Op: protocol.StoreCommit, Transaction: txn, Timeout: second}
	store.Call("served", commit, func(protocol.StoreResult) {})
	sim.Run(second)
	if store.LargestWatchReply != 0 {
		t.Errorf("got a watch answer with %d changes, want none", store.LargestWatchReply)
	}
}
