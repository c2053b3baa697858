package coordination

import (
	"testing"

	"pipitgap/internal/config"
	"pipitgap/internal/protocol"
	"pipitgap/internal/scheduling"
	"pipitgap/internal/sortedmap"
)

// TestCrashLoopingJobsCostNoMachines guards against faulty jobs that cause the removal of good machines. Jobs
// that fail everywhere, beside good jobs, may cost a few trial starts, but no machine and no rental. A
// machine on which everything fails must still be found and replaced, and the tasks that failed there must
// continue elsewhere. Earlier, each failed job counted as evidence against its machines, and all of its tasks
// were tried again after every pause.
func TestCrashLoopingJobsCostNoMachines(t *testing.T) {
	for _, tc := range []struct {
		name           string
		faultyJobs     int
		faultyMachines int
	}{
		{"faulty jobs", 3, 0},
		{"a faulty machine", 0, 1},
		{"both", 3, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, uint64(900+tc.faultyJobs+tc.faultyMachines))
			c.settings.ScaleDownDelay = config.Duration(8 * second)
			c.startWithLeader()
			service := c.submit(0, withService(true), withTasks(6), withCPUs(1)) // keeps machines up
			if !c.sim.RunUntil(60*second, func() bool { return c.fleet.Running(service) == 6 }) {
				t.Fatalf("service: got %d running replicas after 60 s, want 6", c.fleet.Running(service))
			}
			var good, faulty []string
			for i := 0; i < 2; i++ {
				good = append(good, c.submit(4*second, withTasks(12), withCPUs(1)))
			}
			c.sim.Run(2 * second)
			faultyMachines, onFaultyMachines := map[string]bool{}, 0
			for _, id := range sortedmap.Keys(c.fleet.Workers) {
				if worker := c.fleet.Workers[id]; len(faultyMachines) < tc.faultyMachines && !worker.Machine.Gone &&
					len(worker.Attempts) < 4 {
					worker.FailsTasks, faultyMachines[id] = true, true
					for task := range worker.Attempts {
						if jobIDOfTask(task) == service {
							onFaultyMachines++
						}
					}
				}
			}
			for i := 0; i < tc.faultyJobs; i++ {
				id := c.submit(4*second, withTasks(30), withCPUs(4))
				behavior := c.fleet.Jobs[id]
				behavior.Fails = true
				c.fleet.Jobs[id] = behavior
				faulty = append(faulty, id)
			}
			for i := 0; i < 4; i++ {
				good = append(good, c.submit(4*second, withTasks(12), withCPUs(1)))
				c.sim.Run(3 * second)
			}
			for _, id := range good {
				c.requireFinished(id, 60*second)
			}
			c.sim.Run(30 * second)
			for id := range faultyMachines {
				if !c.cloud.Machines[id].Gone {
					t.Errorf("machine %s, on which every task fails: got it still rented, want it removed", id)
				}
			}
			restarted := 0 // starts of replicas beyond the first: their machine was removed
			for task, n := range c.fleet.Starts {
				if jobIDOfTask(task) == service {
					restarted += n - 1
				}
			}
			if restarted > onFaultyMachines {
				t.Errorf("got %d restarted replicas, want at most the %d on faulty machines", restarted, onFaultyMachines)
			}
			if n := c.cloud.MachineCount(); n > 4 {
				t.Errorf("got %d machines for six replicas and an occasional trial start, want at most 4", n)
			}
			starts, tasks := 0, 30*tc.faultyJobs
			for task, n := range c.fleet.Starts {
				for _, id := range faulty {
					if jobIDOfTask(task) == id {
						starts += n
					}
				}
			}
			if tasks > 0 && (starts < 3 || starts > 2*tasks) {
				t.Errorf("got %d starts of %d tasks of faulty jobs, want 3 to %d", starts, tasks, 2*tasks)
			}
			for i, id := range faulty {
				response := c.requestAndWait(c.nodeNames[i%3], "POST", protocol.CancelPath(id), nil)
				if response.Status != 200 {
					t.Errorf("cancellation of %s: got status %d, want 200", id, response.Status)
				}
				c.checker.CancellationConfirmed(id)
			}
			c.sim.Run(40 * second)
			for _, id := range faulty {
				if c.fleet.Running(id) > 0 {
					t.Errorf("job %s: got %d running tasks 40 s after its cancellation, want 0",
						id, c.fleet.Running(id))
				}
				if c.nodes["n-0"].controller.mirror.Jobs[id] != nil {
					t.Errorf("job %s: got a record 40 s after its cancellation, want none", id)
				}
			}
			c.requireNoViolations()
		})
	}
}

// TestCrashLoopEndsOnSuccess checks that a job that failed on several faulty machines continues at once when
// one of its tasks completes, and soon when its machines turn out to be faulty.
func TestCrashLoopEndsOnSuccess(t *testing.T) {
	c := newCluster(t, 950).startWithLeader()
	service := c.submit(0, withService(true), withTasks(24), withCPUs(2))
	if !c.sim.RunUntil(60*second, func() bool { return c.fleet.Running(service) == 24 }) {
		t.Fatalf("service: got %d running replicas after 60 s, want 24", c.fleet.Running(service))
	}
	faulty := 0
	for _, id := range sortedmap.Keys(c.fleet.Workers) {
		if worker := c.fleet.Workers[id]; faulty < 3 && !worker.Machine.Gone {
			worker.FailsTasks = true
			faulty++
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

// TestCrashLoopingJobIsRetriedOnNewMachine checks that a job that failed on all existing machines is tried
// again although no machine is left and no other job requests one: the machines may have been at fault.
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
