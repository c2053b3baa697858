package coordination

import (
	"fmt"
	"math"
	"sort"

	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
)

// Bounds of a pass.
const (
	mostAPass  = 600 // machines rented in a pass
	bootWeight = 60  // seconds: boot time that makes an offer look twice as dear
)

// unmet lists the offers that are sidelined.
func (c *Core) unmet() map[offer]bool {
	out := map[offer]bool{}
	for _, a := range c.view.rentals {
		if a.rec.Phase == bookkeeping.RentalUnmet {
			out[offer{a.rec.Type, a.rec.Zone, a.rec.Spot}] = true
		}
	}
	return out
}

// demands lists the unplaced tasks that teams' limits let run, and the room
// there is for them: machines that are there, and open requests.
func (c *Core) demands(now micros.T) ([]*demand, []*bin) {
	waiting := append(c.unplacedTasks(now), c.drains.demands()...)
	return waiting, append(c.machineBins(), c.requestedBins()...)
}

// unplacedTasks lists the tasks without room that teams' limits let run.
func (c *Core) unplacedTasks(now micros.T) []*demand {
	var out []*demand
	teamLeft := map[string]amount{}
	for i, j := range c.openJobs() {
		spec := &j.rec.Spec
		if s := c.jobState[j.id]; s != nil && now < s.until {
			continue
		}
		mistaken := c.mistakes(j)
		if mistaken && !c.mayRent(j, now) {
			continue // it is tried in what room there is
		}
		left, ok := teamLeft[spec.Team]
		if !ok {
			team, _ := c.team(spec.Team)
			left = team.left(c.view.teamUse[spec.Team])
		}
		n := min(j.waiting(), j.need.count(left))
		teamLeft[spec.Team] = left.plus(j.need, -float64(n))
		if n == 0 {
			continue
		}
		slack, _ := c.slack(j, c.env.Wall())
		d := &demand{spec: spec, need: j.need, count: n, job: j.id, index: i, zones: newZoneRule(c.view, j),
			slack: slack, lasts: c.expected(spec), idle: c.bound(j)}
		if !d.idle && c.idle(j) || mistaken {
			d.count, d.try = 1, mistaken
		}
		out = append(out, d)
	}
	return out
}

// machineBins lists the machines that may get tasks.
func (c *Core) machineBins() []*bin {
	var out []*bin
	for _, id := range sortedKeys(c.view.machines) {
		m := c.view.machines[id]
		if m.rec == nil || m.rec.State != bookkeeping.MachineOpen {
			continue
		}
		t, ok := c.types[m.rec.Type]
		if !ok {
			continue
		}
		size := capacity(&t)
		b := &bin{typ: m.rec.Type, zone: m.rec.Zone, spot: m.rec.Spot, size: size, free: size.plus(m.used, -1), machine: id}
		c.expectedRoom(b, m)
		out = append(out, b)
	}
	return out
}

// requestedBins lists the machines that open requests will bring: they are supply.
func (c *Core) requestedBins() []*bin {
	var out []*bin
	for _, name := range sortedKeys(c.view.rentals) {
		a := c.view.rentals[name]
		t, ok := c.types[a.rec.Type]
		if !ok || a.rec.Phase == bookkeeping.RentalUnmet {
			continue
		}
		coming, late := c.stillComing(a, t.BootS)
		for range coming {
			out = append(out, &bin{typ: a.rec.Type, zone: a.rec.Zone, spot: a.rec.Spot, size: capacity(&t), free: capacity(&t),
				rate: t.CPUs, boot: t.BootS, late: late})
		}
	}
	return out
}

// stillComing tells how many machines a request may be relied on to bring, and whether they
// are late already.
func (c *Core) stillComing(a *rentalView, bootS float64) (machines int, late bool) {
	if a.rec.Phase != bookkeeping.RentalProvisioning {
		return a.rec.Count, false
	}
	if c.set.OverdueBoot > 0 {
		boots := micros.T(c.env.Wall()-a.rec.At).Seconds() / max(bootS, 1)
		if boots > 1.5*c.set.OverdueBoot {
			return 0, false // those that are missing are slow or dead: no longer to be relied on
		}
		late = boots > c.set.OverdueBoot
	}
	return len(c.missing(a)), late
}

// expectedRoom estimates what a machine can give to waiting tasks: what its
// services hold is out, and its other tasks are taken to be half through.
func (c *Core) expectedRoom(b *bin, m *machine) {
	t := c.types[b.typ]
	b.rate, b.boot = t.CPUs, t.BootS
	for ref := range m.tasks {
		j := c.view.jobs[ref.job]
		if j == nil {
			continue
		}
		if j.rec.Spec.Service {
			b.rate -= j.need.cpus
		} else {
			b.stoppable = b.stoppable.plus(j.need, 1)
			if c.yields(j) {
				if b.yields == nil {
					b.yields = map[int]amount{}
				}
				priority := j.rec.Spec.Priority
				b.yields[priority] = b.yields[priority].plus(j.need, 1)
				continue // it isn't waited for, it gives way
			}
			lasts := c.expected(&j.rec.Spec)
			b.busy += exact(j.need.cpus * lasts / 2)
			b.running = append(b.running, runningTask{exact(j.need.cpus), exact(lasts)})
		}
	}
}

// doubt stretches estimates: they are wrong, and images must be fetched.
const doubt = 1.2

// begins are the times by which the users' aims would have a job's tasks begin, in
// seconds from its submission, the shortest first: multiples of its deadline and the
// times within which its class is to be finished, less its run; the times within
// which its class is to have started. Without any of them it has no such time.
func (c *Core) begins(s *bookkeeping.Spec) []float64 {
	run := doubt * c.expected(s)
	var out []float64
	due := false
	for _, o := range c.cfg.Facts.Objectives {
		switch {
		case o.Class != s.Class || s.Service:
		case o.Kind == "finished":
			out = append(out, o.WithinS-run)
		case o.Kind == "wait":
			out = append(out, o.WithinS)
		case o.Kind == "deadline" && s.DeadlineS > 0 && o.Times > 0:
			out = append(out, o.Times*s.DeadlineS-run)
			due = true
		}
	}
	if !due && s.DeadlineS > 0 {
		out = append(out, s.DeadlineS-run)
	}
	if len(out) == 0 {
		return []float64{math.Inf(1)}
	}
	sort.Float64s(out)
	return out
}

// slack tells how many seconds a job's waiting tasks may still wait and meet the
// first of its aims that can still be met, and how many can't.
func (c *Core) slack(j *job, wall int64) (seconds float64, missed int) {
	age := micros.T(wall - j.rec.At).Seconds()
	begins := c.begins(&j.rec.Spec)
	for missed < len(begins) && begins[missed] < age {
		missed++
	}
	return begins[min(missed, len(begins)-1)] - age, missed
}

// offers lists what may be rented now.
func (c *Core) offers() []*offerInfo {
	heard := c.heardByZone()
	c.noteCutZones(heard)
	unmet, inZone := c.unmet(), c.machinesByZone()
	var out []*offerInfo
	for _, name := range sortedKeys(c.types) {
		t := c.types[name]
		for _, zone := range t.Zones {
			if c.leader.cut[zone] {
				continue // what is rented there would wait, paid for, until it is back
			}
			for _, spot := range []bool{true, false} {
				o := offer{name, zone, spot}
				price := rentalPrice(&t, spot)
				if unmet[o] || price <= 0 || c.drains.closes(o) {
					continue
				}
				out = append(out, &offerInfo{offer: o, capacity: capacity(&t), price: price, have: inZone[zone]})
			}
		}
	}
	return out
}

// rentalPrice is an offer's price, with the boot time on top: that is paid for too, and keeps
// tasks waiting.
func rentalPrice(t *protocol.MachineType, spot bool) float64 {
	price := t.Price
	if spot {
		price = t.SpotPrice
	}
	return price * (1 + t.BootS/bootWeight)
}

// heardByZone counts each zone's machines, and which of them are silent.
func (c *Core) heardByZone() map[string]*heardCount {
	heard := map[string]*heardCount{}
	for _, m := range c.view.machines {
		if m.rec == nil {
			continue
		}
		if heard[m.rec.Zone] == nil {
			heard[m.rec.Zone] = &heardCount{}
		}
		heard[m.rec.Zone].count(m.rec.State == bookkeeping.MachineQuiet, m.rec.State != bookkeeping.MachineOpen)
	}
	return heard
}

// machinesByZone counts the machines that are there or requested.
func (c *Core) machinesByZone() map[string]int {
	count := map[string]int{}
	for _, m := range c.view.machines {
		if m.rec != nil {
			count[m.rec.Zone]++
		}
	}
	for _, a := range c.view.rentals {
		if a.rec.Phase != bookkeeping.RentalUnmet {
			count[a.rec.Zone] += a.rec.Count
		}
	}
	return count
}

// noteCutZones follows which zones have fallen silent as a whole.
func (c *Core) noteCutZones(heard map[string]*heardCount) {
	for zone := range c.leader.cut {
		if !heard[zone].cut() {
			delete(c.leader.cut, zone)
			c.leader.recover++
			c.log.Info("zone unreachable", "state", conditionEnd, "zone", zone)
		}
	}
	for _, zone := range sortedKeys(heard) {
		if z := heard[zone]; z.cut() && !c.leader.cut[zone] {
			c.leader.cut[zone] = true
			c.log.Info("zone unreachable", "state", conditionBegin, "zone", zone,
				"machines", z.machines, "machines_unreachable", z.silent)
		}
	}
}

// pass is the design's: demand net of room and open requests, then rentals,
// then empty machines.
func (c *Core) pass(now micros.T) {
	if c.types == nil {
		return
	}
	ds, bins := c.unmetDemand(now)
	c.forgetPlaced(ds)
	wanted := c.wantedDemand(ds, now)
	before := map[string]int{}
	for _, d := range wanted {
		before[d.job] = d.count
	}
	chosen := c.choosePlan(wanted, bins)
	for _, d := range wanted {
		c.backOff(d, d.count < before[d.job], now)
	}
	for _, o := range inOrder(chosen) {
		for n := chosen[o]; n > 0; n -= mostARent {
			c.rental(o, min(n, mostARent))
		}
	}
}

// unmetDemand is what finds no room in the machines that are there or requested, headroom
// included.
func (c *Core) unmetDemand(now micros.T) ([]*demand, []*bin) {
	ds, bins := c.demands(now)
	for _, d := range ds {
		if d.try {
			c.jobNotes(d.job).askedAt = max(now, 1)
		}
	}
	largestFirst(ds)
	fill(ds, bins)
	displacing(ds, bins)
	reserve := c.headroom()
	holdRoom(reserve, bins, map[string]bool{})
	absorb(ds, bins, c.set.ExpectedRoom, false)
	return append(ds, reserve...), bins
}

// wantedDemand leaves out what is met, and jobs that have backed off.
func (c *Core) wantedDemand(ds []*demand, now micros.T) []*demand {
	var wanted []*demand
	for _, d := range ds {
		if d.count > 0 && !c.backedOff(d.job, now) {
			wanted = append(wanted, d)
		}
	}
	return wanted
}

// backedOff tells whether nothing is rented for a job for now.
func (c *Core) backedOff(job string, now micros.T) bool {
	u := c.leader.unplaced[job]
	if u == nil {
		return false
	}
	if u.out {
		return u.recover == c.leader.recover
	}
	return now < u.until
}

// forgetPlaced drops the notes about jobs that wait no more.
func (c *Core) forgetPlaced(ds []*demand) {
	waiting := map[string]bool{}
	for _, d := range ds {
		waiting[d.job] = waiting[d.job] || d.count > 0
	}
	for id := range c.leader.unplaced {
		if !waiting[id] {
			delete(c.leader.unplaced, id)
		}
	}
}

// headroom is room that is kept for services yet to come: a partition of what each
// class of services uses now. A service that finds room starts within its image
// fetch, one that doesn't waits for a boot.
func (c *Core) headroom() []*demand {
	if c.set.ServiceHeadroom == 0 {
		return nil
	}
	count := map[string]int{}
	like := map[string]*job{}
	for _, id := range sortedKeys(c.view.jobs) {
		if j := c.view.jobs[id]; j.open() && j.rec.Spec.Service && !c.mistakes(j) {
			k := j.rec.Spec.Class
			count[k] += j.rec.Spec.Tasks
			like[k] = j
		}
	}
	var out []*demand
	for _, k := range sortedKeys(like) {
		spec := like[k].rec.Spec
		spec.OneZone, spec.Spread, spec.Zone, spec.Types = false, false, "", nil
		n := int(math.Ceil(float64(count[k]) * c.set.ServiceHeadroom))
		out = append(out, &demand{spec: &spec, need: like[k].need, count: n, job: "headroom " + k, index: math.MaxInt32})
	}
	return out
}

// choosePlan plans in two steps: first spot machines for the tasks that may use
// them, and what the others need; then, for spot tasks that are left and would
// wait beyond the longer horizon, ordinary machines.
func (c *Core) choosePlan(wanted []*demand, bins []*bin) map[offer]int {
	chosen := map[offer]int{}
	offers := c.offers()
	plan(wanted, offers, mostAPass, func(d *demand, o *offerInfo) bool { return o.spot == d.spec.Spot }, chosen)
	for _, o := range inOrder(chosen) {
		t := c.types[o.typ]
		for n := chosen[o]; n > 0; n-- {
			bins = append(bins, &bin{typ: o.typ, zone: o.zone, spot: o.spot, size: capacity(&t), rate: t.CPUs, boot: t.BootS})
		}
	}
	absorb(wanted, bins, c.set.ExpectedRoomOrdinary, true)
	plan(wanted, offers, mostAPass, func(d *demand, o *offerInfo) bool { return o.spot || !d.idle }, chosen)
	return chosen
}

// inOrder lists what was chosen always in the same order.
func inOrder(chosen map[offer]int) []offer {
	var out []offer
	for o := range chosen {
		out = append(out, o)
	}
	sort.Slice(out, func(a, b int) bool { return fmt.Sprint(out[a]) < fmt.Sprint(out[b]) })
	return out
}

// backOff follows a job whose tasks no offer can take: after several passes it
// pauses, longer each time, and at the ceiling it leaves the demand until an
// offer recovers.
func (c *Core) backOff(d *demand, met bool, now micros.T) {
	l := &c.leader
	if met {
		delete(l.unplaced, d.job)
		return
	}
	u := l.unplaced[d.job]
	if u == nil {
		u = &unplaced{}
		l.unplaced[d.job] = u
	}
	u.passes++
	if u.out {
		u.recover = l.recover
		return
	}
	if u.passes < c.set.BackoffPasses {
		return
	}
	if u.step == 0 {
		u.step = c.set.BackoffFirst.T()
	} else {
		u.step *= 2
	}
	if u.step >= c.set.BackoffMost.T() {
		u.out, u.recover = true, l.recover
		c.log.Info("job removed from demand, insufficient capacity", "job", d.job, "tasks", d.count)
		return
	}
	u.until = now + u.step
}

// keepFor is how long an empty machine stays closed before it is given back: the delay
// for what is cheapest, less for a dearer kind of the same type, by its price. What is
// kept for the next burst is better kept where it costs least.
func (c *Core) keepFor(rec *bookkeeping.ShardMachine) micros.T {
	delay := c.set.ScaleDownDelay.T()
	if t := c.types[rec.Type]; !rec.Spot && t.SpotPrice > 0 && t.SpotPrice < t.Price {
		return micros.T(float64(delay) * t.SpotPrice / t.Price)
	}
	return delay
}

// closeEmpty closes our empty machines, and has them given back after the delay if
// they are still empty; headroom that all partitions together keep is left. Closing is
// only a matter of the part that places on them: a waiting task reopens one
// without a write. Each part does so for its own machines, as it alone writes its
// shards, and the leader deletes them.
func (c *Core) closeEmpty(now micros.T) {
	if c.types == nil {
		return
	}
	needed := map[string]bool{}
	moving := c.drains.demands()
	if c.set.ServiceHeadroom > 0 || len(moving) > 0 {
		_, bins := c.demands(now)
		holdRoom(append(c.headroom(), moving...), bins, needed)
	}
	for id := range c.drains.reservations() {
		needed[id] = true
	}
	noteVisit := map[string]bool{}
	for _, id := range sortedKeys(c.view.machines) {
		m := c.view.machines[id]
		if m.w == nil || m.rec == nil || len(m.tasks) > 0 || needed[id] && m.rec.State == bookkeeping.MachineOpen && !m.w.doubtful || m.w.removing != "" {
			continue
		}
		switch m.rec.State {
		case bookkeeping.MachineOpen:
			noteVisit[id] = true
			at, ok := c.emptyAt[id]
			if !ok {
				c.emptyAt[id] = now
				continue
			}
			closed, ok := c.closedAt[id]
			if !ok && now-at >= 2*c.set.PassInterval.T() {
				c.closedAt[id] = now
			} else if ok && now-closed >= c.keepFor(m.rec) {
				c.remove(m, removeIdle)
			}
		case bookkeeping.MachineCordoned:
			noteVisit[id] = true
			if _, ok := c.emptyAt[id]; !ok {
				c.emptyAt[id] = now
			}
			if c.drains.givesBack(m, now-c.emptyAt[id]) {
				c.remove(m, removeDrained)
			}
		case bookkeeping.MachineDraining:
			c.remove(m, removeDrained)
		}
	}
	for id := range c.emptyAt {
		if !noteVisit[id] {
			delete(c.emptyAt, id)
			delete(c.closedAt, id)
		}
	}
}
