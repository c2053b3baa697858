package coordination

import (
	"testing"

	"pipitgap/internal/agents"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// newClusterOwningMachine puts a shard of n-0's with one machine and a running service on it into
// the mirror of a controller that runs alone.
func newClusterOwningMachine(t *testing.T, seed uint64) (*cluster, *Controller, *mirror.Machine) {
	c := newCluster(t, seed)
	c.start("n-0")
	c.sim.Run(3 * second)
	core := c.nodes["n-0"].controller
	core.mirror.ApplyPut(storage.Key(storage.KindOpenJob, "j-1"), protocol.MustMarshal(&storage.OpenJob{
		Spec: storage.JobSpec{
			Tasks:   1,
			CPUs:    1,
			Service: true,
		}, TaskRanges: []storage.TaskRange{{First: 0, End: 1, Partition: "n-0"}}}), 1000)
	shard := &storage.Shard{Owner: "n-0", Incarnation: core.incarnation, Claim: 3,
		Machines: map[string]*storage.ShardMachine{}, Jobs: map[string]*storage.ShardJob{}}
	shard.AddMachine(
		"i-1",
		storage.ShardMachine{Type: "m8", Zone: "a", Endpoint: "10.1.0.1:9000", State: storage.MachineOpen},
	)
	shard.Assign("j-1", storage.Attempt{Task: 0, Machine: "i-1", Number: 1})
	encoded, _ := shard.Encode()
	core.mirror.ApplyPut(storage.Key(storage.KindShard, "p"), encoded, 1001)
	return c, core, core.mirror.Machines["i-1"]
}

// TestLeaseExpiryIsProvenPerIncarnation: when a lease is taken to have ended. What was wrong once: tasks
// that a direct command started in a new session, whose reports never arrived,
// were taken to have ended with the lease of the session before, and ran twice.
func TestLeaseExpiryIsProvenPerIncarnation(t *testing.T) {
	const base = 3 << 32
	report := func(session, seq, token uint64) *protocol.Heartbeat {
		return &protocol.Heartbeat{
			Machine:      "i-1",
			Endpoint:     "10.1.0.1:9000",
			Type:         "m8",
			Zone:         "a",
			Incarnation:  session,
			Sequence:     seq,
			FencingToken: token,
			Tasks:        []protocol.TaskStatus{{Task: "j-1/0", Attempt: 1, State: protocol.StateRunning}},
		}
	}
	cases := []struct {
		name string
		// 10 s after the last answered check-in
		after func(c *cluster, core *Controller, machine *mirror.Machine)
		lost  bool // 14 s after that check-in
	}{
		{"silence", func(*cluster, *Controller, *mirror.Machine) {}, true},
		{"a newer check-in", func(c *cluster, core *Controller, machine *mirror.Machine) {
			core.agents.answerHeartbeat(machine, report(1, 9, base+9))
		}, false},
		{"a late copy of an older check-in", func(c *cluster, core *Controller, machine *mirror.Machine) {
			core.agents.answerHeartbeat(machine, report(1, 4, base))
		}, true},
		{"a late copy of the last check-in", func(c *cluster, core *Controller, machine *mirror.Machine) {
			core.agents.answerHeartbeat(machine, report(1, 5, base))
		}, true},
		{"a direct answer of the same session", func(c *cluster, core *Controller, machine *mirror.Machine) {
			core.agents.applyReport(machine, report(1, 9, base))
		}, true},
		{"a direct answer of a new session", func(c *cluster, core *Controller, machine *mirror.Machine) {
			core.agents.applyReport(machine, report(2, 1, base))
		}, false},
	}
	for _, tc := range cases {
		c, core, machine := newClusterOwningMachine(t, 30)
		core.agents.answerHeartbeat(machine, report(1, 5, base))
		c.sim.Run(10 * second)
		tc.after(c, core, machine)
		c.sim.Run(4 * second)
		if core.agents.agentOf(machine).LeaseExpired() != tc.lost {
			t.Errorf("%s: lost %v", tc.name, core.agents.agentOf(machine).LeaseExpired())
		}
		c.sim.Run(13 * second)
		if !core.agents.agentOf(machine).LeaseExpired() ||
			!core.agents.agentOf(machine).HasOutcome(agents.AttemptID{Task: mirror.TaskID{Job: "j-1", Index: 0}, Attempt: 1}) {
			t.Errorf("%s: never lost", tc.name)
		}
	}
}

// TestMachineIsAliveOnlyIfTokenReturns: what shows that a machine may get tasks. A machine that is heard
// needn't be reached: a token that only our answer can have brought must come back.
func TestMachineIsAliveOnlyIfTokenReturns(t *testing.T) {
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
		{
			"away for long, then reached again",
			[]step{{1, 5, base, 0}, {1, 6, base, 8}, {1, 7, base + 1, 1}},
			true,
		},
		{"a new session though we answered", []step{{1, 5, base, 0}, {2, 1, base, 2}}, false},
		{"a new session, then reached", []step{{1, 5, base, 0}, {2, 1, base, 2}, {2, 2, base + 8, 1}}, true},
		{"an older session", []step{{2, 5, base, 0}, {1, 9, base, 6}}, false},
	}
	for _, tc := range cases {
		c, core, machine := newClusterOwningMachine(t, 31)
		for _, s := range tc.steps {
			c.sim.Run(monotime.Micros(s.pause) * second)
			core.agents.answerHeartbeat(
				machine,
				&protocol.Heartbeat{
					Machine:      "i-1",
					Endpoint:     "10.1.0.1:9000",
					Type:         "m8",
					Zone:         "a",
					Incarnation:  s.session,
					Sequence:     s.seq,
					FencingToken: s.token,
					Tasks: []protocol.TaskStatus{
						{Task: "j-1/0", Attempt: 1, State: protocol.StateRunning},
					},
				},
			)
		}
		core.agents.agentOf(machine).ClearRemovalReason()
		if got := core.scheduler.schedulable(machine, c.sim.Now()); got != tc.usable {
			t.Errorf("%s: usable %v", tc.name, got)
		}
	}
}
