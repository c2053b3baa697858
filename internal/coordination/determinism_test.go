package coordination

import (
	"fmt"
	"testing"

	"pipitgap/internal/protocol"
	"pipitgap/internal/sortedmap"
)

// TestSameSeedGivesSameCourse: the same seed gives the same calls in the same order. Decisions that depended
// on the order in which a map is walked, or on the rounding of a sum in that order, had a test pass on one
// machine and fail on the next.
func TestSameSeedGivesSameCourse(t *testing.T) {
	play := func() []string {
		var course []string
		c := newCluster(t, 2500)
		c.onCall = func(call string) {
			course = append(course, fmt.Sprintf("%.6f %s", c.sim.Now().Seconds(), call))
		}
		c.startBurst()
		var last []string
		for s := 0; s < 40; s++ {
			for i := 0; i < 10; i++ {
				c.submitWithRetry(
					2*second,
					withTeam("guest"),
					withPriority(protocol.BestEffort),
					withCPUs(0.3),
					withMemoryGB(0.7),
					withSpot(true),
					withEstimateS(2),
				)
			}
			last = append(last, c.submitWithRetry(20*second, withTeam("home"), withTasks(9), withCPUs(1.1),
				withSpot(s%2 == 0), withEstimateS(30), withCheckpointS(3)))
			c.submitWithRetry(
				0,
				withTeam("home"),
				withService(true),
				withPriority(protocol.High),
				withCPUs(1.3),
			)
			switch s {
			case 8:
				c.fleet.Workers[sortedmap.Keys(c.fleet.Workers)[3]].FailsTasks = true
				c.sendRequest("n-0", "POST", protocol.CancelPath(last[2]), nil, func(Response) {})
			case 12:
				c.kill("n-1")
			case 14:
				c.start("n-1")
			case 18:
				for _, id := range sortedmap.Keys(c.fleet.Workers)[:4] {
					c.fleet.Workers[id].Partitioned = true
				}
			case 22:
				c.kill(c.leaderNode().name)
			case 30:
				c.start(c.nodeNames...)
			}
			c.sim.Run(second)
		}
		c.requireNoViolations()
		return course
	}
	a, b := play(), play()
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			t.Fatalf("of %d and %d calls the %dth differs:\n%s\n%s", len(a), len(b), i, a[i], b[i])
		}
	}
	if len(a) != len(b) || len(a) < 1000 {
		t.Fatalf("%d and %d calls", len(a), len(b))
	}
}
