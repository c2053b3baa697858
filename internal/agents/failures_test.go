package agents

import "testing"

// TestSlowMachine checks that a machine counts as slow only after enough tasks ran far longer than expected.
func TestSlowMachine(t *testing.T) {
	cases := []struct {
		name  string
		ratio float64 // of actual by expected run time
		tasks int
		slow  bool
	}{
		{"as expected", 1, 20, false},
		{"twice as long", 2, 20, false},
		{"four times as long, too few tasks", 4, minSlowdownSamples - 1, false},
		{"four times as long", 4, minSlowdownSamples, true},
		{"without estimates", 0, 20, false},
	}
	for _, tc := range cases {
		history := &New(1, 0).failures
		for range tc.tasks {
			history.RecordSpeed(100*tc.ratio, 100)
		}
		if got := history.IsSlow(); got != tc.slow {
			t.Errorf("%s: got slow %v, want %v", tc.name, got, tc.slow)
		}
	}
}

// TestFailuresCountSinceCompletion checks that a completed task resets the failure counts of its machine.
func TestFailuresCountSinceCompletion(t *testing.T) {
	history := &New(1, 0).failures
	history.RecordFailure("j-1")
	history.RecordFailure("j-1")
	history.RecordFailure("j-2")
	if n := history.ByJob()["j-1"]; n != 2 || len(history.ByJob()) != 2 {
		t.Errorf("got failures %v, want 2 of j-1 and those of one other job", history.ByJob())
	}
	history.RecordCompletion()
	if len(history.ByJob()) != 0 {
		t.Errorf("after a completion: got failures %v, want none", history.ByJob())
	}
}
