package scheduling

import (
	"testing"

	"pipitgap/internal/monotime"
)

// isStarved tracks an array like a scheduling pass does and reports whether the array is starved.
func isStarved(p *StartProgress, started, waiting int, scavenger bool, now monotime.Micros) bool {
	if !p.Begun() {
		p.Begin(started, 0, now)
	}
	p.Observe(started, now)
	return p.CatchingUp(started) || p.Stalled(now) && p.BeginCatchUp(started, waiting, scavenger)
}

// TestStarvation checks that an array without starts becomes starved after starvationTimeout and stays
// starved until a fraction of its waiting tasks has started. After that, the shorter
// repeatedStarvationTimeout applies.
func TestStarvation(t *testing.T) {
	const second = monotime.Second
	for _, tc := range []struct {
		name         string
		scavenger    bool
		observations []struct {
			at      monotime.Micros
			started int
			want    bool
		}
	}{
		{"nothing started", false, []struct {
			at      monotime.Micros
			started int
			want    bool
		}{
			{1 * second, 0, false},
			{101 * second, 0, false},
			{101*second + 1, 0, true},
			{102 * second, 9, true},   // target: a quarter of 40 tasks is 10
			{103 * second, 10, false}, // target reached
			{148 * second, 10, false},
			{148*second + 1, 10, true}, // starved again after the shorter timeout
		}},
		{"scavenger class", true, []struct {
			at      monotime.Micros
			started int
			want    bool
		}{
			{1 * second, 0, false},
			{102 * second, 0, true},
			{103 * second, 1, false}, // one task is enough
			{500 * second, 1, false}, // never starved again
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var progress StartProgress
			for _, observation := range tc.observations {
				if got := isStarved(
					&progress,
					observation.started,
					40-observation.started,
					tc.scavenger,
					observation.at,
				); got != observation.want {
					t.Errorf("at %v s with %d started tasks: got starved %v, want %v",
						observation.at.Seconds(), observation.started, got, observation.want)
				}
			}
		})
	}
}

// TestStarvationCountsWaitBeforeBegin checks that the time that a job waited before this controller saw it
// counts, up to twice starvationTimeout, but only if none of its tasks has started.
func TestStarvationCountsWaitBeforeBegin(t *testing.T) {
	const now = 1000 * monotime.Second
	for _, tc := range []struct {
		name    string
		started int
		waited  monotime.Micros
		want    bool
	}{
		{"waited longer than the timeout", 0, starvationTimeout + 1, true},
		{"waited exactly the timeout", 0, starvationTimeout, false},
		{"negative wait after a clock step", 0, -starvationTimeout, false},
		{"waited longer than the timeout, but a task has started", 1, 2 * starvationTimeout, false},
	} {
		var progress StartProgress
		progress.Begin(tc.started, tc.waited, now)
		progress.Observe(tc.started, now)
		if got := progress.Stalled(now); got != tc.want {
			t.Errorf("%s: got stalled %v, want %v", tc.name, got, tc.want)
		}
	}
}
