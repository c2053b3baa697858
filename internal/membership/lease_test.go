package membership

import (
	"testing"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// TestLeaseIsHeldFromItsSending: the lease counts from when its grant or renewal was sent, and a hundredth less
// than its time to live; a renewal that fails doesn't extend it.
func TestLeaseIsHeldFromItsSending(t *testing.T) {
	held := testTTL - testTTL/leaseClockDivisor
	cases := []struct {
		name    string
		renewal protocol.Outcome // of a renewal that is sent after 2 s and answered after 3 s
		after   monotime.Micros
		want    bool
	}{
		{"granted", protocol.Unknown, 0, true},
		{"nearly expired", protocol.Unknown, held - 1, true},
		{"expired", protocol.Unknown, held, false},
		{"renewed", protocol.OK, held, true},
		{"renewed and nearly expired", protocol.OK, held + 2*monotime.Second - 1, true},
		{"renewed and expired", protocol.OK, held + 2*monotime.Second, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(t)
			if w.membership.HoldsLease(w.now) {
				t.Error("held before it was granted")
			}
			w.membership.RequestLease()
			w.now += monotime.Second // the answer comes later
			w.answerCall(protocol.StoreResult{Outcome: protocol.OK, Lease: 5})
			w.now = testStart + 2*monotime.Second
			w.membership.RenewLease(w.now)
			w.now += monotime.Second
			w.answerCall(protocol.StoreResult{Outcome: tc.renewal})
			if got := w.membership.HoldsLease(testStart + tc.after); got != tc.want {
				t.Errorf("held %t", got)
			}
		})
	}
}

// TestLeaseRenewal: the lease is renewed four times in its time to live, one call at a time; after a failure it is
// tried again soon, and an expired one is replaced.
func TestLeaseRenewal(t *testing.T) {
	w := newWorld(t)
	w.membership.RenewLease(w.now)
	if len(w.calls) > 0 {
		t.Fatal("renewed before it was granted")
	}
	w.holdLease(5)
	due := testStart + testTTL/4
	w.membership.RenewLease(due - 1)
	if len(w.calls) > 0 {
		t.Fatal("renewed before it is due")
	}
	w.now = due
	w.membership.RenewLease(due)
	w.membership.RenewLease(due + 1)
	if len(w.calls) != 1 || w.calls[0].call.Op != protocol.StoreKeepAlive || w.calls[0].call.Lease != 5 {
		t.Fatalf("calls when due: %+v", w.calls)
	}
	w.answerCall(protocol.StoreResult{Outcome: protocol.Unavailable})
	w.membership.RenewLease(due + leaseRetryDelay - 1)
	if len(w.calls) > 0 {
		t.Fatal("renewed again at once after a failure")
	}
	w.membership.RenewLease(due + leaseRetryDelay)
	w.answerCall(protocol.StoreResult{Outcome: protocol.NotFound})
	if w.membership.HoldsLease(w.now) {
		t.Error("an expired lease is held")
	}
	if len(w.calls) != 1 || w.calls[0].call.Op != protocol.StoreGrantLease || w.calls[0].call.TTL != testTTL {
		t.Errorf("calls after it has expired: %+v", w.calls)
	}
}

// TestLeaseGrantIsRetried: a grant that fails is tried again after a delay with a random part; meanwhile no other
// is asked for.
func TestLeaseGrantIsRetried(t *testing.T) {
	w := newWorld(t)
	w.membership.RequestLease()
	w.membership.RequestLease()
	if len(w.calls) != 1 {
		t.Fatalf("%d calls", len(w.calls))
	}
	w.answerCall(protocol.StoreResult{Outcome: protocol.Unknown})
	w.membership.RequestLease()
	if len(w.calls) != 0 || len(w.timers) != 1 ||
		w.delays[0] < leaseRetryDelay || w.delays[0] >= leaseRetryDelay+leaseGrantRetryJitter {
		t.Fatalf("%d calls, delays %v", len(w.calls), w.delays)
	}
	w.timers[0]()
	if len(w.calls) != 1 {
		t.Error("not asked for again")
	}
	w.answerCall(protocol.StoreResult{Outcome: protocol.OK, Lease: 6})
	if !w.membership.HoldsLease(w.now) || w.catchUps != 1 {
		t.Errorf("held %t, caught up %d times", w.membership.HoldsLease(w.now), w.catchUps)
	}
}
