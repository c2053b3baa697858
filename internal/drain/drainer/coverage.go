package drainer

import (
	"pipitgap/internal/autoscaling"
	"pipitgap/internal/drain"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// drainCovering returns the unfinished drain that a machine belongs to.
func (d *Drainer) drainCovering(machine *mirror.Machine) (*storage.Drain, bool) {
	if d == nil || machine.Record == nil {
		return nil, false
	}
	for _, name := range sortedmap.Keys(d.deps.Mirror.Drains) {
		record := d.deps.Mirror.Drains[name].Record
		if record.State.Unfinished() &&
			drain.Covers(&record, machine.ID, machine.Record.Type, machine.Record.Zone, machine.Record.Spot) {
			return &record, true
		}
	}
	return nil, false
}

// IsCordoned reports whether a drain keeps new tasks off a machine.
func (d *Drainer) IsCordoned(machine *mirror.Machine) bool {
	_, covered := d.drainCovering(machine)
	return covered
}

// ClosesOffer reports whether a drain excludes an offer from scale-out.
func (d *Drainer) ClosesOffer(offer autoscaling.Offer) bool {
	if d == nil {
		return false
	}
	for _, entry := range d.deps.Mirror.Drains {
		if drain.ClosesOffer(&entry.Record, offer.MachineType, offer.Zone, offer.Spot) {
			return true
		}
	}
	return false
}

// MayScaleIn reports whether a drained machine that has been empty for emptyFor should be removed.
func (d *Drainer) MayScaleIn(machine *mirror.Machine, emptyFor monotime.Micros) bool {
	record, covered := d.drainCovering(machine)
	if !covered || record.State == storage.DrainPaused {
		return false
	}
	return record.DeleteImmediately || emptyFor >= d.deps.Machines.ScaleInDelay(machine.Record)
}

// ProtectsFromPreemption reports whether a job's tasks must not be preempted, because it is a service with a
// disruption budget.
func (d *Drainer) ProtectsFromPreemption(job *mirror.Job) bool {
	spec := &job.Record.Spec
	return d != nil && spec.Service && d.policy.Budgeted(spec.Team, spec.Class)
}
