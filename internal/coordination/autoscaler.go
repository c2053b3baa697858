package coordination

import (
	"pipitgap/internal/autoscaling"
	"pipitgap/internal/autoscaling/fleet"
	"pipitgap/internal/monotime"
)

// autoscaler provides package autoscaling with its inputs. While this controller is the leader, fleet carries
// the plans out.
type autoscaler struct {
	c     *Controller
	fleet *fleet.Reconciler
}

// newAutoscaler makes the inputs of package autoscaling, and what carries its plans out.
func newAutoscaler(c *Controller) *autoscaler {
	a := &autoscaler{c: c}
	a.fleet = newFleetReconciler(a)
	return a
}

// snapshot is what demand and supply are read from.
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

// demandAndSupply lists the tasks without room that the quotas let run, those that drains want replaced among
// them, and the machines that are up or requested.
func (a *autoscaler) demandAndSupply(
	snapshot *autoscaling.Snapshot,
) (demand []*autoscaling.Demand, supply []*autoscaling.Bin) {
	demand = append(
		snapshot.UnplacedDemand(a.c.scheduler.OrderedQueue()),
		a.c.drains.ReplacementDemands()...,
	)
	return demand, snapshot.Bins()
}
