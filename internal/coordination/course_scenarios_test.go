package coordination

import (
	"math/rand/v2"
	"testing"

	"pipitgap/internal/sortedmap"

	"pipitgap/internal/config"
	"pipitgap/internal/fake"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// runRandomFaults simulates random combinations of faults like TestRandomFaultsKeepInvariants.
func runRandomFaults(t *testing.T, seed uint64, r *recorder) {
	rnd := rand.New(rand.NewPCG(seed, 11))
	s := newScenario(t, seed)
	r.record(s.cluster)
	leases := []leaseDurations{
		defaultLeases,
		{4 * second, 22 * second, 42 * second},
		{5 * second, 28 * second, 53 * second},
		{8 * second / 10, 10 * second, 30 * second},
	}
	leases[rnd.IntN(len(leases))].apply(s)
	s.eagerQueries = rnd.IntN(2) == 0
	if rnd.IntN(2) == 0 {
		fillTeamLimits(s)
	}
	s.runFaults(randomFaults(rnd), scenarioLength)
}

// runCancelledWhileLeaderRejected simulates cancellations while the state service rejects only the leader,
// followed by an outage for all. Each seed adds the next set of other faults.
func runCancelledWhileLeaderRejected(t *testing.T, seed uint64, r *recorder) {
	otherFaults := [][]fault{
		nil,
		{crashController(64*second, leaderController, 3*second), cancelRunningJobs(71*second, 4, 10*second)},
		{processPause(73*second, leaderController, 8*second), zonePartition(100*second, 20*second)},
		{peerPartition(71*second, leaderController, 60*second), delayedCommands(60*second, 0.5, 60*second)},
		{lostCommitAnswers(60*second, 0.3, 60*second), machinesPartitioned(66*second, 4, 15*second)},
		{delayedCommits(60*second, 0.2, 60*second), crashAllControllers(140*second, 4*second)},
	}
	s := newScenario(t, 3000+seed)
	r.record(s.cluster)
	s.runFaults(rejectedLeaderThenStoreOutage(2*second, otherFaults[int(seed-1)%len(otherFaults)]...), 190*second)
}

// runShortLeases simulates a platform with short leases and large tasks, whose controllers restart slowly.
func runShortLeases(t *testing.T, seed uint64, r *recorder) {
	s := newShortLeaseScenario(t, 4000+seed)
	r.record(s.cluster)
	s.submitWholeMachineJobs()
	faults := []fault{
		submitAtRate(50*second, second, 50*second, submitSmallUrgentArray),
		crashAllExcept(s.nodeNames[seed%3], 80*second, slowRestartDowntime),
	}
	if seed%2 == 0 {
		faults = append(
			faults,
			zonePartition(110*second, 12*second),
			slowStoreReplies(60*second, second, 20*second),
		)
	}
	s.runFaults(faults, 150*second)
}

// runSmallJobs simulates one team that submits many small jobs while machines and controllers fail.
func runSmallJobs(t *testing.T, seed uint64, r *recorder) {
	c := newCluster(t, 2500+seed)
	r.record(c)
	c.startBurst()
	c.simulateSmallJobs(10 + 10*int(seed%3))
}

// simulateSmallJobs submits many small jobs of one team each second for 40 seconds, and arrays and services
// of another team, while machines and controllers fail.
func (c *cluster) simulateSmallJobs(jobsPerSecond int) {
	var arrays []string
	for s := range 40 {
		c.sendSmallJobs(jobsPerSecond)
		arrays = append(arrays, c.sendArray(s%2 == 0))
		c.sendService()
		switch s {
		case 8:
			c.fleet.Workers[sortedmap.Keys(c.fleet.Workers)[3]].FailsTasks = true
			c.sendRequest("n-0", "POST", protocol.CancelPath(arrays[2]), nil, func(Response) {})
		case 12:
			c.kill("n-1")
		case 14:
			c.start("n-1")
		case 18:
			for _, id := range sortedmap.Keys(c.fleet.Workers)[:4] {
				c.fleet.Workers[id].Partitioned = true
			}
		case 22:
			c.kill(c.leaderNode().name)
		case 30:
			c.start(c.nodeNames...)
		}
		c.sim.Run(second)
	}
	c.requireNoViolations()
}

// runDrainFault simulates the drain of a zone and one fault. Each seed injects the next fault of
// drainFaults.
func runDrainFault(t *testing.T, seed uint64, r *recorder) {
	s := newDrainScenario(t, 800+seed)
	r.record(s.cluster)
	s.startServices()
	s.drainZone("rack", "a")
	s.sim.Run(s.randomDuration(35 * second))
	drainFaults[int(seed-1)%len(drainFaults)].inject(s)
	s.sim.Run(120 * second)
	s.requireNoViolations()
}

// runDrainAbort simulates the abort of a drain before it is complete, while commits of permits are delayed.
func runDrainAbort(t *testing.T, seed uint64, r *recorder) {
	s := newDrainScenario(t, 900+seed)
	r.record(s.cluster)
	s.startServices()
	s.delayPermits(3, 0, 20*second)
	s.drainZone("rack", "a")
	s.sim.Run(2*second + s.randomDuration(30*second))
	s.abortDrain("rack")
	s.sim.Run(30 * second)
	s.store.DelayCommit = nil
	s.sim.Run(60 * second)
	s.requireNoViolations()
}

// runLimits simulates teams at their limits and guarantees, with preemption and cancellations.
func runLimits(t *testing.T, seed uint64, r *recorder) {
	s := newScenario(t, 5000+seed)
	r.record(s.cluster)
	s.teams = []config.Team{{Name: "free", CPUs: 16}, {Name: "tight", CPUs: 16, CPUsMax: 24}}
	s.checker.Limits["tight"] = 24
	clear(s.cloud.Capacity)
	s.cloud.Capacity[fake.OfferKey("m8", "a", false)] = 3
	s.cloud.Capacity[fake.OfferKey("m8", "b", false)] = 2
	s.addBorrowingJobs()
	faults := []fault{
		{at: 50 * second, name: "jobs of team tight", inject: (*scenario).addGuaranteedJobs},
		{at: 70 * second, name: "urgent services", inject: (*scenario).addUrgentServices},
		cancelTeamJobs(85*second, "tight", 2, 6*second),
		cancelRunningJobs(100*second, 2, 0),
	}
	if seed%2 == 0 {
		faults = append(
			faults,
			crashController(86*second, leaderController, 3*second),
			machinesHang(104*second, 2, 10*second),
		)
	} else {
		faults = append(faults, crashAllControllers(110*second, 2*second), machinesVanish(95*second, 1))
	}
	s.runFaults(faults, 160*second)
}

// runCloudAndSpot simulates a cloud that rejects calls, loses answers and reclaims spot machines.
func runCloudAndSpot(t *testing.T, seed uint64, r *recorder) {
	s := newScenario(t, 6000+seed)
	r.record(s.cluster)
	s.settings.ScaleDownDelay = config.Duration(8 * second)
	s.cloud.NeverBoots["i-000003"] = true
	s.addSpotJobs()
	newFault := func(at monotime.Micros, name string, f func(s *scenario)) fault { return fault{at, name, f} }
	faults := []fault{
		submitAtRate(45*second, 2*second, 60*second, submitSingleTask),
		newFault(45*second, "spot machines are reclaimed", (*scenario).reclaimSpotMachines),
		newFault(55*second, "every task fails on a machine", func(s *scenario) {
			for _, worker := range s.pickMachines(1) {
				worker.FailsTasks = true
			}
		}),
		newFault(60*second, "answers to rentals are lost", func(s *scenario) {
			s.cloud.LoseCreateReply = true
			s.sim.After(5*second, func() { s.cloud.LoseCreateReply = false })
		}),
		newFault(62*second, "more jobs", (*scenario).addSpotJobs),
		newFault(75*second, "the cloud throttles", func(s *scenario) {
			s.cloud.Throttling = true
			s.sim.After(10*second, func() { s.cloud.Throttling = false })
		}),
		machinesVanish(76*second, 3),
		newFault(90*second, "the cloud is unavailable", func(s *scenario) {
			s.cloud.Unavailable = true
			s.sim.After(15*second, func() { s.cloud.Unavailable = false })
		}),
		newFault(110*second, "the cloud has no capacity", func(s *scenario) { clear(s.cloud.Capacity) }),
		newFault(112*second, "more jobs again", (*scenario).addSpotJobs),
		newFault(113*second, "spot machines are reclaimed", (*scenario).reclaimSpotMachines),
		newFault(
			125*second,
			"capacity is back",
			func(s *scenario) { s.cloud.Capacity[fake.OfferKey("m16", "a", false)] = 12 },
		),
		cancelRunningJobs(115*second, 3, 0),
	}
	if seed%2 == 0 {
		faults = append(
			faults,
			crashController(61*second, leaderController, 3*second),
			crashController(112*second, leaderController, 10*second),
		)
	}
	s.runFaults(faults, 170*second)
}

// reclaimSpotMachines makes the cloud reclaim two spot machines: their heartbeats carry an interruption
// notice of 10 seconds, after which the machines are removed.
func (s *scenario) reclaimSpotMachines() {
	remaining := 2
	for _, id := range sortedmap.Keys(s.fleet.Workers) {
		worker := s.fleet.Workers[id]
		if remaining == 0 || !worker.Machine.Spot || worker.Machine.Gone {
			continue
		}
		remaining--
		notice := 10.0
		report := worker.Heartbeat()
		report.InterruptionNoticeS = &notice
		s.deliverDuplicateHeartbeat(protocol.MustMarshal(report))
		s.sim.After(10*second, func() { s.cloud.RemoveMachine(id) })
	}
}

// runPlacement simulates jobs with every kind of placement rule, and requests that are answered with an
// error.
func runPlacement(t *testing.T, seed uint64, r *recorder) {
	s := newScenario(t, 7000+seed)
	r.record(s.cluster)
	s.addVariedJobs()
	faults := []fault{
		{at: 45 * second, name: "invalid requests", inject: (*scenario).sendInvalidRequests},
		machinesVanish(60*second, 2),
		{at: 70 * second, name: "more jobs", inject: (*scenario).addVariedJobs},
		cancelRunningJobs(90*second, 3, 0),
		crashAllControllers(100*second, 2*second),
		{at: 115 * second, name: "invalid requests", inject: (*scenario).sendInvalidRequests},
	}
	if seed%2 == 0 {
		faults = append(
			faults,
			zonePartition(75*second, 20*second),
			machinesMuted(110*second, 2, 20*second),
			machinesUnreachable(112*second, 2, 20*second),
		)
	}
	s.runFaults(faults, 160*second)
}

// sendInvalidRequests sends every controller a health check and requests that it must reject or that name
// unknown jobs.
func (s *scenario) sendInvalidRequests() {
	for _, node := range s.nodeNames {
		send := func(method, target string, body []byte) {
			s.sendRequest(node, method, target, body, func(Response) {})
		}
		send("GET", "/healthz", nil)
		send("GET", protocol.JobsPath, nil)
		send("GET", protocol.JobPath("j-unknown"), nil)
		send("POST", protocol.CancelPath("j-unknown"), nil)
		send("POST", protocol.JobsPath, []byte{0xc1})
		send("POST", protocol.HeartbeatPath, []byte{0xc1})
		send("GET", "/nowhere", nil)
		send("GET", protocol.JobPath("j-unknown?x=y"), nil)
	}
}

// runDelayedQuotaShares simulates delayed commits of the controllers' shares of team limits.
func runDelayedQuotaShares(t *testing.T, seed uint64, r *recorder) {
	s := newScenario(t, 8000+seed)
	r.record(s.cluster)
	fillTeamLimits(s)
	faults := []fault{
		delayedQuotaWrites(45*second, 60*second),
		cancelTeamJobs(60*second, "tight", 2, 0),
		machinesVanish(70*second, 2),
		duplicateReportsToNextLeader(
			75*second,
			0.3,
			40*second,
		),
		crashController(80*second, leaderController, 12*second),
		crashController(90*second, followerController(1), 3*second),
	}
	s.runFaults(faults, 150*second)
}

// runFiveControllers simulates five controllers, more machines and the settings for a larger fleet.
func runFiveControllers(t *testing.T, seed uint64, r *recorder) {
	c := newGrownCluster(t, 9000+seed)
	r.record(c)
	c.startWithLeader()
	for s := range 30 {
		c.sendLargeArrays()
		switch s {
		case 15:
			c.kill("n-3", c.leaderNode().name)
		case 22:
			for _, node := range c.nodeNames {
				if c.nodes[node].controller == nil {
					c.start(node)
				}
			}
		}
		c.sim.Run(second)
	}
	c.requireNoViolations()
}

// The methods below submit the jobs of the courses.

func (c *cluster) sendSmallJobs(n int) {
	for range n {
		c.submitWithRetry(2*second, withTeam("guest"), withPriority(protocol.BestEffort), withCPUs(0.3),
			withMemoryGB(0.7), withSpot(true), withEstimateS(2))
	}
}

func (c *cluster) sendArray(spot bool) string {
	return c.submitWithRetry(
		20*second,
		withTeam("home"),
		withTasks(9),
		withCPUs(1.1),
		withSpot(spot),
		withEstimateS(30),
		withCheckpointS(3),
	)
}

func (c *cluster) sendService() {
	c.submitWithRetry(0, withTeam("home"), withService(true), withPriority(protocol.High), withCPUs(1.3))
}

func (c *cluster) sendLargeArrays() {
	c.submitWithRetry(25*second, withTasks(60), withCPUs(2), withSpot(true), withEstimateS(20))
	c.submitWithRetry(
		8*second,
		withTeam("tight"),
		withTasks(40),
		withCPUs(1),
		withEstimateS(10),
		withDeadlineS(60),
	)
}

// addBorrowingJobs submits jobs of team "free" that exceed its guarantee.
func (s *scenario) addBorrowingJobs() {
	s.addUser(300*second, withTasks(16), withCPUs(2), withPriority(protocol.BestEffort))
	s.addUser(250*second, withTasks(6), withCPUs(1))
}

// addGuaranteedJobs submits more jobs of team "tight", whose guaranteed CPUs team "free" borrows, than its
// limit allows.
func (s *scenario) addGuaranteedJobs() {
	for range 4 {
		s.addUser(60*second, withTeam("tight"), withTasks(6), withCPUs(2))
	}
}

func (s *scenario) addUrgentServices() {
	for range 3 {
		s.addUser(0, withTasks(2), withCPUs(3), withPriority(protocol.Production))
	}
}

func (s *scenario) addSpotJobs() {
	for i := range 3 {
		s.addUser(60*second, withTasks(12), withCPUs(4), withSpot(true), withEstimateS(50),
			withCheckpointS(10), withSaveS(2))
		s.addUser(0, withTasks(2+i), withCPUs(2), withPriority(protocol.High), withSpot(i == 1))
	}
}

func (s *scenario) addVariedJobs() {
	s.addUser(0, withTasks(4), withSpread(true), withPriority(protocol.Production))
	s.addUser(0, withTasks(3), withSpread(true), withOneZone(true), withCPUs(3))
	s.addUser(60*second, withTasks(8), withOneZone(true), withCPUs(2), withEstimateS(60))
	s.addUser(60*second, withTasks(5), withZone("b"), withCPUs(2), withCheckpointS(10), withSaveS(3))
	s.addUser(40*second, withTasks(5), withTypes("m16"), withCPUs(9), withEstimateS(30))
	s.addUser(15*second, withTasks(30), withDeadlineS(40), withCPUs(0.5), withEstimateS(15), withSpot(true))
	s.addUser(30*second, withTasks(6), withMemoryGB(30), withCPUs(1), withImageGB(6), withImage("large"))
	failing := s.addUser(5*second, withTasks(2))
	behavior := s.fleet.Jobs[failing.id]
	behavior.Fails = true
	s.fleet.Jobs[failing.id] = behavior
	s.sim.After(55*second, failing.cancel)
}
