package coordination

import (
	"fmt"
	"testing"

	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/config"
	"pipitgap/internal/protocol"
	"pipitgap/internal/standin"
)

// TestIsolated: controllers that lose the store and the others, but not their
// workers, answer users at once, keep services for a while, and on their return
// apply nothing that they held. The leader may be among them.
func TestIsolated(t *testing.T) {
	for i, nodes := range [][]string{{"n-0"}, {"n-1"}, {"n-2"}, {"n-0", "n-1"}, {"n-1", "n-2"}} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			c := newCluster(t, uint64(800+i)).steady()
			service := c.submit(0, withService(true), withTasks(6), withPriority(protocol.Prod), withCPUs(4))
			array := c.submit(10*sec, withTasks(40), withSpot(true))
			if !c.sim.RunUntil(60*sec, func() bool { return c.fleet.Running(service) == 6 }) {
				t.Fatal("not started")
			}
			for _, n := range nodes {
				c.store.Refused[n] = true
				for _, o := range c.names {
					c.cut[n+"-"+o] = true
				}
			}
			c.sim.Run(5 * sec)
			for _, n := range nodes {
				if r := c.ask(n, "GET", "/healthz", nil); r.Status != 503 {
					t.Errorf("%s says %d to health checks", n, r.Status)
				}
				_, j := c.spec()
				for _, q := range []struct {
					method, target string
					body           []byte
				}{
					{"POST", protocol.JobsPath, protocol.MustMarshal(j)},
					{"GET", protocol.JobPath(service), nil},
					{"POST", protocol.CancelPath(service), nil},
				} {
					begun := c.sim.Now()
					if r := c.ask(n, q.method, q.target, q.body); r.Status != 503 || r.RetryAfter < 1 || c.sim.Now()-begun > sec/2 {
						t.Errorf("%s answers %s %s with %d after %d us", n, q.method, q.target, r.Status, c.sim.Now()-begun)
					}
				}
			}
			c.sim.Run(40 * sec)
			clear(c.store.Refused)
			clear(c.cut)
			c.finished(array, 200*sec)
			if !c.sim.RunUntil(60*sec, func() bool { return c.fleet.Running(service) == 6 }) {
				t.Errorf("%d replicas after the return", c.fleet.Running(service))
			}
			c.rules()
		})
	}
}

// TestLongCut: a controller that comes back to the store after many changes reads
// the records again rather than all that has happened, in one answer without a
// bound; one that missed few goes on with its watch.
func TestLongCut(t *testing.T) {
	for _, tc := range []struct {
		name  string
		jobs  int
		again bool
	}{{"few changes", 3, false}, {"many changes", 60, true}} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, 41)
			c.facts = func(cfg *config.Config) { cfg.Facts.State.ValueKB = 64 }
			c.steady()
			c.store.Refused["n-2"] = true
			for i := 0; i < tc.jobs; i++ {
				_, j := c.spec(withCPUs(0.1))
				c.ask("n-0", "POST", protocol.JobsPath, protocol.MustMarshal(j))
			}
			c.sim.Run(15 * sec)
			lists := c.store.Calls[protocol.StoreList]
			c.store.LargestWatch = 0
			c.store.Refused["n-2"] = false
			c.sim.Run(5 * sec)
			core := c.nodes["n-2"].core
			most := core.mostChanges()
			if got := c.store.LargestWatch; got > most {
				t.Errorf("a watch brought %d changes, want %d at most", got, most)
			}
			if again := c.store.Calls[protocol.StoreList] > lists+3; again != tc.again {
				t.Errorf("read again: %v, want %v", again, tc.again)
			}
			if got, want := len(core.view.jobs), len(c.store.Keys(bookkeeping.Key(bookkeeping.KindOpen, ""))); got != want || want == 0 {
				t.Errorf("the mirror has %d jobs, the store %d", got, want)
			}
		})
	}
}

// TestZoneCut: a zone that falls silent keeps its machines for as long as it may come
// back with them, but for those whose services must be proven gone; nothing is rented
// there meanwhile, and afterwards it serves again at once. Single machines that fall
// silent are replaced as ever.
func TestZoneCut(t *testing.T) {
	for _, tc := range []struct {
		name   string
		silent func(m *standin.Rented, i int) bool
		kept   bool
	}{
		{"a zone", func(m *standin.Rented, _ int) bool { return m.Zone == "a" }, true},
		{"two machines", func(_ *standin.Rented, i int) bool { return i < 2 }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, 77)
			for k := range c.cloud.Capacity {
				c.cloud.Capacity[k] = 12
			}
			c.names = c.names[:2] // each with more than a few machines in the zone
			c.fleet.Nodes = c.names
			c.steady()
			there := map[string]bool{}
			for i := 0; i < 8; i++ {
				id := c.send(600*sec, withTasks(8), withCPUs(4), withMemoryGB(8),
					withZone([]string{"a", "b"}[i%2]))
				there[id] = i%2 == 0
			}
			c.sim.Run(40 * sec)
			var cut []*standin.Worker
			for i, id := range sortedKeys(c.fleet.Workers) {
				if w := c.fleet.Workers[id]; tc.silent(w.Machine, i) {
					cut = append(cut, w)
					w.Silent = true
					for _, n := range c.names {
						c.cut[id+"-"+n] = true
					}
				}
			}
			before := map[string]bool{}
			for id := range c.cloud.Machines {
				before[id] = true
			}
			c.sim.Run(16 * sec)
			for i := 0; i < 4; i++ {
				c.send(5*sec, withTasks(20), withCPUs(4), withMemoryGB(8))
			}
			c.sim.Run(14 * sec)
			gone, inA := 0, 0
			for _, w := range cut {
				if w.Machine.Gone {
					gone++
				}
			}
			for id, m := range c.cloud.Machines {
				if !before[id] && m.Zone == "a" {
					inA++
				}
			}
			if len(cut) < 2 || tc.kept && (gone > 0 || inA > 0) || !tc.kept && gone < len(cut) {
				t.Errorf("of %d silent machines %d were deleted; %d rented in the zone", len(cut), gone, inA)
			}
			for _, w := range cut {
				w.Silent = false
			}
			clear(c.cut)
			c.sim.Run(15 * sec)
			for id, a := range there {
				if n := c.fleet.Running(id); a && tc.kept && n != 8 {
					t.Errorf("%d tasks of %s run after the return", n, id)
				}
			}
			c.rules()
		})
	}
}
