package coordination

import (
	"fmt"
	"testing"

	"pipitgap/internal/config"
	"pipitgap/internal/fake"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// newLargeFleetCluster returns a cluster of five controllers with capacity for about 1500 machines. The rate
// limits of its state service are twice those of newCluster, which is a cluster of three controllers with about
// 40 machines; the configured rate limit of the cloud's API is 1.5 times that of newCluster.
func newLargeFleetCluster(t testing.TB, seed uint64) *cluster {
	c := newGrownCluster(t, seed)
	c.store.RPS, c.store.WriteRPS = 400, 100
	c.fleet.HeartbeatInterval, c.fleet.LeaseTime, c.checker.CancelWithin = 4*second, 22*second, 42*second
	c.cloud.BootTime = 25 * second
	clear(c.cloud.Capacity)
	for _, zone := range []string{"a", "b"} {
		c.cloud.Capacity[fake.OfferKey("m16", zone, false)] = 375
		c.cloud.Capacity[fake.OfferKey("m16", zone, true)] = 395
	}
	c.teams = nil
	for i, limit := range []float64{7000, 5000, 10000, 5000, 6000, 7000} {
		name := fmt.Sprint("team", i)
		c.teams = append(c.teams, config.Team{Name: name, CPUs: limit / 3, CPUsMax: limit})
		c.checker.Limits[name] = limit
	}
	c.adjustFacts = func(cfg *config.Config) {
		facts := &cfg.Facts
		facts.Workers.HeartbeatIntervalS, facts.Workers.LeaseS, facts.Workers.CancelTimeoutS = 4, 22, 42
		facts.State.RPS, facts.State.WriteRPS = 400, 100
		facts.Cloud.RPS = 9
		facts.Quota.Cores, facts.Quota.MemoryMB, facts.Quota.MaxConnections = 0.55, 320, 2800
		facts.Objectives = []config.Objective{
			{Kind: "deadline", Class: "wide", DeadlineMultiple: 1},
			{Kind: "deadline", Class: "wide", DeadlineMultiple: 1.5},
			{Kind: "deadline", Class: "deep", DeadlineMultiple: 1},
			{Kind: "deadline", Class: "deep", DeadlineMultiple: 1.5},
		}
	}
	return c
}

// submitOpeningLoad submits services, arrays of class deep (few tasks of 4 CPUs) and arrays of class wide
// (many tasks of 2 CPUs). Tests call it for the initial load, and for the load that arrives in each second.
func (c *cluster) submitOpeningLoad(serviceCount, deepCount, wideCount int) {
	for i := 0; i < serviceCount; i++ {
		c.submitWithRetry(0, withClass("svc"), withTeam(fmt.Sprint("team", i%6)), withService(true),
			withPriority(protocol.High), withCPUs(1), withMemoryGB(6.3),
			withImage(fmt.Sprint("svc", i%16)), withImageGB(1.8), withEstimateS(0))
	}
	submitArray := func(class string, team, tasks int, cpus, memoryGB, estimateS, deadlineS float64) {
		runTime := monotime.Micros(estimateS * float64(second) * (0.5 + c.sim.Rand.Float64()))
		c.submitWithRetry(
			runTime,
			withClass(class),
			withTeam(fmt.Sprint("team", team)),
			withTasks(tasks),
			withCPUs(cpus),
			withMemoryGB(memoryGB),
			withImage(fmt.Sprint(class, c.sim.Rand.IntN(12))),
			withImageGB(0.7),
			withEstimateS(estimateS),
			withSpot(true),
			withDeadlineS(deadlineS),
		)
	}
	for i := 0; i < deepCount; i++ {
		submitArray("deep", 1, 5+c.sim.Rand.IntN(60), 4, 23, 20, 50)
	}
	for i := 0; i < wideCount; i++ {
		submitArray("wide", c.sim.Rand.IntN(3), 20+c.sim.Rand.IntN(300), 2, 10, 12, 46)
	}
}

// pollUntilFinal polls a job's status every 5 s from its acceptance until it is done, as its user does. It
// counts the status codes of the answers in statusCounts.
func (c *cluster) pollUntilFinal(id string, statusCounts map[int]int) {
	final := false
	c.sim.After(c.randomDuration(5*second), func() {
		node := c.nodeNames[c.sim.Rand.IntN(len(c.nodeNames))]
		if c.nodes[node].controller == nil {
			node = c.nodeNames[0]
		}
		c.sendRequest(node, "GET", protocol.JobPath(id), nil, func(response Response) {
			statusCounts[response.Status]++
			var jobStatus protocol.JobStatusReply
			final = protocol.Unmarshal(response.Body, &jobStatus) == nil &&
				jobStatus.Status == protocol.JobDone
		})
	})
	c.sim.After(5*second, func() {
		if !final {
			c.pollUntilFinal(id, statusCounts)
		}
	})
}

// TestLargeFleetOpeningLoadStaysWithinBounds simulates the initial load of about 1,500 machines, and a crash
// of all controllers except one during it. It checks the services and tasks that run, and the number of
// changes, requests, commands and examined machines.
func TestLargeFleetOpeningLoadStaysWithinBounds(t *testing.T) {
	c := newLargeFleetCluster(t, 1)
	got := map[string]int{}
	c.onHeartbeat = func(_ *fake.Worker, _ string, body []byte) {
		got["largest report"] = max(got["largest report"], len(body))
	}
	statusCounts := map[int]int{}
	c.onAccepted = func(id string) { c.pollUntilFinal(id, statusCounts) }
	c.start(c.nodeNames...)
	c.sim.Run(3 * second)
	c.submitOpeningLoad(1100, 22, 65)
	for s := 0; s < 55; s++ {
		c.submitOpeningLoad(8, 1, 1+s%2)
		c.sim.Run(second)
	}
	countServices := func() (services, total int) {
		for id, j := range c.fleet.Jobs {
			if j.RunTime == 0 {
				total++
				services += c.fleet.Running(id)
			}
		}
		return services, total
	}
	for _, node := range c.nodeNames {
		got["examined"] += c.nodes[node].controller.scheduler.Counters().MachinesExamined
		got["placed"] += c.nodes[node].controller.counters.tasksPlaced
	}
	for _, k := range c.store.Keys(storage.KeyPrefix) {
		got["largest value"] = max(got["largest value"], c.store.JSONSize(k))
	}
	got["shards"] = len(c.store.Keys(storage.Key(storage.KindShard, "")))
	got["machines"] = c.cloud.MachineCount()
	for _, op := range []protocol.CloudOp{
		protocol.CloudCreateMachines,
		protocol.CloudList,
		protocol.CloudDelete,
	} {
		got["cloud calls"] += c.cloud.Calls[op]
	}
	got["finished"] = len(c.fleet.Finished)
	got["throttled"] = c.store.Throttled
	used, capacity := 0.0, 0.0
	for _, machine := range c.nodes["n-0"].controller.mirror.Machines {
		if machine.Record != nil && machine.Record.State == storage.MachineOpen {
			used, capacity = used+machine.Used.CPUs, capacity+16
		}
	}
	got["CPUs in use, percent"] = int(100 * used / capacity)

	// One controller remains. It owns about 300 of the machines, and soon claims all others.
	incarnations := map[string]uint64{}
	for id, worker := range c.fleet.Workers {
		incarnations[id] = worker.Incarnation
	}
	changesBefore, finishedBefore := c.store.Changes, len(c.fleet.Finished)
	c.refuseConnections = true
	c.kill(c.nodeNames[1:]...)
	clear(statusCounts)
	c.sim.Run(25 * second)
	got["changes, alone"] = c.store.Changes - changesBefore
	controller := c.nodes["n-0"].controller
	for _, shard := range controller.mirror.Shards {
		if !controller.shards.Owns(shard) {
			got["shards of others"]++
		}
	}
	for id, worker := range c.fleet.Workers {
		if !worker.Machine.Gone && incarnations[id] != 0 && worker.Incarnation > incarnations[id] {
			got["leases expired"]++
		}
	}
	got["finished, alone"] = len(c.fleet.Finished) - finishedBefore
	got["polls answered, alone"] = statusCounts[200]
	got["services"], got["services submitted"] = countServices()
	got["commands"], got["largest response"] = c.commandCount, c.largestResponse
	got["changes"] = c.store.Changes
	for _, n := range c.store.Calls {
		got["requests"] += n
	}
	t.Log(got)
	c.requireNoViolations()
	requireWithinBounds(t, got, []bound{
		{"machines", 1400, 1540},
		{"CPUs in use, percent", 80, 100},
		{"finished", 2000, 1 << 30},
		{"finished, alone", 3000, 1 << 30},
		{"services", got["services submitted"] * 97 / 100, got["services submitted"]},
		{"polls answered, alone", 5000, 1 << 30},
		{"shards of others", 0, 0},
		{"leases expired", 0, 30},
		{"shards", 60, 110},
		{"largest value", 0, 4096},
		{"largest report", 0, 64 << 10},
		{"largest response", 0, 64 << 10},
		{"changes", 0, 83 * 100},
		{"changes, alone", 0, 25 * 100},
		{"requests", 0, 83 * 400},
		{"throttled", 0, 800},
		{"commands", 0, 60000},
		{"cloud calls", 5, 83 * 9},
		// Each placed task cost 430 examined machines before tasks of the same shape shared a search.
		{"examined", 0, 100 * got["placed"]},
	})
}
