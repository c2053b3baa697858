// Package durations defines the durations that several components share: the controllers' own intervals and
// timeouts, and values derived from the platform's heartbeat interval, worker lease and cancellation
// deadline.
package durations

import (
	"pipitgap/internal/config"
	"pipitgap/internal/monotime"
)

// Intervals and timeouts of the controllers. None depends on the platform's durations.
const (
	// FastTickInterval is the period at which a controller checks its lease, its watch and whether a
	// scheduling pass is due.
	FastTickInterval = 50 * monotime.Millisecond
	// SlowTickInterval is the period of all other periodic work, such as sending the status to the other
	// controllers.
	SlowTickInterval = 500 * monotime.Millisecond
	// WorkerProbeTimeout is the timeout of a worker probe, which is a command request without commands.
	WorkerProbeTimeout = 1 * monotime.Second
)

// Durations that the worker protocol fixes.
const (
	// WorkerResponseTimeout is how long a worker waits for the response to a heartbeat before it gives up on
	// the controller and selects the next one.
	WorkerResponseTimeout = 4 * monotime.Second
	// WorkerRetryPause is how long a worker waits after that timeout, or after a redirect, before it sends
	// the heartbeat to the next controller.
	WorkerRetryPause = monotime.Second
)

// Bounds for the values that Derive computes from the platform's durations.
const (
	// minMembershipTTL and maxMembershipTTL bound MembershipTTL. With a shorter TTL, a controller that is
	// merely slow would lose its membership. A longer TTL is not needed.
	minMembershipTTL = 4 * monotime.Second
	maxMembershipTTL = 8 * monotime.Second
	// TakeoverDuration is the time that a successor needs from the end of a controller's membership until it
	// sends the first heartbeat responses under its own claim.
	TakeoverDuration = 3 * monotime.Second
	// leaseExpiryMargin is the time reserved between the end of a lease and the deadline for a cancelled
	// task to be gone. It covers the drift of two clocks over a minute and the intervals at which a worker
	// checks its lease.
	leaseExpiryMargin = monotime.Second
	// minRenewalWindow is the lower bound of RenewalWindow. Without it, on a platform whose leases are longer
	// than its cancellation deadline, controllers would reject every heartbeat between two watch responses.
	minRenewalWindow = 3 * monotime.Second
	// clockDriftDivisor is the inverse of the maximum drift rate of a monotonic clock: 1 in 500, fast or
	// slow.
	clockDriftDivisor = 500
)

// Platform holds the platform's heartbeat interval, worker lease and cancellation deadline, and the durations
// derived from them.
type Platform struct {
	// HeartbeatInterval is the time between two heartbeats of a worker.
	HeartbeatInterval monotime.Micros
	// WorkerLease is how long a worker keeps its tasks running without a response to a heartbeat.
	WorkerLease monotime.Micros
	// CancellationDeadline is the time after a job's cancellation by which its tasks must be gone.
	CancellationDeadline monotime.Micros
	// MembershipTTL is how long a controller remains a member without renewing its lease.
	MembershipTTL monotime.Micros
	// SuspicionTimeout is the silence after which a machine is suspected to have failed: three heartbeat
	// intervals plus half a second.
	SuspicionTimeout monotime.Micros
	// PlacementSilenceLimit is the longest silence at which a machine is still assigned new tasks: two
	// heartbeat intervals plus one second.
	PlacementSilenceLimit monotime.Micros
	// LeaseExpiryBound is the time without a response to a worker's heartbeat after which its lease has
	// certainly expired, allowing for clock drift.
	LeaseExpiryBound monotime.Micros
	// RenewalWindow bounds how outdated a controller's knowledge of committed cancellations may be while it
	// renews worker leases. Once the knowledge is older, the controller rejects heartbeats.
	RenewalWindow monotime.Micros
	// AdoptionDelay is how long a worker of another controller must have sent its heartbeats to this
	// controller before this controller treats the worker as orphaned.
	AdoptionDelay monotime.Micros
}

// Derive computes the durations that depend on the platform's settings.
func Derive(workers config.Workers) Platform {
	p := Platform{
		HeartbeatInterval:    monotime.FromSeconds(workers.HeartbeatIntervalS),
		WorkerLease:          monotime.FromSeconds(workers.LeaseS),
		CancellationDeadline: monotime.FromSeconds(workers.CancelTimeoutS),
	}
	p.MembershipTTL = min(max(p.WorkerLease/2, minMembershipTTL), maxMembershipTTL)
	p.SuspicionTimeout = 3*p.HeartbeatInterval + monotime.Second/2
	p.PlacementSilenceLimit = 2*p.HeartbeatInterval + monotime.Second
	p.LeaseExpiryBound = p.WorkerLease + p.WorkerLease/clockDriftDivisor + monotime.Second
	p.RenewalWindow = max(minRenewalWindow, p.CancellationDeadline-p.WorkerLease-leaseExpiryMargin)
	p.AdoptionDelay = p.WorkerLease / 3
	return p
}

// Warning names a platform setting that the design does not support and the consequence.
type Warning struct {
	Field       string // name of the platform setting
	Consequence string
}

// Warnings returns a warning for each requirement of the design that the platform's durations do not meet.
func (p Platform) Warnings() []Warning {
	var out []Warning
	if p.MembershipTTL+TakeoverDuration > p.WorkerLease {
		out = append(out, Warning{"facts.workers.lease_s",
			"worker leases expire before the failover of a crashed controller ends: tasks are lost"})
	}
	if p.WorkerLease < p.HeartbeatInterval+WorkerResponseTimeout+WorkerRetryPause {
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

// NextDue returns when periodic work that ran from startedAt to endedAt is due again. The next run starts one
// interval after startedAt, or later if the work would otherwise take more than a tenth of the time. With
// thousands of jobs a pass takes milliseconds, and lease renewal and user requests must get their share of
// the processor time.
func NextDue(startedAt, endedAt, interval monotime.Micros) monotime.Micros {
	return startedAt + max(interval, 10*(endedAt-startedAt))
}
