package shards

import (
	"testing"

	"pipitgap/internal/protocol"
)

// After a conflict a commit takes machines over from half as many shards, after success from twice as many again.
func TestTakeoverLimitHalvesOnConflict(t *testing.T) {
	limiter := newTakeoverLimiter(32)
	const ok, conflict = protocol.OK, protocol.Conflict
	for i, step := range []struct {
		outcome protocol.Outcome
		want    int
	}{{ok, 4}, {conflict, 2}, {conflict, 1}, {conflict, 1}, {protocol.Unknown, 1}, {ok, 2}, {ok, 4}, {ok, 4}} {
		limiter.recordOutcome(protocol.StoreResult{Outcome: step.outcome})
		if limiter.sourceLimit != step.want {
			t.Errorf("step %d: from %d shards, want %d", i, limiter.sourceLimit, step.want)
		}
	}
}

// A commit takes from no more shards than a transaction holds, and from one in any case.
func TestTakeoverLimitFitsTransaction(t *testing.T) {
	for _, tc := range []struct{ maxTxnOps, want int }{{2, 1}, {4, 1}, {6, 2}, {8, 3}, {10, 4}, {100, 4}} {
		if got := newTakeoverLimiter(tc.maxTxnOps).sourceLimit; got != tc.want {
			t.Errorf("%d operations: from %d shards, want %d", tc.maxTxnOps, got, tc.want)
		}
	}
}
