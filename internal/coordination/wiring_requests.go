package coordination

import (
	"pipitgap/internal/api"
	"pipitgap/internal/jobs"
	"pipitgap/internal/storage"
)

// What requests of users (internal/api) and the end of jobs (internal/jobs) need of the other subjects.

// newRequestHandler makes what answers users.
func newRequestHandler(c *Controller) *api.Handler {
	return api.NewHandler(api.Config{
		Log:           c.log,
		Environment:   c.env,
		Mirror:        c.mirror,
		StateService:  c.store,
		Replica:       c.replica,
		Reachability:  c.reachability,
		Catalog:       c.catalog,
		Quota:         c.quota,
		Scheduler:     userScheduler{c},
		PlaceNow:      func() { c.runFastTick(c.now()) },
		Cancellations: c.cancellations,
		MaxValueBytes: c.maxValueBytes(),
	})
}

// newJobFinisher makes what writes the results of jobs.
func newJobFinisher(c *Controller) *jobs.Finisher {
	return jobs.NewFinisher(jobs.Config{
		Node:            c.node,
		Log:             c.log,
		Mirror:          c.mirror,
		StateService:    c.store,
		Committer:       c.replica,
		PriorityClasses: c.api,
		WritesInFlight:  c.recordWritesInFlight,
		Membership:      c.membership,
	})
}

// userScheduler is the scheduler, which is made after the handler of requests: it needs the shards, and these
// the end of jobs.
type userScheduler struct{ c *Controller }

// AssignTaskRanges divides a new job among the partitions.
func (s userScheduler) AssignTaskRanges(spec *storage.JobSpec) []storage.TaskRange {
	return s.c.scheduler.AssignTaskRanges(spec)
}

// JobAccepted notes the revision of an accepted job.
func (s userScheduler) JobAccepted(job string, revision uint64) {
	s.c.scheduler.JobAccepted(job, revision)
}
