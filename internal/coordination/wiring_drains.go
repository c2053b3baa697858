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

// drainDependencies gives the drainer what it needs of the other subjects.
type drainDependencies struct{ c *Controller }

// newDrainer makes the drainer; it is nil if the settings don't turn drains on.
func newDrainer(c *Controller) *drainer.Drainer {
	dependencies := drainDependencies{c}
	return drainer.New(c.node, c.settings.Drains, drainer.Dependencies{
		Mirror:          c.mirror,
		Clock:           c.env,
		Membership:      c.membership,
		Store:           dependencies,
		Agents:          c.agents,
		Jobs:            dependencies,
		Machines:        dependencies,
		NotePermitWrite: func() { c.counters.permitWrites++ },
		Log:             c.log,
	})
}

func (d drainDependencies) Unavailable() bool { return d.c.store.Unavailable() }

func (d drainDependencies) IsMirrorStale(now monotime.Micros) bool {
	return d.c.replica.WatchOverdue(now)
}

func (d drainDependencies) UserCallsWaiting(now monotime.Micros) bool {
	return d.c.store.UserCallsWaiting() || d.c.peerStatuses.UserCallsWaiting(now)
}

func (d drainDependencies) HasSpareWrites(now monotime.Micros, fraction float64) bool {
	return d.c.store.HasSpareWrites(now, fraction)
}

func (d drainDependencies) NextWriteAllowedAt(fraction float64) monotime.Micros {
	return d.c.store.NextWriteAllowedAt(fraction)
}

func (d drainDependencies) Commit(
	priority ratelimit.Priority,
	txn protocol.Transaction,
	callback func(protocol.StoreResult),
) {
	d.c.replica.Commit(priority, txn, callback)
}

func (d drainDependencies) CommitAsLeader(
	priority ratelimit.Priority,
	busyKey string,
	txn protocol.Transaction,
	callback func(protocol.StoreResult),
) {
	d.c.autoscaler.fleet.Commit(priority, busyKey, txn, callback)
}

func (d drainDependencies) MaxValueBytes() int { return d.c.maxValueBytes() }

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
