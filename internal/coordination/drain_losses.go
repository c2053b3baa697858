package coordination

import (
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/sortedmap"
)

// What disruption budgets don't cover: replicas that are lost, or stopped for another reason
// than a drain. They are counted apart.

// lossCause is why a replica ended outside of a permit.
type lossCause string

// Causes of such ends.
const (
	lossSpotReclaimed lossCause = "spot interruption"
	lossMachineFailed lossCause = "machine lost"
	lossTaskExited    lossCause = "task exit"
)

// replicaLoss is a replica that ended outside of a permit.
type replicaLoss struct {
	team  string
	cause lossCause
}

// releaseLosses are the losses of one shard update; they count once it is in the store.
type releaseLosses struct {
	drains *drains
	losses []replicaLoss
}

// Record adds a task that is released from a machine, if it counts as a loss.
func (l *releaseLosses) Record(machine *mirror.Machine, task mirror.TaskID) {
	l.losses = l.drains.recordLoss(l.losses, machine, task)
}

// Count counts the losses.
func (l *releaseLosses) Count() { l.drains.countCommittedLosses(l.losses) }

// lossLogInterval is how often losses are logged, many by one line.
const lossLogInterval = 10 * monotime.Second

// recordLoss adds a release to the losses of a shard's update, if it is one.
func (d *drains) recordLoss(losses []replicaLoss, machine *mirror.Machine, task mirror.TaskID) []replicaLoss {
	if d == nil {
		return losses
	}
	job := d.core.mirror.Jobs[task.Job]
	if job == nil || !job.IsOpen() || !d.tracksStart(&job.Record.Spec) ||
		d.hasPermit(job, task, machine.Attempts[task]) {
		return losses
	}
	cause := lossTaskExited
	switch {
	case d.core.agents.Of(machine) != nil && d.core.agents.Of(machine).InterruptionNoticed():
		cause = lossSpotReclaimed
	case d.core.agents.Of(machine) == nil || d.core.agents.Of(machine).LeaseExpired() || d.core.agents.Of(machine).RemovalReason() != "" || d.core.mirror.ScaleInOfMachine[machine.ID] != "":
		cause = lossMachineFailed
	}
	return append(losses, replicaLoss{job.Record.Spec.Team, cause})
}

// hasPermit tells whether an attempt was to be stopped under a permit.
func (d *drains) hasPermit(job *mirror.Job, task mirror.TaskID, attempt uint64) bool {
	for _, permit := range d.core.mirror.PermitsByTeam[job.Record.Spec.Team].Record.Permits {
		if permit.Job == task.Job && permit.Task == task.Index && permit.Attempt == attempt {
			return true
		}
	}
	return false
}

// countCommittedLosses counts losses whose release is in the store.
func (d *drains) countCommittedLosses(losses []replicaLoss) {
	if d == nil || len(losses) == 0 {
		return
	}
	for _, loss := range losses {
		d.unpermittedLosses[loss.cause]++
	}
	if now := d.core.now(); now-d.lossesLoggedAt >= lossLogInterval {
		d.lossesLoggedAt = now
		for _, cause := range sortedmap.Keys(d.unpermittedLosses) {
			d.core.log.Info("replicas lost outside of permits",
				"reason", string(cause), "replicas_total", d.unpermittedLosses[cause])
		}
	}
}
