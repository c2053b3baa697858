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

// What a commit may have assigned stays in doubt until it is known not to have been made, or the mirror shows
// another version of the shard.
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
			if !h.m.TasksInDoubt()[task] || h.m.UseInDoubt("team").CPUs != 2 || !h.m.AwaitsCommit(h.clock) {
				t.Fatal("in flight and not in doubt")
			}
			if len(h.m.PrepareUpdates(h.clock)) > 0 {
				t.Error("a second update beside a commit in flight")
			}
			h.completeCommit(protocol.StoreResult{Outcome: tc.outcome})
			if got := h.m.TasksInDoubt()[task]; got != tc.inDoubt {
				t.Errorf("in doubt: %v, want %v", got, tc.inDoubt)
			}
			if h.m.CommitInFlight() {
				t.Error("in flight after its outcome")
			}
			if tc.inDoubt && !h.m.PrepareUpdates(h.clock)[0].Changed() {
				t.Error("the shard isn't written anew to settle it")
			}
			h.putShard("p", ownNode, ownIncarnation, "i-1") // any other version settles it
			if h.m.TasksInDoubt()[task] || h.m.UseInDoubt("team").CPUs != 0 {
				t.Error("in doubt at another version")
			}
		})
	}
}

// A later commit that fails doesn't settle what became of an earlier one without an answer.
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
		t.Errorf("in doubt: %v", inDoubt)
	}
}

// A commit in flight holds the next pass up for a while only.
func TestAwaitsCommit(t *testing.T) {
	h := newHarness(t)
	h.putShard("p", ownNode, ownIncarnation, "i-1")
	h.m.Commit(h.m.PrepareUpdates(h.clock)[0], h.clock)
	for _, tc := range []struct {
		after monotime.Micros
		want  bool
	}{{0, true}, {maxInFlightCommitWait - 1, true}, {maxInFlightCommitWait, false}} {
		if got := h.m.AwaitsCommit(h.clock + tc.after); got != tc.want {
			t.Errorf("after %v s: %v", tc.after.Seconds(), got)
		}
	}
}

// What the next version of a shard says, and whether it is to be written.
func TestPrepare(t *testing.T) {
	task := mirror.TaskID{Job: "j-1", Index: 0}
	for _, tc := range []struct {
		name    string
		set     func(h *harness)
		after   monotime.Micros // between two passes
		changed bool
		check   func(u *Update) bool
	}{
		{name: "nothing new", set: func(*harness) {}},
		{
			name:    "completed attempt",
			set:     func(h *harness) { h.endedAttempts[task] = true },
			changed: true,
			check: func(u *Update) bool {
				return u.completedTaskJobs["j-1"] && u.FreedQuota("team").CPUs == 2 &&
					u.FreeAfter("i-1", resources.Vector{}).CPUs == 2
			},
		},
		{
			name:    "failed attempt",
			set:     func(h *harness) { h.endedAttempts[task] = false },
			changed: true,
			check:   func(u *Update) bool { return !u.completedTaskJobs["j-1"] && u.releasedTasks[task] },
		},
		{
			name:    "other state",
			set:     func(h *harness) { h.states["i-1"] = storage.MachineCordoned },
			changed: true,
			check:   func(u *Update) bool { return u.Machines()["i-1"].State == storage.MachineCordoned },
		},
		{
			name: "machine gone",
			set: func(h *harness) {
				record := storage.ScaleInRequest{Machines: []string{"i-1"}, Deleted: true}
				h.put(storage.ScaleInKey("s"), protocol.MustMarshal(&record))
			},
			changed: true,
			check:   func(u *Update) bool { return len(u.Machines()) == 0 && u.releasedTasks[task] },
		},
		{name: "mark", set: func(h *harness) { h.startingMarksChange = true }},
		{
			name:    "mark that has waited",
			set:     func(h *harness) { h.startingMarksChange = true },
			after:   staleEntriesRewriteDelay + 1,
			changed: true,
		},
		{
			name:    "mark that a drain waits for",
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
				t.Errorf("changed: %v", update.Changed())
			}
			if tc.check != nil && !tc.check(update) {
				t.Errorf("update %+v", update)
			}
		})
	}
}

// Once an update is in the store its losses count, its jobs are completed and its machines get their commands.
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
			t.Errorf("%s: lost %v, completed %v, synced %v", tc.outcome, h.lostTasks, h.completedJobs, h.synced)
		}
		if h.passRequests == 0 {
			t.Errorf("%s: no pass is requested", tc.outcome)
		}
	}
}

// The bound of the encoded size holds however tasks are assigned.
func TestMaxBytesBoundsEncodedSize(t *testing.T) {
	const tasks = 3000
	for _, tc := range []struct {
		name      string
		stride    int // between tasks
		runLength int // tasks that go to the same machine one after another
		starting  bool
	}{
		{"ranges", 1, 50, false},
		{"no ranges", 2, 50, false},
		{"no ranges, starting", 2, 50, true},
		{"machines in turn", 1, 1, false},
		{"machines in turn, starting", 1, 1, true},
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
					continue // encoding is slow
				}
				if _, size := update.next.Encode(); size > update.MaxBytes() {
					t.Fatalf("task %d: %d bytes, bound %d", task, size, update.MaxBytes())
				}
			}
		})
	}
}

// What an update releases of a team's quota can be used once.
func TestUseFreedQuota(t *testing.T) {
	h := newHarness(t)
	job := h.putJob("j-1", 1)
	update := NewUpdate("p", nil, emptyShard(ownNode, ownIncarnation))
	update.release("i-1", mirror.TaskID{Job: "j-1"}, false, job)
	update.release("i-1", mirror.TaskID{Job: "j-9"}, false, nil) // its record is gone: nothing is known of it
	if !update.UseFreedQuota("team", resources.Vector{CPUs: 2}) {
		t.Error("what was released can't be used")
	}
	if update.UseFreedQuota("team", resources.Vector{CPUs: 2}) {
		t.Error("it can be used twice")
	}
}
