package coordination

import (
	"fmt"
	"testing"

	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/config"
	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
	"pipitgap/internal/standin"
)

// intakeMayLack sets the only budget: so many of intake's replicas may be unavailable, without a
// reserve.
func (s *drainScenario) intakeMayLack(replicas int) {
	none := 0
	s.set.Drains.DefaultReserveMachines = &none
	s.set.Drains.Budgets = []config.Budget{{Team: "intake", MaxUnavailable: &config.Amount{Value: replicas}}}
}

// noCapacity has the cloud refuse every rental from now on.
func (s *drainScenario) noCapacity() {
	for offer := range s.cloud.Capacity {
		s.cloud.Capacity[offer] = 0
	}
}

// cancel has a job cancelled.
func (s *drainScenario) cancel(id string) {
	s.request(s.names[0], "POST", protocol.CancelPath(id), nil, func(Reply) {})
	delete(s.services, id)
}

// apartService is a service whose replicas need nearly a machine each, so that they stand on
// machines of several controllers.
func (s *drainScenario) apartService(team string, replicas int) {
	s.t.Helper()
	s.service(team, replicas, withCPUs(6), withTypes("m8"))
	if !s.sim.RunUntil(90*sec, s.allRun) {
		s.t.Fatalf("running %v", s.running())
	}
	s.sim.Run(10 * sec)
}

// TestOnePermitLeft: controllers that each hold a replica, and see room for one stop, never
// stop two, though the state service is slow and answers get lost.
func TestOnePermitLeft(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newDrainScenario(t, 1000+seed)
			s.intakeMayLack(1)
			s.set.Drains.MinReady = config.Span(sec / 10)
			s.steady()
			s.apartService("intake", 9)
			s.floors["intake"] = 8
			s.sample()
			s.fleet.OnStop = s.checkStop
			s.store.Slow = func() micros.T { return s.jitter(sec) }
			if seed%2 == 0 {
				s.store.LoseAnswer = func(t *protocol.Txn) bool { return touchesPermits(t) && s.sim.Rand.IntN(3) == 0 }
			}
			s.put("all", bookkeeping.Drain{State: bookkeeping.DrainActive, Selector: bookkeeping.Selector{Type: "m8"}, Replace: true,
				AtOnce: true, MaxParallel: 20, Through: s.newestMachine(), StartedAt: 1})
			s.sim.Run(120 * sec)
			if s.stopped < 3 {
				t.Errorf("only %d replicas were moved", s.stopped)
			}
			s.kept()
		})
	}
}

// TestPermitGrantedLate: a permit whose commit is carried out only after replicas have been lost,
// and the loss been seen, is not used.
func TestPermitGrantedLate(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newDrainScenario(t, 1100+seed)
			s.intakeMayLack(2)
			s.steady()
			s.apartService("intake", 8)
			spare := s.service("other", 4, withCPUs(6), withTypes("m8"), withZone("b"))
			s.sim.RunUntil(60*sec, s.allRun)
			s.sim.Run(5 * sec)
			s.noCapacity()
			s.cancel(spare)
			s.sim.Run(4 * sec) // there is room in zone b for what is drained now
			s.floors["intake"] = 6
			s.fleet.OnStop = s.checkStop
			s.lossy = true
			s.store.Delay = func(t *protocol.Txn) micros.T {
				if touchesPermits(t) {
					return 20 * sec
				}
				return 0
			}
			s.put("rack", bookkeeping.Drain{State: bookkeeping.DrainActive, Selector: bookkeeping.Selector{Zone: "a"}, MaxParallel: 20})
			s.sim.Run(2 * sec)
			for range 3 { // more than are replaced by what room there is
				if id := s.machineWith("intake", "b"); id != "" {
					s.killMachine(id)
				}
			}
			s.sim.Run(40 * sec)
			s.samples = 10
			s.kept()
		})
	}
}

// machineWith finds a machine of a zone that runs a team's replica.
func (s *drainScenario) machineWith(team, zone string) string {
	for _, id := range s.inZone(zone) {
		w := s.fleet.Workers[id]
		if w == nil {
			continue
		}
		for task := range w.Tasks {
			if ref, _ := parseTask(task); s.fleet.Jobs[ref.job].Team == team {
				return id
			}
		}
	}
	return ""
}

// TestAbortWithStopOnItsWay: a permit whose stop may still be carried out stays when its drain is
// aborted: nobody else gets its room.
func TestAbortWithStopOnItsWay(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newDrainScenario(t, 1200+seed)
			s.intakeMayLack(1)
			s.steady()
			for _, zone := range []string{"a", "b"} {
				s.service("intake", 4, withCPUs(6), withTypes("m8"), withZone(zone))
			}
			s.sim.RunUntil(60*sec, s.allRun)
			covered := s.newestMachine()
			var spares []string
			for _, zone := range []string{"a", "b"} {
				spares = append(spares, s.service("other", 2, withCPUs(6), withTypes("m8"), withZone(zone)))
			}
			s.sim.RunUntil(60*sec, s.allRun)
			s.sim.Run(10 * sec)
			for _, id := range spares { // what they leave is room for what is moved
				s.cancel(id)
			}
			s.sim.Run(2 * sec)
			s.floors["intake"] = 7
			s.fleet.OnStop = s.checkStop
			replace := func(name, zone string) {
				s.put(name, bookkeeping.Drain{State: bookkeeping.DrainActive, Selector: bookkeeping.Selector{Zone: zone},
					MaxParallel: 20, Through: covered})
			}
			replace("rack", "a")
			s.sim.RunUntil(40*sec, func() bool { return s.permits() > 0 })
			for _, id := range s.inZone("a") { // no command is carried out there for a while
				if w := s.fleet.Workers[id]; w != nil {
					w.Hanging = true
				}
			}
			if s.permits() == 0 {
				t.Fatal("no permit")
			}
			s.sim.Run(sec)
			s.abort("rack")
			replace("rack2", "b")
			s.sim.Run(3 * sec)
			for _, id := range s.inZone("a") {
				if w := s.fleet.Workers[id]; w != nil {
					w.Hang(sec / 10)
				}
			}
			s.sim.Run(60 * sec)
			s.samples = 10
			s.kept()
		})
	}
}

// TestRoomIsHeld: a service that comes while a replica is being moved doesn't get its room.
func TestRoomIsHeld(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newDrainScenario(t, 1300+seed)
			s.intakeMayLack(1)
			s.steady()
			offerB := standin.Offer("m8", "b", false)
			s.cloud.Capacity[offerB] = 0
			s.service("intake", 3, withCPUs(6), withTypes("m8"))
			s.sim.RunUntil(60*sec, s.allRun)
			s.cloud.Capacity[offerB] = 5
			spare := s.service("other", 1, withCPUs(6), withTypes("m8"), withZone("b"))
			s.sim.RunUntil(90*sec, s.allRun)
			s.sim.Run(10 * sec)
			s.noCapacity()
			s.cancel(spare)
			s.sim.Run(3 * sec)
			s.put("rack", bookkeeping.Drain{State: bookkeeping.DrainActive, Selector: bookkeeping.Selector{Zone: "a"}, MaxParallel: 20})
			s.sim.RunUntil(20*sec, func() bool { return s.permits() > 0 })
			_, body := s.spec(withService(true), withTasks(1), withTeam("other"), withPriority(protocol.Prod),
				withCPUs(6), withZone("b"))
			id := body.ID
			s.fleet.Jobs[id] = serviceInfo("other", 6)
			s.request(s.names[1], "POST", protocol.JobsPath, protocol.MustMarshal(body), func(Reply) {})
			if s.permits() == 0 {
				t.Fatal("no permit")
			}
			s.sim.Run(15 * sec)
			if s.fleet.RunningOf("intake") < 3 {
				t.Errorf("intake runs %d of 3, the newcomer %d", s.fleet.RunningOf("intake"), s.fleet.Running(id))
			}
			s.rules()
		})
	}
}

// TestBudgetedServiceStays: a service with a budget isn't stopped for one of a higher priority.
func TestBudgetedServiceStays(t *testing.T) {
	s := newDrainScenario(t, 40)
	s.steady()
	s.service("intake", 6, withCPUs(6), withPriority(protocol.Standard))
	s.service("other", 2, withCPUs(6), withPriority(protocol.Standard))
	s.sim.RunUntil(60*sec, s.allRun)
	s.sim.Run(10 * sec)
	s.noCapacity()
	id, body := s.spec(withService(true), withTasks(8), withTeam("payout"), withPriority(protocol.Prod),
		withCPUs(6))
	s.fleet.Jobs[id] = serviceInfo("payout", 6)
	s.request(s.names[1], "POST", protocol.JobsPath, protocol.MustMarshal(body), func(Reply) {})
	s.sim.Run(30 * sec)
	if n := s.fleet.RunningOf("intake"); n != 6 {
		t.Errorf("%d of 6 replicas with a budget run", n)
	}
	if s.fleet.Running(id) == 0 {
		t.Error("the other team's replicas didn't give way: nothing was to be seen")
	}
	s.rules()
}

// TestNoStopsInOutage: a permit that stands isn't used while the state service is away: what has
// been lost since isn't known.
func TestNoStopsInOutage(t *testing.T) {
	s := newDrainScenario(t, 41).settle()
	s.put("idle", bookkeeping.Drain{State: bookkeeping.DrainPaused, Selector: bookkeeping.Selector{Machines: []string{"i-none"}}})
	s.sim.Run(10 * sec) // with a drain there, the records come to say which replicas run
	s.store.Outage(20 * sec)
	s.sim.Run(4 * sec)
	used := 0
	for _, node := range s.names {
		core := s.nodes[node].core
		rec := bookkeeping.Drain{State: bookkeeping.DrainActive, Selector: bookkeeping.Selector{Zone: "a"}, MaxParallel: 9}
		core.view.put(bookkeeping.Key(bookkeeping.KindDrain, "rack"), protocol.MustMarshal(&rec), core.view.newest+1)
		for _, id := range sortedKeys(core.view.machines) {
			m := core.view.machines[id]
			if m.w == nil || m.rec.Zone != "a" {
				continue
			}
			for _, ref := range sortedTasks(m.tasks) {
				if j := core.view.jobs[ref.job]; j.rec.Spec.Team == "payout" {
					permits := bookkeeping.Permits{Permits: []bookkeeping.Permit{{Drain: "rack", Job: ref.job, Task: ref.index, Attempt: m.tasks[ref], From: id, To: id}}}
					core.view.put(bookkeeping.Key(bookkeeping.KindPermits, "payout"), protocol.MustMarshal(&permits), core.view.newest+1)
					used++
				}
			}
		}
	}
	s.sim.Run(8 * sec)
	if s.stopped > 0 || used == 0 {
		t.Errorf("%d replicas were stopped in the outage, %d permits", s.stopped, used)
	}
}
