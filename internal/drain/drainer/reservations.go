package drainer

import (
	"pipitgap/internal/mirror"
	"pipitgap/internal/resources"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// ReservedByMachine returns the resources that permits reserve for the next attempts of their replicas, by
// machine.
func (d *Drainer) ReservedByMachine() map[string]resources.Vector {
	if d == nil {
		return nil
	}
	reserved := map[string]resources.Vector{}
	d.ForEachReservation(func(permit *storage.Permit, job *mirror.Job) {
		reserved[permit.To] = reserved[permit.To].AddScaled(job.TaskResources, 1)
	})
	return reserved
}

// ForEachReservation calls callback for every permit whose replica has no new attempt yet, in the order of
// teams.
func (d *Drainer) ForEachReservation(callback func(*storage.Permit, *mirror.Job)) {
	if d == nil {
		return
	}
	records := d.deps.Mirror
	for _, team := range sortedmap.Keys(records.PermitsByTeam) {
		permits := records.PermitsByTeam[team].Record.Permits
		for i := range permits {
			job := records.Jobs[permits[i].Job]
			if job != nil && job.IsOpen() && isUnplaced(records, &permits[i], job) {
				callback(&permits[i], job)
			}
		}
	}
}

// isUnplaced reports whether a permit's replica still has the attempt that the permit names, or no attempt.
func isUnplaced(records *mirror.Mirror, permit *storage.Permit, job *mirror.Job) bool {
	if permit.Task >= len(job.TaskStates) {
		return false
	}
	from := records.Machines[permit.From]
	task := mirror.TaskID{Job: permit.Job, Index: permit.Task}
	return from != nil && from.Attempts[task] == permit.Attempt || job.TaskStates[permit.Task] == 0
}
