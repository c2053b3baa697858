package shards

import (
	"pipitgap/internal/membership"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// absenceBeforeClaim is how long a controller must be absent from the members before its successors claim its
// shards.
const absenceBeforeClaim = monotime.Second

// ClaimOrphaned claims the shards of this controller's earlier incarnations, and the shards of absent
// controllers that this controller is the successor for. It claims whole shards, several in one commit.
func (m *Manager) ClaimOrphaned(now monotime.Micros) {
	if m.store.Unavailable() || !m.membership.HoldsLease(now) {
		return
	}
	orphaned := m.orphanedShards(now)
	for _, owner := range sortedmap.Keys(orphaned) {
		shards := orphaned[owner]
		for len(shards) > 0 {
			shards = shards[m.claim(owner, shards):]
			if owner != m.cfg.Node {
				break // each commit changes the same quota shares, so only one at a time can succeed
			}
		}
	}
}

// orphanedShards returns the shards that this controller should claim, by their former owner.
func (m *Manager) orphanedShards(now monotime.Micros) map[string][]*mirror.Shard {
	controllers := m.peers.ConnectedControllers()
	orphaned := map[string][]*mirror.Shard{}
	for _, name := range sortedmap.Keys(m.mirror.Shards) {
		shard := m.mirror.Shards[name]
		if !m.claimsInFlight[name] && m.isSuccessorFor(shard, controllers, now) &&
			m.mirror.WatchedRevision >= shard.Version {
			owner := shard.Record.Owner
			orphaned[owner] = append(orphaned[owner], shard)
		}
	}
	return orphaned
}

// isSuccessorFor reports whether this controller should claim a shard. The shard's owner must be an earlier
// incarnation of this controller, or an absent controller for whose shard rendezvous hashing selects this one.
func (m *Manager) isSuccessorFor(shard *mirror.Shard, controllers []string, now monotime.Micros) bool {
	owner := shard.Record.Owner
	if owner == m.cfg.Node {
		return shard.Record.Incarnation != m.cfg.Incarnation
	}
	if m.membership.IsMember(owner) {
		return false
	}
	return now-m.membership.AbsentSince(owner, now) > absenceBeforeClaim &&
		membership.RendezvousOwner(shard.Name, controllers) == m.cfg.Node
}

// claim claims the first shards of one owner, as many as fit into a commit, and returns their number.
func (m *Manager) claim(owner string, shards []*mirror.Shard) int {
	transfer := m.buildTransfer(shards, m.cfg.Node, m.cfg.Incarnation)
	for _, shard := range transfer.shards {
		m.claimsInFlight[shard.Name] = true
	}
	m.store.Commit(ratelimit.PriorityClaim, transfer.txn, func(result protocol.StoreResult) {
		for _, shard := range transfer.shards {
			delete(m.claimsInFlight, shard.Name)
		}
		if result.Outcome == protocol.OK {
			m.handleClaimed(owner, transfer.shards, result.Revision)
		}
	})
	return len(transfer.shards)
}

// handleClaimed probes the workers of newly claimed shards. It sends them commands at once only if the shards
// belonged to an earlier incarnation of this controller.
func (m *Manager) handleClaimed(owner string, shards []*mirror.Shard, revision uint64) {
	machines := 0
	for _, shard := range shards {
		for _, id := range sortedmap.Keys(shard.Record.Machines) {
			machines++
			m.agents.Probe(m.mirror.Machines[id], owner == m.cfg.Node)
		}
	}
	m.log.Info("shards claimed",
		"from_node", owner, "shards", len(shards), "machines", machines, "revision", revision)
}

// HandOff transfers this controller's shards to controllers that reach their workers. It is called when this
// controller doesn't reach its own workers. Those workers contact other controllers after a missing answer. If
// these controllers claimed the machines one by one, in competition with the writes of this controller, the
// claims would take longer than most worker leases last.
func (m *Manager) HandOff(now monotime.Micros) {
	if m.quota.WriteInFlight() || m.store.Unavailable() || !m.membership.HoldsLease(now) ||
		m.store.WatchOverdue(now) {
		return
	}
	destinations := m.handOffDestinations(now)
	if len(destinations) == 0 {
		return
	}
	to, shards := m.shardsToHandOff(destinations)
	if len(shards) == 0 {
		return
	}
	member := m.mirror.Members[to]
	transfer := m.buildTransfer(shards, to, member.Record.Incarnation)
	transfer.txn.If = append(transfer.txn.If, protocol.Compare{
		Key:     storage.MemberKey(to),
		Version: member.Version,
	})
	m.quota.BeginWrite()
	m.store.Commit(ratelimit.PriorityClaim, transfer.txn, func(result protocol.StoreResult) {
		m.quota.EndWrite()
		m.passes.Request()
		if result.Outcome == protocol.OK {
			m.log.Info("shards transferred", "to_node", to, "shards", len(transfer.shards))
			m.HandOff(m.now()) // the remaining shards, including those for other destinations
		}
	})
}

// handOffDestinations lists the controllers that may receive this controller's shards. These are the live
// controllers with a recent status message that reach their workers. If no controller has sent a recent status
// message, this controller is itself cut off, and the list contains all other live controllers.
func (m *Manager) handOffDestinations(now monotime.Micros) []string {
	var connected, others []string
	isolated := true
	for _, node := range m.membership.LiveControllers() {
		if node == m.cfg.Node {
			continue
		}
		others = append(others, node)
		if m.peers.HasRecentStatus(node, now) {
			isolated = false
			if m.peers.ReachesWorkers(node) {
				connected = append(connected, node)
			}
		}
	}
	if isolated {
		return others
	}
	return connected
}

// shardsToHandOff selects the destination of the first own shard that is ready to be transferred. It returns
// this destination with all ready shards that rendezvous hashing assigns to it.
func (m *Manager) shardsToHandOff(destinations []string) (to string, shards []*mirror.Shard) {
	for _, name := range sortedmap.Keys(m.mirror.Shards) {
		shard := m.mirror.Shards[name]
		if !m.Owns(shard) || !m.trackerOf(name).idle() || m.mirror.WatchedRevision < shard.Version {
			continue
		}
		destination := membership.RendezvousOwner(name, destinations)
		if to == "" {
			to = destination
		}
		if destination == to {
			shards = append(shards, shard)
		}
	}
	return to, shards
}
