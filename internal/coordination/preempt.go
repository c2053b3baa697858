package coordination

import (
	"sort"

	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
)

// preemptWait is how long room that was made for a job is waited for before
// more is made.
const preemptWait = 3 * micros.Second

// fetchWorth is how many CPU seconds of lost work for each of its CPUs a service
// is worth that starts beside its image rather than fetching it.
const fetchWorth = 24

// preemption is the room being made for a job.
type preemption struct {
	count int
	until micros.T
	on    map[string]bool // machines: what is free there until then is the job's
}

// victim is a running task of lower priority.
type victim struct {
	key  attemptKey
	need amount
	loss float64 // CPU seconds of work that stopping it throws away
}

// preempt stops tasks so that up to want tasks of a job get room on our machines;
// the cheapest loss first, see mayStop. For its priority only a service preempts:
// an array gains little by it and the work thrown away is paid for. It tells
// whether room is being made. With beside, only machines that have the job's
// image count, and only a small loss is worth it.
func (c *Core) preempt(j *job, want int, zones *zoneRule, cands []*candidate, beside bool, now micros.T) bool {
	p := c.preempting[j.id]
	if p != nil && now < p.until {
		return true
	}
	made, on := 0, map[string]bool{}
	for ; made < min(want, 8); made++ {
		var best *candidate
		var bestVictims []victim
		bestLoss := 0.0
		// A sample of machines is enough when there are many: the loss hardly
		// differs, and each look goes over all that runs there.
		for i := 0; i < min(len(cands), fullSearch); i++ {
			cd := cands[i]
			if len(cands) > fullSearch {
				cd = cands[c.env.Rand().IntN(len(cands))]
			}
			m := cd.m
			if !mayRun(&j.rec.Spec, cd.rec) || !zones.ok(cd.rec.Zone) || len(m.w.stopping) > 0 || !cd.keptFor(j) {
				continue
			}
			vs, loss, ok := c.victimsOn(m, j, cd.free, now)
			if !ok {
				continue
			}
			if !m.images[j.rec.Spec.Image] {
				loss += 8 * j.rec.Spec.ImageGB
			}
			if beside && (!m.images[j.rec.Spec.Image] || loss > fetchWorth*j.need.cpus) {
				continue
			}
			if best == nil || loss < bestLoss {
				best, bestVictims, bestLoss = cd, vs, loss
			}
		}
		if best == nil {
			break
		}
		for _, v := range bestVictims {
			best.m.w.stopping[v.key] = true
			c.log.Debug("task preempted", "task", v.key.ref.String(), "attempt", v.key.attempt,
				"machine", best.m.id, "for_job", j.id)
		}
		best.keep, on[best.m.id] = j.id, true
		c.sync(best.m)
	}
	if made == 0 {
		return false
	}
	c.dirty = true
	c.preempting[j.id] = &preemption{made, now + preemptWait, on}
	return true
}

// mayStop tells whether a task of v may be stopped for j: one of lower priority
// for a service; one that another team runs beyond its guarantee, so that j's team
// gets its own. The protocol would let that be of any priority; of a higher one it
// would be placed again first, and the two would stop each other for ever. Services with a
// disruption budget aren't stopped for others.
func (c *Core) mayStop(j, v *job) bool {
	if c.drains.protects(v) {
		return false
	}
	if v.rec.Spec.Priority < j.rec.Spec.Priority && j.rec.Spec.Service {
		return true
	}
	return v.rec.Spec.Team != j.rec.Spec.Team && !v.rec.Spec.Service && v.rec.Spec.Priority <= j.rec.Spec.Priority && c.guaranteed(j) && c.beyond(v.rec.Spec.Team, amount{})
}

// guaranteed tells whether a job's next task is owed to its team: the team has a
// guarantee and the task lies within it.
func (c *Core) guaranteed(j *job) bool {
	team, _ := c.team(j.rec.Spec.Team)
	return (team.CPUs > 0 || team.GPUs > 0) && c.owed(j)
}

// beyond tells whether a team uses more than its guarantee, less what is to be
// stopped of it.
func (c *Core) beyond(name string, less amount) bool {
	team, _ := c.team(name)
	use := c.view.teamUse[name].plus(less, -1)
	return use.cpus > team.CPUs+slack || use.gpus > team.GPUs+slack
}

// victimsOn picks the tasks of a machine whose stop makes room for one task of
// a job, with least work lost.
func (c *Core) victimsOn(m *machine, j *job, free amount, now micros.T) (vs []victim, loss float64, ok bool) {
	var all []victim
	for ref, attempt := range m.tasks {
		v := c.view.jobs[ref.job]
		if v == nil || !v.open() || !c.mayStop(j, v) || m.w.settled(attemptKey{ref, attempt}) {
			continue
		}
		k := attemptKey{ref, attempt}
		if t, has := m.w.rep[k]; has && t.State == protocol.StateExited {
			continue
		}
		ran := 0.0
		if at, ok := m.w.since[k]; ok {
			ran = (now - at).Seconds()
		}
		if cp := v.rec.Spec.CheckpointS; cp > 0 {
			ran = min(ran, cp)
		}
		all = append(all, victim{k, v.need, ran * v.need.cpus})
	}
	sort.Slice(all, func(a, b int) bool {
		if all[a].loss != all[b].loss {
			return all[a].loss < all[b].loss
		}
		return all[a].key.ref.String() < all[b].key.ref.String()
	})
	taken := map[string]amount{}
	for _, v := range all {
		if j.need.fits(free) {
			break
		}
		if s := &c.view.jobs[v.key.ref.job].rec.Spec; !j.rec.Spec.Service || s.Priority >= j.rec.Spec.Priority {
			// Only what its team has beyond its guarantee may go.
			if !c.beyond(s.Team, taken[s.Team]) {
				continue
			}
			taken[s.Team] = taken[s.Team].plus(v.need, 1)
		}
		free = free.plus(v.need, 1)
		loss += v.loss
		vs = append(vs, v)
	}
	return vs, loss, j.need.fits(free) && len(vs) > 0
}
