package coordination

import (
	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
)

// Shards whose owner has gone, and how shards change hands.
const (
	// A commit of many changes waits until the state service has that many left, and
	// while all controllers use up what there is that is never: one that was back claimed
	// its six shards after 3.6 s. Where nothing else must change along, each goes by itself.
	fewShards     = 1
	refusedLately = 2 * micros.Second
	mostCommit    = 56 << 10 // bytes of a commit, as the state service counts them
)

// claimOrphaned claims the shards of our earlier lives, and those of controllers that
// have gone and whose successor we are: whole shards, many to a commit.
func (c *Core) claimOrphaned(now micros.T) {
	if c.storeDown || !c.leaseHeld(now) {
		return
	}
	live := c.able()
	orphaned := map[string][]*shard{}
	for _, name := range sortedKeys(c.view.shards) {
		p := c.view.shards[name]
		if owner := p.rec.Owner; !c.claiming[name] && c.succeeds(p, live, now) && c.view.watched >= p.version {
			orphaned[owner] = append(orphaned[owner], p)
		}
	}
	for _, owner := range sortedKeys(orphaned) {
		ps := orphaned[owner]
		for len(ps) > 0 {
			ps = ps[c.claim(owner, ps):]
			if owner != c.node {
				break // one commit at a time, the shares must not conflict
			}
		}
	}
}

// succeeds tells whether we are to claim a shard whose owner has gone: an earlier
// incarnation of ours, or another controller and we are its successor.
func (c *Core) succeeds(p *shard, live []string, now micros.T) bool {
	owner := p.rec.Owner
	if owner == c.node {
		return p.rec.Incarnation != c.inc
	}
	if c.isLive(owner) {
		return false
	}
	return now-c.gone(owner, now) > micros.Second && home(p.name, live) == c.node
}

// claim takes over shards of one owner, as many as a commit takes.
func (c *Core) claim(owner string, ps []*shard) int {
	t, n := c.passShards(ps, c.node, c.inc)
	ps = ps[:n]
	for _, p := range ps {
		c.claiming[p.name] = true
	}
	c.commit(bookkeeping.RankClaim, t, func(r protocol.StoreResult) {
		machines := 0
		for _, p := range ps {
			delete(c.claiming, p.name)
			if r.Outcome != protocol.OK {
				continue
			}
			for _, id := range sortedKeys(p.rec.Machines) {
				machines++
				c.show(c.view.machines[id], owner == c.node)
			}
		}
		if r.Outcome == protocol.OK {
			c.log.Info("shards claimed", "from_node", owner, "shards", len(ps), "machines", machines)
		}
	})
	return n
}

// passShards prepares the commit by which shards of one owner go to another: a
// conditional write that raises their claim numbers, so that tokens of any earlier
// owner are outranked, with the shares of the teams' limits that their attempts use.
// As many shards as a commit takes go at once.
func (c *Core) passShards(ps []*shard, to string, incarnation uint64) (t protocol.Txn, taken int) {
	use := map[string]amount{}
	bytes := 0
	from := ps[0].rec.Owner
	most := c.cfg.Facts.State.TxnOps - 2 // two partitions' shares follow
	if from == to || c.now()-c.refusedAt < refusedLately {
		most = min(most, fewShards)
	}
	for _, p := range ps {
		rec := p.rec.Clone()
		rec.Owner, rec.Incarnation = to, incarnation
		for _, m := range rec.Machines {
			rec.Claim = max(rec.Claim, m.Claim)
		}
		rec.Claim++
		raw, size := rec.Encode()
		if taken > 0 && (bytes+size > mostCommit || taken >= most) {
			break
		}
		bytes += size
		taken++
		key := bookkeeping.Key(bookkeeping.KindShard, p.name)
		t.If = append(t.If, protocol.Cond{Key: key, Version: p.version})
		t.Then = append(t.Then, protocol.Op{Put: key, Value: raw})
		for team, a := range p.use {
			addUse(use, team, a, 1)
		}
	}
	if from != to {
		c.moveShares(&t, map[string]bool{}, from, to, use)
	}
	return t, taken
}
