// Package durations has the durations that several subjects share: intervals and timeouts of the coordination
// itself, and what follows from the platform's heartbeat interval, worker lease and cancellation deadline.
package durations

import (
	"pipitgap/internal/config"
	"pipitgap/internal/monotime"
)

// Intervals and timeouts of the coordination itself; none depends on the platform's durations.
const (
	// FastTickInterval is the period of lease renewal, of the watch and of scheduling passes.
	FastTickInterval = 50 * monotime.Millisecond
	// SlowTickInterval is the period of everything else, such as the status sent to the other controllers.
	SlowTickInterval = 500 * monotime.Millisecond
	// WorkerProbeTimeout bounds a probe of a worker: a command request without commands.
	WorkerProbeTimeout = 1 * monotime.Second
)

// Durations that the workers' protocol fixes.
const (
	// WorkerAnswerTimeout is how long a worker waits for an answer before it turns to the next
	// controller.
	WorkerAnswerTimeout = 4 * monotime.Second
	// WorkerRetryPause is how long after that, or after a redirect, it does so.
	WorkerRetryPause = monotime.Second
)

// Bounds of what is derived from the platform's durations.
const (
	// A membership ends no sooner than minMembershipTTL: a controller that is only slow
	// must not lose it. It need not last longer than maxMembershipTTL.
	minMembershipTTL = 4 * monotime.Second
	maxMembershipTTL = 8 * monotime.Second
	// TakeoverDuration is what a successor takes from a membership's end to the first answers
	// under its own claim.
	TakeoverDuration = 3 * monotime.Second
	// leaseExpiryMargin is what remains between the end of a lease and the moment at which a
	// cancelled task must be gone: the drift of two clocks over a minute, and the
	// intervals at which a worker looks at its lease.
	leaseExpiryMargin = monotime.Second
	// minRenewalWindow is for how long leases are renewed on evidence of any age. Without it
	// a platform whose leases are longer than its cancellations may take would have
	// every heartbeat refused between two answers of the watch.
	minRenewalWindow = 3 * monotime.Second
	// clockDriftDivisor is how much a monotonic clock may run fast or slow: one part in so many.
	clockDriftDivisor = 500
)

// Platform is what follows from the platform's heartbeat interval, worker lease and cancellation deadline.
type Platform struct {
	// HeartbeatInterval lies between two heartbeats of a worker.
	HeartbeatInterval monotime.Micros
	// WorkerLease is how long a worker goes on without an answered heartbeat.
	WorkerLease monotime.Micros
	// CancellationDeadline is when the tasks of a cancelled job must be gone, counted from its cancellation.
	CancellationDeadline monotime.Micros
	// MembershipTTL is how long a controller stays a member without renewing its lease.
	MembershipTTL monotime.Micros
	// SuspicionTimeout is the silence after which a machine is suspected: three heartbeats.
	SuspicionTimeout monotime.Micros
	// PlacementSilenceLimit is the silence up to which a machine gets new tasks: two heartbeats.
	PlacementSilenceLimit monotime.Micros
	// LeaseExpiryProof is the time without an answer after which a worker's lease has surely expired.
	LeaseExpiryProof monotime.Micros
	// RenewalWindow is the age of the knowledge of cancellations up to which leases are renewed.
	RenewalWindow monotime.Micros
	// AdoptionDelay is how long a worker of another controller must have sent its heartbeats here before it
	// counts as orphaned.
	AdoptionDelay monotime.Micros
}

// Derive computes what follows from the platform's settings.
func Derive(workers config.Workers) Platform {
	p := Platform{
		HeartbeatInterval:    monotime.FromSeconds(workers.HeartbeatIntervalS),
		WorkerLease:          monotime.FromSeconds(workers.LeaseS),
		CancellationDeadline: monotime.FromSeconds(workers.CancelWithinS),
	}
	p.MembershipTTL = min(max(p.WorkerLease/2, minMembershipTTL), maxMembershipTTL)
	p.SuspicionTimeout = 3*p.HeartbeatInterval + monotime.Second/2
	p.PlacementSilenceLimit = 2*p.HeartbeatInterval + monotime.Second
	p.LeaseExpiryProof = p.WorkerLease + p.WorkerLease/clockDriftDivisor + monotime.Second
	p.RenewalWindow = max(minRenewalWindow, p.CancellationDeadline-p.WorkerLease-leaseExpiryMargin)
	p.AdoptionDelay = p.WorkerLease / 3
	return p
}

// Warning says what a platform's durations lead to that the design doesn't cover.
type Warning struct {
	Field       string // name of the platform's setting
	Consequence string
}

// Warnings lists what the platform's durations leave uncovered.
func (p Platform) Warnings() []Warning {
	var out []Warning
	if p.MembershipTTL+TakeoverDuration > p.WorkerLease {
		out = append(out, Warning{"facts.workers.lease_s",
			"worker leases expire before the failover of a crashed controller ends: tasks are lost"})
	}
	if p.WorkerLease < p.HeartbeatInterval+WorkerAnswerTimeout+WorkerRetryPause {
		out = append(out, Warning{"facts.workers.lease_s",
			"a worker whose controller doesn't answer reaches no other before lease expiry: " +
				"its tasks are lost"})
	}
	if p.CancellationDeadline < p.WorkerLease+leaseExpiryMargin+minRenewalWindow {
		out = append(out, Warning{"facts.workers.cancel_s",
			"leases outlast cancellations: while the state service is unavailable only kills and " +
				"machine deletions end cancelled tasks in time"})
	}
	return out
}

// NextDue is when work that ran from one time to another is due again: after its interval, or later so that
// it takes at most a tenth of the time. With thousands of jobs a pass takes milliseconds, and leases and
// users must keep their part of the processor.
func NextDue(startedAt, endedAt, interval monotime.Micros) monotime.Micros {
	return startedAt + max(interval, 10*(endedAt-startedAt))
}
