package coordination

import (
	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/micros"
)

// tendMachines looks after the machines that are ours: leases that have ended,
// silence, notices, faults.
func (c *Core) checkMachines(now micros.T) {
	for id, s := range c.strayVisits {
		if now-s.last > micros.Minute {
			delete(c.strayVisits, id)
		}
	}
	for _, id := range sortedKeys(c.arrivals) {
		if now-c.arrivals[id].since > arrivalWait {
			c.arrived(id, false)
		}
	}
	// Without a fresh mirror a claim may have moved on long ago: after a cut of our
	// own all machines look silent, and are no longer ours.
	if _, alone := c.refusedAlone(now); alone || c.storeDown || now-c.watchOKAt > watchBlock+micros.Second {
		return
	}
	lease := micros.FromSeconds(c.cfg.Facts.Workers.LeaseS)
	report := micros.FromSeconds(c.cfg.Facts.Workers.ReportS)
	proof := lease + lease/500 + micros.Second
	// Three reports in a row have not come. One machine alone that falls silent is
	// dead or cut off; its services are better started elsewhere at once.
	patience := 3*report + micros.Second/2
	// Not so one that we have claimed but not heard yet: it may still be looking for
	// us. It has until its lease must have ended.
	ours, quiet := 0, 0
	zones, all := map[string]*heardCount{}, heardCount{}
	for _, m := range c.view.machines {
		if m.w == nil || m.rec == nil {
			continue
		}
		ours++
		away := now-max(m.w.aliveAt, c.resumedAt) > 2*report
		if away {
			quiet++
		}
		z := zones[m.rec.Zone]
		if z == nil {
			z = &heardCount{}
			zones[m.rec.Zone] = z
		}
		z.count(away, m.w.session == 0)
		all.count(away, m.w.session == 0)
	}
	if now-c.resumedAt > patience || c.resumedAt == 0 {
		c.noteReach(all, now)
	}
	quiet = max(quiet, 1) - 1 // one alone may always be the one
	for zone, z := range zones {
		if z.cut() {
			c.zoneCut[zone] = now
		}
	}
	lost, noticed, tasks := 0, 0, 0
	for _, id := range sortedKeys(c.view.machines) {
		m := c.view.machines[id]
		w := m.w
		if w == nil || m.rec == nil {
			continue
		}
		silent := now - max(w.aliveAt, c.resumedAt) // while we stood still nobody could be heard
		if !w.lost && w.acked && now-max(w.answeredAt, w.sessionAt) > proof {
			w.lost, w.acked = true, false
			lost++
			tasks += len(m.tasks)
			for ref, attempt := range m.tasks {
				w.settle(attemptKey{ref, attempt}, outRetry)
			}
			c.dirty = true
		}
		faulty, doubtful := c.blame(w)
		if doubtful != w.doubtful {
			w.doubtful = doubtful
			c.dirty = true
		}
		if q := silent > patience || faulty; q != w.quiet {
			w.quiet = q
			c.dirty = true
		}
		// A zone that is cut off comes back with its machines, each within a lease: to
		// delete them for their silence would have its room wait for boots then. Not
		// so where services are: a deletion lets them start elsewhere.
		at, cut := c.zoneCut[m.rec.Zone]
		cut = cut && now-at < lease && !c.holdsService(m)
		// Cancelled tasks there must be gone in time. Until then its lease may end, or
		// another controller reach it: a machine with all its tasks for one that was
		// cancelled a moment before the trouble is dear.
		giveUp, overdue := proof+2*report, micros.FromSeconds(0.5*c.cfg.Facts.Workers.CancelS)
		if cut {
			giveUp, overdue = 3*proof, micros.FromSeconds(0.75*c.cfg.Facts.Workers.CancelS)
		}
		switch {
		case m.rec.State == bookkeeping.MachineRemoving || w.removing != "":
		case silent > giveUp:
			c.remove(m, "silent")
		case silent > patience && c.holdsCancelled(m, overdue):
			// Its cancelled tasks must be gone in time, whoever is to blame.
			c.remove(m, "cancelled tasks out of reach")
		case w.noticed && silent > 2*report+micros.Second:
			c.remove(m, "taken")
		case silent > patience && 3*quiet <= ours && w.acked && !cut:
			// Deleting it proves its tasks gone long before its lease would. Not
			// when many are silent: then it is we who are cut off.
			c.remove(m, "silent")
		case faulty:
			c.acquit(m)
			c.remove(m, "faulty")
		case w.noticed && m.rec.State != bookkeeping.MachineDraining && len(w.stopping) == 0:
			noticed++
			c.leave(m)
		}
	}
	// One line however many share a trouble.
	if lost > 0 {
		c.log.Info("machines lost: their leases have ended unanswered", "machines", lost, "tasks", tasks)
	}
	if noticed > 0 {
		c.log.Info("machines will be taken back", "machines", noticed)
	}
	if many := quiet >= 3; many != c.quietSaid {
		c.quietSaid = many
		if many {
			c.log.Info("machines have fallen silent", "machines", quiet+1, "of", ours)
		} else {
			c.log.Info("machines are heard again or replaced", "of", ours)
		}
	}
	c.logRemovals()
}

// wanted is the state that a machine of ours should stand in.
func (c *Core) wanted(m *machine) bookkeeping.MachineState {
	w := m.w
	if (w.removing == removeIdle || w.removing == removeDrained) && len(m.tasks) > 0 {
		w.removing = "" // the recheck: it got tasks meanwhile
	}
	switch {
	case m.rec.State == bookkeeping.MachineRemoving || w.removing != "":
		return bookkeeping.MachineRemoving
	case m.rec.State == bookkeeping.MachineDraining || w.noticed:
		return bookkeeping.MachineDraining
	case w.quiet:
		return bookkeeping.MachineQuiet
	}
	return bookkeeping.MachineOpen
}

// Reasons that hold only while the machine is empty.
const (
	removeIdle    = "idle"
	removeDrained = "drained"
)

// remove has a machine given back: our shard says so, and the leader deletes it.
func (c *Core) remove(m *machine, reason string) {
	m.w.removing = reason
	c.dirty = true
	c.givenBack[reason] = append(c.givenBack[reason], m.id)
}

// logRemovals writes one line a reason, however many machines share it.
func (c *Core) logRemovals() {
	for _, reason := range sortedKeys(c.givenBack) {
		ids := c.givenBack[reason]
		tasks := 0
		for _, id := range ids {
			if m := c.view.machines[id]; m != nil {
				tasks += len(m.tasks)
			}
		}
		c.log.Info("machines to be removed", "reason", reason, "machines", len(ids), "tasks", tasks, "first", ids[0])
	}
	clear(c.givenBack)
}

// hearing counts a zone's machines of ours, and which of them are silent.
type heardCount struct{ machines, silent int }

// count adds a machine; one that was claimed just now and has had no time to be
// heard says nothing about its zone.
func (h *heardCount) count(away, unheard bool) {
	if unheard && !away {
		return
	}
	h.machines++
	if away {
		h.silent++
	}
}

// cut tells whether a zone as a whole has fallen silent.
func (h *heardCount) cut() bool { return h != nil && h.silent >= 3 && 4*h.silent >= 3*h.machines }

// holdsCancelled tells whether the store holds tasks there of jobs that were
// cancelled longer ago than since. What a controller hasn't seen being cancelled
// itself was so for an unknown time: long enough.
func (c *Core) holdsCancelled(m *machine, since micros.T) bool {
	for ref := range m.tasks {
		if j := c.view.jobs[ref.job]; j != nil && !j.open() && c.now()-c.jobNotes(ref.job).overAt >= since {
			return true
		}
	}
	return false
}

// holdsService tells whether the store holds replicas of services there.
func (c *Core) holdsService(m *machine) bool {
	for ref := range m.tasks {
		if j := c.view.jobs[ref.job]; j != nil && j.rec.Spec.Service {
			return true
		}
	}
	return false
}

// leave stops what gains by it before a noticed machine goes: services start
// elsewhere now rather than later, checkpointed work is saved.
func (c *Core) leave(m *machine) {
	w := m.w
	for ref, attempt := range m.tasks {
		j := c.view.jobs[ref.job]
		if j != nil && j.open() && (j.rec.Spec.Service || j.rec.Spec.CheckpointS > 0) {
			w.stopping[attemptKey{ref, attempt}] = true
		}
	}
	if len(w.stopping) > 0 {
		c.sync(m)
	}
}
