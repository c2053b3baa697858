// Package jobs ends jobs: it commits the result of those whose tasks are all done, and deletes the records of
// cancelled ones once nothing is left of them. Each job is ended by one controller; where two try, the
// conditions of the commits let one of them through.
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

// Committer makes conditional changes of the state service; one that succeeds is in the mirror before the
// callback.
type Committer interface {
	// Commit makes a conditional change; on success it is in the mirror before the callback is called.
	Commit(ratelimit.Priority, protocol.Transaction, func(protocol.StoreResult))
}

// StateService tells whether commits can succeed at all.
type StateService interface {
	// Unavailable reports an outage, as this controller sees it.
	Unavailable() bool
}

// PriorityClasses tells the class in which changes of a job's records are queued.
type PriorityClasses interface {
	// PriorityClass is the class for a job: otherwise, or that of bursts.
	PriorityClass(spec *storage.JobSpec, defaultClass ratelimit.Priority) ratelimit.Priority
}

// WritesInFlight marks the jobs whose record is being changed by this controller.
type WritesInFlight interface {
	// Contains reports whether a change of a record is in flight.
	Contains(job string) bool
	// Begin marks a record as being changed.
	Begin(job string)
	// End takes the mark off.
	End(job string)
}

// Membership knows the controllers that the jobs are divided among.
type Membership interface {
	// LiveControllers lists the controllers that are members, in order.
	LiveControllers() []string
}

// Config has what a Finisher needs.
type Config struct {
	Node            string // this controller's name
	Log             *slog.Logger
	Mirror          *mirror.Mirror
	StateService    StateService
	Committer       Committer
	PriorityClasses PriorityClasses
	WritesInFlight  WritesInFlight
	Membership      Membership
}

// Finisher ends jobs. It is used by one goroutine.
type Finisher struct {
	node      string
	log       *slog.Logger
	mirror    *mirror.Mirror
	store     StateService
	committer Committer
	classes   PriorityClasses
	writes    WritesInFlight
	members   Membership

	completed int
}

// NewFinisher makes a finisher.
func NewFinisher(config Config) *Finisher {
	return &Finisher{
		node:      config.Node,
		log:       config.Log,
		mirror:    config.Mirror,
		store:     config.StateService,
		committer: config.Committer,
		classes:   config.PriorityClasses,
		writes:    config.WritesInFlight,
		members:   config.Membership,
	}
}

// Completed counts the jobs completed since the start.
func (f *Finisher) Completed() int { return f.completed }

// CompleteIfDone completes a job once the shards show every task of it done.
func (f *Finisher) CompleteIfDone(id string) {
	job := f.mirror.Jobs[id]
	if job == nil || !needsCompletion(job) || f.writes.Contains(id) {
		return
	}
	f.complete(job)
}

// Reconcile ends the jobs of this controller that nothing else ends: those whose last tasks ended in several
// shards at once, when each commit saw another's tasks unfinished, and cancelled ones whose every attempt is
// proven gone.
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

// jobsToFinish lists the jobs that are to be ended, in the order of their names.
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

// needsCompletion reports that every task is done and the job has no result.
func needsCompletion(job *mirror.Job) bool { return job.IsOpen() && job.IsComplete() }

// endedWithoutAttempts reports that the job has a result and no attempts.
func endedWithoutAttempts(job *mirror.Job) bool { return !job.IsOpen() && job.AssignedTasks == 0 }

// needsPurge reports that a job has ended in a mirror that has all that came before its result. A result that
// was learned from another controller, ahead of the record, has no revision until the mirror has it.
func (f *Finisher) needsPurge(job *mirror.Job) bool {
	return endedWithoutAttempts(job) && job.FinalRevision != 0 && f.mirror.WatchedRevision >= job.FinalRevision
}

// complete commits the result of a job whose tasks are all done, unless it has a result already. The result
// is kept for ever, the open record is deleted; the shards drop what they hold of the job with their next
// changes.
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

// purge deletes the open record of a cancelled job. No attempt can follow: each assignment depends on the job
// having no result.
func (f *Finisher) purge(job *mirror.Job) {
	id := job.ID
	f.writes.Begin(id)
	key := storage.OpenJobKey(id)
	transaction := protocol.DeleteIfUnchanged(key, job.Version)
	f.committer.Commit(ratelimit.PriorityBackground, transaction, func(protocol.StoreResult) {
		f.writes.End(id)
	})
}
