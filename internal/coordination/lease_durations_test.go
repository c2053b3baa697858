package coordination

import (
	"testing"

	"pipitgap/internal/config"
	"pipitgap/internal/monotime"
)

// leaseDurations are how long leases and cancellations last on a platform.
type leaseDurations struct{ heartbeatInterval, leaseTime, cancelTime monotime.Micros }

var defaultLeases = leaseDurations{2 * second, 12 * second, 32 * second}

func (l leaseDurations) apply(s *scenario) {
	s.fleet.HeartbeatInterval, s.fleet.LeaseTime = l.heartbeatInterval, l.leaseTime
	s.checker.CancelWithin = l.cancelTime
	s.adjustFacts = func(cfg *config.Config) {
		w := &cfg.Facts.Workers
		w.HeartbeatIntervalS = l.heartbeatInterval.Seconds()
		w.LeaseS = l.leaseTime.Seconds()
		w.CancelWithinS = l.cancelTime.Seconds()
	}
}

// TestLeasesLongerThanCancellationsAreRenewed: on a platform whose leases outlast the time that a
// cancellation may take, heartbeats are answered all the same: no lease expires without a fault.
func TestLeasesLongerThanCancellationsAreRenewed(t *testing.T) {
	s := newScenario(t, 3200)
	leaseDurations{2 * second, 30 * second, 20 * second}.apply(s)
	s.runFaults(nil, 80*second)
	if len(s.fleet.Starts) < 10 {
		t.Errorf("only %d tasks were started", len(s.fleet.Starts))
	}
	for id, worker := range s.fleet.Workers {
		if worker.Incarnation > 1 {
			t.Errorf("the lease of %s has expired", id)
		}
	}
}
