package coordination

import (
	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/cancellation"
	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
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

func (c *Core) grant() {
	if c.granting {
		return
	}
	c.granting = true
	sent := c.now()
	sc := &protocol.StoreCall{Op: protocol.StoreGrant, TTL: c.timing.membership, Within: touchTimeout}
	c.call(bookkeeping.RankLease, sc, func(r protocol.StoreResult) {
		c.granting = false
		if r.Outcome != protocol.OK {
			c.granting = true
			wait := 300*micros.Millisecond + micros.T(c.env.Rand().Int64N(int64(400*micros.Millisecond)))
			c.env.After(wait, func() { c.granting = false; c.grant() })
			return
		}
		c.lease, c.leaseSent, c.touchAt = r.Lease, sent, sent+c.timing.membership/4
		c.leaseAt = c.now()
		c.current(func(bool) {}) // the mirror catches up at once, see leading
		c.keepMember()
	})
}

func (c *Core) keepLease(now micros.T) {
	if c.lease == 0 || c.touching || now < c.touchAt {
		return
	}
	c.touching = true
	sent, lease := now, c.lease
	sc := &protocol.StoreCall{Op: protocol.StoreTouch, Lease: lease, Within: touchTimeout}
	c.call(bookkeeping.RankLease, sc, func(r protocol.StoreResult) {
		c.touching = false
		switch r.Outcome {
		case protocol.OK:
			c.leaseSent, c.touchAt = sent, sent+c.timing.membership/4
		case protocol.NotFound:
			c.log.Info("controller lease expired")
			c.lease = 0
			c.grant()
		default:
			c.touchAt = c.now() + 300*micros.Millisecond
		}
	})
}

// leaseHeld tells whether our lease can't have ended yet, by the steady clock.
func (c *Core) leaseHeld(now micros.T) bool {
	return c.lease != 0 && now-c.leaseSent < c.timing.membership-c.timing.membership/100
}

// keepMember writes our member record if the store's isn't ours: an earlier
// incarnation's late put may overwrite it, or its lease may have taken it along. Our part
// of the teams' limits gets a new version with it: whoever dropped that part while we were
// away, by a commit that is carried out only after we have been back and gone again, asks
// for the one before.
func (c *Core) keepMember() {
	if !c.ready || c.lease == 0 || c.memberBusy {
		return
	}
	have := c.view.members[c.node]
	if have.version != 0 && have.rec.Incarnation == c.inc {
		return
	}
	c.memberBusy = true
	key := bookkeeping.Key(bookkeeping.KindMember, c.node)
	lease := c.lease
	t := protocol.Txn{
		If: []protocol.Cond{{Key: key, Version: have.version}},
		Then: []protocol.Op{{Put: key, Lease: lease,
			Value: protocol.MustMarshal(&bookkeeping.Member{Incarnation: c.inc, Zone: c.cfg.Area})}},
	}
	if p := c.view.partitions[c.node]; p != nil {
		key := partitionKey(c.node)
		t.If = append(t.If, protocol.Cond{Key: key, Version: p.version})
		t.Then = append(t.Then, protocol.Op{Put: key, Value: protocol.MustMarshal(&p.rec)})
	}
	c.commit(bookkeeping.RankLease, t, func(r protocol.StoreResult) {
		c.memberBusy = false
		if r.Outcome == protocol.Rejected && c.lease == lease {
			c.lease = 0
			c.grant()
		}
	})
}

// live lists the controllers that the store holds as members, in order. Our own
// membership counts only while our lease is surely held.
func (c *Core) live() []string {
	out := make([]string, 0, len(c.all))
	for _, n := range c.all {
		if _, ok := c.view.members[n]; ok {
			out = append(out, n)
		}
	}
	return out
}

func (c *Core) isLive(node string) bool {
	_, ok := c.view.members[node]
	return ok
}

// leading tells whether we lead, by the mirror and our lease. Commits of the
// leader are conditional on the lead record as well. A mirror from before our lease may
// show a lead that we had under an earlier one.
func (c *Core) leading(now micros.T) bool {
	return c.ready && c.view.leadVer != 0 && c.view.lead.Node == c.node && c.view.lead.Incarnation == c.inc &&
		c.leaseHeld(now) && c.freshAt >= c.leaseAt
}

func (c *Core) leadCond() protocol.Cond {
	return protocol.Cond{Key: bookkeeping.LeadKey, Version: c.view.leadVer}
}

// election takes the lead when nobody has it, or when our own earlier
// incarnation still holds it.
func (c *Core) election(now micros.T) {
	if c.leadBusy || !c.leaseHeld(now) || c.storeDown {
		return
	}
	v := c.view
	mine := v.leadVer != 0 && v.lead.Node == c.node
	if v.leadVer != 0 && !(mine && v.lead.Incarnation != c.inc) {
		return
	}
	c.leadBusy = true
	t := protocol.Txn{
		If: []protocol.Cond{{Key: bookkeeping.LeadKey, Version: v.leadVer}},
		Then: []protocol.Op{{Put: bookkeeping.LeadKey, Lease: c.lease,
			Value: protocol.MustMarshal(&bookkeeping.Lead{Node: c.node, Incarnation: c.inc})}},
	}
	c.commit(bookkeeping.RankLease, t, func(r protocol.StoreResult) {
		c.leadBusy = false
		if r.Outcome == protocol.OK {
			c.log.Info("leader elected", "term", r.Revision)
		}
	})
}

// gossip sends our status to the peers.
func (c *Core) gossip(now micros.T) {
	ok := !c.storeDown && now-c.storeOKAt < 1500*micros.Millisecond
	failing := c.failing()
	for _, p := range c.cfg.Known {
		status := PeerStatus{
			Node:                  c.node,
			Incarnation:           c.inc,
			StateServiceReachable: ok,
			WaitingUserRequests:   c.queue.Waiting(bookkeeping.RankUser),
			WorkerReach:           c.workerReach(),
			FailingJobs:           failing,
			TeamsShortOfQuota:     c.limitLacking(now),
		}
		for _, m := range c.cancellations.Messages(p.Node, now, c.view.watched, c.loaded) {
			status.Cancellations = m
			c.env.Peer(p.Node, status)
		}
	}
}

// OnPeerStatus handles the status that a peer has sent.
func (c *Core) OnPeerStatus(status PeerStatus) {
	now := c.now()
	c.noteStill(now)
	c.peers.note(&status, now)
	c.learnCancellations(c.cancellations.Receive(status.Node, status.Cancellations))
}
