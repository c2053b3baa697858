package coordination

import (
	"fmt"
	"strings"
	"testing"

	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/config"
	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
	"pipitgap/internal/standin"
)

// TestJobsRunThrough: accepted, rented for, run, told done, machines given back.
func TestJobsRunThrough(t *testing.T) {
	cases := []struct {
		name string
		job  jobOf
		run  micros.T
	}{
		{"one task", jobOf{}, 3 * sec},
		{"more tasks than a row", jobOf{"pips": 70, "cores": 1.0}, 3 * sec},
		{"more rows than a commit drops", jobOf{"pips": 420, "cores": 1.0, "memory_gb": 1.0, "borrowed": true}, sec},
		{"one zone", jobOf{"pips": 12, "one_zone": true}, 5 * sec},
		{"apart", jobOf{"pips": 9, "apart": true}, 5 * sec},
		{"a team's limit", jobOf{"pips": 20, "crew": "tight"}, 2 * sec},
		{"a type", jobOf{"pips": 3, "breeds": []any{"m16"}, "grove": "b"}, 2 * sec},
	}
	for i, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, uint64(i))
			c.set.ScaleDownDelay = 0
			c.steady()
			id := c.submit(tc.run, tc.job)
			c.finished(id, 300*sec)
			c.rules()
			if !c.sim.RunUntil(120*sec, func() bool { return c.cloud.Count() == 0 }) {
				t.Errorf("%d machines were not given back", c.cloud.Count())
			}
			c.sim.Run(60 * sec)
			for _, kind := range []string{"open", "page", "ask"} {
				if keys := c.store.Keys(bookkeeping.Root + kind); len(keys) > 0 {
					t.Errorf("records left behind: %v", keys)
				}
			}
		})
	}
}

// TestConstraints: starts only where the job allows.
func TestConstraints(t *testing.T) {
	zonesOf := func(c *cluster, id string) map[string]int {
		zones := map[string]int{}
		for _, w := range c.fleet.Workers {
			for task := range w.Tasks {
				if strings.HasPrefix(task, id+"/") && !w.Machine.Gone {
					zones[w.Machine.Zone]++
				}
			}
		}
		return zones
	}
	cases := []struct {
		name  string
		job   jobOf
		check func(c *cluster, id string) string
	}{
		{"spot only by permission", jobOf{"pips": 6}, func(c *cluster, id string) string {
			for _, w := range c.fleet.Workers {
				if w.Machine.Spot && len(w.Tasks) > 0 {
					return "a task runs on a spot machine"
				}
			}
			return ""
		}},
		{"one zone", jobOf{"pips": 30, "one_zone": true}, func(c *cluster, id string) string {
			if z := zonesOf(c, id); len(z) != 1 {
				return fmt.Sprint(z)
			}
			return ""
		}},
		{"apart", jobOf{"pips": 9, "apart": true}, func(c *cluster, id string) string {
			if z := zonesOf(c, id); z["a"] > 5 || z["b"] > 5 || z["a"]+z["b"] != 9 {
				return fmt.Sprint(z)
			}
			return ""
		}},
		{"zone and type", jobOf{"pips": 4, "grove": "b", "breeds": []any{"m16"}}, func(c *cluster, id string) string {
			for _, w := range c.fleet.Workers {
				if len(w.Tasks) > 0 && (w.Machine.Zone != "b" || w.Machine.Type != "m16") {
					return "on " + w.Machine.Type + " in " + w.Machine.Zone
				}
			}
			return ""
		}},
	}
	for i, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, uint64(100+i)).steady()
			for k := 0; k < 4; k++ { // what is there needn't be what is allowed
				c.cloud.Add("m8", []string{"a", "b"}[k%2], k < 2)
			}
			c.sim.Run(15 * sec)
			id := c.submit(0, tc.job)
			want := tc.job["pips"].(int)
			if !c.sim.RunUntil(120*sec, func() bool { return c.fleet.Running(id) == want }) {
				t.Fatalf("%d of %d run", c.fleet.Running(id), want)
			}
			if what := tc.check(c, id); what != "" {
				t.Error(what)
			}
			c.rules()
		})
	}
}

// TestVerdicts: the answers of the users' interface.
func TestVerdicts(t *testing.T) {
	c := newCluster(t, 5).steady()
	known := c.submit(0, jobOf{"shape": "daemon"})
	_, good := c.spec(nil)
	with := func(k string, v any) []byte {
		j := jobOf{}
		for a, b := range good {
			j[a] = b
		}
		j[k] = v
		return protocol.MustMarshal(j)
	}
	cases := []struct {
		name, method, target string
		body                 []byte
		want                 int
	}{
		{"healthy", "GET", "/healthz", nil, 200},
		{"no such path", "GET", "/v3", nil, 404},
		{"wrong method", "GET", "/v2/runs", nil, 405},
		{"wrong method on a job", "POST", "/v2/runs/j-1", nil, 405},
		{"unknown job", "GET", "/v2/runs/j-none", nil, 404},
		{"abort of an unknown job", "POST", "/v2/runs/j-none/abort", nil, 404},
		{"not MessagePack", "POST", "/v2/runs", []byte{0xc1}, 400},
		{"not a map", "POST", "/v2/runs", protocol.MustMarshal([]int{1}), 400},
		{"bad id", "POST", "/v2/runs", with("id", "x 1"), 400},
		{"no tasks", "POST", "/v2/runs", with("pips", 0), 400},
		{"too many tasks", "POST", "/v2/runs", with("pips", 100001), 400},
		{"tasks not whole", "POST", "/v2/runs", with("pips", 1.5), 400},
		{"negative amount", "POST", "/v2/runs", with("cores", -1.0), 400},
		{"unknown shape", "POST", "/v2/runs", with("shape", "ring"), 400},
		{"unknown rank", "POST", "/v2/runs", with("rank", "top"), 400},
		{"unknown team", "POST", "/v2/runs", with("crew", "nobody"), 422},
		{"fits no machine", "POST", "/v2/runs", with("cores", 17.0), 422},
		{"type that isn't", "POST", "/v2/runs", with("breeds", []any{"m99"}), 422},
		{"zone that isn't", "POST", "/v2/runs", with("grove", "z"), 422},
		{"known id, invalid now", "POST", "/v2/runs", with("id", known)[:0], 400},
		{"malformed check-in", "POST", "/checkin", []byte{0x80}, 400},
	}
	for _, tc := range cases {
		if r := c.ask("n-1", tc.method, tc.target, tc.body); r.Status != tc.want {
			t.Errorf("%s: %d, want %d: %s", tc.name, r.Status, tc.want, r.Body)
		}
	}
	// A known job is known whatever its repeated submission looks like, on any node.
	for _, n := range c.names {
		again := jobOf{}
		for k, v := range good {
			again[k] = v
		}
		again["id"], again["crew"] = known, "nobody"
		if r := c.ask(n, "POST", "/v2/runs", protocol.MustMarshal(again)); r.Status != 200 {
			t.Errorf("repeated submission on %s: %d", n, r.Status)
		}
	}
	// A team's limit: all replicas of a service, one task of an array.
	for _, tc := range []struct {
		shape string
		pips  int
		want  int
	}{{"daemon", 7, 422}, {"daemon", 6, 201}, {"sweep", 7, 201}} {
		_, j := c.spec(jobOf{"crew": "tight", "shape": tc.shape, "pips": tc.pips})
		if r := c.ask("n-0", "POST", "/v2/runs", protocol.MustMarshal(j)); r.Status != tc.want {
			t.Errorf("%s of %d: %d, want %d", tc.shape, tc.pips, r.Status, tc.want)
		}
	}
}

// TestCancel: cancelled in every state, gone in time, never called anything else.
func TestCancel(t *testing.T) {
	cases := []struct {
		name string
		wait micros.T // before the abort
		run  micros.T
	}{
		{"at once", 0, 0}, {"racing the start", 13 * sec, 0}, {"running", 30 * sec, 0}, {"racing done", 14500 * micros.Millisecond, sec},
	}
	for i, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, uint64(200+i)).steady()
			id := c.submit(tc.run, jobOf{"pips": 8})
			c.sim.Run(tc.wait)
			r := c.ask("n-2", "POST", "/v2/runs/"+id+"/abort", nil)
			var a protocol.Accepted
			_ = protocol.Unmarshal(r.Body, &a)
			if r.Status != 200 || a.Status != protocol.JobCancelled && a.Status != protocol.JobDone {
				t.Fatalf("%d %+v", r.Status, a)
			}
			if a.Status == protocol.JobCancelled {
				c.check.Cancelled(id)
			}
			for k := 0; k < 12; k++ {
				c.sim.Run(5 * sec)
				if code, st := c.status(c.names[k%3], id); code != 200 || st.Status != a.Status {
					t.Fatalf("told %s, then %d %s", a.Status, code, st.Status)
				}
			}
			if n := c.fleet.Running(id); n > 0 {
				t.Errorf("%d tasks of a job that is over", n)
			}
			if keys := c.store.Keys(bookkeeping.Root + "open"); len(keys) > 0 {
				t.Errorf("left behind: %v", keys)
			}
			c.rules()
		})
	}
}

// TestRestarts: controllers killed at any moment and started again with nothing
// but the store; nothing is forgotten and nothing runs twice.
func TestRestarts(t *testing.T) {
	for seed := uint64(0); seed < 6; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := newCluster(t, 300+seed).steady()
			var ids []string
			for i := 0; i < 6; i++ {
				ids = append(ids, c.submit(6*sec, jobOf{"pips": 12, "borrowed": i%2 == 0}))
			}
			service := c.submit(0, jobOf{"shape": "daemon", "pips": 3, "rank": "prod"})
			for i := 0; i < 5; i++ {
				c.sim.Run(micros.T(c.sim.Rand.Int64N(int64(8 * sec))))
				down := c.names[:1+c.sim.Rand.IntN(3)]
				c.kill(down...)
				c.sim.Run(micros.T(c.sim.Rand.Int64N(int64(4 * sec))))
				c.start(down...)
			}
			for _, id := range ids {
				c.finished(id, 300*sec)
			}
			if !c.sim.RunUntil(60*sec, func() bool { return c.fleet.Running(service) == 3 }) {
				t.Errorf("service has %d replicas", c.fleet.Running(service))
			}
			c.rules()
		})
	}
}

// TestTroubles: each trouble by itself, over running work, without a broken rule.
func TestTroubles(t *testing.T) {
	cases := []struct {
		name string
		do   func(c *cluster)
	}{
		{"store outage", func(c *cluster) { c.store.Outage(20 * sec); c.sim.Run(20 * sec) }},
		{"store outage and all controllers restart in it", func(c *cluster) {
			c.store.Outage(15 * sec)
			c.sim.Run(5 * sec)
			c.kill(c.names...)
			c.sim.Run(3 * sec)
			c.start(c.names...)
			c.sim.Run(8 * sec)
		}},
		{"one controller refused by the store alone", func(c *cluster) {
			c.store.Refused["n-0"] = true
			c.sim.Run(40 * sec)
			delete(c.store.Refused, "n-0")
		}},
		{"answers of commits lost", func(c *cluster) {
			n := 0
			c.store.LoseAnswer = func(*protocol.Txn) bool { n++; return n%4 == 0 }
			c.sim.Run(20 * sec)
			c.store.LoseAnswer = nil
		}},
		{"commits applied late", func(c *cluster) {
			n := 0
			c.store.Delay = func(*protocol.Txn) micros.T {
				if n++; n%5 == 0 {
					return 7 * sec
				}
				return 0
			}
			c.sim.Run(20 * sec)
			c.store.Delay = nil
		}},
		{"direct commands late", func(c *cluster) {
			n := 0
			c.lateDo = func(*standin.Worker, *protocol.DoRequest) micros.T {
				if n++; n%2 == 0 {
					return 9 * sec
				}
				return 0
			}
			c.sim.Run(30 * sec)
			c.lateDo = nil
		}},
		{"machines silent beyond their lease and back", func(c *cluster) {
			for i, id := range sortedKeys(c.fleet.Workers) {
				c.fleet.Workers[id].Silent = i%2 == 0
			}
			c.sim.Run(14 * sec)
			for _, w := range c.fleet.Workers {
				w.Silent = false
			}
		}},
		{"machines whose reports don't arrive, but that are reached", func(c *cluster) {
			for i, id := range sortedKeys(c.fleet.Workers) {
				c.unseen[id] = i%2 == 0
			}
			c.sim.Run(16 * sec)
			clear(c.unseen)
		}},
		{"machines that are heard, but that nothing reaches", func(c *cluster) {
			for i, id := range sortedKeys(c.fleet.Workers) {
				c.deaf[id] = i%2 == 0
			}
			c.sim.Run(40 * sec)
			clear(c.deaf)
		}},
		{"machines hang within their lease and resume", func(c *cluster) {
			for i, id := range sortedKeys(c.fleet.Workers) {
				c.fleet.Workers[id].Hanging = i%2 == 0
			}
			c.sim.Run(8 * sec)
			for _, w := range c.fleet.Workers {
				w.Hanging = false
			}
		}},
		{"machines die", func(c *cluster) {
			for i, id := range sortedKeys(c.fleet.Workers) {
				if i%2 == 0 {
					c.fleet.Workers[id].Silent = true
					c.fleet.Down(c.cloud.Machines[id])
				}
			}
		}},
		{"a sick machine", func(c *cluster) {
			c.fleet.Workers[sortedKeys(c.fleet.Workers)[0]].Sick = true
		}},
		{"workers cut from their owner only", func(c *cluster) {
			for _, id := range sortedKeys(c.fleet.Workers) {
				c.cut[id+"-n-0"] = true
			}
			c.sim.Run(30 * sec)
			clear(c.cut)
		}},
		{"peers cut from each other", func(c *cluster) {
			c.cut["n-0-n-1"], c.cut["n-1-n-2"], c.cut["n-0-n-2"] = true, true, true
			c.sim.Run(20 * sec)
		}},
		{"cloud trouble and throttling", func(c *cluster) {
			c.cloud.Trouble = true
			c.sim.Run(15 * sec)
			c.cloud.Trouble, c.cloud.Limit = false, true
			c.sim.Run(10 * sec)
			c.cloud.Limit = false
		}},
		{"machines that nobody asked for", func(c *cluster) {
			for i := 0; i < 3; i++ {
				c.cloud.Add("m8", "b", i == 0)
			}
		}},
	}
	for i, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, uint64(400+i)).steady()
			service := c.submit(0, jobOf{"shape": "daemon", "pips": 4, "rank": "prod"})
			var ids []string
			for k := 0; k < 4; k++ {
				ids = append(ids, c.submit(8*sec, jobOf{"pips": 20, "cores": 1.0, "borrowed": true, "crew": []string{"free", "tight"}[k%2]}))
			}
			c.sim.Run(18 * sec)
			tc.do(c)
			for _, id := range ids {
				c.finished(id, 400*sec)
			}
			if !c.sim.RunUntil(90*sec, func() bool { return c.fleet.Running(service) == 4 }) {
				t.Errorf("service has %d replicas", c.fleet.Running(service))
			}
			c.rules()
		})
	}
}

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
	id := c.submit(2*sec, jobOf{"pips": 6})
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

// TestRepeatedAsk: a leader that crashes after the cloud has rented is followed
// by one that repeats the request by its name; nothing is rented twice.
func TestRepeatedAsk(t *testing.T) {
	c := newCluster(t, 8).steady()
	c.cloud.LoseRent = true
	c.submit(0, jobOf{"shape": "daemon", "pips": 4, "cores": 8.0})
	if !c.sim.RunUntil(10*sec, func() bool { return len(c.cloud.Names) > 0 }) {
		t.Fatal("nothing was rented")
	}
	rented := c.cloud.Count()
	leader := c.leader()
	c.kill(leader.name)
	c.cloud.LoseRent = false
	c.sim.Run(30 * sec)
	if c.leader() == nil || c.leader() == leader {
		t.Fatal("no new leader")
	}
	if n := c.cloud.Count(); n != rented {
		t.Errorf("%d machines rented by the old leader, %d after the new one", rented, n)
	}
}

// TestThrottledCloudSidelinesNothing: the known weakness of the source. Only "no
// capacity" marks an offer unmet.
func TestThrottledCloudSidelinesNothing(t *testing.T) {
	for _, tc := range []struct {
		name string
		do   func(c *cluster)
		want bool
	}{
		{"throttled", func(c *cluster) { c.cloud.Limit = true }, false},
		{"trouble", func(c *cluster) { c.cloud.Trouble = true }, false},
		{"no capacity", func(c *cluster) { clear(c.cloud.Capacity) }, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, 9).steady()
			tc.do(c)
			c.submit(0, jobOf{"pips": 4})
			c.sim.Run(10 * sec)
			core := c.leader().core
			if got := len(core.unmet()) > 0; got != tc.want {
				t.Errorf("sidelined: %v, want %v", core.unmet(), tc.want)
			}
		})
	}
}

// TestOldReport: a report older than one already applied proves nothing.
func TestOldReport(t *testing.T) {
	c := newCluster(t, 10).steady()
	id := c.submit(0, jobOf{"shape": "daemon"})
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
				c.ask(n, "POST", "/checkin", protocol.MustMarshal(&old))
			}
		}
	}
	c.sim.Run(10 * sec)
	if n := c.fleet.Starts[id+"/0"]; n != 1 || c.fleet.Running(id) != 1 {
		t.Errorf("started %d times, %d run", n, c.fleet.Running(id))
	}
	c.rules()
}

// TestNamesOfRequests: a new leader's requests have names of their own; the cloud
// would answer a used one with the old machines.
func TestNamesOfRequests(t *testing.T) {
	c := newCluster(t, 16).steady()
	for i := 0; i < 3; i++ {
		id := c.submit(0, jobOf{"shape": "daemon", "cores": 16.0})
		if !c.sim.RunUntil(60*sec, func() bool { return c.fleet.Running(id) == 1 }) {
			t.Fatalf("after %d changes of leader a service finds no machine", i)
		}
		old := c.leader().name
		c.kill(old)
		c.sim.Run(10 * sec)
		c.start(old)
		c.sim.Run(3 * sec)
	}
	if c.cloud.Repeated > 0 {
		t.Errorf("%d requests under a name that had been answered", c.cloud.Repeated)
	}
	c.rules()
}

// TestAbortOfDone: an abort decided on an outdated mirror must not cancel a job
// that has been called done.
func TestAbortOfDone(t *testing.T) {
	c := newCluster(t, 18).steady()
	id := c.submit(sec, jobOf{})
	core := c.nodes["n-0"].core
	c.finished(id, 60*sec)
	core.cancel(id, func(r Reply) {
		var a protocol.Accepted
		_ = protocol.Unmarshal(r.Body, &a)
		if a.Status != protocol.JobDone {
			t.Errorf("told %+v", a)
		}
	})
	c.sim.Run(2 * sec)
	var kept bookkeeping.Answer
	if !c.store.Read(bookkeeping.Key(bookkeeping.KindJob, id), &kept) || kept.Status != bookkeeping.Done {
		t.Errorf("the store holds %+v", kept)
	}
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
		id := c.submit(0, jobOf{"shape": "daemon", "pips": 4})
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
		if r := c.ask("n-1", "POST", "/v2/runs/"+id+"/abort", nil); r.Status != 200 {
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
	id := c.submit(0, jobOf{"shape": "daemon", "pips": 4})
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

// TestGhost: a report of a machine that was deleted, held back on its way, must
// not bring the machine to life again.
func TestGhost(t *testing.T) {
	c := newCluster(t, 19)
	c.set.ScaleDownDelay = 0
	c.steady()
	id := c.submit(sec, jobOf{})
	c.sim.Run(20 * sec)
	c.finished(id, 60*sec)
	w := c.fleet.Workers[sortedKeys(c.fleet.Workers)[0]]
	late := protocol.MustMarshal(w.Body())
	if !c.sim.RunUntil(60*sec, func() bool { return c.cloud.Count() == 0 }) {
		t.Fatal("the machine was not given back")
	}
	c.sim.Run(5 * sec)
	for _, n := range c.names {
		if r := c.ask(n, "POST", "/checkin", late); r.Status == 200 {
			t.Errorf("%s answers %d", n, r.Status)
		}
	}
	if keys := c.store.Keys(bookkeeping.Root + "page"); len(keys) > 0 {
		t.Errorf("claimed: %v", keys)
	}
}

// TestPreemption: a service gets room at once from work of lower priority, and
// from nothing else.
func TestPreemption(t *testing.T) {
	cases := []struct {
		name        string
		array, serv string // ranks
		want        bool
	}{
		{"prod over standard", "standard", "prod", true},
		{"standard over best effort", "best_effort", "standard", true},
		{"not over its like", "high", "high", false},
		{"not over higher", "prod", "high", false},
	}
	for i, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, uint64(500+i))
			clear(c.cloud.Capacity)
			c.cloud.Capacity[standin.Offer("m8", "a", false)] = 2
			c.steady()
			array := c.submit(200*sec, jobOf{"pips": 8, "rank": tc.array})
			if !c.sim.RunUntil(60*sec, func() bool { return c.fleet.Running(array) == 8 }) {
				t.Fatalf("array: %d run", c.fleet.Running(array))
			}
			serv := c.submit(0, jobOf{"shape": "daemon", "cores": 4.0, "rank": tc.serv})
			if got := c.sim.RunUntil(5*sec, func() bool { return c.fleet.Running(serv) == 1 }); got != tc.want {
				t.Errorf("service runs: %v", got)
			}
			if n := c.fleet.Running(array); tc.want && n != 6 || !tc.want && n != 8 {
				t.Errorf("%d tasks of the array left", n)
			}
			c.rules()
		})
	}
}

// TestGuarantee: what a team runs beyond its guarantee is given back when another
// team has work within its own; nothing more than that.
func TestGuarantee(t *testing.T) {
	c := newCluster(t, 22)
	c.teams = []config.Team{{Name: "free", CPUs: 8}, {Name: "tight", CPUs: 8}}
	clear(c.check.Limits)
	clear(c.cloud.Capacity)
	c.cloud.Capacity[standin.Offer("m8", "a", false)] = 2
	c.steady()
	borrower := c.submit(300*sec, jobOf{"pips": 8})
	if !c.sim.RunUntil(60*sec, func() bool { return c.fleet.Running(borrower) == 8 }) {
		t.Fatalf("borrower: %d run", c.fleet.Running(borrower))
	}
	owner := c.submit(300*sec, jobOf{"pips": 8, "crew": "tight"})
	if !c.sim.RunUntil(30*sec, func() bool { return c.fleet.Running(owner) == 4 }) {
		t.Errorf("%d tasks run within the guarantee", c.fleet.Running(owner))
	}
	c.sim.Run(30 * sec)
	if a, b := c.fleet.Running(borrower), c.fleet.Running(owner); a != 4 || b != 4 {
		t.Errorf("borrower %d, owner %d tasks; each has a guarantee of 4", a, b)
	}
	c.rules()
}

// TestStartInCloudOutage: controllers that start while the cloud is out know the
// machine types from the store; they accept, and place on what is there.
func TestStartInCloudOutage(t *testing.T) {
	c := newCluster(t, 11).steady()
	first := c.submit(0, jobOf{"shape": "daemon"})
	if !c.sim.RunUntil(60*sec, func() bool { return c.fleet.Running(first) == 1 }) {
		t.Fatal("no machine is up")
	}
	c.cloud.Trouble = true
	c.kill(c.names...)
	c.sim.Run(3 * sec)
	c.start(c.names...)
	c.sim.Run(3 * sec)
	id := c.submit(2*sec, jobOf{"pips": 2})
	c.finished(id, 30*sec)
	c.rules()
}

// TestRetired: an old job's answer stays right after restarts, when nothing in
// memory knows it any more.
func TestRetired(t *testing.T) {
	c := newCluster(t, 12).steady()
	done := c.submit(sec, jobOf{})
	gone := c.submit(0, jobOf{"shape": "daemon"})
	c.finished(done, 60*sec)
	c.ask("n-0", "POST", "/v2/runs/"+gone+"/abort", nil)
	c.sim.Run(10 * sec)
	for round := 0; round < 3; round++ {
		c.kill(c.names...)
		c.sim.Run(sec)
		c.start(c.names...)
		c.sim.Run(3 * sec)
		for _, n := range c.names {
			if code, st := c.status(n, done); code != 200 || st.Status != protocol.JobDone {
				t.Errorf("done job: %d %+v", code, st)
			}
			if code, st := c.status(n, gone); code != 200 || st.Status != protocol.JobCancelled {
				t.Errorf("cancelled job: %d %+v", code, st)
			}
			r := c.ask(n, "POST", "/v2/runs/"+done+"/abort", nil)
			var a protocol.Accepted
			_ = protocol.Unmarshal(r.Body, &a)
			if r.Status != 200 || a.Status != protocol.JobDone {
				t.Errorf("abort of a done job: %d %+v", r.Status, a)
			}
		}
	}
}

// TestFlood: past what the store lets through, every request has an immediate
// answer with a time to come back, and what waits stays bounded.
func TestFlood(t *testing.T) {
	c := newCluster(t, 13).steady()
	core := c.nodes["n-0"].core
	answers := map[int]int{}
	late := 0
	for i := 0; i < 3000; i++ {
		id, j := c.spec(nil)
		begun := c.sim.Now()
		back := func(r Reply) {
			answers[r.Status]++
			if (r.Status == 429 || r.Status == 503) && r.RetryAfter < 1 {
				t.Error("no time to come back")
			}
			if c.sim.Now()-begun > 3*sec {
				late++
			}
		}
		c.request("n-0", "POST", "/v2/runs", protocol.MustMarshal(j), back)
		c.request("n-0", "GET", "/v2/runs/"+id, nil, back)
		if n := core.queue.Waiting(bookkeeping.RankUser); n > core.mostUserCalls()+1 {
			t.Fatalf("%d calls wait", n)
		}
		if len(core.waitingReaders) > mostReaders {
			t.Fatalf("%d polls wait", len(core.waitingReaders))
		}
	}
	c.sim.Run(10 * sec)
	total := 0
	for _, n := range answers {
		total += n
	}
	if total != 6000 || answers[201] == 0 || answers[429] == 0 || late > 0 {
		t.Errorf("answers %v, %d late", answers, late)
	}
}

// TestOutageAnswers: in an outage of the store users are told at once, a common
// outage leaves every node healthy, one that is refused alone says so.
func TestOutageAnswers(t *testing.T) {
	c := newCluster(t, 14).steady()
	_, j := c.spec(nil)
	body := protocol.MustMarshal(j)
	c.store.Outage(20 * sec)
	c.sim.Run(5 * sec)
	for _, n := range c.names {
		if r := c.ask(n, "POST", "/v2/runs", body); r.Status != 503 || r.RetryAfter < 1 {
			t.Errorf("submission to %s in an outage: %+v", n, r)
		}
		if r := c.ask(n, "GET", "/healthz", nil); r.Status != 200 {
			t.Errorf("%s is unhealthy in a common outage", n)
		}
	}
	c.sim.Run(20 * sec)
	c.store.Refused["n-1"] = true
	c.sim.Run(6 * sec)
	for n, want := range map[string]int{"n-0": 200, "n-1": 503, "n-2": 200} {
		if r := c.ask(n, "GET", "/healthz", nil); r.Status != want {
			t.Errorf("%s: %d, want %d", n, r.Status, want)
		}
	}
}

// TestLateAcceptance: a submission repeated on another node while the first one's
// commit is applied late is one job.
func TestLateAcceptance(t *testing.T) {
	c := newCluster(t, 15).steady()
	id, j := c.spec(nil)
	c.fleet.Jobs[id] = standin.JobInfo{Team: "free", CPUs: 2, Run: 2 * sec}
	body := protocol.MustMarshal(j)
	first := true
	c.store.Delay = func(txn *protocol.Txn) micros.T {
		for _, op := range txn.Then {
			if first && op.Put == bookkeeping.Key(bookkeeping.KindOpen, id) {
				first = false
				return 6 * sec
			}
		}
		return 0
	}
	if r := c.ask("n-0", "POST", "/v2/runs", body); r.Status != 503 {
		t.Errorf("a commit without an answer is told as %d", r.Status)
	}
	if r := c.ask("n-1", "POST", "/v2/runs", body); r.Status != 201 {
		t.Errorf("the retry: %d", r.Status)
	}
	c.sim.Run(8 * sec)
	c.finished(id, 60*sec)
	if n := c.fleet.Starts[id+"/0"]; n != 1 {
		t.Errorf("started %d times", n)
	}
	c.rules()
}
