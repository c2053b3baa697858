package coordination

import (
	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/micros"
)

// machineCheck is one look at all machines that are ours.
type machineCheck struct {
	now             micros.T
	ours, quiet     int // machines, and those of them that are silent
	lost, lostTasks int // whose leases have ended just now
	noticed         int // that the cloud is about to take back
}

// checkMachines looks after the machines that are ours: leases that have ended,
// silence, notices, faults.
func (c *Core) checkMachines(now micros.T) {
	c.dropOldVisits(now)
	// Without a fresh mirror a claim may have moved on long ago: after a cut of our
	// own all machines look silent, and are no longer ours.
	if _, alone := c.refusedAlone(now); alone || c.storeDown || now-c.watchOKAt > watchBlock+micros.Second {
		return
	}
	check := &machineCheck{now: now}
	c.countSilent(check)
	for _, id := range sortedKeys(c.view.machines) {
		if m := c.view.machines[id]; m.w != nil && m.rec != nil {
			c.checkMachine(m, check)
		}
	}
	c.logCheck(check)
	c.logRemovals()
}

// dropOldVisits forgets workers of other partitions that haven't come for long, and machines
// that have waited for a claim for too long.
func (c *Core) dropOldVisits(now micros.T) {
	for id, v := range c.orphanVisits {
		if now-v.last > micros.Minute {
			delete(c.orphanVisits, id)
		}
	}
	for _, id := range sortedKeys(c.arrivals) {
		if now-c.arrivals[id].since > arrivalWait {
			c.arrived(id, false)
		}
	}
}

// silence is how long a machine has been silent; while we stood still nobody could be heard.
func (c *Core) silence(w *worker, now micros.T) micros.T { return now - max(w.aliveAt, c.resumedAt) }

// countSilent counts the silent machines, by zone too, and judges from that whether it is
// we, or a zone, that is cut off. A machine that we have claimed but not heard yet may still
// be looking for us: it has until its lease must have ended.
func (c *Core) countSilent(check *machineCheck) {
	now := check.now
	zones, all := map[string]*heardCount{}, heardCount{}
	for _, m := range c.view.machines {
		if m.w == nil || m.rec == nil {
			continue
		}
		check.ours++
		away := c.silence(m.w, now) > 2*c.timing.report
		if away {
			check.quiet++
		}
		z := zones[m.rec.Zone]
		if z == nil {
			z = &heardCount{}
			zones[m.rec.Zone] = z
		}
		z.count(away, m.w.session == 0)
		all.count(away, m.w.session == 0)
	}
	if now-c.resumedAt > c.timing.patience || c.resumedAt == 0 {
		c.noteReach(all, now)
	}
	check.quiet = max(check.quiet, 1) - 1 // one alone may always be the one
	for zone, z := range zones {
		if z.cut() {
			c.zoneCut[zone] = now
		}
	}
}

// checkMachine looks after one machine.
func (c *Core) checkMachine(m *machine, check *machineCheck) {
	w, now := m.w, check.now
	if !w.lost && w.acked && now-max(w.answeredAt, w.sessionAt) > c.timing.proof {
		check.lost++
		check.lostTasks += len(m.tasks)
		c.loseMachine(m)
	}
	faulty, doubtful := c.blame(w)
	if doubtful != w.doubtful {
		w.doubtful = doubtful
		c.dirty = true
	}
	if quiet := c.silence(w, now) > c.timing.patience || faulty; quiet != w.quiet {
		w.quiet = quiet
		c.dirty = true
	}
	reason := c.reasonToRemove(m, check)
	switch {
	case m.rec.State == bookkeeping.MachineRemoving || w.removing != "":
	case reason != "":
		c.remove(m, reason)
	case faulty:
		c.acquit(m)
		c.remove(m, "faulty")
	case w.noticed && m.rec.State != bookkeeping.MachineDraining && len(w.stopping) == 0:
		check.noticed++
		c.leave(m)
	}
}

// loseMachine settles all that was on a machine whose lease has ended.
func (c *Core) loseMachine(m *machine) {
	m.w.lost, m.w.acked = true, false
	for ref, attempt := range m.tasks {
		m.w.settle(attemptKey{ref, attempt}, outRetry)
	}
	c.dirty = true
}

// reasonToRemove tells why a silent machine is to be deleted, or "" if it isn't.
func (c *Core) reasonToRemove(m *machine, check *machineCheck) string {
	w, silent := m.w, c.silence(m.w, check.now)
	// A zone that is cut off comes back with its machines, each within a lease: to
	// delete them for their silence would have its room wait for boots then. Not
	// so where services are: a deletion lets them start elsewhere.
	at, cut := c.zoneCut[m.rec.Zone]
	cut = cut && check.now-at < c.timing.lease && !c.holdsService(m)
	// Cancelled tasks there must be gone in time. Until then its lease may end, or
	// another controller reach it: a machine with all its tasks for one that was
	// cancelled a moment before the trouble is dear.
	giveUp, overdue := c.timing.proof+2*c.timing.report, c.timing.cancel/2
	if cut {
		giveUp, overdue = 3*c.timing.proof, 3*c.timing.cancel/4
	}
	switch {
	case silent > giveUp:
		return "unreachable"
	case silent > c.timing.patience && c.holdsCancelled(m, overdue):
		// Its cancelled tasks must be gone in time, whoever is to blame.
		return "cancelled tasks unreachable"
	case w.noticed && silent > c.timing.alive:
		return "spot interruption"
	case silent > c.timing.patience && 3*check.quiet <= check.ours && w.acked && !cut:
		// Deleting it proves its tasks gone long before its lease would. Not
		// when many are silent: then it is we who are cut off.
		return "unreachable"
	}
	return ""
}

// logCheck writes one line for each trouble, however many machines share it.
func (c *Core) logCheck(check *machineCheck) {
	if check.lost > 0 {
		c.log.Info("machines lost", "state", conditionBegin, "machines", check.lost, "tasks", check.lostTasks)
	}
	if check.noticed > 0 {
		c.log.Info("spot interruption notice", "machines", check.noticed)
	}
	many := check.quiet >= 3
	if many == c.quietSaid {
		return
	}
	c.quietSaid = many
	if many {
		c.log.Info("machines unreachable", "state", conditionBegin,
			"machines", check.quiet+1, "machines_owned", check.ours)
	} else {
		c.log.Info("machines unreachable", "state", conditionEnd, "machines_owned", check.ours)
	}
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
	case c.drains.cordons(m):
		return bookkeeping.MachineCordoned
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
		c.log.Info("machines marked for scale-in", "reason", reason, "machines", len(ids),
			"tasks", tasks, "first_machine", ids[0])
	}
	clear(c.givenBack)
}

// heardCount counts a zone's machines of ours, and which of them are silent.
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
