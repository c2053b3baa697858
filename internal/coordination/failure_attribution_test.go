package coordination

import (
	"testing"

	"pipitgap/internal/config"
	"pipitgap/internal/protocol"
	"pipitgap/internal/scheduling"
	"pipitgap/internal/sortedmap"
)

// TestCrashLoopingJobsCostNoMachines: jobs that fail everywhere, beside good ones, cost a few trials, no
// machine and no rental; a machine on which everything fails is still found and
// replaced, and what failed there goes on elsewhere. Each job that failed used to
// speak against its machines, and all of its tasks were tried again at every pause.
func TestCrashLoopingJobsCostNoMachines(t *testing.T) {
	for _, tc := range []struct {
		name     string
		mistakes int
		sick     int
	}{
		{"mistaken jobs", 3, 0},
		{"a faulty machine", 0, 1},
		{"both", 3, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, uint64(900+tc.mistakes+tc.sick))
			c.settings.ScaleDownDelay = config.Duration(8 * second)
			c.startWithLeader()
			keep := c.submit(0, withService(true), withTasks(6), withCPUs(1)) // keeps machines up
			if !c.sim.RunUntil(60*second, func() bool { return c.fleet.Running(keep) == 6 }) {
				t.Fatal("the service isn't up")
			}
			var good, bad []string
			for i := 0; i < 2; i++ {
				good = append(good, c.submit(4*second, withTasks(12), withCPUs(1)))
			}
			c.sim.Run(2 * second)
			sick, moved := map[string]bool{}, 0
			for _, id := range sortedmap.Keys(c.fleet.Workers) {
				if worker := c.fleet.Workers[id]; len(sick) < tc.sick && !worker.Machine.Gone &&
					len(worker.Attempts) < 4 {
					worker.FailsTasks, sick[id] = true, true
					for task := range worker.Attempts {
						if jobIDOfTask(task) == keep {
							moved++
						}
					}
				}
			}
			for i := 0; i < tc.mistakes; i++ {
				id := c.submit(4*second, withTasks(30), withCPUs(4))
				j := c.fleet.Jobs[id]
				j.Fails = true
				c.fleet.Jobs[id] = j
				bad = append(bad, id)
			}
			for i := 0; i < 4; i++ {
				good = append(good, c.submit(4*second, withTasks(12), withCPUs(1)))
				c.sim.Run(3 * second)
			}
			for _, id := range good {
				c.requireFinished(id, 60*second)
			}
			c.sim.Run(30 * second)
			for id := range sick {
				if !c.cloud.Machines[id].Gone {
					t.Errorf("%s, on which everything fails, is still there", id)
				}
			}
			again := 0 // replicas that had to start anew: their machine was given back
			for task, n := range c.fleet.Starts {
				if jobIDOfTask(task) == keep {
					again += n - 1
				}
			}
			if again > moved {
				t.Errorf("%d replicas started anew, %d stood on faulty machines", again, moved)
			}
			if n := c.cloud.MachineCount(); n > 4 {
				t.Errorf("%d machines for six replicas and an occasional trial", n)
			}
			starts, tasks := 0, 30*tc.mistakes
			for task, n := range c.fleet.Starts {
				for _, id := range bad {
					if jobIDOfTask(task) == id {
						starts += n
					}
				}
			}
			if tasks > 0 && (starts < 3 || starts > 2*tasks) {
				t.Errorf("%d starts of %d mistaken tasks", starts, tasks)
			}
			for i, id := range bad {
				response := c.requestAndWait(c.nodeNames[i%3], "POST", protocol.CancelPath(id), nil)
				if response.Status != 200 {
					t.Errorf("cancelling %s: %d", id, response.Status)
				}
				c.checker.CancellationConfirmed(id)
			}
			c.sim.Run(40 * second)
			for _, id := range bad {
				if c.fleet.Running(id) > 0 {
					t.Errorf("%s still runs", id)
				}
				if c.nodes["n-0"].controller.mirror.Jobs[id] != nil {
					t.Errorf("%s has left a record", id)
				}
			}
			c.requireNoViolations()
		})
	}
}

// TestCrashLoopEndsOnSuccess: a job that failed on several faulty machines goes on at once
// when something of it completes, and soon when its machines turn out faulty.
func TestCrashLoopEndsOnSuccess(t *testing.T) {
	c := newCluster(t, 950).startWithLeader()
	keep := c.submit(0, withService(true), withTasks(24), withCPUs(2))
	if !c.sim.RunUntil(60*second, func() bool { return c.fleet.Running(keep) == 24 }) {
		t.Fatal("the service isn't up")
	}
	n := 0
	for _, id := range sortedmap.Keys(c.fleet.Workers) {
		if worker := c.fleet.Workers[id]; n < 3 && !worker.Machine.Gone {
			worker.FailsTasks = true
			n++
		}
	}
	ids := []string{
		c.submit(3*second, withTasks(40), withCPUs(0.5)),
		c.submit(3*second, withTasks(1), withCPUs(0.5)),
	}
	for _, id := range ids {
		c.requireFinished(id, 45*second)
	}
	c.requireNoViolations()
}

// TestCrashLoopingJobIsRetriedOnNewMachine: a job that failed on all machines there were is tried again
// though none is left and nothing else would have any requested: it may have been the machines.
func TestCrashLoopingJobIsRetriedOnNewMachine(t *testing.T) {
	c := newCluster(t, 960)
	c.settings.ScaleDownDelay, c.settings.ServiceHeadroom = config.Duration(5*second), 0.3
	c.startWithLeader()
	id := c.submit(2*second, withTasks(40), withCPUs(4))
	c.sim.RunUntil(60*second, func() bool {
		for _, worker := range c.fleet.Workers {
			worker.FailsTasks = true
		}
		return c.nodes["n-0"].controller.scheduler.AttributeFailures(id) == scheduling.JobAtFault
	})
	c.sim.Run(2 * second)
	c.requireFinished(id, 400*second)
	c.requireNoViolations()
}
