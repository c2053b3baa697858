package shards

import (
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

// Bounds of a commit that changes the owner of shards.
const (
	// maxShardsWhenThrottled is how many shards go to a commit while the state service is throttled, or where
	// nothing else changes along. A commit of many writes waits until the state service has as many to spend,
	// and while all controllers use up what there is, that may take seconds.
	maxShardsWhenThrottled = 1
	recentThrottleWindow   = 2 * monotime.Second
	// maxCommitBytes are the bytes of a commit, as the state service counts them.
	maxCommitBytes = 56 << 10
	// quotaOpsPerTransfer are the operations that the quota shares of both controllers take.
	quotaOpsPerTransfer = 2
)

// transfer is a commit by which shards of one controller go to another.
type transfer struct {
	shards []*mirror.Shard // as they are before
	txn    protocol.Transaction
}

// buildTransfer prepares the commit by which shards of one owner go to another, for as many of them as a
// commit takes, but for one at least. It raises their claim numbers, so that the fencing tokens of any
// earlier owner are outranked, and moves the quota shares that their attempts use.
func (m *Manager) buildTransfer(shards []*mirror.Shard, to string, incarnation uint64) transfer {
	from := shards[0].Record.Owner
	limit := m.maxShardsPerTransfer(from, to)
	t := transfer{}
	useByTeam := map[string]resources.Vector{}
	bytes := 0
	for _, shard := range shards {
		encoded, size := withOwner(shard.Record, to, incarnation).Encode()
		if len(t.shards) > 0 && (bytes+size > maxCommitBytes || len(t.shards) >= limit) {
			break
		}
		bytes += size
		key := storage.ShardKey(shard.Name)
		t.shards = append(t.shards, shard)
		t.txn.If = append(t.txn.If, protocol.Compare{Key: key, Version: shard.Version})
		t.txn.Then = append(t.txn.Then, protocol.Op{Put: key, Value: encoded})
		for team, use := range shard.UseByTeam {
			mirror.AddUse(useByTeam, team, use, 1)
		}
	}
	if from != to {
		m.quota.Transfer(&t.txn, map[string]bool{}, from, to, useByTeam)
	}
	return t
}

// maxShardsPerTransfer is how many shards go to a commit from one controller to another.
func (m *Manager) maxShardsPerTransfer(from, to string) int {
	limit := m.cfg.MaxTxnOps - quotaOpsPerTransfer
	if from == to || m.store.ThrottledWithin(recentThrottleWindow) {
		return min(limit, maxShardsWhenThrottled)
	}
	return limit
}

// withOwner returns a shard's record under a new owner, with a claim number above all that its machines have
// had.
func withOwner(record *storage.Shard, owner string, incarnation uint64) *storage.Shard {
	next := record.Clone()
	next.Owner, next.Incarnation = owner, incarnation
	for _, machine := range next.Machines {
		next.Claim = max(next.Claim, machine.Claim)
	}
	next.Claim++
	return next
}
