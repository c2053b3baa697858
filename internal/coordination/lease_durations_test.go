package coordination

import (
	"testing"

	"pipitgap/internal/config"
	"pipitgap/internal/monotime"
)

// leaseDurations holds a platform's heartbeat interval, worker lease and cancellation deadline.
type leaseDurations struct{ heartbeatInterval, leaseTime, cancelTime monotime.Micros }

var defaultLeases = leaseDurations{2 * second, 12 * second, 32 * second}

// apply sets the durations for the workers, the checker and the controllers of a scenario.
func (l leaseDurations) apply(s *scenario) {
	s.fleet.HeartbeatInterval, s.fleet.LeaseTime = l.heartbeatInterval, l.leaseTime
	s.checker.CancelWithin = l.cancelTime
	s.adjustFacts = func(cfg *config.Config) {
		w := &cfg.Facts.Workers
		w.HeartbeatIntervalS = l.heartbeatInterval.Seconds()
		w.LeaseS = l.leaseTime.Seconds()
		w.CancelTimeoutS = l.cancelTime.Seconds()
	}
}

// TestLeasesLongerThanCancellationsAreRenewed: controllers answer heartbeats even if the worker lease is
// longer than the cancellation deadline, so that no lease expires without a fault.
func TestLeasesLongerThanCancellationsAreRenewed(t *testing.T) {
	s := newScenario(t, 3200)
	leaseDurations{2 * second, 30 * second, 20 * second}.apply(s)
	s.runFaults(nil, 80*second)
	if len(s.fleet.Starts) < 10 {
		t.Errorf("got %d started tasks, want at least 10", len(s.fleet.Starts))
	}
	for id, worker := range s.fleet.Workers {
		if worker.Incarnation > 1 {
			t.Errorf("machine %s: got incarnation %d, want 1: its lease expired", id, worker.Incarnation)
		}
	}
}
