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

// TestLateRunAfterReapStartsNothing: a direct batch that is held back and delivered after its
// task was completed and reaped must not start the task again.
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
		t.Fatal("no direct command was sent")
	}
	for _, f := range late {
		f()
	}
	c.sim.Run(second)
	for task, n := range c.fleet.Starts {
		if n != 1 {
			t.Errorf("%s started %d times", task, n)
		}
	}
	c.requireNoViolations()
}

// TestOlderReportProvesNothing: a report older than one already applied proves nothing.
func TestOlderReportProvesNothing(t *testing.T) {
	c := newCluster(t, 10).startWithLeader()
	id := c.submit(0, withService(true))
	if !c.sim.RunUntil(60*second, func() bool { return c.fleet.Running(id) == 1 }) {
		t.Fatal("not started")
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
		t.Errorf("started %d times, %d run", n, c.fleet.Running(id))
	}
	c.requireNoViolations()
}

// TestControllerCutOffWithWorkersStopsCancelledTasks: a controller cut off with all workers, from the store
// and from the others, must not keep tasks alive that a user has cancelled meanwhile; in an outage that all
// share it must keep them.
func TestControllerCutOffWithWorkersStopsCancelledTasks(t *testing.T) {
	for _, cloudToo := range []bool{false, true} {
		c := newCluster(t, 20).startWithLeader()
		id := c.submit(0, withService(true), withTasks(4))
		if !c.sim.RunUntil(60*second, func() bool { return c.fleet.Running(id) == 4 }) {
			t.Fatal("not started")
		}
		// All workers go to n-0 first, then n-0 and they are cut off.
		for _, w := range sortedmap.Keys(c.fleet.Workers) {
			c.disconnectedPairs[w+"-n-1"], c.disconnectedPairs[w+"-n-2"] = true, true
		}
		c.sim.Run(12 * second)
		c.disconnectedPairs["n-0-n-1"], c.disconnectedPairs["n-0-n-2"] = true, true
		c.store.RefusedCallers["n-0"] = true
		c.cloud.Unavailable = cloudToo
		c.sim.Run(second)
		if response := c.requestAndWait("n-1", "POST", protocol.CancelPath(id), nil); response.Status != 200 {
			t.Fatalf("abort: %d", response.Status)
		}
		c.checker.CancellationConfirmed(id)
		c.sim.Run(33 * second)
		if n := c.fleet.Running(id); n > 0 {
			t.Errorf("cloud unavailable %v: %d tasks are still there", cloudToo, n)
		}
		c.requireNoViolations()
	}
	c := newCluster(t, 21).startWithLeader()
	id := c.submit(0, withService(true), withTasks(4))
	if !c.sim.RunUntil(60*second, func() bool { return c.fleet.Running(id) == 4 }) {
		t.Fatal("not started")
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
		t.Errorf("after an outage %d run, %d starts", c.fleet.Running(id), total)
	}
}

// TestDuplicateReportsHaveNoEffect: a copy of a report never makes a machine look alive, causes a
// claim or a commit, or brings a deleted machine back, whenever and wherever it
// comes.
func TestDuplicateReportsHaveNoEffect(t *testing.T) {
	type copied struct {
		node string
		body []byte
	}
	cases := []struct {
		name string
		do   func(c *cluster, id string, worker *fake.Worker) // between the report and its copy
	}{
		{"within a session", func(c *cluster, _ string, _ *fake.Worker) { c.sim.Run(6 * second) }},
		{"well over a lease later", func(c *cluster, _ string, _ *fake.Worker) { c.sim.Run(40 * second) }},
		{"across sessions", func(c *cluster, _ string, worker *fake.Worker) {
			worker.Partitioned = true
			c.sim.Run(13 * second)
			worker.Partitioned = false
			c.sim.Run(3 * second)
		}},
		{"after the owner restarted", func(c *cluster, _ string, worker *fake.Worker) {
			c.kill(c.nodeNames...)
			c.start(c.nodeNames...)
			worker.Partitioned = true // the copy is the first that the owner hears of it
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
				t.Fatal("not started")
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
						s += node + " unknown; "
					} else if core.agents.Of(m) != nil {
						s += fmt.Sprintf(
							"%s has it under %d, alive %d, answered %d, usable %v; ",
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
			// After a restart the first that the owner hears is answered: it can't
			// tell, but it believes nothing of it.
			if answered > 0 && tc.name != "after the owner restarted" {
				t.Errorf("%d copies are answered", answered)
			}
			if after := state(); after != before && tc.name != "after the owner restarted" {
				t.Errorf("before: %s\nafter: %s", before, after)
			}
			if tc.name == "after the owner restarted" {
				for _, node := range c.nodeNames {
					core := c.nodes[node].controller
					m := core.mirror.Machines[machine]
					if m == nil || core.agents.Of(m) == nil {
						continue
					}
					if core.agents.Of(m).ClaimAcknowledged() || core.scheduler.Schedulable(m, c.sim.Now()) {
						t.Errorf("%s takes it for alive", node)
					}
				}
			}
			if tc.name == "after the machine was deleted" {
				c.sim.Run(3 * second)
				if n := countChanges(); n != changes {
					t.Errorf("%d changes follow", n-changes)
				}
			}
			c.requireNoViolations()
		})
	}
}
