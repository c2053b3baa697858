package coordination

import (
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/storage"
)

// membership holds this controller's lease and member record, takes part in elections, and knows which
// controllers are members.
type membership struct {
	c *Controller

	leaseID              uint64
	leaseRenewalSentAt   monotime.Micros // send time of the last touch that succeeded
	leaseGrantedAt       monotime.Micros // when the lease was granted
	leaseGrantInFlight   bool
	leaseRenewalInFlight bool
	nextLeaseRenewalAt   monotime.Micros
	memberWriteInFlight  bool
	electionInFlight     bool
	missingSince         map[string]monotime.Micros
}

func (m *membership) grantLease() {
	if m.leaseGrantInFlight {
		return
	}
	m.leaseGrantInFlight = true
	sentAt := m.c.now()
	call := &protocol.StoreCall{
		Op:      protocol.StoreGrantLease,
		TTL:     m.c.durations.MembershipTTL,
		Timeout: leaseKeepAliveTimeout,
	}
	m.c.store.Call(ratelimit.PriorityLease, call, func(result protocol.StoreResult) {
		m.leaseGrantInFlight = false
		if result.Outcome != protocol.OK {
			m.leaseGrantInFlight = true
			delay := 300*monotime.Millisecond + monotime.Micros(
				m.c.env.Rand().Int64N(int64(400*monotime.Millisecond)),
			)
			m.c.env.After(delay, func() { m.leaseGrantInFlight = false; m.grantLease() })
			return
		}
		m.leaseID, m.leaseRenewalSentAt, m.nextLeaseRenewalAt = result.Lease, sentAt, sentAt+m.c.durations.MembershipTTL/4
		m.leaseGrantedAt = m.c.now()
		m.c.replica.WhenCurrent(func(bool) {}) // the mirror catches up at once, see leading
		m.ensureMemberRecord()
	})
}

func (m *membership) renewLease(now monotime.Micros) {
	if m.leaseID == 0 || m.leaseRenewalInFlight || now < m.nextLeaseRenewalAt {
		return
	}
	m.leaseRenewalInFlight = true
	sentAt, lease := now, m.leaseID
	call := &protocol.StoreCall{Op: protocol.StoreKeepAlive, Lease: lease, Timeout: leaseKeepAliveTimeout}
	m.c.store.Call(ratelimit.PriorityLease, call, func(result protocol.StoreResult) {
		m.leaseRenewalInFlight = false
		switch result.Outcome {
		case protocol.OK:
			m.leaseRenewalSentAt, m.nextLeaseRenewalAt = sentAt, sentAt+m.c.durations.MembershipTTL/4
		case protocol.NotFound:
			m.c.log.Info("controller lease expired")
			m.leaseID = 0
			m.grantLease()
		default:
			m.nextLeaseRenewalAt = m.c.now() + 300*monotime.Millisecond
		}
	})
}

// holdsLease tells whether our lease can't have ended yet, by the steady clock.
func (m *membership) holdsLease(now monotime.Micros) bool {
	return m.leaseID != 0 &&
		now-m.leaseRenewalSentAt < m.c.durations.MembershipTTL-m.c.durations.MembershipTTL/100
}

// ensureMemberRecord writes our member record if the store's isn't ours: an earlier
// incarnation's late put may overwrite it, or its lease may have taken it along. Our part
// of the teams' limits gets a new version with it: whoever dropped that part while we were
// away, by a commit that is carried out only after we have been back and gone again, asks
// for the one before.
func (m *membership) ensureMemberRecord() {
	if !m.c.replica.Ready() || m.leaseID == 0 || m.memberWriteInFlight {
		return
	}
	have := m.c.mirror.Members[m.c.node]
	if have.Version != 0 && have.Record.Incarnation == m.c.incarnation {
		return
	}
	m.memberWriteInFlight = true
	key := storage.Key(storage.KindMember, m.c.node)
	lease := m.leaseID
	txn := protocol.Transaction{
		If: []protocol.Compare{{Key: key, Version: have.Version}},
		Then: []protocol.Op{{Put: key, Lease: lease,
			Value: protocol.MustMarshal(&storage.Member{Incarnation: m.c.incarnation, Zone: m.c.cfg.Area})}},
	}
	if partition := m.c.mirror.Partitions[m.c.node]; partition != nil {
		key := storage.Key(storage.KindPartition, m.c.node)
		txn.If = append(txn.If, protocol.Compare{Key: key, Version: partition.Version})
		txn.Then = append(txn.Then, protocol.Op{Put: key, Value: protocol.MustMarshal(&partition.Record)})
	}
	m.c.replica.Commit(ratelimit.PriorityLease, txn, func(result protocol.StoreResult) {
		m.memberWriteInFlight = false
		if result.Outcome == protocol.Rejected && m.leaseID == lease {
			m.leaseID = 0
			m.grantLease()
		}
	})
}

// liveControllers lists the controllers that the store holds as members, in order. Our own
// membership counts only while our lease is surely held.
func (m *membership) liveControllers() []string {
	out := make([]string, 0, len(m.c.controllers))
	for _, node := range m.c.controllers {
		if _, ok := m.c.mirror.Members[node]; ok {
			out = append(out, node)
		}
	}
	return out
}

func (m *membership) isMember(node string) bool {
	_, ok := m.c.mirror.Members[node]
	return ok
}

// isLeader tells whether we lead, by the mirror and our lease. Commits of the
// leader are conditional on the lead record as well. A mirror from before our lease may
// show a lead that we had under an earlier one.
func (m *membership) isLeader(now monotime.Micros) bool {
	return m.c.replica.Ready() && m.c.mirror.LeaderVersion != 0 && m.c.mirror.Leader.Node == m.c.node && m.c.mirror.Leader.Incarnation == m.c.incarnation &&
		m.holdsLease(now) &&
		m.c.replica.FreshAt() >= m.leaseGrantedAt
}

func (m *membership) leadershipCompare() protocol.Compare {
	return protocol.Compare{Key: storage.LeaderKey, Version: m.c.mirror.LeaderVersion}
}

// campaign takes the lead when nobody has it, or when our own earlier
// incarnation still holds it.
func (m *membership) campaign(now monotime.Micros) {
	if m.electionInFlight || !m.holdsLease(now) || m.c.store.Unavailable() {
		return
	}
	mr := m.c.mirror
	mine := mr.LeaderVersion != 0 && mr.Leader.Node == m.c.node
	if mr.LeaderVersion != 0 && !(mine && mr.Leader.Incarnation != m.c.incarnation) {
		return
	}
	m.electionInFlight = true
	txn := protocol.Transaction{
		If: []protocol.Compare{{Key: storage.LeaderKey, Version: mr.LeaderVersion}},
		Then: []protocol.Op{{Put: storage.LeaderKey, Lease: m.leaseID,
			Value: protocol.MustMarshal(&storage.Leader{Node: m.c.node, Incarnation: m.c.incarnation})}},
	}
	m.c.replica.Commit(ratelimit.PriorityLease, txn, func(result protocol.StoreResult) {
		m.electionInFlight = false
		if result.Outcome == protocol.OK {
			m.c.log.Info("leader elected", "term", result.Revision)
		}
	})
}
