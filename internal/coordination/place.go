package coordination

import (
	"math"
	"sort"

	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
)

// Bounds of one placement pass.
const (
	fullSearch  = 48 // with more machines than this a sample is looked at
	sampleSize  = 24
	rowsPerPass = 16 // rows of one job looked at in a pass
	handPause   = 1 * micros.Second
)

// rowState is what a controller notes about a row beside the mirror.
type rowState struct {
	busy       bool // a commit of ours is in flight
	pauseUntil micros.T
	handedAt   micros.T
}

func (c *Core) row(key string) *rowState {
	s := c.rows[key]
	if s == nil {
		s = &rowState{}
		c.rows[key] = s
	}
	return s
}

// candidate is a machine with the room that a pass still has on it.
type candidate struct {
	m      *machine
	free   amount
	closed bool // closing: reopened if nothing else has room
	held   bool // kept for a more urgent job that hasn't room yet
}

// usable tells whether new tasks may go to a machine of ours.
func (c *Core) usable(m *machine, now micros.T) bool {
	w := m.w
	if w == nil || w.lost || w.noticed || w.session == 0 || w.faulty() {
		return false
	}
	if m.rec.State != bookkeeping.MachineOpen && m.rec.State != bookkeeping.MachineClosing {
		return false
	}
	report := micros.FromSeconds(c.cfg.Facts.Workers.ReportS)
	return now-w.heardAt < 2*report+micros.Second && c.view.watched >= w.claimVersion
}

// candidates lists our machines with room.
func (c *Core) candidates(now micros.T) []*candidate {
	var out []*candidate
	for _, id := range sortedKeys(c.view.machines) {
		m := c.view.machines[id]
		if m.version == 0 || !c.usable(m, now) {
			continue
		}
		t, ok := c.types[m.rec.Type]
		if !ok {
			continue
		}
		free := capacity(&t).plus(m.used, -1).plus(m.w.reserved, -1)
		out = append(out, &candidate{m: m, free: free, closed: m.rec.State == bookkeeping.MachineClosing})
	}
	return out
}

// mayRun tells whether a job's tasks may run on a machine.
func mayRun(s *bookkeeping.Spec, m *bookkeeping.Machine) bool {
	return allowed(s, m.Type, m.Zone) && (s.Spot || !m.Spot)
}

// standing is a job's place in the order of urgency.
type standing struct {
	job   *job
	slack float64 // seconds that it may still wait
	late  bool    // long past its aim
	owed  bool    // its team is within its guarantee
}

// before orders jobs: higher priority first; of the same priority those first
// whose team doesn't yet use its guarantee, then the least slack; last those that are long past their aim, the oldest of them first. Past what can be done, going by the deadline alone would
// spend all machines on jobs that are late already and make every other late.
func (a standing) before(b standing) bool {
	x, y := a.job, b.job
	if x.rec.Spec.Priority != y.rec.Spec.Priority {
		return x.rec.Spec.Priority > y.rec.Spec.Priority
	}
	if a.owed != b.owed {
		return a.owed
	}
	if a.late != b.late {
		return b.late
	}
	if !a.late && a.slack != b.slack {
		return a.slack < b.slack
	}
	if x.rec.At != y.rec.At {
		return x.rec.At < y.rec.At
	}
	return x.id < y.id
}

// openJobs lists jobs with unplaced tasks, the most urgent first.
func (c *Core) openJobs() []*job {
	var all []standing
	wall := c.env.Wall()
	for _, j := range c.view.jobs {
		if j.open() && j.done+j.held < j.rec.Spec.Tasks {
			slack := c.slack(j, wall)
			late := slack+doubt*c.expected(&j.rec.Spec) < -0.5*c.within(&j.rec.Spec)
			all = append(all, standing{j, slack, late, c.owed(j)})
		}
	}
	sort.Slice(all, func(a, b int) bool { return all[a].before(all[b]) })
	out := make([]*job, len(all))
	for i := range all {
		out[i] = all[i].job
	}
	return out
}

// owed tells whether one more task of a job lies within its team's guarantee.
func (c *Core) owed(j *job) bool {
	team, _ := c.team(j.rec.Spec.Team)
	use := c.view.teamUse[j.rec.Spec.Team].plus(j.need, 1)
	return use.cpus <= team.CPUs+slack && use.gpus <= team.GPUs+slack
}

// rowOwner names the part that places a chunk's pending tasks.
func rowOwner(j *job, chunk int) string {
	if r := j.rows[chunk]; r != nil && r.rec != nil {
		return r.rec.Owner
	}
	return j.rec.Owner
}

// batch gathers the assignments of one team into one commit.
type batch struct {
	team  string
	txn   protocol.Txn
	conds map[string]bool
	rows  []string
	open  []string // fenced jobs
	uses  map[*machine]amount
}

func (b *batch) cond(key string, version uint64) {
	if !b.conds[key] {
		b.conds[key] = true
		b.txn.If = append(b.txn.If, protocol.Cond{Key: key, Version: version})
	}
}

// place gives pending tasks of our rows to our machines, and hands rows on
// whose tasks fit here no more but elsewhere.
func (c *Core) place(now micros.T) {
	if c.types == nil || c.storeDown || !c.leaseHeld(now) {
		return
	}
	cands := c.candidates(now)
	parts := c.partRooms()
	wall := c.env.Wall()
	batches := map[string]*batch{}
	var order []string
	teamLeft := map[string]amount{}
	st := c.cfg.Facts.State
	for _, j := range c.openJobs() {
		spec := &j.rec.Spec
		if s := c.jobState[j.id]; s != nil && now < s.until {
			continue
		}
		team, _ := c.team(spec.Team)
		if c.teamBusy[spec.Team] {
			continue
		}
		openKey := bookkeeping.Key(bookkeeping.KindOpen, j.id)
		fenced := spec.OneZone || spec.Spread
		if fenced && c.row(openKey).busy {
			continue
		}
		left, ok := teamLeft[spec.Team]
		if !ok {
			left = team.left(c.view.teamUse[spec.Team])
			teamLeft[spec.Team] = left
		}
		zones := newZoneRule(c.view, j)
		looked := 0
		for chunk := 0; chunk < j.chunks() && looked < rowsPerPass; chunk++ {
			if owner := rowOwner(j, chunk); owner != c.node && !c.mayTake(j, owner, parts, wall) {
				continue
			}
			var version uint64
			pending := j.chunkSize(chunk)
			if r := j.rows[chunk]; r != nil {
				if r.rec == nil {
					continue
				}
				version, pending = r.version, r.pending
			}
			if pending == 0 {
				continue
			}
			key := bookkeeping.RowKey(j.id, chunk)
			rs := c.row(key)
			if rs.busy || now < rs.pauseUntil {
				continue
			}
			looked++
			next := &bookkeeping.Row{Owner: c.node, Tasks: make([]bookkeeping.Task, j.chunkSize(chunk))}
			if version != 0 {
				next = j.rows[chunk].rec.Clone()
				next.Owner = c.node
			}
			ours := rowOwner(j, chunk) == c.node
			b := batches[spec.Team]
			if b == nil {
				b = &batch{team: spec.Team, conds: map[string]bool{}, uses: map[*machine]amount{}}
				batches[spec.Team] = b
				order = append(order, spec.Team)
				if team.limited() {
					tk := bookkeeping.Key(bookkeeping.KindTeam, spec.Team)
					b.cond(tk, c.view.teams[spec.Team])
					b.txn.Then = append(b.txn.Then, protocol.Op{Put: tk,
						Value: protocol.MustMarshal(&bookkeeping.TeamFence{Count: c.view.teams[spec.Team] + 1})})
				}
			}
			// A row needs its own put, at most one machine reopened a task, and a fence.
			if len(b.txn.Then)+2 > st.TxnOps || len(b.txn.If)+4 > 4*st.TxnOps {
				break
			}
			placed, limited, roomless := 0, false, false
			for i := range next.Tasks {
				task := &next.Tasks[i]
				if task.State != bookkeeping.TaskPending {
					continue
				}
				if !j.need.fits(left) {
					limited = true
					break
				}
				if len(b.txn.If)+4 > 4*st.TxnOps {
					limited = true
					break
				}
				cd := c.choose(j, cands, zones, b, st.TxnOps)
				if cd == nil {
					roomless = true
					break
				}
				if spec.Service && !cd.m.images[spec.Image] && !c.waited(j, wall) && c.preempt(j, 1, zones, true, now) {
					// Room is being made beside the image: sooner than a fetch.
					limited = true
					break
				}
				if cd.closed {
					cd.closed = false
					rec := cd.m.rec
					rec.State = bookkeeping.MachineOpen
					b.txn.Then = append(b.txn.Then, protocol.Op{Put: bookkeeping.Key(bookkeeping.KindMachine, cd.m.id),
						Value: protocol.MustMarshal(&rec)})
				}
				cd.free = cd.free.plus(j.need, -1)
				left = left.plus(j.need, -1)
				b.uses[cd.m] = b.uses[cd.m].plus(j.need, 1)
				b.cond(bookkeeping.Key(bookkeeping.KindMachine, cd.m.id), cd.m.version)
				cd.m.images[spec.Image] = true
				zones.add(cd.m.rec.Zone, 1)
				task.State, task.Machine = bookkeeping.TaskAssigned, cd.m.id
				task.Attempt++
				placed++
			}
			teamLeft[spec.Team] = left
			handTo := ""
			if roomless && !spec.Service {
				c.holdFor(j, cands, zones, (pending-placed+len(c.all)-1)/len(c.all))
			}
			if roomless && ours && !spec.Service && wall-j.rec.At > int64(owedAfter) && c.guaranteed(j) {
				if !c.preempt(j, min(pending-placed, owedAtOnce), zones, false, now) && now-rs.handedAt > handPause {
					handTo = parts.mostVictims(j, c.node)
				}
			}
			if roomless && ours && spec.Service {
				if !c.preempt(j, pending-placed, zones, false, now) && now-rs.handedAt > handPause {
					handTo = parts.mostVictims(j, c.node)
				}
			}
			if placed == 0 && handTo == "" {
				if roomless {
					break // the job's other rows won't fit here either
				}
				if limited {
					break
				}
				continue
			}
			if handTo != "" {
				rs.handedAt = now
				next.Owner = handTo
				c.log.Debug("row handed on", "row", key, "to", handTo, "pending", pending-placed)
			}
			b.cond(openKey, j.version)
			b.cond(key, version)
			b.txn.Then = append(b.txn.Then, protocol.Op{Put: key, Value: next.Encode()})
			b.rows = append(b.rows, key)
			if fenced && placed > 0 {
				rec := j.rec
				rec.Fence++
				b.txn.Then = append(b.txn.Then, protocol.Op{Put: openKey, Value: protocol.MustMarshal(&rec)})
				b.open = append(b.open, openKey)
				break // one row of a fenced job a commit
			}
			if limited {
				break
			}
		}
	}
	for _, team := range order {
		c.assign(batches[team])
	}
}

// holdFor keeps the machines nearest to having room for a job from what is less
// urgent in this pass. Else smaller tasks fill every gap as it opens, and a job
// of larger ones waits for as long as there are any.
func (c *Core) holdFor(j *job, cands []*candidate, zones *zoneRule, n int) {
	held := 0
	for _, cd := range cands {
		if cd.held {
			held++
		}
	}
	// Few at a time: past what can be done, room that is kept is room wasted.
	n = min(n, max(1, len(cands)/6)-held)
	for ; n > 0; n-- {
		var best *candidate
		for _, cd := range cands {
			if cd.held || !mayRun(&j.rec.Spec, &cd.m.rec) || !zones.ok(cd.m.rec.Zone) {
				continue
			}
			t := c.types[cd.m.rec.Type]
			if j.need.fits(capacity(&t)) && (best == nil || cd.free.cpus > best.free.cpus) {
				best = cd
			}
		}
		if best == nil {
			return
		}
		best.held, best.free = true, amount{}
	}
}

// waited tells whether a job has waited too long to go on looking for a better
// place.
func (c *Core) waited(j *job, wall int64) bool { return wall-j.rec.At > int64(2*micros.Second) }

// mayTake tells whether we may place tasks of another part's row: that part has
// gone, has no room for them, or hasn't used what it seems to have. The row
// becomes ours in the commit that assigns. That hands tasks on in one write, at
// the time when there is room, and lets each part's room go to the most urgent
// tasks of all.
func (c *Core) mayTake(j *job, owner string, parts *partRooms, wall int64) bool {
	if wall-j.rec.At > int64(micros.Second) || !c.isLive(owner) {
		return true
	}
	return parts.room(&j.rec.Spec, owner) == 0
}

// assign commits a batch and then starts its tasks.
func (c *Core) assign(b *batch) {
	if len(b.rows) == 0 {
		return
	}
	limit, _ := c.team(b.team)
	if limit.limited() && len(b.uses) > 0 {
		c.teamBusy[b.team] = true
	}
	if limit.limited() && len(b.uses) == 0 {
		// Only handed on: the team's fence need not move.
		b.txn.If, b.txn.Then = b.txn.If[1:], b.txn.Then[1:]
	}
	for _, k := range append(b.rows, b.open...) {
		c.row(k).busy = true
	}
	for m, a := range b.uses {
		m.w.reserved = m.w.reserved.plus(a, 1)
	}
	c.commit(bookkeeping.RankAssign, b.txn, func(r protocol.StoreResult) {
		delete(c.teamBusy, b.team)
		for _, k := range append(b.rows, b.open...) {
			s := c.row(k)
			s.busy = false
			if r.Outcome != protocol.OK {
				s.pauseUntil = c.now() + 60*micros.Millisecond
			}
		}
		for m, a := range b.uses {
			if m.w != nil {
				m.w.reserved = m.w.reserved.plus(a, -1)
				if m.w.reserved.cpus < slack {
					m.w.reserved = amount{}
				}
			}
		}
		c.dirty = true
		if r.Outcome != protocol.OK {
			c.log.Debug("assignment not made", "team", b.team, "rows", len(b.rows), "outcome", r.Outcome.String(), "failed", r.Failed)
			return
		}
		c.stats.placed += len(b.uses)
		c.log.Debug("tasks assigned", "rows", b.rows, "machines", len(b.uses))
		machines := make([]*machine, 0, len(b.uses))
		for m := range b.uses {
			machines = append(machines, m)
		}
		sort.Slice(machines, func(x, y int) bool { return machines[x].id < machines[y].id })
		for _, m := range machines {
			if m.w != nil {
				c.sync(m)
			}
		}
	})
}

// choose picks the machine for a task: spot before ordinary where the job may,
// one that has the image, the tightest fit. With many machines it looks at a
// sample.
func (c *Core) choose(j *job, cands []*candidate, zones *zoneRule, b *batch, txnOps int) *candidate {
	var best *candidate
	bestScore := math.Inf(1)
	look := func(cd *candidate) {
		spec := &j.rec.Spec
		if !j.need.fits(cd.free) || !mayRun(spec, &cd.m.rec) || !zones.ok(cd.m.rec.Zone) {
			return
		}
		if s := c.jobState[j.id]; s != nil && s.failedOn[cd.m.id] {
			return
		}
		if cd.closed && len(b.txn.Then)+4 > txnOps {
			return
		}
		score := cd.free.cpus
		if spec.Spot && !cd.m.rec.Spot {
			score += 1e6
		}
		if cd.closed {
			score += 1e5
		}
		if !cd.m.images[spec.Image] {
			score += imageWeight(spec)
		}
		if spec.Service {
			// Services last: kept together they leave other machines to empty. But
			// not too many: all of them go down with their machine.
			most := c.types[cd.m.rec.Type].CPUs / packedPart
			if held := c.serviceCPUs(cd.m); held <= most {
				score -= 8 * held
			} else {
				score += 8 * (held - most)
			}
		}
		if score < bestScore {
			best, bestScore = cd, score
		}
	}
	if len(cands) <= fullSearch {
		for _, cd := range cands {
			look(cd)
		}
		return best
	}
	for i := 0; i < sampleSize; i++ {
		look(cands[c.env.Rand().IntN(len(cands))])
	}
	if best == nil { // a full search before saying that there is no room
		for _, cd := range cands {
			look(cd)
		}
	}
	return best
}

// serviceCPUs tells what services hold of a machine.
func (c *Core) serviceCPUs(m *machine) float64 {
	n := 0.0
	for ref := range m.tasks {
		if j := c.view.jobs[ref.job]; j != nil && j.rec.Spec.Service {
			n += j.need.cpus
		}
	}
	return n
}

// owedAfter is how long a job within a guarantee looks for free room first.
const owedAfter = 5 * micros.Second / 2

// owedAtOnce is how many tasks of a job get room by its team's guarantee at a time.
const owedAtOnce = 4

// packedPart: services are drawn to a machine until they hold one of so many
// parts of it.
const packedPart = 4

// imageWeight weighs an image fetch against a tighter fit: a service counts as
// started only once its image is there, and it stays, so it pays to wait for
// nothing else.
func imageWeight(s *bookkeeping.Spec) float64 {
	if s.Service {
		return 1000 + 4*s.ImageGB
	}
	return 4 * s.ImageGB
}

// zoneRule keeps one_zone and apart. It knows where the job's other tasks are;
// the fence on the job's record keeps that knowledge exact at the commit.
type zoneRule struct {
	oneZone, spread bool
	most            int
	in              map[string]int
}

func newZoneRule(v *View, j *job) *zoneRule {
	s := &j.rec.Spec
	z := &zoneRule{oneZone: s.OneZone, spread: s.Spread, most: (s.Tasks + 1) / 2, in: map[string]int{}}
	if !z.oneZone && !z.spread {
		return z
	}
	for _, r := range j.rows {
		if r.rec == nil {
			continue
		}
		for i := range r.rec.Tasks {
			if t := &r.rec.Tasks[i]; t.State == bookkeeping.TaskAssigned {
				if m := v.machines[t.Machine]; m != nil {
					z.in[m.rec.Zone]++
				}
			}
		}
	}
	return z
}

func (z *zoneRule) ok(zone string) bool { return z.room(zone) > 0 }

// room counts the tasks that the rule lets a zone take.
func (z *zoneRule) room(zone string) int {
	if z.oneZone && len(z.in) > 0 && z.in[zone] == 0 {
		return 0
	}
	if z.spread {
		return max(0, z.most-z.in[zone])
	}
	return protocol.MaxTasks
}

func (z *zoneRule) add(zone string, n int) {
	if n > 0 && (z.oneZone || z.spread) {
		z.in[zone] += n
	}
}

// partRooms is the free room of every part, from the mirror.
type partRooms struct {
	core  *Core
	parts map[string][]*candidate
}

func (c *Core) partRooms() *partRooms {
	p := &partRooms{core: c, parts: map[string][]*candidate{}}
	for _, id := range sortedKeys(c.view.machines) {
		m := c.view.machines[id]
		t, ok := c.types[m.rec.Type]
		if !ok || m.version == 0 || !c.isLive(m.rec.Owner) ||
			m.rec.State != bookkeeping.MachineOpen && m.rec.State != bookkeeping.MachineClosing {
			continue
		}
		p.parts[m.rec.Owner] = append(p.parts[m.rec.Owner], &candidate{m: m, free: capacity(&t).plus(m.used, -1)})
	}
	return p
}

// room counts the tasks of a job that fit into a part.
func (p *partRooms) room(s *bookkeeping.Spec, part string) int {
	need := amount{s.CPUs, s.GPUs, s.MemoryGB}
	n := 0
	for _, cd := range p.parts[part] {
		if mayRun(s, &cd.m.rec) {
			n += need.count(cd.free)
		}
	}
	return n
}

// roomiest names the part with most room for a new job; for a service, one that
// has its image too comes first. If none has room: the part that could make
// most, or ours.
func (c *Core) roomiest(s *bookkeeping.Spec) string {
	p := c.partRooms()
	best, most := c.node, 0
	for _, score := range []func(string) int{
		func(n string) int { return p.withImage(s, n) },
		func(n string) int { return p.victims(s, n, true) },
		func(n string) int { return p.room(s, n) },
		func(n string) int { return p.victims(s, n, false) },
	} {
		for _, n := range append([]string{c.node}, c.live()...) {
			if r := score(n); r > most {
				best, most = n, r
			}
		}
		if most > 0 {
			break
		}
	}
	return best
}

// withImage counts a service's tasks that fit beside their image.
func (p *partRooms) withImage(s *bookkeeping.Spec, part string) int {
	if !s.Service {
		return 0
	}
	need := amount{s.CPUs, s.GPUs, s.MemoryGB}
	n := 0
	for _, cd := range p.parts[part] {
		if cd.m.images[s.Image] && mayRun(s, &cd.m.rec) {
			n += need.count(cd.free)
		}
	}
	return n
}

// victims counts the machines of a part on which a service would fit if tasks
// of lower priority were stopped; with beside, only those that have its image.
func (p *partRooms) victims(s *bookkeeping.Spec, part string, beside bool) int {
	if !s.Service {
		return 0
	}
	need := amount{s.CPUs, s.GPUs, s.MemoryGB}
	n := 0
	for _, cd := range p.parts[part] {
		if !mayRun(s, &cd.m.rec) || beside && !cd.m.images[s.Image] {
			continue
		}
		free := cd.free
		for ref := range cd.m.tasks {
			if v := p.core.view.jobs[ref.job]; v != nil && v.version != 0 && v.rec.Spec.Priority < s.Priority {
				free = free.plus(v.need, 1)
			}
		}
		if need.fits(free) {
			n++
		}
	}
	return n
}

// mostVictims names the other part that could make room for a job on most
// machines by stopping what may be stopped for it, or "".
func (p *partRooms) mostVictims(j *job, not string) string {
	most, part := 0, ""
	for _, n := range p.core.live() {
		if n == not {
			continue
		}
		r := 0
		for _, cd := range p.parts[n] {
			free := cd.free
			for ref := range cd.m.tasks {
				if v := p.core.view.jobs[ref.job]; v != nil && v.open() && p.core.mayStop(j, v) {
					free = free.plus(v.need, 1)
				}
			}
			if mayRun(&j.rec.Spec, &cd.m.rec) && j.need.fits(free) {
				r++
			}
		}
		if r > most {
			most, part = r, n
		}
	}
	return part
}
