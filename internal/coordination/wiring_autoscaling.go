package coordination

import (
	"pipitgap/internal/autoscaling"
	"pipitgap/internal/autoscaling/fleet"
	"pipitgap/internal/autoscaling/scalein"
	"pipitgap/internal/mapentry"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/placement"
	"pipitgap/internal/reachability"
	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

// jobPolicy implements autoscaling.JobPolicy with the data of the scheduler and the quotas.
type jobPolicy struct{ c *Controller }

func (p jobPolicy) IsDelayed(job *mirror.Job, now monotime.Micros) bool {
	return p.c.scheduler.PlacementDelayed(job.ID, now)
}

func (p jobPolicy) IsCrashLooping(job *mirror.Job) bool { return p.c.scheduler.IsCrashLooping(job) }

func (p jobPolicy) MayScaleOutForTrial(job *mirror.Job, now monotime.Micros) bool {
	return p.c.scheduler.MayScaleOutForTrial(job, now)
}

func (p jobPolicy) IsScavenger(job *mirror.Job) bool { return p.c.scheduler.IsScavenger(job) }

func (p jobPolicy) IsSpotOnly(job *mirror.Job) bool { return p.c.scheduler.IsSpotOnly(job) }

func (p jobPolicy) IsPreemptible(job *mirror.Job) bool { return p.c.scheduler.IsPreemptible(job) }

func (p jobPolicy) ExpectedRunSeconds(spec *storage.JobSpec) float64 {
	return p.c.scheduler.ExpectedRunSeconds(spec)
}

func (p jobPolicy) SlackSeconds(job *mirror.Job, wallClock int64) float64 {
	return p.c.scheduler.SlackOf(job, wallClock).Seconds
}

func (p jobPolicy) RemainingQuota(team string) resources.Vector {
	limits, _ := p.c.quota.Limits(team)
	return limits.Remaining(p.c.mirror.UsageByTeam[team])
}

func (p jobPolicy) Zones(job *mirror.Job) autoscaling.ZoneConstraint {
	return placement.ZoneConstraintOf(p.c.mirror, job)
}

// newFleetReconciler creates the reconciler that the leader uses to request machines from the cloud and
// delete them.
func newFleetReconciler(a *autoscaler) *fleet.Reconciler {
	c := a.c
	return fleet.New(
		fleet.Config{
			Settings:       c.settings,
			MaxValueBytes:  c.maxValueBytes(),
			ListLagSeconds: c.cfg.Facts.Cloud.ListLagS,
		},
		fleet.Dependencies{
			Mirror:      c.mirror,
			Environment: c.env,
			Membership:  c.membership,
			Store:       stateService{c.store, c.replica},
			Catalog:     c.catalog,
			Controllers: fleetControllers{c},
			Workload:    fleetWorkload{a},
			CloudCalls:  c.catalog.CloudCalls(),
			Log:         c.log,
		},
	)
}

// newScaleIn creates the reconciler that removes this controller's empty machines.
func newScaleIn(c *Controller) *scalein.Reconciler {
	return scalein.New(c.settings, scalein.Dependencies{
		Mirror:   c.mirror,
		Agents:   c.agents,
		Drains:   c.drains,
		Workload: fleetWorkload{c.autoscaler},
		Catalog:  c.catalog,
	})
}

// fleetControllers implements fleet.Controllers, which determines the controllers that can claim machines.
type fleetControllers struct{ c *Controller }

func (f fleetControllers) Connected() []string { return f.c.reachability.ConnectedControllers() }

func (f fleetControllers) DesignatedController(request *mirror.ScaleOutEntry, machineID string) string {
	return f.c.agents.DesignatedController(request, machineID)
}

// fleetWorkload implements fleet.Workload and scalein.Workload, the input of an autoscaling pass.
type fleetWorkload struct{ autoscaler *autoscaler }

func (w fleetWorkload) Snapshot(now monotime.Micros) *autoscaling.Snapshot {
	return w.autoscaler.snapshot(now)
}

func (w fleetWorkload) DemandAndSupply(
	snapshot *autoscaling.Snapshot,
) ([]*autoscaling.Demand, []*autoscaling.Bin) {
	return w.autoscaler.demandAndSupply(snapshot)
}

func (w fleetWorkload) RecordTrialDemand(jobID string, now monotime.Micros) {
	w.autoscaler.c.scheduler.RecordTrialDemand(jobID, now)
}

func (w fleetWorkload) IsClosedByDrain(offer autoscaling.Offer) bool {
	return w.autoscaler.c.drains.ClosesOffer(offer)
}

// ZoneReachabilities returns, for each zone, the number of machines and how many of them are unreachable from the
// controllers that own them. Only machines in the states open and unreachable are counted.
func (w fleetWorkload) ZoneReachabilities() map[string]fleet.ZoneReachability {
	counts := map[string]*reachability.SilenceCount{}
	for _, machine := range w.autoscaler.c.mirror.Machines {
		if machine.Record == nil {
			continue
		}
		zone, state := machine.Record.Zone, machine.Record.State
		mapentry.GetOrNew(counts, zone).Add(state == storage.MachineUnreachable, state != storage.MachineOpen)
	}
	contacts := map[string]fleet.ZoneReachability{}
	for zone, count := range counts {
		contacts[zone] = fleet.ZoneReachability{
			Machines:            count.Machines,
			UnreachableMachines: count.Silent,
			Unreachable:         count.IsUnreachable(),
		}
	}
	return contacts
}
