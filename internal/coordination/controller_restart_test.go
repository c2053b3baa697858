package coordination

import (
	"fmt"
	"testing"

	"pipitgap/internal/fake"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// TestControllerRestartsLoseNoJobs guards against lost jobs and against tasks that run twice when controllers
// crash at random times and restart with only the records in the state service.
func TestControllerRestartsLoseNoJobs(t *testing.T) {
	for seed := uint64(0); seed < 6; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := newCluster(t, 300+seed).startWithLeader()
			var ids []string
			for i := 0; i < 6; i++ {
				ids = append(ids, c.submit(6*second, withTasks(12), withSpot(i%2 == 0)))
			}
			service := c.submit(0, withService(true), withTasks(3), withPriority(protocol.Production))
			for i := 0; i < 5; i++ {
				c.sim.Run(monotime.Micros(c.sim.Rand.Int64N(int64(8 * second))))
				down := c.nodeNames[:1+c.sim.Rand.IntN(3)]
				c.kill(down...)
				c.sim.Run(monotime.Micros(c.sim.Rand.Int64N(int64(4 * second))))
				c.start(down...)
			}
			c.requireAllFinished(ids, 300*second)
			c.requireReplicas(service, 3, 60*second)
			c.requireNoViolations()
		})
	}
}

// TestSingleFaultsKeepInvariants checks that each fault alone, while jobs run, violates no invariant.
func TestSingleFaultsKeepInvariants(t *testing.T) {
	cases := []struct {
		name   string
		inject func(c *cluster)
	}{
		{"store outage", func(c *cluster) { c.store.Outage(20 * second); c.sim.Run(20 * second) }},
		{"store outage during which all controllers restart", func(c *cluster) {
			c.store.Outage(15 * second)
			c.sim.Run(5 * second)
			c.kill(c.nodeNames...)
			c.sim.Run(3 * second)
			c.start(c.nodeNames...)
			c.sim.Run(8 * second)
		}},
		{"the store rejects one controller only", func(c *cluster) {
			c.store.RefusedCallers["n-0"] = true
			c.sim.Run(40 * second)
			delete(c.store.RefusedCallers, "n-0")
		}},
		{"lost commit answers", func(c *cluster) {
			n := 0
			c.store.LoseResponse = func(*protocol.Transaction) bool { n++; return n%4 == 0 }
			c.sim.Run(20 * second)
			c.store.LoseResponse = nil
		}},
		{"delayed commits", func(c *cluster) {
			n := 0
			c.store.DelayCommit = func(*protocol.Transaction) monotime.Micros {
				if n++; n%5 == 0 {
					return 7 * second
				}
				return 0
			}
			c.sim.Run(20 * second)
			c.store.DelayCommit = nil
		}},
		{"delayed direct commands", func(c *cluster) {
			n := 0
			c.commandDelay = func(*fake.Worker, *protocol.CommandRequest) monotime.Micros {
				if n++; n%2 == 0 {
					return 9 * second
				}
				return 0
			}
			c.sim.Run(30 * second)
			c.commandDelay = nil
		}},
		{"machines cut off for longer than their lease", func(c *cluster) {
			for i, id := range sortedmap.Keys(c.fleet.Workers) {
				c.fleet.Workers[id].Partitioned = i%2 == 0
			}
			c.sim.Run(14 * second)
			for _, worker := range c.fleet.Workers {
				worker.Partitioned = false
			}
		}},
		{"machines whose heartbeats are lost, but that commands reach", func(c *cluster) {
			for i, id := range sortedmap.Keys(c.fleet.Workers) {
				c.mutedMachines[id] = i%2 == 0
			}
			c.sim.Run(16 * second)
			clear(c.mutedMachines)
		}},
		{"machines whose heartbeats arrive, but that nothing reaches", func(c *cluster) {
			for i, id := range sortedmap.Keys(c.fleet.Workers) {
				c.unreachableMachines[id] = i%2 == 0
			}
			c.sim.Run(40 * second)
			clear(c.unreachableMachines)
		}},
		{"machines hang for less than their lease", func(c *cluster) {
			for i, id := range sortedmap.Keys(c.fleet.Workers) {
				c.fleet.Workers[id].Paused = i%2 == 0
			}
			c.sim.Run(8 * second)
			for _, worker := range c.fleet.Workers {
				worker.Paused = false
			}
		}},
		{"machines die", func(c *cluster) {
			for i, id := range sortedmap.Keys(c.fleet.Workers) {
				if i%2 == 0 {
					c.fleet.Workers[id].Partitioned = true
					c.fleet.MachineDown(c.cloud.Machines[id])
				}
			}
		}},
		{"a machine on which every task fails", func(c *cluster) {
			c.fleet.Workers[sortedmap.Keys(c.fleet.Workers)[0]].FailsTasks = true
		}},
		{"workers cut off from n-0 only", func(c *cluster) {
			for _, id := range sortedmap.Keys(c.fleet.Workers) {
				c.disconnectedPairs[id+"-n-0"] = true
			}
			c.sim.Run(30 * second)
			clear(c.disconnectedPairs)
		}},
		{"controllers cut off from each other", func(c *cluster) {
			for _, pair := range []string{"n-0-n-1", "n-1-n-2", "n-0-n-2"} {
				c.disconnectedPairs[pair] = true
			}
			c.sim.Run(20 * second)
		}},
		{"cloud unavailable, then throttling", func(c *cluster) {
			c.cloud.Unavailable = true
			c.sim.Run(15 * second)
			c.cloud.Unavailable, c.cloud.Throttling = false, true
			c.sim.Run(10 * second)
			c.cloud.Throttling = false
		}},
		{"machines that no controller rented", func(c *cluster) {
			for i := 0; i < 3; i++ {
				c.cloud.AddMachine("m8", "b", i == 0)
			}
		}},
	}
	for i, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, uint64(400+i)).startWithLeader()
			service := c.submit(0, withService(true), withTasks(4), withPriority(protocol.Production))
			var ids []string
			for k := 0; k < 4; k++ {
				ids = append(ids, c.submit(8*second, withTasks(20), withCPUs(1), withSpot(true),
					withTeam([]string{"free", "tight"}[k%2])))
			}
			c.sim.Run(18 * second)
			tc.inject(c)
			c.requireAllFinished(ids, 400*second)
			c.requireReplicas(service, 4, 90*second)
			c.requireNoViolations()
		})
	}
}

// TestImmediateRestartWithOldLeaseKeepsInvariants checks controllers that crash at random times, also during
// an election, and restart within half a second. The leases and incarnations from before the crash are still
// in the state service, and commits that the controllers sent before the crash are applied late.
func TestImmediateRestartWithOldLeaseKeepsInvariants(t *testing.T) {
	for seed := uint64(0); seed < 8; seed++ {
		c := newCluster(t, 900+seed).startWithLeader()
		service := c.submit(0, withService(true), withTasks(4), withPriority(protocol.Production))
		var ids []string
		for i := 0; i < 5; i++ {
			ids = append(ids, c.submit(5*second, withTasks(16), withCPUs(1), withSpot(true),
				withTeam([]string{"free", "tight"}[i%2])))
		}
		c.store.DelayCommit = func(*protocol.Transaction) monotime.Micros {
			if c.sim.Rand.IntN(12) == 0 {
				return c.randomDuration(9 * second)
			}
			return 0
		}
		for i := 0; i < 12; i++ {
			c.sim.Run(c.randomDuration(4 * second))
			down := []string{c.nodeNames[c.sim.Rand.IntN(3)]}
			if leader := c.leaderNode(); leader != nil && i%2 == 0 {
				down = []string{leader.name}
			}
			c.kill(down...)
			c.sim.Run(c.randomDuration(second / 2))
			c.start(down...)
			if i%3 == 0 { // crashes again before it has loaded the records
				c.sim.Run(c.randomDuration(second / 4))
				c.kill(down...)
				c.start(down...)
			}
		}
		c.store.DelayCommit = nil
		c.requireAllFinished(ids, 300*second)
		c.requireReplicas(service, 4, 60*second)
		c.requireNoViolations()
		if t.Failed() {
			t.Fatalf("seed %d: got a failure, want none", 900+seed)
		}
	}
}

// TestAcceptedJobsStayKnownOnAllControllers checks that, once all faults have ended, every controller answers
// requests about every accepted job, also about one whose record this version cannot decode.
func TestAcceptedJobsStayKnownOnAllControllers(t *testing.T) {
	c := newCluster(t, 35).startWithLeader()
	var ids []string
	for i := 0; i < 30; i++ {
		ids = append(ids, c.submit(monotime.Micros(1+i%3)*40*second, withTasks(1+i%5)))
	}
	undecodable := "j-odd"
	c.store.Outage(12 * second)
	c.sim.Run(4 * second)
	c.kill(c.nodeNames...)
	c.sim.Run(2 * second)
	c.start(c.nodeNames...)
	c.sim.Run(8 * second)
	c.store.Call(
		"test",
		&protocol.StoreCall{
			Op:      protocol.StoreCommit,
			Timeout: second,
			Transaction: protocol.Transaction{Then: []protocol.Op{
				{
					Put:   storage.Key(storage.KindOpenJob, undecodable),
					Value: protocol.MustMarshal("another layout"),
				}}},
		},
		func(protocol.StoreResult) {},
	)
	for _, seconds := range []int{20, 60} {
		c.sim.Run(monotime.Micros(seconds) * second)
		for _, node := range c.nodeNames {
			for _, id := range append(ids, undecodable) {
				if code, _ := c.jobStatus(node, id); code != 200 {
					t.Errorf("job %s on %s: got status %d, want 200", id, node, code)
				}
			}
		}
	}
}

// TestBriefCrashKeepsMachineOwners guards against a takeover of the machines of two controllers that
// crash and restart within three seconds. The remaining controller gets heartbeats from all of their workers
// while its peers' last statuses are still fresh. A takeover at that time cost many commits that conflicted
// on the same quota shares. By contrast, an owner that runs but is unreachable for its workers must lose
// them.
func TestBriefCrashKeepsMachineOwners(t *testing.T) {
	for _, crash := range []bool{true, false} {
		c := newCluster(t, 61).startWithLeader()
		c.refuseConnections = true
		for i := 0; i < 6; i++ {
			c.submitWithRetry(
				0,
				withService(true),
				withTasks(4),
				withCPUs(4),
				withTeam([]string{"free", "tight"}[i%2]),
			)
		}
		c.sim.Run(45 * second)
		owners := func() map[string]string {
			byMachine := map[string]string{}
			for id, machine := range c.nodes["n-0"].controller.mirror.Machines {
				if machine.Record != nil {
					byMachine[id] = machine.Owner()
				}
			}
			return byMachine
		}
		ownersBefore := owners()
		peerMachines := 0
		for machineID, owner := range ownersBefore {
			if owner != "n-0" {
				peerMachines++
				if !crash {
					c.disconnectedPairs[machineID+"-"+owner] = true
				}
			}
		}
		conflicts := c.store.ChangesByKind["!"+string(storage.KindPartition)]
		if crash {
			c.kill("n-1", "n-2")
		}
		c.sim.Run(3 * second)
		if crash {
			c.start("n-1", "n-2")
		}
		c.sim.Run(17 * second)
		changed := 0
		for machineID, owner := range owners() {
			if ownersBefore[machineID] != "" && ownersBefore[machineID] != owner {
				changed++
			}
		}
		if peerMachines < 3 || crash && changed > 0 || !crash && changed < peerMachines {
			t.Errorf("crash %v: got %d of the peers' %d machines with a new owner, "+
				"want 0 of at least 3 after a crash, and otherwise all", crash, changed, peerMachines)
		}
		if n := c.store.ChangesByKind["!"+string(storage.KindPartition)] - conflicts; n > 12 {
			t.Errorf("crash %v: got %d commit conflicts on quota shares, want at most 12", crash, n)
		}
		c.requireNoViolations()
	}
}
