package coordination

import (
	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
)

// What a controller holds is worth something only while it reaches it. This file asks
// of oneself: whom do I reach, and how old is what I know? A controller whose workers
// have all fallen silent, while others hear theirs, hands its machines over and takes no
// new ones; one that stood still believes nothing until it has asked again.

// WorkerReach is whether a controller reaches its workers. Its numbers are sent to peers and frozen.
type WorkerReach int

// Values of WorkerReach.
const (
	WorkersUnknown     WorkerReach = iota // it has none that could tell
	WorkersReachable                      // it hears most of its workers
	WorkersUnreachable                    // they have all fallen silent, or nearly so
)

const (
	stillFor     = 3 * micros.Second / 2 // a tick so late means that the process stood still
	stillTrust   = micros.Second / 2     // after that it waits so long for word from the store
	probeEvery   = 2 * micros.Second
	probedFirst  = 3                 // silent machines that are asked before we take ourselves for cut off
	trustReached = 3 * micros.Second // one that answers proves the contrary for so long
)

// noteStill notes that the process stood still since the last tick, or whatever else
// came, while its clocks ran. It is asked before anything that comes in is taken.
func (c *Core) noteStill(now micros.T) {
	if c.tickAt != 0 && now-c.tickAt > stillFor {
		c.resumedAt = now
		c.log.Info("process pause detected", "duration_ms", (now - c.tickAt).Millis())
	}
	c.tickAt = now
}

// outdated tells whether we stood still and haven't heard from the store since: what we
// hold may be others', and what comes in may have waited for long. In an outage the
// wait is short, or the workers' leases would lapse.
func (c *Core) outdated(now micros.T) bool {
	return c.resumedAt > c.freshAt && now-c.resumedAt < stillTrust
}

// workerReach tells whether we reach our workers.
func (c *Core) workerReach() WorkerReach {
	switch {
	case c.lostAt != 0:
		return WorkersUnreachable
	case c.heardMost:
		return WorkersReachable
	}
	return WorkersUnknown
}

// noteReach judges from the silence of our machines whether it is we who are cut off
// from them. Without a fresh mirror, or just after standing still, silence says nothing.
func (c *Core) noteReach(all heardCount, now micros.T) {
	c.heardMost = all.machines > 0 && 2*all.silent < all.machines
	switch {
	case all.cut() && c.lostAt == 0:
		c.suspect(now)
	case c.lostAt != 0 && c.heardMost:
		c.found(now)
	}
	if c.lostAt == 0 {
		return
	}
	c.handOverShards(now)
	c.probe(now)
}

// suspect asks a few of our silent machines themselves. They are silent too while their
// workers go round after a crash of several controllers, each for seconds at one that
// hangs: those that had just claimed them again gave them away once more.
func (c *Core) suspect(now micros.T) {
	if c.probing > 0 || now-c.reachedAt < trustReached {
		return
	}
	var ms []*machine
	for _, id := range sortedKeys(c.view.machines) {
		if m := c.view.machines[id]; m.w != nil && m.rec != nil {
			ms = append(ms, m)
		}
	}
	n := min(len(ms), probedFirst)
	c.probing = n
	answered := false
	for i := 0; i < n; i++ {
		k := i + c.env.Rand().IntN(len(ms)-i)
		ms[i], ms[k] = ms[k], ms[i]
		m := ms[i]
		c.env.Command(m.rec.Endpoint, nil, showWithin, func(r protocol.DoResult) {
			c.probing--
			if r.Status == 200 && r.Report.Machine == m.id {
				answered, c.reachedAt = true, c.now()
			}
			if c.probing == 0 && !answered && c.lostAt == 0 {
				c.lostAt = c.now()
				c.log.Info("workers unreachable", "state", conditionBegin, "machines", len(ms))
				c.handOverShards(c.now())
			}
		})
	}
}

func (c *Core) found(now micros.T) {
	c.lostAt = 0
	c.dirty = true
	c.log.Info("workers unreachable", "state", conditionEnd)
}

// probe asks some machine, whosever it is, whether we reach workers again. A report
// that comes in wouldn't do: copies come late.
func (c *Core) probe(now micros.T) {
	if now < c.probeAt {
		return
	}
	c.probeAt = now + probeEvery
	ids := sortedKeys(c.view.machines)
	if len(ids) == 0 {
		c.found(now)
		return
	}
	m := c.view.machines[ids[c.env.Rand().IntN(len(ids))]]
	if m.rec == nil {
		c.probeAt = now
		return
	}
	since := c.lostAt
	c.env.Command(m.rec.Endpoint, nil, showWithin, func(r protocol.DoResult) {
		if r.Status == 200 && r.Report.Machine == m.id && c.lostAt == since && since != 0 {
			c.found(c.now())
		}
	})
}

// cutOff tells whether a controller lives, but is known not to reach workers.
func (c *Core) cutOff(node string, now micros.T) bool {
	if node == c.node {
		return c.lostAt != 0
	}
	return c.heard(node, now) && c.peers.get(node).reach == WorkersUnreachable
}

// able lists the live controllers that are good for machines and waiting tasks.
func (c *Core) able() []string {
	live, now := c.live(), c.now()
	var out []string
	for _, n := range live {
		if !c.cutOff(n, now) {
			out = append(out, n)
		}
	}
	if len(out) == 0 {
		return live
	}
	return out
}

// handOverShards gives our shards to controllers that say they hear their workers. Ours
// turn to them when we don't answer; their claims one by one, each against our own
// writes, took longer than the leases of most.
func (c *Core) handOverShards(now micros.T) {
	if c.partitionBusy || c.storeDown || !c.leaseHeld(now) || now-c.watchOKAt > watchBlock+micros.Second {
		return
	}
	var to, others []string
	alone := true
	for _, n := range c.live() {
		if n == c.node {
			continue
		}
		others = append(others, n)
		if c.heard(n, now) {
			alone = false
			if c.peers.get(n).reach == WorkersReachable {
				to = append(to, n)
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
	var ps []*shard
	for _, name := range sortedKeys(c.view.shards) {
		p := c.view.shards[name]
		if s := c.shardNotes(name); !c.owns(p) || s.busyAt != 0 || len(s.inDoubtUpdates) > 0 || c.view.watched < p.version {
			continue
		}
		h := home(name, to)
		if successor == "" {
			successor = h
		}
		if h == successor {
			ps = append(ps, p)
		}
	}
	if len(ps) == 0 {
		return
	}
	member := c.view.members[successor]
	t, taken := c.passShards(ps, successor, member.rec.Incarnation)
	t.If = append(t.If, protocol.Cond{Key: bookkeeping.Key(bookkeeping.KindMember, successor), Version: member.version})
	c.partitionBusy = true
	c.commit(bookkeeping.RankClaim, t, func(r protocol.StoreResult) {
		c.partitionBusy = false
		c.dirty = true
		if r.Outcome == protocol.OK {
			c.log.Info("shards transferred", "to_node", successor, "shards", taken)
			c.handOverShards(c.now())
		}
	})
}
