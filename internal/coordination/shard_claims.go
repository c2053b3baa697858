package coordination

import (
	"pipitgap/internal/membership"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/resources"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// Shards whose owner has gone, and how shards change hands.
const (
	// A commit of many changes waits until the state service has that many left, and
	// while all controllers use up what there is that is never: one that was back claimed
	// its six shards after 3.6 s. Where nothing else must change along, each goes by itself.
	maxShardsWhenThrottled = 1
	recentThrottleWindow   = 2 * monotime.Second
	maxCommitBytes         = 56 << 10 // bytes of a commit, as the state service counts them
)

// claimOrphanedShards claims the shards of our earlier lives, and those of controllers that
// have gone and whose successor we are: whole shards, many to a commit.
func (sm *shardManager) claimOrphanedShards(now monotime.Micros) {
	if sm.c.store.Unavailable() || !sm.c.membership.HoldsLease(now) {
		return
	}
	controllers := sm.c.reachability.ConnectedControllers()
	orphaned := map[string][]*mirror.Shard{}
	for _, name := range sortedmap.Keys(sm.c.mirror.Shards) {
		shard := sm.c.mirror.Shards[name]
		if owner := shard.Record.Owner; !sm.claimsInFlight[name] &&
			sm.isSuccessorFor(shard, controllers, now) &&
			sm.c.mirror.WatchedRevision >= shard.Version {
			orphaned[owner] = append(orphaned[owner], shard)
		}
	}
	for _, owner := range sortedmap.Keys(orphaned) {
		shards := orphaned[owner]
		for len(shards) > 0 {
			shards = shards[sm.claimShards(owner, shards):]
			if owner != sm.c.node {
				break // one commit at a time, the shares must not conflict
			}
		}
	}
}

// isSuccessorFor tells whether we are to claim a shard whose owner has gone: an earlier
// incarnation of ours, or another controller and we are its successor.
func (sm *shardManager) isSuccessorFor(shard *mirror.Shard, controllers []string, now monotime.Micros) bool {
	owner := shard.Record.Owner
	if owner == sm.c.node {
		return shard.Record.Incarnation != sm.c.incarnation
	}
	if sm.c.membership.IsMember(owner) {
		return false
	}
	return now-sm.c.membership.AbsentSince(owner, now) > monotime.Second &&
		membership.RendezvousOwner(shard.Name, controllers) == sm.c.node
}

// claimShards takes over shards of one owner, as many as a commit takes.
func (sm *shardManager) claimShards(owner string, shards []*mirror.Shard) int {
	txn, n := sm.buildShardTransfer(shards, sm.c.node, sm.c.incarnation)
	shards = shards[:n]
	for _, shard := range shards {
		sm.claimsInFlight[shard.Name] = true
	}
	sm.c.replica.Commit(ratelimit.PriorityClaim, txn, func(result protocol.StoreResult) {
		machines := 0
		for _, shard := range shards {
			delete(sm.claimsInFlight, shard.Name)
			if result.Outcome != protocol.OK {
				continue
			}
			for _, id := range sortedmap.Keys(shard.Record.Machines) {
				machines++
				sm.c.agents.probeAgent(sm.c.mirror.Machines[id], owner == sm.c.node)
			}
		}
		if result.Outcome == protocol.OK {
			sm.c.log.Info("shards claimed", "from_node", owner, "shards", len(shards), "machines", machines)
		}
	})
	return n
}

// buildShardTransfer prepares the commit by which shards of one owner go to another: a
// conditional write that raises their claim numbers, so that tokens of any earlier
// owner are outranked, with the shares of the teams' limits that their attempts use.
// As many shards as a commit takes go at once.
func (sm *shardManager) buildShardTransfer(
	shards []*mirror.Shard,
	to string,
	incarnation uint64,
) (txn protocol.Transaction, taken int) {
	useByTeam := map[string]resources.Vector{}
	bytes := 0
	from := shards[0].Record.Owner
	most := sm.c.cfg.Facts.State.TxnOps - 2 // two partitions' shares follow
	if from == to || sm.c.store.ThrottledWithin(recentThrottleWindow) {
		most = min(most, maxShardsWhenThrottled)
	}
	for _, shard := range shards {
		record := shard.Record.Clone()
		record.Owner, record.Incarnation = to, incarnation
		for _, machineRecord := range record.Machines {
			record.Claim = max(record.Claim, machineRecord.Claim)
		}
		record.Claim++
		encoded, size := record.Encode()
		if taken > 0 && (bytes+size > maxCommitBytes || taken >= most) {
			break
		}
		bytes += size
		taken++
		key := storage.Key(storage.KindShard, shard.Name)
		txn.If = append(txn.If, protocol.Compare{Key: key, Version: shard.Version})
		txn.Then = append(txn.Then, protocol.Op{Put: key, Value: encoded})
		for team, r := range shard.UseByTeam {
			mirror.AddUse(useByTeam, team, r, 1)
		}
	}
	if from != to {
		sm.c.quota.Transfer(&txn, map[string]bool{}, from, to, useByTeam)
	}
	return txn, taken
}
