package coordination

import (
	"sort"

	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
)

// mostCommands bounds a batch to well under 64 KiB; the rest follows in the next.
const mostCommands = 400

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
	var unexpected []attemptKey
	for k := range w.rep {
		if attempt, ok := m.tasks[k.ref]; !ok || attempt != k.attempt {
			unexpected = append(unexpected, k)
		}
	}
	inOrderOf(unexpected)
	for _, k := range unexpected {
		s, t := w.told(k), w.rep[k]
		if t.State == protocol.StateExited {
			// Its outcome is in the store, or nobody wants it.
			if due(&s.reapAt) {
				add(protocol.CmdReap, k, 0)
			}
		} else if due(&s.killAt) {
			add(protocol.CmdKill, k, 0)
		}
	}
	var kills, runs []attemptKey
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
			kills = append(kills, k)
			continue
		}
		if !has && !w.lost {
			runs = append(runs, k)
		}
	}
	inOrderOf(kills)
	for _, k := range kills {
		if s := w.told(k); due(&s.killAt) {
			if s.kill == 0 {
				s.kill = token
			}
			grace := 0.0
			if j := c.view.jobs[k.ref.job]; j.open() && j.rec.Spec.CheckpointS > 0 {
				grace = j.rec.Spec.SaveS // its progress is worth saving
			}
			add(protocol.CmdKill, k, grace)
		}
	}
	inOrderOf(runs)
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

// inOrderOf sorts attempts by job and task.
func inOrderOf(ks []attemptKey) {
	sort.Slice(ks, func(a, b int) bool {
		x, y := ks[a], ks[b]
		if x.ref.job != y.ref.job {
			return x.ref.job < y.ref.job
		}
		if x.ref.index != y.ref.index {
			return x.ref.index < y.ref.index
		}
		return x.attempt < y.attempt
	})
}

// syncJob tells every worker of ours that has tasks of a job.
func (c *Core) syncJob(j *job) {
	noteVisit := map[string]bool{}
	for _, name := range sortedKeys(c.view.shards) {
		p := c.view.shards[name]
		e := p.rec.Jobs[j.id]
		if e == nil || !c.owns(p) {
			continue
		}
		for _, h := range e.Held {
			if m := c.view.machines[h.Machine]; !noteVisit[h.Machine] && m != nil && m.w != nil {
				noteVisit[h.Machine] = true
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
