package coordination

import (
	"pipitgap/internal/api"
	"pipitgap/internal/jobs"
	"pipitgap/internal/storage"
)

// What requests of users (internal/api) and the end of jobs (internal/jobs) need of the other subjects.

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
		Cancellations: c.cancellations,
		MaxValueBytes: c.maxValueBytes(),
	})
}

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

type userScheduler struct{ c *Controller }

// AssignTaskRanges divides a new job among the partitions.
func (a userScheduler) AssignTaskRanges(spec *storage.JobSpec) []storage.TaskRange {
	return a.c.scheduler.AssignTaskRanges(spec)
}

// JobAccepted notes the revision of an accepted job.
func (a userScheduler) JobAccepted(job string, revision uint64) {
	a.c.scheduler.JobAccepted(job, revision)
}

// PlaceNow runs the fast tick ahead of its time.
func (a userScheduler) PlaceNow() { a.c.runFastTick(a.c.now()) }

// recordWrites are the records that this controller is changing: jobs by their id, others by their key.
type recordWrites map[string]bool

// Contains reports that a change is in flight.
func (w recordWrites) Contains(record string) bool { return w[record] }

// Begin marks a record.
func (w recordWrites) Begin(record string) { w[record] = true }

// End takes the mark off.
func (w recordWrites) End(record string) { delete(w, record) }
