package coordination

import (
	"fmt"
	"testing"

	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
	"pipitgap/internal/standin"
)

// TestLateRunAfterReap: a direct batch that is held back and delivered after its
// task was completed and reaped must not start the task again.
func TestLateRunAfterReap(t *testing.T) {
	c := newCluster(t, 7).steady()
	var late []func()
	c.lateDo = func(w *standin.Worker, req *protocol.DoRequest) micros.T {
		if req == nil {
			return 0
		}
		copied := *req
		late = append(late, func() { w.Do(&copied) })
		return 0
	}
	id := c.submit(2*sec, withTasks(6))
	c.finished(id, 60*sec)
	c.sim.Run(5 * sec)
	if len(late) == 0 {
		t.Fatal("no direct command was sent")
	}
	for _, f := range late {
		f()
	}
	c.sim.Run(sec)
	for task, n := range c.fleet.Starts {
		if n != 1 {
			t.Errorf("%s started %d times", task, n)
		}
	}
	c.rules()
}

// TestOldReport: a report older than one already applied proves nothing.
func TestOldReport(t *testing.T) {
	c := newCluster(t, 10).steady()
	id := c.submit(0, withService(true))
	if !c.sim.RunUntil(60*sec, func() bool { return c.fleet.Running(id) == 1 }) {
		t.Fatal("not started")
	}
	c.sim.Run(5 * sec)
	for _, wid := range sortedKeys(c.fleet.Workers) {
		w := c.fleet.Workers[wid]
		if len(w.Tasks) == 0 {
			continue
		}
		old := *w.Body()
		old.Seq = 1
		old.Tasks = []protocol.TaskReport{{Task: id + "/0", Attempt: w.Tasks[id+"/0"].Attempt, State: protocol.StateExited, Cause: protocol.CauseError}}
		for _, n := range c.names {
			if m := c.nodes[n].core.view.machines[wid]; m != nil && m.w != nil {
				c.ask(n, "POST", protocol.HeartbeatPath, protocol.MustMarshal(&old))
			}
		}
	}
	c.sim.Run(10 * sec)
	if n := c.fleet.Starts[id+"/0"]; n != 1 || c.fleet.Running(id) != 1 {
		t.Errorf("started %d times, %d run", n, c.fleet.Running(id))
	}
	c.rules()
}

// TestProof: what a report proves, and what must not be said to a worker.
func TestProof(t *testing.T) {
	const base = 3 << 32
	ref := taskRef{"j-1", 0}
	exited := protocol.TaskReport{Task: "j-1/0", Attempt: 1, State: protocol.StateExited, Cause: protocol.CauseDone}
	running := protocol.TaskReport{Task: "j-1/0", Attempt: 1, State: protocol.StateRunning}
	cases := []struct {
		name      string
		token     uint64
		tasks     []protocol.TaskReport
		cancelled bool
		killed    uint64 // token of an earlier kill
		settled   bool
		says      string // the command that follows, if any
	}{
		{"exited", base, []protocol.TaskReport{exited}, false, 0, true, ""},
		{"exited, by a report from before our claim", base - 1, []protocol.TaskReport{exited}, false, 0, false, ""},
		{"running", base, []protocol.TaskReport{running}, false, 0, false, ""},
		{"absent", base, nil, false, 0, false, protocol.CmdRun},
		{"cancelled, running", base, []protocol.TaskReport{running}, true, 0, false, protocol.CmdKill},
		{"cancelled, absent, not yet told", base, nil, true, 0, false, protocol.CmdKill},
		{"cancelled, absent, kill not seen", base + 4, nil, true, base + 5, false, protocol.CmdKill},
		{"cancelled, absent after the kill", base + 5, nil, true, base + 5, true, ""},
	}
	for _, tc := range cases {
		c := newCluster(t, 17)
		c.start("n-0")
		core := c.nodes["n-0"].core
		core.view.put(bookkeeping.Key(bookkeeping.KindOpen, "j-1"), protocol.MustMarshal(&bookkeeping.OpenJob{
			Spec: bookkeeping.Spec{Tasks: 1, CPUs: 1}, Shares: []bookkeeping.Share{{First: 0, End: 1, Partition: "n-0"}}}), 5)
		shard := &bookkeeping.Shard{Owner: "n-0", Incarnation: core.inc, Claim: 3,
			Machines: map[string]*bookkeeping.ShardMachine{}, Jobs: map[string]*bookkeeping.ShardJob{}}
		shard.Add("i-1", bookkeeping.ShardMachine{Type: "m8", Zone: "a", Endpoint: "10.1.0.1:9000", State: bookkeeping.MachineOpen})
		shard.Assign("j-1", bookkeeping.Held{Task: 0, Machine: "i-1", Attempt: 1})
		raw, _ := shard.Encode()
		core.view.put(bookkeeping.Key(bookkeeping.KindShard, "p"), raw, 7)
		if tc.cancelled {
			core.view.put(bookkeeping.Key(bookkeeping.KindJob, "j-1"), protocol.MustMarshal(&bookkeeping.Answer{Status: bookkeeping.Cancelled}), 8)
		}
		core.view.watched = 8
		m := core.view.machines["i-1"]
		if tc.killed != 0 {
			m.w.told(attemptKey{ref, 1}).kill = tc.killed
		}
		core.apply(m, &protocol.Report{Machine: "i-1", Session: 1, Seq: 1, Token: tc.token, Tasks: tc.tasks})
		if got := m.w.settled(attemptKey{ref, 1}); got != tc.settled {
			t.Errorf("%s: settled %v", tc.name, got)
		}
		said := ""
		for _, cmd := range core.commands(m, sec) {
			said += cmd.Op
		}
		if said != tc.says {
			t.Errorf("%s: says %q, want %q", tc.name, said, tc.says)
		}
		// Once a release is on its way the attempt must not be started again,
		// though the worker, in a new session, doesn't have it.
		m.w.settle(attemptKey{ref, 1}, outRetry)
		core.apply(m, &protocol.Report{Machine: "i-1", Session: 2, Seq: 1, Token: base + 9})
		for _, cmd := range core.commands(m, 10*sec) {
			if cmd.Op == protocol.CmdRun {
				t.Errorf("%s: started again while its release is on its way", tc.name)
			}
		}
	}
}

// TestCutOffTogether: a controller cut off with all workers, from the store and
// from the others, must not keep tasks alive that a user has cancelled meanwhile;
// in an outage that all share it must keep them.
func TestCutOffTogether(t *testing.T) {
	for _, cloudToo := range []bool{false, true} {
		c := newCluster(t, 20).steady()
		id := c.submit(0, withService(true), withTasks(4))
		if !c.sim.RunUntil(60*sec, func() bool { return c.fleet.Running(id) == 4 }) {
			t.Fatal("not started")
		}
		// All workers go to n-0 first, then n-0 and they are cut off.
		for _, w := range sortedKeys(c.fleet.Workers) {
			c.cut[w+"-n-1"], c.cut[w+"-n-2"] = true, true
		}
		c.sim.Run(12 * sec)
		c.cut["n-0-n-1"], c.cut["n-0-n-2"] = true, true
		c.store.Refused["n-0"] = true
		c.cloud.Trouble = cloudToo
		c.sim.Run(sec)
		if r := c.ask("n-1", "POST", protocol.CancelPath(id), nil); r.Status != 200 {
			t.Fatalf("abort: %d", r.Status)
		}
		c.check.Cancelled(id)
		c.sim.Run(33 * sec)
		if n := c.fleet.Running(id); n > 0 {
			t.Errorf("cloud trouble %v: %d tasks are still there", cloudToo, n)
		}
		c.rules()
	}
	c := newCluster(t, 21).steady()
	id := c.submit(0, withService(true), withTasks(4))
	if !c.sim.RunUntil(60*sec, func() bool { return c.fleet.Running(id) == 4 }) {
		t.Fatal("not started")
	}
	c.sim.Run(5 * sec)
	starts := len(c.fleet.Starts)
	c.store.Outage(60 * sec)
	c.sim.Run(75 * sec)
	total := 0
	for _, n := range c.fleet.Starts {
		total += n
	}
	if c.fleet.Running(id) != 4 || total != starts {
		t.Errorf("after an outage %d run, %d starts", c.fleet.Running(id), total)
	}
}

// TestLateCopies: a copy of a report never makes a machine look alive, causes a
// claim or a commit, or brings a deleted machine back, whenever and wherever it
// comes.
func TestLateCopies(t *testing.T) {
	type copied struct {
		node string
		body []byte
	}
	cases := []struct {
		name string
		do   func(c *cluster, id string, w *standin.Worker) // between the report and its copy
	}{
		{"within a session", func(c *cluster, _ string, _ *standin.Worker) { c.sim.Run(6 * sec) }},
		{"well over a lease later", func(c *cluster, _ string, _ *standin.Worker) { c.sim.Run(40 * sec) }},
		{"across sessions", func(c *cluster, _ string, w *standin.Worker) {
			w.Silent = true
			c.sim.Run(13 * sec)
			w.Silent = false
			c.sim.Run(3 * sec)
		}},
		{"after the owner restarted", func(c *cluster, _ string, w *standin.Worker) {
			c.kill(c.names...)
			c.start(c.names...)
			w.Silent = true // the copy is the first that the owner hears of it
			c.sim.Run(3 * sec)
		}},
		{"after another controller claimed the machine", func(c *cluster, id string, w *standin.Worker) {
			for _, n := range c.names {
				if m := c.nodes[n].core.view.machines[id]; m != nil && m.w != nil {
					c.cut[id+"-"+n] = true
				}
			}
			c.sim.Run(25 * sec)
		}},
		{"after the machine was deleted", func(c *cluster, id string, _ *standin.Worker) {
			c.ask(c.names[0], "GET", "/healthz", nil)
			c.sim.RunUntil(90*sec, func() bool { return c.cloud.Machines[id].Gone })
			c.sim.Run(5 * sec)
		}},
	}
	for i, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, uint64(700+i))
			c.set.ScaleDownDelay = 0
			c.steady()
			var copies []copied
			c.copies = func(_ *standin.Worker, node string, body []byte) { copies = append(copies, copied{node, body}) }
			run := micros.T(0)
			if tc.name == "after the machine was deleted" {
				run = 3 * sec
			}
			id := c.submit(run, withService(run == 0))
			if !c.sim.RunUntil(60*sec, func() bool { return c.fleet.Running(id) == 1 }) {
				t.Fatal("not started")
			}
			c.sim.Run(2 * sec)
			machine := ""
			for _, wid := range sortedKeys(c.fleet.Workers) {
				if len(c.fleet.Workers[wid].Tasks) > 0 {
					machine = wid
				}
			}
			tc.do(c, machine, c.fleet.Workers[machine])
			c.copies = nil
			c.sim.Run(10 * micros.Millisecond)
			state := func() string {
				s := ""
				for _, n := range c.names {
					core := c.nodes[n].core
					if m := core.view.machines[machine]; m == nil {
						s += n + " unknown; "
					} else if m.w != nil {
						s += fmt.Sprintf("%s has it under %d, alive %d, answered %d, usable %v; ", n, m.claim(), m.w.aliveAt, m.w.answeredAt, core.usable(m, c.sim.Now()))
					}
				}
				return s
			}
			before, changes := state(), c.store.ByKind["+page"]+c.store.ByKind["+ask"]
			answered := 0
			for _, r := range copies {
				var rep protocol.Report
				if protocol.Unmarshal(r.body, &rep) != nil || rep.Machine != machine {
					continue
				}
				c.request(r.node, "POST", protocol.HeartbeatPath, r.body, func(r Reply) {
					if r.Status == 200 {
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
				for _, n := range c.names {
					if m := c.nodes[n].core.view.machines[machine]; m != nil && m.w != nil && (m.w.acked || c.nodes[n].core.usable(m, c.sim.Now())) {
						t.Errorf("%s takes it for alive", n)
					}
				}
			}
			if tc.name == "after the machine was deleted" {
				c.sim.Run(3 * sec)
				if n := c.store.ByKind["+page"] + c.store.ByKind["+ask"]; n != changes {
					t.Errorf("%d changes follow", n-changes)
				}
			}
			c.rules()
		})
	}
}
