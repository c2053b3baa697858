package coordination

import (
	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/config"
	"pipitgap/internal/drain"
	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
	"slices"
)

// drains carries out on this controller what package drain decides. A nil *drains is one that
// is turned off: every method then does nothing.
type drains struct {
	core      *Core
	settings  *config.Drains
	policy    *drain.Policy
	runAt     micros.T
	writeAt   micros.T            // when a change may be spent on permits again
	busy      map[string]bool     // teams whose permits have a commit in flight
	emptying  map[string]micros.T // own machines whose array tasks are being stopped, and since when
	moving    []*demand           // what the leader rents room for
	outside   map[lossCause]int   // replicas lost outside of permits
	lossNoted micros.T
}

// Bounds of what drains cost.
const (
	// permitWrites is the part of the state service's changes that all controllers together
	// spend on permits.
	permitWrites = 0.1
	// spareChanges is the part of a controller's burst of changes that must be unused for it to
	// begin moves.
	spareChanges = 0.7
	// drainKept is how long the record of a drain that has ended is kept.
	drainKept = 24 * 60 * micros.Minute
)

func newDrains(c *Core, settings *config.Drains) *drains {
	if settings == nil {
		return nil
	}
	return &drains{core: c, settings: settings, policy: drain.NewPolicy(settings), busy: map[string]bool{},
		emptying: map[string]micros.T{}, outside: map[lossCause]int{}}
}

// tracks tells whether it is recorded of a job's attempts whether they run.
func (d *drains) tracks(s *bookkeeping.Spec) bool { return d != nil && s.Service }

// protects tells whether a job's tasks aren't stopped to make room for others.
func (d *drains) protects(j *job) bool {
	return d != nil && j.rec.Spec.Service && d.policy.Budgeted(j.rec.Spec.Team, j.rec.Spec.Class)
}

// covering gives the unfinished drain that a machine belongs to.
func (d *drains) covering(m *machine) (*bookkeeping.Drain, bool) {
	if d == nil || m.rec == nil {
		return nil, false
	}
	for _, name := range sortedKeys(d.core.view.drains) {
		rec := d.core.view.drains[name].rec
		if rec.State.Unfinished() && drain.Covers(&rec, m.id, m.rec.Type, m.rec.Zone, m.rec.Spot) {
			return &rec, true
		}
	}
	return nil, false
}

// cordons tells whether a machine gets no new tasks because of a drain.
func (d *drains) cordons(m *machine) bool {
	_, covered := d.covering(m)
	return covered
}

// closes tells whether a drain keeps an offer from being rented.
func (d *drains) closes(o offer) bool {
	if d == nil {
		return false
	}
	for _, v := range d.core.view.drains {
		if drain.ClosesOffer(&v.rec, o.typ, o.zone, o.spot) {
			return true
		}
	}
	return false
}

// givesBack tells whether a drained machine that has been empty for so long is to be given back.
func (d *drains) givesBack(m *machine, empty micros.T) bool {
	rec, covered := d.covering(m)
	if !covered || rec.State == bookkeeping.DrainPaused {
		return false
	}
	return rec.AtOnce || empty >= d.core.keepFor(m.rec)
}

// advance takes the next steps of all drains. It decides on a fresh mirror only: what has
// been lost since an old one was read would not be counted.
func (d *drains) advance(now micros.T) {
	if d == nil || now < d.runAt || !d.pending() {
		return
	}
	c := d.core
	if c.storeDown || c.types == nil || !c.leaseHeld(now) || now-c.watchOKAt > watchBlock+micros.Second {
		return
	}
	snapshot := c.fleet()
	decision := d.policy.Decide(snapshot, d.controller())
	for _, permit := range decision.Stop {
		d.stop(permit)
	}
	if !d.mayBeginMoves(now) {
		clear(decision.Grant)
		decision.Emptying = nil
	}
	d.emptyMachines(decision.Emptying, now)
	d.writePermits(decision, now)
	d.moving = d.demandsOf(snapshot)
	if c.leading(now) {
		d.lead(snapshot)
	}
	d.runAt = pace(now, c.now(), slowTick)
}

// pending tells whether there is anything to do for drains.
func (d *drains) pending() bool {
	for _, v := range d.core.view.drains {
		if v.rec.State.Unfinished() || d.core.env.Wall()-v.rec.EndedAt > int64(drainKept) {
			return true
		}
	}
	for _, v := range d.core.view.permits {
		if len(v.rec.Permits) > 0 {
			return true
		}
	}
	d.moving = nil
	clear(d.emptying)
	return false
}

// controller is what a decision must know of us.
func (d *drains) controller() *drain.Controller {
	c := d.core
	live := c.live()
	return &drain.Controller{
		Node:        c.node,
		Live:        c.isLive,
		Responsible: func(team string) bool { return home(bookkeeping.KindPermits+"/"+team, live) == c.node },
		RecordBytes: c.shardLimit(),
	}
}

// stop uses a permit that stands.
func (d *drains) stop(p bookkeeping.Permit) {
	m := d.core.view.machines[p.From]
	key := attemptKey{taskRef{p.Job, p.Task}, p.Attempt}
	if m == nil || m.w == nil || m.w.stopping[key] {
		return
	}
	m.w.stopping[key] = true
	d.core.log.Info("replica evicted for drain", "drain", p.Drain, "task", key.ref.String(),
		"from_machine", p.From, "to_machine", p.To)
	d.core.sync(m)
}

// unbegun tells whether a permit surely hasn't been used and can't be by anything still on its
// way: we haven't told its worker to stop, and the worker, which still runs the replica, has
// seen our claim, which outranks every command of the owners before us.
func (d *drains) unbegun(p bookkeeping.Permit) bool {
	m := d.core.view.machines[p.From]
	key := attemptKey{taskRef{p.Job, p.Task}, p.Attempt}
	if m == nil || m.w == nil {
		return false
	}
	w := m.w
	if told := w.sent[key]; w.stopping[key] || w.settled(key) || told != nil && told.kill != 0 {
		return false
	}
	return w.acked && w.repToken >= w.base() && w.rep[key].State == protocol.StateRunning
}

// writePermits writes what changes of one team's permits: one commit a team, spaced.
func (d *drains) writePermits(decision *drain.Decision, now micros.T) {
	ended := map[string][]bookkeeping.Permit{}
	for team, over := range decision.Over {
		ended[team] = append(ended[team], over...)
	}
	for _, permit := range decision.Return {
		if j := d.core.view.jobs[permit.Job]; j != nil && d.unbegun(permit) {
			ended[j.rec.Spec.Team] = append(ended[j.rec.Spec.Team], permit)
		}
	}
	changed := map[string]bool{}
	for team := range decision.Grant {
		changed[team] = true
	}
	for team := range ended {
		changed[team] = true
	}
	for _, team := range sortedKeys(changed) {
		if now < d.writeAt {
			return
		}
		if !d.busy[team] {
			d.writeTeam(team, ended[team], decision.Grant[team])
			d.writeAt = d.core.spaced(permitWrites)
		}
	}
}

// mayBeginMoves tells whether the state service has changes to spare. Each move costs several, of
// the shards too, and they are the same that users and running work need: at 93% of what the
// service takes submissions waited for more than a second.
func (d *drains) mayBeginMoves(now micros.T) bool {
	c := d.core
	if c.usersWait() || c.peers.usersWait(now) {
		return false
	}
	return c.queue.Writes.Ready(now, spareChanges*c.queue.Writes.Burst) == 0
}

// writeTeam changes a team's permits, on the condition that nobody else has. One that is written
// after its drain has ended does no harm: whether it may be used is decided anew. The record is
// never deleted, since its version must not come back.
func (d *drains) writeTeam(team string, ended, granted []bookkeeping.Permit) {
	c := d.core
	have := c.view.permits[team]
	next := bookkeeping.Permits{Permits: []bookkeeping.Permit{}}
	for _, permit := range have.rec.Permits {
		if !slices.Contains(ended, permit) {
			next.Permits = append(next.Permits, permit)
		}
	}
	next.Permits = append(next.Permits, granted...)
	key := bookkeeping.Key(bookkeeping.KindPermits, team)
	txn := protocol.Txn{
		If:   []protocol.Cond{{Key: key, Version: have.version}},
		Then: []protocol.Op{{Put: key, Value: protocol.MustMarshal(&next)}},
	}
	d.busy[team] = true
	c.commit(bookkeeping.RankRest, txn, func(r protocol.StoreResult) {
		delete(d.busy, team)
		switch r.Outcome {
		case protocol.OK:
			c.stats.permitWrites++
			c.log.Debug("eviction permits committed", "team", team, "granted", len(granted), "ended", len(ended))
		case protocol.Rejected:
			c.log.Error("eviction permits rejected by state service", "team", team)
		}
	})
}

// emptyMachines stops the tasks that need no permit on machines whose replicas have been
// seen to: those of arrays, and of services that fail wherever they run. An array task that
// is about to end is waited for.
func (d *drains) emptyMachines(machines []string, now micros.T) {
	since := map[string]micros.T{}
	for _, id := range machines {
		begun, ok := d.emptying[id]
		if !ok {
			begun = now
		}
		since[id] = begun
		if m := d.core.view.machines[id]; m != nil && m.w != nil {
			d.stopOthers(m, begun, now)
		}
	}
	if len(machines) > 0 {
		d.emptying = since
	}
}

// stopOthers stops what needs no permit on a machine.
func (d *drains) stopOthers(m *machine, begun, now micros.T) {
	stopped := 0
	for ref, attempt := range m.tasks {
		key := attemptKey{ref, attempt}
		j := d.core.view.jobs[ref.job]
		if j == nil || !j.open() || m.w.stopping[key] || m.w.settled(key) || d.needsPermit(j) || d.worthWaiting(m, key, j, begun, now) {
			continue
		}
		m.w.stopping[key] = true
		stopped++
	}
	if stopped > 0 {
		d.core.log.Info("tasks evicted for drain", "machine", m.id, "tasks", stopped)
		d.core.sync(m)
	}
}

// needsPermit tells whether a job's tasks are stopped under permits only.
func (d *drains) needsPermit(j *job) bool { return j.rec.Spec.Service && !d.core.mistakes(j) }

// worthWaiting tells whether an array task is expected to end soon. An estimate that was
// wrong is believed for twice the time.
func (d *drains) worthWaiting(m *machine, key attemptKey, j *job, begun, now micros.T) bool {
	at, running := m.w.since[key]
	if !running || j.rec.Spec.Service || now-begun > 2*d.settings.ArrayWait.T() {
		return false
	}
	left := micros.FromSeconds(d.core.expected(&j.rec.Spec)) - (now - at)
	return left <= d.settings.ArrayWait.T()
}

// markRunning keeps the marks of a machine's replicas true: one that the worker doesn't report
// as running is starting, one that has run for long enough isn't. It tells whether anything
// has changed.
func (d *drains) markRunning(next *bookkeeping.Shard, m *machine, now micros.T) bool {
	w := m.w
	if d == nil || w.session == 0 || !w.acked || !w.reached() {
		return false
	}
	changed := false
	for ref, attempt := range m.tasks {
		j := d.core.view.jobs[ref.job]
		if j == nil || !d.tracks(&j.rec.Spec) {
			continue
		}
		held, ok := next.Find(ref.job, ref.index)
		if !ok || held.Attempt != attempt || held.Machine != m.id {
			continue
		}
		if starting := d.starting(w, attemptKey{ref, attempt}, held.Starting, now); starting != held.Starting && d.mayMark(next, starting) {
			next.MarkStarting(ref.job, ref.index, starting)
			changed = true
		}
	}
	return changed
}

// mayMark tells whether a mark may change: one more must find room in the record.
func (d *drains) mayMark(next *bookkeeping.Shard, starting bool) bool {
	return !starting || next.Bound()+bookkeeping.StartingBound <= d.core.valueBytes()
}

// starting tells whether a replica counts as starting, given whether it did before.
func (d *drains) starting(w *worker, key attemptKey, before bool, now micros.T) bool {
	if w.rep[key].State != protocol.StateRunning {
		return true
	}
	since, ok := w.since[key]
	return before && (!ok || now-since < d.settings.MinReady.T())
}

// lead does the leader's share: it ends drains that have come to their end or their deadline.
func (d *drains) lead(s *drain.Snapshot) {
	for _, record := range s.Drains() {
		next, changed := s.Settle(&record, d.expecting(&record.Drain), int64(drainKept))
		if !changed {
			continue
		}
		key := bookkeeping.Key(bookkeeping.KindDrain, record.Name)
		op := protocol.Op{Delete: key}
		if next != nil {
			op = protocol.Op{Put: key, Value: protocol.MustMarshal(next)}
		}
		d.core.leaderCommit(bookkeeping.RankRest, key, protocol.Txn{
			If:   []protocol.Cond{{Key: key, Version: record.Version}},
			Then: []protocol.Op{op},
		}, func(r protocol.StoreResult) {
			if r.Outcome == protocol.OK && next != nil {
				d.core.log.Info("drain state changed", "drain", record.Name, "drain_state", string(next.State),
					"reason", next.Reason)
			}
		})
	}
}

// expecting tells whether machines that a drain covers may still come up.
func (d *drains) expecting(rec *bookkeeping.Drain) bool {
	for _, a := range d.core.view.rentals {
		if a.rec.Phase == bookkeeping.RentalUnmet {
			continue
		}
		for _, id := range d.core.missing(a) {
			if drain.Covers(rec, id, a.rec.Type, a.rec.Zone, a.rec.Spot) {
				return true
			}
		}
	}
	return false
}
