package fleet

import (
	"pipitgap/internal/autoscaling"
	"pipitgap/internal/logging"
	"pipitgap/internal/monotime"
	"pipitgap/internal/sortedmap"
)

// runPass requests machines for the demand that fits neither on the machines that are up nor on those already
// requested.
func (r *Reconciler) runPass(now monotime.Micros) {
	if r.deps.Catalog.MachineTypes() == nil {
		return
	}
	snapshot := r.deps.Workload.Snapshot(now)
	plan := r.newPlan(snapshot)
	unmet := plan.PlaceDemand()
	r.term.backoffs.ForgetMet(unmet)
	eligible := r.term.backoffs.Eligible(unmet, now)
	tasksBefore := map[string]int{}
	for _, demand := range eligible {
		tasksBefore[demand.JobID] = demand.Tasks
	}
	scaleOuts := plan.ScaleOuts(eligible, r.availableOffers(snapshot))
	for _, demand := range eligible {
		met := demand.Tasks < tasksBefore[demand.JobID]
		if r.term.backoffs.Update(demand.JobID, met, now) {
			r.deps.Log.Info("job removed from demand, insufficient capacity",
				"job", demand.JobID, "tasks", demand.Tasks)
		}
	}
	for _, scaleOut := range scaleOuts {
		r.requestScaleOut(scaleOut)
	}
}

// newPlan collects the inputs of a pass, and records the jobs for which a crash-loop trial is planned.
func (r *Reconciler) newPlan(snapshot *autoscaling.Snapshot) *autoscaling.Plan {
	demands, bins := r.deps.Workload.DemandAndSupply(snapshot)
	for _, demand := range demands {
		if demand.CrashLoopTrial {
			r.deps.Workload.RecordTrialDemand(demand.JobID, snapshot.Now)
		}
	}
	return &autoscaling.Plan{
		Waiting:                  demands,
		Headroom:                 snapshot.HeadroomDemand(),
		Bins:                     bins,
		MachineTypes:             snapshot.MachineTypes,
		ExpectedCapacity:         r.cfg.Settings.ExpectedCapacity,
		ExpectedOnDemandCapacity: r.cfg.Settings.ExpectedOnDemandCapacity,
	}
}

// availableOffers lists the offers that may be requested now. It excludes zones that are unreachable as a
// whole: a machine requested there would wait, at a cost, until the zone is reachable again.
func (r *Reconciler) availableOffers(snapshot *autoscaling.Snapshot) []*autoscaling.PricedOffer {
	r.updateUnreachableZones(r.deps.Workload.ZoneReachabilities())
	return snapshot.Offers(func(offer autoscaling.Offer) bool {
		return r.term.unreachableZones[offer.Zone] || r.deps.Workload.IsClosedByDrain(offer)
	})
}

// updateUnreachableZones tracks and logs which zones are unreachable as a whole.
func (r *Reconciler) updateUnreachableZones(zones map[string]ZoneReachability) {
	for zone := range r.term.unreachableZones {
		if !zones[zone].Unreachable {
			delete(r.term.unreachableZones, zone)
			r.term.backoffs.NoteOfferRecovery()
			r.deps.Log.Info("zone unreachable", "state", logging.ConditionEnd, "zone", zone)
		}
	}
	for _, zone := range sortedmap.Keys(zones) {
		if contact := zones[zone]; contact.Unreachable && !r.term.unreachableZones[zone] {
			r.term.unreachableZones[zone] = true
			r.deps.Log.Info("zone unreachable", "state", logging.ConditionBegin, "zone", zone,
				"machines", contact.Machines, "machines_unreachable", contact.UnreachableMachines)
		}
	}
}
