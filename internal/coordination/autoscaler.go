package coordination

import (
	"pipitgap/internal/autoscaling"
	"pipitgap/internal/autoscaling/fleet"
	"pipitgap/internal/monotime"
)

// autoscaler gives package autoscaling its inputs. While this controller is the leader, fleet carries the
// plans out.
type autoscaler struct {
	c     *Controller
	fleet *fleet.Reconciler
}

func newAutoscaler(c *Controller) *autoscaler {
	as := &autoscaler{c: c}
	as.fleet = newFleetReconciler(as)
	return as
}

// snapshot is what demand and supply are read from.
func (as *autoscaler) snapshot(now monotime.Micros) *autoscaling.Snapshot {
	return &autoscaling.Snapshot{
		Records:           as.c.mirror,
		MachineTypes:      as.c.catalog.MachineTypes(),
		Jobs:              jobPolicy{as.c},
		Now:               now,
		WallClock:         as.c.env.WallClock(),
		ServiceHeadroom:   as.c.settings.ServiceHeadroom,
		OverdueBootFactor: as.c.settings.OverdueBootFactor,
	}
}

// demandAndSupply lists the tasks without room that the quotas let run, those that drains want replaced among
// them, and the machines that are up or requested.
func (as *autoscaler) demandAndSupply(snapshot *autoscaling.Snapshot) ([]*autoscaling.Demand, []*autoscaling.Bin) {
	waiting := append(
		snapshot.UnplacedDemand(as.c.scheduler.OrderedQueue()),
		as.c.drains.ReplacementDemands()...,
	)
	return waiting, snapshot.Bins()
}
