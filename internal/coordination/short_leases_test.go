package coordination

import (
	"testing"

	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/config"
	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
	"pipitgap/internal/standin"
)

// shortLeases are those of a platform that reports often, and whose controllers take
// nearly as long to be back as a lease lasts.
var shortLeases = leaseSettings{report: 8 * sec / 10, lease: 10 * sec, cancel: 30 * sec}

const slowRestart = 8 * sec

// newShortLeaseScenario is a cluster of two zones and three controllers with short leases
// and few changes a second.
func newShortLeaseScenario(t testing.TB, seed uint64) *scenario {
	s := newScenario(t, seed)
	shortLeases.apply(s)
	leases := s.facts
	s.facts = func(cfg *config.Config) {
		leases(cfg)
		st := &cfg.Facts.State
		st.RPS, st.WriteRPS, st.ValueKB, st.TxnOps = 200, 40, 16, 32
	}
	s.store = standin.NewStore(s.sim, 200, 40, 32)
	s.cutSeen = map[string]bool{}
	s.refuse = true
	for offer := range s.cloud.Capacity {
		s.cloud.Capacity[offer] = 20
	}
	return s
}

// wholeMachineJobs are arrays of tasks that fill a machine each, beside many small ones.
func (s *scenario) wholeMachineJobs() {
	for range 4 {
		s.add(300*sec, withTasks(8), withCPUs(16), withMemoryGB(53), withSpot(true), withEstimateS(300),
			withCheckpointS(15), withSaveS(4))
	}
}

// smallJob is an urgent array of small tasks: with a few of them a second every shard is
// written in every pass.
func smallJob(s *scenario) {
	s.add(4*sec+s.jitter(8*sec), withTasks(12), withCPUs(2), withSpot(true), withPriority(protocol.High),
		withEstimateS(8), withDeadlineS(40))
}

// endedLeases counts how often a lease has ended on machines that are up.
func (s *scenario) endedLeases() int {
	ended := 0
	for _, w := range s.fleet.Workers {
		if !w.Machine.Gone {
			ended += int(w.Session) - 1
		}
	}
	return ended
}

// crashAllBut ends all controllers but one, which then has all machines.
func crashAllBut(stays string, at, d micros.T) fault {
	return fault{at, "all but one crash", func(s *scenario) {
		for _, node := range s.names {
			if node != stays {
				crash(0, func(*scenario) string { return node }, d).begin(s)
			}
		}
	}}
}

// TestSlowRestarts: controllers that end and are back only when the leases are about to
// end. Their workers reach one that is left once, and not again in time: it waited for the
// memberships to end, and most leases ended with them. Where all have ended, leases may
// end before anybody is back, but nothing runs twice.
func TestSlowRestarts(t *testing.T) {
	for _, tc := range []struct {
		name      string
		faults    []fault
		mostEnded float64 // part of the machines
	}{
		{"one", []fault{crash(60*sec, leader, slowRestart)}, 0.05},
		{"all but one", []fault{crashAllBut("n-1", 60*sec, slowRestart)}, 0.05},
		{"one after the other", []fault{crash(60*sec, following(1), slowRestart), crash(70*sec, leader, slowRestart), crash(80*sec, following(1), slowRestart)}, 0.05},
		{"all", []fault{crashAll(60*sec, slowRestart)}, 1},
		{"all, in an outage", []fault{outage(55*sec, 15*sec), crashAll(60*sec, slowRestart)}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(3) {
				s := newShortLeaseScenario(t, 5400+seed)
				s.refuse, s.downSeen = false, map[string]bool{}
				s.start(s.names...)
				s.sim.Run(3 * sec)
				s.wholeMachineJobs()
				for _, f := range append(tc.faults, submissions(20*sec, sec, 100*sec, smallJob)) {
					s.sim.After(f.at-s.sim.Now(), func() { f.begin(s) })
				}
				s.sim.Run(58*sec - s.sim.Now())
				before, machines := s.endedLeases(), len(s.machines(1000))
				s.sim.Run(45 * sec)
				if ended := s.endedLeases() - before; float64(ended) > tc.mostEnded*float64(machines) || machines < 20 {
					t.Errorf("seed %d: %d leases of %d machines ended", seed, ended, machines)
				}
				s.sim.Run(60 * sec)
				s.rules()
			}
		})
	}
}

// mostAtOne is how many machines the controller with most of them has.
func (s *scenario) mostAtOne() int {
	most, count := 0, map[string]int{}
	for _, m := range s.leader().core.view.machines {
		if m.rec != nil {
			count[m.owner()]++
			most = max(most, count[m.owner()])
		}
	}
	return most
}

// TestZonesApart: a cut between the zones ends no lease, whoever has the machines. After a
// crash of the others one controller had them all; those in the other zone went to a
// controller there 5 s after the cut, which waited for a second visit that would have come
// after the lease, and then tried to take them all from its shards by one commit, which
// collided with its writes each time.
func TestZonesApart(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults []fault
	}{
		{"machines at all controllers", nil},
		{"machines at one controller", []fault{crashAllBut("n-1", 60*sec, slowRestart)}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(3) {
				s := newShortLeaseScenario(t, 5100+seed)
				s.start(s.names...)
				s.sim.Run(3 * sec)
				s.wholeMachineJobs()
				for _, f := range append(tc.faults, submissions(20*sec, sec, 120*sec, smallJob), zoneCut(90*sec, 20*sec)) {
					s.sim.After(f.at-s.sim.Now(), func() { f.begin(s) })
				}
				s.sim.Run(85*sec - s.sim.Now())
				if most := s.mostAtOne(); len(tc.faults) > 0 && 3*most < 2*len(s.machines(1000)) {
					t.Fatalf("seed %d: no controller has more than %d of %d machines", seed, most, len(s.machines(1000)))
				}
				before, machines := s.endedLeases(), len(s.machines(1000))
				s.sim.Run(40 * sec)
				if ended := s.endedLeases() - before; ended > machines/20 || machines < 20 {
					t.Errorf("seed %d: %d leases of %d machines ended", seed, ended, machines)
				}
				s.sim.Run(60 * sec)
				s.rules()
			}
		})
	}
}

// TestAdoptionBesideBusyShard: machines whose owner is cut off from them are taken from its
// other shards though it writes one of them all the time. A commit that takes from several
// shards at once collided with the busy one until the leases had ended.
func TestAdoptionBesideBusyShard(t *testing.T) {
	s := newShortLeaseScenario(t, 5200)
	leases := s.facts
	s.facts = func(cfg *config.Config) {
		leases(cfg)
		cfg.Facts.State.ValueKB = 1 // a few machines a shard
	}
	s.start(s.names...)
	s.sim.Run(3 * sec)
	s.wholeMachineJobs()
	s.sim.Run(50 * sec)
	perShard := map[string]int{} // machines of n-1 in the zone that it will lose
	view := s.nodes["n-0"].core.view
	for _, m := range view.machines {
		if m.rec != nil && m.owner() == "n-1" && m.rec.Zone == "a" {
			perShard[m.shard.name]++
		}
	}
	names := sortedKeys(perShard)
	if len(names) < 2 {
		t.Fatalf("the machines of n-1 in the zone stand in %d shards", len(names))
	}
	busy := bookkeeping.Key(bookkeeping.KindShard, names[0])
	s.store.Delay = func(txn *protocol.Txn) micros.T {
		for _, cond := range txn.If {
			if cond.Key == busy {
				s.store.Rewrite(busy)
			}
		}
		return 0
	}
	s.split = true
	s.sim.Run(9 * sec)
	left := map[string]int{}
	for _, m := range view.machines {
		if m.rec != nil && m.owner() == "n-1" && m.rec.Zone == "a" {
			left[m.shard.name]++
		}
	}
	for _, name := range names[1:] {
		if left[name] > 0 {
			t.Errorf("%d of %d machines of %s have not been adopted", left[name], perShard[name], name)
		}
	}
	s.rules()
}

// TestAdoptionNarrows: after a conflict a commit takes machines over from half as many
// shards, after success from twice as many again.
func TestAdoptionNarrows(t *testing.T) {
	core := newShortLeaseScenario(t, 5300).steady().nodes["n-0"].core
	const ok, conflict = protocol.OK, protocol.Conflict
	for i, step := range []struct {
		outcome protocol.Outcome
		want    int
	}{{ok, 4}, {conflict, 2}, {conflict, 1}, {conflict, 1}, {protocol.Unknown, 1}, {ok, 2}, {ok, 4}, {ok, 4}} {
		core.adoption.note(protocol.StoreResult{Outcome: step.outcome})
		if core.adoption.sources != step.want {
			t.Errorf("step %d: from %d shards, want %d", i, core.adoption.sources, step.want)
		}
	}
}
