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

// fakeDependencies implements all dependencies of a finisher. It holds commits until the test calls their
// callbacks.
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
		PriorityClasses: d, RecordWrites: d, Membership: d, Node: thisNode,
	})
}

func (d *fakeDependencies) Unavailable() bool        { return d.unavailable }
func (d *fakeDependencies) Contains(job string) bool { return d.writes[job] }
func (d *fakeDependencies) Begin(job string)         { d.writes[job] = true }
func (d *fakeDependencies) End(job string)           { delete(d.writes, job) }

// LiveControllers returns only another controller if this one must not own any job.
func (d *fakeDependencies) LiveControllers() []string {
	if d.notOwned {
		return []string{"n-1"}
	}
	return []string{thisNode}
}

func (d *fakeDependencies) PriorityClass(_ *storage.JobSpec, defaultClass ratelimit.Priority) ratelimit.Priority {
	return defaultClass
}

// addJob adds a job of two tasks to the mirror, and sets the mirror's revision to 10; change may be nil.
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

// Actions of a finisher on a job.
const (
	noAction       = ""
	completeAction = "complete"
	purgeAction    = "purge"
)

// actionOf returns the action that a commit performs, and checks the commit's conditions and priority class.
func actionOf(t *testing.T, c stubs.Commit) string {
	t.Helper()
	resultKey, openKey := storage.JobResultKey(jobID), storage.OpenJobKey(jobID)
	compares, operations := c.Transaction.If, c.Transaction.Then
	switch {
	case len(operations) == 2 && operations[0].Put == resultKey && operations[1].Delete == openKey:
		if !slices.Equal(compares, []protocol.Compare{{Key: resultKey}}) ||
			c.Priority != ratelimit.PriorityJobResult {
			t.Errorf("completion: got conditions %+v and class %v, want %q at version 0 and class %v",
				compares, c.Priority, resultKey, ratelimit.PriorityJobResult)
		}
		return completeAction
	case len(operations) == 1 && operations[0].Delete == openKey:
		if !slices.Equal(compares, []protocol.Compare{{Key: openKey, Version: 5}}) ||
			c.Priority != ratelimit.PriorityBackground {
			t.Errorf("purge: got conditions %+v and class %v, want %q at version 5 and class %v",
				compares, c.Priority, openKey, ratelimit.PriorityBackground)
		}
		return purgeAction
	}
	t.Fatalf("got commit %+v, want a completion or a purge", c.Transaction)
	return noAction
}

// TestReconcile checks which jobs are completed or purged, and that each job has at most one commit in
// flight.
func TestReconcile(t *testing.T) {
	for _, tc := range []struct {
		name  string
		job   func(*mirror.Job)
		setup func(*fakeDependencies)
		want  string
	}{
		{name: "one of two tasks done", job: func(job *mirror.Job) { job.DoneTasks = 1 }},
		{name: "all tasks done", job: completeAllTasks, want: completeAction},
		{name: "done, owned by another controller", job: completeAllTasks, setup: func(d *fakeDependencies) { d.notOwned = true }},
		{name: "done, write in flight", job: completeAllTasks, setup: func(d *fakeDependencies) { d.writes[jobID] = true }},
		{name: "done, state service unavailable", job: completeAllTasks, setup: func(d *fakeDependencies) { d.unavailable = true }},
		{
			name: "done, record newer than the watch", job: completeAllTasks,
			setup: func(d *fakeDependencies) { d.mirror.WatchedRevision = 4 },
		},
		{name: "cancelled, no attempts left", job: cancelJob, want: purgeAction},
		{
			name: "cancelled with all tasks done",
			job:  func(job *mirror.Job) { completeAllTasks(job); cancelJob(job) },
			want: purgeAction,
		},
		{name: "cancelled, one attempt left", job: func(job *mirror.Job) { cancelJob(job); job.AssignedTasks = 1 }},
		{name: "cancelled, owned by another controller", job: cancelJob, setup: func(d *fakeDependencies) { d.notOwned = true }},
		{
			name: "cancelled, result known only from another controller",
			job:  func(job *mirror.Job) { cancelJob(job); job.FinalRevision = 0 },
		},
		{
			name: "cancelled, watch one revision behind the result",
			job:  func(job *mirror.Job) { cancelJob(job); job.FinalRevision = 11 },
		},
		{
			name: "cancelled, watch at the result's revision",
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
				t.Fatalf("%s: got %d commits, the first with action %q; want at most 1, with action %q",
					tc.name, len(deps.Commits), got, tc.want)
			}
			if tc.want == noAction {
				return
			}
			finisher.Reconcile()
			if len(deps.Commits) != 1 {
				t.Errorf("%s: got %d commits while the first is in flight, want 1", tc.name, len(deps.Commits))
			}
			deps.Commits[0].Callback(protocol.StoreResult{Outcome: protocol.OK})
			if deps.writes[jobID] {
				t.Errorf("%s: got a write in flight after the commit, want none", tc.name)
			}
			if (finisher.Completed() == 1) != (tc.want == completeAction) {
				t.Errorf("%s: got %d completed jobs, want 1 only for action %q, not %q",
					tc.name, finisher.Completed(), completeAction, tc.want)
			}
		})
	}
}

// TestReconcileOrdersJobsByName checks that Reconcile finishes jobs in the order of their names.
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
		t.Errorf("got commits of %v, want %v", got, want)
	}
}

// TestCompleteIfDone checks that CompleteIfDone completes a job only once, also if another controller owns
// it, and that a failed commit isn't counted.
func TestCompleteIfDone(t *testing.T) {
	deps := newFakeDependencies()
	deps.notOwned = true
	finisher := deps.finisher()
	finisher.CompleteIfDone("j-unknown")
	deps.addJob(jobID, func(job *mirror.Job) { job.DoneTasks = 1 })
	finisher.CompleteIfDone(jobID)
	if len(deps.Commits) != 0 {
		t.Fatalf("unknown and unfinished jobs: got %d commits, want 0", len(deps.Commits))
	}
	completeAllTasks(deps.mirror.Jobs[jobID])
	finisher.CompleteIfDone(jobID)
	finisher.CompleteIfDone(jobID)
	if len(deps.Commits) != 1 || actionOf(t, deps.Commits[0]) != completeAction {
		t.Fatalf("job with all tasks done: got %d commits, want 1 completion", len(deps.Commits))
	}
	deps.Commits[0].Callback(protocol.StoreResult{Outcome: protocol.Conflict})
	if finisher.Completed() != 0 || deps.writes[jobID] {
		t.Errorf("after a conflict: got %d completed jobs and write in flight %v, want 0 and false",
			finisher.Completed(), deps.writes[jobID])
	}
	cancelJob(deps.mirror.Jobs[jobID])
	finisher.CompleteIfDone(jobID)
	if len(deps.Commits) != 1 {
		t.Errorf("cancelled job: got %d commits in total, want 1", len(deps.Commits))
	}
}
