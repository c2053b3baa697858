package coordination

import (
	"testing"

	"pipitgap/internal/config"
	"pipitgap/internal/fake"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// TestServicePreemptsLowerPriorityOnly: a service preempts tasks of lower priority immediately if no machine
// has room, and never tasks of the same or a higher priority.
func TestServicePreemptsLowerPriorityOnly(t *testing.T) {
	cases := []struct {
		name           string
		array, service protocol.Priority
		want           bool
	}{
		{"prod over standard", protocol.Standard, protocol.Production, true},
		{"standard over best effort", protocol.BestEffort, protocol.Standard, true},
		{"not over the same priority", protocol.High, protocol.High, false},
		{"not over a higher priority", protocol.Production, protocol.High, false},
	}
	for i, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, uint64(500+i))
			clear(c.cloud.Capacity)
			c.cloud.Capacity[fake.OfferKey("m8", "a", false)] = 2
			c.startWithLeader()
			array := c.submit(200*second, withTasks(8), withPriority(tc.array))
			if !c.sim.RunUntil(60*second, func() bool { return c.fleet.Running(array) == 8 }) {
				t.Fatalf("array: got %d running tasks after 60 s, want 8", c.fleet.Running(array))
			}
			service := c.submit(0, withService(true), withCPUs(4), withPriority(tc.service))
			got := c.sim.RunUntil(5*second, func() bool { return c.fleet.Running(service) == 1 })
			if got != tc.want {
				t.Errorf("service running after 5 s: got %v, want %v", got, tc.want)
			}
			if n := c.fleet.Running(array); tc.want && n != 6 || !tc.want && n != 8 {
				t.Errorf("array: got %d running tasks, want 6 when the service preempts (%v), else 8", n, tc.want)
			}
			c.requireNoViolations()
		})
	}
}

// TestGuaranteeIsReclaimed: a team that uses more than its guarantee loses the excess to a team that has
// waiting tasks within its own guarantee. Preemption stops when both teams run at their guarantees.
func TestGuaranteeIsReclaimed(t *testing.T) {
	c := newCluster(t, 22)
	c.teams = []config.Team{{Name: "free", CPUs: 8}, {Name: "tight", CPUs: 8}}
	clear(c.checker.Limits)
	clear(c.cloud.Capacity)
	c.cloud.Capacity[fake.OfferKey("m8", "a", false)] = 2
	c.startWithLeader()
	borrower := c.submit(300*second, withTasks(8))
	if !c.sim.RunUntil(60*second, func() bool { return c.fleet.Running(borrower) == 8 }) {
		t.Fatalf("borrower: got %d running tasks after 60 s, want 8", c.fleet.Running(borrower))
	}
	owner := c.submit(300*second, withTasks(8), withTeam("tight"))
	if !c.sim.RunUntil(30*second, func() bool { return c.fleet.Running(owner) == 4 }) {
		t.Errorf("owner: got %d running tasks after 30 s, want the 4 of its guarantee", c.fleet.Running(owner))
	}
	c.sim.Run(30 * second)
	if a, b := c.fleet.Running(borrower), c.fleet.Running(owner); a != 4 || b != 4 {
		t.Errorf("got %d running tasks of the borrower and %d of the owner, want 4 each", a, b)
	}
	c.requireNoViolations()
}

// TestLargeLowPriorityJobIsNotStarved: a large job starts within 4 minutes and makes progress even if jobs
// that the queue order prefers, or whose tasks fit into smaller gaps, arrive at twice the cluster's capacity
// all the time.
func TestLargeLowPriorityJobIsNotStarved(t *testing.T) {
	for _, tc := range []struct {
		name          string
		large, others jobOption
	}{
		{"of lower priority", jobWith(withPriority(protocol.BestEffort), withTasks(60)),
			jobWith(withPriority(protocol.Standard))},
		{"deadline missed before the others are submitted", jobWith(withTasks(60), withDeadlineS(20)),
			jobWith(withDeadlineS(60))},
		{"tasks larger than the gaps", jobWith(withTasks(20), withCPUs(8)), jobWith(withCPUs(1))},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, 36)
			clear(c.cloud.Capacity)
			c.cloud.Capacity[fake.OfferKey("m8", "a", false)] = 4
			c.startWithLeader()
			for i := 0; i < 6; i++ {
				c.submitWithRetry(8*second, tc.others)
			}
			c.sim.Run(15 * second)
			large := c.submit(8*second, tc.large)
			submittedAt := c.sim.Now()
			startedTasks := func() (n int) {
				for task := range c.fleet.Starts {
					if jobIDOfTask(task) == large {
						n++
					}
				}
				return n
			}
			firstStartAfter := monotime.Micros(0)
			for c.sim.Now()-submittedAt < 480*second {
				// Twice the capacity of the cluster.
				for i := 0; i < 4; i++ {
					c.submitWithRetry(8*second, withTasks(8), tc.others)
				}
				c.sim.Run(4 * second)
				if firstStartAfter == 0 && startedTasks() > 0 {
					firstStartAfter = c.sim.Now() - submittedAt
				}
			}
			if firstStartAfter == 0 || firstStartAfter > 240*second {
				t.Errorf("first start after %v s (0: never), want within 240 s", firstStartAfter.Seconds())
			}
			if n := startedTasks(); n < newSubmission(tc.large).Tasks/2 {
				t.Errorf(
					"large job: got %d started tasks after 480 s, want at least %d",
					n,
					newSubmission(tc.large).Tasks/2,
				)
			}
			c.requireNoViolations()
		})
	}
}

// jobIDOfTask returns the job ID in a task ID.
func jobIDOfTask(task string) string {
	ref, _ := mirror.ParseTaskID(task)
	return ref.Job
}
