package membership

import (
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/storage"
)

// IsLeader reports whether this controller leads, by the mirror and its lease. A mirror from before the lease
// was granted may show a leadership of an earlier lease, and doesn't count. Commits of the leader also
// compare the leader record, see LeadershipCompare.
func (m *Membership) IsLeader(now monotime.Micros) bool {
	return m.replica.Ready() && m.leaderRecordNamesSelf() && m.HoldsLease(now) &&
		m.replica.FreshAt() >= m.lease.grantedAt
}

// leaderRecordNamesSelf reports whether the leader record names this incarnation of this controller.
func (m *Membership) leaderRecordNamesSelf() bool {
	return m.mirror.LeaderVersion != 0 && m.mirror.Leader.Node == m.node &&
		m.mirror.Leader.Incarnation == m.incarnation
}

// LeadershipCompare is the condition that the leader record hasn't changed.
func (m *Membership) LeadershipCompare() protocol.Compare {
	return protocol.Compare{Key: storage.LeaderKey, Version: m.mirror.LeaderVersion}
}

// Campaign writes the leader record when there is none, or that of an earlier incarnation of this
// controller.
func (m *Membership) Campaign(now monotime.Micros) {
	if m.electionInFlight || !m.HoldsLease(now) || m.store.Unavailable() || !m.leadershipVacant() {
		return
	}
	m.electionInFlight = true
	record := protocol.MustMarshal(&storage.Leader{Node: m.node, Incarnation: m.incarnation})
	txn := protocol.Transaction{
		If:   []protocol.Compare{m.LeadershipCompare()},
		Then: []protocol.Op{{Put: storage.LeaderKey, Lease: m.lease.id, Value: record}},
	}
	m.replica.Commit(ratelimit.PriorityLease, txn, func(result protocol.StoreResult) {
		m.electionInFlight = false
		if result.Outcome == protocol.OK {
			m.log.Info("leader elected", "term", result.Revision)
		}
	})
}

// leadershipVacant reports whether there is no leader, or only an earlier incarnation of this controller.
func (m *Membership) leadershipVacant() bool {
	if m.mirror.LeaderVersion == 0 {
		return true
	}
	return m.mirror.Leader.Node == m.node && m.mirror.Leader.Incarnation != m.incarnation
}
