package coordination

import (
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/peers"
	"pipitgap/internal/protocol"
	"pipitgap/internal/shards"
	"pipitgap/internal/storage"
)

// shardDependencies implements shards.Peers, shards.Drains and shards.Passes.
type shardDependencies struct{ c *Controller }

// newShardManager creates the manager of this controller's shards.
func newShardManager(c *Controller) *shards.Manager {
	dependencies := shardDependencies{c}
	return shards.NewManager(
		shards.Config{
			Node:          c.node,
			Incarnation:   c.incarnation,
			MaxTxnOps:     c.cfg.Facts.State.TxnOps,
			MaxValueBytes: c.maxValueBytes(),
		},
		shards.Dependencies{
			Mirror:      c.mirror,
			Store:       stateService{c.store, c.replica},
			Membership:  c.membership,
			Peers:       dependencies,
			Quota:       c.quota,
			Agents:      c.agents,
			Drains:      dependencies,
			Jobs:        c.jobs,
			Passes:      dependencies,
			MachineType: func(name string) protocol.MachineType { return c.catalog.MachineTypes()[name] },
			Now:         c.now,
			Log:         c.log,
		},
	)
}

func (d shardDependencies) ConnectedControllers() []string {
	return d.c.reachability.ConnectedControllers()
}

func (d shardDependencies) HasRecentStatus(node string, now monotime.Micros) bool {
	return d.c.peerStatuses.HasRecentStatus(node, now)
}

func (d shardDependencies) ReachesWorkers(node string) bool {
	return d.c.peerStatuses.WorkerReach(node) == peers.WorkersReachable
}

func (d shardDependencies) HasWork() bool { return d.c.drains.HasWork() }

func (d shardDependencies) UpdateStartingMarks(
	next *storage.Shard,
	machine *mirror.Machine,
	now monotime.Micros,
) bool {
	return d.c.drains.UpdateStartingMarks(next, machine, now)
}

func (d shardDependencies) NewLosses() shards.Losses { return d.c.drains.NewLosses() }

func (d shardDependencies) Request() { d.c.scheduler.RequestPass() }

func (d shardDependencies) HandleCommitResult(result protocol.StoreResult, assignedTasks int) {
	if result.Outcome == protocol.OK {
		d.c.counters.tasksPlaced += assignedTasks
	}
	d.c.scheduler.HandleShardCommitResult(result)
}
