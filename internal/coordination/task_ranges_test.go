package coordination

import (
	"testing"

	"pipitgap/internal/config"
	"pipitgap/internal/fake"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/shards"
	"pipitgap/internal/storage"
)

// TestQuotaLeft: what a partition may still assign within a team's limit.
func TestQuotaLeft(t *testing.T) {
	cases := []struct {
		name           string
		owner          string
		incarnation    uint64 // 0: this controller's
		inDoubtUpdates bool
		want           float64
	}{
		{"own shard", "n-0", 0, false, 6},
		{"own shard, and a commit in doubt", "n-0", 0, true, 4},
		// Once counted as free: after a restart of four controllers a team ran more
		// than its limit allows.
		{"a shard of an earlier incarnation, not claimed yet", "n-0", 7, false, 6},
		{"another partition's shard", "n-1", 7, false, 10},
	}
	for _, tc := range cases {
		c := newCluster(t, 33)
		c.start("n-0")
		controller := c.nodes["n-0"].controller
		controller.mirror.ApplyPut(
			storage.Key(storage.KindPartition, "n-0"),
			protocol.MustMarshal(&storage.Partition{
				QuotaShares: map[string]storage.QuotaShare{"tight": {CPUs: 10}}}),
			3,
		)
		controller.mirror.ApplyPut(storage.Key(storage.KindOpenJob, "j-1"), protocol.MustMarshal(&storage.OpenJob{
			Spec: storage.JobSpec{
				Team:  "tight",
				Tasks: 4,
				CPUs:  2,
			}, TaskRanges: []storage.TaskRange{{First: 0, End: 4, Partition: "n-0"}}}), 4)
		incarnation := tc.incarnation
		if incarnation == 0 {
			incarnation = controller.incarnation
		}
		shard := &storage.Shard{Owner: tc.owner, Incarnation: incarnation, Claim: 1,
			Machines: map[string]*storage.ShardMachine{}, Jobs: map[string]*storage.ShardJob{}}
		shard.AddMachine(
			"i-1",
			storage.ShardMachine{
				Type:     "m8",
				Zone:     "a",
				Endpoint: "10.1.0.1:9000",
				State:    storage.MachineOpen,
			},
		)
		shard.Assign("j-1", storage.Attempt{Task: 0, Machine: "i-1", Number: 1})
		shard.Assign("j-1", storage.Attempt{Task: 1, Machine: "i-1", Number: 1})
		encoded, _ := shard.Encode()
		controller.mirror.ApplyPut(storage.Key(storage.KindShard, "p"), encoded, 5)
		if tc.inDoubtUpdates {
			update := shards.NewUpdate("p", controller.mirror.Shards["p"], shard)
			update.Assign(
				controller.mirror.Jobs["j-1"],
				storage.Attempt{Task: 2, Machine: "i-1", Number: 2},
				false,
			)
			controller.shards.Commit(update, controller.now()) // its outcome comes later
		}
		if got := controller.quota.Left("tight").CPUs; got != tc.want {
			t.Errorf("%s: %v left, want %v", tc.name, got, tc.want)
		}
		if got := controller.quota.Unallocated("tight").CPUs; got != 2 {
			t.Errorf("%s: %v in the pool", tc.name, got)
		}
	}
}

// TestTeamLimitHoldsThroughRestarts: a team at its limit, controllers killed at any moment:
// never more than the limit runs, and what is left of it is found again.
func TestTeamLimitHoldsThroughRestarts(t *testing.T) {
	for seed := uint64(0); seed < 6; seed++ {
		c := newCluster(t, 600+seed).startWithLeader()
		var ids []string
		for i := 0; i < 8; i++ {
			ids = append(
				ids,
				c.submit(4*second, withTasks(14), withCPUs(1), withTeam("tight"), withSpot(true)),
			)
		}
		for i := 0; i < 6; i++ {
			c.sim.Run(2*second + c.randomDuration(6*second))
			stopped := c.nodeNames[:1+c.sim.Rand.IntN(3)]
			c.kill(stopped...)
			c.sim.Run(c.randomDuration(3 * second))
			c.start(stopped...)
		}
		for _, id := range ids {
			c.requireFinished(id, 300*second)
		}
		c.requireNoViolations()
	}
}

// TestOrphanedServicePreemptsLowerPriority: a service whose partition's controller has gone gets room by
// stopping lesser work, though no partition has any free. Left to whoever has room, it would wait.
func TestOrphanedServicePreemptsLowerPriority(t *testing.T) {
	c := newCluster(t, 34)
	clear(c.cloud.Capacity)
	c.cloud.Capacity[fake.OfferKey("m8", "a", false)] = 6
	c.startWithLeader()
	array := c.submit(400*second, withTasks(90)) // more than fits: no room stays free
	if !c.sim.RunUntil(60*second, func() bool { return c.fleet.Running(array) == 24 }) {
		t.Fatalf("array: %d run", c.fleet.Running(array))
	}
	var services []string
	for i := 0; i < 3; i++ {
		services = append(
			services,
			c.submit(0, withService(true), withPriority(protocol.Production), withCPUs(4)),
		)
	}
	allRunning := func() bool {
		for _, id := range services {
			if c.fleet.Running(id) != 1 {
				return false
			}
		}
		return true
	}
	if !c.sim.RunUntil(20*second, allRunning) {
		t.Fatal("services not started")
	}
	// A controller goes, and the machines with those services that it placed.
	lostServices := 0
	for _, id := range services {
		job := c.nodes["n-0"].controller.mirror.Jobs[id]
		if job.Record.TaskRanges[0].Partition != "n-1" {
			continue
		}
		for _, worker := range c.fleet.Workers {
			if worker.Attempts[id+"/0"] != nil {
				lostServices++
				worker.Partitioned = true
				c.fleet.MachineDown(worker.Machine)
			}
		}
	}
	if lostServices == 0 {
		t.Fatal("no service was placed by n-1")
	}
	c.kill("n-1")
	c.cloud.Capacity[fake.OfferKey("m8", "a", false)] = -100
	if !c.sim.RunUntil(60*second, allRunning) {
		t.Error("a service of the partition that has gone is still down")
	}
	c.requireNoViolations()
}

// TestUrgentJobIsStolenFirst: a small job of large tasks begins soon though nothing ends on
// the machines of the partition that it was given to, while the others' gaps would go to
// tasks that have more time: the most urgent of all goes first, wherever it waits.
func TestUrgentJobIsStolenFirst(t *testing.T) {
	c := newCluster(t, 300)
	clear(c.cloud.Capacity)
	c.cloud.Capacity[fake.OfferKey("m8", "a", false)] = 9
	c.adjustFacts = func(cfg *config.Config) {
		cfg.Facts.Objectives = []config.Objective{{Kind: "deadline", Class: "batch", Times: 1}}
	}
	c.startWithLeader()
	assignTo := func(id string, partitions ...string) {
		controller := c.nodes["n-0"].controller
		var ranges []storage.TaskRange
		tasks := controller.mirror.Jobs[id].Record.Spec.Tasks
		for i, partition := range partitions {
			ranges = append(
				ranges,
				storage.TaskRange{
					First:     tasks * i / len(partitions),
					End:       tasks * (i + 1) / len(partitions),
					Partition: partition,
				},
			)
		}
		if !c.sim.RunUntil(
			5*second,
			func() bool { return controller.scheduler.ReassignTaskRanges(controller.mirror.Jobs[id], ranges) },
		) {
			t.Fatalf("%s can't be given to %v", id, partitions)
		}
		c.sim.Run(second / 10)
	}
	assignTo(c.submit(400*second, withTasks(4), withDeadlineS(500), withEstimateS(400)), "n-2")
	assignTo(c.submit(6*second, withTasks(300), withDeadlineS(600)), "n-0", "n-1")
	c.sim.Run(40 * second)
	id := c.submit(6*second, withTasks(3), withCPUs(4), withDeadlineS(30))
	assignTo(id, "n-2")
	assignedAt := c.sim.Now()
	allStarted := func() bool {
		return c.fleet.Starts[id+"/0"] > 0 && c.fleet.Starts[id+"/1"] > 0 && c.fleet.Starts[id+"/2"] > 0
	}
	if !c.sim.RunUntil(9*second, allStarted) {
		t.Error("not begun after 9 s") // 12 when only room left over went to others' tasks
	}
	t.Logf("begun after %.1f s", (c.sim.Now() - assignedAt).Seconds())
	c.requireNoViolations()
}

// TestLateQuotaReleaseFailsAfterReturn: what an absent controller has of the limits is dropped, but not
// once it has been back: it may have assigned tasks under its record by then, though it is
// gone again when the drop is carried out.
func TestLateQuotaReleaseFailsAfterReturn(t *testing.T) {
	const commitDelay = 20 * second
	for _, tc := range []struct {
		name                 string
		returns, leavesAgain bool // it comes back, and is gone again
	}{{"away", false, false}, {"back", true, false}, {"back and gone again", true, true}} {
		t.Run(tc.name, func(t *testing.T) {
			s := newScenario(t, 3300)
			s.start(s.nodeNames...)
			s.sim.Run(3 * second)
			fillTeamLimits(s)
			s.sim.Run(40 * second)
			departed := followerController(1)(s)
			key := storage.Key(storage.KindPartition, departed)
			if len(s.store.Keys(key)) == 0 {
				t.Fatalf("%s has no share", departed)
			}
			releases := 0
			s.store.DelayCommit = func(txn *protocol.Transaction) monotime.Micros {
				if !changesQuotaShares(txn, true) {
					return 0
				}
				if releases++; releases > 1 {
					return 1000 * second // only the first is looked at
				}
				return commitDelay
			}
			s.kill(departed)
			if !s.sim.RunUntil(30*second, func() bool { return releases > 0 }) {
				t.Fatal("nobody drops the shares of the one that has gone")
			}
			isMember := func() bool { return s.nodes[s.nodeNames[0]].controller.membership.IsMember(departed) }
			if tc.returns {
				s.start(departed)
				s.sim.RunUntil(4*second, isMember)
			}
			if tc.leavesAgain {
				s.kill(departed)
				s.sim.RunUntil(10*second, func() bool { return !isMember() })
			}
			if isMember() != (tc.returns && !tc.leavesAgain) {
				t.Fatal("membership is not as the case wants it")
			}
			s.sim.Run(commitDelay)
			if recordExists := len(s.store.Keys(key)) > 0; recordExists != tc.returns {
				t.Errorf("its record is left: %v", recordExists)
			}
			s.requireNoViolations()
		})
	}
}
