package membership

import (
	"testing"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// TestLeaseTTLCountsFromSendTime: a lease is valid from the send time of its grant or last successful
// renewal, for 99% of its time to live. A failed renewal doesn't extend it.
func TestLeaseTTLCountsFromSendTime(t *testing.T) {
	validity := testTTL - testTTL/leaseClockDivisor
	cases := []struct {
		name    string
		renewal protocol.Outcome // of a renewal sent after 2 s and answered after 3 s
		after   monotime.Micros
		want    bool
	}{
		{"granted", protocol.Unknown, 0, true},
		{"nearly expired", protocol.Unknown, validity - 1, true},
		{"expired", protocol.Unknown, validity, false},
		{"renewed", protocol.OK, validity, true},
		{"renewed and nearly expired", protocol.OK, validity + 2*monotime.Second - 1, true},
		{"renewed and expired", protocol.OK, validity + 2*monotime.Second, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			if h.membership.HoldsLease(h.now) {
				t.Error("lease held before the grant: got true, want false")
			}
			h.membership.RequestLease()
			h.now += monotime.Second // the grant arrives 1 s after the request
			h.answerCall(protocol.StoreResult{Outcome: protocol.OK, Lease: 5})
			h.now = testStart + 2*monotime.Second
			h.membership.RenewLease(h.now)
			h.now += monotime.Second
			h.answerCall(protocol.StoreResult{Outcome: tc.renewal})
			if got := h.membership.HoldsLease(testStart + tc.after); got != tc.want {
				t.Errorf("lease held: got %t, want %t", got, tc.want)
			}
		})
	}
}

// TestLeaseRenewal: the lease is renewed four times per time to live, with one call in flight at a time. A
// failed renewal is retried after leaseRetryDelay. An expired lease is replaced by a new one.
func TestLeaseRenewal(t *testing.T) {
	h := newHarness(t)
	h.membership.RenewLease(h.now)
	if len(h.calls) > 0 {
		t.Fatalf("calls before the grant: got %+v, want none", h.calls)
	}
	h.grantLease(5)
	due := testStart + testTTL/4
	h.membership.RenewLease(due - 1)
	if len(h.calls) > 0 {
		t.Fatalf("calls before the renewal is due: got %+v, want none", h.calls)
	}
	h.now = due
	h.membership.RenewLease(due)
	h.membership.RenewLease(due + 1)
	if len(h.calls) != 1 || h.calls[0].call.Op != protocol.StoreKeepAlive || h.calls[0].call.Lease != 5 {
		t.Fatalf("calls when the renewal is due: got %+v, want one renewal of lease 5", h.calls)
	}
	h.answerCall(protocol.StoreResult{Outcome: protocol.Unavailable})
	h.membership.RenewLease(due + leaseRetryDelay - 1)
	if len(h.calls) > 0 {
		t.Fatalf("calls before the retry delay: got %+v, want none", h.calls)
	}
	h.membership.RenewLease(due + leaseRetryDelay)
	h.answerCall(protocol.StoreResult{Outcome: protocol.NotFound})
	if h.membership.HoldsLease(h.now) {
		t.Error("lease held after its expiry: got true, want false")
	}
	if len(h.calls) != 1 || h.calls[0].call.Op != protocol.StoreGrantLease || h.calls[0].call.TTL != testTTL {
		t.Errorf("calls after the lease expired: got %+v, want one grant with TTL %d", h.calls, testTTL)
	}
}

// TestLeaseGrantIsRetried: a failed grant is retried after a delay with jitter. Until then RequestLease sends
// no other call.
func TestLeaseGrantIsRetried(t *testing.T) {
	h := newHarness(t)
	h.membership.RequestLease()
	h.membership.RequestLease()
	if len(h.calls) != 1 {
		t.Fatalf("calls after two requests: got %d, want 1", len(h.calls))
	}
	h.answerCall(protocol.StoreResult{Outcome: protocol.Unknown})
	h.membership.RequestLease()
	if len(h.calls) != 0 || len(h.timers) != 1 ||
		h.delays[0] < leaseRetryDelay || h.delays[0] >= leaseRetryDelay+leaseGrantRetryJitter {
		t.Fatalf("after a failed grant: got %d calls and retry delays %v, want 0 calls and one delay in [%d, %d)",
			len(h.calls), h.delays, leaseRetryDelay, leaseRetryDelay+leaseGrantRetryJitter)
	}
	h.timers[0]()
	if len(h.calls) != 1 {
		t.Errorf("calls after the retry delay: got %d, want 1", len(h.calls))
	}
	h.answerCall(protocol.StoreResult{Outcome: protocol.OK, Lease: 6})
	if !h.membership.HoldsLease(h.now) || h.mirrorCatchUps != 1 {
		t.Errorf("after the grant: got lease held %t and %d mirror updates, want true and 1",
			h.membership.HoldsLease(h.now), h.mirrorCatchUps)
	}
}
