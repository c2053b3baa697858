package shards

import (
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

// Limits of a commit that changes the owner of shards.
const (
	// maxShardsWhenThrottled is the number of shards in a commit if the state service has recently throttled
	// calls, or if the commit changes no quota shares. A commit with many writes waits until the rate limit of
	// the state service has capacity for all of them. This can take seconds while all controllers use up the
	// limit.
	maxShardsWhenThrottled = 1
	// recentThrottleWindow is how long after a throttled call maxShardsWhenThrottled applies.
	recentThrottleWindow = 2 * monotime.Second
	// maxCommitBytes bounds the encoded size of the shards in a commit, as the state service counts it. A
	// commit with a single shard may be larger.
	maxCommitBytes = 56 << 10
	// quotaOpsPerTransfer is the number of operations for the quota shares of both controllers.
	quotaOpsPerTransfer = 2
)

// MaxOtherBytes returns the size up to which a shard's commit may write records besides the shard itself, given
// the value size limit of the state service.
func MaxOtherBytes(maxValueBytes int) int { return max(maxCommitBytes-maxValueBytes, maxCommitBytes/2) }

// transfer is a commit that changes the owner of shards.
type transfer struct {
	shards []*mirror.Shard // the versions before the commit
	txn    protocol.Transaction
}

// buildTransfer prepares the commit that transfers the first of the given shards of one owner to a new owner.
// It includes as many shards as fit into a commit, and at least one. The commit raises the claim numbers of
// the shards, so that new fencing tokens are higher than those of any earlier owner. It also moves the quota
// shares that the attempts use.
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
		for team, use := range shard.UsageByTeam {
			mirror.AddUsage(useByTeam, team, use, 1)
		}
	}
	if from != to {
		m.quota.Transfer(&t.txn, map[string]bool{}, from, to, useByTeam)
	}
	return t
}

// maxShardsPerTransfer returns the maximum number of shards in a transfer between two controllers.
func (m *Manager) maxShardsPerTransfer(from, to string) int {
	limit := m.cfg.MaxTxnOps - quotaOpsPerTransfer
	if from == to || m.store.ThrottledWithin(recentThrottleWindow) {
		return min(limit, maxShardsWhenThrottled)
	}
	return limit
}

// withOwner returns a copy of a shard's record with a new owner. Its claim number is higher than the shard's
// previous one and those of all its machines.
func withOwner(record *storage.Shard, owner string, incarnation uint64) *storage.Shard {
	next := record.Clone()
	next.Owner, next.Incarnation = owner, incarnation
	for _, machine := range next.Machines {
		next.Claim = max(next.Claim, machine.Claim)
	}
	next.Claim++
	return next
}
