package coordination

import (
	"pipitgap/internal/autoscaling"
	"pipitgap/internal/autoscaling/fleet"
	"pipitgap/internal/monotime"
)

// autoscaler collects the inputs of package autoscaling. Its fleet reconciler executes the plans while this
// controller is the leader.
type autoscaler struct {
	c     *Controller
	fleet *fleet.Reconciler
}

// newAutoscaler creates an autoscaler with its fleet reconciler.
func newAutoscaler(c *Controller) *autoscaler {
	a := &autoscaler{c: c}
	a.fleet = newFleetReconciler(a)
	return a
}

// snapshot returns the state from which package autoscaling computes demand and supply.
func (a *autoscaler) snapshot(now monotime.Micros) *autoscaling.Snapshot {
	return &autoscaling.Snapshot{
		Records:           a.c.mirror,
		MachineTypes:      a.c.catalog.MachineTypes(),
		Jobs:              jobPolicy{a.c},
		Now:               now,
		WallClock:         a.c.env.WallClock(),
		ServiceHeadroom:   a.c.settings.ServiceHeadroom,
		OverdueBootFactor: a.c.settings.OverdueBootFactor,
	}
}

// demandAndSupply returns the demand and the supply of an autoscaling pass. The demand is the unplaced tasks
// that the quotas admit, plus the replacements that drains require. The supply is the machines that are
// running or requested.
func (a *autoscaler) demandAndSupply(
	snapshot *autoscaling.Snapshot,
) (demand []*autoscaling.Demand, supply []*autoscaling.Bin) {
	demand = append(
		snapshot.UnplacedDemand(a.c.scheduler.OrderedQueue()),
		a.c.drains.ReplacementDemands()...,
	)
	return demand, snapshot.Bins()
}
