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

// newBusyCluster returns a cluster with a service whose 24 replicas run, each on its own machine. The
// controllers have owned the machines for longer than a worker lease.
func newBusyCluster(t *testing.T, seed uint64) (c *cluster, service string) {
	c = newCluster(t, seed)
	clear(c.cloud.Capacity)
	for _, zone := range []string{"a", "b"} {
		c.cloud.Capacity[fake.OfferKey("m8", zone, false)] = 12
	}
	c.startWithLeader()
	service = c.submit(0, withService(true), withPriority(protocol.High), withTasks(24), withCPUs(6))
	if !c.sim.RunUntil(60*second, func() bool { return c.fleet.Running(service) == 24 }) {
		t.Fatalf("got %d running replicas of the service after 60 s, want 24", c.fleet.Running(service))
	}
	c.sim.Run(20 * second) // until the controllers have owned their machines for longer than a worker lease
	return c, service
}

// restartedTasks counts the starts of a job's tasks beyond the first start of each task.
func (c *cluster) restartedTasks(id string) int {
	restarts := 0
	for task, starts := range c.fleet.Starts {
		if jobIDOfTask(task) == id {
			restarts += starts - 1
		}
	}
	return restarts
}

// ownedMachines counts the machines that a controller owns according to the mirror of another running
// controller.
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

// controllerWithMachines returns the name of a controller that owns at least three machines. It is the leader
// if leading is true, and otherwise a follower.
func (c *cluster) controllerWithMachines(leading bool) string {
	for _, node := range c.nodeNames {
		if (c.leaderNode() == c.nodes[node]) == leading && c.ownedMachines(node) >= 3 {
			return node
		}
	}
	c.t.Fatalf("no controller with at least 3 machines and leading = %v", leading)
	return ""
}

// disconnect cuts a controller off from all workers, from all peers, or from both. It returns a function that
// reconnects the controller.
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

// TestPartiallyReachableControllerHandsOffMachines: no replica is lost if a controller, leading or not, is
// cut off from its workers, the state service, its peers, or several of these. Other controllers take over
// its machines before the worker leases expire, claim new machines, and run its waiting tasks. After it
// reconnects, it participates again. Earlier versions failed in two ways. Other controllers took over the
// workers one by one, in competition with the owner's own writes, and most leases expired. A controller that
// was cut off together with its workers kept them for as long as the cancellation deadline allows.
func TestPartiallyReachableControllerHandsOffMachines(t *testing.T) {
	for i, tc := range []struct {
		name                  string
		workers, store, peers bool
		leading               bool
		handOffTime           monotime.Micros // by then other controllers own its machines; 0: not checked
	}{
		{"workers", true, false, false, false, 9 * second},
		{"workers, leading", true, false, false, true, 9 * second},
		{"store", false, true, false, false, 12 * second},
		{"store, leading", false, true, false, true, 12 * second},
		{"store and peers", false, true, true, false, 16 * second},
		{"store and peers, leading", false, true, true, true, 16 * second},
		{"peers", false, false, true, false, 0},
		{"workers and peers", true, false, true, false, 0},
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
					t.Errorf("%s: got %d owned machines after %v s, want 0", node, n, tc.handOffTime.Seconds())
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
					t.Errorf("got %d machines that have not acknowledged their new owner, want 0", unacknowledged)
				}
			}
			if tc.workers && !tc.peers {
				for _, n := range c.nodeNames {
					if slices.Contains(c.nodes[n].controller.reachability.ConnectedControllers(), node) {
						t.Errorf("%s: ConnectedControllers contains %s, which is cut off from its workers", n, node)
					}
				}
			}
			array := c.submit(3*second, withTasks(30), withCPUs(2))
			c.requireFinished(array, 60*second)
			if n := c.restartedTasks(service); n > 0 {
				t.Errorf("got %d restarted replicas, want 0", n)
			}
			if tc.workers && tc.handOffTime > 0 && c.ownedMachines(node) > 0 {
				t.Errorf("%s: got %d owned machines that it can't reach, want 0", node, c.ownedMachines(node))
			}
			reconnect()
			c.store.RefusedCallers[node] = false
			c.sim.Run(15 * second)
			if response := c.requestAndWait(node, "GET", "/healthz", nil); response.Status != 200 {
				t.Errorf("%s: got status %d for a health check after reconnecting, want 200", node, response.Status)
			}
			if c.nodes[node].controller.reachability.WorkersUnreachable() {
				t.Errorf("%s: still considers its workers unreachable after reconnecting", node)
			}
			if n := c.restartedTasks(service); n > 0 {
				t.Errorf("got %d restarted replicas after the reconnection, want 0", n)
			}
			c.requireNoViolations()
		})
	}
}

// TestQuotaOfAbsentControllerIsReleased: if a controller is down or cut off from its workers, the other
// controllers get its share of a team's limit, including the unused part. The return of the controller does
// not undo that, and the team never exceeds its limit.
func TestQuotaOfAbsentControllerIsReleased(t *testing.T) {
	for i, failure := range []string{"down", "cut off from its workers"} {
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
			firstJob := c.submit(15*second, withTeam("tight"), withTasks(60), withCPUs(1))
			c.sim.Run(5 * second)
			node, largestShare := "", 0.0
			for _, n := range c.nodeNames {
				if share := c.nodes[n].controller.quota.ShareOf(n, "tight").CPUs; share > largestShare &&
					c.ownedMachines(n) >= 3 {
					node, largestShare = n, share
				}
			}
			if node == "" {
				t.Fatal("no controller with at least 3 machines has a share")
			}
			if failure == "down" {
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
				t.Errorf("%s: got a share of %v CPUs after 15 s, want 0", node, share)
			}
			c.requireFinished(firstJob, 60*second)
			secondJob := c.submit(20*second, withTeam("tight"), withTasks(90), withCPUs(1))
			maxRunning := 0
			c.sim.RunUntil(40*second, func() bool {
				maxRunning = max(maxRunning, c.fleet.Running(secondJob))
				return maxRunning >= 86
			})
			if maxRunning < 86 {
				t.Errorf("got at most %d of 90 tasks running at once, want at least 86", maxRunning)
			}
			if failure == "down" {
				c.start(node)
			}
			c.sim.Run(20 * second)
			c.requireNoViolations()
		})
	}
}

// TestSearchingWorkersCauseNoHandOff: a controller does not hand off machines that are silent only because
// their workers still try other controllers. It detects that from their answers to probes.
func TestSearchingWorkersCauseNoHandOff(t *testing.T) {
	c, service := newBusyCluster(t, 1050)
	ownedBefore := c.ownedMachines("n-0") + c.ownedMachines("n-1")
	c.kill("n-0", "n-1")
	for id, machine := range c.nodes["n-2"].controller.mirror.Machines {
		if machine.Record != nil && machine.Owner() != "n-2" {
			c.mutedMachines[id] = true // as if their workers were waiting for controllers that do not answer
		}
	}
	c.start("n-0", "n-1")
	c.sim.Run(9 * second)
	if n := c.ownedMachines("n-0") + c.ownedMachines("n-1"); n < ownedBefore {
		t.Errorf("n-0 and n-1: got %d owned machines, want at least the %d from before the restart", n, ownedBefore)
	}
	clear(c.mutedMachines)
	c.sim.Run(20 * second)
	if n := c.fleet.Running(service); n != 24 {
		t.Errorf("got %d running replicas, want 24", n)
	}
	c.requireNoViolations()
}

// TestLastReachableControllerKeepsWorkers: a controller that reaches neither the state service nor its peers
// sends its workers to other controllers. A worker that returns has found no other controller, so this
// controller answers it again.
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
		t.Errorf(
			"got %d restarted replicas, want at most the %d on machines of the other controllers",
			n,
			24-ownReplicas,
		)
	}
	c.requireNoViolations()
}

// TestPausedControllerDistrustsStaleState: a controller, leading or not, whose process was paused while the
// clocks kept running does not consider peers or workers dead when it resumes, because it was the one that
// received nothing. It also does not act on its outdated state, even if its membership lease or its workers'
// leases expired during the pause.
func TestPausedControllerDistrustsStaleState(t *testing.T) {
	for i, tc := range []struct {
		name        string
		leading     bool
		pauseTime   monotime.Micros
		maxRestarts int // replicas that may restart
	}{
		{"2 s", false, 2 * second, 0},
		{"2 s, leading", true, 2 * second, 0},
		{"within its lease and its workers' leases", false, 5 * second, 0},
		{"past its lease", false, 8 * second, 0},
		{"past its lease, leading", true, 8 * second, 0},
		{"past its workers' leases", false, 25 * second, 0},
		{"past its workers' leases, leading", true, 25 * second, 0},
		{"60 s, leading", true, 60 * second, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, service := newBusyCluster(t, uint64(1200+i))
			node := c.controllerWithMachines(tc.leading)
			machinesBefore := c.cloud.MachineCount()
			array := c.submit(6*second, withTasks(24), withCPUs(1))
			c.sim.Run(2 * second)
			c.pause(node, tc.pauseTime)
			c.sim.Run(tc.pauseTime + 30*second)
			c.requireFinished(array, 40*second)
			if n := c.restartedTasks(service); n > tc.maxRestarts {
				t.Errorf("got %d restarted replicas, want at most %d", n, tc.maxRestarts)
			}
			if n := c.cloud.MachineCount(); n < machinesBefore {
				t.Errorf("got %d machines, want at least %d as before the pause", n, machinesBefore)
			}
			if c.nodes[node].controller.reachability.WorkersUnreachable() ||
				c.nodes[node].controller.mirror.Members[node].Version == 0 {
				t.Errorf(
					"%s: got workers unreachable %v, member version %d after the pause, want false and not 0",
					node,
					c.nodes[node].controller.reachability.WorkersUnreachable(),
					c.nodes[node].controller.mirror.Members[node].Version,
				)
			}
			c.requireNoViolations()
		})
	}
}

// TestHeartbeatAfterPauseWaitsForFreshMirror: a heartbeat that a controller handles just after a pause may
// have been queued for the whole pause. The controller does not answer it before the mirror is up to date.
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
	controller.tick() // the first action after the pause; it detects the pause
	c.sim.Run(monotime.Millisecond)
	if status == 200 ||
		controller.agents.Of(machine) != nil && controller.agents.Of(machine).LastReachedAt() > lastReachedAt {
		t.Errorf(
			"got status %d for the heartbeat, want no 200 and no proof of contact from the queued heartbeat",
			status,
		)
	}
}

// TestReturnedControllerReclaimsUnderWriteThrottling: a restarted controller claims its shards again within
// three seconds, although other clients use up the write rate limit of the state service. Such a claim is a
// commit with many writes. The service once rejected it for seconds, because commits with few writes took the
// remaining tokens first.
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
		t.Fatalf("%s: got %d shards, want at least 3", node, mostShards)
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
		t.Errorf("%s: got %d of %d shards claimed again after 3 s, want all", node, reclaimed, shards)
	}
	c.requireNoViolations()
}
