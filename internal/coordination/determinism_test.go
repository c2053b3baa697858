package coordination

import (
	"fmt"
	"testing"
)

// TestSameSeedGivesSameCourse checks that the same seed gives the same calls in the same order. Decisions
// that depended on the iteration order of a map, or on the rounding of a sum in that order, made a test pass
// on one machine and fail on another.
func TestSameSeedGivesSameCourse(t *testing.T) {
	simulate := func() []string {
		var course []string
		c := newCluster(t, 2500)
		c.onCall = func(call string) {
			course = append(course, fmt.Sprintf("%.6f %s", c.sim.Now().Seconds(), call))
		}
		c.startBurst()
		c.simulateSmallJobs(10)
		return course
	}
	firstRun, secondRun := simulate(), simulate()
	for i := range min(len(firstRun), len(secondRun)) {
		if firstRun[i] != secondRun[i] {
			t.Fatalf("runs of %d and %d calls with the same seed differ at index %d:\nfirst:  %s\nsecond: %s",
				len(firstRun), len(secondRun), i, firstRun[i], secondRun[i])
		}
	}
	if len(firstRun) != len(secondRun) || len(firstRun) < 1000 {
		t.Fatalf("got %d and %d calls, want equal numbers of at least 1000", len(firstRun), len(secondRun))
	}
}
