package coordination

import (
	"sort"

	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/storage"
)

// completeJobIfDone makes a job done once the shards show every task of it done.
func (c *Controller) completeJobIfDone(id string) {
	job := c.mirror.Jobs[id]
	if job == nil || !job.IsOpen() || !job.IsComplete() || c.recordWritesInFlight[id] {
		return
	}
	c.completeJob(job)
}

// completeJob closes a job whose tasks are all done, unless it has an answer already: the
// answer is kept for ever, the description goes. The shards drop what they hold of
// it with their next changes.
func (c *Controller) completeJob(job *Job) {
	id := job.ID
	c.recordWritesInFlight[id] = true
	openKey, jobKey := storage.Key(storage.KindOpenJob, id), storage.Key(storage.KindJobResult, id)
	c.commitTxn(c.priorityClassOf(&job.Record.Spec, ratelimit.PriorityJobResult), protocol.Transaction{
		If: []protocol.Compare{{Key: jobKey}},
		Then: []protocol.Op{
			{Put: jobKey, Value: protocol.MustMarshal(&storage.JobResult{State: storage.JobDone})},
			{Delete: openKey},
		},
	}, func(result protocol.StoreResult) {
		delete(c.recordWritesInFlight, id)
		if result.Outcome == protocol.OK {
			c.counters.jobsCompleted++
			c.log.Debug("job completed", "job", id)
		}
	})
}

// purgeCancelledJob drops the description of a cancelled job that has nothing left anywhere.
// No attempt can follow: each depends on the job having no answer.
func (c *Controller) purgeCancelledJob(job *Job) {
	c.recordWritesInFlight[job.ID] = true
	key := storage.Key(storage.KindOpenJob, job.ID)
	c.commitTxn(ratelimit.PriorityBackground, protocol.Transaction{
		If:   []protocol.Compare{{Key: key, Version: job.Version}},
		Then: []protocol.Op{{Delete: key}},
	}, func(protocol.StoreResult) { delete(c.recordWritesInFlight, job.ID) })
}

// finalizeJobs closes jobs that are over: such whose last tasks ended on several partitions
// at once, each of which saw another's unfinished, and cancelled ones whose every
// attempt is proven gone. Each job has one controller that does so.
func (c *Controller) finalizeJobs() {
	if c.storeUnavailable {
		return
	}
	controllers := c.liveControllers()
	var over []string
	for id, job := range c.mirror.Jobs {
		if job.IsOpen() && job.IsComplete() || !job.IsOpen() && job.AssignedTasks == 0 {
			over = append(over, id)
		}
	}
	sort.Strings(over)
	for _, id := range over {
		job := c.mirror.Jobs[id]
		if job == nil || c.recordWritesInFlight[id] || c.mirror.WatchedRevision < job.Version {
			continue
		}
		switch {
		case job.IsOpen() && job.IsComplete() && rendezvousOwner(job.ID, controllers) == c.node:
			c.completeJob(job)
		case !job.IsOpen() && job.AssignedTasks == 0 && rendezvousOwner(job.ID, controllers) == c.node && job.FinalRevision != 0 && c.mirror.WatchedRevision >= job.FinalRevision:
			// With a mirror that has all that came before the answer. An answer that was
			// learned ahead of the job's record has no revision until the mirror has it.
			c.purgeCancelledJob(job)
		}
	}
}
