package scheduling

import (
	"testing"

	"pipitgap/internal/monotime"
)

// isStarved plays one look at an array, as a pass does.
func isStarved(p *StartProgress, started, waiting int, scavenger bool, now monotime.Micros) bool {
	if !p.Begun() {
		p.Begin(started, 0, now)
	}
	p.Observe(started, now)
	return p.CatchingUp(started) || p.Stalled(now) && p.BeginCatchUp(started, waiting, scavenger)
}

// TestStarvation: an array that gets nothing for long is starved until a part of its tasks has started, and
// again sooner once some have.
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
			{102 * second, 9, true},   // a quarter of 40 is ten
			{103 * second, 10, false}, // it has them
			{148 * second, 10, false},
			{148*second + 1, 10, true}, // after the shorter time
		}},
		{"of the scavenger class", true, []struct {
			at      monotime.Micros
			started int
			want    bool
		}{
			{1 * second, 0, false},
			{102 * second, 0, true},
			{103 * second, 1, false}, // one task is enough,
			{500 * second, 1, false}, // and it is never starved again
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
					t.Errorf("at %v s with %d started: %v", observation.at.Seconds(), observation.started, got)
				}
			}
		})
	}
}

// TestStarvationCountsWaitBeforeBegin: what a job waited before this controller saw it counts, up to twice the bound,
// and only if nothing of it has started.
func TestStarvationCountsWaitBeforeBegin(t *testing.T) {
	const now = 1000 * monotime.Second
	for _, tc := range []struct {
		name    string
		started int
		waited  monotime.Micros
		want    bool
	}{
		{"waited for long", 0, starvationTimeout + 1, true},
		{"not for long", 0, starvationTimeout, false},
		{"clock went back", 0, -starvationTimeout, false},
		{"for long, but some have started", 1, 2 * starvationTimeout, false},
	} {
		var progress StartProgress
		progress.Begin(tc.started, tc.waited, now)
		progress.Observe(tc.started, now)
		if got := progress.Stalled(now); got != tc.want {
			t.Errorf("%s: stalled %v", tc.name, got)
		}
	}
}
