package coordination

import (
	"fmt"
	"testing"

	"pipitgap/internal/config"
	"pipitgap/internal/fake"
	"pipitgap/internal/protocol"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// sizeCosts holds the costs of a simulation with one fleet size.
type sizeCosts struct {
	machines, finished                                          int
	commands, changes, requests                                 int // changes and requests of the state service
	machinesExamined, tasksPlaced                               int
	largestValueBytes, largestReplyBytes, largestHeartbeatBytes int
	shards, leasesExpired                                       int
	running, services, unknownJobCount                          int // unknownJobCount: see unknownJobs
}

// perMachine returns, per machine, the counts that must not grow faster than the fleet.
func (s *sizeCosts) perMachine() map[string]float64 {
	n := float64(s.machines)
	return map[string]float64{
		"changes per machine":  float64(s.changes) / n,
		"requests per machine": float64(s.requests) / n,
		"shards per machine":   float64(s.shards) / n,
	}
}

// newClusterOfSize makes a cluster for a number of machines on a platform of that size. The limits of the
// state service, the cloud and the controllers' sockets grow with the number, the maximum sizes of a value, a
// commit and a message do not.
func newClusterOfSize(t testing.TB, machines int) *cluster {
	c := newLargeFleetCluster(t, uint64(machines))
	scale := float64(machines) / 1000
	c.store = fake.NewStateStore(c.sim, 400*scale, 100*scale, c.store.MaxTransactionOps)
	clear(c.cloud.Capacity)
	for _, zone := range []string{"a", "b"} {
		c.cloud.Capacity[fake.OfferKey("m16", zone, false)] = machines / 4
		c.cloud.Capacity[fake.OfferKey("m16", zone, true)] = machines / 4
	}
	for i := range c.teams {
		c.teams[i].CPUs, c.teams[i].CPUsMax = c.teams[i].CPUs*scale, c.teams[i].CPUsMax*scale
		c.checker.Limits[c.teams[i].Name] = c.teams[i].CPUsMax
	}
	baseFacts := c.adjustFacts
	c.adjustFacts = func(cfg *config.Config) {
		baseFacts(cfg)
		facts := &cfg.Facts
		facts.State.RPS, facts.State.WriteRPS = 400*scale, 100*scale
		facts.Cloud.RPS = 9 * max(1, scale)
		facts.Quota.MaxConnections = max(500, int(2800*scale))
	}
	return c
}

// submitLongArrays submits long arrays that need, in total, all CPUs of the machines.
func (c *cluster) submitLongArrays(machines int) {
	for i := range machines / 10 {
		c.submitWithRetry(
			300*second,
			withClass("long"),
			withTeam(fmt.Sprint("team", i%6)),
			withTasks(40),
			withCPUs(4),
			withMemoryGB(8),
			withEstimateS(300),
			withSpot(true),
		)
	}
}

// measureSizeCosts simulates a fleet with a number of machines under an opening load, a crash of the leader,
// an outage of the state service and a restart of all controllers.
func measureSizeCosts(t *testing.T, machines int) *sizeCosts {
	c := newClusterOfSize(t, machines)
	costs := &sizeCosts{}
	c.onHeartbeat = func(_ *fake.Worker, _ string, body []byte) {
		costs.largestHeartbeatBytes = max(costs.largestHeartbeatBytes, len(body))
	}
	c.refuseConnections = true
	c.start(c.nodeNames...)
	c.sim.Run(3 * second)
	c.submitOpeningLoad(machines/2, machines/100, machines/100)
	c.submitLongArrays(machines)
	c.sim.Run(50 * second)
	for _, node := range c.nodeNames {
		costs.machinesExamined += c.nodes[node].controller.scheduler.Counters().MachinesExamined
		costs.tasksPlaced += c.nodes[node].controller.counters.tasksPlaced
	}
	incarnationsBefore := 0
	for _, worker := range c.fleet.Workers {
		incarnationsBefore += int(worker.Incarnation)
	}
	leader := c.leaderNode().name
	c.kill(leader)
	c.sim.Run(10 * second)
	c.start(leader)
	c.sim.Run(5 * second)
	c.store.Outage(10 * second)
	c.sim.Run(12 * second)
	c.kill(c.nodeNames...)
	c.sim.Run(2 * second)
	c.start(c.nodeNames...)
	c.sim.Run(20 * second)
	for _, worker := range c.fleet.Workers {
		costs.leasesExpired += int(worker.Incarnation)
	}
	costs.leasesExpired -= incarnationsBefore
	costs.machines, costs.finished, costs.commands = c.cloud.MachineCount(), len(c.fleet.Finished), c.commandCount
	costs.changes, costs.largestReplyBytes = c.store.Changes, c.largestResponse
	for _, n := range c.store.Calls {
		costs.requests += n
	}
	for _, key := range c.store.Keys(storage.KeyPrefix) {
		costs.largestValueBytes = max(costs.largestValueBytes, c.store.JSONSize(key))
	}
	costs.shards = len(c.store.Keys(storage.Key(storage.KindShard, "")))
	for id, j := range c.fleet.Jobs {
		if j.RunTime == 0 {
			costs.services++
			costs.running += c.fleet.Running(id)
		}
	}
	costs.unknownJobCount = c.unknownJobs()
	c.requireNoViolations()
	return costs
}

// unknownJobs asks random controllers about one job in 20 and counts the jobs that they do not know.
func (c *cluster) unknownJobs() int {
	unknown := 0
	for i, id := range sortedmap.Keys(c.fleet.Jobs) {
		if i%20 != 0 {
			continue
		}
		node := c.nodeNames[c.sim.Rand.IntN(len(c.nodeNames))]
		if response := c.requestAndWait(node, "GET", protocol.JobPath(id), nil); response.Status != 200 {
			unknown++
		}
	}
	return unknown
}

// TestCostsPerMachineDoNotGrowWithFleet checks, for up to 4,200 machines, that the changes, requests and
// shards per machine do not grow with the fleet. Neither may the commands and the examined machines per task,
// or the size of any message or value. Earlier, the scheduler searched all machines, for each task, after it
// had found only full machines in a sample. With 4,200 machines, it then examined 270 machines per task.
func TestCostsPerMachineDoNotGrowWithFleet(t *testing.T) {
	sizes := []int{500, 1000, 2000, 4200}
	var base map[string]float64
	for _, machines := range sizes {
		t.Run(fmt.Sprint(machines), func(t *testing.T) {
			got := measureSizeCosts(t, machines)
			t.Logf("%+v", *got)
			if got.machines < machines*8/10 {
				t.Errorf("got %d machines, want at least %d", got.machines, machines*8/10)
			}
			if got.running < got.services*95/100 || got.unknownJobCount > 0 {
				t.Errorf(
					"got %d of %d services running and %d unknown jobs, want at least 95%% and 0",
					got.running,
					got.services,
					got.unknownJobCount,
				)
			}
			if got.largestValueBytes > 4096 || got.largestHeartbeatBytes > 64<<10 ||
				got.largestReplyBytes > 64<<10 {
				t.Errorf(
					"largest value, heartbeat and response: got %d, %d and %d bytes, want at most 4096, 65536, 65536",
					got.largestValueBytes,
					got.largestHeartbeatBytes,
					got.largestReplyBytes,
				)
			}
			if got.machinesExamined > 100*got.tasksPlaced {
				t.Errorf("got %d machines examined for %d placed tasks, want at most 100 per task",
					got.machinesExamined, got.tasksPlaced)
			}
			// At best, a task shares a command with other tasks. At worst, it needs a command to itself and
			// another one when it has ended. A task costs 0.75 commands in the batches of a small fleet, and
			// 1.2 in those of a large one.
			if 2*got.commands > 3*got.tasksPlaced {
				t.Errorf("got %d commands for %d placed tasks, want at most 1.5 per task",
					got.commands, got.tasksPlaced)
			}
			perMachine := got.perMachine()
			if base == nil {
				base = perMachine
			}
			for _, name := range sortedmap.Keys(perMachine) {
				if perMachine[name] > 1.5*base[name] {
					t.Errorf("%s: got %.1f, want at most 1.5 times the %.1f with %d machines",
						name, perMachine[name], base[name], sizes[0])
				}
			}
		})
	}
}
