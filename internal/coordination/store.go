package coordination

import (
	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
)

// shareBudgets sets this controller's part of the state service's limits. Load is
// uneven, so each may use somewhat more than its share; a 429 costs only a pause.
// While calls wait and none is refused the part grows: others that have crashed, or
// have little to do, leave theirs, and their memberships end only seconds later.
func (c *Core) shareBudgets(live int) {
	live = max(1, min(live, len(c.all)))
	most := max(1, float64(live)/budgetExcess)
	before := c.boost
	switch refused := c.stats.throttled - c.refused; {
	case refused > 0:
		c.boost = max(1, c.boost*0.6)
	case c.queue.Waiting(bookkeeping.RankUser)+c.queue.Waiting(bookkeeping.RankShard)+c.queue.Waiting(bookkeeping.RankEnd) > 1:
		c.boost = min(most, c.boost*1.3)
	default:
		c.boost = max(1, c.boost*0.9)
	}
	c.boost, c.refused = min(c.boost, most), c.stats.throttled
	if live == c.liveShare && c.boost == before {
		return
	}
	c.liveShare = live
	st := c.cfg.Facts.State
	share := min(1, budgetExcess*c.boost/float64(live))
	c.queue.Reads.Rate, c.queue.Reads.Burst = st.RPS*share, max(2, st.RPS*share/2)
	c.queue.Writes.Rate, c.queue.Writes.Burst = st.WriteRPS*share, max(float64(st.TxnOps), st.WriteRPS*share/2)
	// All watches together use at most a quarter of the store's requests.
	c.watchGap = max(50*micros.Millisecond, micros.FromSeconds(float64(live)/(st.RPS*0.25)))
}

// manyUsers is how many calls of users may wait before shards make room for them.
const manyUsers = 2

// shardRate is how many shards a second this controller may write: a good half of its
// share of the changes, the rest is the users' and the leader's; less while users wait
// for theirs, here or elsewhere. After a crash of all others every user comes to the
// one that stayed; those that were back wrote 22 shards a second of 50 changes, and it
// accepted four jobs.
func (c *Core) shardRate() float64 {
	partition := 0.55
	if c.usersWait() {
		partition = 0.1
	} else if c.peers.usersWait(c.now()) {
		partition = 0.25
	}
	return partition * c.boost * c.cfg.Facts.State.WriteRPS / float64(c.liveShare)
}

func (c *Core) usersWait() bool { return c.queue.Waiting(bookkeeping.RankUser) > manyUsers }

func (c *Core) call(rank bookkeeping.Rank, sc *protocol.StoreCall, back func(protocol.StoreResult)) {
	if sc.Within == 0 {
		sc.Within = storeTimeout
	}
	c.queue.Add(bookkeeping.Call{StoreCall: sc, Rank: rank, Since: c.now(), Back: back})
	c.pump()
}

// pump makes the calls that the budget allows now.
func (c *Core) pump() {
	for {
		now := c.now()
		q, ok, wait := c.queue.Next(now)
		if !ok {
			if wait > 0 && !c.armed {
				c.armed = true
				c.env.After(max(wait, micros.Millisecond), func() { c.armed = false; c.pump() })
			}
			return
		}
		c.env.Store(q.StoreCall, func(r protocol.StoreResult) {
			c.queue.InFlight--
			if r.Outcome == protocol.Throttled {
				c.stats.throttled++
				c.refusedAt = c.now()
				if c.now()-q.Since < 3*micros.Second {
					c.queue.Back(q, c.now())
					c.pump()
					return
				}
				r.Outcome = protocol.Unavailable
			}
			c.noteStore(r.Outcome)
			q.Back(r)
			c.pump()
		})
	}
}

func (c *Core) noteStore(o protocol.Outcome) {
	now := c.now()
	switch o {
	case protocol.Unavailable, protocol.Unknown:
		c.storeBadAt = now
	default:
		c.storeOKAt = now
	}
}

// watchStore logs the beginning and the end of an outage, as this node sees it.
func (c *Core) watchStore(now micros.T) {
	down := c.storeBadAt > c.storeOKAt && now-c.storeOKAt > micros.Second
	if down == c.storeDown {
		return
	}
	c.storeDown = down
	if down {
		c.log.Info("state service unavailable", "state", conditionBegin,
			"duration_ms", (now - c.storeOKAt).Millis())
	} else {
		c.log.Info("state service unavailable", "state", conditionEnd)
	}
}

// refusedAlone tells whether this node can't use the store while another can:
// then it must hand its users and workers to the others. In an outage that all
// share it goes on answering workers, or every lease would lapse.
func (c *Core) refusedAlone(now micros.T) (peer string, alone bool) {
	if !c.storeDown || now-c.storeOKAt < 2*micros.Second {
		return "", false
	}
	for _, n := range sortedKeys(c.peers.of) {
		at := c.peers.of[n].storeAt
		if at != 0 && now-at < 1500*micros.Millisecond && at > c.storeOKAt+1500*micros.Millisecond {
			return n, true
		}
	}
	return "", false
}

// isolated tells whether we reach neither the store nor any other controller:
// then it is we who are cut off, and users are better served elsewhere.
func (c *Core) isolated(now micros.T) bool {
	if !c.storeDown || now-c.storeOKAt < 2*micros.Second || len(c.cfg.Known) == 0 {
		return false
	}
	for _, p := range c.cfg.Known {
		if c.heard(p.Node, now) {
			return false
		}
	}
	return true
}

// sendsElsewhere tells whether a worker of ours is to look for another controller: we reach
// neither the store nor any other, and our membership has ended for so long that
// whoever does has taken our machines over. One that has been round and comes back
// within its lease has found nobody: it is we who are left, or its zone is cut off with
// us, and it is answered as before.
func (c *Core) sendsElsewhere(w *worker, now micros.T) bool {
	if !c.isolated(now) || now-c.leaseSent < c.timing.membership+takeoverTime {
		return false
	}
	back := w.sentOff != 0 && now-w.sentOff < c.timing.lease
	w.sentOff = max(now, 1)
	return !back
}

// commit makes a conditional change; on success it is in the mirror before
// back is called.
func (c *Core) commit(rank bookkeeping.Rank, t protocol.Txn, back func(protocol.StoreResult)) {
	c.call(rank, &protocol.StoreCall{Op: protocol.StoreCommit, Txn: t}, func(r protocol.StoreResult) {
		if r.Outcome == protocol.OK {
			c.view.applyTxn(&t, r.Revision)
		} else if r.Outcome == protocol.Conflict {
			c.stats.conflicts++
			c.nudge()
		}
		back(r)
	})
}
