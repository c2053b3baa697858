// Package jobs finishes jobs: it commits the result of jobs whose tasks are all done, and deletes the open
// records of cancelled jobs that have no attempts left. One controller finishes each job. If two controllers
// try, the conditions of their commits let only one of them succeed.
package jobs

import (
	"log/slog"
	"slices"

	"pipitgap/internal/membership"
	"pipitgap/internal/mirror"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/storage"
)

// Committer commits conditional transactions to the state service.
type Committer interface {
	// Commit executes a conditional transaction. If it succeeds, it applies the change to the mirror before
	// it calls the callback.
	Commit(ratelimit.Priority, protocol.Transaction, func(protocol.StoreResult))
}

// StateService reports whether commits can succeed at all.
type StateService interface {
	// Unavailable reports whether the state service is unavailable from this controller's point of view.
	Unavailable() bool
}

// PriorityClasses determines the priority class of calls that change a job's records.
type PriorityClasses interface {
	// PriorityClass returns PriorityBurst for a job of a burst, and defaultClass otherwise.
	PriorityClass(spec *storage.JobSpec, defaultClass ratelimit.Priority) ratelimit.Priority
}

// RecordWrites is the set of jobs with a write by this controller in flight.
type RecordWrites interface {
	// Contains reports whether a write of the job's record is in flight.
	Contains(job string) bool
	// Begin adds the job to the set.
	Begin(job string)
	// End removes the job from the set.
	End(job string)
}

// Membership lists the controllers that share the work of finishing jobs.
type Membership interface {
	// LiveControllers returns the names of the live controllers in sorted order.
	LiveControllers() []string
}

// Config holds the dependencies and settings of a Finisher.
type Config struct {
	Node            string // this controller's name
	Log             *slog.Logger
	Mirror          *mirror.Mirror
	StateService    StateService
	Committer       Committer
	PriorityClasses PriorityClasses
	RecordWrites    RecordWrites
	Membership      Membership
}

// Finisher commits the results of completed jobs and deletes the records of cancelled ones. It is not safe
// for concurrent use: one goroutine uses it.
type Finisher struct {
	node      string
	log       *slog.Logger
	mirror    *mirror.Mirror
	store     StateService
	committer Committer
	classes   PriorityClasses
	writes    RecordWrites
	members   Membership

	completed int // jobs completed since the start
}

// NewFinisher returns a finisher that has not completed any jobs yet.
func NewFinisher(config Config) *Finisher {
	return &Finisher{
		node:      config.Node,
		log:       config.Log,
		mirror:    config.Mirror,
		store:     config.StateService,
		committer: config.Committer,
		classes:   config.PriorityClasses,
		writes:    config.RecordWrites,
		members:   config.Membership,
	}
}

// Completed returns the number of jobs that this finisher has completed since the start.
func (f *Finisher) Completed() int { return f.completed }

// CompleteIfDone completes a job if the shards record all of its tasks as done.
func (f *Finisher) CompleteIfDone(id string) {
	job := f.mirror.Jobs[id]
	if job == nil || !needsCompletion(job) || f.writes.Contains(id) {
		return
	}
	f.complete(job)
}

// Reconcile finishes the jobs for which this controller is the rendezvous-hash owner and which
// CompleteIfDone does not finish. These are jobs whose last tasks ended in several shards at the same time,
// so that each shard's commit still saw unfinished tasks in another shard, and cancelled jobs whose attempts
// are all proven to have ended.
func (f *Finisher) Reconcile() {
	if f.store.Unavailable() {
		return
	}
	controllers := f.members.LiveControllers()
	for _, id := range f.jobsToFinish() {
		job := f.mirror.Jobs[id]
		if job == nil || f.writes.Contains(id) || f.mirror.WatchedRevision < job.Version {
			continue
		}
		if membership.RendezvousOwner(id, controllers) != f.node {
			continue
		}
		switch {
		case needsCompletion(job):
			f.complete(job)
		case f.needsPurge(job):
			f.purge(job)
		}
	}
}

// jobsToFinish lists the jobs that may have to be completed or purged, ordered by name.
func (f *Finisher) jobsToFinish() []string {
	var ids []string
	for id, job := range f.mirror.Jobs {
		if needsCompletion(job) || endedWithoutAttempts(job) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// needsCompletion reports whether every task of the job is done and the job has no result yet.
func needsCompletion(job *mirror.Job) bool { return job.IsOpen() && job.IsComplete() }

// endedWithoutAttempts reports whether the job has a result and no attempts left.
func endedWithoutAttempts(job *mirror.Job) bool { return !job.IsOpen() && job.AssignedTasks == 0 }

// needsPurge reports whether a job has a result and no attempts, in a mirror that includes all changes up to
// the revision of the result. While the mirror knows the result only from its cache of results, which stores
// no revisions, FinalRevision is 0 and the job isn't purged.
func (f *Finisher) needsPurge(job *mirror.Job) bool {
	return endedWithoutAttempts(job) && job.FinalRevision != 0 && f.mirror.WatchedRevision >= job.FinalRevision
}

// complete commits the result of a job whose tasks are all done, on the condition that the job has no result
// yet. The same commit deletes the open record; the result is never deleted. The shards drop their entries
// of the job with their next changes.
func (f *Finisher) complete(job *mirror.Job) {
	id := job.ID
	f.writes.Begin(id)
	resultKey := storage.JobResultKey(id)
	value := protocol.MustMarshal(&storage.JobResult{State: storage.JobDone})
	transaction := protocol.Transaction{
		If: []protocol.Compare{{Key: resultKey}},
		Then: []protocol.Op{
			{Put: resultKey, Value: value},
			{Delete: storage.OpenJobKey(id)},
		},
	}
	class := f.classes.PriorityClass(&job.Record.Spec, ratelimit.PriorityJobResult)
	f.committer.Commit(class, transaction, func(result protocol.StoreResult) {
		f.writes.End(id)
		if result.Outcome == protocol.OK {
			f.completed++
			f.log.Debug("job completed", "job", id)
		}
	})
}

// purge deletes the open record of a cancelled job. No new attempt can follow, because every assignment is
// conditional on the job having no result.
func (f *Finisher) purge(job *mirror.Job) {
	id := job.ID
	f.writes.Begin(id)
	key := storage.OpenJobKey(id)
	transaction := protocol.DeleteIfUnchanged(key, job.Version)
	f.committer.Commit(ratelimit.PriorityBackground, transaction, func(protocol.StoreResult) {
		f.writes.End(id)
	})
}
