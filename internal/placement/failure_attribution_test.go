package placement

import (
	"testing"

	"pipitgap/internal/agents"
	"pipitgap/internal/mirror"
	"pipitgap/internal/scheduling"
	"pipitgap/internal/storage"
	"pipitgap/internal/storage/storagetest"
)

// TestFailureAttributionOfMachines guards against blaming a machine for a faulty job, and the reverse. A
// machine is faulty if healthy jobs, which run elsewhere, fail on it, but not if the failing jobs fail
// everywhere. While the fault is unknown, the machine is doubtful and gets no new tasks.
func TestFailureAttributionOfMachines(t *testing.T) {
	c := newTestController()
	mr := c.mirror
	next := mr.WatchedRevision + 1 // the mirror ignores older revisions
	mr.ApplyPut(storage.OpenJobKey("runs"), storagetest.OpenJob(4), next)
	mr.ApplyPut(storage.ShardKey("other"), storagetest.Shard("i-9", "runs", 1, 2), next+1)
	mr.ApplyPut(storage.OpenJobKey("new"), storagetest.OpenJob(4), next)
	mr.ApplyPut(storage.OpenJobKey("here"), storagetest.OpenJob(4), next)
	mr.ApplyPut(storage.OpenJobKey("others"), storagetest.OpenJob(4), next)
	mr.Results.Add("ended", mirror.Result{State: storage.JobDone})
	mr.Results.Add("dropped", mirror.Result{State: storage.JobCancelled})
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		c.scheduler.trackingOf("here").failures.Record(id, 0)
	}
	c.scheduler.trackingOf("others").failures.Record("i-1", 0)
	c.failedAtPeers = map[string]int{"others": 2}
	for _, tc := range []struct {
		name             string
		failures         map[string]int
		faulty, doubtful bool
	}{
		{"no failures", nil, false, false},
		{"one failure of a healthy job", map[string]int{"runs": 1}, false, false},
		{"two failures of a healthy job", map[string]int{"runs": 2}, true, true},
		{"one failure of a healthy job, one of a completed job", map[string]int{"runs": 1, "ended": 1}, true, true},
		{"failures of a job without evidence", map[string]int{"new": 5}, false, true},
		{"one failure of a job without evidence, one of a healthy job", map[string]int{"new": 1, "runs": 1}, false, true},
		{"failures of a job that fails on every machine", map[string]int{"here": 9}, false, false},
		{"failures of a job that also fails at other controllers", map[string]int{"others": 9}, false, false},
		{"failures of two faulty jobs, one of a healthy job", map[string]int{"here": 4, "others": 4, "runs": 1}, false, false},
		{"failures of a cancelled job", map[string]int{"dropped": 4}, false, false},
	} {
		agent := agents.New(1, 0)
		for job, failures := range tc.failures {
			for range failures {
				agent.Failures().RecordFailure(job)
			}
		}
		fault := c.scheduler.MachineFault(agent)
		if want := (scheduling.MachineFault{Faulty: tc.faulty, FailureProne: tc.doubtful}); fault != want {
			t.Errorf("%s: got fault %+v, want %+v", tc.name, fault, want)
		}
	}
}
