package coordination

import (
	"sort"

	"pipitgap/internal/membership"
	"pipitgap/internal/mirror"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/storage"
)

// completeJobIfDone makes a job done once the shards show every task of it done.
func (u *userAPI) completeJobIfDone(id string) {
	job := u.c.mirror.Jobs[id]
	if job == nil || !job.IsOpen() || !job.IsComplete() || u.c.recordWritesInFlight[id] {
		return
	}
	u.completeJob(job)
}

// completeJob closes a job whose tasks are all done, unless it has an answer already: the
// answer is kept for ever, the description goes. The shards drop what they hold of
// it with their next changes.
func (u *userAPI) completeJob(job *mirror.Job) {
	id := job.ID
	u.c.recordWritesInFlight[id] = true
	openKey, jobKey := storage.Key(storage.KindOpenJob, id), storage.Key(storage.KindJobResult, id)
	u.c.replica.Commit(u.priorityClassOf(&job.Record.Spec, ratelimit.PriorityJobResult), protocol.Transaction{
		If: []protocol.Compare{{Key: jobKey}},
		Then: []protocol.Op{
			{Put: jobKey, Value: protocol.MustMarshal(&storage.JobResult{State: storage.JobDone})},
			{Delete: openKey},
		},
	}, func(result protocol.StoreResult) {
		delete(u.c.recordWritesInFlight, id)
		if result.Outcome == protocol.OK {
			u.c.counters.jobsCompleted++
			u.c.log.Debug("job completed", "job", id)
		}
	})
}

// purgeCancelledJob drops the description of a cancelled job that has nothing left anywhere.
// No attempt can follow: each depends on the job having no answer.
func (u *userAPI) purgeCancelledJob(job *mirror.Job) {
	u.c.recordWritesInFlight[job.ID] = true
	key := storage.Key(storage.KindOpenJob, job.ID)
	u.c.replica.Commit(ratelimit.PriorityBackground, protocol.Transaction{
		If:   []protocol.Compare{{Key: key, Version: job.Version}},
		Then: []protocol.Op{{Delete: key}},
	}, func(protocol.StoreResult) { delete(u.c.recordWritesInFlight, job.ID) })
}

// finalizeJobs closes jobs that are over: such whose last tasks ended on several partitions
// at once, each of which saw another's unfinished, and cancelled ones whose every
// attempt is proven gone. Each job has one controller that does so.
func (u *userAPI) finalizeJobs() {
	if u.c.store.Unavailable() {
		return
	}
	controllers := u.c.membership.LiveControllers()
	var over []string
	for id, job := range u.c.mirror.Jobs {
		if job.IsOpen() && job.IsComplete() || !job.IsOpen() && job.AssignedTasks == 0 {
			over = append(over, id)
		}
	}
	sort.Strings(over)
	for _, id := range over {
		job := u.c.mirror.Jobs[id]
		if job == nil || u.c.recordWritesInFlight[id] || u.c.mirror.WatchedRevision < job.Version {
			continue
		}
		switch {
		case job.IsOpen() && job.IsComplete() && membership.RendezvousOwner(job.ID, controllers) == u.c.node:
			u.completeJob(job)
		case !job.IsOpen() && job.AssignedTasks == 0 && membership.RendezvousOwner(job.ID, controllers) == u.c.node && job.FinalRevision != 0 && u.c.mirror.WatchedRevision >= job.FinalRevision:
			// With a mirror that has all that came before the answer. An answer that was
			// learned ahead of the job's record has no revision until the mirror has it.
			u.purgeCancelledJob(job)
		}
	}
}
