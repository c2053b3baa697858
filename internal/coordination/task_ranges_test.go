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

// TestQuotaLeft: the CPUs that a partition may still assign to a team's tasks within its share of the team's
// limit.
func TestQuotaLeft(t *testing.T) {
	cases := []struct {
		name           string
		owner          string
		incarnation    uint64 // of the shard's owner; 0: the current one of n-0
		inDoubtUpdates bool
		want           float64
	}{
		{"own shard", "n-0", 0, false, 6},
		{"own shard, and a commit in flight", "n-0", 0, true, 4},
		// When such a shard's tasks did not count as use, a team exceeded its limit after a restart of four
		// controllers.
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
			update := shards.NewUpdate("p", controller.mirror.Shards["p"], shard, protocol.Compare{})
			update.Assign(
				controller.mirror.Jobs["j-1"],
				storage.Attempt{Task: 2, Machine: "i-1", Number: 2},
				false,
			)
			controller.shards.Commit(update, controller.now()) // the outcome is not known yet
		}
		if got := controller.quota.RemainingQuota("tight").CPUs; got != tc.want {
			t.Errorf("%s: got %v CPUs left, want %v", tc.name, got, tc.want)
		}
		if got := controller.quota.Unallocated("tight").CPUs; got != 2 {
			t.Errorf("%s: got %v unallocated CPUs, want 2", tc.name, got)
		}
	}
}

// TestTeamLimitHoldsThroughRestarts: a team that has reached its limit never exceeds it when controllers
// crash at random times, and all of its jobs finish, so that no part of the limit is lost.
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

// TestOrphanedServicePreemptsLowerPriority: a service whose partition has lost its controller preempts tasks
// of lower priority if no partition has free room. The service would wait if only a partition with free room
// could take it over.
func TestOrphanedServicePreemptsLowerPriority(t *testing.T) {
	c := newCluster(t, 34)
	clear(c.cloud.Capacity)
	c.cloud.Capacity[fake.OfferKey("m8", "a", false)] = 6
	c.startWithLeader()
	array := c.submit(400*second, withTasks(90)) // more than fit, so that no room remains free
	if !c.sim.RunUntil(60*second, func() bool { return c.fleet.Running(array) == 24 }) {
		t.Fatalf("array: got %d running tasks after 60 s, want 24", c.fleet.Running(array))
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
		t.Fatal("not all 3 services are running after 20 s")
	}
	// A controller crashes, and the machines with the services that it placed fail.
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
		t.Errorf("not all 3 services are running 60 s after the crash of n-1, which had placed %d", lostServices)
	}
	c.requireNoViolations()
}

// TestUrgentJobIsStolenFirst: a small job of large tasks starts soon even if no task ends on the machines of
// the partition that it is assigned to. The other partitions steal its tasks: their free room goes to the
// most urgent job of all partitions, and not to their own tasks, which have more time.
func TestUrgentJobIsStolenFirst(t *testing.T) {
	c := newCluster(t, 300)
	clear(c.cloud.Capacity)
	c.cloud.Capacity[fake.OfferKey("m8", "a", false)] = 9
	c.adjustFacts = func(cfg *config.Config) {
		cfg.Facts.Objectives = []config.Objective{{Kind: "deadline", Class: "batch", DeadlineMultiple: 1}}
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
			t.Fatalf("job %s: task ranges not reassigned to %v within 5 s", id, partitions)
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
		// It took 12 s when partitions gave only leftover room to tasks of other partitions.
		t.Error("urgent job: not all 3 tasks have started after 9 s")
	}
	t.Logf("started after %.1f s", (c.sim.Now() - assignedAt).Seconds())
	c.requireNoViolations()
}

// TestLateQuotaReleaseFailsAfterReturn: a delayed commit that deletes the quota shares of a departed
// controller fails if the controller has returned in the meantime, even if it has left again. After its
// return it may have assigned tasks based on these shares.
func TestLateQuotaReleaseFailsAfterReturn(t *testing.T) {
	const commitDelay = 20 * second
	for _, tc := range []struct {
		name                 string
		returns, leavesAgain bool // the controller returns before the commit, and leaves again
	}{{"absent", false, false}, {"returned", true, false}, {"returned and left again", true, true}} {
		t.Run(tc.name, func(t *testing.T) {
			s := newScenario(t, 3300)
			s.start(s.nodeNames...)
			s.sim.Run(3 * second)
			fillTeamLimits(s)
			s.sim.Run(40 * second)
			departed := followerController(1)(s)
			key := storage.Key(storage.KindPartition, departed)
			if len(s.store.Keys(key)) == 0 {
				t.Fatalf("%s: no record of quota shares", departed)
			}
			releases := 0
			s.store.DelayCommit = func(txn *protocol.Transaction) monotime.Micros {
				if !changesQuotaShares(txn, true) {
					return 0
				}
				if releases++; releases > 1 {
					return 1000 * second // after the end of the test, so that only the first one matters
				}
				return commitDelay
			}
			s.kill(departed)
			if !s.sim.RunUntil(30*second, func() bool { return releases > 0 }) {
				t.Fatalf("%s: no release of its quota shares within 30 s", departed)
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
				t.Fatalf("%s: got member %v, want %v", departed, isMember(), tc.returns && !tc.leavesAgain)
			}
			s.sim.Run(commitDelay)
			if recordExists := len(s.store.Keys(key)) > 0; recordExists != tc.returns {
				t.Errorf("%s: record of quota shares exists: got %v, want %v", departed, recordExists, tc.returns)
			}
			s.requireNoViolations()
		})
	}
}
