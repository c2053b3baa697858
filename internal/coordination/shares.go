package coordination

import (
	"fmt"
	"math"
	"sort"

	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
)

// Bounds of how tasks move between parts.
const (
	leastShare = 24                // tasks
	mostShares = 40                // of one job; what a value holds
	ownerGrace = 3 * micros.Second // an owner that seems to have room gets so long to use it
	takerGrace = 1 * micros.Second // and one that has just taken tasks over: they went round without a start
)

// ---- which part places which tasks ----

// split divides a new job among the parts: whole to the one with most room, or
// what the parts have room for, and the rest evenly. A job too large for any part
// is so spread over all of them, and what binds stays in its own record.
func (c *Core) split(spec *bookkeeping.Spec) []bookkeeping.Share {
	n := spec.Tasks
	live := c.able()
	if n == 1 || spec.OneZone || spec.Spread || len(live) == 0 {
		return []bookkeeping.Share{{First: 0, End: n, Part: c.roomiest(spec)}}
	}
	rooms := c.partRooms()
	backlog := c.backlog()
	type part struct {
		name       string
		room, size int
	}
	var parts []part
	for _, p := range live {
		r := rooms.room(spec, p) - int(math.Ceil(backlog[p]/max(spec.CPUs, 0.01)))
		parts = append(parts, part{name: p, room: r})
	}
	// The least burdened first where none has room.
	sort.SliceStable(parts, func(a, b int) bool { return parts[a].room > parts[b].room })
	for i := range parts {
		parts[i].room = max(0, parts[i].room)
	}
	if n <= parts[0].room || spec.Service {
		return []bookkeeping.Share{{First: 0, End: n, Part: c.roomiest(spec)}}
	}
	left := n
	for i := range parts {
		parts[i].size = min(left, parts[i].room)
		left -= parts[i].size
	}
	// What has no room anywhere yet goes to no more parts than is worth it: each
	// part that has some of a job holds a record of it.
	among := min(len(parts), max(1, left/leastShare))
	for i := range parts[:among] {
		k := (left + among - i - 1) / (among - i)
		parts[i].size += k
		left -= k
	}
	var out []bookkeeping.Share
	at := 0
	for _, p := range parts {
		if p.size > 0 {
			out = append(out, bookkeeping.Share{First: at, End: at + p.size, Part: p.name})
			at += p.size
		}
	}
	return out
}

// backlog is the CPUs that each part's waiting tasks will take.
func (c *Core) backlog() map[string]float64 {
	out := map[string]float64{}
	for _, j := range c.view.jobs {
		if !j.open() || j.waiting() == 0 || c.mistakes(j) {
			continue
		}
		for _, s := range j.rec.Shares {
			if len(j.rec.Shares) == 1 {
				out[s.Part] += float64(j.waiting()) * j.need.cpus
				break
			}
			for i := s.First; i < s.End; i++ {
				if j.state[i] == 0 {
					out[s.Part] += j.need.cpus
				}
			}
		}
	}
	return out
}

// reshare changes which parts place a job's tasks. Whatever a range's owner assigned
// before stands in the pages by then, whatever it would assign after fails on the
// record's version; so the new owner may begin once its mirror has come that far.
func (c *Core) reshare(j *job, shares []bookkeeping.Share) bool {
	// Both this and an assignment change or ask for the job's record: with one of the
	// same turn on its way, one of the two would fail, and two parts could go on
	// handing a job to and fro without ever starting it.
	if c.jobBusy[j.id] || c.turnJobs[j.id] || len(shares) > mostShares {
		return false
	}
	rec := j.rec
	rec.Shares = shares
	value := protocol.MustMarshal(&rec)
	if 2*len(value) > c.valueBytes() {
		return false
	}
	c.jobBusy[j.id] = true
	key := bookkeeping.Key(bookkeeping.KindOpen, j.id)
	c.commit(bookkeeping.RankPage, protocol.Txn{
		If:   []protocol.Cond{{Key: key, Version: j.version}},
		Then: []protocol.Op{{Put: key, Value: value}},
	}, func(r protocol.StoreResult) {
		delete(c.jobBusy, j.id)
		c.dirty = true
		if r.Outcome == protocol.OK {
			c.log.Debug("tasks change their part", "job", j.id, "shares", fmt.Sprint(shares))
		}
	})
	return true
}

// spaced tells when something that costs a change may be done again, if all
// controllers together may spend that part of the store's changes on it: what is
// spent here the pages lack.
func (c *Core) spaced(part float64) micros.T {
	return c.now() + micros.FromSeconds(float64(c.liveShare)/(part*c.cfg.Facts.State.WriteRPS))
}

// adoptOrphans takes over the waiting tasks of parts that have gone, or don't reach
// their machines. Each job has
// one heir for that, whether it has room for them or not: only their owner makes
// room for services by stopping others' work, or rents for nobody else to place.
func (c *Core) adoptOrphans(jobs []*job, now micros.T) {
	live := c.able()
	for _, j := range jobs {
		if now < c.orphanAt {
			return
		}
		if c.jobBusy[j.id] || c.view.watched < j.version || home(j.id, live) != c.node {
			continue
		}
		shares := j.rec.Shares
		for _, s := range j.rec.Shares {
			if !c.isLive(s.Part) && now-c.gone(s.Part, now) > micros.Second || c.cutOff(s.Part, now) {
				shares = bookkeeping.Reshare(shares, s.First, s.End, c.node)
			}
		}
		if len(shares) != len(j.rec.Shares) || !sameShares(shares, j.rec.Shares) {
			if c.reshare(j, shares) {
				c.orphanAt = c.spaced(0.4)
			}
		}
	}
}

// gone tells since when a controller is missed.
func (c *Core) gone(node string, now micros.T) micros.T {
	at, ok := c.deadSince[node]
	if !ok {
		c.deadSince[node], at = now, now
	}
	return at
}

func sameShares(a, b []bookkeeping.Share) bool {
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// take looks for waiting tasks of other parts that ours has room for: of parts
// that have gone, have no room for them, or haven't used what they seem to have.
// That hands tasks on in one write, at the time when there is room, and lets each
// part's room go to the most urgent tasks of all.
func (c *Core) take(jobs []*job, cands []*candidate, left map[string]amount, now micros.T) {
	free := 0.0
	for _, cd := range cands {
		if !cd.held && cd.keep == "" {
			free += max(0, cd.free.cpus)
		}
	}
	if free < slack || now < c.takeAt {
		return
	}
	rooms := c.partRooms()
	wall := c.env.Wall()
	for _, j := range jobs {
		if now < c.takeAt {
			return
		}
		if j.need.cpus <= free+slack {
			c.takeJob(j, cands, left, rooms, wall)
		}
	}
}

// roomFor counts the tasks of a job that the room not kept for others can take.
func roomFor(j *job, cands []*candidate) int {
	room := 0
	for _, cd := range cands {
		if !cd.held && cd.keptFor(j) && mayRun(&j.rec.Spec, cd.rec) {
			room += j.need.count(cd.free)
		}
	}
	return room
}

// takeJob takes over as many of a job's tasks that wait at other parts as we have room
// for, and tells how many.
func (c *Core) takeJob(j *job, cands []*candidate, left map[string]amount, rooms *partRooms, wall int64) int {
	spec := &j.rec.Spec
	if len(j.rec.Shares) == 1 && j.rec.Shares[0].Part == c.node ||
		c.jobBusy[j.id] || c.now() < c.jobNotes(j.id).until || c.view.watched < j.version || c.mistakes(j) {
		return 0
	}
	room := roomFor(j, cands)
	if room == 0 {
		return 0
	}
	l, ok := left[spec.Team]
	if !ok {
		l = c.shareLeft(spec.Team)
		left[spec.Team] = l
	}
	if n := j.need.count(l); n < room {
		// A part with machines but without a share of the team's limit would leave
		// the tasks for ever to one with a share but without machines.
		c.lacks(spec.Team, j.need, min(room-n, j.waiting()), l)
		room = n
	}
	if room == 0 {
		return 0
	}
	whole := spec.OneZone || spec.Spread
	for k := len(j.rec.Shares) - 1; k >= 0; k-- {
		s := j.rec.Shares[k]
		if s.Part == c.node || c.isLive(s.Part) && rooms.room(spec, s.Part) > 0 &&
			(wall-j.rec.At < int64(ownerGrace) || c.now()-c.jobNotes(j.id).sharedAt < takerGrace) {
			continue
		}
		n, first := 0, s.End
		for first > s.First && (n < room || whole) {
			first--
			if j.state[first] == 0 {
				n++
			}
		}
		if n == 0 || whole && n > room && c.isLive(s.Part) {
			continue
		}
		if !c.reshare(j, bookkeeping.Reshare(j.rec.Shares, first, s.End, c.node)) {
			return 0
		}
		c.takeAt = c.spaced(0.1)
		return n
	}
	return 0
}

// reserve keeps room for tasks that are about to be ours from what is less urgent.
func reserve(need amount, spec *bookkeeping.Spec, cands []*candidate, n int) {
	for _, cd := range cands {
		if n <= 0 {
			return
		}
		if !cd.held && cd.keep == "" && mayRun(spec, cd.rec) {
			k := min(n, need.count(cd.free))
			cd.free = cd.free.plus(need, -float64(k))
			n -= k
		}
	}
}

// handOver gives our waiting tasks of a job to a part that can make room.
func (c *Core) handOver(j *job, to string) bool {
	for _, s := range j.rec.Shares {
		if s.Part != c.node {
			continue
		}
		if !c.reshare(j, bookkeeping.Reshare(j.rec.Shares, s.First, s.End, to)) {
			return false
		}
		c.takeAt = c.spaced(0.1)
		return true
	}
	return false
}

// ---- what a part may use of the teams' limits ----

// shortage is what assignments lacked of a part's share: for one task, and for all.
type shortage struct{ least, all amount }

// partShare is what a part may use of a team's limit.
func (c *Core) partShare(part, team string) amount {
	if p := c.view.parts[part]; p != nil {
		a := p.rec.Shares[team]
		return amount{cpus: a.CPUs, gpus: a.GPUs, mem: math.Inf(1)}
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
		room = room.plus(amount{cpus: a.CPUs, gpus: a.GPUs}, -1)
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
