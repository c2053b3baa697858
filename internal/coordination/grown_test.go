package coordination

import (
	"fmt"
	"testing"

	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/config"
	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
	"pipitgap/internal/standin"
)

// newGrown is five controllers with room for some five hundred machines, on a
// state service and a cloud no larger than those of three with forty.
func newGrown(t testing.TB, seed uint64) *cluster {
	c := newCluster(t, seed)
	c.names = []string{"n-0", "n-1", "n-2", "n-3", "n-4"}
	c.fleet.Nodes = c.names
	for _, n := range c.names {
		c.nodes[n] = &simNode{c: c, name: n}
	}
	c.teams = []config.Team{{Name: "free", CPUs: 1000, CPUsMax: 3500}, {Name: "tight", CPUs: 800, CPUsMax: 2500}, {Name: "third", CPUs: 800, CPUsMax: 3500}}
	c.set.ScaleDownDelay, c.set.ExpectedRoom, c.set.ExpectedRoomOrdinary = config.Span(15*sec), 0.2, 1.75
	c.set.OverdueBoot, c.set.ServiceHeadroom = 0.75, 0.3
	for _, typ := range testTypes {
		for _, z := range typ.Zones {
			c.cloud.Capacity[standin.Offer(typ.Name, z, false)] = 0
			c.cloud.Capacity[standin.Offer(typ.Name, z, true)] = 0
		}
	}
	for _, z := range []string{"a", "b"} {
		c.cloud.Capacity[standin.Offer("m16", z, false)] = 135
		c.cloud.Capacity[standin.Offer("m16", z, true)] = 135
	}
	c.fleet.Limits["tight"], c.fleet.Limits["free"], c.fleet.Limits["third"] = 2500, 3500, 3500
	return c
}

// send submits a job at some controller, asking again like a user.
func (c *cluster) send(run micros.T, more jobOf) string {
	id, j := c.spec(more)
	c.fleet.Jobs[id] = standin.JobInfo{Team: j["crew"].(string), CPUs: j["cores"].(float64), Run: run}
	body := protocol.MustMarshal(j)
	var try func()
	try = func() {
		settled := false
		c.request(c.names[c.sim.Rand.IntN(len(c.names))], "POST", "/v2/runs", body, func(r Reply) {
			if settled {
				return
			}
			settled = true
			if r.Status != 200 && r.Status != 201 {
				c.sim.After(sec, try)
			}
		})
		c.sim.After(5*sec, func() {
			if !settled {
				settled = true
				try()
			}
		})
	}
	try()
	return id
}

func TestGrown(t *testing.T) {
	c := newGrown(t, 1)
	c.start(c.names...)
	c.sim.Run(3 * sec)
	teams := []string{"free", "tight", "third"}
	for i := 0; i < 400; i++ {
		c.send(0, jobOf{"crew": teams[i%3], "shape": "daemon", "rank": "high", "cores": 1.0, "memory_gb": 6.0, "plumage": fmt.Sprint("svc", i%16), "pull_gb": 1.8, "guess_s": 0.0})
	}
	arrays := func(n int) {
		for i := 0; i < n; i++ {
			run := micros.T(float64(12*sec) * (0.5 + 1.2*c.sim.Rand.Float64()))
			c.send(run, jobOf{"crew": teams[c.sim.Rand.IntN(3)], "pips": 20 + c.sim.Rand.IntN(260), "memory_gb": 10.0, "plumage": fmt.Sprint("tr", c.sim.Rand.IntN(18)),
				"pull_gb": 0.7, "guess_s": 12.0, "borrowed": true, "due_s": 46.0})
		}
	}
	arrays(23)
	for s := 0; s < 100; s++ {
		if s%2 == 0 {
			arrays(1)
		}
		c.sim.Run(sec)
		if s%10 == 9 {
			fin := len(c.fleet.Finished)
			t.Log(s, "machines", c.cloud.Count(), "finished", fin, "calls", c.store.Calls, "changes", c.store.Changes, "conflicts", c.store.Conflicts, "throttled", c.store.Throttled, c.store.ByKind)
			for _, n := range c.names {
				t.Log(n, c.nodes[n].core.Summary())
			}
		}
	}
	c.rules()
	_ = bookkeeping.Root
}
