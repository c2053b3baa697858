package coordination

import (
	"testing"

	"pipitgap/internal/micros"
)

// TestPace: work is due after its interval, and takes a tenth of the time at most.
func TestPace(t *testing.T) {
	cases := []struct{ begun, ended, interval, want micros.T }{
		{0, 0, 100, 100},
		{50, 55, 100, 150},
		{50, 60, 100, 150},
		{50, 90, 100, 450},
	}
	for _, tc := range cases {
		if got := pace(tc.begun, tc.ended, tc.interval); got != tc.want {
			t.Errorf("%+v: due at %d", tc, got)
		}
	}
}
