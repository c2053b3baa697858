package reachability

import (
	"math/rand/v2"
	"testing"

	"pipitgap/internal/monotime"
	"pipitgap/internal/peers"
)

// TestSilenceCount: three quarters of the machines, and three at least, must be silent; a machine that was never
// heard counts only once it is silent.
func TestSilenceCount(t *testing.T) {
	cases := []struct {
		name                        string
		heard, silent, unseen       int
		unreachable, mostResponsive bool // mostResponsive: most are heard
	}{
		{"none", 0, 0, 0, false, false},
		{"all heard", 4, 0, 0, false, true},
		{"half silent", 3, 3, 0, false, false},
		{"less than half silent", 4, 3, 0, false, true},
		{"two of two silent", 0, 2, 0, false, false},
		{"three of three silent", 0, 3, 0, true, false},
		{"three of four silent", 1, 3, 0, true, false},
		{"less than three quarters silent", 2, 5, 0, false, false},
		{"never heard, not silent yet", 0, 0, 9, false, false},
		{"silent beside such", 0, 3, 9, true, false},
	}
	for _, tc := range cases {
		count := &SilenceCount{}
		for range tc.heard {
			count.Add(false, false)
		}
		for i := range tc.silent {
			count.Add(true, i%2 == 0)
		}
		for range tc.unseen {
			count.Add(false, true)
		}
		if got := count.IsUnreachable(); got != tc.unreachable {
			t.Errorf("%s: unreachable %t", tc.name, got)
		}
		if got := count.mostResponsive(); got != tc.mostResponsive {
			t.Errorf("%s: most heard %t", tc.name, got)
		}
	}
	if (*SilenceCount)(nil).IsUnreachable() {
		t.Error("machines that nobody counted are unreachable")
	}
}

// TestWorkersUnreachableIfNoProbeSucceeds: workers count as unreachable when none of the probed machines answers for itself.
func TestWorkersUnreachableIfNoProbeSucceeds(t *testing.T) {
	cases := []struct {
		name    string
		answers [silenceProbeCount]probeAnswer
		want    bool
	}{
		{"no answer", [silenceProbeCount]probeAnswer{}, true},
		{"one answers", [silenceProbeCount]probeAnswer{noAnswer, probedMachineAnswer, noAnswer}, false},
		{"the last answers", [silenceProbeCount]probeAnswer{noAnswer, noAnswer, probedMachineAnswer}, false},
		{"another machine answers", [silenceProbeCount]probeAnswer{otherMachineAnswer}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, 5)
			h.reachability.UpdateReachability(SilenceCount{Machines: 5, Silent: 5}, h.now)
			h.reachability.UpdateReachability(SilenceCount{Machines: 5, Silent: 5}, h.now)
			if len(h.probes) != silenceProbeCount {
				t.Fatalf("%d probes", len(h.probes))
			}
			probedEndpoints := map[string]bool{}
			for _, probe := range h.probes {
				probedEndpoints[probe.endpoint] = true
			}
			if len(probedEndpoints) != silenceProbeCount {
				t.Errorf("asked %v", probedEndpoints)
			}
			for _, answer := range tc.answers {
				if h.reachability.WorkersUnreachable() {
					t.Error("unreachable before all probes have ended")
				}
				h.answerProbe(answer)
			}
			if got := h.reachability.WorkersUnreachable(); got != tc.want || (h.handOffs > 0) != tc.want {
				t.Errorf("unreachable %t, %d hand-offs", got, h.handOffs)
			}
			if tc.want {
				return
			}
			h.reachability.UpdateReachability(
				SilenceCount{Machines: 5, Silent: 5},
				h.now+silenceProbeValidity-1,
			)
			if len(h.probes) > 0 {
				t.Error("probed again though one has just answered")
			}
			h.reachability.UpdateReachability(
				SilenceCount{Machines: 5, Silent: 5},
				h.now+silenceProbeValidity,
			)
			if len(h.probes) != silenceProbeCount {
				t.Errorf("%d probes later", len(h.probes))
			}
		})
	}
}

// newUnreachableHarness has the workers of a harness be unreachable, and its hand-offs counted from there.
func newUnreachableHarness(t *testing.T, machines int) *harness {
	t.Helper()
	h := newHarness(t, machines)
	h.reachability.UpdateReachability(SilenceCount{Machines: machines, Silent: machines}, h.now)
	for len(h.probes) > 0 {
		h.answerProbe(noAnswer)
	}
	if !h.reachability.WorkersUnreachable() {
		t.Fatal("workers are reached")
	}
	h.handOffs = 0
	return h
}

// TestWorkersBecomeReachable: by a probe that is answered, by hearing most machines, or when there are no machines left.
func TestWorkersBecomeReachable(t *testing.T) {
	allSilent := SilenceCount{Machines: 3, Silent: 3}
	cases := []struct {
		name string
		act  func(h *harness)
		want bool
	}{
		{"nothing", func(h *harness) { h.reachability.UpdateReachability(allSilent, h.now) }, false},
		{"a probe fails", func(h *harness) {
			h.reachability.UpdateReachability(allSilent, h.now)
			h.answerProbe(noAnswer)
		}, false},
		{"a probe is answered by another machine", func(h *harness) {
			h.reachability.UpdateReachability(allSilent, h.now)
			h.answerProbe(otherMachineAnswer)
		}, false},
		{"a probe is answered", func(h *harness) {
			h.reachability.UpdateReachability(allSilent, h.now)
			h.answerProbe(probedMachineAnswer)
		}, true},
		{"most are heard", func(h *harness) {
			h.reachability.UpdateReachability(SilenceCount{Machines: 3, Silent: 1}, h.now)
		}, true},
		{"few are heard", func(h *harness) {
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
				t.Errorf("reached %t, %d passes", got, h.passes)
			}
		})
	}
}

// TestUnreachableWorkersAreProbedAtInterval: shards are handed off at every check, probes come at their interval, and the
// answer to one of an earlier time says nothing of now.
func TestUnreachableWorkersAreProbedAtInterval(t *testing.T) {
	h := newUnreachableHarness(t, 3)
	silent := SilenceCount{Machines: 3, Silent: 3}
	for _, at := range []monotime.Micros{0, 1, reconnectProbeInterval - 1, reconnectProbeInterval} {
		h.reachability.UpdateReachability(silent, h.now+at)
	}
	if h.handOffs != 4 || len(h.probes) != 2 {
		t.Errorf("%d hand-offs and %d probes", h.handOffs, len(h.probes))
	}
	h.now += monotime.Second
	h.reachability.UpdateReachability(SilenceCount{Machines: 3}, h.now) // reached again
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
		t.Error("reached by an answer from before")
	}
}

// TestWorkerReach: what a controller tells its peers of its workers.
func TestWorkerReach(t *testing.T) {
	cut := newUnreachableHarness(t, 3).reachability
	unknown, heard, silent := newHarness(
		t,
		3,
	).reachability, newHarness(
		t,
		3,
	).reachability, newHarness(
		t,
		3,
	).reachability
	heard.UpdateReachability(SilenceCount{Machines: 3, Silent: 1}, testStart)
	silent.UpdateReachability(SilenceCount{Machines: 3, Silent: 2}, testStart)
	cases := []struct {
		name         string
		reachability *Reachability
		want         peers.WorkerReach
	}{
		{"at first", unknown, peers.WorkersUnknown},
		{"most are heard", heard, peers.WorkersReachable},
		{"most are silent", silent, peers.WorkersUnknown},
		{"unreachable", cut, peers.WorkersUnreachable},
	}
	for _, tc := range cases {
		if got := tc.reachability.WorkerReach(); got != tc.want {
			t.Errorf("%s: %v", tc.name, got)
		}
	}
}

// TestProbedMachinesAreRandom: each machine is probed in some draw, not always the first by name.
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
		t.Errorf("probed in any draw: %v", probed)
	}
}
