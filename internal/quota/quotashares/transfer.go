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

// ReleaseDeparted deletes the records of departed controllers whose shards have all been taken over. A
// takeover moves the used part of the shares along with the shards. The unused part stays in the record, and
// no other controller can use it until the record is deleted.
//
// The commit is conditional on the record's version, so that a late write by the departed controller fails.
// It is also conditional on the controller not being a member again, because a controller that is only cut
// off from its machines lowers its shares itself.
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

// mayReleaseSharesOf reports whether the given controller has departed and this controller, as its successor,
// may delete its record.
func (m *Manager) mayReleaseSharesOf(node string, now monotime.Micros) bool {
	return node != m.cfg.Node &&
		m.deps.Peers.SuccessorOf(node) == m.cfg.Node &&
		!m.releasesInFlight[node] &&
		m.deps.Mirror.WatchedRevision >= m.deps.Mirror.Partitions[node].Version &&
		!m.deps.Membership.IsMember(node) &&
		now-m.deps.Membership.AbsentSince(node, now) > departureGracePeriod &&
		!m.ownsShards(node)
}

// ownsShards reports whether a controller owns any shard in the mirror.
func (m *Manager) ownsShards(node string) bool {
	for _, shard := range m.deps.Mirror.Shards {
		if shard.Record.Owner == node {
			return true
		}
	}
	return false
}

// release deletes a departed controller's record under the conditions that ReleaseDeparted describes.
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

// Transfer moves shares of the teams' limits along with tasks that move from one controller's shards to
// another's. It adds the writes of both controllers' records to txn. comparedKeys holds the keys that txn
// already compares; Transfer adds the keys that it compares. It may be called several times for the same
// transaction.
func (m *Manager) Transfer(
	txn *protocol.Transaction,
	comparedKeys map[string]bool,
	from, to string,
	useByTeam map[string]resources.Vector,
) {
	if m.deps.Mirror.Partitions[from] == nil {
		return // the controller has never had a share, because none of its teams has a limit
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

// pendingRecord is a controller's record with the changes of a transaction that isn't committed yet.
type pendingRecord struct {
	key       string
	record    storage.Partition
	operation int // index of the operation in the transaction that writes the record, -1 if there is none
}

// pendingRecord returns a controller's record as txn writes it, or the mirror's record if txn doesn't write
// one.
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

// putRecord adds the write of a record to txn, conditional on the record's version in the mirror.
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
