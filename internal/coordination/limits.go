package coordination

import (
	"math"

	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
)

// What a part may use of the teams' limits.

// shortage is what assignments lacked of a part's share: for one task, and for all.
type shortage struct{ least, all amount }

// partShare is what a part may use of a team's limit.
func (c *Core) partShare(part, team string) amount {
	if p := c.view.parts[part]; p != nil {
		a := p.rec.Shares[team]
		return amount{exact(a.CPUs), exact(a.GPUs), math.Inf(1)}
	}
	return amount{mem: math.Inf(1)}
}

// partUse is what attempts in our pages take of a team's limit, at most. What a
// commit in doubt may have assigned counts as well, and so do pages of an earlier
// life of ours that we haven't claimed again yet: they are within the same share.
func (c *Core) partUse(team string) amount {
	use := amount{}
	for _, p := range c.view.pages {
		if p.rec.Owner == c.node {
			use = use.plus(p.use[team], 1)
		}
	}
	for _, s := range c.pages {
		for _, d := range s.floating {
			use = use.plus(d.use[team], 1)
		}
	}
	return use
}

// shareLeft is what this part may still assign for a team.
func (c *Core) shareLeft(team string) amount {
	limit, _ := c.team(team)
	room := amount{math.Inf(1), math.Inf(1), math.Inf(1)}
	if !limit.limited() {
		return room
	}
	have, use := c.partShare(c.node, team), c.partUse(team)
	if limit.CPUsMax > 0 {
		room.cpus = have.cpus - use.cpus
	}
	if limit.GPUsMax > 0 {
		room.gpus = have.gpus - use.gpus
	}
	return room
}

// pool is what no part has of a team's limit.
func (c *Core) pool(team string) amount {
	limit, _ := c.team(team)
	room := limit.left(amount{})
	for _, p := range c.view.parts {
		a := p.rec.Shares[team]
		room = room.plus(amountOf(a.CPUs, a.GPUs, 0), -1)
	}
	return room
}

// tendShares raises our shares where assignments lacked some, and gives back what
// we don't use of a team whose limit is nearly handed out. A raise depends on the
// records of all parts, a lowering on ours alone; either changes our record, on
// which our assignments depend.
func (c *Core) tendShares(now micros.T) {
	if c.partBusy || c.storeDown || !c.leaseHeld(now) {
		return
	}
	for _, s := range c.pages {
		if s.busyAt != 0 {
			return
		}
	}
	key := bookkeeping.Key(bookkeeping.KindPart, c.node)
	mine := c.view.parts[c.node]
	next := bookkeeping.Part{Shares: map[string]bookkeeping.Amount{}}
	version := uint64(0)
	if mine != nil {
		version = mine.version
		for k, v := range mine.rec.Shares {
			next.Shares[k] = v
		}
	}
	raised, lowered := false, false
	for i := range c.cfg.Facts.Teams {
		team := c.cfg.Facts.Teams[i].Name
		limit, _ := c.team(team)
		if !limit.limited() {
			continue
		}
		pool := c.pool(team)
		// Some is kept: use goes up and down, and each change costs the others' too.
		part := 0.2 / float64(c.liveShare)
		margin := amount{cpus: part * limit.CPUsMax, gpus: part * limit.GPUsMax}
		short, wants := c.teamShort[team]
		if wants && (pool.cpus+slack < short.least.cpus || pool.gpus+slack < short.least.gpus) {
			// Not enough for a single task here, and what we have left over may be
			// what another part lacks: several such rests add up to a task.
			wants, pool = false, amount{}
			margin = amount{}
		}
		if wants {
			// Half of an even part of what is left goes on top: a raise costs a
			// change, and what one part has no other can use.
			part := 1 / (2 * float64(c.liveShare))
			a := next.Shares[team]
			grow := func(have, short, pool float64) float64 {
				return have + min(max(0, pool), max(short, 0)+max(0, pool-short)*part)
			}
			before := a
			if limit.CPUsMax > 0 {
				a.CPUs = grow(a.CPUs, short.all.cpus, pool.cpus)
			}
			if limit.GPUsMax > 0 {
				a.GPUs = grow(a.GPUs, short.all.gpus, pool.gpus)
			}
			a.CPUs, a.GPUs = exact(a.CPUs), exact(a.GPUs)
			if a.CPUs > before.CPUs+slack || a.GPUs > before.GPUs+slack {
				next.Shares[team] = a
				raised = true
			}
			continue
		}
		if pool.cpus > 0.15*limit.CPUsMax && (limit.GPUsMax == 0 || pool.gpus > 0.15*limit.GPUsMax) || next.Shares[team] == (bookkeeping.Amount{}) {
			continue
		}
		use := c.partUse(team)
		a, before := next.Shares[team], next.Shares[team]
		a.CPUs, a.GPUs = max(0, min(a.CPUs, use.cpus+margin.cpus)), max(0, min(a.GPUs, use.gpus+margin.gpus))
		if a.CPUs < before.CPUs-slack-margin.cpus || a.GPUs < before.GPUs-slack-margin.gpus {
			next.Shares[team] = a
			lowered = true
		}
	}
	clear(c.teamShort)
	if !raised && !lowered {
		return
	}
	t := protocol.Txn{
		If:   []protocol.Cond{{Key: key, Version: version}},
		Then: []protocol.Op{{Put: key, Value: protocol.MustMarshal(&next)}},
	}
	if raised {
		names := map[string]bool{}
		for _, n := range c.all {
			names[n] = true
		}
		for n := range c.view.parts {
			names[n] = true
		}
		for _, n := range sortedKeys(names) {
			if n != c.node {
				k := bookkeeping.Key(bookkeeping.KindPart, n)
				t.If = append(t.If, protocol.Cond{Key: k, Version: c.view.versionOf(k)})
			}
		}
	}
	c.partBusy = true
	c.commit(bookkeeping.RankPage, t, func(r protocol.StoreResult) {
		c.partBusy = false
		c.dirty = true
	})
}

// freeShares gives back what a part that has gone, or is cut off from its machines, still
// has of the teams' limits once all of its pages are others': its share went with them
// but for what it had kept for later, and a team at its limit lacked that for as long as
// the controller was away. Whatever it may yet write asks for the record that is dropped.
func (c *Core) freeShares(now micros.T) {
	if c.storeDown || c.partBusy || !c.leaseHeld(now) {
		return
	}
	able := c.able()
	for _, n := range sortedKeys(c.view.parts) {
		p := c.view.parts[n]
		if n == c.node || home(n, able) != c.node || c.jobBusy[partOf(n)] || c.view.watched < p.version ||
			!c.cutOff(n, now) && (c.isLive(n) || now-c.gone(n, now) <= micros.Second) {
			continue
		}
		left := false
		for _, pg := range c.view.pages {
			left = left || pg.rec.Owner == n
		}
		if left {
			continue
		}
		key := partOf(n)
		c.jobBusy[key] = true
		c.commit(bookkeeping.RankPage, protocol.Txn{
			If:   []protocol.Cond{{Key: key, Version: p.version}},
			Then: []protocol.Op{{Delete: key}},
		}, func(r protocol.StoreResult) {
			delete(c.jobBusy, key)
			c.dirty = true
			if r.Outcome == protocol.OK {
				c.log.Info("shares of the teams' limits given back", "of", n)
			}
		})
	}
}

func partOf(node string) string { return bookkeeping.Key(bookkeeping.KindPart, node) }

// moveShares has the shares of the teams' limits follow attempts that go over
// from one part's pages into another's.
func (c *Core) moveShares(t *protocol.Txn, conds map[string]bool, from, to string, use map[string]amount) {
	theirs, mine := c.view.parts[from], c.view.parts[to]
	if theirs == nil {
		return // it never had any: none of its teams has a limit
	}
	keys := []string{bookkeeping.Key(bookkeeping.KindPart, from), bookkeeping.Key(bookkeeping.KindPart, to)}
	next := []bookkeeping.Part{{Shares: map[string]bookkeeping.Amount{}}, {Shares: map[string]bookkeeping.Amount{}}}
	for i, p := range []*partView{theirs, mine} {
		if p != nil {
			for k, v := range p.rec.Shares {
				next[i].Shares[k] = v
			}
		}
	}
	puts := []int{-1, -1}
	for i, op := range t.Then { // an earlier machine of the same commit
		for k := range keys {
			if op.Put == keys[k] {
				puts[k] = i
				var rec bookkeeping.Part
				if protocol.Unmarshal(op.Value, &rec) == nil {
					next[k] = rec
				}
			}
		}
	}
	moved := false
	for _, team := range sortedKeys(use) {
		if limit, _ := c.team(team); !limit.limited() {
			continue
		}
		moved = true
		a, b := next[0].Shares[team], next[1].Shares[team]
		a.CPUs, b.CPUs = max(0, a.CPUs-use[team].cpus), b.CPUs+use[team].cpus
		a.GPUs, b.GPUs = max(0, a.GPUs-use[team].gpus), b.GPUs+use[team].gpus
		next[0].Shares[team], next[1].Shares[team] = a, b
	}
	if !moved {
		return
	}
	for k, key := range keys {
		if next[k].Shares == nil {
			next[k].Shares = map[string]bookkeeping.Amount{}
		}
		op := protocol.Op{Put: key, Value: protocol.MustMarshal(&next[k])}
		if puts[k] >= 0 {
			t.Then[puts[k]] = op
			continue
		}
		if !conds[key] {
			conds[key] = true
			t.If = append(t.If, protocol.Cond{Key: key, Version: c.view.versionOf(key)})
		}
		t.Then = append(t.Then, op)
	}
}
