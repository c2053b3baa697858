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
	shards, leasesEnded                                         int
	running, services, unanswered                               int // unanswered: see unknownJobs
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
	for _, z := range []string{"a", "b"} {
		c.cloud.Capacity[fake.OfferKey("m16", z, false)] = machines / 4
		c.cloud.Capacity[fake.OfferKey("m16", z, true)] = machines / 4
	}
	for i := range c.teams {
		c.teams[i].CPUs, c.teams[i].CPUsMax = c.teams[i].CPUs*scale, c.teams[i].CPUsMax*scale
		c.checker.Limits[c.teams[i].Name] = c.teams[i].CPUsMax
	}
	usual := c.adjustFacts
	c.adjustFacts = func(cfg *config.Config) {
		usual(cfg)
		f := &cfg.Facts
		f.State.RPS, f.State.WriteRPS = 400*scale, 100*scale
		f.Cloud.RPS = 9 * max(1, scale)
		f.Quota.MaxConnections = max(500, int(2800*scale))
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

// measureSize simulates a fleet with a number of machines under an opening load, a crash of the leader, an
// outage of the state service and a restart of all controllers.
func measureSize(t *testing.T, machines int) *sizeCosts {
	c := newClusterOfSize(t, machines)
	got := &sizeCosts{}
	c.onReport = func(_ *fake.Worker, _ string, body []byte) {
		got.largestHeartbeatBytes = max(got.largestHeartbeatBytes, len(body))
	}
	c.refuseConnections = true
	c.start(c.nodeNames...)
	c.sim.Run(3 * second)
	c.submitOpeningLoad(machines/2, machines/100, machines/100)
	c.submitLongArrays(machines)
	c.sim.Run(50 * second)
	for _, node := range c.nodeNames {
		got.machinesExamined += c.nodes[node].controller.scheduler.Counters().MachinesExamined
		got.tasksPlaced += c.nodes[node].controller.counters.tasksPlaced
	}
	before := 0
	for _, worker := range c.fleet.Workers {
		before += int(worker.Incarnation)
	}
	gone := c.leaderNode().name
	c.kill(gone)
	c.sim.Run(10 * second)
	c.start(gone)
	c.sim.Run(5 * second)
	c.store.Outage(10 * second)
	c.sim.Run(12 * second)
	c.kill(c.nodeNames...)
	c.sim.Run(2 * second)
	c.start(c.nodeNames...)
	c.sim.Run(20 * second)
	for _, worker := range c.fleet.Workers {
		got.leasesEnded += int(worker.Incarnation)
	}
	got.leasesEnded -= before
	got.machines, got.finished, got.commands = c.cloud.MachineCount(), len(c.fleet.Finished), c.commandCount
	got.changes, got.largestReplyBytes = c.store.Changes, c.largestResponse
	for _, n := range c.store.Calls {
		got.requests += n
	}
	for _, key := range c.store.Keys(storage.KeyPrefix) {
		got.largestValueBytes = max(got.largestValueBytes, c.store.JSONSize(key))
	}
	got.shards = len(c.store.Keys(storage.Key(storage.KindShard, "")))
	for id, j := range c.fleet.Jobs {
		if j.RunTime == 0 {
			got.services++
			got.running += c.fleet.Running(id)
		}
	}
	got.unanswered = c.unknownJobs()
	c.requireNoViolations()
	return got
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
			got := measureSize(t, machines)
			t.Logf("%+v", *got)
			if got.machines < machines*8/10 {
				t.Errorf("got %d machines, want at least %d", got.machines, machines*8/10)
			}
			if got.running < got.services*95/100 || got.unanswered > 0 {
				t.Errorf(
					"got %d of %d services running and %d unknown jobs, want at least 95%% and 0",
					got.running,
					got.services,
					got.unanswered,
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
			per := got.perMachine()
			if base == nil {
				base = per
			}
			for _, what := range sortedmap.Keys(per) {
				if per[what] > 1.5*base[what] {
					t.Errorf("%s: got %.1f, want at most 1.5 times the %.1f with %d machines",
						what, per[what], base[what], sizes[0])
				}
			}
		})
	}
}
