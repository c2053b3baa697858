package coordination

import (
	"context"
	"log/slog"
	"sort"
	"strings"

	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
)

// Bounds of shards and turns.
const (
	passWait    = 600 * micros.Millisecond // a commit in flight holds the next pass up for so long
	arrivalWait = 2500 * micros.Millisecond
	machineRoom = 60 // bytes that a machine takes in a shard, with its partition of the jobs' ids
	cpuRoom     = 7  // and what tasks on each of its CPUs take: 14 for one of 2 CPUs
	staleAfter  = 5 * micros.Second
	mostOfShard = 0.95 // of a value: up to this a shard is filled
)

// shardState is what we note about one of our shards beside the mirror.
type shardState struct {
	busyAt micros.T // a commit of ours is in flight since then; 0: none
	// What commits in flight or without an answer may yet bring about. Each was
	// conditional on a version of the shard, and only once the mirror shows another
	// is it settled whether it came about. Until then nothing later that is said of
	// the shard clears it: a second commit that fails may fail because of the first.
	inDoubtUpdates []*shardUpdate
	staleAt        micros.T // since when it holds entries of jobs that are over, or marks that aren't true any more
}

// arrival is a machine's worker that waits to be claimed by us.
type arrival struct {
	rep   protocol.Report
	from  *shard // of another partition, if it has lost its owner
	since micros.T
	back  []func(ok bool)
}

// claimSeen is since when we know of the claim that a shard is held under.
type claimSeen struct {
	claim, incarnation uint64
	at                 micros.T
}

// shardUpdate is a shard as it will be written.
type shardUpdate struct {
	name    string
	old     *shard // nil: a new shard
	next    *bookkeeping.Shard
	changed bool
	bound   int          // bytes that it may come to take
	planned int          // and those that its machines will need once they are full
	txn     protocol.Txn // what else the commit asks and changes
	conds   map[string]bool
	freed   map[string]amount // by machine: released by this pass
	given   map[string]amount // by team: the same, and not yet used again
	taken   map[string]amount // by machine: assigned by this pass
	use     map[string]amount // by team: assigned by this pass
	tasks   map[taskRef]bool
	jobs    map[string]bool
	done    map[string]bool  // jobs with tasks completed
	gone    map[taskRef]bool // attempts released
	arrived map[string]*arrival
	told    map[string]bool // machines with something new to do
	cands   []*candidate    // those of its machines that may get tasks
	losses  []replicaLoss   // replicas that this update releases outside of permits
}

func (d *shardUpdate) version() uint64 {
	if d.old == nil {
		return 0
	}
	return d.old.version
}

// list names tasks for the log, with the machines they are given to.
func (d *shardUpdate) list(tasks map[taskRef]bool) string {
	var out []string
	for ref := range tasks {
		s := ref.String()
		if e := d.next.Jobs[ref.job]; e != nil {
			for _, h := range e.Held {
				if h.Task == ref.index {
					s += "@" + h.Machine
				}
			}
		}
		out = append(out, s)
	}
	sort.Strings(out)
	return strings.Join(out, " ")
}

func (d *shardUpdate) cond(key string, version uint64) {
	if !d.conds[key] {
		d.conds[key] = true
		d.txn.If = append(d.txn.If, protocol.Cond{Key: key, Version: version})
	}
}

func newShardUpdate(name string, old *shard, next *bookkeeping.Shard) *shardUpdate {
	return &shardUpdate{name: name, old: old, next: next, conds: map[string]bool{}, freed: map[string]amount{}, given: map[string]amount{},
		taken: map[string]amount{}, use: map[string]amount{}, tasks: map[taskRef]bool{}, jobs: map[string]bool{},
		done: map[string]bool{}, gone: map[taskRef]bool{}, arrived: map[string]*arrival{}, told: map[string]bool{}}
}

// owns tells whether a shard is ours, in this life of ours.
func (c *Core) owns(p *shard) bool { return p.rec.Owner == c.node && p.rec.Incarnation == c.inc }

func (c *Core) shardNotes(name string) *shardState {
	s := c.shards[name]
	if s == nil {
		s = &shardState{}
		c.shards[name] = s
	}
	return s
}

// settle forgets updates that were conditional on another version than the shard's.
func (s *shardState) settle(version uint64) {
	var left []*shardUpdate
	for _, d := range s.inDoubtUpdates {
		if d.version() == version {
			left = append(left, d)
		}
	}
	s.inDoubtUpdates = left
}

// drop forgets an update whose commit is known not to have been made.
func (s *shardState) drop(d *shardUpdate) {
	for i, o := range s.inDoubtUpdates {
		if o == d {
			s.inDoubtUpdates = append(s.inDoubtUpdates[:i:i], s.inDoubtUpdates[i+1:]...)
			return
		}
	}
}

// shardTouched follows a change of a shard: whose machines they are now, and that
// what was in doubt about the version before is settled.
func (c *Core) shardTouched(name string) {
	p := c.view.shards[name]
	if s := c.shards[name]; s != nil {
		s.settle(c.view.versionOf(bookkeeping.Key(bookkeeping.KindShard, name)))
	}
	if p == nil {
		delete(c.shards, name)
		delete(c.claimSeen, name)
		return
	}
	delete(c.fresh, name)
	if s := c.claimSeen[name]; s.claim != p.rec.Claim || s.incarnation != p.rec.Incarnation {
		c.claimSeen[name] = claimSeen{p.rec.Claim, p.rec.Incarnation, c.now()}
	}
	mine := c.owns(p)
	for id := range p.rec.Machines {
		if m := c.view.machines[id]; m != nil && (mine || m.w != nil) {
			c.ownership(m)
		}
	}
}

// schedulingPass is a partition's round over its shards: what has ended is taken off, waiting
// tasks are given to what is free, machines come and go, and each shard that
// changed is written once. However many tasks start and end, that is what it
// costs; when there is more to write than the state service takes, passes come
// less often and each carries more.
func (c *Core) schedulingPass(now micros.T) {
	if c.storeDown || !c.leaseHeld(now) || c.partitionBusy {
		return // assignments depend on the shares being written just now
	}
	for name, s := range c.shards {
		if s.busyAt != 0 && now-s.busyAt < passWait {
			return // placing on some shards only would miss what the others have
		}
		if s.busyAt == 0 && len(s.inDoubtUpdates) == 0 && c.view.shards[name] == nil && c.fresh[name] == nil {
			delete(c.shards, name)
		}
	}
	c.dirty = false
	var ds []*shardUpdate
	for _, name := range sortedKeys(c.view.shards) {
		if p := c.view.shards[name]; c.owns(p) && c.shardNotes(name).busyAt == 0 {
			d := c.shardUpdate(p, now)
			d.planned = c.planned(d.next)
			ds = append(ds, d)
		}
	}
	for _, name := range sortedKeys(c.fresh) {
		if s := c.shardNotes(name); s.busyAt == 0 {
			d := newShardUpdate(name, nil, c.fresh[name])
			d.changed, d.next.Machines, d.next.Jobs = true, map[string]*bookkeeping.ShardMachine{}, map[string]*bookkeeping.ShardJob{}
			d.bound = d.next.Bound()
			ds = append(ds, d)
		}
	}
	ds = c.admit(ds, now)
	c.place(ds, now)
	written := 0
	// Those that take machines over change our shares of the teams' limits, which the
	// others' assignments ask for: they go last, or all others would fail.
	for _, moving := range []bool{false, true} {
		for _, d := range ds {
			if d.changed && (len(d.txn.Then) > 0) == moving {
				written++
				c.write(d, now)
			}
		}
	}
	c.passAt = now + max(2*fastTick, micros.FromSeconds(float64(written)/c.shardRate()))
}

// shardUpdate prepares the next version of a shard: outcomes, machines proven gone,
// states, and entries of jobs that are over.
func (c *Core) shardUpdate(p *shard, now micros.T) *shardUpdate {
	d := newShardUpdate(p.name, p, p.rec.Clone())
	s := c.shardNotes(p.name)
	d.changed = len(s.inDoubtUpdates) > 0 // writing it anew settles what became of that
	release := func(m *machine, ref taskRef, done bool) {
		d.changed = true
		d.gone[ref] = true
		d.losses = c.drains.noteLoss(d.losses, m, ref)
		d.next.Release(ref.job, ref.index, done)
		if done {
			d.done[ref.job] = true
		}
		if j := c.view.jobs[ref.job]; j != nil {
			d.freed[m.id] = d.freed[m.id].plus(j.need, 1)
			d.given[j.rec.Spec.Team] = d.given[j.rec.Spec.Team].plus(j.need, 1)
		}
	}
	marked := false
	for _, id := range sortedKeys(p.rec.Machines) {
		m := c.view.machines[id]
		if m == nil || m.shard != p {
			continue
		}
		if r := c.view.removals[c.view.removal[id]]; r != nil && r.rec.Gone {
			for ref := range m.tasks {
				release(m, ref, false)
			}
			delete(d.next.Machines, id)
			d.changed = true
			continue
		}
		w := m.w
		if w == nil {
			continue
		}
		for k, o := range w.outcomes {
			if m.tasks[k.ref] != k.attempt {
				delete(w.outcomes, k) // written, or never ours
				continue
			}
			release(m, k.ref, o == outDone)
		}
		if want := c.wanted(m); want != m.rec.State {
			d.next.SetState(id, want)
			d.changed = true
		}
		if c.drains.markRunning(d.next, m, now) {
			marked = true
		}
	}
	stale := 0
	if marked && c.drains.pending() {
		d.changed = true // a drain waits for that
	} else if marked {
		stale++
	}
	for id, e := range p.rec.Jobs {
		if c.view.jobs[id] == nil && len(e.Held) == 0 && c.view.watched >= p.version {
			delete(d.next.Jobs, id)
			stale++
		}
	}
	if stale == 0 {
		s.staleAt = 0
	} else if s.staleAt == 0 {
		s.staleAt = now
	} else if now-s.staleAt > staleAfter {
		d.changed = true // else they go along with the next change
	}
	d.bound = d.next.Bound()
	return d
}

func (c *Core) valueBytes() int { return int(c.cfg.Facts.State.ValueKB * 1024) }

// machineBytes is the room that a machine of a type needs in a shard.
func (c *Core) machineBytes(typ string) int {
	return machineRoom + cpuRoom*int(c.types[typ].CPUs)
}

// planned is the room that a shard's machines will need once they are full. Going by
// what they take while they are empty put a third more of them into a shard than it
// had room for the tasks of: they stood half empty beside waiting tasks.
func (c *Core) planned(p *bookkeeping.Shard) int {
	n := 0
	for _, m := range p.Machines {
		n += c.machineBytes(m.Type)
	}
	return n
}

// write commits an update.
func (c *Core) write(d *shardUpdate, now micros.T) {
	s := c.shardNotes(d.name)
	key := bookkeeping.Key(bookkeeping.KindShard, d.name)
	if d.old == nil && len(d.next.Machines) == 0 && len(s.inDoubtUpdates) == 0 {
		delete(c.fresh, d.name)
		return
	}
	t := d.txn
	t.If = append([]protocol.Cond{{Key: key, Version: d.version()}}, t.If...)
	if d.old != nil && len(d.next.Machines) == 0 && len(d.next.Jobs) == 0 {
		t.Then = append(t.Then, protocol.Op{Delete: key})
	} else {
		raw, size := d.next.Encode()
		if size > c.valueBytes() {
			// The bound on what is assigned keeps this from happening.
			c.log.Error("shard exceeds value size limit", "shard", d.name, "bytes", size)
		}
		t.Then = append(t.Then, protocol.Op{Put: key, Value: raw})
	}
	s.busyAt, s.inDoubtUpdates = max(now, 1), append(s.inDoubtUpdates, d)
	c.commit(bookkeeping.RankShard, t, func(r protocol.StoreResult) {
		s.busyAt = 0
		c.dirty = true
		if len(d.txn.Then) > 0 {
			c.adoption.note(r)
		}
		if r.Outcome != protocol.Unknown && r.Outcome != protocol.OK {
			s.drop(d)
		}
		switch r.Outcome {
		case protocol.OK:
			c.stats.placed += len(d.tasks)
			c.drains.countLosses(d.losses)
			for _, id := range sortedKeys(d.done) {
				c.finishIfComplete(id)
			}
			for _, id := range sortedKeys(d.arrived) {
				c.arrived(id, true)
			}
			for _, id := range sortedKeys(d.told) {
				if m := c.view.machines[id]; m != nil {
					c.sync(m)
				}
			}
			if c.log.Enabled(context.Background(), slog.LevelDebug) {
				c.log.Debug("shard committed", "shard", d.name,
					"assigned", d.list(d.tasks), "released", d.list(d.gone),
					"machines_claimed", len(d.arrived), "max_bytes", d.bound)
			}
		case protocol.Unknown:
			s.settle(c.view.versionOf(key))
		case protocol.Conflict:
			c.log.Debug("shard compare-and-swap conflict", "shard", d.name, "failed_keys", r.Failed)
			for _, k := range r.Failed {
				// The next pass would decide on the same outdated record.
				if kind, name, _ := bookkeeping.SplitKey(k); kind == bookkeeping.KindOpen {
					c.jobNotes(name).until = max(c.jobNotes(name).until, c.now()+c.watchGap)
				}
			}
			c.passAt = max(c.passAt, c.now()+c.watchGap/2)
		case protocol.Rejected:
			c.log.Error("shard rejected by state service", "shard", d.name)
			c.passAt = max(c.passAt, c.now()+micros.Second)
		default:
			c.passAt = max(c.passAt, c.now()+300*micros.Millisecond)
		}
	})
}

// tasksInDoubt lists the tasks that a commit in doubt or in flight may have given
// to a machine: until that is settled no other may.
func (c *Core) tasksInDoubt() map[taskRef]bool {
	out := map[taskRef]bool{}
	for _, s := range c.shards {
		for _, d := range s.inDoubtUpdates {
			for ref := range d.tasks {
				out[ref] = true
			}
		}
	}
	return out
}
