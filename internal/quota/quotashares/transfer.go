package quotashares

import (
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/quota"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/resources"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// ReleaseDeparted deletes the records of departed controllers whose shards have all been taken over. Their
// shares went with the shards but for what they kept unused, which nobody else could use. The commit is
// conditional on the record, so that a late write of the departed controller fails, and on its not being a
// member again: one that is only cut off from its machines lowers its shares itself.
func (m *Manager) ReleaseDeparted(now monotime.Micros) {
	if m.deps.Store.Unavailable() || m.writeInFlight || !m.deps.Membership.HoldsLease(now) {
		return
	}
	for _, node := range sortedmap.Keys(m.deps.Mirror.Partitions) {
		if m.mayReleaseSharesOf(node, now) {
			m.release(node)
		}
	}
}

// mayReleaseSharesOf reports whether it is for this controller to delete another's record, and the other has
// departed.
func (m *Manager) mayReleaseSharesOf(node string, now monotime.Micros) bool {
	return node != m.cfg.Node &&
		m.deps.Peers.SuccessorOf(node) == m.cfg.Node &&
		!m.releasesInFlight[node] &&
		m.deps.Mirror.WatchedRevision >= m.deps.Mirror.Partitions[node].Version &&
		!m.deps.Membership.IsMember(node) &&
		now-m.deps.Membership.AbsentSince(node, now) > departureGracePeriod &&
		!m.ownsShards(node)
}

// ownsShards reports whether the mirror shows any shard of a controller.
func (m *Manager) ownsShards(node string) bool {
	for _, shard := range m.deps.Mirror.Shards {
		if shard.Record.Owner == node {
			return true
		}
	}
	return false
}

// release deletes a departed controller's record, see ReleaseDeparted.
func (m *Manager) release(node string) {
	key := storage.PartitionKey(node)
	m.releasesInFlight[node] = true
	txn := protocol.Transaction{
		If: []protocol.Compare{
			{Key: key, Version: m.deps.Mirror.VersionOf(key)},
			{Key: storage.MemberKey(node)},
		},
		Then: []protocol.Op{{Delete: key}},
	}
	m.deps.Store.Commit(ratelimit.PriorityShardUpdate, txn, func(result protocol.StoreResult) {
		delete(m.releasesInFlight, node)
		m.deps.RequestPass()
		if result.Outcome == protocol.OK {
			m.deps.Log.Info("quota shares released", "node", node)
		}
	})
}

// Transfer has the shares of the teams' limits follow tasks that go over from one controller's shards into
// another's: it adds the change of both controllers' records to the transaction. comparedKeys has the keys
// that the transaction already compares, and gets those that are added. Several transfers may go into one
// transaction.
func (m *Manager) Transfer(
	txn *protocol.Transaction,
	comparedKeys map[string]bool,
	from, to string,
	useByTeam map[string]resources.Vector,
) {
	if m.deps.Mirror.Partitions[from] == nil {
		return // it never had any: none of its teams has a limit
	}
	source, target := m.pendingRecord(txn, from), m.pendingRecord(txn, to)
	limited := func(team string) bool {
		limits, _ := m.Limits(team)
		return limits.Limited()
	}
	if !quota.MoveShares(&source.record, &target.record, useByTeam, limited) {
		return
	}
	for _, pending := range []pendingRecord{source, target} {
		m.putRecord(txn, comparedKeys, pending)
	}
}

// pendingRecord is a controller's record as a transaction in the making leaves it.
type pendingRecord struct {
	key       string
	record    storage.Partition
	operation int // the transaction's operation that writes it, -1 if none does
}

// pendingRecord returns a controller's record as a transaction leaves it, or as the mirror has it.
func (m *Manager) pendingRecord(txn *protocol.Transaction, node string) pendingRecord {
	pending := pendingRecord{
		key:       storage.PartitionKey(node),
		record:    m.copyOfRecord(node),
		operation: -1,
	}
	for i, operation := range txn.Then {
		if operation.Put != pending.key {
			continue
		}
		pending.operation = i
		var record storage.Partition
		if protocol.Unmarshal(operation.Value, &record) == nil {
			pending.record = record
		}
	}
	if pending.record.QuotaShares == nil {
		pending.record.QuotaShares = map[string]storage.QuotaShare{}
	}
	return pending
}

// putRecord has a transaction write a record, on the condition of its version in the mirror.
func (m *Manager) putRecord(txn *protocol.Transaction, comparedKeys map[string]bool, pending pendingRecord) {
	operation := protocol.Op{Put: pending.key, Value: protocol.MustMarshal(&pending.record)}
	if pending.operation >= 0 {
		txn.Then[pending.operation] = operation
		return
	}
	if !comparedKeys[pending.key] {
		comparedKeys[pending.key] = true
		version := m.deps.Mirror.VersionOf(pending.key)
		txn.If = append(txn.If, protocol.Compare{Key: pending.key, Version: version})
	}
	txn.Then = append(txn.Then, operation)
}
