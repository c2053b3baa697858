package coordination

import (
	"pipitgap/internal/config"
	"pipitgap/internal/micros"
)

// Durations that the protocol fixes, and bounds of what is derived from the platform's.
const (
	// workerWaits is how long a worker waits for an answer before it turns to the next
	// controller.
	workerWaits = 4 * micros.Second
	// workerPause is how long after that, or after being told to look elsewhere, it does so.
	workerPause = micros.Second
	// A membership ends no sooner than shortestMembership: a controller that is only slow
	// must not lose it. It need not last longer than longestMembership.
	shortestMembership = 4 * micros.Second
	longestMembership  = 8 * micros.Second
	// takeoverTime is what a successor takes from a membership's end to the first answers
	// under its own claim.
	takeoverTime = 3 * micros.Second
	// expiryMargin is what remains between the end of a lease and the moment at which a
	// cancelled task must be gone: the drift of two clocks over a minute, and the
	// intervals at which a worker looks at its lease.
	expiryMargin = micros.Second
	// leastRenewal is for how long leases are renewed on evidence of any age. Without it
	// a platform whose leases are longer than its cancellations may take would have
	// every check-in refused between two answers of the watch.
	leastRenewal = 3 * micros.Second
	// clockDrift is how much a steady clock may run fast or slow: one part in so many.
	clockDrift = 500
)

// timing is what follows from the platform's report interval, lease and cancellation time.
type timing struct {
	report, lease, cancel micros.T
	membership            micros.T // how long a controller stays a member without renewing
	patience              micros.T // silence of a machine that says that something is wrong: three reports
	alive                 micros.T // silence up to which a machine gets new tasks: two reports
	proof                 micros.T // after so long without an answer a worker's lease has surely ended
	renewal               micros.T // age of the knowledge of cancellations up to which leases are renewed
	adoption              micros.T // a worker that has come to us for so long has lost its owner
}

func newTiming(w config.Workers) timing {
	t := timing{report: micros.FromSeconds(w.ReportS), lease: micros.FromSeconds(w.LeaseS), cancel: micros.FromSeconds(w.CancelS)}
	t.membership = min(max(t.lease/2, shortestMembership), longestMembership)
	t.patience = 3*t.report + micros.Second/2
	t.alive = 2*t.report + micros.Second
	t.proof = t.lease + t.lease/clockDrift + micros.Second
	t.renewal = max(leastRenewal, t.cancel-t.lease-expiryMargin)
	t.adoption = t.lease / 3
	return t
}

// timingWarning says what a platform's durations lead to that the design doesn't cover.
type timingWarning struct {
	field       string
	consequence string
}

// warnings lists what the platform's durations leave uncovered.
func (t timing) warnings() []timingWarning {
	var out []timingWarning
	if t.membership+takeoverTime > t.lease {
		out = append(out, timingWarning{"facts.workers.lease_s",
			"worker leases expire before the failover of a crashed controller ends: tasks are lost"})
	}
	if t.lease < t.report+workerWaits+workerPause {
		out = append(out, timingWarning{"facts.workers.lease_s",
			"a worker whose controller doesn't answer reaches no other before lease expiry: its tasks are lost"})
	}
	if t.cancel < t.lease+expiryMargin+leastRenewal {
		out = append(out, timingWarning{"facts.workers.cancel_s",
			"leases outlast cancellations: while the state service is unavailable only kills and " +
				"machine deletions end cancelled tasks in time"})
	}
	return out
}
