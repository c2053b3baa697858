package coordination

import (
	"hash/fnv"
	"math"
	"sort"

	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/config"
	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
)

// ghostsFor is how long a deleted machine's late reports are still expected.
const ghostsFor = 10 * micros.Minute

// attemptKey names an attempt on a machine.
type attemptKey struct {
	ref     taskRef
	attempt uint32
}

// sent is what we have told a worker about an attempt.
type sent struct {
	runAt, killAt, reapAt micros.T
	kill                  uint64 // token of the first kill batch
}

// worker is what we know of a machine that we hold the claim on.
type worker struct {
	claim        uint64
	claimVersion uint64 // the mirror must have caught up with the claim
	counter      uint64
	session, seq uint64
	heardAt      micros.T // receipt of the last report that we answered
	acked        bool     // it has seen our claim's token
	lost         bool     // its lease has surely ended since heardAt
	rep          map[attemptKey]protocol.TaskReport
	repToken     uint64
	sent         map[attemptKey]*sent
	busy         bool // a direct batch is in flight
	again        bool // and there is more to say afterwards
	noticed      bool
	stopping     map[attemptKey]bool     // preempted: to be stopped
	since        map[attemptKey]micros.T // first seen running
	failedJobs   map[string]bool
	failed       int
	drag         float64 // how much longer than expected tasks run here: log, smoothed
	samples      int
	reserved     amount
}

func (w *worker) base() uint64  { return w.claim << 32 }
func (w *worker) token() uint64 { return w.claim<<32 | w.counter }

// told gives the notes about an attempt.
func (w *worker) told(k attemptKey) *sent {
	s := w.sent[k]
	if s == nil {
		s = &sent{}
		w.sent[k] = s
	}
	return s
}

// outcomeKind is what became of an attempt.
type outcomeKind uint8

const (
	outDone  outcomeKind = iota // completed
	outRetry                    // gone, the task is to be run again
)

type outcome struct {
	attempt uint32
	machine string
	kind    outcomeKind
}

// home is the live controller that a machine belongs to by rendezvous hashing.
func home(machine string, live []string) string {
	best, node := uint64(0), ""
	for _, n := range live {
		h := fnv.New64a()
		_, _ = h.Write([]byte(n + "\x00" + machine))
		v := h.Sum64()
		// FNV's last bytes stir the high bits too little; finish the mix.
		v ^= v >> 33
		v *= 0xff51afd7ed558ccd
		v ^= v >> 33
		if node == "" || v > best {
			best, node = v, n
		}
	}
	return node
}

// ownership follows a change of a machine's record.
func (c *Core) ownership(m *machine) {
	mine := m.version != 0 && m.rec.Owner == c.node && m.rec.Incarnation == c.inc
	switch {
	case !mine:
		m.w = nil
	case m.w == nil || m.w.claim != m.rec.Claim:
		m.w = &worker{
			claim: m.rec.Claim, claimVersion: m.version, heardAt: c.now(),
			rep: map[attemptKey]protocol.TaskReport{}, sent: map[attemptKey]*sent{},
			stopping: map[attemptKey]bool{}, since: map[attemptKey]micros.T{}, failedJobs: map[string]bool{},
		}
	}
}

func (c *Core) redirect(to string) Reply {
	return Reply{Status: 421, Body: protocol.MustMarshal(&protocol.Redirect{Lead: to})}
}

// onCheckin answers a worker's report.
func (c *Core) onCheckin(body []byte, answer func(Reply)) {
	var rep protocol.Report
	if err := protocol.Unmarshal(body, &rep); err != nil {
		answer(errorReply(400, err.Error()))
		return
	}
	if !rep.Valid() {
		answer(errorReply(400, "report lacks a field"))
		return
	}
	now := c.now()
	if peer, alone := c.refusedAlone(now); alone {
		answer(c.redirect(peer))
		return
	}
	if !c.ready {
		answer(errorReply(503, "records not read yet"))
		return
	}
	if c.mustLapse(now) {
		answer(errorReply(503, "cut off from the state service"))
		return
	}
	if _, gone := c.ghosts[rep.Machine]; gone {
		answer(errorReply(503, "machine has been given back"))
		return
	}
	m := c.view.machines[rep.Machine]
	if m != nil && m.version != 0 {
		if m.rec.State == bookkeeping.MachineGone {
			// A report from before the deletion that was held back.
			answer(errorReply(503, "machine has been given back"))
			return
		}
		if m.w != nil {
			answer(c.report(m, &rep, true))
			return
		}
	}
	to := c.responsible(m, &rep, now)
	if to != c.node {
		c.redirected[rep.Machine] = now
		answer(c.redirect(to))
		return
	}
	c.claim(rep.Machine, &rep, func(ok bool) {
		if m := c.view.machines[rep.Machine]; ok && m != nil && m.w != nil {
			answer(c.report(m, &rep, true))
			return
		}
		answer(errorReply(503, "claim not made"))
	})
}

// responsible names the controller that a machine's worker should report to.
func (c *Core) responsible(m *machine, rep *protocol.Report, now micros.T) string {
	live := c.live()
	if len(live) == 0 {
		return c.node
	}
	at, again := c.redirected[rep.Machine]
	again = again && now-at < 20*micros.Second && now-at > 500*micros.Millisecond
	if m == nil || m.version == 0 {
		h := home(rep.Machine, live)
		if again {
			// Sent there once and come back: it can't reach its home.
			return c.node
		}
		return h
	}
	owner := m.rec.Owner
	if owner == c.node {
		return c.node // an earlier incarnation of ours
	}
	if member, ok := c.view.members[owner]; ok {
		// A worker stays with a node that answers. One that has seen its
		// owner's token and comes to us has lost it; wait no longer, its lease
		// may not last for another round.
		if again || rep.Token >= m.rec.Claim<<32 && member.rec.Incarnation == m.rec.Incarnation {
			return c.node
		}
		return owner
	}
	if h := home(rep.Machine, live); !again {
		return h
	}
	return c.node
}

// claim takes a machine: a conditional write that raises the claim number, so
// that tokens of any earlier owner are outranked.
func (c *Core) claim(id string, rep *protocol.Report, back func(bool)) {
	rec := bookkeeping.Machine{State: bookkeeping.MachineOpen}
	var version uint64
	if m := c.view.machines[id]; m != nil && m.version != 0 {
		rec, version = m.rec, m.version
	}
	if rep != nil {
		rec.Type, rec.Zone, rec.Spot, rec.Endpoint = rep.Type, rep.Zone, rep.Spot, rep.Endpoint
	}
	if c.view.removals[id] != nil {
		rec.State = bookkeeping.MachineRemoving
	}
	rec.Owner, rec.Incarnation = c.node, c.inc
	rec.Claim++
	key := bookkeeping.Key(bookkeeping.KindMachine, id)
	t := protocol.Txn{
		If:   []protocol.Cond{{Key: key, Version: version}},
		Then: []protocol.Op{{Put: key, Value: protocol.MustMarshal(&rec)}},
	}
	c.commit(bookkeeping.RankClaim, t, func(r protocol.StoreResult) {
		if r.Outcome == protocol.OK {
			c.log.Debug("machine claimed", "machine", id, "claim", rec.Claim, "type", rec.Type, "zone", rec.Zone, "spot", rec.Spot)
		}
		back(r.Outcome == protocol.OK)
	})
}

// report applies a worker's report and gives the answer. checkin: it came to us
// and our answer renews the lease.
func (c *Core) report(m *machine, rep *protocol.Report, checkin bool) Reply {
	w := m.w
	now := c.now()
	if checkin {
		w.heardAt = now
		if w.lost {
			w.lost = false
			c.log.Info("machine is back", "machine", m.id)
		}
	}
	fresh := rep.Session > w.session || rep.Session == w.session && rep.Seq > w.seq
	if !fresh {
		// A late copy. It proves nothing and gets no commands.
		return Reply{Status: 200, Body: protocol.MustMarshal(&protocol.CheckinReply{Token: w.token(), Commands: []protocol.Command{}})}
	}
	c.apply(m, rep)
	cmds := c.commands(m, now)
	return Reply{Status: 200, Body: protocol.MustMarshal(&protocol.CheckinReply{Token: w.token(), Commands: cmds})}
}

// apply takes over a report that is newer than what we know.
func (c *Core) apply(m *machine, rep *protocol.Report) {
	w := m.w
	w.session, w.seq = rep.Session, rep.Seq
	w.noticed = w.noticed || rep.NoticeS != nil
	w.repToken = rep.Token
	clear(w.rep)
	for i := range rep.Tasks {
		t := &rep.Tasks[i]
		if ref, ok := parseTask(t.Task); ok {
			w.rep[attemptKey{ref, uint32(t.Attempt)}] = *t
		}
	}
	// A report from before the worker saw our claim may be older than the
	// previous owner's last commands: it proves nothing about tasks.
	if rep.Token < w.base() || c.view.watched < w.claimVersion {
		return
	}
	w.acked = true
	for ref, attempt := range m.tasks {
		k := attemptKey{ref, attempt}
		t, has := w.rep[k]
		j := c.view.jobs[ref.job]
		if j == nil || j.version == 0 {
			continue
		}
		switch {
		case has && t.State == protocol.StateExited:
			kind := outRetry
			if t.Cause == protocol.CauseDone && !j.rec.Spec.Service {
				kind = outDone
			}
			c.noteExit(m, j, ref, &t)
			c.settle(j, ref, outcome{attempt, m.id, kind})
		case !has && (!j.open() || w.stopping[k]):
			// Absent after a kill that outranks every batch with its run: it
			// isn't there and can't start any more.
			if s := w.sent[k]; s != nil && s.kill != 0 && rep.Token >= s.kill {
				c.settle(j, ref, outcome{attempt, m.id, outRetry})
			}
		}
	}
	now := c.now()
	for k, t := range w.rep {
		if _, ok := w.since[k]; !ok && t.State == protocol.StateRunning {
			w.since[k] = now
		}
	}
	for k := range w.since {
		if _, here := w.rep[k]; !here {
			delete(w.since, k)
		}
	}
	for k := range w.stopping {
		if m.tasks[k.ref] != k.attempt {
			delete(w.stopping, k)
		}
	}
	for k := range w.sent {
		if _, here := w.rep[k]; !here && m.tasks[k.ref] != k.attempt {
			delete(w.sent, k)
		}
	}
}

// settle notes what became of an attempt until the store has it.
func (c *Core) settle(j *job, ref taskRef, o outcome) {
	key := bookkeeping.RowKey(ref.job, ref.index/j.rec.Chunk)
	row := c.outcomes[key]
	if row == nil {
		row = map[int]outcome{}
		c.outcomes[key] = row
	}
	if old, ok := row[ref.index%j.rec.Chunk]; !ok || old.attempt != o.attempt {
		row[ref.index%j.rec.Chunk] = o
	}
}

// settled tells whether an attempt has an outcome on its way to the store; it
// must not be started again.
func (c *Core) settled(j *job, ref taskRef, attempt uint32) bool {
	o, ok := c.outcomes[bookkeeping.RowKey(ref.job, ref.index/j.rec.Chunk)][ref.index%j.rec.Chunk]
	return ok && o.attempt == attempt
}

// commands works out what a worker must be told, reaps and kills before runs.
// A batch that isn't empty gets a token of its own, above all earlier ones, so
// a late copy of an earlier batch can't undo it.
func (c *Core) commands(m *machine, now micros.T) []protocol.Command {
	w := m.w
	cmds := []protocol.Command{}
	if c.view.watched < w.claimVersion {
		return cmds // the mirror may lack assignments made before our claim
	}
	const again = micros.Second
	token := w.token() + 1
	grace := 0.0
	add := func(op string, k attemptKey) {
		cmd := protocol.Command{Op: op, Task: k.ref.String(), Attempt: uint64(k.attempt)}
		if op == protocol.CmdKill {
			g := grace
			cmd.GraceS = &g
		}
		cmds = append(cmds, cmd)
	}
	due := func(at *micros.T) bool {
		if *at != 0 && now-*at < again {
			return false
		}
		*at = now
		return true
	}
	for k, t := range w.rep {
		if attempt, ok := m.tasks[k.ref]; ok && attempt == k.attempt {
			continue
		}
		s := w.told(k)
		if t.State == protocol.StateExited {
			// Its outcome is in the store, or nobody wants it.
			if due(&s.reapAt) {
				add(protocol.CmdReap, k)
			}
		} else if due(&s.killAt) {
			add(protocol.CmdKill, k)
		}
	}
	var runs []attemptKey
	for ref, attempt := range m.tasks {
		k := attemptKey{ref, attempt}
		j := c.view.jobs[ref.job]
		if j == nil || j.version == 0 {
			continue
		}
		t, has := w.rep[k]
		if has && t.State == protocol.StateExited || c.settled(j, ref, attempt) {
			continue
		}
		if !j.open() || w.stopping[k] {
			s := w.told(k)
			if due(&s.killAt) {
				if s.kill == 0 {
					s.kill = token
				}
				grace = 0
				if j.open() && j.rec.Spec.CheckpointS > 0 {
					grace = j.rec.Spec.SaveS // its progress is worth saving
				}
				add(protocol.CmdKill, k)
			}
			continue
		}
		if !has && !w.lost && due(&w.told(k).runAt) {
			runs = append(runs, k)
		}
	}
	sort.Slice(runs, func(a, b int) bool {
		if runs[a].ref.job != runs[b].ref.job {
			return runs[a].ref.job < runs[b].ref.job
		}
		return runs[a].ref.index < runs[b].ref.index
	})
	for _, k := range runs {
		add(protocol.CmdRun, k)
	}
	if len(cmds) > 0 {
		w.counter++
	}
	return cmds
}

// syncJob tells every worker of ours that has tasks of a job.
func (c *Core) syncJob(j *job) {
	seen := map[string]bool{}
	for _, r := range j.rows {
		if r.rec == nil {
			continue
		}
		for i := range r.rec.Tasks {
			t := &r.rec.Tasks[i]
			if t.State == bookkeeping.TaskAssigned && !seen[t.Machine] {
				seen[t.Machine] = true
				if m := c.view.machines[t.Machine]; m != nil && m.w != nil {
					c.sync(m)
				}
			}
		}
	}
}

// sync tells a worker directly what its next report would bring it. One batch
// is in flight at a time.
func (c *Core) sync(m *machine) {
	w := m.w
	if w == nil || w.session == 0 || w.lost || m.rec.Endpoint == "" {
		return
	}
	if w.busy {
		w.again = true
		return
	}
	cmds := c.commands(m, c.now())
	if len(cmds) == 0 {
		return
	}
	w.busy = true
	req := &protocol.DoRequest{Token: w.token(), Session: w.session, Commands: cmds}
	c.env.Command(m.rec.Endpoint, req, commandWithin, func(r protocol.DoResult) {
		w.busy = false
		if m.w != w {
			return // the claim has moved on
		}
		if r.Status != 200 {
			// Not executed, or not known to be: say it again with a new token.
			for _, cmd := range cmds {
				if ref, ok := parseTask(cmd.Task); ok {
					s := w.told(attemptKey{ref, uint32(cmd.Attempt)})
					s.runAt, s.killAt, s.reapAt = 0, 0, 0
				}
			}
		}
		rep := &r.Report
		if r.Status != 0 && rep.Machine == m.id && rep.Valid() &&
			(rep.Session > w.session || rep.Session == w.session && rep.Seq > w.seq) {
			c.apply(m, rep)
			c.flushOutcomes(c.now())
		}
		if w.again && r.Status == 200 {
			w.again = false
			c.sync(m)
		}
	})
}

// flushOutcomes writes what became of attempts, many in one commit. It never
// forgets one before the mirror shows it: a release that may still be applied
// must keep its attempt from being started again.
func (c *Core) flushOutcomes(now micros.T) {
	if len(c.outcomes) == 0 || c.storeDown && now-c.storeBadAt < 300*micros.Millisecond {
		return
	}
	st := c.cfg.Facts.State
	t := protocol.Txn{}
	conds := map[string]bool{}
	var rows []string
	finished := []string{}
	cond := func(key string, version uint64) {
		if !conds[key] {
			conds[key] = true
			t.If = append(t.If, protocol.Cond{Key: key, Version: version})
		}
	}
	send := func() {
		if len(rows) == 0 {
			return
		}
		txn, keys, jobs := t, rows, finished
		for _, k := range keys {
			c.row(k).busy = true
		}
		t, rows, finished, conds = protocol.Txn{}, nil, []string{}, map[string]bool{}
		c.commit(bookkeeping.RankOutcome, txn, func(r protocol.StoreResult) {
			for _, k := range keys {
				c.row(k).busy = false
			}
			if r.Outcome != protocol.OK {
				for _, k := range keys {
					c.row(k).pauseUntil = c.now() + 100*micros.Millisecond
				}
				return
			}
			for _, id := range jobs {
				c.view.finals.add(id, bookkeeping.Done)
				c.stats.done++
				c.log.Debug("job done", "job", id)
			}
			c.dirty = true
		})
	}
	for _, key := range sortedKeys(c.outcomes) {
		_, name, _ := bookkeeping.SplitKey(key)
		id, chunk, _ := bookkeeping.SplitRow(name)
		j := c.view.jobs[id]
		if j == nil || j.version == 0 || j.rows[chunk] == nil || j.rows[chunk].rec == nil {
			delete(c.outcomes, key)
			continue
		}
		rs := c.row(key)
		if rs.busy || now < rs.pauseUntil {
			continue
		}
		r := j.rows[chunk]
		next := r.rec.Clone()
		var need []protocol.Cond
		need = append(need, protocol.Cond{Key: key, Version: r.version})
		doneNow := 0
		out := c.outcomes[key]
		for i, o := range out {
			task := &next.Tasks[i]
			m := c.view.machines[o.machine]
			if task.State != bookkeeping.TaskAssigned || task.Attempt != o.attempt || task.Machine != o.machine ||
				m == nil || m.w == nil {
				delete(out, i)
				continue
			}
			// Conditional on the claim: under another one the proof isn't ours.
			need = append(need, protocol.Cond{Key: bookkeeping.Key(bookkeeping.KindMachine, m.id), Version: m.version})
			if o.kind == outDone {
				task.State, task.Machine = bookkeeping.TaskDone, ""
				doneNow++
			} else {
				task.State, task.Machine = bookkeeping.TaskPending, ""
			}
		}
		if len(out) == 0 {
			delete(c.outcomes, key)
			continue
		}
		complete := j.open() && j.done+doneNow == j.rec.Spec.Tasks && !c.otherBusy(j, chunk)
		ops := []protocol.Op{{Put: key, Value: next.Encode()}}
		if complete {
			need = append(need, protocol.Cond{Key: bookkeeping.Key(bookkeeping.KindOpen, id), Version: j.version})
			ops = finishOps(j, st.TxnOps, ops[0])
		}
		if len(t.Then)+len(ops) > st.TxnOps || len(t.If)+len(need) > 4*st.TxnOps {
			send()
		}
		for _, n := range need {
			cond(n.Key, n.Version)
		}
		t.Then = append(t.Then, ops...)
		rows = append(rows, key)
		if complete {
			finished = append(finished, id)
		}
	}
	send()
}

// otherBusy tells whether another row of the job is being written by us.
func (c *Core) otherBusy(j *job, chunk int) bool {
	for k := range j.rows {
		if k != chunk && c.row(bookkeeping.RowKey(j.id, k)).busy {
			return true
		}
	}
	return false
}

// finishOps makes a job done: its answer is kept, and its records go if one
// commit can drop them all; otherwise the leader's sweep drops them.
func finishOps(j *job, most int, last protocol.Op) []protocol.Op {
	jobKey, openKey := bookkeeping.Key(bookkeeping.KindJob, j.id), bookkeeping.Key(bookkeeping.KindOpen, j.id)
	ops := []protocol.Op{{Put: jobKey, Value: protocol.MustMarshal(&bookkeeping.Answer{Status: bookkeeping.Done})}}
	if len(j.rows)+2 <= most {
		for _, chunk := range sortedInts(j.rows) {
			ops = append(ops, protocol.Op{Delete: bookkeeping.RowKey(j.id, chunk)})
		}
		return append(ops, protocol.Op{Delete: openKey})
	}
	rec := j.rec
	rec.Status = bookkeeping.Done
	ops = append(ops, protocol.Op{Put: openKey, Value: protocol.MustMarshal(&rec)})
	if last.Put != "" {
		ops = append(ops, last)
	}
	return ops
}

func sortedInts[V any](m map[int]V) []int {
	out := make([]int, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Ints(out)
	return out
}

// noteExit learns from how an attempt ended.
func (c *Core) noteExit(m *machine, j *job, ref taskRef, t *protocol.TaskReport) {
	if c.settled(j, ref, uint32(t.Attempt)) {
		return
	}
	w := m.w
	switch t.Cause {
	case protocol.CauseDone:
		if at, ok := w.since[attemptKey{ref, uint32(t.Attempt)}]; ok && !j.rec.Spec.Service {
			w.measure((c.now() - at).Seconds(), c.expected(&j.rec.Spec))
			c.learn(&j.rec.Spec, (c.now() - at).Seconds())
		}
		w.failed, w.failedJobs = 0, map[string]bool{}
		delete(c.jobState, j.id)
	case protocol.CauseError:
		c.stats.failed++
		w.failed++
		w.failedJobs[j.id] = true
		js := c.jobNotes(j.id)
		js.fails++
		js.failedOn[m.id] = true
		// Tasks that fail on several machines: the job is at fault, not they.
		if len(js.failedOn) >= 3 {
			js.pause(c.now(), c.set)
		}
		c.log.Debug("task failed", "task", ref.String(), "attempt", t.Attempt, "machine", m.id)
	case protocol.CauseUnknown, protocol.CauseFull, protocol.CauseBusy:
		js := c.jobNotes(j.id)
		js.until = max(js.until, c.now()+500*micros.Millisecond)
		c.log.Debug("start refused", "task", ref.String(), "attempt", t.Attempt, "machine", m.id, "cause", t.Cause)
	}
}

// learn follows how far the owners' estimates of a class are off just now: on
// some days they are mostly too high or mostly too low.
func (c *Core) learn(s *bookkeeping.Spec, ran float64) {
	if s.EstimateS <= 0 || ran <= 0 {
		return
	}
	const weight = 0.05
	c.bias[s.Class] += weight * (math.Log(ran/s.EstimateS) - c.bias[s.Class])
}

// expected is a task's estimate, corrected by what was learned.
func (c *Core) expected(s *bookkeeping.Spec) float64 {
	return s.EstimateS * math.Exp(min(max(c.bias[s.Class], -1), 1))
}

// jobState is what a controller notes about a job beside the store.
type jobState struct {
	fails    int
	failedOn map[string]bool
	until    micros.T // not to be placed before
	step     micros.T
}

func (c *Core) jobNotes(id string) *jobState {
	s := c.jobState[id]
	if s == nil {
		s = &jobState{failedOn: map[string]bool{}}
		c.jobState[id] = s
	}
	return s
}

// pause backs a job off, longer each time.
func (s *jobState) pause(now micros.T, set config.Settings) {
	if s.step == 0 {
		s.step = set.BackoffFirst.T()
	} else {
		s.step = min(2*s.step, set.BackoffMost.T())
	}
	s.until = now + s.step
}

// tendMachines looks after the machines that are ours: leases that have ended,
// silence, notices, faults.
func (c *Core) tendMachines(now micros.T) {
	// Without a fresh mirror a claim may have moved on long ago: after a cut of our
	// own all machines look silent, and are no longer ours.
	if _, alone := c.refusedAlone(now); alone || c.storeDown || now-c.watchOKAt > watchBlock+micros.Second {
		return
	}
	for id, at := range c.ghosts {
		if now-at > ghostsFor {
			delete(c.ghosts, id)
		}
	}
	lease := micros.FromSeconds(c.cfg.Facts.Workers.LeaseS)
	report := micros.FromSeconds(c.cfg.Facts.Workers.ReportS)
	proof := lease + lease/500 + micros.Second
	// Three reports in a row have not come. One machine alone that falls silent is
	// dead or cut off; its services are better started elsewhere at once.
	patience := 3*report + micros.Second/2
	ours, quiet := 0, 0
	for _, m := range c.view.machines {
		if m.w != nil && m.version != 0 {
			ours++
			if now-m.w.heardAt > 2*report {
				quiet++
			}
		}
	}
	quiet = max(quiet, 1) - 1 // one alone may always be the one
	live := c.live()
	var heirless []*machine
	for id, at := range c.redirected {
		if now-at > micros.Minute {
			delete(c.redirected, id)
		}
	}
	for _, id := range sortedKeys(c.view.machines) {
		m := c.view.machines[id]
		if m.version == 0 || m.rec.State == bookkeeping.MachineGone {
			continue
		}
		if m.w == nil {
			if c.inherits(m, live, now) {
				heirless = append(heirless, m)
			}
			continue
		}
		w := m.w
		silent := now - w.heardAt
		if !w.lost && w.acked && silent > proof {
			w.lost = true
			w.acked = false
			c.log.Info("machine lost: its lease has ended unanswered", "machine", id, "tasks", len(m.tasks))
			for ref, attempt := range m.tasks {
				if j := c.view.jobs[ref.job]; j != nil && j.version != 0 {
					c.settle(j, ref, outcome{attempt, id, outRetry})
				}
			}
		}
		removing := m.rec.State == bookkeeping.MachineRemoving
		switch {
		case removing:
		case silent > proof+2*report:
			c.remove(m, "silent")
		case silent > patience && c.holdsCancelled(m):
			// Its cancelled tasks must be gone in time, whoever is to blame.
			c.remove(m, "cancelled tasks out of reach")
		case w.noticed && silent > 2*report+micros.Second:
			c.remove(m, "taken")
		case silent > patience && 3*quiet <= ours:
			// Deleting it proves its tasks gone long before its lease would. Not
			// when many are silent: then it is we who are cut off.
			c.remove(m, "silent")
		case w.faulty():
			c.remove(m, "faulty")
		case w.noticed && m.rec.State != bookkeeping.MachineDraining:
			c.log.Info("machine will be taken back", "machine", id, "tasks", len(m.tasks))
			c.setState(m, bookkeeping.MachineDraining)
			c.leave(m)
		}
	}
	c.claimMany(heirless)
}

// holdsCancelled tells whether the store holds tasks of cancelled jobs there.
func (c *Core) holdsCancelled(m *machine) bool {
	for ref := range m.tasks {
		if j := c.view.jobs[ref.job]; j != nil && j.version != 0 && !j.open() {
			return true
		}
	}
	return false
}

// faulty: tasks of several jobs, or one job again and again, failed on it and
// nothing completed in between; or what it runs takes several times as long as
// expected, again and again.
func (w *worker) faulty() bool {
	const samples, drag = 6, 1.1 // three times as long
	return len(w.failedJobs) >= 2 || w.failed >= 4 || w.samples >= samples && w.drag > drag
}

// measure follows how fast the machine is. Single estimates are wrong by half
// or more; a smoothed ratio of several tasks is not.
func (w *worker) measure(ran, expected float64) {
	if ran <= 0 || expected <= 0 {
		return
	}
	w.samples++
	w.drag += (math.Log(ran/expected) - w.drag) / float64(min(w.samples, 8))
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

// inherits tells whether we are to claim a machine whose owner has gone: an
// earlier incarnation of ours, or another controller and we are its home.
func (c *Core) inherits(m *machine, live []string, now micros.T) bool {
	if c.claiming[m.id] {
		return false
	}
	owner := m.rec.Owner
	if owner == c.node {
		return m.rec.Incarnation != c.inc
	}
	if c.isLive(owner) {
		return false
	}
	since, ok := c.deadSince[owner]
	if !ok {
		c.deadSince[owner] = now
		return false
	}
	return now-since > 2*micros.Second && home(m.id, live) == c.node
}

// claimMany claims machines without having heard from them, several in a commit,
// and asks their workers how things stand: a controller that has just started
// needn't wait for each worker to find it.
func (c *Core) claimMany(ms []*machine) {
	most := c.cfg.Facts.State.TxnOps
	for len(ms) > 0 {
		n := min(most, len(ms))
		batch := ms[:n]
		ms = ms[n:]
		t := protocol.Txn{}
		for _, m := range batch {
			c.claiming[m.id] = true
			rec := m.rec
			rec.Owner, rec.Incarnation = c.node, c.inc
			rec.Claim++
			key := bookkeeping.Key(bookkeeping.KindMachine, m.id)
			t.If = append(t.If, protocol.Cond{Key: key, Version: m.version})
			t.Then = append(t.Then, protocol.Op{Put: key, Value: protocol.MustMarshal(&rec)})
		}
		c.commit(bookkeeping.RankClaim, t, func(r protocol.StoreResult) {
			for _, m := range batch {
				delete(c.claiming, m.id)
				if r.Outcome == protocol.OK {
					c.show(c.view.machines[m.id])
				}
			}
			c.log.Debug("machines claimed", "count", len(batch), "outcome", r.Outcome.String())
		})
	}
}

// show asks a worker for its report. What it says is taken like any report: it
// proves nothing before the worker has seen our token.
func (c *Core) show(m *machine) {
	if m == nil || m.w == nil || m.rec.Endpoint == "" {
		return
	}
	w := m.w
	c.env.Command(m.rec.Endpoint, nil, commandWithin, func(r protocol.DoResult) {
		rep := &r.Report
		if m.w != w || r.Status != 200 || rep.Machine != m.id || !rep.Valid() ||
			rep.Session < w.session || rep.Session == w.session && rep.Seq <= w.seq {
			return
		}
		c.apply(m, rep)
		c.sync(m)
		c.dirty = true
	})
}

// setState changes a machine's state in the store.
func (c *Core) setState(m *machine, s bookkeeping.MachineState) {
	if c.stateBusy[m.id] {
		return
	}
	c.stateBusy[m.id] = true
	rec := m.rec
	rec.State = s
	key := bookkeeping.Key(bookkeeping.KindMachine, m.id)
	t := protocol.Txn{
		If:   []protocol.Cond{{Key: key, Version: m.version}},
		Then: []protocol.Op{{Put: key, Value: protocol.MustMarshal(&rec)}},
	}
	c.commit(bookkeeping.RankAssign, t, func(r protocol.StoreResult) {
		delete(c.stateBusy, m.id)
		if r.Outcome == protocol.OK {
			c.log.Debug("machine state", "machine", m.id, "state", string(s))
		}
	})
}

// remove asks for a machine's deletion, in the store, for the leader to do.
func (c *Core) remove(m *machine, reason string) {
	if c.stateBusy[m.id] {
		return
	}
	c.stateBusy[m.id] = true
	rec := m.rec
	rec.State = bookkeeping.MachineRemoving
	key, removal := bookkeeping.Key(bookkeeping.KindMachine, m.id), bookkeeping.Key(bookkeeping.KindRemoval, m.id)
	t := protocol.Txn{
		If: []protocol.Cond{{Key: key, Version: m.version}, {Key: removal, Version: 0}},
		Then: []protocol.Op{
			{Put: key, Value: protocol.MustMarshal(&rec)},
			{Put: removal, Value: protocol.MustMarshal(&bookkeeping.Removal{Reason: reason})},
		},
	}
	c.commit(bookkeeping.RankOutcome, t, func(r protocol.StoreResult) {
		delete(c.stateBusy, m.id)
		if r.Outcome == protocol.OK {
			c.log.Info("machine to be removed", "machine", m.id, "reason", reason, "type", rec.Type, "zone", rec.Zone, "tasks", len(m.tasks))
		}
	})
}
