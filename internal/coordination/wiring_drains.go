package coordination

import (
	"pipitgap/internal/autoscaling"
	"pipitgap/internal/drain/drainer"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/placement"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/storage"
)

// drainDependencies implements drainer.Jobs and drainer.Machines.
type drainDependencies struct{ c *Controller }

// newDrainer creates the drainer. It returns nil if the settings do not enable drains.
func newDrainer(c *Controller) *drainer.Drainer {
	dependencies := drainDependencies{c}
	return drainer.New(c.node, c.settings.Drains, drainer.Dependencies{
		Mirror:          c.mirror,
		Clock:           c.env,
		Membership:      c.membership,
		Store:           drainStore{stateService{c.store, c.replica}, c},
		Agents:          c.agents,
		Jobs:            dependencies,
		Machines:        dependencies,
		NotePermitWrite: func() { c.counters.permitWrites++ },
		Log:             c.log,
	})
}

func (d drainDependencies) IsCrashLooping(job *mirror.Job) bool {
	return d.c.scheduler.IsCrashLooping(job)
}

func (d drainDependencies) ExpectedRunSeconds(spec *storage.JobSpec) float64 {
	return d.c.scheduler.ExpectedRunSeconds(spec)
}

func (d drainDependencies) ZoneConstraint(job *mirror.Job) autoscaling.ZoneConstraint {
	return placement.ZoneConstraintOf(d.c.mirror, job)
}

func (d drainDependencies) AssignmentShardBytes() int { return d.c.scheduler.AssignmentShardBytes() }

func (d drainDependencies) MachineTypes() map[string]protocol.MachineType {
	return d.c.catalog.MachineTypes()
}

func (d drainDependencies) ScaleInDelay(record *storage.ShardMachine) monotime.Micros {
	return d.c.scaleIn.Delay(record)
}

// drainStore implements drainer.Store. UserCallsWaiting also covers user calls that wait at other
// controllers. CommitAsLeader uses the fleet reconciler, which commits the records that only the leader may
// write.
type drainStore struct {
	stateService
	c *Controller
}

func (s drainStore) IsMirrorStale(now monotime.Micros) bool { return s.WatchOverdue(now) }

func (s drainStore) UserCallsWaiting(now monotime.Micros) bool {
	return s.Client.UserCallsWaiting() || s.c.peerStatuses.UserCallsWaiting(now)
}

func (s drainStore) CommitAsLeader(
	priority ratelimit.Priority,
	busyKey string,
	txn protocol.Transaction,
	callback func(protocol.StoreResult),
) {
	s.c.autoscaler.fleet.Commit(priority, busyKey, txn, callback)
}

func (s drainStore) MaxValueBytes() int { return s.c.maxValueBytes() }
