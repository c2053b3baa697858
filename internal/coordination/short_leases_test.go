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

// shortLeases are the durations of a platform with frequent heartbeats. Its controllers take nearly as long
// to restart as a worker lease lasts, see slowRestartDowntime.
var shortLeases = leaseDurations{
	heartbeatInterval: 8 * second / 10,
	leaseTime:         10 * second,
	cancelTime:        30 * second,
}

// slowRestartDowntime is the time from a controller's crash to its restart. It is slightly shorter than the
// worker lease of shortLeases.
const slowRestartDowntime = 8 * second

// newShortLeaseScenario returns a scenario with two zones, three controllers, short leases and a state
// service that allows only 40 changes per second.
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

// submitWholeMachineJobs submits four arrays whose tasks each fill a whole m16 machine. Most tests run them
// beside the many small tasks of submitSmallUrgentArray.
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

// submitSmallUrgentArray submits an urgent array of small tasks. If a few of these arrive per second, every
// scheduling pass writes every shard.
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

// expiredLeases counts the worker leases that have expired on the machines that are up.
func (s *scenario) expiredLeases() int {
	expired := 0
	for _, worker := range s.fleet.Workers {
		if !worker.Machine.Gone {
			expired += int(worker.Incarnation) - 1
		}
	}
	return expired
}

// crashAllExcept returns a fault that crashes all controllers except one, which then takes over all machines.
func crashAllExcept(survivor string, at, duration monotime.Micros) fault {
	return fault{at, "all but one crash", func(s *scenario) {
		for _, node := range s.nodeNames {
			if node != survivor {
				crashController(0, func(*scenario) string { return node }, duration).inject(s)
			}
		}
	}}
}

// TestSlowRestartsExpireNoAdoptableLeases: controllers crash and restart only shortly before their workers'
// leases expire. The workers contact a remaining controller once, and have no time for a second attempt. A
// controller that adopted them only after the memberships of the crashed controllers had ended let most
// leases expire. If all controllers crash, leases may expire before one of them is back, but no task runs
// twice.
func TestSlowRestartsExpireNoAdoptableLeases(t *testing.T) {
	for _, tc := range []struct {
		name       string
		faults     []fault
		maxExpired float64 // maximum number of expired leases per machine
	}{
		{"one", []fault{crashController(60*second, leaderController, slowRestartDowntime)}, 0.05},
		{"all but one", []fault{crashAllExcept("n-1", 60*second, slowRestartDowntime)}, 0.05},
		{"one after the other", []fault{
			crashController(60*second, followerController(1), slowRestartDowntime),
			crashController(70*second, leaderController, slowRestartDowntime),
			crashController(80*second, followerController(1), slowRestartDowntime),
		}, 0.05},
		{"all", []fault{crashAllControllers(60*second, slowRestartDowntime)}, 1},
		{"all, during an outage", []fault{
			storeOutage(55*second, 15*second),
			crashAllControllers(60*second, slowRestartDowntime),
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
					t.Errorf(
						"seed %d: got %d expired leases on %d machines, want at most %.2f per machine on at least 20",
						seed,
						expired,
						machines,
						tc.maxExpired,
					)
				}
				s.sim.Run(60 * second)
				s.requireNoViolations()
			}
		})
	}
}

// maxMachinesOfOneController returns the largest number of machines that any controller owns.
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

// TestZonePartitionExpiresNoLeases: a network partition between the zones lets no worker lease expire,
// whichever controller owns the machines. Leases once expired when one controller owned all machines after a
// crash of the others. The workers in the other zone sent heartbeats to a controller there 5 s after the
// start of the partition. That controller waited for a second heartbeat, which would have arrived after the
// lease expired. Then it tried to take over all machines in one commit, which conflicted with the owner's
// writes.
func TestZonePartitionExpiresNoLeases(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults []fault
	}{
		{"machines of all controllers", nil},
		{"machines of one controller", []fault{crashAllExcept("n-1", 60*second, slowRestartDowntime)}},
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
						"seed %d: the controller with the most machines owns %d of %d, want at least two thirds",
						seed,
						mostMachines,
						len(s.pickMachines(1000)),
					)
				}
				expiredBefore, machines := s.expiredLeases(), len(s.pickMachines(1000))
				s.sim.Run(40 * second)
				if expired := s.expiredLeases() - expiredBefore; expired > machines/20 || machines < 20 {
					t.Errorf(
						"seed %d: got %d expired leases on %d machines, want at most %d on at least 20",
						seed,
						expired,
						machines,
						machines/20,
					)
				}
				s.sim.Run(60 * second)
				s.requireNoViolations()
			}
		})
	}
}

// TestTakeoverSucceedsDespiteBusyShard: a controller takes over machines whose owner is cut off from them,
// even if the owner constantly writes one of its shards: the machines of its other shards are taken over. A
// commit that took over machines from several shards conflicted on the busy shard until the leases had
// expired.
func TestTakeoverSucceedsDespiteBusyShard(t *testing.T) {
	s := newShortLeaseScenario(t, 5200)
	leases := s.adjustFacts
	s.adjustFacts = func(cfg *config.Config) {
		leases(cfg)
		cfg.Facts.State.ValueKB = 1 // so that a shard holds only a few machines
	}
	s.start(s.nodeNames...)
	s.sim.Run(3 * second)
	s.submitWholeMachineJobs()
	s.sim.Run(50 * second)
	perShard := map[string]int{} // machines of n-1 in zone a, from which the partition separates it
	mirror := s.nodes["n-0"].controller.mirror
	for _, machine := range mirror.Machines {
		if machine.Record != nil && machine.Owner() == "n-1" && machine.Record.Zone == "a" {
			perShard[machine.Shard.Name]++
		}
	}
	names := sortedmap.Keys(perShard)
	if len(names) < 2 {
		t.Fatalf("got %d shards with machines of n-1 in zone a, want at least 2", len(names))
	}
	busyShardKey := storage.Key(storage.KindShard, names[0])
	s.store.DelayCommit = func(txn *protocol.Transaction) monotime.Micros {
		for _, compare := range txn.If {
			if compare.Key == busyShardKey {
				s.store.Rewrite(busyShardKey)
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
			t.Errorf("shard %s: got %d of %d machines not taken over, want 0", name, remaining[name], perShard[name])
		}
	}
	s.requireNoViolations()
}
