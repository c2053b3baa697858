package coordination

import (
	"pipitgap/internal/membership"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/peers"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// handOffShards gives our shards to controllers that say they hear their workers. Ours
// turn to them when we don't answer; their claims one by one, each against our own
// writes, took longer than the leases of most.
func (sm *shardManager) handOffShards(now monotime.Micros) {
	if sm.c.quota.WriteInFlight() || sm.c.store.Unavailable() || !sm.c.membership.HoldsLease(now) ||
		sm.c.replica.WatchOverdue(now) {
		return
	}
	var to, others []string
	alone := true
	for _, node := range sm.c.membership.LiveControllers() {
		if node == sm.c.node {
			continue
		}
		others = append(others, node)
		if sm.c.peerStatuses.HeardRecently(node, now) {
			alone = false
			if sm.c.peerStatuses.WorkerReach(node) == peers.WorkersReachable {
				to = append(to, node)
			}
		}
	}
	if alone {
		to = others // neither workers nor controllers: it is we who are cut off
	}
	if len(to) == 0 {
		return // nobody hears any
	}
	successor := ""
	var shards []*mirror.Shard
	for _, name := range sortedmap.Keys(sm.c.mirror.Shards) {
		shard := sm.c.mirror.Shards[name]
		if tracker := sm.trackerOf(name); !sm.ownsShard(shard) || tracker.commitInFlightSince != 0 ||
			len(tracker.updatesInDoubt) > 0 ||
			sm.c.mirror.WatchedRevision < shard.Version {
			continue
		}
		destination := membership.RendezvousOwner(name, to)
		if successor == "" {
			successor = destination
		}
		if destination == successor {
			shards = append(shards, shard)
		}
	}
	if len(shards) == 0 {
		return
	}
	member := sm.c.mirror.Members[successor]
	txn, taken := sm.buildShardTransfer(shards, successor, member.Record.Incarnation)
	txn.If = append(
		txn.If,
		protocol.Compare{Key: storage.Key(storage.KindMember, successor), Version: member.Version},
	)
	sm.c.quota.BeginWrite()
	sm.c.replica.Commit(ratelimit.PriorityClaim, txn, func(result protocol.StoreResult) {
		sm.c.quota.EndWrite()
		sm.c.scheduler.requestPass()
		if result.Outcome == protocol.OK {
			sm.c.log.Info("shards transferred", "to_node", successor, "shards", taken)
			sm.handOffShards(sm.c.now())
		}
	})
}
