package coordination

import (
	"pipitgap/internal/config"
	"pipitgap/internal/monotime"
)

// Durations that the protocol fixes, and bounds of what is derived from the platform's.
const (
	// workerAnswerTimeout is how long a worker waits for an answer before it turns to the next
	// controller.
	workerAnswerTimeout = 4 * monotime.Second
	// workerRetryPause is how long after that, or after being told to look elsewhere, it does so.
	workerRetryPause = monotime.Second
	// A membership ends no sooner than minMembershipTTL: a controller that is only slow
	// must not lose it. It need not last longer than maxMembershipTTL.
	minMembershipTTL = 4 * monotime.Second
	maxMembershipTTL = 8 * monotime.Second
	// takeoverDuration is what a successor takes from a membership's end to the first answers
	// under its own claim.
	takeoverDuration = 3 * monotime.Second
	// leaseExpiryMargin is what remains between the end of a lease and the moment at which a
	// cancelled task must be gone: the drift of two clocks over a minute, and the
	// intervals at which a worker looks at its lease.
	leaseExpiryMargin = monotime.Second
	// minRenewalWindow is for how long leases are renewed on evidence of any age. Without it
	// a platform whose leases are longer than its cancellations may take would have
	// every check-in refused between two answers of the watch.
	minRenewalWindow = 3 * monotime.Second
	// clockDriftDivisor is how much a steady clock may run fast or slow: one part in so many.
	clockDriftDivisor = 500
)

// platformDurations is what follows from the platform's report interval, lease and cancellation time.
type platformDurations struct {
	heartbeatInterval, workerLease, cancellationDeadline monotime.Micros
	// how long a controller stays a member without renewing
	membershipTTL monotime.Micros
	// silence of a machine that says that something is wrong: three reports
	suspicionTimeout monotime.Micros
	// silence up to which a machine gets new tasks: two reports
	placementSilenceLimit monotime.Micros
	// after so long without an answer a worker's lease has surely ended
	leaseExpiryProof monotime.Micros
	// age of the knowledge of cancellations up to which leases are renewed
	renewalWindow monotime.Micros
	// a worker that has come to us for so long has lost its owner
	adoptionDelay monotime.Micros
}

func newPlatformDurations(w config.Workers) platformDurations {
	d := platformDurations{
		heartbeatInterval:    monotime.FromSeconds(w.HeartbeatIntervalS),
		workerLease:          monotime.FromSeconds(w.LeaseS),
		cancellationDeadline: monotime.FromSeconds(w.CancelWithinS),
	}
	d.membershipTTL = min(max(d.workerLease/2, minMembershipTTL), maxMembershipTTL)
	d.suspicionTimeout = 3*d.heartbeatInterval + monotime.Second/2
	d.placementSilenceLimit = 2*d.heartbeatInterval + monotime.Second
	d.leaseExpiryProof = d.workerLease + d.workerLease/clockDriftDivisor + monotime.Second
	d.renewalWindow = max(minRenewalWindow, d.cancellationDeadline-d.workerLease-leaseExpiryMargin)
	d.adoptionDelay = d.workerLease / 3
	return d
}

// durationWarning says what a platform's durations lead to that the design doesn't cover.
type durationWarning struct {
	field       string
	consequence string
}

// warnings lists what the platform's durations leave uncovered.
func (t platformDurations) warnings() []durationWarning {
	var out []durationWarning
	if t.membershipTTL+takeoverDuration > t.workerLease {
		out = append(out, durationWarning{"facts.workers.lease_s",
			"worker leases expire before the failover of a crashed controller ends: tasks are lost"})
	}
	if t.workerLease < t.heartbeatInterval+workerAnswerTimeout+workerRetryPause {
		out = append(out, durationWarning{"facts.workers.lease_s",
			"a worker whose controller doesn't answer reaches no other before lease expiry: its tasks are lost"})
	}
	if t.cancellationDeadline < t.workerLease+leaseExpiryMargin+minRenewalWindow {
		out = append(out, durationWarning{"facts.workers.cancel_s",
			"leases outlast cancellations: while the state service is unavailable only kills and " +
				"machine deletions end cancelled tasks in time"})
	}
	return out
}
