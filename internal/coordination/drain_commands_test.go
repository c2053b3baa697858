package coordination

import (
	"fmt"
	"testing"

	"pipitgap/internal/config"
	"pipitgap/internal/drain"
	"pipitgap/internal/storage"
)

// updateDrain changes a drain's record like an operator's command.
func (s *drainScenario) updateDrain(name string, f func(*storage.Drain)) {
	var d storage.Drain
	s.store.Read(storage.Key(storage.KindDrain, name), &d)
	f(&d)
	s.putDrain(name, d)
}

func (s *drainScenario) abortDrain(name string) {
	s.updateDrain(name, func(d *storage.Drain) {
		d.State, d.EndedAt = storage.DrainAborted, int64(s.sim.Now())
	})
}

// storedPermits counts the permits of all teams in the store.
func (s *drainScenario) storedPermits() int {
	n := 0
	for _, team := range s.teams {
		var p storage.Permits
		s.store.Read(storage.Key(storage.KindPermits, team.Name), &p)
		n += len(p.Permits)
	}
	return n
}

// blockages returns what blocks the drains according to the leader's copy of the records.
func (s *drainScenario) blockages() []drain.Blockage {
	core := s.leaderNode().controller
	return drain.NewPolicy(core.settings.Drains).Decide(
		core.drains.Snapshot(),
		&drain.Controller{Live: core.membership.IsMember, Responsible: func(string) bool { return false }},
	).Blocked
}

// TestAbortedDrainLeavesNoPermit checks the abort of a drain at a random time, also while its last replica is
// stopping, and with delayed commits of permits. The machines that have not been returned must be open again,
// no more replicas may be stopped, and no permit may remain.
func TestAbortedDrainLeavesNoPermit(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newDrainScenario(t, 900+seed).startServices()
			if seed%2 == 0 {
				s.delayPermits(3, 0, 20*second)
			}
			s.drainZone("rack", "a")
			s.sim.Run(2*second + s.randomDuration(30*second))
			s.abortDrain("rack")
			s.sim.Run(3 * second) // commands sent before the abort may still be in flight
			stopped := s.stoppedReplicas
			s.sim.Run(20 * second)
			s.store.DelayCommit = nil
			if !s.sim.RunUntil(
				90*second,
				func() bool { return s.storedPermits() == 0 && s.allReplicasRun() },
			) {
				t.Errorf("after the abort: got %d permits and running replicas %v, want 0 and all replicas",
					s.storedPermits(), s.runningByTeam())
			}
			if s.stoppedReplicas != stopped {
				t.Errorf("%d replicas stopped up to 3 s after the abort; later: got %d in total, want no more",
					stopped, s.stoppedReplicas)
			}
			for _, id := range s.machinesInZone("a") {
				if machine := s.leaderNode().controller.mirror.Machines[id]; machine != nil &&
					machine.Record != nil &&
					machine.Record.State == storage.MachineCordoned {
					t.Errorf("machine %s: got state %v, want it open", id, machine.Record.State)
				}
			}
			s.reportBudgetViolations()
		})
	}
}

// TestDrainBlockedByBudgetMovesNothing checks that a drain whose budget allows no move names the budget as
// the reason and moves nothing.
func TestDrainBlockedByBudgetMovesNothing(t *testing.T) {
	s := newDrainScenario(t, 31)
	s.settings.Drains.Budgets = []config.DisruptionBudget{
		{Team: "intake", MinAvailable: &config.CountOrPercent{Value: 1}},
	}
	s.startWithLeader()
	id := s.submitService("intake", 1)
	s.sim.RunUntil(60*second, s.allReplicasRun)
	s.sim.Run(10 * second)
	s.floors["intake"] = 1
	s.sample()
	s.fleet.OnStop = s.checkStop
	s.drainZone("rack", "a")
	s.drainZone("rack2", "b")
	s.sim.Run(60 * second)
	blocked := s.blockages()
	if len(blocked) != 1 || blocked[0].Kind != drain.BlockedByBudget || blocked[0].Task != id+"/0" {
		t.Errorf("got blockages %+v, want only %s/0, blocked by %q", blocked, id, drain.BlockedByBudget)
	}
	s.reportBudgetViolations()
}

// TestDrainWithoutRoomStopsNothing checks that a drain without replacement stops no replica until another
// machine has room for it.
func TestDrainWithoutRoomStopsNothing(t *testing.T) {
	s := newDrainScenario(t, 32).startServices()
	s.sim.Run(60 * second) // the array, which could be preempted, is done
	for offer := range s.cloud.Capacity {
		s.cloud.Capacity[offer] = 0
	}
	for _, id := range s.machinesInZone("b") { // a service of another team takes the free CPUs
		worker := s.fleet.Workers[id]
		if free := int(worker.CPUs) - 2*len(worker.Attempts); free > 0 {
			s.submitService("other", free, withCPUs(1), withZone("b"))
		}
	}
	s.sim.RunUntil(30*second, s.allReplicasRun)
	s.sim.Run(10 * second)
	moved, _ := s.countMoves()
	s.putDrain(
		"rack",
		storage.Drain{State: storage.DrainActive, Selector: storage.Selector{Zone: "a"}, MaxParallel: 4},
	)
	s.sim.Run(40 * second)
	if movedLater, _ := s.countMoves(); movedLater != moved {
		t.Errorf("got %d moves without room, want 0", movedLater-moved)
	}
	blockedByKind := map[drain.BlockKind]int{}
	for _, b := range s.blockages() {
		blockedByKind[b.Kind]++
	}
	if blockedByKind[drain.BlockedByCapacity] == 0 {
		t.Errorf("got blockages by kind %v, want at least 1 of kind %q", blockedByKind, drain.BlockedByCapacity)
	}
	s.reportBudgetViolations()
}

// TestDrainPausesAtDeadlineAndResumes checks that a drain is paused when its deadline passes, that a paused
// drain moves nothing, and that a resumed drain completes.
func TestDrainPausesAtDeadlineAndResumes(t *testing.T) {
	s := newDrainScenario(t, 33).startServices()
	s.drainZone("rack", "a")
	s.updateDrain(
		"rack",
		func(d *storage.Drain) { d.DeadlineAt = int64(s.sim.Now()) + 1_000_000_000_000 + int64(6*second) },
	)
	s.sim.Run(20 * second)
	if got := s.drainState("rack"); got != storage.DrainPaused {
		t.Fatalf("drain past its deadline: got state %s, want %s", got, storage.DrainPaused)
	}
	moved, _ := s.countMoves()
	left := len(s.machinesInZone("a"))
	s.sim.Run(30 * second)
	if movedLater, _ := s.countMoves(); movedLater != moved || len(s.machinesInZone("a")) != left || left == 0 {
		t.Errorf(
			"while the drain is paused: got %d moves and %d of %d machines left, want 0 and all of at least 1",
			movedLater-moved,
			len(s.machinesInZone("a")),
			left,
		)
	}
	s.updateDrain("rack", func(d *storage.Drain) { d.State, d.DeadlineAt = storage.DrainActive, 0 })
	s.waitDrainEnds("rack", 200*second)
	s.reportBudgetViolations()
}

// TestDrainRecordIgnoredWhenDisabled checks that a drain's record has no effect, and that no attempt is
// marked as starting, if the settings do not enable drains.
func TestDrainRecordIgnoredWhenDisabled(t *testing.T) {
	s := newDrainScenario(t, 34)
	s.settings.Drains = nil
	s.startServices()
	s.drainZone("rack", "a")
	before := s.machinesInZone("a")
	s.sim.Run(60 * second)
	if moved, _ := s.countMoves(); moved > 0 || s.storedPermits() > 0 {
		t.Errorf("got %d moves and %d permits, want 0 and 0", moved, s.storedPermits())
	}
	for _, shard := range s.leaderNode().controller.mirror.Shards {
		for id, entry := range shard.Record.Jobs {
			for _, attempt := range entry.Attempts {
				if attempt.Starting {
					t.Errorf("%s/%d: got it marked as starting, want no mark", id, attempt.Task)
				}
			}
		}
	}
	if len(before) == 0 {
		t.Error("got no machine in zone a, want at least 1")
	}
}

// TestDrainWaitsForArrayTasksEndingSoon checks that a drain waits for array tasks that are about to end, and
// stops the others.
func TestDrainWaitsForArrayTasksEndingSoon(t *testing.T) {
	s := newDrainScenario(t, 35)
	s.startWithLeader()
	shortArray := s.submit(25*second, withTasks(16), withTeam("other"), withCPUs(1), withEstimateS(25))
	longArray := s.submit(400*second, withTasks(16), withTeam("other"), withCPUs(1), withEstimateS(400))
	s.sim.RunUntil(
		60*second,
		func() bool { return s.fleet.Running(shortArray) == 16 && s.fleet.Running(longArray) == 16 },
	)
	s.sim.Run(17 * second) // the short tasks have less time left than ArrayWait
	s.floors["other"] = 0
	s.sample()
	s.drainZone("rack", "a")
	s.putDrain(
		"rack2",
		storage.Drain{
			State:       storage.DrainActive,
			Selector:    storage.Selector{Zone: "b", Type: "m16"},
			MaxParallel: 9,
			LastMachine: "i-9",
		},
	)
	s.sim.Run(60 * second)
	restarts := func(id string) int {
		n := 0
		for i := range 16 {
			n += s.fleet.Starts[fmt.Sprintf("%s/%d", id, i)] - 1
		}
		return n
	}
	if restarts(shortArray) != 0 || restarts(longArray) == 0 {
		t.Errorf("got %d restarts of short tasks and %d of long ones, want 0 and at least 1",
			restarts(shortArray), restarts(longArray))
	}
	s.requireNoViolations()
}
