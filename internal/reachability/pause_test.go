package reachability

import (
	"log/slog"
	"testing"

	"pipitgap/internal/monotime"
)

// TestDetectPause: only a gap between two activities that exceeds the threshold is a pause. The time before
// the first activity is not a pause.
func TestDetectPause(t *testing.T) {
	cases := []struct {
		name       string
		activities []monotime.Micros
		want       monotime.Micros
	}{
		{"first activity", []monotime.Micros{testStart}, 0},
		{"gap equal to the threshold", []monotime.Micros{testStart, testStart + pauseThreshold}, 0},
		{
			"gap longer than the threshold",
			[]monotime.Micros{testStart, testStart + pauseThreshold + 1},
			testStart + pauseThreshold + 1,
		},
		{"activity after the pause", []monotime.Micros{1, testStart, testStart + 1}, testStart},
	}
	for _, tc := range cases {
		detector := NewPauseDetector(slog.New(slog.DiscardHandler))
		for _, at := range tc.activities {
			detector.DetectPause(at)
		}
		if got := detector.LastPauseEndedAt(); got != tc.want {
			t.Errorf("%s: resumed at %d, want %d", tc.name, got, tc.want)
		}
	}
}

// TestIsStaleAfterPause: data that was last current before a pause is stale until staleAfterPause after it.
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
		{"just before staleAfterPause has passed", paused, testStart - 1, testStart + staleAfterPause - 1, true},
		{"after staleAfterPause", paused, testStart - 1, testStart + staleAfterPause, false},
		{"fresh since the pause", paused, testStart, testStart, false},
		{"no pause", NewPauseDetector(slog.New(slog.DiscardHandler)), 0, 0, false},
	}
	for _, tc := range cases {
		if got := tc.detector.IsStale(tc.freshAt, tc.now); got != tc.want {
			t.Errorf("%s: got stale %t, want %t", tc.name, got, tc.want)
		}
	}
}
