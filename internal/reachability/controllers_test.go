package reachability

import (
	"slices"
	"testing"

	"pipitgap/internal/durations"
	"pipitgap/internal/monotime"
	"pipitgap/internal/peers"
)

// storeSilentFor has the state service not have answered for a while.
func (w *world) storeSilentFor(duration monotime.Micros) {
	w.unavailable, w.lastSuccessAt = true, w.now-duration
}

// TestStoreUnreachableOnlyHere: a peer must have reported later than this controller's last answer that it reaches
// the state service.
func TestStoreUnreachableOnlyHere(t *testing.T) {
	cases := []struct {
		name    string
		arrange func(w *world)
		want    string
	}{
		{"available", func(w *world) { w.peerReports("n-0", true, 0) }, ""},
		{"silent for a moment", func(w *world) {
			w.storeSilentFor(isolationDelay - 1)
			w.peerReports("n-0", true, 0)
		}, ""},
		{"silent and available", func(w *world) {
			w.storeSilentFor(isolationDelay)
			w.unavailable = false
			w.peerReports("n-0", true, 0)
		}, ""},
		{"a peer reaches it", func(w *world) {
			w.storeSilentFor(isolationDelay)
			w.peerReports("n-2", true, 0)
		}, "n-2"},
		{"no peer reaches it", func(w *world) {
			w.storeSilentFor(isolationDelay)
			w.peerReports("n-2", false, 0)
		}, ""},
		{"a report of hardly later than the last answer", func(w *world) {
			w.storeSilentFor(isolationDelay)
			w.now = w.lastSuccessAt + peerReportLead
			w.peerReports("n-2", true, 0)
			w.now = w.lastSuccessAt + isolationDelay
		}, ""},
		{"a report of somewhat later", func(w *world) {
			w.storeSilentFor(isolationDelay)
			w.now = w.lastSuccessAt + peerReportLead + 1
			w.peerReports("n-2", true, 0)
			w.now = w.lastSuccessAt + isolationDelay
		}, "n-2"},
	}
	for _, tc := range cases {
		w := newWorld(t, 0)
		tc.arrange(w)
		if got, only := w.reachability.StoreUnreachableOnlyHere(w.now); got != tc.want ||
			only != (tc.want != "") {
			t.Errorf("%s: %q, %t", tc.name, got, only)
		}
	}
}

// TestIsolation: a controller is isolated when neither the state service nor a peer is heard, and superseded when its
// membership has ended for long besides.
func TestIsolation(t *testing.T) {
	cases := []struct {
		name                 string
		arrange              func(w *world)
		isolated, superseded bool
	}{
		{"connected", func(*world) {}, false, false},
		{
			"state service silent for a moment",
			func(w *world) { w.storeSilentFor(isolationDelay - 1) },
			false,
			false,
		},
		{"state service silent", func(w *world) { w.storeSilentFor(isolationDelay) }, true, false},
		{"and a peer heard", func(w *world) {
			w.storeSilentFor(isolationDelay)
			w.peerReports("n-2", false, 0)
		}, false, false},
		{"no peers", func(w *world) {
			w.storeSilentFor(isolationDelay)
			w.reachability.options.Peers = nil
		}, false, false},
		{"a successor may still be taking over", func(w *world) {
			w.storeSilentFor(isolationDelay)
			w.leaseRenewedAt = w.now - w.durations.MembershipTTL - durations.TakeoverDuration + 1
		}, true, false},
		{"a successor has taken over", func(w *world) {
			w.storeSilentFor(isolationDelay)
			w.leaseRenewedAt = w.now - w.durations.MembershipTTL - durations.TakeoverDuration
		}, true, true},
		{"membership ended, but connected", func(w *world) { w.leaseRenewedAt = 0 }, false, false},
	}
	for _, tc := range cases {
		w := newWorld(t, 0)
		tc.arrange(w)
		if got := w.reachability.IsIsolated(w.now); got != tc.isolated {
			t.Errorf("%s: isolated %t", tc.name, got)
		}
		if got := w.reachability.IsSuperseded(w.now); got != tc.superseded {
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
		arrange func(w *world)
		want    []string
	}{
		{"nobody has said anything", func(*world) {}, all},
		{"a peer is cut off", func(w *world) { w.peerReports("n-0", true, peers.WorkersUnreachable) },
			[]string{testNode, "n-2"}},
		{"a peer was cut off and is silent", func(w *world) {
			w.peerReports("n-0", true, peers.WorkersUnreachable)
			w.now += monotime.Minute
		}, all},
		{"a peer doesn't know", func(w *world) { w.peerReports("n-0", true, peers.WorkersUnknown) }, all},
		{"a peer is gone", func(w *world) { w.live = w.live[:2] }, []string{"n-0", testNode}},
		{"this one is cut off", func(w *world) { w.reachability.workersUnreachableSince = 1 },
			[]string{"n-0", "n-2"}},
		{"all are cut off", func(w *world) {
			w.reachability.workersUnreachableSince = 1
			w.peerReports("n-0", true, peers.WorkersUnreachable)
			w.peerReports("n-2", true, peers.WorkersUnreachable)
		}, all},
	}
	for _, tc := range cases {
		w := newWorld(t, 0)
		tc.arrange(w)
		if got := w.reachability.ConnectedControllers(); !slices.Equal(got, tc.want) {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}
