package coordination

import (
	"fmt"
	"strings"
	"testing"

	"pipitgap/internal/bookkeeping"
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
			for _, kind := range []string{"open", "run", "machine", "ask", "removal"} {
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
				c.fleet.Gone[id] = c.sim.Now() + 32*sec
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
		old.Tasks = []protocol.TaskReport{{Task: id + "/0", Attempt: 1, State: protocol.StateExited, Cause: protocol.CauseError}}
		for _, n := range c.names {
			c.ask(n, "POST", "/checkin", protocol.MustMarshal(&old))
		}
	}
	c.sim.Run(10 * sec)
	if n := c.fleet.Starts[id+"/0"]; n != 1 {
		t.Errorf("started %d times", n)
	}
	c.rules()
}
