package placement

import (
	"pipitgap/internal/mirror"
	"pipitgap/internal/resources"
	"pipitgap/internal/shards"
	"pipitgap/internal/storage"
)

// drainReservations is the room that a pass reserves on its candidates for replicas that drains move. The
// pass releases a job's own reservations while it places the job's tasks.
type drainReservations struct {
	byJob   map[string][]drainReservation // by job id
	updates []*shards.Update
}

// drainReservation is the room that a candidate reserves for one replica.
type drainReservation struct {
	candidate *candidateMachine
	task      mirror.TaskID
	need      resources.Vector
}

// reserveOnCandidates subtracts the room that permits reserve for replicas from the free room of the
// candidates.
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

// hasReservationFor reports whether any room is reserved for replicas of a job.
func (r *drainReservations) hasReservationFor(job *mirror.Job) bool {
	return r != nil && len(r.byJob[job.ID]) > 0
}

// totalCPUs returns the sum of the reserved CPUs.
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

// release frees the room reserved for a job, so that the job's tasks can be placed there.
func (r *drainReservations) release(job *mirror.Job) {
	if r == nil {
		return
	}
	for _, reservation := range r.byJob[job.ID] {
		reservation.candidate.Free = reservation.candidate.Free.AddScaled(reservation.need, 1)
	}
}

// restore reserves the room again that the job has not used. A replica that the pass has placed, on any
// machine, no longer needs its reservation.
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
