package membership

import (
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/storage"
)

// IsLeader reports whether this controller is the leader, according to the mirror and its own lease. The mirror
// must be at least as recent as the grant of the lease: an older mirror may show a leadership under an earlier
// lease. As a second safeguard, the leader's commits compare the leader record, see LeadershipCompare.
func (m *Membership) IsLeader(now monotime.Micros) bool {
	return m.replica.Ready() && m.leaderRecordNamesSelf() && m.HoldsLease(now) &&
		m.replica.FreshAt() >= m.lease.grantedAt
}

// leaderRecordNamesSelf reports whether the leader record names this incarnation of this controller.
func (m *Membership) leaderRecordNamesSelf() bool {
	return m.mirror.LeaderVersion != 0 && m.mirror.Leader.Node == m.node &&
		m.mirror.Leader.Incarnation == m.incarnation
}

// LeadershipCompare returns the transaction condition that the leader record still has the mirror's version.
func (m *Membership) LeadershipCompare() protocol.Compare {
	return protocol.Compare{Key: storage.LeaderKey, Version: m.mirror.LeaderVersion}
}

// Campaign tries to become the leader. It writes the leader record by a compare-and-swap if no record exists,
// or if the record names an earlier incarnation of this controller. The record is bound to this controller's
// lease.
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
			m.log.Info("leader elected", "term", result.Revision, "incarnation", m.incarnation)
		}
	})
}

// leadershipVacant reports whether no leader record exists, or the record names an earlier incarnation of this
// controller.
func (m *Membership) leadershipVacant() bool {
	if m.mirror.LeaderVersion == 0 {
		return true
	}
	return m.mirror.Leader.Node == m.node && m.mirror.Leader.Incarnation != m.incarnation
}
