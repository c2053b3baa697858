package coordination

import (
	"fmt"
	"strings"
	"testing"

	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
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
