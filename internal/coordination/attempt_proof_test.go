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
	var late []func()
	c.commandDelay = func(worker *fake.Worker, req *protocol.CommandRequest) monotime.Micros {
		if req == nil {
			return 0
		}
		copied := *req
		late = append(late, func() { worker.Execute(&copied) })
		return 0
	}
	id := c.submit(2*second, withTasks(6))
	c.requireFinished(id, 60*second)
	c.sim.Run(5 * second)
	if len(late) == 0 {
		t.Fatal("got no direct command, want at least 1")
	}
	for _, f := range late {
		f()
	}
	c.sim.Run(second)
	for task, n := range c.fleet.Starts {
		if n != 1 {
			t.Errorf("task %s: got %d starts, want 1", task, n)
		}
	}
	c.requireNoViolations()
}

// TestOlderReportProvesNothing checks that controllers ignore a heartbeat with a lower sequence number than
// one that they have applied. The heartbeat reports a running task as exited, which must not start it again.
func TestOlderReportProvesNothing(t *testing.T) {
	c := newCluster(t, 10).startWithLeader()
	id := c.submit(0, withService(true))
	if !c.sim.RunUntil(60*second, func() bool { return c.fleet.Running(id) == 1 }) {
		t.Fatalf("service: got %d running tasks after 60 s, want 1", c.fleet.Running(id))
	}
	c.sim.Run(5 * second)
	for _, wid := range sortedmap.Keys(c.fleet.Workers) {
		worker := c.fleet.Workers[wid]
		if len(worker.Attempts) == 0 {
			continue
		}
		old := *worker.Heartbeat()
		old.Sequence = 1
		old.Tasks = []protocol.TaskStatus{
			{
				Task:    id + "/0",
				Attempt: worker.Attempts[id+"/0"].Number,
				State:   protocol.StateExited,
				Cause:   protocol.CauseError,
			},
		}
		for _, node := range c.nodeNames {
			if machine := c.nodes[node].controller.mirror.Machines[wid]; machine != nil &&
				c.nodes[node].controller.agents.Of(machine) != nil {
				c.requestAndWait(node, "POST", protocol.HeartbeatPath, protocol.MustMarshal(&old))
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
	for _, cloudToo := range []bool{false, true} {
		c := newCluster(t, 20).startWithLeader()
		id := c.submit(0, withService(true), withTasks(4))
		if !c.sim.RunUntil(60*second, func() bool { return c.fleet.Running(id) == 4 }) {
			t.Fatalf("service: got %d running tasks after 60 s, want 4", c.fleet.Running(id))
		}
		// First, all workers move to n-0. Then n-0 is cut off together with them.
		for _, w := range sortedmap.Keys(c.fleet.Workers) {
			c.disconnectedPairs[w+"-n-1"], c.disconnectedPairs[w+"-n-2"] = true, true
		}
		c.sim.Run(12 * second)
		c.disconnectedPairs["n-0-n-1"], c.disconnectedPairs["n-0-n-2"] = true, true
		c.store.RefusedCallers["n-0"] = true
		c.cloud.Unavailable = cloudToo
		c.sim.Run(second)
		if response := c.requestAndWait("n-1", "POST", protocol.CancelPath(id), nil); response.Status != 200 {
			t.Fatalf("cancellation of %s: got status %d, want 200", id, response.Status)
		}
		c.checker.CancellationConfirmed(id)
		c.sim.Run(33 * second)
		if n := c.fleet.Running(id); n > 0 {
			t.Errorf("cloud unavailable %v: got %d running tasks, want 0", cloudToo, n)
		}
		c.requireNoViolations()
	}
	c := newCluster(t, 21).startWithLeader()
	id := c.submit(0, withService(true), withTasks(4))
	if !c.sim.RunUntil(60*second, func() bool { return c.fleet.Running(id) == 4 }) {
		t.Fatalf("service: got %d running tasks after 60 s, want 4", c.fleet.Running(id))
	}
	c.sim.Run(5 * second)
	starts := len(c.fleet.Starts)
	c.store.Outage(60 * second)
	c.sim.Run(75 * second)
	total := 0
	for _, n := range c.fleet.Starts {
		total += n
	}
	if c.fleet.Running(id) != 4 || total != starts {
		t.Errorf("after an outage: got %d running tasks and %d starts, want 4 and %d",
			c.fleet.Running(id), total, starts)
	}
}

// TestDuplicateReportsHaveNoEffect checks that a duplicate of a heartbeat never makes a machine look alive,
// never causes a claim or a commit, and never brings back a deleted machine, whenever it arrives and at
// whichever controller.
func TestDuplicateReportsHaveNoEffect(t *testing.T) {
	type copied struct {
		node string
		body []byte
	}
	cases := []struct {
		name string
		do   func(c *cluster, id string, worker *fake.Worker) // runs between the heartbeat and its duplicate
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
			var copies []copied
			c.onReport = func(_ *fake.Worker, node string, body []byte) {
				copies = append(copies, copied{node, body})
			}
			run := monotime.Micros(0)
			if tc.name == "after the machine was deleted" {
				run = 3 * second
			}
			id := c.submit(run, withService(run == 0))
			if !c.sim.RunUntil(60*second, func() bool { return c.fleet.Running(id) == 1 }) {
				t.Fatalf("got %d running tasks after 60 s, want 1", c.fleet.Running(id))
			}
			c.sim.Run(2 * second)
			machine := ""
			for _, wid := range sortedmap.Keys(c.fleet.Workers) {
				if len(c.fleet.Workers[wid].Attempts) > 0 {
					machine = wid
				}
			}
			tc.do(c, machine, c.fleet.Workers[machine])
			c.onReport = nil
			c.sim.Run(10 * monotime.Millisecond)
			state := func() string {
				s := ""
				for _, node := range c.nodeNames {
					core := c.nodes[node].controller
					if m := core.mirror.Machines[machine]; m == nil {
						s += node + " does not know the machine; "
					} else if core.agents.Of(m) != nil {
						s += fmt.Sprintf(
							"%s owns it, claim %d, last reached at %d, last answered at %d, schedulable %v; ",
							node,
							m.Claim(),
							core.agents.Of(m).LastReachedAt(),
							core.agents.Of(m).LastAnsweredAt(),
							core.scheduler.Schedulable(m, c.sim.Now()),
						)
					}
				}
				return s
			}
			countChanges := func() int {
				changes := c.store.ChangesByKind
				return changes["+"+string(storage.KindShard)] + changes["+"+string(storage.KindScaleOut)]
			}
			before, changes := state(), countChanges()
			answered := 0
			for _, r := range copies {
				var report protocol.Heartbeat
				if protocol.Unmarshal(r.body, &report) != nil || report.Machine != machine {
					continue
				}
				c.sendRequest(r.node, "POST", protocol.HeartbeatPath, r.body, func(response Response) {
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
			if after := state(); after != before && tc.name != "after the owner restarted" {
				t.Errorf("controllers' state after the duplicates:\nwant: %s\ngot:  %s", before, after)
			}
			if tc.name == "after the owner restarted" {
				for _, node := range c.nodeNames {
					core := c.nodes[node].controller
					m := core.mirror.Machines[machine]
					if m == nil || core.agents.Of(m) == nil {
						continue
					}
					if core.agents.Of(m).ClaimAcknowledged() || core.scheduler.Schedulable(m, c.sim.Now()) {
						t.Errorf("%s: got machine %s acknowledged or schedulable, want neither", node, machine)
					}
				}
			}
			if tc.name == "after the machine was deleted" {
				c.sim.Run(3 * second)
				if n := countChanges(); n != changes {
					t.Errorf("got %d changes of shards and scale-outs after the duplicates, want 0", n-changes)
				}
			}
			c.requireNoViolations()
		})
	}
}
