package membership

import (
	"testing"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// TestLeaseTTLCountsFromSendTime: the lease counts from when its grant or renewal was sent, and a hundredth less
// than its time to live; a renewal that fails doesn't extend it.
func TestLeaseTTLCountsFromSendTime(t *testing.T) {
	validity := testTTL - testTTL/leaseClockDivisor
	cases := []struct {
		name    string
		renewal protocol.Outcome // of a renewal that is sent after 2 s and answered after 3 s
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
				t.Error("held before it was granted")
			}
			h.membership.RequestLease()
			h.now += monotime.Second // the answer comes later
			h.answerCall(protocol.StoreResult{Outcome: protocol.OK, Lease: 5})
			h.now = testStart + 2*monotime.Second
			h.membership.RenewLease(h.now)
			h.now += monotime.Second
			h.answerCall(protocol.StoreResult{Outcome: tc.renewal})
			if got := h.membership.HoldsLease(testStart + tc.after); got != tc.want {
				t.Errorf("held %t", got)
			}
		})
	}
}

// TestLeaseRenewal: the lease is renewed four times in its time to live, one call at a time; after a failure it is
// tried again soon, and an expired one is replaced.
func TestLeaseRenewal(t *testing.T) {
	h := newHarness(t)
	h.membership.RenewLease(h.now)
	if len(h.calls) > 0 {
		t.Fatal("renewed before it was granted")
	}
	h.grantLease(5)
	due := testStart + testTTL/4
	h.membership.RenewLease(due - 1)
	if len(h.calls) > 0 {
		t.Fatal("renewed before it is due")
	}
	h.now = due
	h.membership.RenewLease(due)
	h.membership.RenewLease(due + 1)
	if len(h.calls) != 1 || h.calls[0].call.Op != protocol.StoreKeepAlive || h.calls[0].call.Lease != 5 {
		t.Fatalf("calls when due: %+v", h.calls)
	}
	h.answerCall(protocol.StoreResult{Outcome: protocol.Unavailable})
	h.membership.RenewLease(due + leaseRetryDelay - 1)
	if len(h.calls) > 0 {
		t.Fatal("renewed again at once after a failure")
	}
	h.membership.RenewLease(due + leaseRetryDelay)
	h.answerCall(protocol.StoreResult{Outcome: protocol.NotFound})
	if h.membership.HoldsLease(h.now) {
		t.Error("an expired lease is held")
	}
	if len(h.calls) != 1 || h.calls[0].call.Op != protocol.StoreGrantLease || h.calls[0].call.TTL != testTTL {
		t.Errorf("calls after it has expired: %+v", h.calls)
	}
}

// TestLeaseGrantIsRetried: a grant that fails is tried again after a delay with a random part; meanwhile no other
// is asked for.
func TestLeaseGrantIsRetried(t *testing.T) {
	h := newHarness(t)
	h.membership.RequestLease()
	h.membership.RequestLease()
	if len(h.calls) != 1 {
		t.Fatalf("%d calls", len(h.calls))
	}
	h.answerCall(protocol.StoreResult{Outcome: protocol.Unknown})
	h.membership.RequestLease()
	if len(h.calls) != 0 || len(h.timers) != 1 ||
		h.delays[0] < leaseRetryDelay || h.delays[0] >= leaseRetryDelay+leaseGrantRetryJitter {
		t.Fatalf("%d calls, delays %v", len(h.calls), h.delays)
	}
	h.timers[0]()
	if len(h.calls) != 1 {
		t.Error("not asked for again")
	}
	h.answerCall(protocol.StoreResult{Outcome: protocol.OK, Lease: 6})
	if !h.membership.HoldsLease(h.now) || h.mirrorCatchUps != 1 {
		t.Errorf("held %t, caught up %d times", h.membership.HoldsLease(h.now), h.mirrorCatchUps)
	}
}
