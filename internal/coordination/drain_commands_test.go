package coordination

import (
	"fmt"
	"testing"

	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/config"
	"pipitgap/internal/drain"
	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
)

// change rewrites a drain's record as an operator's command does.
func (s *drainScenario) change(name string, f func(*bookkeeping.Drain)) {
	var d bookkeeping.Drain
	s.store.Read(bookkeeping.Key(bookkeeping.KindDrain, name), &d)
	f(&d)
	s.put(name, d)
}

func (s *drainScenario) abort(name string) {
	s.change(name, func(d *bookkeeping.Drain) {
		d.State, d.EndedAt = bookkeeping.DrainAborted, int64(s.sim.Now())
	})
}

// permits counts the permits of all teams in the store.
func (s *drainScenario) permits() int {
	n := 0
	for _, team := range s.teams {
		var p bookkeeping.Permits
		s.store.Read(bookkeeping.Key(bookkeeping.KindPermits, team.Name), &p)
		n += len(p.Permits)
	}
	return n
}

// blocked lists what drains wait for, as the records have it.
func (s *drainScenario) blocked() []drain.Blockage {
	core := s.leader().core
	return core.drains.policy.Decide(core.fleet(), &drain.Controller{Live: core.isLive, Responsible: func(string) bool { return false }}).Blocked
}

// TestDrainAbort: at any moment, also as the last replica stops, and with permits that are
// written late, machines that weren't given back are open again, nothing more is stopped, and no
// permit is left.
func TestDrainAbort(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newDrainScenario(t, 900+seed).settle()
			if seed%2 == 0 {
				s.store.Delay = func(txn *protocol.Txn) micros.T {
					if touchesPermits(txn) && s.sim.Rand.IntN(3) == 0 {
						return s.jitter(20 * sec)
					}
					return 0
				}
			}
			s.drainZone("rack", "a")
			s.sim.Run(2*sec + s.jitter(30*sec))
			s.abort("rack")
			s.sim.Run(3 * sec) // what was sent before may still be on its way
			stopped := s.stopped
			s.sim.Run(20 * sec)
			s.store.Delay = nil
			if !s.sim.RunUntil(90*sec, func() bool { return s.permits() == 0 && s.allRun() }) {
				t.Errorf("%d permits are left, running %v", s.permits(), s.running())
			}
			if s.stopped != stopped {
				t.Errorf("%d replicas were stopped until the abort, %d in all", stopped, s.stopped)
			}
			for _, id := range s.inZone("a") {
				if m := s.leader().core.view.machines[id]; m != nil && m.rec != nil && m.rec.State == bookkeeping.MachineCordoned {
					t.Errorf("%s is still cordoned", id)
				}
			}
			s.kept()
		})
	}
}

// TestDrainBlocked: a budget that leaves nothing to move is said, and nothing is moved.
func TestDrainBlocked(t *testing.T) {
	s := newDrainScenario(t, 31)
	s.set.Drains.Budgets = []config.Budget{{Team: "intake", MinAvailable: &config.Amount{Value: 1}}}
	s.steady()
	id := s.service("intake", 1)
	s.sim.RunUntil(60*sec, s.allRun)
	s.sim.Run(10 * sec)
	s.floors["intake"] = 1
	s.sample()
	s.fleet.OnStop = s.checkStop
	s.drainZone("rack", "a")
	s.drainZone("rack2", "b")
	s.sim.Run(60 * sec)
	blocked := s.blocked()
	if len(blocked) != 1 || blocked[0].Kind != drain.BlockedByBudget || blocked[0].Task != id+"/0" {
		t.Errorf("blocked: %+v", blocked)
	}
	s.kept()
}

// TestDrainWithoutRoom: without replacement nothing is stopped before there is room.
func TestDrainWithoutRoom(t *testing.T) {
	s := newDrainScenario(t, 32).settle()
	s.sim.Run(60 * sec) // the array that would give way is done
	for offer := range s.cloud.Capacity {
		s.cloud.Capacity[offer] = 0
	}
	for _, id := range s.inZone("b") { // what is free there is taken by a service of another team
		w := s.fleet.Workers[id]
		if free := int(w.CPUs) - 2*len(w.Tasks); free > 0 {
			s.service("other", free, withCPUs(1), withZone("b"))
		}
	}
	s.sim.RunUntil(30*sec, s.allRun)
	s.sim.Run(10 * sec)
	moved, _ := s.moves()
	s.put("rack", bookkeeping.Drain{State: bookkeeping.DrainActive, Selector: bookkeeping.Selector{Zone: "a"}, MaxParallel: 4})
	s.sim.Run(40 * sec)
	if again, _ := s.moves(); again != moved {
		t.Errorf("%d moves without room", again-moved)
	}
	kinds := map[drain.BlockKind]int{}
	for _, b := range s.blocked() {
		kinds[b.Kind]++
	}
	if kinds[drain.BlockedByRoom] == 0 {
		t.Errorf("blocked: %v", kinds)
	}
	s.kept()
}

// TestDrainPauseAndDeadline: a paused drain begins nothing, one past its deadline is paused; a
// resumed one goes on to its end.
func TestDrainPauseAndDeadline(t *testing.T) {
	s := newDrainScenario(t, 33).settle()
	s.drainZone("rack", "a")
	s.change("rack", func(d *bookkeeping.Drain) { d.DeadlineAt = int64(s.sim.Now()) + 1_000_000_000_000 + int64(6*sec) })
	s.sim.Run(20 * sec)
	if got := s.state("rack"); got != bookkeeping.DrainPaused {
		t.Fatalf("past its deadline the drain is %s", got)
	}
	moved, _ := s.moves()
	left := len(s.inZone("a"))
	s.sim.Run(30 * sec)
	if again, _ := s.moves(); again != moved || len(s.inZone("a")) != left || left == 0 {
		t.Errorf("%d moves and %d of %d machines while it is paused", again-moved, len(s.inZone("a")), left)
	}
	s.change("rack", func(d *bookkeeping.Drain) { d.State, d.DeadlineAt = bookkeeping.DrainActive, 0 })
	s.ends("rack", 200*sec)
	s.kept()
}

// TestDrainOff: without the settings a drain's record changes nothing, and nothing is marked.
func TestDrainOff(t *testing.T) {
	s := newDrainScenario(t, 34)
	s.set.Drains = nil
	s.settle()
	s.drainZone("rack", "a")
	before := s.inZone("a")
	s.sim.Run(60 * sec)
	if moved, _ := s.moves(); moved > 0 || s.permits() > 0 {
		t.Errorf("%d moves, %d permits", moved, s.permits())
	}
	for _, p := range s.leader().core.view.shards {
		for id, e := range p.rec.Jobs {
			for _, h := range e.Held {
				if h.Starting {
					t.Errorf("%s/%d is marked", id, h.Task)
				}
			}
		}
	}
	if len(before) == 0 {
		t.Error("no machines in the zone")
	}
}

// TestDrainArrays: array tasks that are about to end are waited for, others are stopped.
func TestDrainArrays(t *testing.T) {
	s := newDrainScenario(t, 35)
	s.steady()
	short := s.submit(25*sec, withTasks(16), withTeam("other"), withCPUs(1), withEstimateS(25))
	long := s.submit(400*sec, withTasks(16), withTeam("other"), withCPUs(1), withEstimateS(400))
	s.sim.RunUntil(60*sec, func() bool { return s.fleet.Running(short) == 16 && s.fleet.Running(long) == 16 })
	s.sim.Run(17 * sec) // less is left of the short ones than they are waited for
	s.floors["other"] = 0
	s.sample()
	s.drainZone("rack", "a")
	s.put("rack2", bookkeeping.Drain{State: bookkeeping.DrainActive, Selector: bookkeeping.Selector{Zone: "b", Type: "m16"}, MaxParallel: 9, Through: "i-9"})
	s.sim.Run(60 * sec)
	again := func(id string) int {
		n := 0
		for i := range 16 {
			n += s.fleet.Starts[fmt.Sprintf("%s/%d", id, i)] - 1
		}
		return n
	}
	if again(short) != 0 || again(long) == 0 {
		t.Errorf("short tasks started again %d times, long ones %d", again(short), again(long))
	}
	s.rules()
}
