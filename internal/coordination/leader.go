package coordination

import (
	"fmt"
	"math"
	"reflect"
	"sort"

	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
)

// Bounds of the leader's work.
const (
	listEvery    = 10 * micros.Second
	cloudTimeout = 4 * micros.Second
	cloudPause   = 1 * micros.Second
	mostARent    = 50  // machines a request
	mostADelete  = 100 // machines a deletion
	mostAPass    = 64  // machines rented in a pass
	deletedFor   = micros.Minute
	bootWeight   = 60 // seconds: boot time that makes an offer look twice as dear
)

// leaderState is what a leader knows beside the store. A new term starts anew:
// first the picture is rebuilt, only then is anything rented.
type leaderState struct {
	term     uint64
	rebuilt  bool
	passAt   micros.T
	listAt   micros.T
	listing  bool
	sequence int
	asking   map[string]bool
	askAt    map[string]micros.T
	deleting map[string]bool
	deleteAt map[string]micros.T
	deleted  map[string]micros.T // lately, the cloud's list lags
	emptyAt  map[string]micros.T
	closedAt map[string]micros.T
	busy     map[string]bool // keys with a commit of the leader in flight
	unplaced map[string]*unplaced
	recover  int // grows whenever an offer recovers from unmet
	trouble  bool
}

// unplaced follows a job whose demand no offer can meet.
type unplaced struct {
	passes  int
	until   micros.T
	step    micros.T
	out     bool // out of demand until an offer recovers
	recover int
}

func newLeaderState(term uint64) leaderState {
	return leaderState{
		term: term, asking: map[string]bool{}, askAt: map[string]micros.T{}, deleting: map[string]bool{},
		deleteAt: map[string]micros.T{}, deleted: map[string]micros.T{}, emptyAt: map[string]micros.T{},
		closedAt: map[string]micros.T{}, busy: map[string]bool{}, unplaced: map[string]*unplaced{},
	}
}

// lead does the leader's share; it is called every slow tick.
func (c *Core) lead(now micros.T) {
	c.finishJobs()
	if !c.leading(now) || c.storeDown {
		return
	}
	l := &c.leader
	if l.term != c.view.leadVer {
		c.leader = newLeaderState(c.view.leadVer)
	}
	c.sweep()
	c.keepTypes()
	c.deadParts(now)
	c.releaseGone()
	c.removals(now)
	if now >= l.listAt && !l.listing {
		c.listMachines(now)
	}
	if !l.rebuilt {
		return
	}
	c.asks(now)
	if now >= l.passAt {
		l.passAt = now + c.set.PassInterval.T()
		c.pass(now)
	}
}

// leaderCommit makes a change conditional on our lead, one at a time a key.
func (c *Core) leaderCommit(rank bookkeeping.Rank, busyKey string, t protocol.Txn, back func(protocol.StoreResult)) {
	if c.leader.busy[busyKey] {
		return
	}
	c.leader.busy[busyKey] = true
	term := c.leader.term
	t.If = append(t.If, c.leadCond())
	c.commit(rank, t, func(r protocol.StoreResult) {
		if term != c.leader.term {
			return
		}
		delete(c.leader.busy, busyKey)
		if back != nil {
			back(r)
		}
	})
}

// finishJobs makes jobs done whose last tasks were completed on different parts
// at once: each part saw the other's task unfinished.
func (c *Core) finishJobs() {
	for _, id := range sortedKeys(c.view.jobs) {
		j := c.view.jobs[id]
		if !j.open() || j.done < j.rec.Spec.Tasks || j.rec.Owner != c.node && c.view.lead.Node != c.node {
			continue
		}
		openKey := bookkeeping.Key(bookkeeping.KindOpen, id)
		rs := c.row(openKey)
		if rs.busy {
			continue
		}
		rs.busy = true
		t := protocol.Txn{
			If:   []protocol.Cond{{Key: openKey, Version: j.version}},
			Then: finishOps(j, c.cfg.Facts.State.TxnOps, protocol.Op{}),
		}
		c.commit(bookkeeping.RankOutcome, t, func(r protocol.StoreResult) {
			c.row(openKey).busy = false
			if r.Outcome == protocol.OK {
				c.view.finals.add(id, bookkeeping.Done)
				c.stats.done++
			}
		})
	}
}

// sweep drops the records of jobs that are over and whose every attempt is
// proven gone: rows first, the open record with the last of them.
func (c *Core) sweep() {
	most := c.cfg.Facts.State.TxnOps
	for _, id := range sortedKeys(c.view.jobs) {
		j := c.view.jobs[id]
		if j.version == 0 || j.open() || j.held > 0 {
			continue
		}
		openKey := bookkeeping.Key(bookkeeping.KindOpen, id)
		t := protocol.Txn{If: []protocol.Cond{{Key: openKey, Version: j.version}}}
		rows := sortedInts(j.rows)
		for _, chunk := range rows[:min(len(rows), most-1)] {
			key := bookkeeping.RowKey(id, chunk)
			t.If = append(t.If, protocol.Cond{Key: key, Version: j.rows[chunk].version})
			t.Then = append(t.Then, protocol.Op{Delete: key})
		}
		if len(rows) < most {
			t.Then = append(t.Then, protocol.Op{Delete: openKey})
		}
		c.leaderCommit(bookkeeping.RankRest, openKey, t, nil)
	}
}

// deadParts hands the unplaced tasks of parts that have gone to live ones.
func (c *Core) deadParts(now micros.T) {
	live := c.live()
	if len(live) == 0 {
		return
	}
	gone := func(owner string) bool {
		if c.isLive(owner) {
			return false
		}
		if _, ok := c.deadSince[owner]; !ok {
			c.deadSince[owner] = now
		}
		return now-c.deadSince[owner] > micros.Second
	}
	for _, id := range sortedKeys(c.view.jobs) {
		j := c.view.jobs[id]
		if !j.open() || j.done+j.held >= j.rec.Spec.Tasks {
			continue
		}
		openKey := bookkeeping.Key(bookkeeping.KindOpen, id)
		t := protocol.Txn{If: []protocol.Cond{{Key: openKey, Version: j.version}}}
		to := ""
		for _, chunk := range sortedInts(j.rows) {
			r := j.rows[chunk]
			if r.rec == nil || r.pending == 0 || !gone(r.rec.Owner) || len(t.Then)+2 > c.cfg.Facts.State.TxnOps {
				continue
			}
			if to == "" {
				to = c.roomiest(&j.rec.Spec)
			}
			next := r.rec.Clone()
			next.Owner = to
			key := bookkeeping.RowKey(id, chunk)
			t.If = append(t.If, protocol.Cond{Key: key, Version: r.version})
			t.Then = append(t.Then, protocol.Op{Put: key, Value: next.Encode()})
		}
		if len(j.rows) < j.chunks() && gone(j.rec.Owner) {
			if to == "" {
				to = c.roomiest(&j.rec.Spec)
			}
			rec := j.rec
			rec.Owner = to
			t.Then = append(t.Then, protocol.Op{Put: openKey, Value: protocol.MustMarshal(&rec)})
		}
		if len(t.Then) > 0 {
			c.log.Debug("job of a dead part handed on", "job", id, "to", to)
			c.leaderCommit(bookkeeping.RankAssign, openKey, t, nil)
		}
	}
}

// keepTypes keeps the cloud's catalogue in the store, so that a controller that
// starts during an outage of the cloud can accept and place. Prices move all the
// time and are not worth a write.
func (c *Core) keepTypes() {
	if c.catalogAt == 0 {
		return
	}
	for _, name := range sortedKeys(c.types) {
		t := c.types[name]
		have := c.view.types[name]
		rec := bookkeeping.Type{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB, CacheGB: t.CacheGB, FetchGBPerS: t.FetchGBPerS,
			Price: t.Price, SpotPrice: t.SpotPrice, BootS: t.BootS, Zones: t.Zones}
		same := rec
		same.Price, same.SpotPrice = have.rec.Price, have.rec.SpotPrice
		if have.version != 0 && reflect.DeepEqual(same, have.rec) || !protocol.ValidKeyPart(name) {
			continue
		}
		key := bookkeeping.Key(bookkeeping.KindType, name)
		c.leaderCommit(bookkeeping.RankRest, key, protocol.Txn{
			If:   []protocol.Cond{{Key: key, Version: have.version}},
			Then: []protocol.Op{{Put: key, Value: protocol.MustMarshal(&rec)}},
		}, nil)
	}
}

// releaseGone gives the tasks of deleted machines back and then forgets the
// machines.
func (c *Core) releaseGone() {
	st := c.cfg.Facts.State
	for _, id := range sortedKeys(c.view.machines) {
		m := c.view.machines[id]
		if m.version == 0 || m.rec.State != bookkeeping.MachineGone {
			continue
		}
		key := bookkeeping.Key(bookkeeping.KindMachine, id)
		t := protocol.Txn{If: []protocol.Cond{{Key: key, Version: m.version}}}
		rows := map[string]*bookkeeping.Row{}
		for ref := range m.tasks {
			j := c.view.jobs[ref.job]
			if j == nil || j.version == 0 {
				continue
			}
			chunk := ref.index / j.rec.Chunk
			rk := bookkeeping.RowKey(ref.job, chunk)
			next := rows[rk]
			if next == nil {
				if len(rows) >= st.TxnOps {
					continue
				}
				next = j.rows[chunk].rec.Clone()
				rows[rk] = next
				t.If = append(t.If, protocol.Cond{Key: rk, Version: j.rows[chunk].version})
			}
			task := &next.Tasks[ref.index%j.rec.Chunk]
			task.State, task.Machine = bookkeeping.TaskPending, ""
		}
		for _, rk := range sortedKeys(rows) {
			t.Then = append(t.Then, protocol.Op{Put: rk, Value: rows[rk].Encode()})
		}
		if len(rows) == 0 {
			if c.view.watched < m.version {
				continue // the mirror may lack an assignment made before
			}
			t.Then = append(t.Then, protocol.Op{Delete: key})
			if c.view.removals[id] != nil {
				t.Then = append(t.Then, protocol.Op{Delete: bookkeeping.Key(bookkeeping.KindRemoval, id)})
			}
		}
		c.leaderCommit(bookkeeping.RankOutcome, key, t, func(r protocol.StoreResult) {
			if r.Outcome == protocol.OK {
				c.releaseGone()
			}
		})
	}
}

// ---- removals ----

// removals deletes machines that are to go.
func (c *Core) removals(now micros.T) {
	l := &c.leader
	var due []string
	for _, id := range sortedKeys(c.view.removals) {
		m := c.view.machines[id]
		if l.deleting[id] || now < l.deleteAt[id] || m != nil && m.version != 0 && m.rec.State == bookkeeping.MachineGone {
			continue
		}
		if len(due) < mostADelete {
			due = append(due, id)
		}
	}
	if len(due) == 0 || c.cloudGate.Ready(now, 1) > 0 {
		return
	}
	c.cloudGate.Take(1)
	for _, id := range due {
		l.deleting[id] = true
	}
	term := l.term
	c.env.Cloud(&protocol.CloudCall{Op: protocol.CloudDelete, Delete: due, Within: cloudTimeout}, func(r protocol.CloudResult) {
		if term != c.leader.term {
			return
		}
		c.noteCloud(r.Outcome)
		for _, id := range due {
			delete(c.leader.deleting, id)
			if r.Outcome == protocol.OK {
				c.deletedMachine(id)
			} else {
				c.removalFailed(id, r.Outcome)
			}
		}
	})
}

// deletedMachine records the proof that a machine and all on it are gone.
func (c *Core) deletedMachine(id string) {
	now := c.now()
	c.leader.deleted[id] = now
	c.leader.deleteAt[id] = now + cloudPause
	key, removal := bookkeeping.Key(bookkeeping.KindMachine, id), bookkeeping.Key(bookkeeping.KindRemoval, id)
	m := c.view.machines[id]
	t := protocol.Txn{}
	if m != nil && m.version != 0 {
		rec := m.rec
		rec.State = bookkeeping.MachineGone
		t.If = []protocol.Cond{{Key: key, Version: m.version}}
		t.Then = []protocol.Op{{Put: key, Value: protocol.MustMarshal(&rec)}}
	} else {
		t.If = []protocol.Cond{{Key: key, Version: 0}}
		t.Then = []protocol.Op{{Delete: removal}}
	}
	c.leaderCommit(bookkeeping.RankOutcome, key, t, func(r protocol.StoreResult) {
		if r.Outcome == protocol.OK {
			c.log.Info("machine deleted", "machine", id)
			c.releaseGone()
		}
	})
}

// removalFailed plans the next try: a few quick ones, then the removal is
// flagged and tried on a long back-off. Trouble of the cloud itself is not the
// machine's failure and counts for nothing.
func (c *Core) removalFailed(id string, o protocol.Outcome) {
	now := c.now()
	c.leader.deleteAt[id] = now + cloudPause
	r := c.view.removals[id]
	if r == nil || o == protocol.Throttled || o == protocol.Unavailable {
		return
	}
	rec := r.rec
	rec.Tries++
	if rec.Tries >= c.set.RemovalTries {
		rec.Failed = true
		c.leader.deleteAt[id] = now + c.set.RemovalPause.T()
		c.log.Error("machine can't be removed", "machine", id, "tries", rec.Tries, "outcome", o.String())
	}
	key := bookkeeping.Key(bookkeeping.KindRemoval, id)
	c.leaderCommit(bookkeeping.RankRest, key, protocol.Txn{
		If:   []protocol.Cond{{Key: key, Version: r.version}},
		Then: []protocol.Op{{Put: key, Value: protocol.MustMarshal(&rec)}},
	}, nil)
}

// noteCloud logs the beginning and the end of the cloud's trouble.
func (c *Core) noteCloud(o protocol.Outcome) {
	bad := o == protocol.Unavailable || o == protocol.Unknown
	if bad != c.leader.trouble && o != protocol.Throttled {
		c.leader.trouble = bad
		if bad {
			c.log.Info("cloud trouble begins", "outcome", o.String())
		} else {
			c.log.Info("cloud trouble ends")
		}
	}
}

// removeUnclaimed writes a removal for a machine that never reported.
func (c *Core) removeUnclaimed(id, reason string) {
	key := bookkeeping.Key(bookkeeping.KindRemoval, id)
	c.leaderCommit(bookkeeping.RankRest, key, protocol.Txn{
		If:   []protocol.Cond{{Key: key, Version: 0}},
		Then: []protocol.Op{{Put: key, Value: protocol.MustMarshal(&bookkeeping.Removal{Reason: reason})}},
	}, func(r protocol.StoreResult) {
		if r.Outcome == protocol.OK {
			c.log.Info("machine to be removed", "machine", id, "reason", reason)
		}
	})
}

// ---- the machine list ----

// listMachines reads the cloud's list to its end. It finds failed machines and
// such as nobody expected; an absent machine proves nothing, the list lags.
func (c *Core) listMachines(now micros.T) {
	l := &c.leader
	l.listing = true
	term := l.term
	var page func(after string)
	page = func(after string) {
		if term != c.leader.term {
			return
		}
		if wait := c.cloudGate.Ready(c.now(), 1); wait > 0 {
			c.env.After(wait, func() { page(after) })
			return
		}
		c.cloudGate.Take(1)
		c.env.Cloud(&protocol.CloudCall{Op: protocol.CloudList, After: after, Within: cloudTimeout}, func(r protocol.CloudResult) {
			if term != c.leader.term {
				return
			}
			c.noteCloud(r.Outcome)
			if r.Outcome != protocol.OK {
				c.leader.listing = false
				c.leader.listAt = c.now() + cloudPause
				return
			}
			for i := range r.Listed {
				c.listed(&r.Listed[i])
			}
			if r.More && len(r.Listed) > 0 {
				page(r.Listed[len(r.Listed)-1].ID)
				return
			}
			c.leader.listing = false
			c.leader.listAt = c.now() + listEvery
			if !c.leader.rebuilt {
				c.leader.rebuilt = true
				c.log.Info("picture rebuilt, renting from here on", "machines", len(c.view.machines), "asks", len(c.view.asks))
			}
		})
	}
	page("")
}

// listed looks at one machine of the list.
func (c *Core) listed(e *protocol.Listed) {
	if !protocol.ValidKeyPart(e.ID) || c.view.removals[e.ID] != nil {
		return
	}
	if at, ok := c.leader.deleted[e.ID]; ok && c.now()-at < deletedFor {
		return
	}
	m := c.view.machines[e.ID]
	if m != nil && m.version != 0 {
		if e.State == "failed" && m.rec.State != bookkeeping.MachineGone {
			c.remove(m, "failed")
		}
		return
	}
	if e.State == "failed" || !c.asked(e.ID) && micros.FromSeconds(e.AgeS) > c.set.ReadinessWait.T() {
		c.removeUnclaimed(e.ID, "unexpected or failed before it was up")
	}
}

// asked tells whether an open request expects a machine.
func (c *Core) asked(id string) bool {
	for _, a := range c.view.asks {
		if contains(a.rec.Machines, id) {
			return true
		}
	}
	return false
}

// ---- requests ----

// asks moves rental requests on.
func (c *Core) asks(now micros.T) {
	l := &c.leader
	wall := c.env.Wall()
	for _, name := range sortedKeys(c.view.asks) {
		a := c.view.asks[name]
		key := bookkeeping.Key(bookkeeping.KindAsk, name)
		age := micros.T(wall - a.rec.At)
		dropAsk := func(more ...protocol.Op) {
			c.leaderCommit(bookkeeping.RankRest, key, protocol.Txn{
				If:   []protocol.Cond{{Key: key, Version: a.version}},
				Then: append([]protocol.Op{{Delete: key}}, more...),
			}, func(r protocol.StoreResult) {
				if r.Outcome == protocol.OK && len(more) > 0 {
					c.log.Info("machines not ready in time, given back", "ask", name, "machines", len(more), "type", a.rec.Type, "zone", a.rec.Zone)
				}
			})
		}
		switch a.rec.Phase {
		case bookkeeping.AskPending:
			if !l.asking[name] && now >= l.askAt[name] && c.cloudGate.Ready(now, 1) == 0 {
				c.rent(name, a)
			}
		case bookkeeping.AskUnmet:
			if age > c.set.UnmetTTL.T() {
				l.recover++
				dropAsk()
			}
		case bookkeeping.AskProvisioning:
			var missing []string
			for _, id := range a.rec.Machines {
				if m := c.view.machines[id]; (m == nil || m.version == 0) && c.view.removals[id] == nil && l.deleted[id] == 0 {
					missing = append(missing, id)
				}
			}
			if len(missing) == 0 {
				dropAsk()
				continue
			}
			if age > c.set.ReadinessWait.T() {
				var ops []protocol.Op
				for _, id := range missing[:min(len(missing), c.cfg.Facts.State.TxnOps-1)] {
					ops = append(ops, protocol.Op{Put: bookkeeping.Key(bookkeeping.KindRemoval, id),
						Value: protocol.MustMarshal(&bookkeeping.Removal{Reason: "not ready in time"})})
				}
				if len(ops) == len(missing) {
					dropAsk(ops...)
					continue
				}
				c.leaderCommit(bookkeeping.RankRest, key, protocol.Txn{
					If: []protocol.Cond{{Key: key, Version: a.version}}, Then: ops}, nil)
			}
		}
	}
}

// rent makes the cloud call of a request. Its name was written before, so a new
// leader repeats the very same call and the cloud gives the same answer.
func (c *Core) rent(name string, a *askView) {
	l := &c.leader
	l.asking[name] = true
	c.cloudGate.Take(1)
	term := l.term
	call := &protocol.CloudCall{Op: protocol.CloudRent, Within: cloudTimeout, Rent: protocol.RentRequest{
		Name: name, Type: a.rec.Type, Zone: a.rec.Zone, Spot: a.rec.Spot, Count: a.rec.Count}}
	c.env.Cloud(call, func(r protocol.CloudResult) {
		if term != c.leader.term {
			return
		}
		delete(c.leader.asking, name)
		c.leader.askAt[name] = c.now() + cloudPause
		c.noteCloud(r.Outcome)
		rec := a.rec
		switch {
		case r.Outcome == protocol.OK && len(r.Rented) > 0:
			rec.Phase, rec.Machines = bookkeeping.AskProvisioning, r.Rented
			c.log.Info("machines rented", "ask", name, "type", rec.Type, "zone", rec.Zone, "spot", rec.Spot, "asked", rec.Count, "got", len(r.Rented))
		case r.Outcome == protocol.OK, r.Outcome == protocol.NoCapacity:
			rec.Phase = bookkeeping.AskUnmet
			c.log.Info("no capacity, offer sidelined", "type", rec.Type, "zone", rec.Zone, "spot", rec.Spot)
		case r.Outcome == protocol.Rejected:
			c.log.Error("cloud rejects a request", "ask", name, "type", rec.Type)
			rec.Phase = bookkeeping.AskUnmet
		default:
			// Throttled, troubled or unknown: says nothing about the offer. The
			// same name is asked again.
			return
		}
		rec.At = c.env.Wall()
		key := bookkeeping.Key(bookkeeping.KindAsk, name)
		t := protocol.Txn{
			If:   []protocol.Cond{{Key: key, Version: a.version}},
			Then: []protocol.Op{{Put: key, Value: protocol.MustMarshal(&rec)}},
		}
		if rec.Phase == bookkeeping.AskProvisioning && len(r.Rented) < rec.Count {
			// Partly filled: the rest isn't to be had for now.
			un := bookkeeping.Ask{Phase: bookkeeping.AskUnmet, Type: rec.Type, Zone: rec.Zone, Spot: rec.Spot, At: rec.At}
			t.Then = append(t.Then, protocol.Op{Put: key + "-rest", Value: protocol.MustMarshal(&un)})
		}
		c.leaderCommit(bookkeeping.RankAssign, key, t, nil)
	})
}

// unmet lists the offers that are sidelined.
func (c *Core) unmet() map[offer]bool {
	out := map[offer]bool{}
	for _, a := range c.view.asks {
		if a.rec.Phase == bookkeeping.AskUnmet {
			out[offer{a.rec.Type, a.rec.Zone, a.rec.Spot}] = true
		}
	}
	return out
}

// ---- the pass ----

// demands lists the unplaced tasks that teams' limits let run, and the room
// there is for them.
func (c *Core) demands(now micros.T) (ds []*demand, bins []*bin) {
	teamLeft := map[string]amount{}
	for i, j := range c.openJobs() {
		spec := &j.rec.Spec
		if s := c.jobState[j.id]; s != nil && now < s.until {
			continue
		}
		left, ok := teamLeft[spec.Team]
		if !ok {
			team, _ := c.team(spec.Team)
			left = team.left(c.view.teamUse[spec.Team])
		}
		n := min(spec.Tasks-j.done-j.held, j.need.count(left))
		teamLeft[spec.Team] = left.plus(j.need, -float64(n))
		if n > 0 {
			ds = append(ds, &demand{spec: spec, need: j.need, count: n, job: j.id, index: i, zones: newZoneRule(c.view, j), slack: c.slack(j, c.env.Wall()), lasts: c.expected(spec)})
		}
	}
	for _, id := range sortedKeys(c.view.machines) {
		m := c.view.machines[id]
		t, ok := c.types[m.rec.Type]
		if !ok || m.version == 0 || m.rec.State != bookkeeping.MachineOpen && m.rec.State != bookkeeping.MachineClosing {
			continue
		}
		b := &bin{typ: m.rec.Type, zone: m.rec.Zone, spot: m.rec.Spot, size: capacity(&t), free: capacity(&t).plus(m.used, -1)}
		b.machine = id
		for ref := range m.tasks {
			if j := c.view.jobs[ref.job]; j != nil && j.version != 0 && !j.rec.Spec.Service {
				b.stoppable = b.stoppable.plus(j.need, 1)
			}
		}
		c.expectedRoom(b, m)
		bins = append(bins, b)
	}
	// Open requests are supply: the largest first of the design's order.
	for _, name := range sortedKeys(c.view.asks) {
		a := c.view.asks[name]
		t, ok := c.types[a.rec.Type]
		if !ok || a.rec.Phase == bookkeeping.AskUnmet {
			continue
		}
		n := a.rec.Count
		late := false
		if c.set.OverdueBoot > 0 && a.rec.Phase == bookkeeping.AskProvisioning {
			boots := micros.T(c.env.Wall()-a.rec.At).Seconds() / max(t.BootS, 1)
			if boots > 1.5*c.set.OverdueBoot {
				continue // one of the slow or dead ones: no longer to be relied on
			}
			late = boots > c.set.OverdueBoot
		}
		if a.rec.Phase == bookkeeping.AskProvisioning {
			n = 0
			for _, id := range a.rec.Machines {
				if m := c.view.machines[id]; (m == nil || m.version == 0) && c.view.removals[id] == nil {
					n++
				}
			}
		}
		for ; n > 0; n-- {
			bins = append(bins, &bin{typ: a.rec.Type, zone: a.rec.Zone, spot: a.rec.Spot, size: capacity(&t), free: capacity(&t),
				rate: t.CPUs, boot: t.BootS, late: late})
		}
	}
	return ds, bins
}

// expectedRoom estimates what a machine can give to waiting tasks: what its
// services hold is out, and its other tasks are taken to be half through.
func (c *Core) expectedRoom(b *bin, m *machine) {
	t := c.types[b.typ]
	b.rate, b.boot = t.CPUs, t.BootS
	for ref := range m.tasks {
		j := c.view.jobs[ref.job]
		if j == nil || j.version == 0 {
			continue
		}
		if j.rec.Spec.Service {
			b.rate -= j.need.cpus
		} else {
			b.busy += j.need.cpus * c.expected(&j.rec.Spec) / 2
		}
	}
}

// doubt stretches estimates: they are wrong, and images must be fetched.
const doubt = 1.2

// within is the time that the users' aim gives a job: its deadline, else the
// longest time of an objective for its class; without either, any.
func (c *Core) within(s *bookkeeping.Spec) float64 {
	if s.DeadlineS > 0 {
		return s.DeadlineS
	}
	most := 0.0
	for _, o := range c.cfg.Facts.Objectives {
		if o.Kind == "finished" && o.Class == s.Class {
			most = max(most, o.WithinS)
		}
	}
	if most == 0 {
		return math.Inf(1)
	}
	return most
}

// slack tells how many seconds a job's waiting tasks may still wait and meet the
// users' aim.
func (c *Core) slack(j *job, wall int64) float64 {
	s := &j.rec.Spec
	return c.within(s) - micros.T(wall-j.rec.At).Seconds() - doubt*c.expected(s)
}

// offers lists what may be rented now.
func (c *Core) offers() []*offerInfo {
	unmet := c.unmet()
	inZone := map[string]int{}
	for _, m := range c.view.machines {
		if m.version != 0 {
			inZone[m.rec.Zone]++
		}
	}
	for _, a := range c.view.asks {
		if a.rec.Phase != bookkeeping.AskUnmet {
			inZone[a.rec.Zone] += a.rec.Count
		}
	}
	var out []*offerInfo
	for _, name := range sortedKeys(c.types) {
		t := c.types[name]
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				o := offer{name, zone, spot}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				// Boot time is paid for too, and keeps tasks waiting.
				price *= 1 + t.BootS/bootWeight
				if unmet[o] || price <= 0 {
					continue
				}
				out = append(out, &offerInfo{offer: o, capacity: capacity(&t), price: price, have: inZone[zone]})
			}
		}
	}
	return out
}

// pass is the design's: demand net of room and open requests, then rentals,
// then empty machines.
func (c *Core) pass(now micros.T) {
	if c.types == nil {
		return
	}
	ds, bins := c.demands(now)
	largestFirst(ds)
	fill(ds, bins)
	reserve := c.headroom()
	needed := map[string]bool{}
	holdRoom(reserve, bins, needed)
	absorb(ds, bins, c.set.ExpectedRoom, false)
	ds = append(ds, reserve...)
	l := &c.leader
	wanted := ds[:0]
	waiting := map[string]bool{}
	for _, d := range ds {
		if d.count == 0 {
			continue
		}
		waiting[d.job] = true
		if u := l.unplaced[d.job]; u != nil && (u.out && u.recover == l.recover || !u.out && now < u.until) {
			continue
		}
		wanted = append(wanted, d)
	}
	before := map[string]int{}
	for _, d := range wanted {
		before[d.job] = d.count
	}
	chosen := c.choosePlan(wanted, bins)
	for _, d := range wanted {
		c.backOff(d, d.count < before[d.job], now)
	}
	for id := range l.unplaced {
		if !waiting[id] {
			delete(l.unplaced, id)
		}
	}
	var offers []offer
	for o := range chosen {
		offers = append(offers, o)
	}
	sort.Slice(offers, func(a, b int) bool { return fmt.Sprint(offers[a]) < fmt.Sprint(offers[b]) })
	for _, o := range offers {
		for n := chosen[o]; n > 0; n -= mostARent {
			c.ask(o, min(n, mostARent))
		}
	}
	c.tendEmpty(now, needed)
}

// headroom is room that is kept for services yet to come: a part of what each
// class of services uses now. A service that finds room starts within its image
// fetch, one that doesn't waits for a boot.
func (c *Core) headroom() []*demand {
	if c.set.ServiceHeadroom == 0 {
		return nil
	}
	count := map[string]int{}
	like := map[string]*job{}
	for _, id := range sortedKeys(c.view.jobs) {
		if j := c.view.jobs[id]; j.open() && j.rec.Spec.Service {
			k := j.rec.Spec.Class
			count[k] += j.rec.Spec.Tasks
			like[k] = j
		}
	}
	var out []*demand
	for _, k := range sortedKeys(like) {
		spec := like[k].rec.Spec
		spec.OneZone, spec.Spread, spec.Zone, spec.Types = false, false, "", nil
		n := int(math.Ceil(float64(count[k]) * c.set.ServiceHeadroom))
		out = append(out, &demand{spec: &spec, need: like[k].need, count: n, job: "headroom " + k, index: math.MaxInt32})
	}
	return out
}

// choosePlan plans in two steps: first spot machines for the tasks that may use
// them, and what the others need; then, for spot tasks that are left and would
// wait beyond the longer horizon, ordinary machines.
func (c *Core) choosePlan(wanted []*demand, bins []*bin) map[offer]int {
	chosen := map[offer]int{}
	offers := c.offers()
	plan(wanted, offers, mostAPass, func(d *demand, o *offerInfo) bool { return o.spot == d.spec.Spot }, chosen)
	for o, n := range chosen {
		t := c.types[o.typ]
		for ; n > 0; n-- {
			bins = append(bins, &bin{typ: o.typ, zone: o.zone, spot: o.spot, size: capacity(&t), rate: t.CPUs, boot: t.BootS})
		}
	}
	absorb(wanted, bins, c.set.ExpectedRoomOrdinary, true)
	plan(wanted, offers, mostAPass, nil, chosen)
	return chosen
}

// backOff follows a job whose tasks no offer can take: after several passes it
// pauses, longer each time, and at the ceiling it leaves the demand until an
// offer recovers.
func (c *Core) backOff(d *demand, met bool, now micros.T) {
	l := &c.leader
	if met {
		delete(l.unplaced, d.job)
		return
	}
	u := l.unplaced[d.job]
	if u == nil {
		u = &unplaced{}
		l.unplaced[d.job] = u
	}
	u.passes++
	if u.out {
		u.recover = l.recover
		return
	}
	if u.passes < c.set.BackoffPasses {
		return
	}
	if u.step == 0 {
		u.step = c.set.BackoffFirst.T()
	} else {
		u.step *= 2
	}
	if u.step >= c.set.BackoffMost.T() {
		u.out, u.recover = true, l.recover
		c.log.Info("job leaves the demand until an offer recovers", "job", d.job, "tasks", d.count)
		return
	}
	u.until = now + u.step
}

// ask writes a request; its cloud call follows once it is written. The name
// holds the term, so no other leader ever uses it.
func (c *Core) ask(o offer, n int) {
	l := &c.leader
	l.sequence++
	name := fmt.Sprintf("r-%d-%d", l.term, l.sequence)
	key := bookkeeping.Key(bookkeeping.KindAsk, name)
	rec := bookkeeping.Ask{Phase: bookkeeping.AskPending, Type: o.typ, Zone: o.zone, Spot: o.spot, Count: n, At: c.env.Wall()}
	c.leaderCommit(bookkeeping.RankAssign, key, protocol.Txn{
		If:   []protocol.Cond{{Key: key, Version: 0}},
		Then: []protocol.Op{{Put: key, Value: protocol.MustMarshal(&rec)}},
	}, func(r protocol.StoreResult) {
		if r.Outcome == protocol.OK {
			c.asks(c.now())
		}
	})
}

// tendEmpty closes empty machines, and removes them after the delay if they are
// still empty. An assignment to a closing machine must reopen it, which changes
// its record; so a removal conditional on that record can't hit a task that
// came meanwhile, given a mirror no older than the closing.
func (c *Core) tendEmpty(now micros.T, needed map[string]bool) {
	l := &c.leader
	for _, id := range sortedKeys(c.view.machines) {
		m := c.view.machines[id]
		if m.version == 0 || len(m.tasks) > 0 || needed[id] && m.rec.State != bookkeeping.MachineDraining {
			delete(l.emptyAt, id)
			delete(l.closedAt, id)
			continue
		}
		switch m.rec.State {
		case bookkeeping.MachineOpen:
			delete(l.closedAt, id)
			if at, ok := l.emptyAt[id]; !ok {
				l.emptyAt[id] = now
			} else if now-at >= 2*c.set.PassInterval.T() {
				c.setState(m, bookkeeping.MachineClosing)
			}
		case bookkeeping.MachineClosing:
			at, ok := l.closedAt[id]
			if !ok {
				l.closedAt[id] = now
			} else if now-at >= c.set.ScaleDownDelay.T() && c.view.watched >= m.version {
				c.remove(m, "idle")
			}
		case bookkeeping.MachineDraining:
			if c.view.watched >= m.version {
				c.remove(m, "drained")
			}
		}
	}
	for id := range l.deleted {
		if now-l.deleted[id] > deletedFor {
			delete(l.deleted, id)
		}
	}
}
