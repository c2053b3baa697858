package coordination

import (
	"fmt"
	"testing"

	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
	"pipitgap/internal/standin"
)

// TestRestarts: controllers killed at any moment and started again with nothing
// but the store; nothing is forgotten and nothing runs twice.
func TestRestarts(t *testing.T) {
	for seed := uint64(0); seed < 6; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := newCluster(t, 300+seed).steady()
			var ids []string
			for i := 0; i < 6; i++ {
				ids = append(ids, c.submit(6*sec, withTasks(12), withSpot(i%2 == 0)))
			}
			service := c.submit(0, withService(true), withTasks(3), withPriority(protocol.Prod))
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
			service := c.submit(0, withService(true), withTasks(4), withPriority(protocol.Prod))
			var ids []string
			for k := 0; k < 4; k++ {
				ids = append(ids, c.submit(8*sec, withTasks(20), withCPUs(1), withSpot(true),
					withTeam([]string{"free", "tight"}[k%2])))
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

// TestBackAtOnce: controllers back within a fraction of a second, in the middle of
// an election or of anything, with their old leases and incarnations still in the
// store and what they had sent applied late.
func TestBackAtOnce(t *testing.T) {
	for seed := uint64(0); seed < 8; seed++ {
		c := newCluster(t, 900+seed).steady()
		service := c.submit(0, withService(true), withTasks(4), withPriority(protocol.Prod))
		var ids []string
		for i := 0; i < 5; i++ {
			ids = append(ids, c.submit(5*sec, withTasks(16), withCPUs(1), withSpot(true),
				withTeam([]string{"free", "tight"}[i%2])))
		}
		c.store.Delay = func(*protocol.Txn) micros.T {
			if c.sim.Rand.IntN(12) == 0 {
				return c.jitter(9 * sec)
			}
			return 0
		}
		for i := 0; i < 12; i++ {
			c.sim.Run(c.jitter(4 * sec))
			down := []string{c.names[c.sim.Rand.IntN(3)]}
			if l := c.leader(); l != nil && i%2 == 0 {
				down = []string{l.name}
			}
			c.kill(down...)
			c.sim.Run(c.jitter(sec / 2))
			c.start(down...)
			if i%3 == 0 { // and once more, before it has its records
				c.sim.Run(c.jitter(sec / 4))
				c.kill(down...)
				c.start(down...)
			}
		}
		c.store.Delay = nil
		for _, id := range ids {
			c.finished(id, 300*sec)
		}
		if !c.sim.RunUntil(60*sec, func() bool { return c.fleet.Running(service) == 4 }) {
			t.Errorf("seed %d: %d replicas", seed, c.fleet.Running(service))
		}
		c.rules()
	}
}

// TestStaysKnown: when the troubles are over every accepted job is answered on
// every controller, one whose record this version can't read too.
func TestStaysKnown(t *testing.T) {
	c := newCluster(t, 35).steady()
	var ids []string
	for i := 0; i < 30; i++ {
		ids = append(ids, c.submit(micros.T(1+i%3)*40*sec, withTasks(1+i%5)))
	}
	odd := "j-odd"
	c.store.Outage(12 * sec)
	c.sim.Run(4 * sec)
	c.kill(c.names...)
	c.sim.Run(2 * sec)
	c.start(c.names...)
	c.sim.Run(8 * sec)
	c.store.Call("test", &protocol.StoreCall{Op: protocol.StoreCommit, Within: sec, Txn: protocol.Txn{Then: []protocol.Op{
		{Put: bookkeeping.Key(bookkeeping.KindOpen, odd), Value: protocol.MustMarshal("another layout")}}}}, func(protocol.StoreResult) {})
	for _, seconds := range []int{20, 60} {
		c.sim.Run(micros.T(seconds) * sec)
		for _, n := range c.names {
			for _, id := range append(ids, odd) {
				if code, _ := c.status(n, id); code != 200 {
					t.Errorf("%s on %s: %d", id, n, code)
				}
			}
		}
	}
}

// TestBackInAMoment: controllers that crash and are back in three seconds find their
// machines where they were. The one that is left hears from all of their workers while
// its peers' last words are still fresh; to take them over then cost a storm of
// commits that all ask for the same shares. An owner that lives but can't be reached
// by its workers loses them.
func TestBackInAMoment(t *testing.T) {
	for _, crash := range []bool{true, false} {
		c := newCluster(t, 61).steady()
		c.refuse = true
		for i := 0; i < 6; i++ {
			c.send(0, withService(true), withTasks(4), withCPUs(4), withTeam([]string{"free", "tight"}[i%2]))
		}
		c.sim.Run(45 * sec)
		owners := func() map[string]string {
			out := map[string]string{}
			for id, m := range c.nodes["n-0"].core.view.machines {
				if m.rec != nil {
					out[id] = m.owner()
				}
			}
			return out
		}
		before := owners()
		theirs := 0
		for id, n := range before {
			if n != "n-0" {
				theirs++
				if !crash {
					c.cut[id+"-"+n] = true
				}
			}
		}
		conflicts := c.store.ByKind["!part"]
		if crash {
			c.kill("n-1", "n-2")
		}
		c.sim.Run(3 * sec)
		if crash {
			c.start("n-1", "n-2")
		}
		c.sim.Run(17 * sec)
		changed := 0
		for id, n := range owners() {
			if before[id] != "" && before[id] != n {
				changed++
			}
		}
		if theirs < 3 || crash && changed > 0 || !crash && changed < theirs {
			t.Errorf("crash %v: %d of %d machines have changed their owner", crash, changed, theirs)
		}
		if n := c.store.ByKind["!part"] - conflicts; n > 12 {
			t.Errorf("crash %v: %d conflicts about shares", crash, n)
		}
		c.rules()
	}
}
