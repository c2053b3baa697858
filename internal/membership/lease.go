package membership

import (
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
)

const (
	// leaseCallTimeout bounds the grant and the renewal of the lease, which leave no time for long waits.
	leaseCallTimeout = 1 * monotime.Second
	// leaseRenewalsPerTTL is how often the lease is renewed within its time to live.
	leaseRenewalsPerTTL = 4
	// leaseRetryDelay is how long after a failure the lease is requested or renewed again. A grant adds a
	// random part, as all controllers request one after an outage.
	leaseRetryDelay       = 300 * monotime.Millisecond
	leaseGrantRetryJitter = 400 * monotime.Millisecond
	// leaseClockDivisor is the part of the lease that is given up to the difference of two clocks' rates.
	leaseClockDivisor = 100
)

// lease is this controller's lease at the state service, as far as it is known here.
type lease struct {
	ttl             monotime.Micros
	id              uint64          // 0: none
	renewalSentAt   monotime.Micros // send time of the last renewal, or grant, that succeeded
	grantedAt       monotime.Micros // when the grant's answer came
	nextRenewalAt   monotime.Micros
	grantInFlight   bool // or its retry is
	renewalInFlight bool
}

// recordRenewal notes that a grant or a renewal that was sent at an instant has succeeded.
func (l *lease) recordRenewal(sentAt monotime.Micros) {
	l.renewalSentAt, l.nextRenewalAt = sentAt, sentAt+l.ttl/leaseRenewalsPerTTL
}

// RequestLease has the state service grant a lease, and retries until it has.
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
		m.replica.WhenCurrent(func(bool) {}) // has the mirror catch up at once, which IsLeader waits for
		m.EnsureMemberRecord()
	})
}

// retryGrant requests the lease again after a pause with jitter: all controllers do so after an outage.
func (m *Membership) retryGrant() {
	jitter := monotime.RandomBelow(m.env.Rand(), leaseGrantRetryJitter)
	m.env.After(leaseRetryDelay+jitter, func() {
		m.lease.grantInFlight = false
		m.RequestLease()
	})
}

// RenewLease renews the lease when that is due; one that has expired is replaced by a new one.
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

// HoldsLease reports whether the lease can't have expired yet, by the monotonic clock. It is counted from
// when its last renewal was sent.
func (m *Membership) HoldsLease(now monotime.Micros) bool {
	return m.lease.id != 0 && now-m.lease.renewalSentAt < m.lease.ttl-m.lease.ttl/leaseClockDivisor
}

// LeaseRenewedAt returns when the last successful grant or renewal of the lease was sent, whether or not the
// lease has expired since; 0 is returned if there was none.
func (m *Membership) LeaseRenewedAt() monotime.Micros { return m.lease.renewalSentAt }
