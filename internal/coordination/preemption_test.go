package coordination

import (
	"testing"

	"pipitgap/internal/config"
	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
	"pipitgap/internal/standin"
)

// TestPreemption: a service gets room at once from work of lower priority, and
// from nothing else.
func TestPreemption(t *testing.T) {
	cases := []struct {
		name        string
		array, serv protocol.Priority
		want        bool
	}{
		{"prod over standard", protocol.Standard, protocol.Prod, true},
		{"standard over best effort", protocol.BestEffort, protocol.Standard, true},
		{"not over its like", protocol.High, protocol.High, false},
		{"not over higher", protocol.Prod, protocol.High, false},
	}
	for i, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, uint64(500+i))
			clear(c.cloud.Capacity)
			c.cloud.Capacity[standin.Offer("m8", "a", false)] = 2
			c.steady()
			array := c.submit(200*sec, withTasks(8), withPriority(tc.array))
			if !c.sim.RunUntil(60*sec, func() bool { return c.fleet.Running(array) == 8 }) {
				t.Fatalf("array: %d run", c.fleet.Running(array))
			}
			serv := c.submit(0, withService(true), withCPUs(4), withPriority(tc.serv))
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
	borrower := c.submit(300*sec, withTasks(8))
	if !c.sim.RunUntil(60*sec, func() bool { return c.fleet.Running(borrower) == 8 }) {
		t.Fatalf("borrower: %d run", c.fleet.Running(borrower))
	}
	owner := c.submit(300*sec, withTasks(8), withTeam("tight"))
	if !c.sim.RunUntil(30*sec, func() bool { return c.fleet.Running(owner) == 4 }) {
		t.Errorf("%d tasks run within the guarantee", c.fleet.Running(owner))
	}
	c.sim.Run(30 * sec)
	if a, b := c.fleet.Running(borrower), c.fleet.Running(owner); a != 4 || b != 4 {
		t.Errorf("borrower %d, owner %d tasks; each has a guarantee of 4", a, b)
	}
	c.rules()
}

// TestNobodyStarves: under lasting load of jobs that are preferred, a large one of
// low priority begins within four minutes, and gets on.
func TestNobodyStarves(t *testing.T) {
	for _, tc := range []struct {
		name        string
		large, rest jobOption
	}{
		{"of lower priority", jobWith(withPriority(protocol.BestEffort), withTasks(60)),
			jobWith(withPriority(protocol.Standard))},
		{"late before the others came", jobWith(withTasks(60), withDeadlineS(20)),
			jobWith(withDeadlineS(60))},
		{"tasks larger than the gaps", jobWith(withTasks(20), withCPUs(8)), jobWith(withCPUs(1))},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, 36)
			clear(c.cloud.Capacity)
			c.cloud.Capacity[standin.Offer("m8", "a", false)] = 4
			c.steady()
			for i := 0; i < 6; i++ {
				c.send(8*sec, tc.rest)
			}
			c.sim.Run(15 * sec)
			large := c.submit(8*sec, tc.large)
			begun := c.sim.Now()
			started := func() (n int) {
				for task := range c.fleet.Starts {
					if jobOfTask(task) == large {
						n++
					}
				}
				return n
			}
			first := micros.T(0)
			for c.sim.Now()-begun < 480*sec {
				// Twice what there is room for, all the time.
				for i := 0; i < 4; i++ {
					c.send(8*sec, withTasks(8), tc.rest)
				}
				c.sim.Run(4 * sec)
				if first == 0 && started() > 0 {
					first = c.sim.Now() - begun
				}
			}
			if first == 0 || first > 240*sec {
				t.Errorf("began after %v s", first.Seconds())
			}
			if n := started(); n < newSubmission(tc.large).Tasks/2 {
				t.Errorf("%d of its tasks begun in eight minutes", n)
			}
			c.rules()
		})
	}
}

func jobOfTask(task string) string {
	ref, _ := parseTask(task)
	return ref.job
}
