package coordination

import (
	"fmt"
	"slices"
	"testing"

	"pipitgap/internal/config"
	"pipitgap/internal/fake"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/sortedmap"
)

// newBusyCluster is a cluster with services and arrays running on all three parts.
func newBusyCluster(t *testing.T, seed uint64) (c *cluster, service string) {
	c = newCluster(t, seed)
	clear(c.cloud.Capacity)
	for _, zone := range []string{"a", "b"} {
		c.cloud.Capacity[fake.OfferKey("m8", zone, false)] = 12
	}
	c.startWithLeader()
	service = c.submit(0, withService(true), withPriority(protocol.High), withTasks(24), withCPUs(6))
	if !c.sim.RunUntil(60*second, func() bool { return c.fleet.Running(service) == 24 }) {
		t.Fatal("the service isn't up")
	}
	c.sim.Run(20 * second) // their owners have held them for longer than a lease
	return c, service
}

// restartedTasks counts the starts of a job's tasks beyond their first.
func (c *cluster) restartedTasks(id string) int {
	restarts := 0
	for task, starts := range c.fleet.Starts {
		if jobIDOfTask(task) == id {
			restarts += starts - 1
		}
	}
	return restarts
}

// ownedMachines counts the machines that the store has with a controller.
func (c *cluster) ownedMachines(node string) int {
	count := 0
	for _, other := range c.nodeNames {
		if controller := c.nodes[other].controller; controller != nil && other != node {
			for _, machine := range controller.mirror.Machines {
				if machine.Record != nil && machine.Owner() == node {
					count++
				}
			}
			return count
		}
	}
	return count
}

// controllerWithMachines names a controller that has machines, and the lead or not.
func (c *cluster) controllerWithMachines(leading bool) string {
	for _, node := range c.nodeNames {
		if (c.leaderNode() == c.nodes[node]) == leading && c.ownedMachines(node) >= 3 {
			return node
		}
	}
	c.t.Fatal("no such controller")
	return ""
}

// disconnect cuts a controller from all workers, or from the controllers, or both; it gives
// the way back.
func (c *cluster) disconnect(node string, workers, peers bool) (reconnect func()) {
	previous := map[string]bool{}
	for k, v := range c.disconnectedPairs {
		previous[k] = v
	}
	if workers {
		for i := 1; i < 200; i++ {
			c.disconnectedPairs[fmt.Sprintf("i-%06d-%s", i, node)] = true
		}
	}
	if peers {
		for _, n := range c.nodeNames {
			c.disconnectedPairs[n+"-"+node] = true
		}
	}
	return func() { c.disconnectedPairs = previous }
}

// TestPartiallyReachableControllerHandsOffMachines: a controller that loses its workers, the store, the
// others, or several of these at once, with and without the lead, loses no replica: its machines are others'
// before their leases end, new ones are claimed by others, what waits there goes on elsewhere; and when it is
// back it takes part again. Its workers used to be taken over one by one, against its own writes, and most of
// their leases ended; cut off with its workers it kept them for as long as cancellations allow.
func TestPartiallyReachableControllerHandsOffMachines(t *testing.T) {
	for i, tc := range []struct {
		name                  string
		workers, store, peers bool
		leading               bool
		handOffTime           monotime.Micros // by when its machines are others'
	}{
		{"workers", true, false, false, false, 9 * second},
		{"workers, leading", true, false, false, true, 9 * second},
		{"store", false, true, false, false, 12 * second},
		{"store, leading", false, true, false, true, 12 * second},
		{"store and controllers, not its workers", false, true, true, false, 16 * second},
		{"store and controllers, not its workers, leading", false, true, true, true, 16 * second},
		{"controllers", false, false, true, false, 0},
		{"workers and controllers", true, false, true, false, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, service := newBusyCluster(t, uint64(1000+i))
			node := c.controllerWithMachines(tc.leading)
			reconnect := c.disconnect(node, tc.workers, tc.peers)
			if tc.store {
				c.store.RefusedCallers[node] = true
			}
			if tc.handOffTime > 0 {
				c.sim.Run(tc.handOffTime)
				if n := c.ownedMachines(node); n > 0 {
					t.Errorf("it still has %d machines", n)
				}
				unacknowledged := 0
				for _, n := range c.nodeNames {
					for _, machine := range c.nodes[n].controller.mirror.Machines {
						if n != node && c.nodes[n].controller.agents.Of(machine) != nil &&
							!c.nodes[n].controller.agents.Of(machine).ClaimAcknowledged() {
							unacknowledged++
						}
					}
				}
				if unacknowledged > 0 {
					t.Errorf("%d machines have not come to their new owners", unacknowledged)
				}
			}
			if tc.workers && !tc.peers {
				for _, n := range c.nodeNames {
					if slices.Contains(c.nodes[n].controller.reachability.ConnectedControllers(), node) {
						t.Errorf("%s would give it machines and tasks", n)
					}
				}
			}
			array := c.submit(3*second, withTasks(30), withCPUs(2))
			c.requireFinished(array, 60*second)
			if n := c.restartedTasks(service); n > 0 {
				t.Errorf("%d replicas started anew", n)
			}
			if tc.workers && tc.handOffTime > 0 && c.ownedMachines(node) > 0 {
				t.Errorf("it has claimed %d machines that it doesn't reach", c.ownedMachines(node))
			}
			reconnect()
			c.store.RefusedCallers[node] = false
			c.sim.Run(15 * second)
			if response := c.requestAndWait(node, "GET", "/healthz", nil); response.Status != 200 {
				t.Errorf("not healthy after its return: %d", response.Status)
			}
			if c.nodes[node].controller.reachability.WorkersUnreachable() {
				t.Error("it doesn't know that it reaches workers again")
			}
			if n := c.restartedTasks(service); n > 0 {
				t.Errorf("%d replicas started anew after its return", n)
			}
			c.requireNoViolations()
		})
	}
}

// TestQuotaOfAbsentControllerIsReleased: a controller's share of a team's limit goes to the others when it
// has gone, or can't use it, also what it had kept beyond what ran there; its return changes nothing of that,
// and the limit holds.
func TestQuotaOfAbsentControllerIsReleased(t *testing.T) {
	for i, failure := range []string{"gone", "cut off from its workers"} {
		t.Run(failure, func(t *testing.T) {
			c := newCluster(t, uint64(1070+i))
			clear(c.cloud.Capacity)
			for _, zone := range []string{"a", "b"} {
				c.cloud.Capacity[fake.OfferKey("m8", zone, false)] = 12
			}
			c.teams = []config.Team{{Name: "free"}, {Name: "tight", CPUs: 8, CPUsMax: 90}}
			c.checker.Limits["tight"] = 90
			c.startWithLeader()
			c.submit(0, withService(true), withPriority(protocol.High), withTasks(24), withCPUs(2))
			c.sim.Run(40 * second)
			first := c.submit(15*second, withTeam("tight"), withTasks(60), withCPUs(1))
			c.sim.Run(5 * second)
			node, largestShare := "", 0.0
			for _, n := range c.nodeNames {
				if share := c.nodes[n].controller.quota.ShareOf(n, "tight").CPUs; share > largestShare &&
					c.ownedMachines(n) >= 3 {
					node, largestShare = n, share
				}
			}
			if node == "" {
				t.Fatal("no controller has a share")
			}
			if failure == "gone" {
				c.kill(node)
			} else {
				c.disconnect(node, true, false)
			}
			c.sim.Run(15 * second)
			other := c.nodeNames[0]
			if other == node {
				other = c.nodeNames[1]
			}
			controller := c.nodes[other].controller
			if share := controller.quota.ShareOf(node, "tight").CPUs; share > 0 {
				t.Errorf("it still has %v CPUs", share)
			}
			c.requireFinished(first, 60*second)
			fullLimit := c.submit(20*second, withTeam("tight"), withTasks(90), withCPUs(1))
			maxRunning := 0
			c.sim.RunUntil(40*second, func() bool {
				maxRunning = max(maxRunning, c.fleet.Running(fullLimit))
				return maxRunning >= 86
			})
			if maxRunning < 86 {
				t.Errorf("%d of 90 run at once", maxRunning)
			}
			if failure == "gone" {
				c.start(node)
			}
			c.sim.Run(20 * second)
			c.requireNoViolations()
		})
	}
}

// TestSearchingWorkersCauseNoHandOff: machines whose workers send no heartbeats because they still look for
// their controller are not handed off: they answer probes.
func TestSearchingWorkersCauseNoHandOff(t *testing.T) {
	c, service := newBusyCluster(t, 1050)
	before := c.ownedMachines("n-0") + c.ownedMachines("n-1")
	c.kill("n-0", "n-1")
	for id, machine := range c.nodes["n-2"].controller.mirror.Machines {
		if machine.Record != nil && machine.Owner() != "n-2" {
			c.mutedMachines[id] = true // at ones that hang
		}
	}
	c.start("n-0", "n-1")
	c.sim.Run(9 * second)
	if n := c.ownedMachines("n-0") + c.ownedMachines("n-1"); n < before {
		t.Errorf("they have %d machines of %d", n, before)
	}
	clear(c.mutedMachines)
	c.sim.Run(20 * second)
	if n := c.fleet.Running(service); n != 24 {
		t.Errorf("%d replicas run", n)
	}
	c.requireNoViolations()
}

// TestLastReachableControllerKeepsWorkers: a controller that reaches neither store nor controllers sends its
// workers away, but one that comes back has found nobody else and is kept.
func TestLastReachableControllerKeepsWorkers(t *testing.T) {
	c, service := newBusyCluster(t, 1100)
	node := "n-0"
	c.refuseConnections = true
	c.store.Outage(16 * second)
	c.kill("n-1", "n-2")
	ownReplicas := 0
	for _, machine := range c.nodes[node].controller.mirror.Machines {
		if c.nodes[node].controller.agents.Of(machine) != nil {
			ownReplicas += len(machine.Attempts)
		}
	}
	c.sim.Run(18 * second)
	c.start("n-1", "n-2")
	c.sim.Run(20 * second)
	if n := c.restartedTasks(service); n > 24-ownReplicas {
		t.Errorf("%d replicas started anew, only %d were others'", n, 24-ownReplicas)
	}
	c.requireNoViolations()
}

// TestPausedControllerTrustsNothingStale: a controller that is paused while its clocks run on, leading or
// not, past its store lease or its workers', takes no peer or worker for dead when it resumes, as it
// was itself that received nothing, and acts on none of its stale state.
func TestPausedControllerTrustsNothingStale(t *testing.T) {
	for i, tc := range []struct {
		name        string
		leading     bool
		pauseTime   monotime.Micros
		maxRestarts int // replicas that start anew
	}{
		{"for a moment", false, 2 * second, 0},
		{"for a moment, leading", true, 2 * second, 0},
		{"within its lease and its workers'", false, 5 * second, 0},
		{"past its lease", false, 8 * second, 0},
		{"past its lease, leading", true, 8 * second, 0},
		{"past its workers' leases", false, 25 * second, 0},
		{"past its workers' leases, leading", true, 25 * second, 0},
		{"for a minute", true, 60 * second, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, service := newBusyCluster(t, uint64(1200+i))
			node := c.controllerWithMachines(tc.leading)
			machines := c.cloud.MachineCount()
			array := c.submit(6*second, withTasks(24), withCPUs(1))
			c.sim.Run(2 * second)
			c.pause(node, tc.pauseTime)
			c.sim.Run(tc.pauseTime + 30*second)
			c.requireFinished(array, 40*second)
			if n := c.restartedTasks(service); n > tc.maxRestarts {
				t.Errorf("%d replicas started anew", n)
			}
			if n := c.cloud.MachineCount(); n < machines {
				t.Errorf("%d machines left of %d", n, machines)
			}
			if c.nodes[node].controller.reachability.WorkersUnreachable() ||
				c.nodes[node].controller.mirror.Members[node].Version == 0 {
				t.Error("it doesn't take part again")
			}
			c.requireNoViolations()
		})
	}
}

// TestHeartbeatAfterPauseWaitsForFreshMirror: a heartbeat that is handled just after a pause may have waited
// all that time; it is not answered before the mirror is fresh.
func TestHeartbeatAfterPauseWaitsForFreshMirror(t *testing.T) {
	c, _ := newBusyCluster(t, 1300)
	controller := c.nodes["n-0"].controller
	var machine *mirror.Machine
	for _, id := range sortedmap.Keys(controller.mirror.Machines) {
		if candidate := controller.mirror.Machines[id]; controller.agents.Of(candidate) != nil {
			machine = candidate
		}
	}
	worker := c.fleet.Workers[machine.ID]
	body := protocol.MustMarshal(worker.Heartbeat())
	lastReachedAt := controller.agents.Of(machine).LastReachedAt()
	status := 0
	c.pause(controller.node, 5*second)
	c.sendRequest(
		controller.node,
		"POST",
		protocol.HeartbeatPath,
		body,
		func(response Response) { status = response.Status },
	)
	c.sim.Run(5 * second)
	controller.tick() // the first thing that it does
	c.sim.Run(monotime.Millisecond)
	if status == 200 ||
		controller.agents.Of(machine) != nil && controller.agents.Of(machine).LastReachedAt() > lastReachedAt {
		t.Errorf("answered %d", status)
	}
}

// TestReturnedControllerReclaimsUnderWriteThrottling: a controller that is back has its shards again soon,
// though the others use up all changes that the store takes: commits of many changes
// were refused for seconds, as each of a few took what was left before.
func TestReturnedControllerReclaimsUnderWriteThrottling(t *testing.T) {
	c := newBurstCluster(t, 1500, func(cfg *config.Config) { cfg.Facts.State.ValueKB = 0.5 })
	c.submit(0, withTeam("home"), withService(true), withPriority(protocol.High), withTasks(50), withCPUs(3))
	c.sim.Run(20 * second)
	node, mostShards := "", 0
	countShards := func(node string) (shards, reclaimed int) {
		for _, shard := range c.nodes["n-2"].controller.mirror.Shards {
			if shard.Record.Owner == node {
				shards++
				if controller := c.nodes[node].controller; controller != nil &&
					shard.Record.Incarnation == controller.incarnation {
					reclaimed++
				}
			}
		}
		return shards, reclaimed
	}
	for _, n := range c.nodeNames[:2] {
		if shards, _ := countShards(n); shards > mostShards {
			node, mostShards = n, shards
		}
	}
	if mostShards < 3 {
		t.Fatalf("%d shards", mostShards)
	}
	var writeRepeatedly func()
	writeRepeatedly = func() {
		call := &protocol.StoreCall{
			Op:      protocol.StoreCommit,
			Timeout: second,
			Transaction: protocol.Transaction{
				Then: []protocol.Op{{Put: "noise", Value: protocol.MustMarshal(1)}},
			},
		}
		c.store.Call("noise", call, func(protocol.StoreResult) {})
		c.sim.After(15*monotime.Millisecond, writeRepeatedly)
	}
	writeRepeatedly()
	c.kill(node)
	c.sim.Run(300 * monotime.Millisecond)
	c.start(node)
	if !c.sim.RunUntil(3*second, func() bool {
		shards, reclaimed := countShards(node)
		return reclaimed == shards
	}) {
		shards, reclaimed := countShards(node)
		t.Errorf("after three seconds %d of %d shards are its own", reclaimed, shards)
	}
	c.requireNoViolations()
}
