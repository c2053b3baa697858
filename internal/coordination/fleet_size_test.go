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

// sizeCosts is what a course at some size has cost.
type sizeCosts struct {
	machines, finished                                          int
	commands, changes, requests                                 int
	machinesExamined, tasksPlaced                               int
	largestValueBytes, largestReplyBytes, largestHeartbeatBytes int // the largest, bytes
	shards, leasesEnded                                         int
	running, services, unanswered                               int
}

// perMachine are the counts that must not grow faster than the fleet.
func (s *sizeCosts) perMachine() map[string]float64 {
	n := float64(s.machines)
	return map[string]float64{
		"changes a machine":  float64(s.changes) / n,
		"requests a machine": float64(s.requests) / n,
		"shards a machine":   float64(s.shards) / n,
	}
}

// newClusterOfSize is a fleet of so many machines on a platform of that size: the state service, the
// cloud and the controllers' sockets grow with it, the size of a value, a commit and a
// message don't.
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

// submitLongArrays submits long arrays of as many CPUs as the machines have.
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

// measureSize simulates an opening load, a crash of a controller, an outage of the state service and a
// restart of all controllers with so many machines.
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

// unknownJobs counts jobs of which a controller picked at random doesn't know.
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

// TestCostsPerMachineDoNotGrowWithFleet: what a machine costs in changes, requests and shards doesn't grow
// with the fleet, nor does what a task costs in commands and machines looked at, and no message or value
// does, up to 4,200 machines. With 4,200 a task had 270 machines looked at, when samples of full machines
// were followed by a look at all of them, for each task.
func TestCostsPerMachineDoNotGrowWithFleet(t *testing.T) {
	sizes := []int{500, 1000, 2000, 4200}
	var base map[string]float64
	for _, machines := range sizes {
		t.Run(fmt.Sprint(machines), func(t *testing.T) {
			got := measureSize(t, machines)
			t.Logf("%+v", *got)
			if got.machines < machines*8/10 {
				t.Errorf("only %d machines", got.machines)
			}
			if got.running < got.services*95/100 || got.unanswered > 0 {
				t.Errorf(
					"%d of %d services run, %d jobs are unknown",
					got.running,
					got.services,
					got.unanswered,
				)
			}
			if got.largestValueBytes > 4096 || got.largestHeartbeatBytes > 64<<10 ||
				got.largestReplyBytes > 64<<10 {
				t.Errorf(
					"largest value %d, report %d, response %d bytes",
					got.largestValueBytes,
					got.largestHeartbeatBytes,
					got.largestReplyBytes,
				)
			}
			if got.machinesExamined > 100*got.tasksPlaced {
				t.Errorf("%d machines looked at for %d tasks", got.machinesExamined, got.tasksPlaced)
			}
			// A task costs a command with others at best, one to itself and one when it has
			// ended at worst: 0.75 of them in batches of a small fleet, 1.2 of a large one.
			if 2*got.commands > 3*got.tasksPlaced {
				t.Errorf("%d commands for %d tasks", got.commands, got.tasksPlaced)
			}
			per := got.perMachine()
			if base == nil {
				base = per
			}
			for _, what := range sortedmap.Keys(per) {
				if per[what] > 1.5*base[what] {
					t.Errorf("%s: %.1f, %.1f at %d machines", what, per[what], base[what], sizes[0])
				}
			}
		})
	}
}
