package reachability

import (
	"log/slog"
	"testing"

	"pipitgap/internal/monotime"
)

// TestDetectPause: only a gap longer than the threshold is a pause, and the time before the first activity is none.
func TestDetectPause(t *testing.T) {
	cases := []struct {
		name       string
		activities []monotime.Micros
		want       monotime.Micros
	}{
		{"first activity", []monotime.Micros{testStart}, 0},
		{"at the threshold", []monotime.Micros{testStart, testStart + pauseThreshold}, 0},
		{
			"beyond",
			[]monotime.Micros{testStart, testStart + pauseThreshold + 1},
			testStart + pauseThreshold + 1,
		},
		{"and activity since", []monotime.Micros{1, testStart, testStart + 1}, testStart},
	}
	for _, tc := range cases {
		detector := NewPauseDetector(slog.New(slog.DiscardHandler))
		for _, at := range tc.activities {
			detector.DetectPause(at)
		}
		if got := detector.ResumedFromPauseAt(); got != tc.want {
			t.Errorf("%s: resumed at %d, want %d", tc.name, got, tc.want)
		}
	}
}

// TestIsStaleAfterPause: what was up to date before a pause isn't trusted for a moment after it.
func TestIsStaleAfterPause(t *testing.T) {
	paused := NewPauseDetector(slog.New(slog.DiscardHandler))
	paused.DetectPause(1)
	paused.DetectPause(testStart)
	cases := []struct {
		name         string
		detector     *PauseDetector
		freshAt, now monotime.Micros
		want         bool
	}{
		{"fresh before the pause", paused, testStart - 1, testStart, true},
		{"until the moment is over", paused, testStart - 1, testStart + staleAfterPause - 1, true},
		{"afterwards", paused, testStart - 1, testStart + staleAfterPause, false},
		{"fresh since", paused, testStart, testStart, false},
		{"no pause", NewPauseDetector(slog.New(slog.DiscardHandler)), 0, 0, false},
	}
	for _, tc := range cases {
		if got := tc.detector.IsStale(tc.freshAt, tc.now); got != tc.want {
			t.Errorf("%s: %t", tc.name, got)
		}
	}
}
