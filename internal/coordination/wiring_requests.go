package coordination

import (
	"pipitgap/internal/api"
	"pipitgap/internal/jobs"
	"pipitgap/internal/storage"
)

// This file connects the handler of user requests (package api) and the job finisher (package jobs) to the
// other components.

// newRequestHandler creates the handler of user requests.
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
		Invariants:    c.invariants,
		MaxValueBytes: c.maxValueBytes(),
	})
}

// newJobFinisher creates the finisher, which writes the results of jobs.
func newJobFinisher(c *Controller) *jobs.Finisher {
	return jobs.NewFinisher(jobs.Config{
		Node:            c.node,
		Log:             c.log,
		Mirror:          c.mirror,
		StateService:    c.store,
		Committer:       c.replica,
		PriorityClasses: c.api,
		RecordWrites:    c.recordWritesInFlight,
		Membership:      c.membership,
	})
}

// userScheduler implements api.Scheduler by forwarding to the scheduler. It reads c.scheduler at each call,
// because the scheduler is created after the request handler: the scheduler depends on the shard manager, the
// shard manager on the job finisher, and the job finisher on the request handler.
type userScheduler struct{ c *Controller }

// AssignTaskRanges divides the tasks of a new job among the controllers' partitions.
func (s userScheduler) AssignTaskRanges(spec *storage.JobSpec) []storage.TaskRange {
	return s.c.scheduler.AssignTaskRanges(spec)
}

// JobAccepted records the revision at which this controller committed a new job.
func (s userScheduler) JobAccepted(job string, revision uint64) {
	s.c.scheduler.JobAccepted(job, revision)
}
