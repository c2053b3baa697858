package coordination

import (
	"pipitgap/internal/fake"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// fault is injected at a time of the scenario, counted from its start.
type fault struct {
	at     monotime.Micros
	name   string
	inject func(s *scenario)
}

// controllerPicker picks a controller when a fault begins.
type controllerPicker func(s *scenario) string

func leaderController(s *scenario) string { return s.leaderName() }

// followerController picks a controller that doesn't lead.
func followerController(n int) controllerPicker {
	return func(s *scenario) string {
		lead := leaderController(s)
		for i := range s.nodeNames {
			if name := s.nodeNames[(i+n)%len(s.nodeNames)]; name != lead {
				return name
			}
		}
		return lead
	}
}

// storeRejectsController has the state service reject the calls of one controller alone.
func storeRejectsController(at monotime.Micros, of controllerPicker, duration monotime.Micros) fault {
	return fault{at, "refusal", func(s *scenario) {
		node := of(s)
		s.store.RefusedCallers[node] = true
		s.sim.After(duration, func() { delete(s.store.RefusedCallers, node) })
	}}
}

// storeOutage has the state service reject all calls.
func storeOutage(at, duration monotime.Micros) fault {
	return fault{at, "outage", func(s *scenario) { s.store.Outage(duration) }}
}

// crashController crashes a controller and restarts it after the duration.
func crashController(at monotime.Micros, of controllerPicker, duration monotime.Micros) fault {
	return fault{at, "crash", func(s *scenario) {
		node := of(s)
		if s.nodes[node].controller == nil {
			return
		}
		s.restart(node, duration)
	}}
}

// crashAllControllers crashes all controllers at once and restarts them after the duration.
func crashAllControllers(at, duration monotime.Micros) fault {
	return fault{at, "all crash", func(s *scenario) {
		for _, node := range s.nodeNames {
			s.restart(node, duration)
		}
	}}
}

// peerPartition cuts a controller off from its peers.
func peerPartition(at monotime.Micros, of controllerPicker, duration monotime.Micros) fault {
	return fault{at, "cut from peers", func(s *scenario) {
		node := of(s)
		for _, other := range s.nodeNames {
			s.disconnectedPairs[node+"-"+other] = true
		}
		s.sim.After(duration, func() {
			for _, other := range s.nodeNames {
				delete(s.disconnectedPairs, node+"-"+other)
			}
		})
	}}
}

// storeAndPeerPartition cuts a controller off from the state service and its peers, but neither from
// its workers nor from its users.
func storeAndPeerPartition(at monotime.Micros, of controllerPicker, duration monotime.Micros) fault {
	return fault{at, "cut from state and peers", func(s *scenario) {
		node := of(s)
		storeRejectsController(0, func(*scenario) string { return node }, duration).inject(s)
		peerPartition(0, func(*scenario) string { return node }, duration).inject(s)
	}}
}

// processPause suspends a controller's process while its clocks run on.
func processPause(at monotime.Micros, of controllerPicker, duration monotime.Micros) fault {
	return fault{at, "process paused", func(s *scenario) { s.cluster.pause(of(s), duration) }}
}

// pickMachines picks up to n machines that are up, at random.
func (s *scenario) pickMachines(n int) []*fake.Worker {
	var up []*fake.Worker
	for _, id := range sortedmap.Keys(s.fleet.Workers) {
		if worker := s.fleet.Workers[id]; !worker.Machine.Gone {
			up = append(up, worker)
		}
	}
	s.sim.Rand.Shuffle(len(up), func(a, b int) { up[a], up[b] = up[b], up[a] })
	return up[:min(n, len(up))]
}

// machinesHang suspends machines, which resume afterwards.
func machinesHang(at monotime.Micros, n int, duration monotime.Micros) fault {
	return fault{at, "machines hang", func(s *scenario) {
		for _, worker := range s.pickMachines(n) {
			worker.Pause(duration)
		}
	}}
}

// machinesPartitioned cuts machines off from all controllers.
func machinesPartitioned(at monotime.Micros, n int, duration monotime.Micros) fault {
	return fault{at, "machines are cut off", func(s *scenario) {
		for _, worker := range s.pickMachines(n) {
			worker.Partitioned = true
			s.sim.After(duration, func() { worker.Partitioned = false })
		}
	}}
}

// machinesUnreachable lets heartbeats of machines through, but no command reaches them.
func machinesUnreachable(at monotime.Micros, n int, duration monotime.Micros) fault {
	return fault{at, "machines unreachable", func(s *scenario) {
		for _, worker := range s.pickMachines(n) {
			s.unreachableMachines[worker.Machine.ID] = true
			s.sim.After(duration, func() { delete(s.unreachableMachines, worker.Machine.ID) })
		}
	}}
}

// machinesMuted lets commands reach machines, but loses their heartbeats.
func machinesMuted(at monotime.Micros, n int, duration monotime.Micros) fault {
	return fault{at, "heartbeats lost", func(s *scenario) {
		for _, worker := range s.pickMachines(n) {
			s.mutedMachines[worker.Machine.ID] = true
			s.sim.After(duration, func() { delete(s.mutedMachines, worker.Machine.ID) })
		}
	}}
}

// delayedCommits has a fraction of the commits get no answer and take effect late.
func delayedCommits(at monotime.Micros, fraction float64, duration monotime.Micros) fault {
	return fault{at, "late writes", func(s *scenario) {
		s.store.DelayCommit = func(*protocol.Transaction) monotime.Micros {
			if s.sim.Rand.Float64() < fraction {
				return 2*second + s.randomDuration(10*second)
			}
			return 0
		}
		s.sim.After(duration, func() { s.store.DelayCommit = nil })
	}}
}

// changesQuotaShares tells whether a commit changes, or drops, a controller's quota shares and
// nothing else.
func changesQuotaShares(txn *protocol.Transaction, drops bool) bool {
	if len(txn.Then) != 1 || (txn.Then[0].Delete != "") != drops {
		return false
	}
	kind, _, _ := storage.SplitKey(txn.Then[0].Put + txn.Then[0].Delete)
	return kind == storage.KindPartition
}

// delayedQuotaWrites has every second change of quota shares, by itself, get no answer and be
// committed late.
func delayedQuotaWrites(at, duration monotime.Micros) fault {
	return fault{at, "late quota shares", func(s *scenario) {
		s.store.DelayCommit = func(txn *protocol.Transaction) monotime.Micros {
			if changesQuotaShares(txn, false) && s.sim.Rand.IntN(2) == 0 {
				return 3*second + s.randomDuration(9*second)
			}
			return 0
		}
		s.sim.After(duration, func() { s.store.DelayCommit = nil })
	}}
}

// lostCommitAnswers has a fraction of the commits take effect at once, their answers lost.
func lostCommitAnswers(at monotime.Micros, fraction float64, duration monotime.Micros) fault {
	return fault{at, "lost answers", func(s *scenario) {
		s.store.LoseResponse = func(*protocol.Transaction) bool { return s.sim.Rand.Float64() < fraction }
		s.sim.After(duration, func() { s.store.LoseResponse = nil })
	}}
}

// delayedCommands delays a fraction of the direct commands.
func delayedCommands(at monotime.Micros, fraction float64, duration monotime.Micros) fault {
	return fault{at, "late commands", func(s *scenario) {
		s.commandDelay = func(_ *fake.Worker, request *protocol.CommandRequest) monotime.Micros {
			if request != nil && s.sim.Rand.Float64() < fraction {
				return 2*second + s.randomDuration(14*second)
			}
			return 0
		}
		s.sim.After(duration, func() { s.commandDelay = nil })
	}}
}

// duplicateReports delivers copies of a fraction of the heartbeats again, later, to every controller.
func duplicateReports(at monotime.Micros, fraction float64, duration monotime.Micros) fault {
	return fault{at, "late reports", func(s *scenario) {
		s.onReport = func(_ *fake.Worker, _ string, body []byte) {
			if s.sim.Rand.Float64() < fraction {
				s.sim.After(2*second+s.randomDuration(25*second), func() { s.deliverDuplicateReport(body) })
			}
		}
		s.sim.After(duration, func() { s.onReport = nil })
	}}
}

// duplicateReportsToNextLeader keeps copies of a fraction of the heartbeats until another controller
// leads, and then delivers them to every controller.
func duplicateReportsToNextLeader(at monotime.Micros, fraction float64, duration monotime.Micros) fault {
	return fault{at, "reports for the next leader", func(s *scenario) {
		var kept [][]byte
		s.onReport = func(_ *fake.Worker, _ string, body []byte) {
			if s.sim.Rand.Float64() < fraction {
				kept = append(kept, body)
			}
		}
		before := leaderController(s)
		s.pollFor(duration, func() bool { l := s.leaderNode(); return l != nil && l.name != before }, func() {
			s.onReport = nil
			for _, body := range kept {
				s.deliverDuplicateReport(body)
			}
		})
	}}
}

// cancelRunningJobs has the users of n running jobs cancel them; with hangFor a machine of each hangs.
func cancelRunningJobs(at monotime.Micros, n int, hangFor monotime.Micros) fault {
	return fault{at, "cancellations", func(s *scenario) {
		left := n
		for _, u := range s.users {
			if left > 0 && u.accepted && !u.finished && !u.cancelling && s.checker.LiveAttempts(u.id) > 0 {
				left--
				if hangFor > 0 {
					s.hangMachineOf(u.id, hangFor)
				}
				s.sim.After(s.randomDuration(second/5), u.cancel)
			}
		}
	}}
}

// cancelTeamJobs has users of a team cancel n running jobs; with hangFor all their machines hang.
func cancelTeamJobs(at monotime.Micros, team string, n int, hangFor monotime.Micros) fault {
	return fault{at, "cancellations of " + team, func(s *scenario) {
		left := n
		for _, u := range s.users {
			if left > 0 && u.accepted && !u.finished && !u.cancelling && s.fleet.Jobs[u.id].Team == team &&
				s.checker.LiveAttempts(u.id) > 0 {
				left--
				for _, worker := range s.machinesOf(u.id) {
					if hangFor > 0 && !worker.Paused {
						worker.Pause(hangFor)
					}
				}
				s.sim.After(s.randomDuration(second/5), u.cancel)
			}
		}
	}}
}

// machinesOf lists the machines that hold tasks of a job.
func (s *scenario) machinesOf(job string) []*fake.Worker {
	var out []*fake.Worker
	for _, id := range sortedmap.Keys(s.fleet.Workers) {
		worker := s.fleet.Workers[id]
		holds := false
		for task := range worker.Attempts {
			holds = holds || jobIDOfTask(task) == job
		}
		if holds && !worker.Machine.Gone {
			out = append(out, worker)
		}
	}
	return out
}

func (s *scenario) hangMachineOf(job string, duration monotime.Micros) {
	for _, worker := range s.machinesOf(job) {
		if !worker.Paused {
			worker.Pause(duration)
			return
		}
	}
}

// slowStoreReplies has the state service answer late, within the time that callers wait.
func slowStoreReplies(at monotime.Micros, most, duration monotime.Micros) fault {
	return fault{at, "slow store", func(s *scenario) {
		s.store.DelayResponse = func() monotime.Micros { return s.randomDuration(most) }
		s.sim.After(duration, func() { s.store.DelayResponse = nil })
	}}
}

// zonePartition keeps the zones from reaching each other; each has controllers and workers.
func zonePartition(at, duration monotime.Micros) fault {
	return fault{at, "zones cut", func(s *scenario) {
		s.zonesPartitioned = true
		s.sim.After(duration, func() {
			s.zonesPartitioned = false
			clear(s.disconnectionSeen)
		})
	}}
}

// machinesVanish takes some machines away without notice.
func machinesVanish(at monotime.Micros, n int) fault {
	return fault{at, "machines die", func(s *scenario) {
		for _, worker := range s.pickMachines(n) {
			s.cloud.RemoveMachine(worker.Machine.ID)
		}
	}}
}

// submitAtRate has a job submitted at every interval for the duration.
func submitAtRate(at monotime.Micros, interval, duration monotime.Micros, submit func(s *scenario)) fault {
	return fault{at, "submissions", func(s *scenario) {
		var next func(left monotime.Micros)
		next = func(left monotime.Micros) {
			if left > 0 {
				submit(s)
				s.sim.After(interval, func() { next(left - interval) })
			}
		}
		next(duration)
	}}
}
