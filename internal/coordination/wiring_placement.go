package coordination

import (
	"pipitgap/internal/placement"
	"pipitgap/internal/scheduling"
)

// newScheduler creates the scheduler, which places the tasks of this controller's partition.
func newScheduler(c *Controller) *placement.Scheduler {
	return placement.New(
		placement.Config{
			Node:          c.node,
			Controllers:   c.controllers,
			Objectives:    c.cfg.Facts.Objectives,
			MaxTxnOps:     c.cfg.Facts.State.TxnOps,
			MaxValueBytes: c.maxValueBytes(),
			Backoff: scheduling.Backoff{
				First: c.settings.BackoffFirst.Micros(),
				Max:   c.settings.BackoffMax.Micros(),
			},
			PlacementSilenceLimit: c.durations.PlacementSilenceLimit,
		},
		placement.Dependencies{
			Mirror:       c.mirror,
			Environment:  c.env,
			Membership:   c.membership,
			Reachability: c.reachability,
			Catalog:      c.catalog,
			Quota:        c.quota,
			Agents:       c.agents,
			Shards:       c.shards,
			Store:        c.store,
			Replica:      c.replica,
			Drains:       c.drains,
			Peers:        c.peerStatuses,
			RecordWrites: c.recordWritesInFlight,
			ScaleIn:      c.scaleIn,
			Log:          c.log,
		},
	)
}
