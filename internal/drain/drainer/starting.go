package drainer

import (
	"pipitgap/internal/agents"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/storage"
)

// TracksStart reports whether the records mark which attempts of a job are still starting: those of services,
// while drains are enabled.
func (d *Drainer) TracksStart(spec *storage.JobSpec) bool { return d != nil && spec.Service }

// UpdateStartingMarks corrects the starting marks of a machine's replicas in the next version of a shard, and
// reports whether any mark changed. A replica that the agent doesn't report as running is starting. A replica
// that has run for at least MinReady is not.
func (d *Drainer) UpdateStartingMarks(
	next *storage.Shard,
	machine *mirror.Machine,
	now monotime.Micros,
) bool {
	if d == nil {
		return false
	}
	agent := d.deps.Agents.Of(machine)
	if !agent.HasReported() || !agent.ClaimAcknowledged() || !agent.IsReachable() {
		return false
	}
	changed := false
	for task, number := range machine.Attempts {
		job := d.deps.Mirror.Jobs[task.Job]
		if job == nil || !d.TracksStart(&job.Record.Spec) {
			continue
		}
		recorded, ok := next.FindAttempt(task.Job, task.Index)
		if !ok || recorded.Number != number || recorded.Machine != machine.ID {
			continue
		}
		starting := d.countsAsStarting(
			agent,
			agents.AttemptID{Task: task, Attempt: number},
			recorded.Starting,
			now,
		)
		if starting != recorded.Starting && d.markFits(next, starting) {
			next.MarkStarting(task.Job, task.Index, starting)
			changed = true
		}
	}
	return changed
}

// markFits reports whether a mark may be set to starting: an additional mark must fit into the record.
// Removing a mark always fits.
func (d *Drainer) markFits(next *storage.Shard, starting bool) bool {
	return !starting || next.MaxEncodedSize()+storage.MaxStartingBytes <= d.deps.Store.MaxValueBytes()
}

// countsAsStarting reports whether a replica counts as starting. wasStarting is its current mark in the
// records.
func (d *Drainer) countsAsStarting(
	agent *agents.Agent,
	attempt agents.AttemptID,
	wasStarting bool,
	now monotime.Micros,
) bool {
	if !agent.IsRunning(attempt) {
		return true
	}
	runningSince, running := agent.RunningSince(attempt)
	return wasStarting && (!running || now-runningSince < d.settings.MinReady.Micros())
}
