package shards

import "pipitgap/internal/protocol"

// takeoverLimiter limits the number of source shards from which one commit takes over machines. The owner of a
// source shard may be alive and cut off only from these machines, and may continue to write the shard. A commit
// that compares the versions of several such shards can therefore conflict repeatedly.
type takeoverLimiter struct {
	sourceLimit    int // maximum number of source shards of the next commit
	maxSourceLimit int // upper bound of sourceLimit
	// conflictedKeys are the keys that the last commit conflicted on. The next pass tries their shards last.
	conflictedKeys map[string]bool
}

// maxTakeoverSources bounds sourceLimit, whatever the transaction size allows.
const maxTakeoverSources = 4

// newTakeoverLimiter starts with as many source shards as fit into a transaction, at most maxTakeoverSources. A
// transaction writes the own shard and the own quota shares, and for each source two records: the source shard
// and its owner's quota shares.
func newTakeoverLimiter(maxTxnOps int) takeoverLimiter {
	limit := max(1, min(maxTakeoverSources, (maxTxnOps-2)/2))
	return takeoverLimiter{sourceLimit: limit, maxSourceLimit: limit, conflictedKeys: map[string]bool{}}
}

// recordOutcome adapts the limit to the outcome of a takeover commit. A success doubles the limit, a conflict
// halves it.
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
