package shards

import (
	"slices"
	"testing"

	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

// Assignments of a commit stay in doubt until the commit has certainly failed or the mirror shows another
// version of the shard.
func TestTasksInDoubt(t *testing.T) {
	task := mirror.TaskID{Job: "j-1", Index: 5}
	for _, tc := range []struct {
		name    string
		outcome protocol.Outcome
		inDoubt bool
	}{
		{"committed", protocol.OK, false},
		{"conflict", protocol.Conflict, false},
		{"throttled", protocol.Throttled, false},
		{"rejected", protocol.Rejected, false},
		{"no answer", protocol.Unknown, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			job := h.putJob("j-1", 6)
			h.putShard("p", ownNode, ownIncarnation, "i-1")
			update := h.m.PrepareUpdates(h.clock)[0]
			update.Assign(job, storage.Attempt{Task: task.Index, Machine: "i-1", Number: 2}, false)
			h.m.Commit(update, h.clock)
			if !h.m.TasksInDoubt()[task] || h.m.UseInDoubt("team").CPUs != 2 || !h.m.ShouldAwaitCommit(h.clock) {
				t.Fatalf("commit in flight: got tasks %v and %v CPUs in doubt, awaits commit %v; want %v, 2, true",
					h.m.TasksInDoubt(), h.m.UseInDoubt("team").CPUs, h.m.ShouldAwaitCommit(h.clock), task)
			}
			if len(h.m.PrepareUpdates(h.clock)) > 0 {
				t.Error("a second update of the shard was prepared while its commit is in flight, want none")
			}
			h.completeCommit(protocol.StoreResult{Outcome: tc.outcome})
			if got := h.m.TasksInDoubt()[task]; got != tc.inDoubt {
				t.Errorf("task in doubt after the outcome: got %v, want %v", got, tc.inDoubt)
			}
			if h.m.CommitInFlight() {
				t.Error("commit in flight after its outcome: got true, want false")
			}
			if tc.inDoubt && !h.m.PrepareUpdates(h.clock)[0].Changed() {
				t.Error("next update with a commit in doubt: got unchanged, want changed")
			}
			h.putShard("p", ownNode, ownIncarnation, "i-1") // any other version resolves the commit
			if h.m.TasksInDoubt()[task] || h.m.UseInDoubt("team").CPUs != 0 {
				t.Errorf("in doubt at another version: got tasks %v, %v CPUs; want %v resolved, 0 CPUs",
					h.m.TasksInDoubt(), h.m.UseInDoubt("team").CPUs, task)
			}
		})
	}
}

// A conflict of a later commit doesn't resolve an earlier commit that got no answer: the earlier commit may
// have caused the conflict.
func TestConflictDoesNotSettleEarlierCommit(t *testing.T) {
	h := newHarness(t)
	job := h.putJob("j-1", 6)
	h.putShard("p", ownNode, ownIncarnation, "i-1")
	for i, outcome := range []protocol.Outcome{protocol.Unknown, protocol.Conflict} {
		update := h.m.PrepareUpdates(h.clock)[0]
		update.Assign(job, storage.Attempt{Task: 3 + i, Machine: "i-1", Number: 2}, false)
		h.m.Commit(update, h.clock)
		h.completeCommit(protocol.StoreResult{Outcome: outcome})
	}
	inDoubt := h.m.TasksInDoubt()
	if len(inDoubt) != 1 || !inDoubt[mirror.TaskID{Job: "j-1", Index: 3}] {
		t.Errorf("tasks in doubt: got %v, want only task 3", inDoubt)
	}
}

// The next pass waits for a commit in flight, but not longer than maxInFlightCommitWait.
func TestAwaitsCommit(t *testing.T) {
	h := newHarness(t)
	h.putShard("p", ownNode, ownIncarnation, "i-1")
	h.m.Commit(h.m.PrepareUpdates(h.clock)[0], h.clock)
	for _, tc := range []struct {
		after monotime.Micros
		want  bool
	}{{0, true}, {maxInFlightCommitWait - 1, true}, {maxInFlightCommitWait, false}} {
		if got := h.m.ShouldAwaitCommit(h.clock + tc.after); got != tc.want {
			t.Errorf("after %v s: got awaits commit %v, want %v", tc.after.Seconds(), got, tc.want)
		}
	}
}

// PrepareUpdates puts ended attempts, machine states and start marks into the next version of a shard, and
// reports whether that version must be written now.
func TestPrepare(t *testing.T) {
	task := mirror.TaskID{Job: "j-1", Index: 0}
	for _, tc := range []struct {
		name    string
		set     func(h *harness)
		after   monotime.Micros // delay between two passes
		changed bool
		check   func(u *Update) bool
	}{
		{name: "no change", set: func(*harness) {}},
		{
			name:    "completed attempt",
			set:     func(h *harness) { h.endedAttempts[task] = true },
			changed: true,
			check: func(u *Update) bool {
				return u.completedTaskJobs["j-1"] && u.FreedQuota("team").CPUs == 2 &&
					u.FreeResourcesAfter("i-1", resources.Vector{}).CPUs == 2
			},
		},
		{
			name:    "failed attempt",
			set:     func(h *harness) { h.endedAttempts[task] = false },
			changed: true,
			check:   func(u *Update) bool { return !u.completedTaskJobs["j-1"] && u.releasedTasks[task] },
		},
		{
			name:    "different machine state",
			set:     func(h *harness) { h.states["i-1"] = storage.MachineCordoned },
			changed: true,
			check:   func(u *Update) bool { return u.Machines()["i-1"].State == storage.MachineCordoned },
		},
		{
			name: "deleted machine",
			set: func(h *harness) {
				record := storage.ScaleInRequest{Machines: []string{"i-1"}, Deleted: true}
				h.put(storage.ScaleInKey("s"), protocol.MustMarshal(&record))
			},
			changed: true,
			check:   func(u *Update) bool { return len(u.Machines()) == 0 && u.releasedTasks[task] },
		},
		{name: "new start mark", set: func(h *harness) { h.startingMarksChange = true }},
		{
			name:    "start mark older than the rewrite delay",
			set:     func(h *harness) { h.startingMarksChange = true },
			after:   staleEntriesRewriteDelay + 1,
			changed: true,
		},
		{
			name:    "start mark that a drain waits for",
			set:     func(h *harness) { h.startingMarksChange, h.drainsHaveWork = true, true },
			changed: true,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			h.putJob("j-1", 1)
			h.putShard("p", ownNode, ownIncarnation, "i-1")
			tc.set(h)
			h.m.PrepareUpdates(h.clock)
			update := h.m.PrepareUpdates(h.clock + tc.after)[0]
			if update.Changed() != tc.changed {
				t.Errorf("update changed: got %v, want %v", update.Changed(), tc.changed)
			}
			if tc.check != nil && !tc.check(update) {
				t.Errorf("update has unexpected contents: %+v", update)
			}
		})
	}
}

// After a successful commit, and only then, the losses are counted, the jobs are completed and the machines
// get their commands. Every outcome requests another pass.
func TestCommittedUpdateTriggersFollowUps(t *testing.T) {
	for _, tc := range []struct {
		outcome protocol.Outcome
		want    bool
	}{{protocol.OK, true}, {protocol.Conflict, false}, {protocol.Unknown, false}} {
		h := newHarness(t)
		job := h.putJob("j-1", 2)
		h.putShard("p", ownNode, ownIncarnation, "i-1")
		h.endedAttempts[mirror.TaskID{Job: "j-1", Index: 0}] = true
		update := h.m.PrepareUpdates(h.clock)[0]
		update.Assign(job, storage.Attempt{Task: 1, Machine: "i-1", Number: 2}, false)
		h.m.Commit(update, h.clock)
		h.completeCommit(protocol.StoreResult{Outcome: tc.outcome})
		got := len(h.lostTasks) == 1 && slices.Equal(h.completedJobs, []string{"j-1"}) &&
			slices.Equal(h.synced, []string{"i-1"})
		none := len(h.lostTasks)+len(h.completedJobs)+len(h.synced) == 0
		if tc.want && !got || !tc.want && !none {
			t.Errorf("%s: got lost tasks %v, completed jobs %v, synced machines %v; want one of each: %v",
				tc.outcome, h.lostTasks, h.completedJobs, h.synced, tc.want)
		}
		if h.passRequests == 0 {
			t.Errorf("%s: got 0 requested passes, want at least 1", tc.outcome)
		}
	}
}

// MaxBytes bounds the encoded size for every pattern of assignments.
func TestMaxBytesBoundsEncodedSize(t *testing.T) {
	const tasks = 3000
	for _, tc := range []struct {
		name      string
		stride    int // difference between consecutive task numbers
		runLength int // consecutive tasks on the same machine
		starting  bool
	}{
		{"ranges", 1, 50, false},
		{"no ranges", 2, 50, false},
		{"no ranges, starting", 2, 50, true},
		{"alternating machines", 1, 1, false},
		{"alternating machines, starting", 1, 1, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			h.putShard("p", ownNode, ownIncarnation, "i-1", "i-2")
			update := h.m.PrepareUpdates(h.clock)[0]
			job := h.putJob("j-100", tasks)
			last := storage.Attempt{Task: -2}
			for task := 0; task < tasks; task += tc.stride {
				attempt := storage.Attempt{
					Task:     task,
					Machine:  []string{"i-1", "i-2"}[task/tc.runLength%2],
					Number:   1 << 40,
					Starting: tc.starting,
				}
				update.BeginJob(job)
				update.Assign(job, attempt, last.Machine == attempt.Machine && last.Task == task-1)
				last = attempt
				if task%100 > 2 {
					continue // encoding is slow: check only task numbers 0 to 2 of each hundred
				}
				if _, size := update.next.Encode(); size > update.MaxBytes() {
					t.Fatalf("task %d: got %d bytes, want at most %d", task, size, update.MaxBytes())
				}
			}
		})
	}
}

// The quota that an update releases can be used only once.
func TestUseFreedQuota(t *testing.T) {
	h := newHarness(t)
	job := h.putJob("j-1", 1)
	update := NewUpdate("p", nil, emptyShard(ownNode, ownIncarnation), h.fence())
	update.release("i-1", mirror.TaskID{Job: "j-1"}, false, job)
	update.release("i-1", mirror.TaskID{Job: "j-9"}, false, nil) // no job record: resources unknown
	if !update.UseFreedQuota("team", resources.Vector{CPUs: 2}) {
		t.Error("first use of the released quota: got false, want true")
	}
	if update.UseFreedQuota("team", resources.Vector{CPUs: 2}) {
		t.Error("second use of the released quota: got true, want false")
	}
}

// TestBeginJobConditions guards against two assignments that are decided without each other and both succeed: those
// of two incarnations, and those of a job with a zone rule.
func TestBeginJobConditions(t *testing.T) {
	for _, tc := range []struct {
		name    string
		spec    storage.JobSpec
		rewrite bool // the commit writes the job's record again
	}{
		{"no zone rule", storage.JobSpec{Tasks: 2}, false},
		{"one zone", storage.JobSpec{Tasks: 2, OneZone: true}, true},
		{"spread", storage.JobSpec{Tasks: 2, Spread: true}, true},
		{"one zone, one task", storage.JobSpec{Tasks: 1, OneZone: true}, false},
	} {
		h := newHarness(t)
		h.putShard("p", ownNode, ownIncarnation, "i-1")
		h.put(storage.OpenJobKey("j-2"), protocol.MustMarshal(&storage.OpenJob{Spec: tc.spec}))
		job := h.mirror.Jobs["j-2"]
		update := h.m.PrepareUpdates(h.clock)[0]
		update.BeginJob(job)
		update.BeginJob(job) // no effect
		want := []protocol.Compare{
			h.fence(),
			{Key: storage.OpenJobKey("j-2"), Version: job.Version},
			{Key: storage.JobResultKey("j-2")},
		}
		if !slices.Equal(update.txn.If, want) {
			t.Errorf("%s: got conditions %+v, want %+v", tc.name, update.txn.If, want)
		}
		if rewritten := update.findPut(storage.OpenJobKey("j-2")) >= 0; rewritten != tc.rewrite {
			t.Errorf("%s: got record written %t, want %t", tc.name, rewritten, tc.rewrite)
		}
		wantWrites := 1
		if tc.rewrite {
			wantWrites = 2
		}
		if update.Writes() != wantWrites || update.OtherBytes() > 0 != tc.rewrite || update.TakesOverMachines() {
			t.Errorf("%s: got %d writes, %d other bytes, takes over machines %t; want %d, above 0: %t, false",
				tc.name, update.Writes(), update.OtherBytes(), update.TakesOverMachines(), wantWrites, tc.rewrite)
		}
	}
}
