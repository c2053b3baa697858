package placement

import (
	"pipitgap/internal/mirror"
	"pipitgap/internal/resources"
	"pipitgap/internal/shards"
	"pipitgap/internal/storage"
)

// drainReservations is what a pass's candidates reserve for replicas that drains move. A job's own
// reservations are released while its tasks are placed.
type drainReservations struct {
	byJob   map[string][]drainReservation // by job id
	updates []*shards.Update
}

// drainReservation is what a candidate reserves for one replica.
type drainReservation struct {
	candidate *candidateMachine
	task      mirror.TaskID
	need      resources.Vector
}

// reserveOnCandidates takes what permits reserve for replicas off what the candidates have free.
func (sc *Scheduler) reserveOnCandidates(
	candidates []*candidateMachine,
	updates []*shards.Update,
) *drainReservations {
	byMachine := map[string]*candidateMachine{}
	for _, candidate := range candidates {
		byMachine[candidate.MachineID] = candidate
	}
	r := &drainReservations{byJob: map[string][]drainReservation{}, updates: updates}
	sc.deps.Drains.ForEachReservation(func(permit *storage.Permit, job *mirror.Job) {
		candidate := byMachine[permit.To]
		if candidate == nil {
			return
		}
		candidate.Free = candidate.Free.AddScaled(job.TaskResources, -1)
		r.byJob[job.ID] = append(r.byJob[job.ID], drainReservation{
			candidate: candidate,
			task:      mirror.TaskID{Job: permit.Job, Index: permit.Task},
			need:      job.TaskResources,
		})
	})
	return r
}

// hasReservationFor reports whether anything is reserved for replicas of a job.
func (r *drainReservations) hasReservationFor(job *mirror.Job) bool {
	return r != nil && len(r.byJob[job.ID]) > 0
}

// totalCPUs is the sum of what is reserved.
func (r *drainReservations) totalCPUs() float64 {
	total := 0.0
	if r != nil {
		for _, reservations := range r.byJob {
			for _, reservation := range reservations {
				total += reservation.need.CPUs
			}
		}
	}
	return total
}

// release frees what is reserved for a job, so that its tasks can be placed there.
func (r *drainReservations) release(job *mirror.Job) {
	if r == nil {
		return
	}
	for _, reservation := range r.byJob[job.ID] {
		reservation.candidate.Free = reservation.candidate.Free.AddScaled(reservation.need, 1)
	}
}

// restore reserves again what the job hasn't used. A replica that has been placed, wherever that is,
// needs no reservation any more.
func (r *drainReservations) restore(job *mirror.Job) {
	if r == nil {
		return
	}
	var left []drainReservation
	for _, reservation := range r.byJob[job.ID] {
		if r.assignedThisPass(reservation.task) {
			continue
		}
		reservation.candidate.Free = reservation.candidate.Free.AddScaled(reservation.need, -1)
		left = append(left, reservation)
	}
	r.byJob[job.ID] = left
}

// assignedThisPass reports whether the current pass assigns a task.
func (r *drainReservations) assignedThisPass(task mirror.TaskID) bool {
	for _, update := range r.updates {
		if update.AssignsTask(task) {
			return true
		}
	}
	return false
}
