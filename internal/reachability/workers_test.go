package reachability

import (
	"math/rand/v2"
	"testing"

	"pipitgap/internal/monotime"
	"pipitgap/internal/peers"
)

// TestSilenceCount: a group of machines is unreachable if at least three quarters of them, and at least
// three, are silent. A machine that has never reported counts only once it is silent.
func TestSilenceCount(t *testing.T) {
	cases := []struct {
		name                           string
		responsive, silent, unreported int
		unreachable, mostResponsive    bool // mostResponsive: more than half are not silent
	}{
		{"no machines", 0, 0, 0, false, false},
		{"all responsive", 4, 0, 0, false, true},
		{"half silent", 3, 3, 0, false, false},
		{"less than half silent", 4, 3, 0, false, true},
		{"two of two silent", 0, 2, 0, false, false},
		{"three of three silent", 0, 3, 0, true, false},
		{"three of four silent", 1, 3, 0, true, false},
		{"less than three quarters silent", 2, 5, 0, false, false},
		{"never reported, not silent yet", 0, 0, 9, false, false},
		{"silent machines among machines that have not reported yet", 0, 3, 9, true, false},
	}
	for _, tc := range cases {
		count := &SilenceCount{}
		for range tc.responsive {
			count.Add(false, false)
		}
		for i := range tc.silent {
			count.Add(true, i%2 == 0)
		}
		for range tc.unreported {
			count.Add(false, true)
		}
		if got := count.IsUnreachable(); got != tc.unreachable {
			t.Errorf("%s: got unreachable %t, want %t", tc.name, got, tc.unreachable)
		}
		if got := count.mostResponsive(); got != tc.mostResponsive {
			t.Errorf("%s: got most responsive %t, want %t", tc.name, got, tc.mostResponsive)
		}
	}
	if (*SilenceCount)(nil).IsUnreachable() {
		t.Error("nil count: got unreachable true, want false")
	}
}

// TestWorkersUnreachableIfNoProbeSucceeds: the controller marks its workers unreachable only after every
// probe has ended without a response from the probed machine. After a successful probe it sends no probes for
// silenceProbeValidity.
func TestWorkersUnreachableIfNoProbeSucceeds(t *testing.T) {
	cases := []struct {
		name    string
		answers [silenceProbeCount]probeAnswer
		want    bool
	}{
		{"no machine responds", [silenceProbeCount]probeAnswer{}, true},
		{"one machine responds", [silenceProbeCount]probeAnswer{noAnswer, probedMachineAnswer, noAnswer}, false},
		{"last machine responds", [silenceProbeCount]probeAnswer{noAnswer, noAnswer, probedMachineAnswer}, false},
		{"another machine responds", [silenceProbeCount]probeAnswer{otherMachineAnswer}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, 5)
			h.reachability.UpdateReachability(SilenceCount{Machines: 5, Silent: 5}, h.now)
			h.reachability.UpdateReachability(SilenceCount{Machines: 5, Silent: 5}, h.now)
			if len(h.probes) != silenceProbeCount {
				t.Fatalf("got %d probes, want %d", len(h.probes), silenceProbeCount)
			}
			probedEndpoints := map[string]bool{}
			for _, probe := range h.probes {
				probedEndpoints[probe.endpoint] = true
			}
			if len(probedEndpoints) != silenceProbeCount {
				t.Errorf("got probed endpoints %v, want %d distinct ones", probedEndpoints, silenceProbeCount)
			}
			for _, answer := range tc.answers {
				if h.reachability.WorkersUnreachable() {
					t.Error("got workers unreachable before all probes have ended, want reachable")
				}
				h.answerProbe(answer)
			}
			if got := h.reachability.WorkersUnreachable(); got != tc.want || (h.handOffs > 0) != tc.want {
				t.Errorf("got unreachable %t, %d handoffs; want both: %t", got, h.handOffs, tc.want)
			}
			if tc.want {
				return
			}
			h.reachability.UpdateReachability(
				SilenceCount{Machines: 5, Silent: 5},
				h.now+silenceProbeValidity-1,
			)
			if len(h.probes) > 0 {
				t.Errorf("got %d probes soon after a successful probe, want 0", len(h.probes))
			}
			h.reachability.UpdateReachability(
				SilenceCount{Machines: 5, Silent: 5},
				h.now+silenceProbeValidity,
			)
			if len(h.probes) != silenceProbeCount {
				t.Errorf("got %d probes after silenceProbeValidity, want %d", len(h.probes), silenceProbeCount)
			}
		})
	}
}

// newUnreachableHarness returns a harness whose workers are marked unreachable, with the handoff count reset.
func newUnreachableHarness(t *testing.T, machines int) *harness {
	t.Helper()
	h := newHarness(t, machines)
	h.reachability.UpdateReachability(SilenceCount{Machines: machines, Silent: machines}, h.now)
	for len(h.probes) > 0 {
		h.answerProbe(noAnswer)
	}
	if !h.reachability.WorkersUnreachable() {
		t.Fatal("got workers reachable after failed probes, want unreachable")
	}
	h.handOffs = 0
	return h
}

// TestWorkersBecomeReachable: workers become reachable again after a successful probe, when most machines are
// responsive, or when no machines are left.
func TestWorkersBecomeReachable(t *testing.T) {
	allSilent := SilenceCount{Machines: 3, Silent: 3}
	cases := []struct {
		name string
		act  func(h *harness)
		want bool
	}{
		{"no response to the probe yet", func(h *harness) {
			h.reachability.UpdateReachability(allSilent, h.now)
		}, false},
		{"a probe fails", func(h *harness) {
			h.reachability.UpdateReachability(allSilent, h.now)
			h.answerProbe(noAnswer)
		}, false},
		{"another machine responds to a probe", func(h *harness) {
			h.reachability.UpdateReachability(allSilent, h.now)
			h.answerProbe(otherMachineAnswer)
		}, false},
		{"the probed machine responds", func(h *harness) {
			h.reachability.UpdateReachability(allSilent, h.now)
			h.answerProbe(probedMachineAnswer)
		}, true},
		{"most machines are responsive", func(h *harness) {
			h.reachability.UpdateReachability(SilenceCount{Machines: 3, Silent: 1}, h.now)
		}, true},
		{"only half of the machines are responsive", func(h *harness) {
			h.reachability.UpdateReachability(SilenceCount{Machines: 4, Silent: 2}, h.now)
		}, false},
		{"no machines are left", func(h *harness) {
			clear(h.mirror.Machines)
			h.reachability.UpdateReachability(SilenceCount{}, h.now)
		}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newUnreachableHarness(t, 3)
			tc.act(h)
			if got := !h.reachability.WorkersUnreachable(); got != tc.want || (h.passes > 0) != tc.want {
				t.Errorf("got reachable %t, %d passes; want both: %t", got, h.passes, tc.want)
			}
		})
	}
}

// TestUnreachableWorkersAreProbedAtInterval: while workers are unreachable, every check hands off shards, and
// probes are sent at reconnectProbeInterval. A response to a probe from an earlier unreachable period is
// ignored.
func TestUnreachableWorkersAreProbedAtInterval(t *testing.T) {
	h := newUnreachableHarness(t, 3)
	silent := SilenceCount{Machines: 3, Silent: 3}
	for _, at := range []monotime.Micros{0, 1, reconnectProbeInterval - 1, reconnectProbeInterval} {
		h.reachability.UpdateReachability(silent, h.now+at)
	}
	if h.handOffs != 4 || len(h.probes) != 2 {
		t.Errorf("got %d handoffs and %d probes, want 4 and 2", h.handOffs, len(h.probes))
	}
	h.now += monotime.Second
	h.reachability.UpdateReachability(SilenceCount{Machines: 3}, h.now) // reachable again
	earlierProbes := h.probes[:2]
	h.probes = nil
	h.now += silenceProbeValidity
	h.reachability.UpdateReachability(silent, h.now)
	for len(h.probes) > 0 {
		h.answerProbe(noAnswer)
	}
	h.probes = earlierProbes
	h.answerProbe(probedMachineAnswer)
	if !h.reachability.WorkersUnreachable() {
		t.Error("got workers reachable after a response to an outdated probe, want unreachable")
	}
}

// TestWorkerReach: the reachability of the workers that a controller reports to its peers.
func TestWorkerReach(t *testing.T) {
	unreachable := newUnreachableHarness(t, 3).reachability
	unknown, responsive, silent := newHarness(
		t,
		3,
	).reachability, newHarness(
		t,
		3,
	).reachability, newHarness(
		t,
		3,
	).reachability
	responsive.UpdateReachability(SilenceCount{Machines: 3, Silent: 1}, testStart)
	silent.UpdateReachability(SilenceCount{Machines: 3, Silent: 2}, testStart)
	cases := []struct {
		name         string
		reachability *Reachability
		want         peers.WorkerReach
	}{
		{"initially", unknown, peers.WorkersUnknown},
		{"most machines are responsive", responsive, peers.WorkersReachable},
		{"most machines are silent", silent, peers.WorkersUnknown},
		{"unreachable", unreachable, peers.WorkersUnreachable},
	}
	for _, tc := range cases {
		if got := tc.reachability.WorkerReach(); got != tc.want {
			t.Errorf("%s: got %v, want %v", tc.name, got, tc.want)
		}
	}
}

// TestProbedMachinesAreRandom: probed machines are drawn at random. Over 40 seeds every machine is probed,
// not only the first machines by ID.
func TestProbedMachinesAreRandom(t *testing.T) {
	probed := map[string]bool{}
	for seed := range uint64(40) {
		h := newHarness(t, 6)
		h.random = rand.New(rand.NewPCG(seed, 1))
		h.reachability.UpdateReachability(SilenceCount{Machines: 6, Silent: 6}, h.now)
		for _, probe := range h.probes {
			probed[probe.endpoint] = true
		}
	}
	if len(probed) != 6 {
		t.Errorf("got probes of %v over all seeds, want all 6 machines", probed)
	}
}
