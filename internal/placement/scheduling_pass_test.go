package placement

import (
	"testing"

	"pipitgap/internal/durations"
	"pipitgap/internal/membership"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// TestPassConditions guards against passes whose assignments depend on unknown state or on a lost lease. Such
// a pass does not run and stays due.
func TestPassConditions(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(*testController)
		runs   bool
	}{
		{"no obstacle", func(*testController) {}, true},
		{"state service unavailable", func(c *testController) { c.storeUnavailable = true }, false},
		{"lease lost", func(c *testController) { c.leaseLost = true }, false},
		{"quota shares being written", func(c *testController) { c.quotaWriteInFlight = true }, false},
		{"a shard's commit in flight", func(c *testController) { c.commitAwaited = true }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newTestController()
			tc.change(c)
			c.scheduler.RequestPass()
			c.scheduler.RunPass(c.now)
			if ran := c.passes > 0; ran != tc.runs {
				t.Errorf("pass ran: got %v, want %v", ran, tc.runs)
			}
			if due := c.scheduler.PassDue(c.now + monotime.Minute); due == tc.runs {
				t.Errorf("pass due a minute after RunPass: got %v, want %v", due, !tc.runs)
			}
			c.scheduler.RequestPass()
			if due := c.scheduler.PassDue(c.now + durations.FastTickInterval); due == tc.runs {
				t.Errorf("requested pass due at the next fast tick: got %v, want %v", due, !tc.runs)
			}
		})
	}
}

// TestPassWaitsForMemberRecord guards against an assignment beside one of an earlier incarnation that is still in
// doubt: as long as the member record is not current, passes move no tasks and stay due.
func TestPassWaitsForMemberRecord(t *testing.T) {
	const job = "j-6" // rendezvous hashing selects n-0 to adopt its tasks
	if owner := membership.RendezvousOwner(job, testControllers); owner != "n-0" {
		t.Fatalf("rendezvous owner of %s: got %s, want n-0", job, owner)
	}
	for _, current := range []bool{false, true} {
		c := newTestController()
		c.recordNotCurrent = !current
		c.absent = map[string]bool{"n-1": true}
		c.mirror.Jobs[job] = &mirror.Job{
			ID: job, Version: 1, TaskStates: make([]uint8, 1),
			Record: storage.OpenJob{
				Spec:       storage.JobSpec{Team: "free", Tasks: 1, CPUs: 1},
				TaskRanges: []storage.TaskRange{{First: 0, End: 1, Partition: "n-1"}},
			},
		}
		c.scheduler.RequestPass()
		c.scheduler.RunPass(c.now)
		if c.passes != 1 {
			t.Errorf("record current %t: got %d passes, want 1", current, c.passes)
		}
		if adopted := len(c.reassigned) > 0; adopted != current {
			t.Errorf("record current %t: got tasks adopted %t, want %t", current, adopted, current)
		}
		if due := c.scheduler.PassDue(c.now + monotime.Second); due == current {
			t.Errorf("record current %t: got next pass due %t, want %t", current, due, !current)
		}
	}
}

// TestPassAfterCommit checks that each outcome of a shard's commit requests a pass, and that failures delay
// it. A conflict on a job's record also delays placement of that job.
func TestPassAfterCommit(t *testing.T) {
	for _, tc := range []struct {
		name   string
		result protocol.StoreResult
		delay  monotime.Micros
		job    monotime.Micros // delay of the job's placement
	}{
		{"committed", protocol.StoreResult{Outcome: protocol.OK}, 0, 0},
		{"unknown", protocol.StoreResult{Outcome: protocol.Unknown}, 0, 0},
		{
			"conflict on a job",
			protocol.StoreResult{
				Outcome: protocol.Conflict,
				Failed:  []string{storage.OpenJobKey("j-1")},
			},
			50 * monotime.Millisecond, 100 * monotime.Millisecond,
		},
		{
			"conflict on a shard",
			protocol.StoreResult{
				Outcome: protocol.Conflict,
				Failed:  []string{storage.ShardKey("j-1")},
			},
			50 * monotime.Millisecond, 0,
		},
		{"rejected", protocol.StoreResult{Outcome: protocol.Rejected}, monotime.Second, 0},
		{"throttled", protocol.StoreResult{Outcome: protocol.Throttled}, 300 * monotime.Millisecond, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newTestController()
			c.scheduler.HandleShardCommitResult(tc.result)
			early := tc.delay > 0 && c.scheduler.PassDue(c.now+tc.delay-1)
			if early || !c.scheduler.PassDue(c.now+tc.delay) {
				t.Errorf("pass due 1 us before its delay of %d us: got %v, want false; due after it: got %v, want true",
					tc.delay, early, c.scheduler.PassDue(c.now+tc.delay))
			}
			delayed := c.scheduler.PlacementDelayed("j-1", c.now+tc.job-1)
			if delayed != (tc.job > 0) || c.scheduler.PlacementDelayed("j-1", c.now+tc.job) {
				t.Errorf("placement of j-1 delayed until %d us: got %v, want %v; delayed after that: got %v, want false",
					tc.job, delayed, tc.job > 0, c.scheduler.PlacementDelayed("j-1", c.now+tc.job))
			}
		})
	}
}
