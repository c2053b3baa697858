package coordination

import (
	"context"
	"hash/fnv"
	"log/slog"
	"math"
	"sort"

	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/config"
	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
)

// mostCommands bounds a batch to well under 64 KiB; the rest follows in the next.
const mostCommands = 400

// A worker waits so long for an answer before it turns to the next controller.
const workerWaits = 4 * micros.Second

// attemptKey names an attempt on a machine.
type attemptKey struct {
	ref     taskRef
	attempt uint64
}

// sent is what we have told a worker about an attempt.
type sent struct {
	runAt, killAt, reapAt micros.T
	kill                  uint64 // token of the first kill batch
}

// outcomeKind is what became of an attempt.
type outcomeKind uint8

const (
	outDone  outcomeKind = iota // completed
	outRetry                    // gone, the task is to be run again
)

// worker is what we know of a machine that we hold the claim on.
type worker struct {
	claim        uint64
	counter      uint64
	session, seq uint64
	rep          map[attemptKey]protocol.TaskReport
	repToken     uint64
	acked        bool // it has seen our claim's token

	// What came as a check-in, and when. A copy of one that came before is never
	// answered: it says nothing, and its answer would renew no lease.
	checkSession, checkSeq uint64
	checkAt                micros.T
	answeredAt             micros.T // when we last answered one: its lease may run from there
	sessionAt              micros.T // when we learned of its session: that may have begun then
	aliveAt                micros.T // when it last showed that our answers reach it
	asked                  uint64   // the token that it must show for that
	answered               uint64   // the token of our last answer
	misses                 int      // check-ins in a row without it
	lost                   bool     // its lease has surely ended since answeredAt

	outcomes   map[attemptKey]outcomeKind // not yet in the store
	sent       map[attemptKey]*sent
	busy       bool // a direct batch is in flight
	again      bool // and there is more to say afterwards
	noticed    bool
	quiet      bool
	removing   string                  // why it is to be given back
	stopping   map[attemptKey]bool     // preempted: to be stopped
	since      map[attemptKey]micros.T // first seen running
	failedJobs map[string]bool
	failed     int
	drag       float64 // how much longer than expected tasks run here: log, smoothed
	samples    int
}

func (w *worker) base() uint64  { return w.claim << 32 }
func (w *worker) token() uint64 { return w.claim<<32 | w.counter }

// reached tells whether the worker's last report showed that it takes up our
// answers. A machine that is heard needn't be one that hears.
func (w *worker) reached() bool { return w.repToken >= w.asked }

// told gives the notes about an attempt.
func (w *worker) told(k attemptKey) *sent {
	s := w.sent[k]
	if s == nil {
		s = &sent{}
		w.sent[k] = s
	}
	return s
}

// settle notes what became of an attempt until the store has it. It must not be
// forgotten before: a release that may still be applied must keep its attempt from
// being started again.
func (w *worker) settle(k attemptKey, o outcomeKind) {
	if _, ok := w.outcomes[k]; !ok {
		w.outcomes[k] = o
	}
}

// settled tells whether an attempt has an outcome on its way to the store.
func (w *worker) settled(k attemptKey) bool {
	_, ok := w.outcomes[k]
	return ok
}

// sighting is a worker of another part that came to us.
type sighting struct {
	first, last micros.T
	claim       uint64 // under which its owner held it
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

// ownership follows a change of the page that a machine stands in.
func (c *Core) ownership(m *machine) {
	mine := m.page != nil && c.owns(m.page)
	switch {
	case !mine:
		m.w = nil
	case m.w == nil || m.w.claim != m.claim():
		now := c.now()
		m.w = &worker{
			claim: m.claim(), asked: m.claim() << 32, checkAt: now, answeredAt: now, aliveAt: now,
			rep: map[attemptKey]protocol.TaskReport{}, outcomes: map[attemptKey]outcomeKind{}, sent: map[attemptKey]*sent{},
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
	m := c.view.machines[rep.Machine]
	if c.log.Enabled(context.Background(), slog.LevelDebug) {
		reply := answer
		answer = func(r Reply) {
			c.log.Debug("check-in", "machine", rep.Machine, "session", rep.Session, "seq", rep.Seq, "token", rep.Token, "tasks", len(rep.Tasks), "answer", r.Status, "waited_ms", (c.now() - now).Millis())
			reply(r)
		}
	}
	switch {
	case m != nil && m.w != nil:
		answer(c.report(m, &rep))
	case c.view.removal[rep.Machine] != "":
		// Deleted, or about to be: a report that was held back on its way must not
		// bring it to life again. Tasks were assigned to such ghosts.
		answer(errorReply(503, "machine is being given back"))
	case m != nil && m.rec != nil:
		c.stray(m, &rep, answer, now)
	default:
		c.newcomer(&rep, answer, now)
	}
}

// seen notes a worker of another part, and tells when this run of visits began. A
// new claim begins it anew: an owner that was gone for a moment and has claimed its
// machines again must have the time to be found by them.
func (c *Core) seen(id string, claim uint64, now micros.T) micros.T {
	s := c.sightings[id]
	if s == nil || now-s.last > 20*micros.Second || s.claim != claim {
		s = &sighting{first: now, claim: claim}
		c.sightings[id] = s
	}
	s.last = now
	return s.first
}

// stray answers a worker whose machine is another part's. A worker stays with a
// node that answers; one that comes to us has lost its owner, unless this is a
// copy of an old report. We take the machine over if its owner can't be the one
// who will be back for it in a moment, and the worker itself confirms its report.
func (c *Core) stray(m *machine, rep *protocol.Report, answer func(Reply), now micros.T) {
	owner := m.owner()
	member, live := c.view.members[owner]
	first := c.seen(m.id, m.claim(), now)
	lease := micros.FromSeconds(c.cfg.Facts.Workers.LeaseS)
	adopt := false
	switch {
	case owner == c.node:
		c.inherit(now) // an earlier life of ours
		c.arrive(rep, nil, answer)
		return
	case !live:
		if h := home(m.page.name, c.live()); h != c.node {
			answer(c.redirect(h))
			return
		}
		c.inherit(now)
		c.arrive(rep, nil, answer)
		return
	case member.rec.Incarnation != m.page.rec.Incarnation:
		answer(c.redirect(owner)) // it has just come back and claims its pages
		return
	case c.heard(owner, now):
		// It lives, or did a moment ago. A worker that had it for long and lost it
		// needn't be sent there again, its lease may not last for another round. One
		// that goes round because its owner was gone for a moment must find it: that
		// the owner has spoken to it since doesn't tell that it reports there.
		if now-first > lease/3 || rep.Token >= m.claim()<<32 && now-c.claimSeen[m.page.name].at > lease {
			// If it crashed just now, all its machines come, and it is back before they
			// would all have changed their pages: so its next word is waited for.
			claim := m.claim()
			c.env.After(slowTick+2*fastTick, func() {
				m := c.view.machines[rep.Machine]
				if c.peerSeen[owner] <= now || m == nil || m.rec == nil || m.w != nil || m.claim() != claim || m.owner() != owner {
					answer(c.redirect(""))
					return
				}
				c.takeOver(m, rep, answer)
			})
			return
		}
	default:
		// Crashed, perhaps back in a moment; or cut off, then its membership ends.
		adopt = now-first > lease/3
	}
	if !adopt {
		if c.heard(owner, now) {
			answer(c.redirect(owner))
		} else {
			answer(c.redirect(""))
		}
		return
	}
	c.takeOver(m, rep, answer)
}

// takeOver has a machine of another part claimed by us, if its worker itself confirms
// its report.
func (c *Core) takeOver(m *machine, rep *protocol.Report, answer func(Reply)) {
	from, owner := m.page, m.owner()
	c.verify(rep, true, func(ok bool) {
		if !ok {
			answer(c.redirect(owner))
			return
		}
		c.arrive(rep, from, answer)
	})
}

// heard tells whether a peer spoke to us lately.
func (c *Core) heard(peer string, now micros.T) bool {
	at, ok := c.peerSeen[peer]
	return ok && now-at < 3*slowTick
}

// verify asks a worker itself whether it stands where a report says. Copies of
// reports come late, and a machine may be heard that can't be reached: neither may
// cause a claim. exact: nothing may have passed since.
func (c *Core) verify(rep *protocol.Report, exact bool, back func(ok bool)) {
	c.env.Command(rep.Endpoint, nil, showWithin, func(r protocol.DoResult) {
		s := &r.Report
		back(r.Status == 200 && s.Machine == rep.Machine && s.Session == rep.Session && s.Seq > rep.Seq &&
			(!exact || s.Seq <= rep.Seq+1))
	})
}

// arrive has a machine taken into our pages by the next turn; from is the page of
// another part that it stands in. Without one, and in a page already, it waits for
// the claim that is on its way.
func (c *Core) arrive(rep *protocol.Report, from *page, answer func(Reply)) {
	a := c.arrivals[rep.Machine]
	if a == nil {
		a = &arrival{since: c.now()}
		c.arrivals[rep.Machine] = a
	}
	a.rep, a.from = *rep, from
	a.back = append(a.back, func(ok bool) {
		if m := c.view.machines[rep.Machine]; ok && m != nil && m.w != nil {
			answer(c.report(m, rep))
			return
		}
		if m := c.view.machines[rep.Machine]; m != nil && m.rec != nil && m.owner() != c.node && c.isLive(m.owner()) {
			answer(c.redirect(m.owner()))
			return
		}
		answer(errorReply(503, "claim not made"))
	})
	c.dirty = true
}

// designated names the controller that may claim a machine that comes up.
func (c *Core) designated(a *askView, id string) string {
	if to := a.rec.Own[id]; to != "" {
		return to
	}
	return home(id, a.rec.Live)
}

// newcomer answers a worker whose machine no part has claimed yet.
func (c *Core) newcomer(rep *protocol.Report, answer func(Reply), now micros.T) {
	name := c.view.askOf[rep.Machine]
	ask := c.view.asks[name]
	if ask == nil {
		// Its request isn't written yet, or it is one that nobody expects: the
		// leader finds it in the cloud's list.
		answer(c.redirect(""))
		return
	}
	to := c.designated(ask, rep.Machine)
	if to == c.node {
		if c.view.watched < ask.version {
			answer(c.redirect(""))
			return
		}
		c.verify(rep, false, func(ok bool) {
			if !ok {
				answer(c.redirect(""))
				return
			}
			c.arrive(rep, nil, answer)
		})
		return
	}
	// It has nothing on it yet, so there is no hurry; a request that is rewritten
	// makes the claims of all its other machines fail.
	if first := c.seen(rep.Machine, 0, now); now-first < micros.FromSeconds(c.cfg.Facts.Workers.LeaseS)/2 {
		if c.isLive(to) {
			answer(c.redirect(to))
		} else {
			answer(c.redirect("")) // the leader is about to name another
		}
		return
	}
	// It was sent there and has come back: it can't reach it. Say in the request
	// that it is ours; once that is written, nobody else's claim can follow.
	answer(c.redirect(""))
	key := bookkeeping.Key(bookkeeping.KindAsk, name)
	if c.jobBusy[key] || now < c.ownAt {
		return
	}
	c.ownAt = now + 2*micros.Second
	c.jobBusy[key] = true
	id := rep.Machine
	c.verify(rep, false, func(ok bool) {
		ask := c.view.asks[name]
		if !ok || ask == nil {
			delete(c.jobBusy, key)
			return
		}
		rec := ask.rec
		rec.Own = map[string]string{id: c.node}
		for k, v := range ask.rec.Own {
			if k != id {
				rec.Own[k] = v
			}
		}
		c.commit(bookkeeping.RankRest, protocol.Txn{
			If:   []protocol.Cond{{Key: key, Version: ask.version}},
			Then: []protocol.Op{{Put: key, Value: protocol.MustMarshal(&rec)}},
		}, func(protocol.StoreResult) { delete(c.jobBusy, key) })
	})
}

// report applies a worker's check-in and gives the answer.
func (c *Core) report(m *machine, rep *protocol.Report) Reply {
	w := m.w
	now := c.now()
	if rep.Session < w.checkSession || rep.Session == w.checkSession && rep.Seq <= w.checkSeq || rep.Session < w.session {
		return errorReply(503, "seen before") // a late copy
	}
	gap := now - w.checkAt
	w.checkSession, w.checkSeq, w.checkAt = rep.Session, rep.Seq, now
	jumped := w.session != 0 && rep.Session > w.session
	if rep.Session > w.session || rep.Seq > w.seq {
		c.apply(m, rep)
	}
	w.answeredAt = now
	if rep.Token < w.answered {
		w.misses++
	} else {
		w.misses = 0
	}
	cmds := c.commands(m, now)
	pause := 2*micros.FromSeconds(c.cfg.Facts.Workers.ReportS) + micros.Second
	if w.acked && (jumped || gap > pause || w.misses >= 2) && w.asked <= rep.Token {
		// It was away, or shows no effect of what we say: it must show a token that
		// only this answer can have brought it.
		if len(cmds) == 0 {
			w.counter++
		}
		w.asked = w.token()
	}
	w.answered = w.token()
	return Reply{Status: 200, Body: protocol.MustMarshal(&protocol.CheckinReply{Token: w.token(), Commands: cmds})}
}

// apply takes over a report that is newer than what we know.
func (c *Core) apply(m *machine, rep *protocol.Report) {
	w := m.w
	now := c.now()
	jumped := w.session != 0 && rep.Session > w.session
	if rep.Session > w.session {
		// A session has its lease from its own beginning, answered or not: what
		// direct commands start in it lives on though no report reaches us.
		w.sessionAt = now
	}
	w.session, w.seq = rep.Session, rep.Seq
	w.noticed = w.noticed || rep.NoticeS != nil
	w.repToken = rep.Token
	clear(w.rep)
	for i := range rep.Tasks {
		t := &rep.Tasks[i]
		if ref, ok := parseTask(t.Task); ok {
			w.rep[attemptKey{ref, t.Attempt}] = *t
		}
	}
	// A report from before the worker saw our claim may be older than the
	// previous owner's last commands: it proves nothing, not even that the
	// machine is still there.
	if rep.Token < w.base() {
		return
	}
	if !w.acked {
		// An earlier owner's answers were good until now.
		w.acked, w.answeredAt = true, now
	}
	if w.reached() {
		w.aliveAt = now
		if w.lost {
			w.lost = false
			c.log.Info("machine is back", "machine", m.id)
		}
	}
	// With a new session all that was there before is gone. That it has one though
	// we answered its last reports in time shows that our answers don't reach it:
	// then its tasks are better run elsewhere.
	deaf := jumped && now-w.answeredAt < micros.FromSeconds(c.cfg.Facts.Workers.LeaseS)-workerWaits
	for ref, attempt := range m.tasks {
		k := attemptKey{ref, attempt}
		t, has := w.rep[k]
		j := c.view.jobs[ref.job]
		if j == nil {
			continue
		}
		switch {
		case has && t.State == protocol.StateExited:
			kind := outRetry
			if t.Cause == protocol.CauseDone && !j.rec.Spec.Service {
				kind = outDone
			}
			c.noteExit(m, j, ref, &t)
			w.settle(k, kind)
		case !has && jumped && (deaf || !j.open() || w.stopping[k]):
			w.settle(k, outRetry)
		case !has && (!j.open() || w.stopping[k]):
			// Absent after a kill that outranks every batch with its run: it
			// isn't there and can't start any more.
			if s := w.sent[k]; s != nil && s.kill != 0 && rep.Token >= s.kill {
				w.settle(k, outRetry)
			}
		}
	}
	if len(w.outcomes) > 0 {
		c.dirty = true
	}
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

// commands works out what a worker must be told, reaps and kills before runs.
// A batch that isn't empty gets a token of its own, above all earlier ones, so
// a late copy of an earlier batch can't undo it.
func (c *Core) commands(m *machine, now micros.T) []protocol.Command {
	w := m.w
	cmds := []protocol.Command{}
	const again = micros.Second
	token := w.token() + 1
	add := func(op string, k attemptKey, grace float64) {
		cmd := protocol.Command{Op: op, Task: k.ref.String(), Attempt: k.attempt}
		if op == protocol.CmdKill {
			cmd.GraceS = &grace
		}
		cmds = append(cmds, cmd)
	}
	due := func(at *micros.T) bool {
		if len(cmds) >= mostCommands || *at != 0 && now-*at < again {
			return false
		}
		*at = max(now, 1)
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
				add(protocol.CmdReap, k, 0)
			}
		} else if due(&s.killAt) {
			add(protocol.CmdKill, k, 0)
		}
	}
	var runs []attemptKey
	for ref, attempt := range m.tasks {
		k := attemptKey{ref, attempt}
		j := c.view.jobs[ref.job]
		if j == nil {
			continue
		}
		t, has := w.rep[k]
		if has && t.State == protocol.StateExited || w.settled(k) {
			continue
		}
		if !j.open() || w.stopping[k] {
			s := w.told(k)
			if due(&s.killAt) {
				if s.kill == 0 {
					s.kill = token
				}
				grace := 0.0
				if j.open() && j.rec.Spec.CheckpointS > 0 {
					grace = j.rec.Spec.SaveS // its progress is worth saving
				}
				add(protocol.CmdKill, k, grace)
			}
			continue
		}
		if !has && !w.lost {
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
		if due(&w.told(k).runAt) {
			add(protocol.CmdRun, k, 0)
		}
	}
	if len(cmds) > 0 {
		w.counter++
	}
	return cmds
}

// syncJob tells every worker of ours that has tasks of a job.
func (c *Core) syncJob(j *job) {
	seen := map[string]bool{}
	for _, p := range c.view.pages {
		e := p.rec.Jobs[j.id]
		if e == nil || !c.owns(p) {
			continue
		}
		for _, h := range e.Held {
			if m := c.view.machines[h.Machine]; !seen[h.Machine] && m != nil && m.w != nil {
				seen[h.Machine] = true
				c.sync(m)
			}
		}
	}
}

// sync tells a worker directly what its next report would bring it. One batch
// is in flight at a time.
func (c *Core) sync(m *machine) {
	w := m.w
	if w == nil || w.session == 0 || w.lost || m.rec == nil {
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
					s := w.told(attemptKey{ref, cmd.Attempt})
					s.runAt, s.killAt, s.reapAt = 0, 0, 0
				}
			}
		}
		rep := &r.Report
		if r.Status != 0 && rep.Machine == m.id && rep.Valid() &&
			(rep.Session > w.session || rep.Session == w.session && rep.Seq > w.seq) {
			c.apply(m, rep)
		}
		if w.again && r.Status == 200 {
			w.again = false
			c.sync(m)
		}
	})
}

// noteExit learns from how an attempt ended.
func (c *Core) noteExit(m *machine, j *job, ref taskRef, t *protocol.TaskReport) {
	w := m.w
	if w.settled(attemptKey{ref, t.Attempt}) {
		return
	}
	switch t.Cause {
	case protocol.CauseDone:
		if at, ok := w.since[attemptKey{ref, t.Attempt}]; ok && !j.rec.Spec.Service {
			w.measure((c.now() - at).Seconds(), c.expected(&j.rec.Spec))
			c.learn(&j.rec.Spec, (c.now() - at).Seconds())
		}
		w.failed, w.failedJobs = 0, map[string]bool{}
		if js := c.jobState[j.id]; js != nil {
			js.fails, js.step, js.until = 0, 0, 0
			clear(js.failedOn)
		}
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
	fails      int
	failedOn   map[string]bool
	until      micros.T // not to be placed before
	step       micros.T
	most       int      // tasks that it had begun when it last got on
	due        int      // tasks that it is to have begun before it is starved no more
	movedAt    micros.T // when that was
	handedAt   micros.T // when its tasks were last handed to another part
	overAt     micros.T // when its answer was seen; 0: before we looked
	taken      int      // tasks that we have just taken over from other parts
	takenUntil micros.T
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
	for id, s := range c.sightings {
		if now-s.last > micros.Minute {
			delete(c.sightings, id)
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
	zones := map[string]*hearing{}
	for _, m := range c.view.machines {
		if m.w == nil || m.rec == nil {
			continue
		}
		ours++
		away := now-m.w.aliveAt > 2*report
		if away {
			quiet++
		}
		z := zones[m.rec.Zone]
		if z == nil {
			z = &hearing{}
			zones[m.rec.Zone] = z
		}
		z.count(away, m.w.session == 0)
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
		silent := now - w.aliveAt
		if !w.lost && w.acked && now-max(w.answeredAt, w.sessionAt) > proof {
			w.lost, w.acked = true, false
			lost++
			tasks += len(m.tasks)
			for ref, attempt := range m.tasks {
				w.settle(attemptKey{ref, attempt}, outRetry)
			}
			c.dirty = true
		}
		if q := silent > patience || w.faulty(); q != w.quiet {
			w.quiet = q
			c.dirty = true
		}
		// A zone that is cut off comes back with its machines, each within a lease: to
		// delete them for their silence would have its room wait for boots then. Not
		// so where services are: a deletion lets them start elsewhere.
		at, cut := c.zoneCut[m.rec.Zone]
		cut = cut && now-at < lease && !c.holdsService(m)
		giveUp, overdue := proof+2*report, micros.T(0)
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
		case w.faulty():
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

// remove has a machine given back: our page says so, and the leader deletes it.
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
type hearing struct{ machines, silent int }

// count adds a machine; one that was claimed just now and has had no time to be
// heard says nothing about its zone.
func (h *hearing) count(away, unheard bool) {
	if unheard && !away {
		return
	}
	h.machines++
	if away {
		h.silent++
	}
}

// cut tells whether a zone as a whole has fallen silent.
func (h *hearing) cut() bool { return h != nil && h.silent >= 3 && 4*h.silent >= 3*h.machines }

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

// show asks a worker for its report. What it says is taken like any report: it
// proves nothing before the worker has seen our token. It isn't told anything yet
// if its machine was another controller's, who may still be answering it: a
// higher token would have it drop those answers and its lease would end.
func (c *Core) show(m *machine, speak bool) {
	if m == nil || m.w == nil || m.rec == nil {
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
		if speak {
			c.sync(m)
		}
		c.dirty = true
	})
}
