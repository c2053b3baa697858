package jobs

import (
	"log/slog"
	"slices"
	"testing"

	"pipitgap/internal/fake/stubs"
	"pipitgap/internal/mirror"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/storage"
)

const (
	thisNode = "n-0"
	jobID    = "j-1"
)

// fakeDependencies is all that a finisher depends on. Commits are kept until the test answers them.
type fakeDependencies struct {
	stubs.HeldCommits
	mirror      *mirror.Mirror
	unavailable bool
	notOwned    bool
	writes      map[string]bool
}

func newFakeDependencies() *fakeDependencies {
	return &fakeDependencies{mirror: mirror.New(), writes: map[string]bool{}}
}

func (d *fakeDependencies) finisher() *Finisher {
	return NewFinisher(Config{
		Log: slog.New(slog.DiscardHandler), Mirror: d.mirror, StateService: d, Committer: d,
		PriorityClasses: d, WritesInFlight: d, Membership: d, Node: thisNode,
	})
}

func (d *fakeDependencies) Unavailable() bool        { return d.unavailable }
func (d *fakeDependencies) Contains(job string) bool { return d.writes[job] }
func (d *fakeDependencies) Begin(job string)         { d.writes[job] = true }
func (d *fakeDependencies) End(job string)           { delete(d.writes, job) }

// LiveControllers has one other controller where this one isn't to own any job.
func (d *fakeDependencies) LiveControllers() []string {
	if d.notOwned {
		return []string{"n-1"}
	}
	return []string{thisNode}
}

func (d *fakeDependencies) PriorityClass(_ *storage.JobSpec, defaultClass ratelimit.Priority) ratelimit.Priority {
	return defaultClass
}

// addJob puts a job of two tasks into a mirror that has come to revision 10.
func (d *fakeDependencies) addJob(id string, change func(*mirror.Job)) {
	job := &mirror.Job{ID: id, Version: 5, Record: storage.OpenJob{Spec: storage.JobSpec{Tasks: 2}}}
	if change != nil {
		change(job)
	}
	d.mirror.Jobs[id] = job
	d.mirror.WatchedRevision = 10
}

func completeAllTasks(job *mirror.Job) { job.DoneTasks = 2 }

func cancelJob(job *mirror.Job) { job.FinalState, job.FinalRevision = storage.JobCancelled, 9 }

// What a finisher does with a job.
const (
	noAction       = ""
	completeAction = "complete"
	purgeAction    = "purge"
)

// actionOf says what a commit does.
func actionOf(t *testing.T, c stubs.Commit) string {
	t.Helper()
	resultKey, openKey := storage.JobResultKey(jobID), storage.OpenJobKey(jobID)
	compares, operations := c.Transaction.If, c.Transaction.Then
	switch {
	case len(operations) == 2 && operations[0].Put == resultKey && operations[1].Delete == openKey:
		if !slices.Equal(compares, []protocol.Compare{{Key: resultKey}}) ||
			c.Priority != ratelimit.PriorityJobResult {
			t.Errorf("completed on the condition %+v in class %v", compares, c.Priority)
		}
		return completeAction
	case len(operations) == 1 && operations[0].Delete == openKey:
		if !slices.Equal(compares, []protocol.Compare{{Key: openKey, Version: 5}}) ||
			c.Priority != ratelimit.PriorityBackground {
			t.Errorf("purged on the condition %+v in class %v", compares, c.Priority)
		}
		return purgeAction
	}
	t.Fatalf("unexpected commit %+v", c.Transaction)
	return noAction
}

// TestReconcile: which jobs are ended, and how.
func TestReconcile(t *testing.T) {
	for _, tc := range []struct {
		name  string
		job   func(*mirror.Job)
		setup func(*fakeDependencies)
		want  string
	}{
		{name: "running", job: func(job *mirror.Job) { job.DoneTasks = 1 }},
		{name: "all tasks done", job: completeAllTasks, want: completeAction},
		{name: "done, of another controller", job: completeAllTasks, setup: func(d *fakeDependencies) { d.notOwned = true }},
		{name: "done, its record is being changed", job: completeAllTasks, setup: func(d *fakeDependencies) { d.writes[jobID] = true }},
		{name: "done, in an outage", job: completeAllTasks, setup: func(d *fakeDependencies) { d.unavailable = true }},
		{
			name: "done, its record is newer than the watch", job: completeAllTasks,
			setup: func(d *fakeDependencies) { d.mirror.WatchedRevision = 4 },
		},
		{name: "cancelled, nothing left", job: cancelJob, want: purgeAction},
		{
			name: "cancelled with all tasks done",
			job:  func(job *mirror.Job) { completeAllTasks(job); cancelJob(job) },
			want: purgeAction,
		},
		{name: "cancelled, an attempt left", job: func(job *mirror.Job) { cancelJob(job); job.AssignedTasks = 1 }},
		{name: "cancelled, of another controller", job: cancelJob, setup: func(d *fakeDependencies) { d.notOwned = true }},
		{
			name: "cancelled, learned from another controller",
			job:  func(job *mirror.Job) { cancelJob(job); job.FinalRevision = 0 },
		},
		{
			name: "cancelled, the watch is just behind the result",
			job:  func(job *mirror.Job) { cancelJob(job); job.FinalRevision = 11 },
		},
		{
			name: "cancelled, the watch has just come to the result",
			job:  func(job *mirror.Job) { cancelJob(job); job.FinalRevision = 10 },
			want: purgeAction,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			deps := newFakeDependencies()
			deps.addJob(jobID, tc.job)
			if tc.setup != nil {
				tc.setup(deps)
			}
			finisher := deps.finisher()
			finisher.Reconcile()
			got := noAction
			if len(deps.Commits) > 0 {
				got = actionOf(t, deps.Commits[0])
			}
			if got != tc.want || len(deps.Commits) > 1 {
				t.Fatalf("%d commits, the first to %q, want %q", len(deps.Commits), got, tc.want)
			}
			if tc.want == noAction {
				return
			}
			finisher.Reconcile()
			if len(deps.Commits) != 1 {
				t.Error("a second commit while the first is in flight")
			}
			deps.Commits[0].Callback(protocol.StoreResult{Outcome: protocol.OK})
			if deps.writes[jobID] {
				t.Error("still marked as in flight")
			}
			if (finisher.Completed() == 1) != (tc.want == completeAction) {
				t.Errorf("%d completed", finisher.Completed())
			}
		})
	}
}

// TestReconcileOrdersJobsByName: jobs are ended in the order of their names.
func TestReconcileOrdersJobsByName(t *testing.T) {
	deps := newFakeDependencies()
	var want []string
	for _, id := range []string{"j-a", "j-b", "j-c", "j-d", "j-e"} {
		deps.addJob(id, completeAllTasks)
		want = append(want, storage.JobResultKey(id))
	}
	deps.finisher().Reconcile()
	var got []string
	for _, c := range deps.Commits {
		got = append(got, c.Transaction.Then[0].Put)
	}
	if !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// TestCompleteIfDone: a job is completed once, whichever controller owns it; a commit that fails counts
// nothing.
func TestCompleteIfDone(t *testing.T) {
	deps := newFakeDependencies()
	deps.notOwned = true
	finisher := deps.finisher()
	finisher.CompleteIfDone("j-unknown")
	deps.addJob(jobID, func(job *mirror.Job) { job.DoneTasks = 1 })
	finisher.CompleteIfDone(jobID)
	if len(deps.Commits) != 0 {
		t.Fatalf("%d commits for an unknown and an unfinished job", len(deps.Commits))
	}
	completeAllTasks(deps.mirror.Jobs[jobID])
	finisher.CompleteIfDone(jobID)
	finisher.CompleteIfDone(jobID)
	if len(deps.Commits) != 1 || actionOf(t, deps.Commits[0]) != completeAction {
		t.Fatalf("%d commits for a job that is done", len(deps.Commits))
	}
	deps.Commits[0].Callback(protocol.StoreResult{Outcome: protocol.Conflict})
	if finisher.Completed() != 0 || deps.writes[jobID] {
		t.Errorf("after a conflict: %d completed, in flight %v", finisher.Completed(), deps.writes[jobID])
	}
	cancelJob(deps.mirror.Jobs[jobID])
	finisher.CompleteIfDone(jobID)
	if len(deps.Commits) != 1 {
		t.Error("a cancelled job is completed")
	}
}
