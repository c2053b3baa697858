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
		name                  string
		heard, silent, unseen int
		unreachable, mostly   bool // mostly: most are heard
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
		if got := count.mostHeard(); got != tc.mostly {
			t.Errorf("%s: most heard %t", tc.name, got)
		}
	}
	if (*SilenceCount)(nil).IsUnreachable() {
		t.Error("machines that nobody counted are unreachable")
	}
}

// TestSilenceIsProbed: workers count as unreachable when none of the probed machines answers for itself.
func TestSilenceIsProbed(t *testing.T) {
	cases := []struct {
		name    string
		answers [silenceProbes]probeAnswer
		want    bool
	}{
		{"no answer", [silenceProbes]probeAnswer{}, true},
		{"one answers", [silenceProbes]probeAnswer{noAnswer, ownAnswer, noAnswer}, false},
		{"the last answers", [silenceProbes]probeAnswer{noAnswer, noAnswer, ownAnswer}, false},
		{"another machine answers", [silenceProbes]probeAnswer{anothersAnswer}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(t, 5)
			w.reachability.UpdateReachability(SilenceCount{Machines: 5, Silent: 5}, w.now)
			w.reachability.UpdateReachability(SilenceCount{Machines: 5, Silent: 5}, w.now)
			if len(w.probes) != silenceProbes {
				t.Fatalf("%d probes", len(w.probes))
			}
			asked := map[string]bool{}
			for _, probe := range w.probes {
				asked[probe.endpoint] = true
			}
			if len(asked) != silenceProbes {
				t.Errorf("asked %v", asked)
			}
			for _, answer := range tc.answers {
				if w.reachability.WorkersUnreachable() {
					t.Error("unreachable before all probes have ended")
				}
				w.answerProbe(answer)
			}
			if got := w.reachability.WorkersUnreachable(); got != tc.want || (w.handOffs > 0) != tc.want {
				t.Errorf("unreachable %t, %d hand-offs", got, w.handOffs)
			}
			if tc.want {
				return
			}
			w.reachability.UpdateReachability(
				SilenceCount{Machines: 5, Silent: 5},
				w.now+silenceProbeValidity-1,
			)
			if len(w.probes) > 0 {
				t.Error("probed again though one has just answered")
			}
			w.reachability.UpdateReachability(
				SilenceCount{Machines: 5, Silent: 5},
				w.now+silenceProbeValidity,
			)
			if len(w.probes) != silenceProbes {
				t.Errorf("%d probes later", len(w.probes))
			}
		})
	}
}

// unreachable has the workers of a world be unreachable, and its hand-offs counted from there.
func unreachable(t *testing.T, machines int) *world {
	t.Helper()
	w := newWorld(t, machines)
	w.reachability.UpdateReachability(SilenceCount{Machines: machines, Silent: machines}, w.now)
	for len(w.probes) > 0 {
		w.answerProbe(noAnswer)
	}
	if !w.reachability.WorkersUnreachable() {
		t.Fatal("workers are reached")
	}
	w.handOffs = 0
	return w
}

// TestWorkersReachedAgain: by a probe that is answered, by hearing most machines, or when there are no machines left.
func TestWorkersReachedAgain(t *testing.T) {
	allSilent := SilenceCount{Machines: 3, Silent: 3}
	cases := []struct {
		name   string
		happen func(w *world)
		want   bool
	}{
		{"nothing", func(w *world) { w.reachability.UpdateReachability(allSilent, w.now) }, false},
		{"a probe fails", func(w *world) {
			w.reachability.UpdateReachability(allSilent, w.now)
			w.answerProbe(noAnswer)
		}, false},
		{"a probe is answered by another machine", func(w *world) {
			w.reachability.UpdateReachability(allSilent, w.now)
			w.answerProbe(anothersAnswer)
		}, false},
		{"a probe is answered", func(w *world) {
			w.reachability.UpdateReachability(allSilent, w.now)
			w.answerProbe(ownAnswer)
		}, true},
		{"most are heard", func(w *world) {
			w.reachability.UpdateReachability(SilenceCount{Machines: 3, Silent: 1}, w.now)
		}, true},
		{"few are heard", func(w *world) {
			w.reachability.UpdateReachability(SilenceCount{Machines: 4, Silent: 2}, w.now)
		}, false},
		{"no machines are left", func(w *world) {
			clear(w.mirror.Machines)
			w.reachability.UpdateReachability(SilenceCount{}, w.now)
		}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			w := unreachable(t, 3)
			tc.happen(w)
			if got := !w.reachability.WorkersUnreachable(); got != tc.want || (w.passes > 0) != tc.want {
				t.Errorf("reached %t, %d passes", got, w.passes)
			}
		})
	}
}

// TestUnreachableWorkersKeepProbing: shards are handed off at every check, probes come at their interval, and the
// answer to one of an earlier time says nothing of now.
func TestUnreachableWorkersKeepProbing(t *testing.T) {
	w := unreachable(t, 3)
	silent := SilenceCount{Machines: 3, Silent: 3}
	for _, at := range []monotime.Micros{0, 1, reconnectProbeInterval - 1, reconnectProbeInterval} {
		w.reachability.UpdateReachability(silent, w.now+at)
	}
	if w.handOffs != 4 || len(w.probes) != 2 {
		t.Errorf("%d hand-offs and %d probes", w.handOffs, len(w.probes))
	}
	w.now += monotime.Second
	w.reachability.UpdateReachability(SilenceCount{Machines: 3}, w.now) // reached again
	early := w.probes[:2]
	w.probes = nil
	w.now += silenceProbeValidity
	w.reachability.UpdateReachability(silent, w.now)
	for len(w.probes) > 0 {
		w.answerProbe(noAnswer)
	}
	w.probes = early
	w.answerProbe(ownAnswer)
	if !w.reachability.WorkersUnreachable() {
		t.Error("reached by an answer from before")
	}
}

// TestWorkerReach: what a controller tells its peers of its workers.
func TestWorkerReach(t *testing.T) {
	cut := unreachable(t, 3).reachability
	unknown, heard, silent := newWorld(
		t,
		3,
	).reachability, newWorld(
		t,
		3,
	).reachability, newWorld(
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

// TestProbedMachinesAreDrawn: each machine is probed in some draw, not always the first by name.
func TestProbedMachinesAreDrawn(t *testing.T) {
	probed := map[string]bool{}
	for seed := range uint64(40) {
		w := newWorld(t, 6)
		w.random = rand.New(rand.NewPCG(seed, 1))
		w.reachability.UpdateReachability(SilenceCount{Machines: 6, Silent: 6}, w.now)
		for _, probe := range w.probes {
			probed[probe.endpoint] = true
		}
	}
	if len(probed) != 6 {
		t.Errorf("probed in any draw: %v", probed)
	}
}
