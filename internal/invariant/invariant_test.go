package invariant

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
)

// TestViolationIsLoggedAndCounted guards against a violation that leaves no error line or no count.
func TestViolationIsLoggedAndCounted(t *testing.T) {
	var log bytes.Buffer
	recorder := NewRecorder(slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelError})))
	recorder.Violated(CancelledNotRun, "job", "j-1")
	for _, want := range []string{`msg="invariant violated"`, `rule="cancelled task is not run"`, "job=j-1"} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("got log %s, want it to contain %s", log.String(), want)
		}
	}
	if recorder.Violations() != 1 {
		t.Errorf("got %d violations, want 1", recorder.Violations())
	}
}
