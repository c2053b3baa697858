package coordination

import (
	"math"
	"sort"

	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/micros"
)

// standing is a job's place in the order of urgency.
type standing struct {
	job    *job
	slack  float64 // seconds that it may still wait
	work   float64 // CPU seconds that wait
	missed int     // aims that it can't meet any more
	urgent bool    // past its first aims, and soon past the next
	owed   bool    // its team is within its guarantee
	hungry bool    // got nothing for long, see starved
	last   bool    // it fails everywhere: an occasional try, after all others
}

// before orders jobs: higher priority first; of the same priority those first
// whose team doesn't yet use its guarantee, then those that can still meet the
// first of their aims, then those that can meet the next, the least waiting work
// first; last, the oldest first, what can meet none. Past what can be done, going
// by the deadline would have every job end just after its own: a few large ones
// wait instead, not without limit, and the many others are in time.
// Those few must not wait for ever either: shortly before the next of its aims
// passes, a job that is past its first ones goes before all that are in time.
// Before all other arrays, whatever their priority, comes one that has been
// waiting in vain for long, with a partition of its tasks.
func (a standing) before(b standing) bool {
	x, y := a.job, b.job
	if a.last != b.last {
		return b.last
	}
	if a.hungry != b.hungry {
		if a.hungry {
			return !y.rec.Spec.Service
		}
		return x.rec.Spec.Service
	}
	if x.rec.Spec.Priority != y.rec.Spec.Priority {
		return x.rec.Spec.Priority > y.rec.Spec.Priority
	}
	if a.owed != b.owed {
		return a.owed
	}
	if a.urgent != b.urgent {
		return a.urgent
	}
	if a.missed != b.missed && !a.urgent {
		return a.missed < b.missed
	}
	if a.slack >= 0 && b.slack >= 0 && a.work != b.work {
		return a.work < b.work
	}
	if x.rec.At != y.rec.At {
		return x.rec.At < y.rec.At
	}
	return x.id < y.id
}

// openJobs lists jobs with unplaced tasks, the most urgent first.
func (c *Core) openJobs() []*job {
	var all []standing
	wall, now := c.env.Wall(), c.now()
	for _, j := range c.view.jobs {
		if j.open() && j.waiting() > 0 {
			slack, missed := c.slack(j, wall)
			work := float64(j.waiting()) * j.need.cpus * c.expected(&j.rec.Spec)
			urgent := missed >= lateAims && slack >= 0 && slack < lastChance
			st := standing{j, slack, work, missed, urgent, c.owed(j), c.starved(j, now), c.mistakes(j)}
			if st.last {
				st.urgent, st.owed, st.hungry = false, false, false
			}
			all = append(all, st)
		}
	}
	c.rescue(all, wall)
	sort.Slice(all, func(a, b int) bool { return all[a].before(all[b]) })
	out := make([]*job, len(all))
	for i := range all {
		out[i] = all[i].job
	}
	return out
}

// rescue leaves urgent, of each team's late jobs that are, those with the least work,
// as far as late jobs hold no more than a partition of what the team can use. After a burst
// most that waits is late; were all of it to go first, all that comes after would be
// late too. What they hold counts, not what waits: others become urgent as these go.
func (c *Core) rescue(all []standing, wall int64) {
	var late []*standing
	for i := range all {
		if all[i].urgent {
			late = append(late, &all[i])
		}
	}
	if len(late) == 0 {
		return
	}
	there := 0.0
	for _, m := range c.view.machines {
		if m.rec != nil && m.rec.State == bookkeeping.MachineOpen {
			there += c.types[m.rec.Type].CPUs
		}
	}
	hold := map[string]float64{}
	for _, j := range c.view.jobs {
		if j.held > 0 && !j.rec.Spec.Service {
			if _, missed := c.slack(j, wall); missed >= lateAims {
				hold[j.rec.Spec.Team] += float64(j.held) * j.need.cpus
			}
		}
	}
	sort.Slice(late, func(a, b int) bool {
		if late[a].work != late[b].work {
			return late[a].work < late[b].work
		}
		return late[a].job.id < late[b].job.id
	})
	for _, s := range late {
		name := s.job.rec.Spec.Team
		can := there
		if team, _ := c.team(name); team.CPUsMax > 0 {
			can = min(can, team.CPUsMax)
		}
		if hold[name] > rescuePart*can {
			s.urgent = false
			continue
		}
		hold[name] += float64(s.job.waiting()) * s.job.need.cpus
	}
}

// pressed tells whether a job has an aim that it can still meet if it doesn't wait
// for long.
func (c *Core) pressed(j *job, wall int64) bool {
	slack, _ := c.slack(j, wall)
	return slack >= 0 && !math.IsInf(slack, 1)
}

// starved tells whether an array has got nothing for a long time: under lasting
// load those that are late already, large or of low priority would never have
// their turn, and a class, a team or the largest jobs would go unserved.
func (c *Core) starved(j *job, now micros.T) bool {
	if j.rec.Spec.Service {
		return false
	}
	n := c.jobNotes(j.id)
	got := j.done + j.held
	if n.movedAt == 0 { // first seen: it may have waited before we began
		n.movedAt = max(1, now)
		if got == 0 {
			n.movedAt = max(1, now-micros.T(min(max(0, c.env.Wall()-j.rec.At), int64(2*fairAfter))))
		}
	}
	if got > n.most {
		n.most, n.movedAt = got, now
	}
	if got < n.due {
		return true // room comes bit by bit
	}
	after := fairAfter
	if n.most > 0 {
		if c.idle(j) {
			return false
		}
		after = fairAgain
	}
	if now-n.movedAt <= after {
		return false
	}
	n.due = got + max(1, j.waiting()/fairPart)
	if c.idle(j) {
		n.due = got + 1 // that it begins; the rest is for idle time
	}
	return true
}

// owed tells whether one more task of a job lies within its team's guarantee.
func (c *Core) owed(j *job) bool {
	team, _ := c.team(j.rec.Spec.Team)
	use := c.view.teamUse[j.rec.Spec.Team].plus(j.need, 1)
	return use.cpus <= team.CPUs+slack && use.gpus <= team.GPUs+slack
}
