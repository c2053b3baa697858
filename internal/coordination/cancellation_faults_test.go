package coordination

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	"pipitgap/internal/fake"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

var (
	cancellationScenarios = flag.Int("cancellation-scenarios", 40, "number of random scenarios with cancellations")
	cancellationSeed      = flag.Uint64("cancellation-seed", 1, "seed of the first such scenario")
)

// cancellationLeases are the lease durations of the scenarios with cancellations.
var cancellationLeases = []leaseDurations{
	defaultLeases,
	{4 * second, 22 * second, 42 * second},
	{5 * second, 28 * second, 53 * second},
	{8 * second / 10, 10 * second, 30 * second},
	{2 * second, 12 * second, 20 * second},
}

// queryBeforeAcceptance asks all controllers about a job every 100 ms until it has ended, from before it is
// accepted on. Users may ask about jobs that nobody has submitted.
func (u *simUser) queryBeforeAcceptance(duration monotime.Micros) {
	const interval = second / 10
	if u.finished || duration <= 0 {
		return
	}
	for _, node := range u.cluster.nodeNames {
		u.send(node, "GET", u.jobPath(), nil, pollTimeout, u.recordAnswer)
	}
	u.cluster.sim.After(interval, func() { u.queryBeforeAcceptance(duration - interval) })
}

// submitAndCancelSoon submits a job of long tasks and cancels it within a second.
func submitAndCancelSoon(s *scenario) {
	id, submission := s.newSubmission(withTasks(1+s.sim.Rand.IntN(3)), withCPUs(1), withSpot(true))
	s.fleet.Jobs[id] = fake.JobBehavior{Team: submission.Team, CPUs: submission.CPUs, RunTime: 300 * second}
	user := &simUser{cluster: s.cluster, id: id, body: protocol.MustMarshal(submission), eagerQueries: s.eagerQueries}
	s.users = append(s.users, user)
	if s.sim.Rand.IntN(2) == 0 {
		user.queryBeforeAcceptance(3 * second)
	}
	s.sim.After(s.randomDuration(second/2), user.submit)
	s.sim.After(second/10+s.randomDuration(second), user.cancel)
}

// cancellationFaults returns faults at random times around at: refusals and outages of the state service,
// crashes, partitions, and late messages, with cancellations within moments of the state service's faults.
func cancellationFaults(rnd *rand.Rand, at, cancelTime monotime.Micros) []fault {
	between := func(least, most monotime.Micros) monotime.Micros {
		return least + monotime.Micros(rnd.Int64N(int64(most-least)))
	}
	near := func(spread monotime.Micros) monotime.Micros { return at + between(-spread, spread) }
	controller := func() controllerPicker {
		if rnd.IntN(2) == 0 {
			return leaderController
		}
		return followerController(rnd.IntN(3))
	}
	outageAt := at + between(0, 3*second)
	var faults []fault
	sometimes := func(percent int, build func() fault) {
		if rnd.IntN(100) < percent {
			faults = append(faults, build())
		}
	}
	sometimes(60, func() fault { return storeRejectsController(near(second), controller(), between(second, 20*second)) })
	sometimes(20, func() fault { return storeRejectsController(near(second), controller(), between(second, 20*second)) })
	sometimes(80, func() fault { return storeOutage(outageAt, between(cancelTime/3, cancelTime*3/2)) })
	sometimes(50, func() fault {
		return crashController(outageAt+between(-second, second), controller(), between(second/10, 4*second))
	})
	sometimes(40, func() fault { return crashController(near(5*second), controller(), between(second/10, 20*second)) })
	sometimes(10, func() fault { return crashAllControllers(near(5*second), between(second/10, 15*second)) })
	sometimes(20, func() fault { return peerPartition(near(3*second), controller(), between(second, 60*second)) })
	sometimes(30, func() fault { return storeAndPeerPartition(near(3*second), controller(), between(second, 40*second)) })
	sometimes(20, func() fault { return processPause(near(3*second), controller(), between(second, 25*second)) })
	sometimes(50, func() fault { return lostCommitAnswers(near(3*second)-3*second, rnd.Float64(), 10*second) })
	sometimes(20, func() fault { return delayedCommits(near(3*second)-3*second, rnd.Float64()/3, 10*second) })
	sometimes(50, func() fault { return slowStoreReplies(near(3*second)-3*second, between(second/10, second), 10*second) })
	sometimes(50, func() fault { return delayedCommands(near(3*second)-3*second, rnd.Float64(), 90*second) })
	sometimes(20, func() fault { return duplicateReports(near(20*second), rnd.Float64(), 40*second) })
	sometimes(20, func() fault { return machinesHang(near(10*second), 6, between(second, 30*second)) })
	sometimes(20, func() fault { return machinesPartitioned(near(10*second), 8, between(second, 40*second)) })
	sometimes(20, func() fault { return machinesUnreachable(near(10*second), 8, between(second, 40*second)) })
	sometimes(20, func() fault { return machinesMuted(near(10*second), 8, between(second, 40*second)) })
	sometimes(20, func() fault { return zonePartition(near(10*second), between(second, 40*second)) })
	for range 3 + rnd.IntN(4) {
		hangFor := monotime.Micros(0)
		if rnd.IntN(4) == 0 {
			hangFor = between(second, 20*second)
		}
		faults = append(faults, cancelRunningJobs(outageAt+between(-3*second, second), 1+rnd.IntN(3), hangFor))
	}
	return append(faults, submitAtRate(at-2*second, second/5, 6*second, submitAndCancelSoon))
}

// earlierCancellationSeeds are seeds that once failed: one round brought two cancellations, and the kill of the
// first job's task came with the start of the second's.
var earlierCancellationSeeds = []uint64{10277, 10373}

// cancellationSeeds returns the seeds to simulate.
func cancellationSeeds() []uint64 {
	var seeds []uint64
	for i := range uint64(*cancellationScenarios) {
		seeds = append(seeds, *cancellationSeed+i)
	}
	return append(seeds, earlierCancellationSeeds...)
}

// TestCancelledTasksEndInTime simulates cancellations within moments of faults of the state service. To repeat
// a failing seed, run it with -cancellation-scenarios 1 -cancellation-seed SEED.
func TestCancelledTasksEndInTime(t *testing.T) {
	for _, seed := range cancellationSeeds() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 13))
			s := newScenario(t, seed)
			leases := cancellationLeases[rnd.IntN(len(cancellationLeases))]
			leases.apply(s)
			s.eagerQueries = rnd.IntN(2) == 0
			faults := cancellationFaults(rnd, 60*second, leases.cancelTime)
			faults = append(faults, cancellationFaults(rnd, 160*second, leases.cancelTime)...)
			s.runFaults(faults, 250*second)
			if t.Failed() {
				t.Logf("leases %+v, faults: %s", leases, describeFaults(faults))
			}
		})
	}
}
