package reachability

import (
	"slices"
	"testing"

	"pipitgap/internal/durations"
	"pipitgap/internal/monotime"
	"pipitgap/internal/peers"
)

// silenceStoreFor has the state service not have answered for a while.
func (h *harness) silenceStoreFor(duration monotime.Micros) {
	h.unavailable, h.lastSuccessAt = true, h.now-duration
}

// TestStoreUnreachableOnlyHere: a peer must have reported later than this controller's last answer that it reaches
// the state service.
func TestStoreUnreachableOnlyHere(t *testing.T) {
	cases := []struct {
		name    string
		arrange func(h *harness)
		want    string
	}{
		{"available", func(h *harness) { h.receivePeerStatus("n-0", true, 0) }, ""},
		{"silent for a moment", func(h *harness) {
			h.silenceStoreFor(isolationDelay - 1)
			h.receivePeerStatus("n-0", true, 0)
		}, ""},
		{"silent and available", func(h *harness) {
			h.silenceStoreFor(isolationDelay)
			h.unavailable = false
			h.receivePeerStatus("n-0", true, 0)
		}, ""},
		{"a peer reaches it", func(h *harness) {
			h.silenceStoreFor(isolationDelay)
			h.receivePeerStatus("n-2", true, 0)
		}, "n-2"},
		{"no peer reaches it", func(h *harness) {
			h.silenceStoreFor(isolationDelay)
			h.receivePeerStatus("n-2", false, 0)
		}, ""},
		{"a report of hardly later than the last answer", func(h *harness) {
			h.silenceStoreFor(isolationDelay)
			h.now = h.lastSuccessAt + peerReportLead
			h.receivePeerStatus("n-2", true, 0)
			h.now = h.lastSuccessAt + isolationDelay
		}, ""},
		{"a report of somewhat later", func(h *harness) {
			h.silenceStoreFor(isolationDelay)
			h.now = h.lastSuccessAt + peerReportLead + 1
			h.receivePeerStatus("n-2", true, 0)
			h.now = h.lastSuccessAt + isolationDelay
		}, "n-2"},
	}
	for _, tc := range cases {
		h := newHarness(t, 0)
		tc.arrange(h)
		if got, onlyHere := h.reachability.StoreUnreachableOnlyHere(h.now); got != tc.want ||
			onlyHere != (tc.want != "") {
			t.Errorf("%s: %q, %t", tc.name, got, onlyHere)
		}
	}
}

// TestIsolation: a controller is isolated when neither the state service nor a peer is heard, and superseded when its
// membership has ended for long besides.
func TestIsolation(t *testing.T) {
	cases := []struct {
		name                 string
		arrange              func(h *harness)
		isolated, superseded bool
	}{
		{"connected", func(*harness) {}, false, false},
		{
			"state service silent for a moment",
			func(h *harness) { h.silenceStoreFor(isolationDelay - 1) },
			false,
			false,
		},
		{"state service silent", func(h *harness) { h.silenceStoreFor(isolationDelay) }, true, false},
		{"and a peer heard", func(h *harness) {
			h.silenceStoreFor(isolationDelay)
			h.receivePeerStatus("n-2", false, 0)
		}, false, false},
		{"no peers", func(h *harness) {
			h.silenceStoreFor(isolationDelay)
			h.reachability.options.Peers = nil
		}, false, false},
		{"a successor may still be taking over", func(h *harness) {
			h.silenceStoreFor(isolationDelay)
			h.leaseRenewedAt = h.now - h.durations.MembershipTTL - durations.TakeoverDuration + 1
		}, true, false},
		{"a successor has taken over", func(h *harness) {
			h.silenceStoreFor(isolationDelay)
			h.leaseRenewedAt = h.now - h.durations.MembershipTTL - durations.TakeoverDuration
		}, true, true},
		{"membership ended, but connected", func(h *harness) { h.leaseRenewedAt = 0 }, false, false},
	}
	for _, tc := range cases {
		h := newHarness(t, 0)
		tc.arrange(h)
		if got := h.reachability.IsIsolated(h.now); got != tc.isolated {
			t.Errorf("%s: isolated %t", tc.name, got)
		}
		if got := h.reachability.IsSuperseded(h.now); got != tc.superseded {
			t.Errorf("%s: superseded %t", tc.name, got)
		}
	}
}

// TestConnectedControllers: live controllers without those that have lately reported that they don't reach
// their workers, or all if that leaves none.
func TestConnectedControllers(t *testing.T) {
	all := []string{"n-0", testNode, "n-2"}
	cases := []struct {
		name    string
		arrange func(h *harness)
		want    []string
	}{
		{"nobody has said anything", func(*harness) {}, all},
		{"a peer is cut off", func(h *harness) { h.receivePeerStatus("n-0", true, peers.WorkersUnreachable) },
			[]string{testNode, "n-2"}},
		{"a peer was cut off and is silent", func(h *harness) {
			h.receivePeerStatus("n-0", true, peers.WorkersUnreachable)
			h.now += monotime.Minute
		}, all},
		{"a peer doesn't know", func(h *harness) { h.receivePeerStatus("n-0", true, peers.WorkersUnknown) }, all},
		{"a peer is gone", func(h *harness) { h.live = h.live[:2] }, []string{"n-0", testNode}},
		{"this one is cut off", func(h *harness) { h.reachability.workersUnreachableSince = 1 },
			[]string{"n-0", "n-2"}},
		{"all are cut off", func(h *harness) {
			h.reachability.workersUnreachableSince = 1
			h.receivePeerStatus("n-0", true, peers.WorkersUnreachable)
			h.receivePeerStatus("n-2", true, peers.WorkersUnreachable)
		}, all},
	}
	for _, tc := range cases {
		h := newHarness(t, 0)
		tc.arrange(h)
		if got := h.reachability.ConnectedControllers(); !slices.Equal(got, tc.want) {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}
