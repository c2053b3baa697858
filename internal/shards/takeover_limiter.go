package shards

import "pipitgap/internal/protocol"

// takeoverLimiter bounds how many shards of other controllers a commit takes machines over from. Their owner
// may be alive, only cut off from these machines, and goes on writing its shards: a commit that compares the
// versions of several of them can fail time and again.
type takeoverLimiter struct {
	sourceLimit    int             // shards that the next commit may take from
	maxSourceLimit int             // and at most
	conflictedKeys map[string]bool // keys that the last one failed on: they come last
}

// maxTakeoverSources is how many shards of other controllers a commit may take machines from at most.
const maxTakeoverSources = 4

// newTakeoverLimiter begins with as many sources as a transaction holds: beside the own shard and quota
// shares it changes each source and its owner's quota shares.
func newTakeoverLimiter(maxTxnOps int) takeoverLimiter {
	limit := max(1, min(maxTakeoverSources, (maxTxnOps-2)/2))
	return takeoverLimiter{sourceLimit: limit, maxSourceLimit: limit, conflictedKeys: map[string]bool{}}
}

// recordOutcome follows what became of a commit that took machines over.
func (l *takeoverLimiter) recordOutcome(result protocol.StoreResult) {
	clear(l.conflictedKeys)
	switch result.Outcome {
	case protocol.OK:
		l.sourceLimit = min(2*l.sourceLimit, l.maxSourceLimit)
	case protocol.Conflict:
		l.sourceLimit = max(1, l.sourceLimit/2)
		for _, key := range result.Failed {
			l.conflictedKeys[key] = true
		}
	}
}
