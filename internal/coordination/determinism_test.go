package coordination

import (
	"fmt"
	"testing"
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
		c.simulateSmallJobs(10)
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
