package loopback

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"pipitgap/internal/fake"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// lockedRandom is a source of random numbers for concurrent use.
type lockedRandom struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newLockedRandom(seed uint64) *lockedRandom {
	return &lockedRandom{random: rand.New(rand.NewPCG(seed, 19))}
}

// chance returns true with the given probability.
func (r *lockedRandom) chance(probability float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.Float64() < probability
}

// between returns a random duration.
func (r *lockedRandom) between(least, most time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return least + time.Duration(r.random.Int64N(int64(most-least)))
}

// intN returns a random number below n.
func (r *lockedRandom) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

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

func (p *soakPlanner) loseCommitAnswers(at time.Duration) {
	share := p.rnd.Float64()
	p.addSimulated(at, p.between(2*time.Second, 10*time.Second), fmt.Sprintf("%.2f of commit answers are lost", share),
		func() {
			p.run.Store.LoseResponse = func(*protocol.Transaction) bool { return p.run.random.chance(share) }
		},
		func() { p.run.Store.LoseResponse = nil })
}

func (p *soakPlanner) delayCommits(at time.Duration) {
	share := p.rnd.Float64() / 4
	p.addSimulated(at, p.between(2*time.Second, 10*time.Second), fmt.Sprintf("%.2f of commits are late", share),
		func() {
			p.run.Store.DelayCommit = func(*protocol.Transaction) monotime.Micros {
				if p.run.random.chance(share) {
					return monotime.FromDuration(p.run.random.between(2*time.Second, 6*time.Second))
				}
				return 0
			}
		}, func() { p.run.Store.DelayCommit = nil })
}

func (p *soakPlanner) slowReplies(at time.Duration) {
	most := p.between(100*time.Millisecond, time.Second)
	p.addSimulated(at, p.between(2*time.Second, 12*time.Second), "slow replies of the state service, up to "+most.String(),
		func() {
			p.run.Store.DelayResponse = func(string, *protocol.StoreCall) monotime.Micros {
				return monotime.FromDuration(p.run.random.between(0, most))
			}
		}, func() { p.run.Store.DelayResponse = nil })
}

func (p *soakPlanner) delayCommands(at time.Duration) {
	share := p.rnd.Float64()
	p.add(at, p.between(5*time.Second, 25*time.Second), fmt.Sprintf("%.2f of direct commands are late", share), func() {
		p.run.SetFaults(func(caller string, r *http.Request) Fault {
			if caller == "worker" && r.URL.Path == protocol.WorkerCommandsPath && p.run.random.chance(share) {
				return Fault{Delay: p.run.random.between(time.Second, 8*time.Second)}
			}
			return Fault{}
		})
	}, func() { p.run.SetFaults(nil) })
}

// copyReports delivers copies of heartbeats to all controllers later, some after more than a lease.
func (p *soakPlanner) copyReports(at time.Duration) {
	share := p.rnd.Float64() / 2
	most := 2 * p.run.timing.lease
	copyLater := func(_ *fake.Worker, _ string, body []byte) bool {
		if p.run.random.chance(share) {
			p.run.SimClock.After(monotime.FromDuration(p.run.random.between(time.Second, most.Duration())), func() {
				p.run.postCopies([][]byte{body})
			})
		}
		return false
	}
	p.add(at, p.between(5*time.Second, 20*time.Second), fmt.Sprintf("copies of %.2f of the heartbeats come late", share),
		func() { p.run.SetHeartbeatFaults(copyLater) }, func() { p.run.SetHeartbeatFaults(nil) })
}

// copyReportsToNextLeader keeps copies of heartbeats until another controller leads.
func (p *soakPlanner) copyReportsToNextLeader(at time.Duration) {
	var copies [][]byte
	leader := ""
	keep := func(_ *fake.Worker, _ string, body []byte) bool {
		var current storage.Leader
		p.run.Store.Read(storage.LeaderKey, &current)
		if current.Node != "" && current.Node != leader {
			p.run.postCopies(copies)
			copies, leader = nil, current.Node
		}
		if p.run.random.chance(0.3) && len(copies) < 200 {
			copies = append(copies, body)
		}
		return false
	}
	p.add(at, p.between(5*time.Second, 20*time.Second), "copies of heartbeats reach the next leader",
		func() { leader = p.run.leader(); p.run.SetHeartbeatFaults(keep) }, func() { p.run.SetHeartbeatFaults(nil) })
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

// setRefused begins or ends the refusal of a controller by the state service.
func (s *soakRun) setRefused(node string, refused bool) {
	s.Clock.Do(func() { s.Store.RefusedCallers[node] = refused })
}

func (s *soakRun) kill(node string) { s.Process(node).Kill() }

// startIfDown starts a controller that does not run.
func (s *soakRun) startIfDown(node string) {
	if process := s.Process(node); !process.Running() {
		process.Kill() // releases a process that has ended by itself
		s.StartController(node)
	}
}

// postCopies delivers copies of heartbeats to all controllers. It runs inside Clock.Do.
func (s *soakRun) postCopies(bodies [][]byte) {
	for _, body := range bodies {
		for _, node := range s.Controllers {
			s.heartbeats.post(node, body, func(int, []byte) {})
		}
	}
}

// playFaults begins and ends the faults at their times.
func (s *soakRun) playFaults() {
	type step struct {
		at  time.Duration
		run func()
	}
	var steps []step
	for _, fault := range s.faults {
		steps = append(steps, step{fault.at, fault.begin}, step{fault.at + fault.duration, fault.end})
	}
	slices.SortStableFunc(steps, func(a, b step) int { return int(a.at - b.at) })
	startedAt := time.Now()
	for _, next := range steps {
		time.Sleep(next.at - time.Since(startedAt))
		next.run()
	}
}

// endFaults ends every fault, whatever has begun.
func (s *soakRun) endFaults() {
	s.SetFaults(nil)
	s.SetHeartbeatFaults(nil)
	for _, node := range s.Controllers {
		s.CutPeers(node, false)
		s.Process(node).Resume()
		s.startIfDown(node)
	}
	s.Clock.Do(func() {
		clear(s.Store.RefusedCallers)
		s.Store.LoseResponse, s.Store.DelayCommit, s.Store.DelayResponse = nil, nil, nil
		for _, worker := range s.Fleet.Workers {
			worker.Deaf, worker.Mute, worker.Partitioned = false, false, false
		}
	})
}
