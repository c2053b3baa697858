package coordination

import (
	"math"
	"slices"

	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
)

// What a partition may use of the teams' limits.

// shortage is what assignments lacked of a partition's share.
type shortage struct {
	least, all amount // for one task, and for all
	usable     bool   // a machine has room for one of them
}

// partitionShare is what a partition may use of a team's limit, by its record.
func (c *Core) partitionShare(partition, team string) amount {
	if p := c.view.partitions[partition]; p != nil {
		a := p.rec.Shares[team]
		return amount{exact(a.CPUs), exact(a.GPUs), math.Inf(1)}
	}
	return amount{mem: math.Inf(1)}
}

// sharesInDoubt are shares of ours that a commit without an answer may yet bring about:
// it is conditional on a version of our record, and nothing else changes that version
// when tasks are assigned under it.
type sharesInDoubt struct {
	version uint64
	rec     bookkeeping.Partition
}

// ownShare is what we may use of a team's limit, whatever becomes of commits in doubt.
func (c *Core) ownShare(team string) amount {
	share := c.partitionShare(c.node, team)
	version := c.view.versionOf(partitionKey(c.node))
	for _, d := range c.inDoubt {
		if d.version == version {
			share.cpus = min(share.cpus, exact(d.rec.Shares[team].CPUs))
			share.gpus = min(share.gpus, exact(d.rec.Shares[team].GPUs))
		}
	}
	return share
}

// settleShares forgets commits in doubt that were conditional on another version than
// that of our record now.
func (c *Core) settleShares() {
	version := c.view.versionOf(partitionKey(c.node))
	c.inDoubt = slices.DeleteFunc(c.inDoubt, func(d sharesInDoubt) bool { return d.version != version })
}

// partitionUse is what attempts in our shards take of a team's limit, at most. What a
// commit in doubt may have assigned counts as well, and so do shards of an earlier
// life of ours that we haven't claimed again yet: they are within the same share.
func (c *Core) partitionUse(team string) amount {
	use := amount{}
	for _, p := range c.view.shards {
		if p.rec.Owner == c.node {
			use = use.plus(p.use[team], 1)
		}
	}
	for _, s := range c.shards {
		for _, d := range s.inDoubtUpdates {
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
	have, use := c.ownShare(team), c.partitionUse(team)
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
	for _, p := range c.view.partitions {
		a := p.rec.Shares[team]
		room = room.plus(amountOf(a.CPUs, a.GPUs, 0), -1)
	}
	return room
}

// Bounds of how shares of the teams' limits change.
const (
	// keptUnused is the part of a team's limit that all controllers together keep beyond
	// what they use: use goes up and down, and each change of a share is a write.
	keptUnused = 0.2
	// nearlyAllocated is the unallocated part of a limit below which unused shares are
	// given back.
	nearlyAllocated = 0.15
	// lackingFor is how long a partition lacks some of a limit before it says so: while
	// machines come up and jobs end, shares move by themselves.
	lackingFor = 8 * micros.Second
	// lackNews is how long a peer's word that it lacks some of a limit counts.
	lackNews = 3 * slowTick
)

// adjustShares raises our shares where assignments lacked some, and gives back what
// we don't use of a team whose limit is nearly handed out. A raise depends on the
// records of all partitions, a lowering on ours alone; either changes our record, on
// which our assignments depend.
func (c *Core) adjustShares(now micros.T) {
	if c.partitionBusy || c.storeDown || !c.leaseHeld(now) {
		return
	}
	for _, s := range c.shards {
		if s.busyAt != 0 {
			return
		}
	}
	next, version := c.ownShares()
	c.settleShares()
	raised, changed := false, len(c.inDoubt) > 0 // writing them anew settles what became of those
	lacking := map[string]micros.T{}
	for i := range c.cfg.Facts.Teams {
		team := c.cfg.Facts.Teams[i].Name
		limit, _ := c.team(team)
		if !limit.limited() {
			continue
		}
		before := next.Shares[team]
		after, lacks := c.wantedShare(team, limit, before, now)
		if lacks {
			lacking[team] = now
			if since, lacked := c.lackingSince[team]; lacked {
				lacking[team] = since
			}
		}
		if after == before {
			continue
		}
		next.Shares[team] = after
		raised = raised || after.CPUs > before.CPUs+slack || after.GPUs > before.GPUs+slack
		changed = true
	}
	c.lackingSince = lacking
	clear(c.teamShort)
	if changed {
		c.writeShares(next, version, raised)
	}
}

// ownShares copies our record of shares and gives its version.
func (c *Core) ownShares() (next bookkeeping.Partition, version uint64) {
	next.Shares = map[string]bookkeeping.Amount{}
	if mine := c.view.partitions[c.node]; mine != nil {
		version = mine.version
		for team, share := range mine.rec.Shares {
			next.Shares[team] = share
		}
	}
	return next, version
}

// wantedShare is what our share of a team's limit should become, and whether we lack a
// task's worth of it that can't be had.
func (c *Core) wantedShare(team string, limit teamLimit, have bookkeeping.Amount, now micros.T) (want bookkeeping.Amount, lacks bool) {
	unallocated := c.pool(team)
	short, wants := c.teamShort[team]
	at, heard := c.peers.lacks[team]
	contested := heard && now-at < lackNews
	switch {
	case wants && (unallocated.cpus+slack < short.least.cpus || unallocated.gpus+slack < short.least.gpus):
		// Not enough for a single task here, and what we have left over may be
		// what another partition lacks: several such rests add up to a task.
		return c.loweredShare(team, have, amount{}), short.usable
	case c.lostAt != 0:
		return c.loweredShare(team, have, amount{}), false // nothing can start here
	case contested && !short.usable:
		// Another part could start tasks at once; here they would wait for machines.
		return c.loweredShare(team, have, amount{}), false
	case wants:
		return c.raisedShare(limit, have, short, unallocated), false
	}
	if unallocated.cpus > nearlyAllocated*limit.CPUsMax && (limit.GPUsMax == 0 || unallocated.gpus > nearlyAllocated*limit.GPUsMax) {
		return have, false
	}
	partition := keptUnused / float64(c.liveShare)
	return c.loweredShare(team, have, amount{cpus: partition * limit.CPUsMax, gpus: partition * limit.GPUsMax}), false
}

// limitLacking lists the teams of whose limit we have lacked a task's worth for so long
// that the others should give back what they don't use.
func (c *Core) limitLacking(now micros.T) []string {
	var out []string
	for _, team := range sortedKeys(c.lackingSince) {
		if now-c.lackingSince[team] >= lackingFor {
			out = append(out, team)
		}
	}
	return out
}

// raisedShare takes what is lacking, and half of an even part of what is left: a raise
// costs a change, and what one part has no other can use.
func (c *Core) raisedShare(limit teamLimit, have bookkeeping.Amount, short shortage, unallocated amount) bookkeeping.Amount {
	partition := 1 / (2 * float64(c.liveShare))
	grow := func(have, short, left float64) float64 {
		grown := exact(have + min(max(0, left), max(short, 0)+max(0, left-short)*partition))
		if grown > have+slack {
			return grown
		}
		return have
	}
	if limit.CPUsMax > 0 {
		have.CPUs = grow(have.CPUs, short.all.cpus, unallocated.cpus)
	}
	if limit.GPUsMax > 0 {
		have.GPUs = grow(have.GPUs, short.all.gpus, unallocated.gpus)
	}
	return have
}

// loweredShare gives back what is more than twice a margin above what we use, down to
// the margin.
func (c *Core) loweredShare(team string, have bookkeeping.Amount, margin amount) bookkeeping.Amount {
	use := c.partitionUse(team)
	lower := bookkeeping.Amount{
		CPUs: max(0, min(have.CPUs, use.cpus+margin.cpus)),
		GPUs: max(0, min(have.GPUs, use.gpus+margin.gpus)),
	}
	if lower.CPUs < have.CPUs-slack-margin.cpus || lower.GPUs < have.GPUs-slack-margin.gpus {
		return lower
	}
	return have
}

// writeShares commits our record. A raise asks for the records of all partitions.
func (c *Core) writeShares(next bookkeeping.Partition, version uint64, raised bool) {
	key := partitionKey(c.node)
	t := protocol.Txn{
		If:   []protocol.Cond{{Key: key, Version: version}},
		Then: []protocol.Op{{Put: key, Value: protocol.MustMarshal(&next)}},
	}
	if raised {
		names := map[string]bool{}
		for _, n := range c.all {
			names[n] = true
		}
		for n := range c.view.partitions {
			names[n] = true
		}
		for _, n := range sortedKeys(names) {
			if n != c.node {
				t.If = append(t.If, protocol.Cond{Key: partitionKey(n), Version: c.view.versionOf(partitionKey(n))})
			}
		}
	}
	c.partitionBusy = true
	doubt := sharesInDoubt{version, next}
	c.commit(bookkeeping.RankShard, t, func(r protocol.StoreResult) {
		c.partitionBusy = false
		c.dirty = true
		if r.Outcome == protocol.Unknown {
			c.inDoubt = append(c.inDoubt, doubt)
		}
	})
}

// freeShares gives back what a controller that has gone still
// has of the teams' limits once all of its shards are others': its share went with them
// but for what it had kept for later, and a team at its limit lacked that for as long as
// the controller was away. Whatever it may yet write asks for the record that is dropped,
// and it must not have come back: one that is cut off from its machines lowers its own.
func (c *Core) freeShares(now micros.T) {
	if c.storeDown || c.partitionBusy || !c.leaseHeld(now) {
		return
	}
	able := c.able()
	for _, n := range sortedKeys(c.view.partitions) {
		p := c.view.partitions[n]
		if n == c.node || home(n, able) != c.node || c.jobBusy[partitionKey(n)] || c.view.watched < p.version ||
			c.isLive(n) || now-c.gone(n, now) <= micros.Second {
			continue
		}
		left := false
		for _, pg := range c.view.shards {
			left = left || pg.rec.Owner == n
		}
		if left {
			continue
		}
		key := partitionKey(n)
		c.jobBusy[key] = true
		c.commit(bookkeeping.RankShard, protocol.Txn{
			If:   []protocol.Cond{{Key: key, Version: p.version}, {Key: bookkeeping.Key(bookkeeping.KindMember, n)}},
			Then: []protocol.Op{{Delete: key}},
		}, func(r protocol.StoreResult) {
			delete(c.jobBusy, key)
			c.dirty = true
			if r.Outcome == protocol.OK {
				c.log.Info("quota shares released", "node", n)
			}
		})
	}
}

func partitionKey(node string) string { return bookkeeping.Key(bookkeeping.KindPartition, node) }

// moveShares has the shares of the teams' limits follow attempts that go over
// from one part's shards into another's.
func (c *Core) moveShares(t *protocol.Txn, conds map[string]bool, from, to string, use map[string]amount) {
	theirs, mine := c.view.partitions[from], c.view.partitions[to]
	if theirs == nil {
		return // it never had any: none of its teams has a limit
	}
	keys := []string{bookkeeping.Key(bookkeeping.KindPartition, from), bookkeeping.Key(bookkeeping.KindPartition, to)}
	next := []bookkeeping.Partition{{Shares: map[string]bookkeeping.Amount{}}, {Shares: map[string]bookkeeping.Amount{}}}
	for i, p := range []*partitionView{theirs, mine} {
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
				var rec bookkeeping.Partition
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
