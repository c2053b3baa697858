package coordination

import (
	"testing"

	"pipitgap/internal/config"
	"pipitgap/internal/fake"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// shortLeases are those of a platform with frequent heartbeats, whose controllers take nearly as long to
// restart as a lease lasts.
var shortLeases = leaseDurations{
	heartbeatInterval: 8 * second / 10,
	leaseTime:         10 * second,
	cancelTime:        30 * second,
}

const slowRestartDelay = 8 * second

// newShortLeaseScenario is a cluster of two zones and three controllers with short leases
// and few changes a second.
func newShortLeaseScenario(t testing.TB, seed uint64) *scenario {
	s := newScenario(t, seed)
	shortLeases.apply(s)
	leases := s.adjustFacts
	s.adjustFacts = func(cfg *config.Config) {
		leases(cfg)
		state := &cfg.Facts.State
		state.RPS, state.WriteRPS, state.ValueKB, state.TxnOps = 200, 40, 16, 32
	}
	s.store = fake.NewStateStore(s.sim, 200, 40, 32)
	s.disconnectionSeen = map[string]bool{}
	s.refuseConnections = true
	for offer := range s.cloud.Capacity {
		s.cloud.Capacity[offer] = 20
	}
	return s
}

// submitWholeMachineJobs are arrays of tasks that fill a machine each, beside many small ones.
func (s *scenario) submitWholeMachineJobs() {
	for range 4 {
		s.addUser(
			300*second,
			withTasks(8),
			withCPUs(16),
			withMemoryGB(53),
			withSpot(true),
			withEstimateS(300),
			withCheckpointS(15),
			withSaveS(4),
		)
	}
}

// submitSmallUrgentArray is an urgent array of small tasks: with a few of them a second every shard is
// written in every pass.
func submitSmallUrgentArray(s *scenario) {
	s.addUser(
		4*second+s.randomDuration(8*second),
		withTasks(12),
		withCPUs(2),
		withSpot(true),
		withPriority(protocol.High),
		withEstimateS(8),
		withDeadlineS(40),
	)
}

// expiredLeases counts how often leases have ended on machines that are up.
func (s *scenario) expiredLeases() int {
	expired := 0
	for _, worker := range s.fleet.Workers {
		if !worker.Machine.Gone {
			expired += int(worker.Incarnation) - 1
		}
	}
	return expired
}

// crashAllExcept crashes all controllers but one, which then takes over all machines.
func crashAllExcept(survivor string, at, duration monotime.Micros) fault {
	return fault{at, "all but one crash", func(s *scenario) {
		for _, node := range s.nodeNames {
			if node != survivor {
				crashController(0, func(*scenario) string { return node }, duration).inject(s)
			}
		}
	}}
}

// TestSlowRestartsExpireNoAdoptableLeases: controllers crash and are back only when their workers' leases are
// about to end. The workers reach a controller that is left once, and not again in time: it waited until the
// memberships of the others had ended, and most leases ended with them. Where all controllers have crashed,
// leases may end before any is back, but nothing runs twice.
func TestSlowRestartsExpireNoAdoptableLeases(t *testing.T) {
	for _, tc := range []struct {
		name       string
		faults     []fault
		maxExpired float64 // fraction of the machines' leases that may end
	}{
		{"one", []fault{crashController(60*second, leaderController, slowRestartDelay)}, 0.05},
		{"all but one", []fault{crashAllExcept("n-1", 60*second, slowRestartDelay)}, 0.05},
		{"one after the other", []fault{
			crashController(60*second, followerController(1), slowRestartDelay),
			crashController(70*second, leaderController, slowRestartDelay),
			crashController(80*second, followerController(1), slowRestartDelay),
		}, 0.05},
		{"all", []fault{crashAllControllers(60*second, slowRestartDelay)}, 1},
		{"all, in an outage", []fault{
			storeOutage(55*second, 15*second),
			crashAllControllers(60*second, slowRestartDelay),
		}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(3) {
				s := newShortLeaseScenario(t, 5400+seed)
				s.refuseConnections, s.connectionReset = false, map[string]bool{}
				s.start(s.nodeNames...)
				s.sim.Run(3 * second)
				s.submitWholeMachineJobs()
				s.scheduleFaults(tc.faults...)
				s.scheduleFaults(submitAtRate(20*second, second, 100*second, submitSmallUrgentArray))
				s.sim.Run(58*second - s.sim.Now())
				expiredBefore, machines := s.expiredLeases(), len(s.pickMachines(1000))
				s.sim.Run(45 * second)
				if expired := s.expiredLeases() - expiredBefore; float64(expired) >
					tc.maxExpired*float64(machines) || machines < 20 {
					t.Errorf("seed %d: %d leases of %d machines ended", seed, expired, machines)
				}
				s.sim.Run(60 * second)
				s.requireNoViolations()
			}
		})
	}
}

// maxMachinesOfOneController is how many machines the controller with most of them has.
func (s *scenario) maxMachinesOfOneController() int {
	most, machinesByOwner := 0, map[string]int{}
	for _, machine := range s.leaderNode().controller.mirror.Machines {
		if machine.Record != nil {
			machinesByOwner[machine.Owner()]++
			most = max(most, machinesByOwner[machine.Owner()])
		}
	}
	return most
}

// TestZonePartitionExpiresNoLeases: a partition between the zones ends no lease, whichever controller owns
// the machines. After a crash of the others one controller owned them all; workers in the other zone reported
// to a controller there 5 s after the partition, which waited for a second heartbeat that would have come
// after the lease, and then tried to take them all over in one commit, which conflicted with the owner's
// writes.
func TestZonePartitionExpiresNoLeases(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults []fault
	}{
		{"machines at all controllers", nil},
		{"machines at one controller", []fault{crashAllExcept("n-1", 60*second, slowRestartDelay)}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(3) {
				s := newShortLeaseScenario(t, 5100+seed)
				s.start(s.nodeNames...)
				s.sim.Run(3 * second)
				s.submitWholeMachineJobs()
				s.scheduleFaults(tc.faults...)
				s.scheduleFaults(
					submitAtRate(20*second, second, 120*second, submitSmallUrgentArray),
					zonePartition(90*second, 20*second),
				)
				s.sim.Run(85*second - s.sim.Now())
				if mostMachines := s.maxMachinesOfOneController(); len(tc.faults) > 0 &&
					3*mostMachines < 2*len(s.pickMachines(1000)) {
					t.Fatalf(
						"seed %d: no controller has more than %d of %d machines",
						seed,
						mostMachines,
						len(s.pickMachines(1000)),
					)
				}
				expiredBefore, machines := s.expiredLeases(), len(s.pickMachines(1000))
				s.sim.Run(40 * second)
				if expired := s.expiredLeases() - expiredBefore; expired > machines/20 || machines < 20 {
					t.Errorf("seed %d: %d leases of %d machines ended", seed, expired, machines)
				}
				s.sim.Run(60 * second)
				s.requireNoViolations()
			}
		})
	}
}

// TestTakeoverSucceedsBesideBusyShard: machines whose owner is cut off from them are taken over from its
// other shards though it writes one of them all the time. A commit that takes over from several shards at
// once conflicted on the busy one until the leases had ended.
func TestTakeoverSucceedsBesideBusyShard(t *testing.T) {
	s := newShortLeaseScenario(t, 5200)
	leases := s.adjustFacts
	s.adjustFacts = func(cfg *config.Config) {
		leases(cfg)
		cfg.Facts.State.ValueKB = 1 // a few machines a shard
	}
	s.start(s.nodeNames...)
	s.sim.Run(3 * second)
	s.submitWholeMachineJobs()
	s.sim.Run(50 * second)
	perShard := map[string]int{} // machines of n-1 in the zone that it will lose
	mirror := s.nodes["n-0"].controller.mirror
	for _, machine := range mirror.Machines {
		if machine.Record != nil && machine.Owner() == "n-1" && machine.Record.Zone == "a" {
			perShard[machine.Shard.Name]++
		}
	}
	names := sortedmap.Keys(perShard)
	if len(names) < 2 {
		t.Fatalf("the machines of n-1 in the zone stand in %d shards", len(names))
	}
	busy := storage.Key(storage.KindShard, names[0])
	s.store.DelayCommit = func(txn *protocol.Transaction) monotime.Micros {
		for _, compare := range txn.If {
			if compare.Key == busy {
				s.store.Rewrite(busy)
			}
		}
		return 0
	}
	s.zonesPartitioned = true
	s.sim.Run(9 * second)
	remaining := map[string]int{}
	for _, machine := range mirror.Machines {
		if machine.Record != nil && machine.Owner() == "n-1" && machine.Record.Zone == "a" {
			remaining[machine.Shard.Name]++
		}
	}
	for _, name := range names[1:] {
		if remaining[name] > 0 {
			t.Errorf("%d of %d machines of %s have not been adopted", remaining[name], perShard[name], name)
		}
	}
	s.requireNoViolations()
}
