package reachability

import (
	"slices"
	"testing"

	"pipitgap/internal/durations"
	"pipitgap/internal/monotime"
	"pipitgap/internal/peers"
)

// silenceStoreFor makes the state service unavailable; its last response was the given duration ago.
func (h *harness) silenceStoreFor(duration monotime.Micros) {
	h.unavailable, h.lastSuccessAt = true, h.now-duration
}

// TestStoreUnreachableOnlyHere: the state service is unreachable only here if it has not responded for
// isolationDelay and a peer reported more than peerReportLead after the last response that it reaches the
// service.
func TestStoreUnreachableOnlyHere(t *testing.T) {
	cases := []struct {
		name    string
		arrange func(h *harness)
		want    string
	}{
		{"state service available", func(h *harness) { h.receivePeerStatus("n-0", true, 0) }, ""},
		{"silent for less than isolationDelay", func(h *harness) {
			h.silenceStoreFor(isolationDelay - 1)
			h.receivePeerStatus("n-0", true, 0)
		}, ""},
		{"silent but not marked unavailable", func(h *harness) {
			h.silenceStoreFor(isolationDelay)
			h.unavailable = false
			h.receivePeerStatus("n-0", true, 0)
		}, ""},
		{"a peer reaches the state service", func(h *harness) {
			h.silenceStoreFor(isolationDelay)
			h.receivePeerStatus("n-2", true, 0)
		}, "n-2"},
		{"no peer reaches the state service", func(h *harness) {
			h.silenceStoreFor(isolationDelay)
			h.receivePeerStatus("n-2", false, 0)
		}, ""},
		{"peer report exactly peerReportLead after the last response", func(h *harness) {
			h.silenceStoreFor(isolationDelay)
			h.now = h.lastSuccessAt + peerReportLead
			h.receivePeerStatus("n-2", true, 0)
			h.now = h.lastSuccessAt + isolationDelay
		}, ""},
		{"peer report more than peerReportLead after the last response", func(h *harness) {
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
			t.Errorf(
				"%s: got peer %q, only here %t, want peer %q, only here %t",
				tc.name, got, onlyHere, tc.want, tc.want != "",
			)
		}
	}
}

// TestIsolation: a controller is isolated if it reaches neither the state service nor a peer. It is
// superseded if, in addition, its membership ended at least TakeoverDuration ago.
func TestIsolation(t *testing.T) {
	cases := []struct {
		name                 string
		arrange              func(h *harness)
		isolated, superseded bool
	}{
		{"connected", func(*harness) {}, false, false},
		{
			"state service silent for less than isolationDelay",
			func(h *harness) { h.silenceStoreFor(isolationDelay - 1) },
			false,
			false,
		},
		{"state service silent", func(h *harness) { h.silenceStoreFor(isolationDelay) }, true, false},
		{"state service silent, peer status received", func(h *harness) {
			h.silenceStoreFor(isolationDelay)
			h.receivePeerStatus("n-2", false, 0)
		}, false, false},
		{"no peers", func(h *harness) {
			h.silenceStoreFor(isolationDelay)
			h.reachability.options.Peers = nil
		}, false, false},
		{"takeover by a successor possibly in progress", func(h *harness) {
			h.silenceStoreFor(isolationDelay)
			h.leaseRenewedAt = h.now - h.durations.MembershipTTL - durations.TakeoverDuration + 1
		}, true, false},
		{"takeover by a successor complete", func(h *harness) {
			h.silenceStoreFor(isolationDelay)
			h.leaseRenewedAt = h.now - h.durations.MembershipTTL - durations.TakeoverDuration
		}, true, true},
		{"membership ended, but connected", func(h *harness) { h.leaseRenewedAt = 0 }, false, false},
	}
	for _, tc := range cases {
		h := newHarness(t, 0)
		tc.arrange(h)
		if got := h.reachability.IsIsolated(h.now); got != tc.isolated {
			t.Errorf("%s: got isolated %t, want %t", tc.name, got, tc.isolated)
		}
		if got := h.reachability.IsSuperseded(h.now); got != tc.superseded {
			t.Errorf("%s: got superseded %t, want %t", tc.name, got, tc.superseded)
		}
	}
}

// TestConnectedControllers: the live controllers except those that recently reported that they do not reach
// their workers, or all live controllers if that leaves none.
func TestConnectedControllers(t *testing.T) {
	all := []string{"n-0", testNode, "n-2"}
	cases := []struct {
		name    string
		arrange func(h *harness)
		want    []string
	}{
		{"no status received", func(*harness) {}, all},
		{"a peer is cut off", func(h *harness) { h.receivePeerStatus("n-0", true, peers.WorkersUnreachable) },
			[]string{testNode, "n-2"}},
		{"report of the cut-off peer has expired", func(h *harness) {
			h.receivePeerStatus("n-0", true, peers.WorkersUnreachable)
			h.now += monotime.Minute
		}, all},
		{"a peer's worker reach is unknown", func(h *harness) {
			h.receivePeerStatus("n-0", true, peers.WorkersUnknown)
		}, all},
		{"a peer is no longer a member", func(h *harness) { h.live = h.live[:2] }, []string{"n-0", testNode}},
		{"this controller is cut off", func(h *harness) { h.reachability.workersUnreachableSince = 1 },
			[]string{"n-0", "n-2"}},
		{"all controllers are cut off", func(h *harness) {
			h.reachability.workersUnreachableSince = 1
			h.receivePeerStatus("n-0", true, peers.WorkersUnreachable)
			h.receivePeerStatus("n-2", true, peers.WorkersUnreachable)
		}, all},
	}
	for _, tc := range cases {
		h := newHarness(t, 0)
		tc.arrange(h)
		if got := h.reachability.ConnectedControllers(); !slices.Equal(got, tc.want) {
			t.Errorf("%s: got %v, want %v", tc.name, got, tc.want)
		}
	}
}
