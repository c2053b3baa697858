package drainer

import (
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/sortedmap"
)

// LossCause is why a replica ended outside of a permit.
type LossCause string

// Causes of such ends.
const (
	LossBySpotInterruption LossCause = "spot interruption"
	LossByMachine          LossCause = "machine lost"
	LossByTaskExit         LossCause = "task exit"
)

// Losses are the replicas that one shard update releases outside of permits. Disruption budgets don't cover
// losses; they are counted apart, once the update is in the records.
type Losses struct {
	drainer *Drainer
	causes  []LossCause
}

// lossLogInterval is how often losses are logged, many by one line.
const lossLogInterval = 10 * monotime.Second

// NewLosses makes the losses of an update.
func (d *Drainer) NewLosses() *Losses { return &Losses{drainer: d} }

// Record adds a task that is released from a machine, if it counts as a loss.
func (l *Losses) Record(machine *mirror.Machine, task mirror.TaskID) {
	if l.drainer != nil && l.drainer.isLoss(machine, task) {
		l.causes = append(l.causes, l.drainer.lossCause(machine))
	}
}

// isLoss reports whether the release of a task is the loss of a replica.
func (d *Drainer) isLoss(machine *mirror.Machine, task mirror.TaskID) bool {
	job := d.deps.Mirror.Jobs[task.Job]
	return job != nil && job.IsOpen() && d.TracksStart(&job.Record.Spec) &&
		!d.hasPermit(job, task, machine.Attempts[task])
}

// lossCause is why a replica on a machine was lost.
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

// hasPermit reports whether an attempt was to be stopped under a permit.
func (d *Drainer) hasPermit(job *mirror.Job, task mirror.TaskID, attempt uint64) bool {
	for _, permit := range d.deps.Mirror.PermitsByTeam[job.Record.Spec.Team].Record.Permits {
		if permit.Job == task.Job && permit.Task == task.Index && permit.Attempt == attempt {
			return true
		}
	}
	return false
}

// Count counts the losses: their update is in the records.
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
