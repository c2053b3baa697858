package coordination

import (
	"math"
	"sort"

	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
)

// Idle-time work is what nobody has an aim for: arrays of the lowest priority that may
// use spot machines, of a team without a guarantee, with no deadline and no aim of their
// class. It uses room that is there and spot machines that pay, and gives way at once:
// a swarm's array of hours held half of the machines, ordinary ones rented for it, while
// leak-scan waited minutes for gaps.

// idleStart is how long idle-time work waits for such room before one ordinary machine
// may be rented for it: it must begin at some time, wherever nothing else is to be had.
const idleStart = micros.Minute

// idle tells whether a job is idle-time work.
func (c *Core) idle(j *job) bool {
	s := &j.rec.Spec
	if s.Service || !s.Spot || s.Priority != int(protocol.BestEffort) || s.DeadlineS > 0 {
		return false
	}
	team, _ := c.team(s.Team)
	return team.CPUs == 0 && team.GPUs == 0 && math.IsInf(c.begins(s)[0], 1)
}

// bound tells whether a job is held to spot machines and to what is there in any case:
// idle-time work, once it has begun or as long as it needn't have.
func (c *Core) bound(j *job) bool {
	return c.idle(j) && (j.done+j.held > 0 || micros.T(c.env.Wall()-j.rec.At) <= idleStart)
}

// yields tells whether a job's tasks give way to arrays of higher priority: nobody has an aim
// for them, their work can be saved, and their team uses more than it is owed. Work with an
// aim of its own is late for it if it is stopped, and begins again only when as much room is
// free at once: small urgent tasks had stopped tasks of whole machines hundreds of times.
func (c *Core) yields(j *job) bool {
	s := &j.rec.Spec
	return !s.Service && s.CheckpointS > 0 && j.open() && math.IsInf(c.begins(s)[0], 1) && c.beyond(s.Team, amount{})
}

// givesWay tells whether a running task may be stopped for any of higher priority.
func (c *Core) givesWay(j, v *job) bool {
	return v.rec.Spec.Priority < j.rec.Spec.Priority && c.yields(v)
}

// displace stops work that gives way, so that up to want tasks of a job get room on
// our machines: one look at each, as many tasks on each as it can make room for. It
// tells whether room is being made.
func (c *Core) displace(j *job, want int, zones *zoneRule, cands []*candidate, now micros.T) bool {
	if p := c.preempting[j.id]; p != nil && now < p.until {
		return true
	}
	made, on, save := 0, map[string]bool{}, 0.0
	for _, cd := range cands {
		if made >= want {
			break
		}
		m := cd.m
		if cd.held || !cd.keptFor(j) || len(m.w.stopping) > 0 || !mayRun(&j.rec.Spec, cd.rec) || !zones.ok(cd.rec.Zone) {
			continue
		}
		var vs []victim
		for ref, attempt := range m.tasks {
			k := attemptKey{ref, attempt}
			v := c.view.jobs[ref.job]
			if v == nil || !c.givesWay(j, v) || m.w.settled(k) {
				continue
			}
			if t, has := m.w.rep[k]; has && t.State == protocol.StateExited {
				continue
			}
			vs = append(vs, victim{k, v.need, v.rec.Spec.SaveS})
		}
		sort.Slice(vs, func(a, b int) bool {
			x, y := vs[a].key.ref, vs[b].key.ref
			return x.job < y.job || x.job == y.job && x.index > y.index // the last begun
		})
		free, taken := cd.free, 0
		for made < want {
			k, room := taken, free
			for k < len(vs) && !j.need.fits(room) {
				room = room.plus(vs[k].need, 1)
				k++
			}
			if k == taken || !j.need.fits(room) {
				break
			}
			taken, free = k, room.plus(j.need, -1)
			made++
		}
		if taken == 0 {
			continue
		}
		for _, v := range vs[:taken] {
			m.w.stopping[v.key] = true
			save = max(save, v.loss)
			c.log.Debug("scavenger task preempted", "task", v.key.ref.String(), "attempt", v.key.attempt,
				"machine", m.id, "for_job", j.id)
		}
		cd.keep, on[m.id] = j.id, true
		c.sync(m)
	}
	if made == 0 {
		return false
	}
	c.dirty = true
	c.preempting[j.id] = &preemption{made, now + preemptWait + micros.FromSeconds(save), on}
	return true
}
