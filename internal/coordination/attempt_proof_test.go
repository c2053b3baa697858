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

// TestLateRunAfterReapStartsNothing guards against a late duplicate of a direct command batch that starts its
// task again after the task has completed and been reaped.
func TestLateRunAfterReapStartsNothing(t *testing.T) {
	c := newCluster(t, 7).startWithLeader()
	var lateBatches []func()
	c.commandDelay = func(worker *fake.Worker, req *protocol.CommandRequest) monotime.Micros {
		if req == nil {
			return 0
		}
		batch := *req
		lateBatches = append(lateBatches, func() { worker.Execute(&batch) })
		return 0
	}
	id := c.submit(2*second, withTasks(6))
	c.requireFinished(id, 60*second)
	c.sim.Run(5 * second)
	if len(lateBatches) == 0 {
		t.Fatal("got no direct command, want at least 1")
	}
	for _, deliver := range lateBatches {
		deliver()
	}
	c.sim.Run(second)
	for task, n := range c.fleet.Starts {
		if n != 1 {
			t.Errorf("task %s: got %d starts, want 1", task, n)
		}
	}
	c.requireNoViolations()
}

// TestStaleHeartbeatIsIgnored checks that controllers ignore a heartbeat with a lower sequence number than
// one that they have applied. The heartbeat reports a running task as exited, which must not start it again.
func TestStaleHeartbeatIsIgnored(t *testing.T) {
	c := newCluster(t, 10).startWithLeader()
	id := c.submit(0, withService(true))
	if !c.sim.RunUntil(60*second, func() bool { return c.fleet.Running(id) == 1 }) {
		t.Fatalf("service: got %d running tasks after 60 s, want 1", c.fleet.Running(id))
	}
	c.sim.Run(5 * second)
	for _, machineID := range sortedmap.Keys(c.fleet.Workers) {
		worker := c.fleet.Workers[machineID]
		if len(worker.Attempts) == 0 {
			continue
		}
		stale := *worker.Heartbeat()
		stale.Sequence = 1
		stale.Tasks = []protocol.TaskStatus{
			{
				Task:    id + "/0",
				Attempt: worker.Attempts[id+"/0"].Number,
				State:   protocol.StateExited,
				Cause:   protocol.CauseError,
			},
		}
		for _, node := range c.nodeNames {
			if machine := c.nodes[node].controller.mirror.Machines[machineID]; machine != nil &&
				c.nodes[node].controller.agents.Of(machine) != nil {
				c.requestAndWait(node, "POST", protocol.HeartbeatPath, protocol.MustMarshal(&stale))
			}
		}
	}
	c.sim.Run(10 * second)
	if n := c.fleet.Starts[id+"/0"]; n != 1 || c.fleet.Running(id) != 1 {
		t.Errorf("got %d starts and %d running tasks, want 1 and 1", n, c.fleet.Running(id))
	}
	c.requireNoViolations()
}

// TestControllerCutOffWithWorkersStopsCancelledTasks guards against tasks that outlive their cancellation. A
// controller and all workers are cut off from the state service and the other controllers, where a user
// cancels a job. The controller must not keep the job's tasks alive. In an outage of the state service that
// affects all controllers, it must keep them.
func TestControllerCutOffWithWorkersStopsCancelledTasks(t *testing.T) {
	for _, cloudUnavailable := range []bool{false, true} {
		c := newCluster(t, 20).startWithLeader()
		id := c.submit(0, withService(true), withTasks(4))
		if !c.sim.RunUntil(60*second, func() bool { return c.fleet.Running(id) == 4 }) {
			t.Fatalf("service: got %d running tasks after 60 s, want 4", c.fleet.Running(id))
		}
		// First, all workers move to n-0. Then n-0 is cut off together with them.
		for _, machineID := range sortedmap.Keys(c.fleet.Workers) {
			c.disconnectedPairs[machineID+"-n-1"], c.disconnectedPairs[machineID+"-n-2"] = true, true
		}
		c.sim.Run(12 * second)
		c.disconnectedPairs["n-0-n-1"], c.disconnectedPairs["n-0-n-2"] = true, true
		c.store.RefusedCallers["n-0"] = true
		c.cloud.Unavailable = cloudUnavailable
		c.sim.Run(second)
		if response := c.requestAndWait("n-1", "POST", protocol.CancelPath(id), nil); response.Status != 200 {
			t.Fatalf("cancellation of %s: got status %d, want 200", id, response.Status)
		}
		c.checker.CancellationConfirmed(id)
		c.sim.Run(33 * second)
		if n := c.fleet.Running(id); n > 0 {
			t.Errorf("cloud unavailable %v: got %d running tasks, want 0", cloudUnavailable, n)
		}
		c.requireNoViolations()
	}
	c := newCluster(t, 21).startWithLeader()
	id := c.submit(0, withService(true), withTasks(4))
	if !c.sim.RunUntil(60*second, func() bool { return c.fleet.Running(id) == 4 }) {
		t.Fatalf("service: got %d running tasks after 60 s, want 4", c.fleet.Running(id))
	}
	c.sim.Run(5 * second)
	startedTasks := len(c.fleet.Starts)
	c.store.Outage(60 * second)
	c.sim.Run(75 * second)
	totalStarts := 0
	for _, n := range c.fleet.Starts {
		totalStarts += n
	}
	if c.fleet.Running(id) != 4 || totalStarts != startedTasks {
		t.Errorf("after an outage: got %d running tasks and %d starts, want 4 and %d",
			c.fleet.Running(id), totalStarts, startedTasks)
	}
}

// TestDuplicateReportsHaveNoEffect checks that a duplicate of a heartbeat never makes a machine look alive,
// never causes a claim or a commit, and never brings back a deleted machine, whenever it arrives and at
// whichever controller.
func TestDuplicateReportsHaveNoEffect(t *testing.T) {
	type sentHeartbeat struct {
		node string
		body []byte
	}
	cases := []struct {
		name      string
		intervene func(c *cluster, id string, worker *fake.Worker) // runs between the heartbeat and its duplicate
	}{
		{"within the same incarnation", func(c *cluster, _ string, _ *fake.Worker) { c.sim.Run(6 * second) }},
		{"more than three leases later", func(c *cluster, _ string, _ *fake.Worker) { c.sim.Run(40 * second) }},
		{"in the next incarnation", func(c *cluster, _ string, worker *fake.Worker) {
			worker.Partitioned = true
			c.sim.Run(13 * second)
			worker.Partitioned = false
			c.sim.Run(3 * second)
		}},
		{"after the owner restarted", func(c *cluster, _ string, worker *fake.Worker) {
			c.kill(c.nodeNames...)
			c.start(c.nodeNames...)
			worker.Partitioned = true // the duplicate is the first heartbeat that the owner receives
			c.sim.Run(3 * second)
		}},
		{"after another controller claimed the machine", func(c *cluster, id string, worker *fake.Worker) {
			for _, node := range c.nodeNames {
				if machine := c.nodes[node].controller.mirror.Machines[id]; machine != nil &&
					c.nodes[node].controller.agents.Of(machine) != nil {
					c.disconnectedPairs[id+"-"+node] = true
				}
			}
			c.sim.Run(25 * second)
		}},
		{"after the machine was deleted", func(c *cluster, id string, _ *fake.Worker) {
			c.requestAndWait(c.nodeNames[0], "GET", "/healthz", nil)
			c.sim.RunUntil(90*second, func() bool { return c.cloud.Machines[id].Gone })
			c.sim.Run(5 * second)
		}},
	}
	for i, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, uint64(700+i))
			c.settings.ScaleDownDelay = 0
			c.startWithLeader()
			var duplicates []sentHeartbeat
			c.onHeartbeat = func(_ *fake.Worker, node string, body []byte) {
				duplicates = append(duplicates, sentHeartbeat{node, body})
			}
			runTime := monotime.Micros(0)
			if tc.name == "after the machine was deleted" {
				runTime = 3 * second
			}
			id := c.submit(runTime, withService(runTime == 0))
			if !c.sim.RunUntil(60*second, func() bool { return c.fleet.Running(id) == 1 }) {
				t.Fatalf("got %d running tasks after 60 s, want 1", c.fleet.Running(id))
			}
			c.sim.Run(2 * second)
			machine := ""
			for _, machineID := range sortedmap.Keys(c.fleet.Workers) {
				if len(c.fleet.Workers[machineID].Attempts) > 0 {
					machine = machineID
				}
			}
			tc.intervene(c, machine, c.fleet.Workers[machine])
			c.onHeartbeat = nil
			c.sim.Run(10 * monotime.Millisecond)
			state := func() string {
				out := ""
				for _, node := range c.nodeNames {
					controller := c.nodes[node].controller
					if m := controller.mirror.Machines[machine]; m == nil {
						out += node + " does not know the machine; "
					} else if controller.agents.Of(m) != nil {
						out += fmt.Sprintf(
							"%s owns it, claim %d, last reached at %d, last answered at %d, schedulable %v; ",
							node,
							m.Claim(),
							controller.agents.Of(m).LastReachedAt(),
							controller.agents.Of(m).LastAnsweredAt(),
							controller.scheduler.Schedulable(m, c.sim.Now()),
						)
					}
				}
				return out
			}
			countChanges := func() int {
				byKind := c.store.ChangesByKind
				return byKind["+"+string(storage.KindShard)] + byKind["+"+string(storage.KindScaleOut)]
			}
			stateBefore, changesBefore := state(), countChanges()
			answered := 0
			for _, duplicate := range duplicates {
				var report protocol.Heartbeat
				if protocol.Unmarshal(duplicate.body, &report) != nil || report.Machine != machine {
					continue
				}
				c.sendRequest(duplicate.node, "POST", protocol.HeartbeatPath, duplicate.body, func(response Response) {
					if response.Status == 200 {
						answered++
					}
				})
			}
			// A restarted owner answers the first heartbeat that it receives, because it cannot recognize a
			// duplicate. The heartbeat must not prove anything to it.
			if answered > 0 && tc.name != "after the owner restarted" {
				t.Errorf("got %d answered duplicates, want 0", answered)
			}
			if stateAfter := state(); stateAfter != stateBefore && tc.name != "after the owner restarted" {
				t.Errorf("controllers' state after the duplicates:\nwant: %s\ngot:  %s", stateBefore, stateAfter)
			}
			if tc.name == "after the owner restarted" {
				for _, node := range c.nodeNames {
					controller := c.nodes[node].controller
					m := controller.mirror.Machines[machine]
					if m == nil || controller.agents.Of(m) == nil {
						continue
					}
					if controller.agents.Of(m).ClaimAcknowledged() || controller.scheduler.Schedulable(m, c.sim.Now()) {
						t.Errorf("%s: got machine %s acknowledged or schedulable, want neither", node, machine)
					}
				}
			}
			if tc.name == "after the machine was deleted" {
				c.sim.Run(3 * second)
				if n := countChanges(); n != changesBefore {
					t.Errorf("got %d changes of shards and scale-outs after the duplicates, want 0", n-changesBefore)
				}
			}
			c.requireNoViolations()
		})
	}
}
