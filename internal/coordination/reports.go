package coordination

import (
	"context"
	"log/slog"

	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
)

// orphanVisit is a worker of another partition that came to us.
type orphanVisit struct {
	first, last micros.T
	claim       uint64 // under which its owner held it
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
	if c.outdated(now) {
		// It may have waited here for as long as we stood still.
		answer(errorReply(503, "stood still"))
		return
	}
	if c.mustLetLeasesExpire(now) {
		answer(errorReply(503, "cut off from the state service"))
		return
	}
	m := c.view.machines[rep.Machine]
	if c.log.Enabled(context.Background(), slog.LevelDebug) {
		reply := answer
		answer = func(r Reply) {
			c.log.Debug("heartbeat", "machine", rep.Machine, "agent_incarnation", rep.Session, "seq", rep.Seq,
				"fencing_token", rep.Token, "tasks", len(rep.Tasks), "status", r.Status,
				"waited_ms", (c.now() - now).Millis())
			reply(r)
		}
	}
	switch {
	case m != nil && m.w != nil && c.sendsElsewhere(m.w, now):
		answer(errorReply(503, "cut off from all others"))
	case m != nil && m.w != nil:
		answer(c.report(m, &rep))
	case c.view.removal[rep.Machine] != "":
		// Deleted, or about to be: a report that was held back on its way must not
		// bring it to life again. Tasks were assigned to such ghosts.
		answer(errorReply(503, "machine is being given back"))
	case m != nil && m.rec != nil:
		c.orphanedWorker(m, &rep, answer, now)
	default:
		c.unknownWorker(&rep, answer, now)
	}
}

// noteVisit notes a worker of another partition, and tells when this run of visits began. A
// new claim begins it anew: an owner that was gone for a moment and has claimed its
// machines again must have the time to be found by them.
func (c *Core) noteVisit(id string, claim uint64, now micros.T) micros.T {
	s := c.orphanVisits[id]
	if s == nil || now-s.last > 20*micros.Second || s.claim != claim {
		s = &orphanVisit{first: now, claim: claim}
		c.orphanVisits[id] = s
	}
	s.last = now
	return s.first
}

// orphanedWorker answers a worker whose machine is another partition's. A worker stays with a
// node that answers; one that comes to us has lost its owner, unless this is a
// copy of an old report. We take the machine over if its owner can't be the one
// who will be back for it in a moment, and the worker itself confirms its report.
func (c *Core) orphanedWorker(m *machine, rep *protocol.Report, answer func(Reply), now micros.T) {
	owner := m.owner()
	member, live := c.view.members[owner]
	first := c.noteVisit(m.id, m.claim(), now)
	adopt := false
	switch {
	case owner == c.node:
		c.claimOrphaned(now) // an earlier life of ours
		c.arrive(rep, nil, answer)
		return
	case !live:
		if h := home(m.shard.name, c.able()); h != c.node {
			answer(c.redirect(h))
			return
		}
		c.claimOrphaned(now)
		c.arrive(rep, nil, answer)
		return
	case member.rec.Incarnation != m.shard.rec.Incarnation:
		answer(c.redirect(owner)) // it has just come back and claims its shards
		return
	case c.heard(owner, now):
		// It lives, or did a moment ago. A worker that had it for long and lost it
		// needn't be sent there again, its lease may not last for another round. One
		// that goes round because its owner was gone for a moment must find it: that
		// the owner has spoken to it since doesn't tell that it reports there.
		if now-first > c.timing.adoption || rep.Token >= m.claim()<<32 && now-c.claimSeen[m.shard.name].at > c.timing.lease {
			// If it crashed just now, all its machines come, and it is back before they
			// would all have changed their shards: so its next word is waited for.
			claim := m.claim()
			c.env.After(slowTick+2*fastTick, func() {
				m := c.view.machines[rep.Machine]
				silent := c.peers.get(owner).heardAt <= now
				if silent && !c.lastRound(owner, c.now()) || m == nil || m.rec == nil || m.w != nil || m.claim() != claim || m.owner() != owner {
					answer(c.redirect(""))
					return
				}
				c.takeOver(m, rep, answer)
			})
			return
		}
	default:
		// Crashed, perhaps back in a moment; or cut off, then its membership ends.
		adopt = now-first > c.timing.adoption || c.lastRound(owner, now)
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

// takeOver has a machine of another partition claimed by us, if its worker itself confirms
// its report.
func (c *Core) takeOver(m *machine, rep *protocol.Report, answer func(Reply)) {
	from, owner := m.shard, m.owner()
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
	p := c.peers.get(peer)
	return p.hasSpoken && now-p.heardAt < 3*slowTick
}

// unheardFor tells for how long a peer hasn't spoken to us.
func (c *Core) unheardFor(peer string, now micros.T) micros.T { return now - c.peers.get(peer).heardAt }

// lastRound tells whether a worker that has lost a silent owner must be adopted now: if it
// goes round all controllers once more, waiting at each that says nothing, its lease may
// end on the way. Whoever is still a member for longer than that takes lives, but won't be
// found on another round either.
func (c *Core) lastRound(owner string, now micros.T) bool {
	round := workerPause
	for _, peer := range c.cfg.Known {
		round += workerPause
		if !c.heard(peer.Node, now) {
			round += workerWaits
		}
	}
	unheard := c.unheardFor(owner, now)
	return unheard > c.timing.membership || unheard+round > c.timing.lease-c.timing.report
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

// arrive has a machine taken into our shards by the next pass; from is the shard of
// another partition that it stands in. Without one, and in a shard already, it waits for
// the claim that is on its way.
func (c *Core) arrive(rep *protocol.Report, from *shard, answer func(Reply)) {
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
func (c *Core) designated(a *rentalView, id string) string {
	if to := a.rec.Own[id]; to != "" {
		return to
	}
	return home(id, a.rec.Live)
}

// unknownWorker answers a worker whose machine no part has claimed yet.
func (c *Core) unknownWorker(rep *protocol.Report, answer func(Reply), now micros.T) {
	name := c.view.rentalOf[rep.Machine]
	rental := c.view.rentals[name]
	if rental == nil {
		// Its request isn't written yet, or it is one that nobody expects: the
		// leader finds it in the cloud's list.
		answer(c.redirect(""))
		return
	}
	to := c.designated(rental, rep.Machine)
	if to == c.node {
		if c.view.watched < rental.version {
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
	if first := c.noteVisit(rep.Machine, 0, now); now-first < c.timing.lease/2 {
		if c.isLive(to) && !c.cutOff(to, now) {
			answer(c.redirect(to))
		} else {
			answer(c.redirect("")) // the leader is about to name another
		}
		return
	}
	// It was sent there and has come back: it can't reach it. Say in the request
	// that it is ours; once that is written, nobody else's claim can follow.
	answer(c.redirect(""))
	key := bookkeeping.Key(bookkeeping.KindRental, name)
	if c.jobBusy[key] || now < c.ownAt {
		return
	}
	c.ownAt = now + 2*micros.Second
	c.jobBusy[key] = true
	id := rep.Machine
	c.verify(rep, false, func(ok bool) {
		rental := c.view.rentals[name]
		if !ok || rental == nil {
			delete(c.jobBusy, key)
			return
		}
		rec := rental.rec
		rec.Own = map[string]string{id: c.node}
		for k, v := range rental.rec.Own {
			if k != id {
				rec.Own[k] = v
			}
		}
		c.commit(bookkeeping.RankRest, protocol.Txn{
			If:   []protocol.Cond{{Key: key, Version: rental.version}},
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
	if w.acked && (jumped || gap > c.timing.alive || w.misses >= 2) && w.asked <= rep.Token {
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
			c.log.Info("machines lost", "state", conditionEnd, "machine", m.id)
		}
	}
	// With a new session all that was there before is gone. That it has one though
	// we answered its last reports in time shows that our answers don't reach it:
	// then its tasks are better run elsewhere.
	deaf := jumped && now-w.answeredAt < c.timing.lease-workerWaits
	var ended []attemptKey
	for ref, attempt := range m.tasks {
		k := attemptKey{ref, attempt}
		t, has := w.rep[k]
		j := c.view.jobs[ref.job]
		if j == nil {
			continue
		}
		switch {
		case has && t.State == protocol.StateExited:
			ended = append(ended, k)
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
	inOrderOf(ended)
	for _, k := range ended {
		t, j, kind := w.rep[k], c.view.jobs[k.ref.job], outRetry
		if t.Cause == protocol.CauseDone && !j.rec.Spec.Service {
			kind = outDone
		}
		c.noteExit(m, j, k.ref, &t)
		w.settle(k, kind)
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
