package coordination

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	"pipitgap/internal/monotime"
)

var (
	scenarioCount = flag.Int("scenarios", 40, "number of random scenarios to simulate")
	scenarioSeed  = flag.Uint64("scenario-seed", 1, "seed of the first random scenario")
)

const (
	lastFaultAt    = 130 * second // random times are earlier; a fault that follows another within seconds may start later
	scenarioLength = 185 * second // all faults have ended by this time
)

// randomFaults returns a random combination of faults: two to five faults of any kind, many of them within
// seconds of each other; in half of the calls a cancellation of a team's jobs that is followed by a crash;
// and two to four cancellations of running jobs within seconds of the other faults.
func randomFaults(rnd *rand.Rand) []fault {
	between := func(least, most monotime.Micros) monotime.Micros {
		return least + monotime.Micros(rnd.Int64N(int64(most-least)))
	}
	controller := func() controllerPicker {
		if rnd.IntN(2) == 0 {
			return leaderController
		}
		return followerController(rnd.IntN(3))
	}
	constructors := []func(at monotime.Micros) fault{
		func(at monotime.Micros) fault {
			return storeRejectsController(at, controller(), between(second, 40*second))
		},
		func(at monotime.Micros) fault { return storeOutage(at, between(second, 45*second)) },
		func(at monotime.Micros) fault {
			return crashController(at, controller(), between(second/10, 20*second))
		},
		func(at monotime.Micros) fault { return crashAllControllers(at, between(second/2, 25*second)) },
		func(at monotime.Micros) fault { return peerPartition(at, controller(), between(second, 40*second)) },
		func(at monotime.Micros) fault {
			return storeAndPeerPartition(at, controller(), between(second, 40*second))
		},
		func(at monotime.Micros) fault { return processPause(at, controller(), between(second, 25*second)) },
		func(at monotime.Micros) fault { return machinesHang(at, 1+rnd.IntN(6), between(second, 30*second)) },
		func(at monotime.Micros) fault {
			return machinesPartitioned(at, 1+rnd.IntN(8), between(second, 40*second))
		},
		func(at monotime.Micros) fault {
			return machinesUnreachable(at, 1+rnd.IntN(8), between(second, 40*second))
		},
		func(at monotime.Micros) fault { return machinesMuted(at, 1+rnd.IntN(8), between(second, 40*second)) },
		func(at monotime.Micros) fault {
			return delayedCommits(at, rnd.Float64()/3, between(5*second, 50*second))
		},
		func(at monotime.Micros) fault {
			return lostCommitAnswers(at, rnd.Float64()/2, between(5*second, 50*second))
		},
		func(at monotime.Micros) fault {
			return delayedCommands(at, rnd.Float64(), between(5*second, 50*second))
		},
		func(at monotime.Micros) fault {
			return duplicateReports(at, rnd.Float64(), between(5*second, 50*second))
		},
		func(at monotime.Micros) fault { return duplicateReportsToNextLeader(at, rnd.Float64(), 60*second) },
		func(at monotime.Micros) fault {
			return slowStoreReplies(at, between(second/10, 3*second), between(5*second, 50*second))
		},
		func(at monotime.Micros) fault { return zonePartition(at, between(second, 45*second)) },
		func(at monotime.Micros) fault { return machinesVanish(at, 1+rnd.IntN(4)) },
		func(at monotime.Micros) fault {
			return submitAtRate(at, second, between(10*second, 50*second), submitSingleTask)
		},
	}
	var faults []fault
	at := between(firstFaultAt, lastFaultAt)
	for range 2 + rnd.IntN(4) {
		faults = append(faults, constructors[rnd.IntN(len(constructors))](at))
		if at += between(0, 6*second); rnd.IntN(4) == 0 {
			at = between(firstFaultAt, lastFaultAt)
		}
	}
	if rnd.IntN(2) == 0 {
		at := between(firstFaultAt, lastFaultAt)
		faults = append(
			faults,
			cancelTeamJobs(at, "tight", 1+rnd.IntN(3), between(second, 20*second)),
			crashController(at+between(0, 3*second), controller(), between(second/10, 5*second)),
		)
	}
	for range 2 + rnd.IntN(3) {
		nearbyFaultAt := faults[rnd.IntN(len(faults))].at
		hangFor := monotime.Micros(0)
		if rnd.IntN(3) == 0 {
			hangFor = between(second, 15*second)
		}
		faults = append(
			faults,
			cancelRunningJobs(
				max(firstFaultAt, nearbyFaultAt+between(-2*second, 5*second)),
				1+rnd.IntN(4),
				hangFor,
			),
		)
	}
	return faults
}

// TestRandomFaultsKeepInvariants simulates random combinations of faults. To repeat a failing seed, run it
// with -run TestRandomFaultsKeepInvariants -scenarios 1 -scenario-seed SEED.
func TestRandomFaultsKeepInvariants(t *testing.T) {
	leases := []leaseDurations{
		defaultLeases,
		{4 * second, 22 * second, 42 * second},
		{5 * second, 28 * second, 53 * second},
		{8 * second / 10, 10 * second, 30 * second},
	}
	for i := range uint64(*scenarioCount) {
		seed := *scenarioSeed + i
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 11))
			s := newScenario(t, seed)
			leases[rnd.IntN(len(leases))].apply(s)
			s.eagerQueries = rnd.IntN(2) == 0
			if rnd.IntN(2) == 0 {
				fillTeamLimits(s)
			}
			faults := randomFaults(rnd)
			s.runFaults(faults, scenarioLength)
			if t.Failed() {
				t.Logf("faults: %s", describeFaults(faults))
				t.Logf(
					"to repeat: go test ./internal/coordination -run %s -scenarios 1 -scenario-seed %d",
					"TestRandomFaultsKeepInvariants",
					seed,
				)
			}
		})
	}
}
