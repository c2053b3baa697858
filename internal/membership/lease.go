package membership

import (
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
)

const (
	// leaseCallTimeout is the timeout of a lease grant or renewal call. The lease leaves no time for longer waits.
	leaseCallTimeout = 1 * monotime.Second
	// leaseRenewalsPerTTL is the number of lease renewals per time to live.
	leaseRenewalsPerTTL = 4
	// leaseRetryDelay is the delay before a failed lease grant or renewal is retried.
	leaseRetryDelay = 300 * monotime.Millisecond
	// leaseGrantRetryJitter bounds the random addition to leaseRetryDelay for grants. Without jitter all
	// controllers would request their leases at the same time after an outage.
	leaseGrantRetryJitter = 400 * monotime.Millisecond
	// leaseClockDivisor defines the safety margin for clock drift: this controller treats its lease as expired
	// 1/leaseClockDivisor of the time to live early, because its clock may run at a different rate than that of
	// the state service.
	leaseClockDivisor = 100
)

// lease is this controller's local view of its lease at the state service.
type lease struct {
	ttl             monotime.Micros
	id              uint64          // 0 if this controller holds no lease
	renewalSentAt   monotime.Micros // send time of the last successful renewal or grant
	grantedAt       monotime.Micros // receive time of the grant
	nextRenewalAt   monotime.Micros
	grantInFlight   bool // also set while a retry is scheduled
	renewalInFlight bool
}

// recordRenewal records the success of a grant or a renewal that was sent at sentAt.
func (l *lease) recordRenewal(sentAt monotime.Micros) {
	l.renewalSentAt, l.nextRenewalAt = sentAt, sentAt+l.ttl/leaseRenewalsPerTTL
}

// RequestLease requests a lease from the state service and retries until it is granted. It does nothing while a
// request is in flight.
func (m *Membership) RequestLease() {
	if m.lease.grantInFlight {
		return
	}
	m.lease.grantInFlight = true
	sentAt := m.env.Now()
	call := &protocol.StoreCall{Op: protocol.StoreGrantLease, TTL: m.lease.ttl, Timeout: leaseCallTimeout}
	m.store.Call(ratelimit.PriorityLease, call, func(result protocol.StoreResult) {
		if result.Outcome != protocol.OK {
			m.retryGrant()
			return
		}
		m.lease.grantInFlight = false
		m.lease.id = result.Lease
		m.lease.recordRenewal(sentAt)
		m.lease.grantedAt = m.env.Now()
		m.replica.WhenCurrent(func(bool) {}) // updates the mirror at once, because IsLeader needs a recent one
		m.EnsureMemberRecord()
	})
}

// retryGrant requests the lease again after a delay with jitter. The jitter spreads the requests of all
// controllers after an outage.
func (m *Membership) retryGrant() {
	jitter := monotime.RandomBelow(m.env.Rand(), leaseGrantRetryJitter)
	m.env.After(leaseRetryDelay+jitter, func() {
		m.lease.grantInFlight = false
		m.RequestLease()
	})
}

// RenewLease renews the lease when its next renewal is due. It requests a new lease if the state service
// reports that the lease has expired.
func (m *Membership) RenewLease(now monotime.Micros) {
	if m.lease.id == 0 || m.lease.renewalInFlight || now < m.lease.nextRenewalAt {
		return
	}
	m.lease.renewalInFlight = true
	call := &protocol.StoreCall{Op: protocol.StoreKeepAlive, Lease: m.lease.id, Timeout: leaseCallTimeout}
	m.store.Call(ratelimit.PriorityLease, call, func(result protocol.StoreResult) {
		m.lease.renewalInFlight = false
		switch result.Outcome {
		case protocol.OK:
			m.lease.recordRenewal(now)
		case protocol.NotFound:
			m.log.Info("controller lease expired")
			m.lease.id = 0
			m.RequestLease()
		default:
			m.lease.nextRenewalAt = m.env.Now() + leaseRetryDelay
		}
	})
}

// HoldsLease reports whether the lease is certainly still valid. The time to live counts from the send time
// of the last successful renewal, on the monotonic clock, minus a margin for clock drift.
func (m *Membership) HoldsLease(now monotime.Micros) bool {
	return m.lease.id != 0 && now-m.lease.renewalSentAt < m.lease.ttl-m.lease.ttl/leaseClockDivisor
}

// LeaseRenewedAt returns the send time of the last successful grant or renewal, even if the lease has expired
// since. It returns 0 if no lease was ever granted.
func (m *Membership) LeaseRenewedAt() monotime.Micros { return m.lease.renewalSentAt }
