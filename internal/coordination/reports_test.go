package coordination

import (
	"testing"

	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
)

// ownMachine puts a shard of n-0's with one machine and a running service on it into
// the mirror of a controller that runs alone.
func ownMachine(t *testing.T, seed uint64) (*cluster, *Core, *machine) {
	c := newCluster(t, seed)
	c.start("n-0")
	c.sim.Run(3 * sec)
	core := c.nodes["n-0"].core
	core.view.put(bookkeeping.Key(bookkeeping.KindOpen, "j-1"), protocol.MustMarshal(&bookkeeping.OpenJob{
		Spec: bookkeeping.Spec{Tasks: 1, CPUs: 1, Service: true}, Shares: []bookkeeping.Share{{First: 0, End: 1, Partition: "n-0"}}}), 1000)
	shard := &bookkeeping.Shard{Owner: "n-0", Incarnation: core.inc, Claim: 3,
		Machines: map[string]*bookkeeping.ShardMachine{}, Jobs: map[string]*bookkeeping.ShardJob{}}
	shard.Add("i-1", bookkeeping.ShardMachine{Type: "m8", Zone: "a", Endpoint: "10.1.0.1:9000", State: bookkeeping.MachineOpen})
	shard.Assign("j-1", bookkeeping.Held{Task: 0, Machine: "i-1", Attempt: 1})
	raw, _ := shard.Encode()
	core.view.put(bookkeeping.Key(bookkeeping.KindShard, "p"), raw, 1001)
	return c, core, core.view.machines["i-1"]
}

// TestLeaseProof: when a lease is taken to have ended. What was wrong once: tasks
// that a direct command started in a new session, whose reports never arrived,
// were taken to have ended with the lease of the session before, and ran twice.
func TestLeaseProof(t *testing.T) {
	const base = 3 << 32
	report := func(session, seq, token uint64) *protocol.Report {
		return &protocol.Report{Machine: "i-1", Endpoint: "10.1.0.1:9000", Type: "m8", Zone: "a", Session: session, Seq: seq, Token: token,
			Tasks: []protocol.TaskReport{{Task: "j-1/0", Attempt: 1, State: protocol.StateRunning}}}
	}
	cases := []struct {
		name  string
		after func(c *cluster, core *Core, m *machine) // 10 s after the last answered check-in
		lost  bool                                     // 14 s after that check-in
	}{
		{"silence", func(*cluster, *Core, *machine) {}, true},
		{"a newer check-in", func(c *cluster, core *Core, m *machine) { core.report(m, report(1, 9, base+9)) }, false},
		{"a late copy of an older check-in", func(c *cluster, core *Core, m *machine) { core.report(m, report(1, 4, base)) }, true},
		{"a late copy of the last check-in", func(c *cluster, core *Core, m *machine) { core.report(m, report(1, 5, base)) }, true},
		{"a direct answer of the same session", func(c *cluster, core *Core, m *machine) { core.apply(m, report(1, 9, base)) }, true},
		{"a direct answer of a new session", func(c *cluster, core *Core, m *machine) { core.apply(m, report(2, 1, base)) }, false},
	}
	for _, tc := range cases {
		c, core, m := ownMachine(t, 30)
		core.report(m, report(1, 5, base))
		c.sim.Run(10 * sec)
		tc.after(c, core, m)
		c.sim.Run(4 * sec)
		if m.w.lost != tc.lost {
			t.Errorf("%s: lost %v", tc.name, m.w.lost)
		}
		c.sim.Run(13 * sec)
		if !m.w.lost || !m.w.settled(attemptKey{taskRef{"j-1", 0}, 1}) {
			t.Errorf("%s: never lost", tc.name)
		}
	}
}

// TestAlive: what shows that a machine may get tasks. A machine that is heard
// needn't be reached: a token that only our answer can have brought must come back.
func TestAlive(t *testing.T) {
	const base = 3 << 32
	type step struct {
		session, seq, token uint64
		pause               int // seconds before it
	}
	cases := []struct {
		name   string
		steps  []step
		usable bool
	}{
		{"has seen our claim", []step{{1, 5, base, 0}}, true},
		{"hasn't seen our claim", []step{{1, 5, 7, 0}, {1, 6, 7, 1}}, false},
		{"a copy after silence", []step{{1, 5, base, 0}, {1, 5, base, 6}}, false},
		{"away for long, token not yet taken up", []step{{1, 5, base, 0}, {1, 6, base, 8}}, false},
		{"away for long, then reached again", []step{{1, 5, base, 0}, {1, 6, base, 8}, {1, 7, base + 1, 1}}, true},
		{"a new session though we answered", []step{{1, 5, base, 0}, {2, 1, base, 2}}, false},
		{"a new session, then reached", []step{{1, 5, base, 0}, {2, 1, base, 2}, {2, 2, base + 8, 1}}, true},
		{"an older session", []step{{2, 5, base, 0}, {1, 9, base, 6}}, false},
	}
	for _, tc := range cases {
		c, core, m := ownMachine(t, 31)
		for _, s := range tc.steps {
			c.sim.Run(micros.T(s.pause) * sec)
			core.report(m, &protocol.Report{Machine: "i-1", Endpoint: "10.1.0.1:9000", Type: "m8", Zone: "a", Session: s.session, Seq: s.seq, Token: s.token,
				Tasks: []protocol.TaskReport{{Task: "j-1/0", Attempt: 1, State: protocol.StateRunning}}})
		}
		m.w.removing = ""
		if got := core.usable(m, c.sim.Now()); got != tc.usable {
			t.Errorf("%s: usable %v", tc.name, got)
		}
	}
}
