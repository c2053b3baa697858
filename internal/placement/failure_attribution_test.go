package placement

import (
	"testing"

	"pipitgap/internal/agents"
	"pipitgap/internal/scheduling"
	"pipitgap/internal/storage"
	"pipitgap/internal/storage/storagetest"
)

// TestFailureAttributionOfMachines: a machine is faulty when jobs that run elsewhere fail on it, not when
// jobs fail that fail everywhere; until either is known it gets nothing new.
func TestFailureAttributionOfMachines(t *testing.T) {
	c := newTestController()
	mr := c.mirror
	next := mr.WatchedRevision + 1 // the mirror takes nothing older
	mr.ApplyPut(storage.OpenJobKey("runs"), storagetest.OpenJob(4), next)
	mr.ApplyPut(storage.ShardKey("other"), storagetest.Shard("i-9", "runs", 1, 2), next+1)
	mr.ApplyPut(storage.OpenJobKey("new"), storagetest.OpenJob(4), next)
	mr.ApplyPut(storage.OpenJobKey("here"), storagetest.OpenJob(4), next)
	mr.ApplyPut(storage.OpenJobKey("others"), storagetest.OpenJob(4), next)
	mr.Results.Add("ended", storage.JobDone)
	mr.Results.Add("dropped", storage.JobCancelled)
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
		{"nothing", nil, false, false},
		{"one that runs elsewhere", map[string]int{"runs": 1}, false, false},
		{"again", map[string]int{"runs": 2}, true, true},
		{"and one that was done since", map[string]int{"runs": 1, "ended": 1}, true, true},
		{"of one that nothing is known of", map[string]int{"new": 5}, false, true},
		{"with one that runs elsewhere", map[string]int{"new": 1, "runs": 1}, false, true},
		{"of one that fails everywhere", map[string]int{"here": 9}, false, false},
		{"of one that fails at others too", map[string]int{"others": 9}, false, false},
		{"of two that fail everywhere", map[string]int{"here": 4, "others": 4, "runs": 1}, false, false},
		{"of one that was cancelled", map[string]int{"dropped": 4}, false, false},
	} {
		agent := agents.New(1, 0)
		for job, failures := range tc.failures {
			for range failures {
				agent.Failures().RecordFailure(job)
			}
		}
		fault := c.scheduler.MachineFault(agent)
		if want := (scheduling.MachineFault{Faulty: tc.faulty, Doubtful: tc.doubtful}); fault != want {
			t.Errorf("%s: %+v, want %+v", tc.name, fault, want)
		}
	}
}
