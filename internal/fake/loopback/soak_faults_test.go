package loopback

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pipitgap/internal/fake"
	"pipitgap/internal/monotime"
	"pipitgap/internal/sortedmap"
)

// soakFault is a fault of a run. at counts from the end of the warm-up.
type soakFault struct {
	at, duration time.Duration
	name         string
	begin, end   func()
}

// nodePicker picks a controller when a fault begins.
type nodePicker struct {
	name string
	pick func() string
}

// soakPlanner draws the faults of a run.
type soakPlanner struct {
	run    *soakRun
	rnd    *rand.Rand
	faults []soakFault
}

// planSoakFaults draws two meetings of faults. In each, the state service refuses one controller or all, in most
// of them for longer than the cancellation deadline, and two or three other faults overlap with that while
// users cancel.
func planSoakFaults(rnd *rand.Rand, run *soakRun) []soakFault {
	p := &soakPlanner{run: run, rnd: rnd}
	at := time.Duration(0)
	for range 2 {
		outageAt, outage := p.stateFaults(at)
		p.otherFaults(outageAt, outage)
		for range 3 + p.rnd.IntN(3) {
			p.cancelRunning(max(0, outageAt+p.between(-2*time.Second, time.Second)))
		}
		p.cancelRunning(outageAt + outage)
		at = outageAt + outage + 3*time.Second
	}
	slices.SortStableFunc(p.faults, func(a, b soakFault) int { return int(a.at - b.at) })
	return p.faults
}

// stateFaults adds the state service's faults of a meeting that begins at a time, and returns when its outage
// begins and how long it is. In a third of the meetings, a controller that owns machines loses the state
// service, and maybe its peers, moments before an outage that is longer than the cancellation deadline.
func (p *soakPlanner) stateFaults(at time.Duration) (outageAt, outage time.Duration) {
	cancel := p.run.timing.cancel.Duration()
	if p.rnd.IntN(3) == 0 {
		outageAt, outage = at+p.between(time.Second, 3*time.Second), p.between(cancel*11/10, cancel*3/2)
		if p.rnd.IntN(2) == 0 {
			p.refuseFor(at, outage)
		} else {
			p.cutStateAndPeersFor(at, outage)
		}
		p.outage(outageAt, outage)
		return outageAt, outage
	}
	outageAt, outage = at+p.between(0, 3*time.Second), p.between(cancel/3, cancel*5/4)
	if p.rnd.IntN(10) < 7 {
		p.refuseFor(at, p.between(time.Second, 8*time.Second))
	}
	if p.rnd.IntN(10) < 8 {
		p.outage(outageAt, outage)
	}
	return outageAt, outage
}

// otherFaults adds two to four faults of any kind that overlap with an outage.
func (p *soakPlanner) otherFaults(outageAt, outage time.Duration) {
	kinds := []func(at time.Duration){
		p.kill, p.kill, p.killAll, p.killInSeries, p.pause, p.cutPeers, p.cutStateAndPeers, p.cutWorkers, p.cutZone,
		p.loseCommitAnswers, p.delayCommits, p.delayCommands, p.copyReports, p.copyReportsToNextLeader, p.slowReplies,
		p.deafMachines, p.muteMachines, p.hangMachines, p.partitionMachines,
	}
	for range 2 + p.rnd.IntN(3) {
		kinds[p.rnd.IntN(len(kinds))](max(0, outageAt+p.between(-2*time.Second, outage)))
	}
}

func (p *soakPlanner) between(least, most time.Duration) time.Duration {
	return least + time.Duration(p.rnd.Int64N(int64(most-least)))
}

func (p *soakPlanner) add(at, duration time.Duration, name string, begin, end func()) {
	p.faults = append(p.faults, soakFault{at, duration, name, begin, end})
}

// addSimulated adds a fault that changes the simulation.
func (p *soakPlanner) addSimulated(at, duration time.Duration, name string, begin, end func()) {
	do := func(f func()) func() { return func() { p.run.Clock.Do(f) } }
	p.add(at, duration, name, do(begin), do(end))
}

// node draws the leader or a fixed controller.
func (p *soakPlanner) node() nodePicker {
	if p.rnd.IntN(2) == 0 {
		return nodePicker{"the leader", p.run.leader}
	}
	name := p.run.Controllers[p.rnd.IntN(len(p.run.Controllers))]
	return nodePicker{name, func() string { return name }}
}

// onNode adds a fault of a controller that is picked when the fault begins.
func (p *soakPlanner) onNode(at, duration time.Duration, name string, begin, end func(node string)) {
	picker, picked := p.node(), ""
	p.add(at, duration, name+" "+picker.name, func() { picked = picker.pick(); begin(picked) }, func() { end(picked) })
}

func (p *soakPlanner) refuseFor(at, duration time.Duration) {
	p.onNode(at, duration, "the state service refuses",
		func(node string) { p.run.setRefused(node, true) }, func(node string) { p.run.setRefused(node, false) })
}

func (p *soakPlanner) outage(at, duration time.Duration) {
	p.addSimulated(at, duration, "outage of the state service",
		func() { p.run.Store.Outage(monotime.FromDuration(duration)) }, func() {})
}

// kill ends a process, which is back within a fraction of a second, or after more than a lease.
func (p *soakPlanner) kill(at time.Duration) {
	p.onNode(at, p.downtime(), "kill", p.run.kill, p.run.startIfDown)
}

func (p *soakPlanner) downtime() time.Duration {
	if p.rnd.IntN(2) == 0 {
		return p.between(50*time.Millisecond, 900*time.Millisecond)
	}
	return p.run.timing.lease.Duration() + p.between(0, 3*time.Second)
}

func (p *soakPlanner) killAll(at time.Duration) {
	all := func(f func(string)) func() {
		return func() {
			for _, node := range p.run.Controllers {
				f(node)
			}
		}
	}
	p.add(at, p.downtime(), "kill all", all(p.run.kill), all(p.run.startIfDown))
}

// killInSeries kills one leader after the other.
func (p *soakPlanner) killInSeries(at time.Duration) {
	for i := range 4 {
		picked := ""
		begin := func() { picked = p.run.leader(); p.run.kill(picked) }
		p.add(at+time.Duration(i)*3*time.Second, p.between(100*time.Millisecond, 2*time.Second), "kill the leader in series",
			begin, func() { p.run.startIfDown(picked) })
	}
}

func (p *soakPlanner) pause(at time.Duration) {
	p.onNode(at, p.between(time.Second, 12*time.Second), "pause",
		func(node string) { p.run.Process(node).Suspend() }, func(node string) { p.run.Process(node).Resume() })
}

func (p *soakPlanner) cutPeers(at time.Duration) {
	p.onNode(at, p.between(time.Second, 20*time.Second), "cut from its peers",
		func(node string) { p.run.CutPeers(node, true) }, func(node string) { p.run.CutPeers(node, false) })
}

func (p *soakPlanner) cutStateAndPeers(at time.Duration) {
	p.cutStateAndPeersFor(at, p.between(5*time.Second, 20*time.Second))
}

func (p *soakPlanner) cutStateAndPeersFor(at, duration time.Duration) {
	set := func(cut bool) func(node string) {
		return func(node string) { p.run.setRefused(node, cut); p.run.CutPeers(node, cut) }
	}
	p.onNode(at, duration, "cut from the state service and its peers", set(true), set(false))
}

func (p *soakPlanner) cutWorkers(at time.Duration) {
	picker, picked := p.node(), ""
	isLost := func(_ *fake.Worker, node string, _ []byte) bool { return node == picked }
	p.add(at, p.between(2*time.Second, 12*time.Second), "cut from workers "+picker.name,
		func() { picked = picker.pick(); p.run.SetHeartbeatFaults(isLost) }, func() { p.run.SetHeartbeatFaults(nil) })
}

// cutZone cuts the machines of a zone off from the controllers of the other zone.
func (p *soakPlanner) cutZone(at time.Duration) {
	zone := []string{"a", "b"}[p.rnd.IntN(2)]
	isLost := func(w *fake.Worker, node string, _ []byte) bool {
		index := slices.Index(p.run.Controllers, node)
		return w.Machine.Zone == zone && p.run.options.Zones[index%2] != zone
	}
	p.add(at, p.between(2*time.Second, 15*time.Second), "cut zone "+zone,
		func() { p.run.SetHeartbeatFaults(isLost) }, func() { p.run.SetHeartbeatFaults(nil) })
}

// onMachines adds a fault of random machines.
func (p *soakPlanner) onMachines(at, duration time.Duration, name string, begin, end func(w *fake.Worker)) {
	share, picked := p.rnd.Float64(), []*fake.Worker(nil)
	each := func(f func(w *fake.Worker)) func() {
		return func() {
			for _, worker := range picked {
				f(worker)
			}
		}
	}
	p.addSimulated(at, duration, fmt.Sprintf("%.2f of the machines %s", share, name), func() {
		for _, id := range sortedmap.Keys(p.run.Fleet.Workers) {
			if worker := p.run.Fleet.Workers[id]; !worker.Machine.Gone && p.run.random.chance(share) {
				picked = append(picked, worker)
			}
		}
		each(begin)()
	}, each(end))
}

func (p *soakPlanner) deafMachines(at time.Duration) {
	p.onMachines(at, p.between(2*time.Second, 20*time.Second), "are deaf",
		func(w *fake.Worker) { w.Deaf = true }, func(w *fake.Worker) { w.Deaf = false })
}

func (p *soakPlanner) muteMachines(at time.Duration) {
	p.onMachines(at, p.between(2*time.Second, 20*time.Second), "are mute",
		func(w *fake.Worker) { w.Mute = true }, func(w *fake.Worker) { w.Mute = false })
}

func (p *soakPlanner) partitionMachines(at time.Duration) {
	p.onMachines(at, p.between(2*time.Second, 20*time.Second), "are cut off",
		func(w *fake.Worker) { w.Partitioned = true }, func(w *fake.Worker) { w.Partitioned = false })
}

func (p *soakPlanner) hangMachines(at time.Duration) {
	duration := p.between(time.Second, 12*time.Second)
	p.onMachines(at, duration, "hang", func(w *fake.Worker) {
		if !w.Paused {
			w.Pause(monotime.FromDuration(duration))
		}
	}, func(*fake.Worker) {})
}

// cancelRunning makes users cancel some of the jobs that run.
func (p *soakPlanner) cancelRunning(at time.Duration) {
	count := 1 + p.rnd.IntN(5)
	p.add(at, 0, fmt.Sprintf("%d cancellations", count), func() { p.run.users.cancelRunning(count) }, func() {})
}
