package coordination

import (
	"pipitgap/internal/cancellation"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/storage"
)

// PeerStatus is what a controller sends to the others about itself. Nothing is decided by it: it
// speeds things up, and tells a common outage from the sender's own. See PeerFrame for its wire form.
type PeerStatus struct {
	Node        string
	Incarnation uint64
	// StateServiceReachable says that the sender has lately had an answer from the state service.
	StateServiceReachable bool
	// WaitingUserRequests is the number of users' requests that wait there for the state service.
	WaitingUserRequests int
	WorkerReach         WorkerReach
	FailingJobs         map[string]int // by job that fails there: on how many machines
	// TeamsShortOfQuota are the teams with a pending task that fits neither into the sender's share
	// of the team's quota nor into what is unallocated.
	TeamsShortOfQuota []string

	Cancellations cancellation.RoundMessage
}

func (c *Controller) grantLease() {
	if c.leaseGrantInFlight {
		return
	}
	c.leaseGrantInFlight = true
	sentAt := c.now()
	call := &protocol.StoreCall{Op: protocol.StoreGrantLease, TTL: c.durations.membershipTTL, Timeout: leaseKeepAliveTimeout}
	c.callStore(ratelimit.PriorityLease, call, func(result protocol.StoreResult) {
		c.leaseGrantInFlight = false
		if result.Outcome != protocol.OK {
			c.leaseGrantInFlight = true
			delay := 300*monotime.Millisecond + monotime.Micros(c.env.Rand().Int64N(int64(400*monotime.Millisecond)))
			c.env.After(delay, func() { c.leaseGrantInFlight = false; c.grantLease() })
			return
		}
		c.leaseID, c.leaseRenewalSentAt, c.nextLeaseRenewalAt = result.Lease, sentAt, sentAt+c.durations.membershipTTL/4
		c.leaseGrantedAt = c.now()
		c.whenMirrorCurrent(func(bool) {}) // the mirror catches up at once, see leading
		c.ensureMemberRecord()
	})
}

func (c *Controller) renewLease(now monotime.Micros) {
	if c.leaseID == 0 || c.leaseRenewalInFlight || now < c.nextLeaseRenewalAt {
		return
	}
	c.leaseRenewalInFlight = true
	sentAt, lease := now, c.leaseID
	call := &protocol.StoreCall{Op: protocol.StoreKeepAlive, Lease: lease, Timeout: leaseKeepAliveTimeout}
	c.callStore(ratelimit.PriorityLease, call, func(result protocol.StoreResult) {
		c.leaseRenewalInFlight = false
		switch result.Outcome {
		case protocol.OK:
			c.leaseRenewalSentAt, c.nextLeaseRenewalAt = sentAt, sentAt+c.durations.membershipTTL/4
		case protocol.NotFound:
			c.log.Info("controller lease expired")
			c.leaseID = 0
			c.grantLease()
		default:
			c.nextLeaseRenewalAt = c.now() + 300*monotime.Millisecond
		}
	})
}

// holdsLease tells whether our lease can't have ended yet, by the steady clock.
func (c *Controller) holdsLease(now monotime.Micros) bool {
	return c.leaseID != 0 && now-c.leaseRenewalSentAt < c.durations.membershipTTL-c.durations.membershipTTL/100
}

// ensureMemberRecord writes our member record if the store's isn't ours: an earlier
// incarnation's late put may overwrite it, or its lease may have taken it along. Our part
// of the teams' limits gets a new version with it: whoever dropped that part while we were
// away, by a commit that is carried out only after we have been back and gone again, asks
// for the one before.
func (c *Controller) ensureMemberRecord() {
	if !c.mirrorReady || c.leaseID == 0 || c.memberWriteInFlight {
		return
	}
	have := c.mirror.Members[c.node]
	if have.Version != 0 && have.Record.Incarnation == c.incarnation {
		return
	}
	c.memberWriteInFlight = true
	key := storage.Key(storage.KindMember, c.node)
	lease := c.leaseID
	txn := protocol.Transaction{
		If: []protocol.Compare{{Key: key, Version: have.Version}},
		Then: []protocol.Op{{Put: key, Lease: lease,
			Value: protocol.MustMarshal(&storage.Member{Incarnation: c.incarnation, Zone: c.cfg.Area})}},
	}
	if partition := c.mirror.Partitions[c.node]; partition != nil {
		key := partitionKey(c.node)
		txn.If = append(txn.If, protocol.Compare{Key: key, Version: partition.Version})
		txn.Then = append(txn.Then, protocol.Op{Put: key, Value: protocol.MustMarshal(&partition.Record)})
	}
	c.commitTxn(ratelimit.PriorityLease, txn, func(result protocol.StoreResult) {
		c.memberWriteInFlight = false
		if result.Outcome == protocol.Rejected && c.leaseID == lease {
			c.leaseID = 0
			c.grantLease()
		}
	})
}

// liveControllers lists the controllers that the store holds as members, in order. Our own
// membership counts only while our lease is surely held.
func (c *Controller) liveControllers() []string {
	out := make([]string, 0, len(c.controllers))
	for _, node := range c.controllers {
		if _, ok := c.mirror.Members[node]; ok {
			out = append(out, node)
		}
	}
	return out
}

func (c *Controller) isMember(node string) bool {
	_, ok := c.mirror.Members[node]
	return ok
}

// isLeader tells whether we lead, by the mirror and our lease. Commits of the
// leader are conditional on the lead record as well. A mirror from before our lease may
// show a lead that we had under an earlier one.
func (c *Controller) isLeader(now monotime.Micros) bool {
	return c.mirrorReady && c.mirror.LeaderVersion != 0 && c.mirror.Leader.Node == c.node && c.mirror.Leader.Incarnation == c.incarnation &&
		c.holdsLease(now) && c.mirrorFreshAt >= c.leaseGrantedAt
}

func (c *Controller) leadershipCompare() protocol.Compare {
	return protocol.Compare{Key: storage.LeaderKey, Version: c.mirror.LeaderVersion}
}

// campaign takes the lead when nobody has it, or when our own earlier
// incarnation still holds it.
func (c *Controller) campaign(now monotime.Micros) {
	if c.electionInFlight || !c.holdsLease(now) || c.storeUnavailable {
		return
	}
	mr := c.mirror
	mine := mr.LeaderVersion != 0 && mr.Leader.Node == c.node
	if mr.LeaderVersion != 0 && !(mine && mr.Leader.Incarnation != c.incarnation) {
		return
	}
	c.electionInFlight = true
	txn := protocol.Transaction{
		If: []protocol.Compare{{Key: storage.LeaderKey, Version: mr.LeaderVersion}},
		Then: []protocol.Op{{Put: storage.LeaderKey, Lease: c.leaseID,
			Value: protocol.MustMarshal(&storage.Leader{Node: c.node, Incarnation: c.incarnation})}},
	}
	c.commitTxn(ratelimit.PriorityLease, txn, func(result protocol.StoreResult) {
		c.electionInFlight = false
		if result.Outcome == protocol.OK {
			c.log.Info("leader elected", "term", result.Revision)
		}
	})
}

// sendPeerStatus sends our status to the peers.
func (c *Controller) sendPeerStatus(now monotime.Micros) {
	ok := !c.storeUnavailable && now-c.lastStoreSuccessAt < 1500*monotime.Millisecond
	failing := c.failingJobs()
	for _, peer := range c.cfg.Peers {
		status := PeerStatus{
			Node:                  c.node,
			Incarnation:           c.incarnation,
			StateServiceReachable: ok,
			WaitingUserRequests:   c.storeQueue.Len(ratelimit.PriorityUserRequest),
			WorkerReach:           c.workerReach(),
			FailingJobs:           failing,
			TeamsShortOfQuota:     c.teamsLackingQuota(now),
		}
		for _, m := range c.cancellations.MessagesFor(peer.Node, now, c.mirror.WatchedRevision, c.mirrorLoaded) {
			status.Cancellations = m
			c.env.SendPeerStatus(peer.Node, status)
		}
	}
}

// OnPeerStatus handles the status that a peer has sent.
func (c *Controller) OnPeerStatus(status PeerStatus) {
	now := c.now()
	c.detectPause(now)
	c.peerStatuses.update(&status, now)
	c.applyPeerCancellations(c.cancellations.Receive(status.Node, status.Cancellations))
}
