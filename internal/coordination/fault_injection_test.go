package coordination

import (
	"pipitgap/internal/fake"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// fault is injected into a scenario at a time that counts from the start of the scenario.
type fault struct {
	at     monotime.Micros
	name   string
	inject func(s *scenario)
}

// controllerPicker picks a controller at the time when a fault is injected.
type controllerPicker func(s *scenario) string

// leaderController picks the leader.
func leaderController(s *scenario) string { return s.leaderName() }

// followerController returns a picker of a controller that is not the leader: the first one from the n-th on.
func followerController(n int) controllerPicker {
	return func(s *scenario) string {
		leader := leaderController(s)
		for i := range s.nodeNames {
			if name := s.nodeNames[(i+n)%len(s.nodeNames)]; name != leader {
				return name
			}
		}
		return leader
	}
}

// storeRejectsController makes the state service reject the calls of one controller only.
func storeRejectsController(at monotime.Micros, pick controllerPicker, duration monotime.Micros) fault {
	return fault{at, "store rejects controller", func(s *scenario) {
		node := pick(s)
		s.store.RefusedCallers[node] = true
		s.sim.After(duration, func() { delete(s.store.RefusedCallers, node) })
	}}
}

// storeOutage makes the state service reject all calls.
func storeOutage(at, duration monotime.Micros) fault {
	return fault{at, "store outage", func(s *scenario) { s.store.Outage(duration) }}
}

// crashController crashes a controller, unless it is down, and restarts it after the duration.
func crashController(at monotime.Micros, pick controllerPicker, duration monotime.Micros) fault {
	return fault{at, "controller crash", func(s *scenario) {
		node := pick(s)
		if s.nodes[node].controller == nil {
			return
		}
		s.restart(node, duration)
	}}
}

// crashAllControllers crashes all controllers at once and restarts them after the duration.
func crashAllControllers(at, duration monotime.Micros) fault {
	return fault{at, "all controllers crash", func(s *scenario) {
		for _, node := range s.nodeNames {
			s.restart(node, duration)
		}
	}}
}

// peerPartition cuts a controller off from its peers.
func peerPartition(at monotime.Micros, pick controllerPicker, duration monotime.Micros) fault {
	return fault{at, "controller cut off from peers", func(s *scenario) {
		node := pick(s)
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
func storeAndPeerPartition(at monotime.Micros, pick controllerPicker, duration monotime.Micros) fault {
	return fault{at, "controller cut off from store and peers", func(s *scenario) {
		node := pick(s)
		storeRejectsController(0, func(*scenario) string { return node }, duration).inject(s)
		peerPartition(0, func(*scenario) string { return node }, duration).inject(s)
	}}
}

// processPause suspends a controller's process while its clocks keep running.
func processPause(at monotime.Micros, pick controllerPicker, duration monotime.Micros) fault {
	return fault{at, "process paused", func(s *scenario) { s.cluster.pause(pick(s), duration) }}
}

// pickMachines picks up to n random machines that are up.
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

// machinesHang suspends up to n random machines, which resume after the duration.
func machinesHang(at monotime.Micros, n int, duration monotime.Micros) fault {
	return fault{at, "machines hang", func(s *scenario) {
		for _, worker := range s.pickMachines(n) {
			worker.Pause(duration)
		}
	}}
}

// machinesPartitioned cuts off up to n random machines from all controllers.
func machinesPartitioned(at monotime.Micros, n int, duration monotime.Micros) fault {
	return fault{at, "machines are cut off", func(s *scenario) {
		for _, worker := range s.pickMachines(n) {
			worker.Partitioned = true
			s.sim.After(duration, func() { worker.Partitioned = false })
		}
	}}
}

// machinesUnreachable blocks commands and replies to up to n random machines, whose heartbeats still arrive.
func machinesUnreachable(at monotime.Micros, n int, duration monotime.Micros) fault {
	return fault{at, "machines unreachable", func(s *scenario) {
		for _, worker := range s.pickMachines(n) {
			s.unreachableMachines[worker.Machine.ID] = true
			s.sim.After(duration, func() { delete(s.unreachableMachines, worker.Machine.ID) })
		}
	}}
}

// machinesMuted drops the heartbeats of up to n random machines, which commands still reach.
func machinesMuted(at monotime.Micros, n int, duration monotime.Micros) fault {
	return fault{at, "heartbeats lost", func(s *scenario) {
		for _, worker := range s.pickMachines(n) {
			s.mutedMachines[worker.Machine.ID] = true
			s.sim.After(duration, func() { delete(s.mutedMachines, worker.Machine.ID) })
		}
	}}
}

// delayedCommits delays a fraction of the commits by 2 to 12 s. A delayed commit gets no answer.
func delayedCommits(at monotime.Micros, fraction float64, duration monotime.Micros) fault {
	return fault{at, "delayed commits", func(s *scenario) {
		s.store.DelayCommit = func(*protocol.Transaction) monotime.Micros {
			if s.sim.Rand.Float64() < fraction {
				return 2*second + s.randomDuration(10*second)
			}
			return 0
		}
		s.sim.After(duration, func() { s.store.DelayCommit = nil })
	}}
}

// changesQuotaShares reports whether a transaction only puts a controller's quota shares or, if deletes is
// true, only deletes them.
func changesQuotaShares(txn *protocol.Transaction, deletes bool) bool {
	if len(txn.Then) != 1 || (txn.Then[0].Delete != "") != deletes {
		return false
	}
	kind, _, _ := storage.SplitKey(txn.Then[0].Put + txn.Then[0].Delete)
	return kind == storage.KindPartition
}

// delayedQuotaWrites delays random commits that only put quota shares, on average every second one, by 3 to
// 12 s. A delayed commit gets no answer.
func delayedQuotaWrites(at, duration monotime.Micros) fault {
	return fault{at, "delayed quota share writes", func(s *scenario) {
		s.store.DelayCommit = func(txn *protocol.Transaction) monotime.Micros {
			if changesQuotaShares(txn, false) && s.sim.Rand.IntN(2) == 0 {
				return 3*second + s.randomDuration(9*second)
			}
			return 0
		}
		s.sim.After(duration, func() { s.store.DelayCommit = nil })
	}}
}

// lostCommitAnswers loses the answers to a fraction of the commits, which take effect at once.
func lostCommitAnswers(at monotime.Micros, fraction float64, duration monotime.Micros) fault {
	return fault{at, "lost commit answers", func(s *scenario) {
		s.store.LoseResponse = func(*protocol.Transaction) bool { return s.sim.Rand.Float64() < fraction }
		s.sim.After(duration, func() { s.store.LoseResponse = nil })
	}}
}

// delayedCommands delays a fraction of the direct commands by 2 to 16 s.
func delayedCommands(at monotime.Micros, fraction float64, duration monotime.Micros) fault {
	return fault{at, "delayed commands", func(s *scenario) {
		s.commandDelay = func(_ *fake.Worker, request *protocol.CommandRequest) monotime.Micros {
			if request != nil && s.sim.Rand.Float64() < fraction {
				return 2*second + s.randomDuration(14*second)
			}
			return 0
		}
		s.sim.After(duration, func() { s.commandDelay = nil })
	}}
}

// duplicateReports delivers duplicates of a fraction of the heartbeats to every controller, 2 to 27 s later.
func duplicateReports(at monotime.Micros, fraction float64, duration monotime.Micros) fault {
	return fault{at, "late duplicate heartbeats", func(s *scenario) {
		s.onHeartbeat = func(_ *fake.Worker, _ string, body []byte) {
			if s.sim.Rand.Float64() < fraction {
				s.sim.After(2*second+s.randomDuration(25*second), func() { s.deliverDuplicateHeartbeat(body) })
			}
		}
		s.sim.After(duration, func() { s.onHeartbeat = nil })
	}}
}

// duplicateReportsToNextLeader keeps duplicates of a fraction of the heartbeats until another controller
// leads, or for the duration at most, and then delivers them to every controller.
func duplicateReportsToNextLeader(at monotime.Micros, fraction float64, duration monotime.Micros) fault {
	return fault{at, "duplicate heartbeats to the next leader", func(s *scenario) {
		var duplicates [][]byte
		s.onHeartbeat = func(_ *fake.Worker, _ string, body []byte) {
			if s.sim.Rand.Float64() < fraction {
				duplicates = append(duplicates, body)
			}
		}
		previousLeader := leaderController(s)
		s.pollFor(duration,
			func() bool { leader := s.leaderNode(); return leader != nil && leader.name != previousLeader }, func() {
				s.onHeartbeat = nil
				for _, body := range duplicates {
					s.deliverDuplicateHeartbeat(body)
				}
			})
	}}
}

// cancelRunningJobs makes the users of n running jobs cancel them. If hangFor is positive, one machine of
// each job hangs for that time.
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

// cancelTeamJobs makes users of a team cancel n running jobs. If hangFor is positive, all machines of these
// jobs hang for that time.
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

// machinesOf lists the machines that have tasks of a job.
func (s *scenario) machinesOf(job string) []*fake.Worker {
	var out []*fake.Worker
	for _, id := range sortedmap.Keys(s.fleet.Workers) {
		worker := s.fleet.Workers[id]
		hasTasks := false
		for task := range worker.Attempts {
			hasTasks = hasTasks || jobIDOfTask(task) == job
		}
		if hasTasks && !worker.Machine.Gone {
			out = append(out, worker)
		}
	}
	return out
}

// hangMachineOf suspends the first machine of a job that is not suspended yet.
func (s *scenario) hangMachineOf(job string, duration monotime.Micros) {
	for _, worker := range s.machinesOf(job) {
		if !worker.Paused {
			worker.Pause(duration)
			return
		}
	}
}

// slowStoreReplies delays each response of the state service by a random time shorter than maxDelay. A call
// whose timeout passes first gets no response.
func slowStoreReplies(at monotime.Micros, maxDelay, duration monotime.Micros) fault {
	return fault{at, "slow store replies", func(s *scenario) {
		s.store.DelayResponse = func(string, *protocol.StoreCall) monotime.Micros { return s.randomDuration(maxDelay) }
		s.sim.After(duration, func() { s.store.DelayResponse = nil })
	}}
}

// zonePartition cuts off the zones from each other. Each zone has controllers and workers.
func zonePartition(at, duration monotime.Micros) fault {
	return fault{at, "zones partitioned", func(s *scenario) {
		s.zonesPartitioned = true
		s.sim.After(duration, func() {
			s.zonesPartitioned = false
			clear(s.disconnectionSeen)
		})
	}}
}

// machinesVanish removes up to n random machines without notice.
func machinesVanish(at monotime.Micros, n int) fault {
	return fault{at, "machines vanish", func(s *scenario) {
		for _, worker := range s.pickMachines(n) {
			s.cloud.RemoveMachine(worker.Machine.ID)
		}
	}}
}

// submitAtRate calls submit at every interval for the duration.
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
