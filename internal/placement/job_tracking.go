package placement

import (
	"pipitgap/internal/mapentry"
	"pipitgap/internal/monotime"
	"pipitgap/internal/scheduling"
)

// jobTracking is the state that a controller keeps about a job in memory, in addition to the stored records.
type jobTracking struct {
	failures       scheduling.JobFailures
	progress       scheduling.StartProgress
	reassignment   reassignmentTracking
	placeNotBefore monotime.Micros
	finalSeenAt    monotime.Micros // see FinalResultSeenAt
}

// reassignmentTracking is when and how a job's tasks last moved between partitions.
type reassignmentTracking struct {
	recordChangedAt   monotime.Micros // last change of the record, which says which partitions place the tasks
	handedOverAt      monotime.Micros // last handover of its tasks to another partition
	stolenTasks       int             // tasks last taken over from other partitions
	roomReservedUntil monotime.Micros // room is reserved for the stolen tasks until then
}

// trackingOf returns the state kept about a job and creates it if there is none.
func (sc *Scheduler) trackingOf(id string) *jobTracking {
	return mapentry.GetOrNew(sc.trackingByJob, id)
}

// ForgetJob drops the state kept about a job whose record is gone.
func (sc *Scheduler) ForgetJob(id string) {
	delete(sc.trackingByJob, id)
	delete(sc.preemptions, id)
	delete(sc.acceptedRevisions, id)
}

// JobAccepted records the revision at which this controller committed a new job. The job's tasks can be
// placed before the watch reaches that revision, because no other controller can have placed any of them.
func (sc *Scheduler) JobAccepted(id string, revision uint64) { sc.acceptedRevisions[id] = revision }

// RecordJobChange records that a job's record has changed.
func (sc *Scheduler) RecordJobChange(id string) {
	sc.trackingOf(id).reassignment.recordChangedAt = sc.deps.Environment.Now()
}

// RecordFinalResultSeen records that this controller sees the final result of a job with assigned tasks. Only
// the first call for a job has an effect.
func (sc *Scheduler) RecordFinalResultSeen(id string) {
	if tracking := sc.trackingOf(id); tracking.finalSeenAt == 0 {
		tracking.finalSeenAt = sc.deps.Environment.Now()
	}
}

// FinalResultSeenAt returns when this controller first saw the final result of a job that had assigned tasks at
// that time; 0: it has not. Results that a load of the records contains don't count as seen.
func (sc *Scheduler) FinalResultSeenAt(id string) monotime.Micros {
	return sc.trackingOf(id).finalSeenAt
}

// delayPlacement prevents the placement of a job's tasks before the given time.
func (sc *Scheduler) delayPlacement(id string, until monotime.Micros) {
	tracking := sc.trackingOf(id)
	tracking.placeNotBefore = max(tracking.placeNotBefore, until)
}

// PlacementDelayed reports whether placement of a job's tasks is still delayed.
func (sc *Scheduler) PlacementDelayed(id string, now monotime.Micros) bool {
	tracking := sc.trackingByJob[id]
	return tracking != nil && now < tracking.placeNotBefore
}

// RecordTrialDemand records that a machine is wanted for a trial of a job in a crash loop.
func (sc *Scheduler) RecordTrialDemand(id string, now monotime.Micros) {
	sc.trackingOf(id).failures.RecordTrialDemand(now)
}
