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

// fakeWorld is all that a finisher depends on. Commits are kept until the test answers them.
type fakeWorld struct {
	stubs.HeldCommits
	mirror      *mirror.Mirror
	unavailable bool
	notOwned    bool
	writes      map[string]bool
}

func newFakeWorld() *fakeWorld {
	return &fakeWorld{mirror: mirror.New(), writes: map[string]bool{}}
}

func (w *fakeWorld) finisher() *Finisher {
	return NewFinisher(Config{
		Log: slog.New(slog.DiscardHandler), Mirror: w.mirror, StateService: w, Committer: w,
		PriorityClasses: w, WritesInFlight: w, Membership: w, Node: thisNode,
	})
}

func (w *fakeWorld) Unavailable() bool        { return w.unavailable }
func (w *fakeWorld) Contains(job string) bool { return w.writes[job] }
func (w *fakeWorld) Begin(job string)         { w.writes[job] = true }
func (w *fakeWorld) End(job string)           { delete(w.writes, job) }

// LiveControllers has one other controller where this one isn't to own any job.
func (w *fakeWorld) LiveControllers() []string {
	if w.notOwned {
		return []string{"n-1"}
	}
	return []string{thisNode}
}

func (w *fakeWorld) PriorityClass(_ *storage.JobSpec, otherwise ratelimit.Priority) ratelimit.Priority {
	return otherwise
}

// addJob puts a job of two tasks into a mirror that has come to revision 10.
func (w *fakeWorld) addJob(id string, change func(*mirror.Job)) {
	job := &mirror.Job{ID: id, Version: 5, Record: storage.OpenJob{Spec: storage.JobSpec{Tasks: 2}}}
	if change != nil {
		change(job)
	}
	w.mirror.Jobs[id] = job
	w.mirror.WatchedRevision = 10
}

func allDone(job *mirror.Job) { job.DoneTasks = 2 }

func cancelled(job *mirror.Job) { job.FinalState, job.FinalRevision = storage.JobCancelled, 9 }

// What a finisher does with a job.
const (
	nothing  = ""
	complete = "complete"
	purge    = "purge"
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
		return complete
	case len(operations) == 1 && operations[0].Delete == openKey:
		if !slices.Equal(compares, []protocol.Compare{{Key: openKey, Version: 5}}) ||
			c.Priority != ratelimit.PriorityBackground {
			t.Errorf("purged on the condition %+v in class %v", compares, c.Priority)
		}
		return purge
	}
	t.Fatalf("unexpected commit %+v", c.Transaction)
	return nothing
}

// TestReconcile: which jobs are ended, and how.
func TestReconcile(t *testing.T) {
	for _, tc := range []struct {
		name  string
		job   func(*mirror.Job)
		world func(*fakeWorld)
		want  string
	}{
		{name: "running", job: func(job *mirror.Job) { job.DoneTasks = 1 }},
		{name: "all tasks done", job: allDone, want: complete},
		{name: "done, of another controller", job: allDone, world: func(w *fakeWorld) { w.notOwned = true }},
		{name: "done, its record is being changed", job: allDone, world: func(w *fakeWorld) { w.writes[jobID] = true }},
		{name: "done, in an outage", job: allDone, world: func(w *fakeWorld) { w.unavailable = true }},
		{
			name: "done, its record is newer than the watch", job: allDone,
			world: func(w *fakeWorld) { w.mirror.WatchedRevision = 4 },
		},
		{name: "cancelled, nothing left", job: cancelled, want: purge},
		{
			name: "cancelled with all tasks done",
			job:  func(job *mirror.Job) { allDone(job); cancelled(job) },
			want: purge,
		},
		{name: "cancelled, an attempt left", job: func(job *mirror.Job) { cancelled(job); job.AssignedTasks = 1 }},
		{name: "cancelled, of another controller", job: cancelled, world: func(w *fakeWorld) { w.notOwned = true }},
		{
			name: "cancelled, learned from another controller",
			job:  func(job *mirror.Job) { cancelled(job); job.FinalRevision = 0 },
		},
		{
			name: "cancelled, the watch is just behind the result",
			job:  func(job *mirror.Job) { cancelled(job); job.FinalRevision = 11 },
		},
		{
			name: "cancelled, the watch has just come to the result",
			job:  func(job *mirror.Job) { cancelled(job); job.FinalRevision = 10 },
			want: purge,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			world := newFakeWorld()
			world.addJob(jobID, tc.job)
			if tc.world != nil {
				tc.world(world)
			}
			finisher := world.finisher()
			finisher.Reconcile()
			got := nothing
			if len(world.Commits) > 0 {
				got = actionOf(t, world.Commits[0])
			}
			if got != tc.want || len(world.Commits) > 1 {
				t.Fatalf("%d commits, the first to %q, want %q", len(world.Commits), got, tc.want)
			}
			if tc.want == nothing {
				return
			}
			finisher.Reconcile()
			if len(world.Commits) != 1 {
				t.Error("a second commit while the first is in flight")
			}
			world.Commits[0].Callback(protocol.StoreResult{Outcome: protocol.OK})
			if world.writes[jobID] {
				t.Error("still marked as in flight")
			}
			if (finisher.Completed() == 1) != (tc.want == complete) {
				t.Errorf("%d completed", finisher.Completed())
			}
		})
	}
}

// TestReconcileGoesInOrder: jobs are ended in the order of their names.
func TestReconcileGoesInOrder(t *testing.T) {
	world := newFakeWorld()
	var want []string
	for _, id := range []string{"j-a", "j-b", "j-c", "j-d", "j-e"} {
		world.addJob(id, allDone)
		want = append(want, storage.JobResultKey(id))
	}
	world.finisher().Reconcile()
	var got []string
	for _, c := range world.Commits {
		got = append(got, c.Transaction.Then[0].Put)
	}
	if !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// TestCompleteIfDone: a job is completed once, whichever controller owns it; a commit that fails counts
// nothing.
func TestCompleteIfDone(t *testing.T) {
	world := newFakeWorld()
	world.notOwned = true
	finisher := world.finisher()
	finisher.CompleteIfDone("j-unknown")
	world.addJob(jobID, func(job *mirror.Job) { job.DoneTasks = 1 })
	finisher.CompleteIfDone(jobID)
	if len(world.Commits) != 0 {
		t.Fatalf("%d commits for an unknown and an unfinished job", len(world.Commits))
	}
	allDone(world.mirror.Jobs[jobID])
	finisher.CompleteIfDone(jobID)
	finisher.CompleteIfDone(jobID)
	if len(world.Commits) != 1 || actionOf(t, world.Commits[0]) != complete {
		t.Fatalf("%d commits for a job that is done", len(world.Commits))
	}
	world.Commits[0].Callback(protocol.StoreResult{Outcome: protocol.Conflict})
	if finisher.Completed() != 0 || world.writes[jobID] {
		t.Errorf("after a conflict: %d completed, in flight %v", finisher.Completed(), world.writes[jobID])
	}
	cancelled(world.mirror.Jobs[jobID])
	finisher.CompleteIfDone(jobID)
	if len(world.Commits) != 1 {
		t.Error("a cancelled job is completed")
	}
}
