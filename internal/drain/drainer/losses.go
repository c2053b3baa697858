package drainer

import (
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/sortedmap"
)

// LossCause is the reason why a replica ended without a permit.
type LossCause string

// Causes of losses.
const (
	LossBySpotInterruption LossCause = "spot interruption"
	LossByMachine          LossCause = "machine lost"
	LossByTaskExit         LossCause = "task exit"
)

// Losses are the replicas that one shard update releases without a permit. Disruption budgets don't cover
// losses. Losses are counted separately, once the update is committed.
type Losses struct {
	drainer *Drainer
	causes  []LossCause
}

// lossLogInterval is the minimum interval between logs of losses. One line per cause gives the total number.
const lossLogInterval = 10 * monotime.Second

// NewLosses returns an empty set of losses for one shard update.
func (d *Drainer) NewLosses() *Losses { return &Losses{drainer: d} }

// Record adds a task that the update releases from a machine, if the release is a loss.
func (l *Losses) Record(machine *mirror.Machine, task mirror.TaskID) {
	if l.drainer != nil && l.drainer.isLoss(machine, task) {
		l.causes = append(l.causes, l.drainer.lossCause(machine))
	}
}

// isLoss reports whether the release of a task is a loss: the task is a replica of an unfinished service and
// is not under a permit.
func (d *Drainer) isLoss(machine *mirror.Machine, task mirror.TaskID) bool {
	job := d.deps.Mirror.Jobs[task.Job]
	return job != nil && job.IsOpen() && d.TracksStart(&job.Record.Spec) &&
		!d.hasPermit(job, task, machine.Attempts[task])
}

// lossCause returns why a replica on a machine was lost.
func (d *Drainer) lossCause(machine *mirror.Machine) LossCause {
	agent := d.deps.Agents.Of(machine)
	switch {
	case agent != nil && agent.InterruptionNoticed():
		return LossBySpotInterruption
	case agent == nil, agent.LeaseExpired(), agent.RemovalReason() != "",
		d.deps.Mirror.ScaleInOfMachine[machine.ID] != "":
		return LossByMachine
	}
	return LossByTaskExit
}

// hasPermit reports whether an attempt is under a permit.
func (d *Drainer) hasPermit(job *mirror.Job, task mirror.TaskID, attempt uint64) bool {
	for _, permit := range d.deps.Mirror.PermitsByTeam[job.Record.Spec.Team].Record.Permits {
		if permit.Job == task.Job && permit.Task == task.Index && permit.Attempt == attempt {
			return true
		}
	}
	return false
}

// Count adds the losses to the totals. The caller calls it once the update is committed.
func (l *Losses) Count() {
	d := l.drainer
	if d == nil || len(l.causes) == 0 {
		return
	}
	for _, cause := range l.causes {
		d.lossCounts[cause]++
	}
	now := d.deps.Clock.Now()
	if now-d.lossesLoggedAt < lossLogInterval {
		return
	}
	d.lossesLoggedAt = now
	for _, cause := range sortedmap.Keys(d.lossCounts) {
		d.deps.Log.Info("replicas lost outside of permits",
			"reason", string(cause), "replicas_total", d.lossCounts[cause])
	}
}
