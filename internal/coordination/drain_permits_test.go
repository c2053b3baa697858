package coordination

import (
	"fmt"
	"testing"

	"pipitgap/internal/config"
	"pipitgap/internal/fake"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// setIntakeMaxUnavailable replaces all budgets by one without a reserve: it allows a number of replicas of
// team "intake" to be unavailable.
func (s *drainScenario) setIntakeMaxUnavailable(replicas int) {
	noReserve := 0
	s.settings.Drains.DefaultReserveMachines = &noReserve
	s.settings.Drains.Budgets = []config.DisruptionBudget{
		{Team: "intake", MaxUnavailable: &config.CountOrPercent{Value: replicas}},
	}
}

// exhaustCapacity makes the cloud reject every rental from now on.
func (s *drainScenario) exhaustCapacity() {
	for offer := range s.cloud.Capacity {
		s.cloud.Capacity[offer] = 0
	}
}

// drainWithoutReplacement starts a drain, without replacement, of a zone's machines up to lastMachine, or of
// all its machines if lastMachine is empty. The drain empties up to 20 machines at a time.
func (s *drainScenario) drainWithoutReplacement(name, zone, lastMachine string) {
	s.t.Helper()
	s.putDrain(name, storage.Drain{
		State:       storage.DrainActive,
		Selector:    storage.Selector{Zone: zone},
		MaxParallel: 20,
		LastMachine: lastMachine,
	})
}

// sendService submits a service of the highest priority and does not wait for the answer.
func (s *drainScenario) sendService(node, team string, options ...jobOption) string {
	production := jobWith(withService(true), withTeam(team), withPriority(protocol.Production))
	id, body := s.newSubmission(production, jobWith(options...))
	s.fleet.Jobs[id] = serviceInfo(team, body.CPUs)
	s.sendRequest(node, "POST", protocol.JobsPath, protocol.MustMarshal(body), func(Response) {})
	return id
}

// cancelJob sends the cancellation of a job and no longer expects its replicas to run.
func (s *drainScenario) cancelJob(id string) {
	s.sendRequest(s.nodeNames[0], "POST", protocol.CancelPath(id), nil, func(Response) {})
	delete(s.services, id)
}

// submitSpreadService submits a service whose replicas each need most of a machine, so that they run on
// machines of several controllers.
func (s *drainScenario) submitSpreadService(team string, replicas int) {
	s.t.Helper()
	s.submitService(team, replicas, withCPUs(6), withTypes("m8"))
	if !s.sim.RunUntil(90*second, s.allReplicasRun) {
		s.t.Fatalf("team %s: got %d running replicas after 90 s, want %d",
			team, s.fleet.RunningReplicas(team), replicas)
	}
	s.sim.Run(10 * second)
}

// TestLastPermitIsNotGrantedTwice guards against two controllers that use the same unit of a budget. Each
// runs replicas and sees that the budget allows one stop, while the state service is slow and answers get
// lost.
func TestLastPermitIsNotGrantedTwice(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newDrainScenario(t, 1000+seed)
			s.setIntakeMaxUnavailable(1)
			s.settings.Drains.MinReady = config.Duration(second / 10)
			s.startWithLeader()
			s.submitSpreadService("intake", 9)
			s.floors["intake"] = 8
			s.sample()
			s.fleet.OnStop = s.checkStop
			s.store.DelayResponse = func(string, *protocol.StoreCall) monotime.Micros { return s.randomDuration(second) }
			if seed%2 == 0 {
				s.losePermitAnswers(3)
			}
			s.putDrain(
				"all",
				storage.Drain{
					State:             storage.DrainActive,
					Selector:          storage.Selector{Type: "m8"},
					Replace:           true,
					DeleteImmediately: true,
					MaxParallel:       20,
					LastMachine:       s.newestMachine(),
					StartedAt:         1,
				},
			)
			s.sim.Run(120 * second)
			if s.stoppedReplicas < 3 {
				t.Errorf("got %d replicas stopped, want at least 3", s.stoppedReplicas)
			}
			s.reportBudgetViolations()
		})
	}
}

// TestLatePermitIsNotUsedAfterLoss guards against the use of a permit whose commit takes effect only after
// replicas have been lost and the controllers have seen the loss.
func TestLatePermitIsNotUsedAfterLoss(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newDrainScenario(t, 1100+seed)
			s.setIntakeMaxUnavailable(2)
			s.startWithLeader()
			s.submitSpreadService("intake", 8)
			spareService := s.submitService("other", 4, withCPUs(6), withTypes("m8"), withZone("b"))
			s.sim.RunUntil(60*second, s.allReplicasRun)
			s.sim.Run(5 * second)
			s.exhaustCapacity()
			s.cancelJob(spareService)
			s.sim.Run(4 * second) // zone b now has room for the drained replicas
			s.floors["intake"] = 6
			s.fleet.OnStop = s.checkStop
			s.allowsLosses = true
			s.store.DelayCommit = func(txn *protocol.Transaction) monotime.Micros {
				if changesPermits(txn) {
					return 20 * second
				}
				return 0
			}
			s.drainWithoutReplacement("rack", "a", "")
			s.sim.Run(2 * second)
			for range 3 { // more replicas than the remaining room can replace
				if id := s.machineWithTeam("intake", "b"); id != "" {
					s.killMachine(id)
				}
			}
			s.sim.Run(40 * second)
			s.samples = 10 // nothing is sampled: only the stops are checked
			s.reportBudgetViolations()
		})
	}
}

// machineWithTeam finds a machine of a zone that runs a team's replica, or returns "" if there is none.
func (s *drainScenario) machineWithTeam(team, zone string) string {
	for _, id := range s.machinesInZone(zone) {
		worker := s.fleet.Workers[id]
		if worker == nil {
			continue
		}
		for task := range worker.Attempts {
			if ref, _ := mirror.ParseTaskID(task); s.fleet.Jobs[ref.Job].Team == team {
				return id
			}
		}
	}
	return ""
}

// TestAbortKeepsPermitWithStopInFlight checks that a permit whose stop command may still be executed survives
// the abort of its drain, so that no other drain can use the same unit of the budget.
func TestAbortKeepsPermitWithStopInFlight(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newDrainScenario(t, 1200+seed)
			s.setIntakeMaxUnavailable(1)
			s.startWithLeader()
			for _, zone := range []string{"a", "b"} {
				s.submitService("intake", 4, withCPUs(6), withTypes("m8"), withZone(zone))
			}
			s.sim.RunUntil(60*second, s.allReplicasRun)
			lastCovered := s.newestMachine()
			var spareServices []string
			for _, zone := range []string{"a", "b"} {
				spareServices = append(
					spareServices,
					s.submitService("other", 2, withCPUs(6), withTypes("m8"), withZone(zone)),
				)
			}
			s.sim.RunUntil(60*second, s.allReplicasRun)
			s.sim.Run(10 * second)
			for _, id := range spareServices { // the cancelled services leave room for the moved replicas
				s.cancelJob(id)
			}
			s.sim.Run(2 * second)
			s.floors["intake"] = 7
			s.fleet.OnStop = s.checkStop
			s.drainWithoutReplacement("rack", "a", lastCovered)
			s.sim.RunUntil(40*second, func() bool { return s.storedPermits() > 0 })
			for _, id := range s.machinesInZone("a") { // no machine of the zone executes commands for now
				if worker := s.fleet.Workers[id]; worker != nil {
					worker.Paused = true
				}
			}
			if s.storedPermits() == 0 {
				t.Fatal("got no permit after the start of the drain, want at least 1")
			}
			s.sim.Run(second)
			s.abortDrain("rack")
			s.drainWithoutReplacement("rack2", "b", lastCovered)
			s.sim.Run(3 * second)
			for _, id := range s.machinesInZone("a") {
				if worker := s.fleet.Workers[id]; worker != nil {
					worker.Pause(second / 10)
				}
			}
			s.sim.Run(60 * second)
			s.samples = 10 // nothing is sampled: only the stops are checked
			s.reportBudgetViolations()
		})
	}
}

// TestReservationOfMovedReplicaIsKept guards against a new service that takes the room reserved for a replica
// that is being moved.
func TestReservationOfMovedReplicaIsKept(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newDrainScenario(t, 1300+seed)
			s.setIntakeMaxUnavailable(1)
			s.startWithLeader()
			offerB := fake.OfferKey("m8", "b", false)
			s.cloud.Capacity[offerB] = 0
			s.submitService("intake", 3, withCPUs(6), withTypes("m8"))
			s.sim.RunUntil(60*second, s.allReplicasRun)
			s.cloud.Capacity[offerB] = 5
			spareService := s.submitService("other", 1, withCPUs(6), withTypes("m8"), withZone("b"))
			s.sim.RunUntil(90*second, s.allReplicasRun)
			s.sim.Run(10 * second)
			s.exhaustCapacity()
			s.cancelJob(spareService)
			s.sim.Run(3 * second)
			s.drainWithoutReplacement("rack", "a", "")
			s.sim.RunUntil(20*second, func() bool { return s.storedPermits() > 0 })
			newService := s.sendService(s.nodeNames[1], "other", withCPUs(6), withZone("b"))
			if s.storedPermits() == 0 {
				t.Fatal("got no permit after the start of the drain, want at least 1")
			}
			s.sim.Run(15 * second)
			if s.fleet.RunningReplicas("intake") < 3 {
				t.Errorf(
					"got %d running replicas of intake, want 3; the new service runs %d",
					s.fleet.RunningReplicas("intake"),
					s.fleet.Running(newService),
				)
			}
			s.requireNoViolations()
		})
	}
}

// TestBudgetedServiceIsNotPreempted checks that a service with a budget is not preempted for a service of a
// higher priority.
func TestBudgetedServiceIsNotPreempted(t *testing.T) {
	s := newDrainScenario(t, 40)
	s.startWithLeader()
	s.submitService("intake", 6, withCPUs(6), withPriority(protocol.Standard))
	s.submitService("other", 2, withCPUs(6), withPriority(protocol.Standard))
	s.sim.RunUntil(60*second, s.allReplicasRun)
	s.sim.Run(10 * second)
	s.exhaustCapacity()
	id := s.sendService(s.nodeNames[1], "payout", withTasks(8), withCPUs(6))
	s.sim.Run(30 * second)
	if n := s.fleet.RunningReplicas("intake"); n != 6 {
		t.Errorf("service with a budget: got %d running replicas, want 6", n)
	}
	if s.fleet.Running(id) == 0 {
		t.Error("got no running replica of the new service, want at least 1 after a preemption")
	}
	s.requireNoViolations()
}

// TestPermitIsNotUsedInOutage checks that no controller uses a permit during an outage of the state service,
// because no controller knows which replicas have been lost since the outage began.
func TestPermitIsNotUsedInOutage(t *testing.T) {
	s := newDrainScenario(t, 41).startServices()
	s.putDrain(
		"idle",
		storage.Drain{State: storage.DrainPaused, Selector: storage.Selector{Machines: []string{"i-none"}}},
	)
	s.sim.Run(10 * second) // while a drain is unfinished, controllers record at once which replicas run
	s.store.Outage(20 * second)
	s.sim.Run(4 * second)
	permitCount := 0
	for _, node := range s.nodeNames {
		controller := s.nodes[node].controller
		record := storage.Drain{
			State:       storage.DrainActive,
			Selector:    storage.Selector{Zone: "a"},
			MaxParallel: 9,
		}
		controller.mirror.ApplyPut(
			storage.Key(storage.KindDrain, "rack"),
			protocol.MustMarshal(&record),
			controller.mirror.NewestRevision+1,
		)
		for _, id := range sortedmap.Keys(controller.mirror.Machines) {
			machine := controller.mirror.Machines[id]
			if controller.agents.Of(machine) == nil || machine.Record.Zone != "a" {
				continue
			}
			for _, task := range mirror.SortedTaskIDs(machine.Attempts) {
				if job := controller.mirror.Jobs[task.Job]; job.Record.Spec.Team == "payout" {
					permits := storage.Permits{
						Permits: []storage.Permit{
							{
								Drain:   "rack",
								Job:     task.Job,
								Task:    task.Index,
								Attempt: machine.Attempts[task],
								From:    id,
								To:      id,
							},
						},
					}
					controller.mirror.ApplyPut(
						storage.Key(storage.KindPermits, "payout"),
						protocol.MustMarshal(&permits),
						controller.mirror.NewestRevision+1,
					)
					permitCount++
				}
			}
		}
	}
	s.sim.Run(8 * second)
	if s.stoppedReplicas > 0 || permitCount == 0 {
		t.Errorf("got %d replicas stopped in the outage under %d permits, want 0 under at least 1",
			s.stoppedReplicas, permitCount)
	}
}
