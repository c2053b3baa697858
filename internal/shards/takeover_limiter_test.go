package shards

import (
	"testing"

	"pipitgap/internal/protocol"
)

// A conflict halves the number of source shards of the next takeover commit, and a success doubles it.
func TestTakeoverLimitHalvesOnConflict(t *testing.T) {
	limiter := newTakeoverLimiter(32)
	const ok, conflict = protocol.OK, protocol.Conflict
	for i, step := range []struct {
		outcome protocol.Outcome
		want    int
	}{{ok, 4}, {conflict, 2}, {conflict, 1}, {conflict, 1}, {protocol.Unknown, 1}, {ok, 2}, {ok, 4}, {ok, 4}} {
		limiter.recordOutcome(protocol.StoreResult{Outcome: step.outcome})
		if limiter.sourceLimit != step.want {
			t.Errorf("step %d (%s): got %d source shards, want %d", i, step.outcome, limiter.sourceLimit, step.want)
		}
	}
}

// The initial limit is the number of source shards that fit into a transaction, but at least 1.
func TestTakeoverLimitFitsTransaction(t *testing.T) {
	for _, tc := range []struct{ maxTxnOps, want int }{{2, 1}, {4, 1}, {6, 2}, {8, 3}, {10, 4}, {100, 4}} {
		if got := newTakeoverLimiter(tc.maxTxnOps).sourceLimit; got != tc.want {
			t.Errorf("%d operations: got %d source shards, want %d", tc.maxTxnOps, got, tc.want)
		}
	}
}
