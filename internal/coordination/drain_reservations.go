package coordination

import (
	"pipitgap/internal/autoscaling"
	"pipitgap/internal/drain"
	"pipitgap/internal/mirror"
	"pipitgap/internal/resources"
	"pipitgap/internal/shards"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// Room for replicas that drains move: what is held for them, and what is rented.

// reservations is the room that permits hold for the next attempts of their replicas, by machine.
func (d *drains) reservations() map[string]resources.Vector {
	if d == nil {
		return nil
	}
	held := map[string]resources.Vector{}
	d.forEachReservation(func(permit *storage.Permit, job *mirror.Job) {
		held[permit.To] = held[permit.To].AddScaled(job.TaskResources, 1)
	})
	return held
}

// forEachReservation calls f for every permit whose replica hasn't found its new place yet.
func (d *drains) forEachReservation(f func(*storage.Permit, *mirror.Job)) {
	records := d.core.mirror
	for _, team := range sortedmap.Keys(records.PermitsByTeam) {
		permits := records.PermitsByTeam[team].Record.Permits
		for i := range permits {
			permit := &permits[i]
			job := records.Jobs[permit.Job]
			if job == nil || !job.IsOpen() || permit.Task >= len(job.TaskStates) {
				continue
			}
			from := records.Machines[permit.From]
			here := from != nil &&
				from.Attempts[mirror.TaskID{Job: permit.Job, Index: permit.Task}] == permit.Attempt
			if here || job.TaskStates[permit.Task] == 0 {
				f(permit, job)
			}
		}
	}
}

// drainReservations is the room on a pass's candidates that is held for replicas that are being
// moved. It is lent to a job while its own tasks are placed.
type drainReservations struct {
	byJob   map[string][]drainReservation // by job
	updates []*shards.Update
}

// drainReservation is room for one replica.
type drainReservation struct {
	candidate *candidateMachine
	task      mirror.TaskID
	need      resources.Vector
}

// reserveOnCandidates takes the room that is held for replicas off what the candidates have.
func (d *drains) reserveOnCandidates(
	candidates []*candidateMachine,
	updates []*shards.Update,
) *drainReservations {
	if d == nil {
		return nil
	}
	byMachine := map[string]*candidateMachine{}
	for _, candidate := range candidates {
		byMachine[candidate.MachineID] = candidate
	}
	r := &drainReservations{byJob: map[string][]drainReservation{}, updates: updates}
	d.forEachReservation(func(permit *storage.Permit, job *mirror.Job) {
		if candidate := byMachine[permit.To]; candidate != nil {
			candidate.Free = candidate.Free.AddScaled(job.TaskResources, -1)
			r.byJob[job.ID] = append(
				r.byJob[job.ID],
				drainReservation{
					candidate,
					mirror.TaskID{Job: permit.Job, Index: permit.Task},
					job.TaskResources,
				},
			)
		}
	})
	return r
}

// hasReservationFor tells whether room is held for replicas of a job.
func (r *drainReservations) hasReservationFor(job *mirror.Job) bool {
	return r != nil && len(r.byJob[job.ID]) > 0
}

// totalCPUs is the size of what is held.
func (r *drainReservations) totalCPUs() float64 {
	total := 0.0
	if r != nil {
		for _, places := range r.byJob {
			for _, place := range places {
				total += place.need.CPUs
			}
		}
	}
	return total
}

// release gives a job the room that is held for it.
func (r *drainReservations) release(job *mirror.Job) {
	if r == nil {
		return
	}
	for _, place := range r.byJob[job.ID] {
		place.candidate.Free = place.candidate.Free.AddScaled(place.need, 1)
	}
}

// reserveAgain takes again what the job hasn't used. A replica that has found a place, wherever
// that is, needs nothing held any more.
func (r *drainReservations) reserveAgain(job *mirror.Job) {
	if r == nil {
		return
	}
	var left []drainReservation
	for _, place := range r.byJob[job.ID] {
		if r.assignedThisPass(place.task) {
			continue
		}
		place.candidate.Free = place.candidate.Free.AddScaled(place.need, -1)
		left = append(left, place)
	}
	r.byJob[job.ID] = left
}

// assignedThisPass tells whether a task is assigned by the pass under way.
func (r *drainReservations) assignedThisPass(task mirror.TaskID) bool {
	for _, update := range r.updates {
		if update.AssignsTask(task) {
			return true
		}
	}
	return false
}

// replacementDemands is the room that drains with replacement want rented: what the machines that are
// being emptied hold of services.
func (d *drains) replacementDemands() []*autoscaling.Demand {
	if d == nil {
		return nil
	}
	out := make([]*autoscaling.Demand, 0, len(d.replacementDemand))
	for _, m := range d.replacementDemand {
		next := *m
		next.Zones = zoneConstraintOf(d.core.mirror, d.core.mirror.Jobs[m.JobID])
		out = append(out, &next)
	}
	return out
}

// computeReplacementDemand lists the replicas, by job, that drains with replacement are to move next.
func (d *drains) computeReplacementDemand(s *drain.Snapshot) []*autoscaling.Demand {
	count := map[string]int{}
	for _, record := range s.Drains() {
		if record.State != storage.DrainActive || !record.Replace {
			continue
		}
		for _, id := range s.MachinesInStep(&record) {
			m, _ := s.Machine(id)
			for _, r := range m.Replicas {
				count[r.Job]++
			}
		}
	}
	var out []*autoscaling.Demand
	for _, id := range sortedmap.Keys(count) {
		if job := d.core.mirror.Jobs[id]; job != nil && job.IsOpen() {
			out = append(
				out,
				&autoscaling.Demand{Spec: &job.Record.Spec, Need: job.TaskResources, Tasks: count[id], JobID: id},
			)
		}
	}
	return out
}
