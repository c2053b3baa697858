package placement

import (
	"pipitgap/internal/mapentry"
	"pipitgap/internal/monotime"
	"pipitgap/internal/scheduling"
)

// jobTracking is what a controller notes about a job beside the records.
type jobTracking struct {
	failures       scheduling.JobFailures
	progress       scheduling.StartProgress
	reassignment   reassignmentTracking
	placeNotBefore monotime.Micros
	finalSeenAt    monotime.Micros // when its final result was seen; 0: not seen yet
}

// reassignmentTracking is when and how a job's tasks last moved between partitions.
type reassignmentTracking struct {
	recordChangedAt   monotime.Micros // when the record, which says who places the tasks, last changed
	handedOverAt      monotime.Micros // when its tasks were last handed to another partition
	stolenTasks       int             // tasks just taken over from other partitions,
	roomReservedUntil monotime.Micros // for which room is kept until then
}

// trackingOf returns what is noted about a job, and begins it if there is nothing yet.
func (sc *Scheduler) trackingOf(id string) *jobTracking {
	return mapentry.GetOrNew(sc.trackingByJob, id)
}

// ForgetJob drops what is noted about a job without a record.
func (sc *Scheduler) ForgetJob(id string) {
	delete(sc.trackingByJob, id)
	delete(sc.preemptions, id)
	delete(sc.acceptedRevisions, id)
}

// JobAccepted notes that this controller committed a new job at a revision: its tasks can be placed before
// the watch has come to the record, as no other controller can have placed any.
func (sc *Scheduler) JobAccepted(id string, revision uint64) { sc.acceptedRevisions[id] = revision }

// NoteRecordChange notes that a job's record has changed.
func (sc *Scheduler) NoteRecordChange(id string) {
	sc.trackingOf(id).reassignment.recordChangedAt = sc.deps.Environment.Now()
}

// NoteFinalSeen notes that a job's final result is there.
func (sc *Scheduler) NoteFinalSeen(id string) {
	if tracking := sc.trackingOf(id); tracking.finalSeenAt == 0 {
		tracking.finalSeenAt = sc.deps.Environment.Now()
	}
}

// FinalSeenAt is when a job's final result was first seen; 0: not yet.
func (sc *Scheduler) FinalSeenAt(id string) monotime.Micros { return sc.trackingOf(id).finalSeenAt }

// delayPlacement lets no task of a job be placed before an instant.
func (sc *Scheduler) delayPlacement(id string, until monotime.Micros) {
	tracking := sc.trackingOf(id)
	tracking.placeNotBefore = max(tracking.placeNotBefore, until)
}

// PlacementDelayed reports whether a job's tasks may not be placed yet.
func (sc *Scheduler) PlacementDelayed(id string, now monotime.Micros) bool {
	tracking := sc.trackingByJob[id]
	return tracking != nil && now < tracking.placeNotBefore
}

// RecordTrialDemand notes that a machine is wanted for a trial of a job in a crash loop.
func (sc *Scheduler) RecordTrialDemand(id string, now monotime.Micros) {
	sc.trackingOf(id).failures.RecordTrialDemand(now)
}
