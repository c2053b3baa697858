package coordination

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	"pipitgap/internal/micros"
)

var (
	scenarioCount = flag.Int("scenarios", 40, "random scenarios to play")
	scenarioFirst = flag.Uint64("scenario-seed", 1, "seed of the first random scenario")
)

const (
	lastFaultAt    = 130 * sec
	scenarioLength = 185 * sec
)

// randomFaults combines two to five faults of all kinds at random times, many of them
// within seconds of each other.
func randomFaults(rnd *rand.Rand) []fault {
	span := func(least, most micros.T) micros.T { return least + micros.T(rnd.Int64N(int64(most-least))) }
	controller := func() which {
		if rnd.IntN(2) == 0 {
			return leader
		}
		return following(rnd.IntN(3))
	}
	kinds := []func(at micros.T) fault{
		func(at micros.T) fault { return refusal(at, controller(), span(sec, 40*sec)) },
		func(at micros.T) fault { return outage(at, span(sec, 45*sec)) },
		func(at micros.T) fault { return crash(at, controller(), span(sec/10, 20*sec)) },
		func(at micros.T) fault { return crashAll(at, span(sec/2, 25*sec)) },
		func(at micros.T) fault { return peerCut(at, controller(), span(sec, 40*sec)) },
		func(at micros.T) fault { return stateAndPeerCut(at, controller(), span(sec, 40*sec)) },
		func(at micros.T) fault { return standStill(at, controller(), span(sec, 25*sec)) },
		func(at micros.T) fault { return hang(at, 1+rnd.IntN(6), span(sec, 30*sec)) },
		func(at micros.T) fault { return machineCut(at, 1+rnd.IntN(8), span(sec, 40*sec)) },
		func(at micros.T) fault { return deaf(at, 1+rnd.IntN(8), span(sec, 40*sec)) },
		func(at micros.T) fault { return mute(at, 1+rnd.IntN(8), span(sec, 40*sec)) },
		func(at micros.T) fault { return lateWrites(at, rnd.Float64()/3, span(5*sec, 50*sec)) },
		func(at micros.T) fault { return lostAnswers(at, rnd.Float64()/2, span(5*sec, 50*sec)) },
		func(at micros.T) fault { return lateCommands(at, rnd.Float64(), span(5*sec, 50*sec)) },
		func(at micros.T) fault { return lateReports(at, rnd.Float64(), span(5*sec, 50*sec)) },
		func(at micros.T) fault { return reportsForNextLeader(at, rnd.Float64(), 60*sec) },
		func(at micros.T) fault { return slowStore(at, span(sec/10, 3*sec), span(5*sec, 50*sec)) },
		func(at micros.T) fault { return zoneCut(at, span(sec, 45*sec)) },
		func(at micros.T) fault { return machinesDie(at, 1+rnd.IntN(4)) },
		func(at micros.T) fault { return submissions(at, sec, span(10*sec, 50*sec), oneTask) },
	}
	var faults []fault
	at := span(warmUp, lastFaultAt)
	for range 2 + rnd.IntN(4) {
		faults = append(faults, kinds[rnd.IntN(len(kinds))](at))
		if at += span(0, 6*sec); rnd.IntN(4) == 0 {
			at = span(warmUp, lastFaultAt)
		}
	}
	if rnd.IntN(2) == 0 {
		at := span(warmUp, lastFaultAt)
		faults = append(faults, cancelTeam(at, "tight", 1+rnd.IntN(3), span(sec, 20*sec)), crash(at+span(0, 3*sec), controller(), span(sec/10, 5*sec)))
	}
	for range 2 + rnd.IntN(3) {
		near := faults[rnd.IntN(len(faults))].at
		hangFor := micros.T(0)
		if rnd.IntN(3) == 0 {
			hangFor = span(sec, 15*sec)
		}
		faults = append(faults, cancelNow(max(warmUp, near+span(-2*sec, 5*sec)), 1+rnd.IntN(4), hangFor))
	}
	return faults
}

// TestRandomFaults plays random combinations of faults. A failing seed is played again
// with -run TestRandomFaults -scenarios 1 -scenario-seed SEED.
func TestRandomFaults(t *testing.T) {
	leases := []leaseSettings{usualLeases, {4 * sec, 22 * sec, 42 * sec}, {5 * sec, 28 * sec, 53 * sec}, {8 * sec / 10, 10 * sec, 30 * sec}}
	for i := range uint64(*scenarioCount) {
		seed := *scenarioFirst + i
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 11))
			s := newScenario(t, seed)
			leases[rnd.IntN(len(leases))].apply(s)
			s.closeLook = rnd.IntN(2) == 0
			if rnd.IntN(2) == 0 {
				fullTeams(s)
			}
			faults := randomFaults(rnd)
			s.play(faults, scenarioLength)
			if t.Failed() {
				t.Logf("faults: %s", describe(faults))
				t.Logf("again: go test ./internal/coordination -run TestRandomFaults -scenarios 1 -scenario-seed %d", seed)
			}
		})
	}
}
