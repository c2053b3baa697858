package drainer

import (
	"pipitgap/internal/agents"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
)

// evictWithoutPermits stops the tasks that need no permit on machines none of whose replicas is blocked: those
// of arrays, and of services that fail wherever they run. An array task that is expected to end soon is not
// stopped.
func (d *Drainer) evictWithoutPermits(machines []string, now monotime.Micros) {
	startedByMachine := map[string]monotime.Micros{}
	for _, id := range machines {
		startedAt, ok := d.evictingSince[id]
		if !ok {
			startedAt = now
		}
		startedByMachine[id] = startedAt
		if machine, own := d.ownMachine(id); own {
			d.evictWithoutPermitsOn(machine, startedAt, now)
		}
	}
	if len(machines) > 0 {
		d.evictingSince = startedByMachine
	}
}

// evictWithoutPermitsOn stops the tasks that need no permit on a machine. startedAt is when this began there.
func (d *Drainer) evictWithoutPermitsOn(machine ownMachine, startedAt, now monotime.Micros) {
	stopped := 0
	for task, number := range machine.Attempts {
		attempt := agents.AttemptID{Task: task, Attempt: number}
		job := d.deps.Mirror.Jobs[task.Job]
		if job == nil || !job.IsOpen() ||
			machine.agent.IsStopping(attempt) || machine.agent.HasOutcome(attempt) ||
			d.needsPermit(job) || d.endsSoon(machine.agent, attempt, job, startedAt, now) {
			continue
		}
		machine.agent.StopAttempt(attempt)
		stopped++
	}
	if stopped > 0 {
		d.deps.Log.Info("tasks evicted for drain", "machine", machine.ID, "tasks", stopped)
		d.deps.Agents.SyncCommands(machine.Machine)
	}
}

// needsPermit reports whether a job's tasks may be stopped only under permits.
func (d *Drainer) needsPermit(job *mirror.Job) bool {
	return job.Record.Spec.Service && !d.deps.Jobs.IsCrashLooping(job)
}

// endsSoon reports whether an array task is expected to end within ArrayWait. The estimate may be wrong, so
// it is ignored when more than twice ArrayWait has passed since startedAt, when the evictions on the machine
// began.
func (d *Drainer) endsSoon(
	agent *agents.Agent,
	attempt agents.AttemptID,
	job *mirror.Job,
	startedAt, now monotime.Micros,
) bool {
	runningSince, running := agent.RunningSince(attempt)
	if !running || job.Record.Spec.Service || now-startedAt > 2*d.settings.ArrayWait.Micros() {
		return false
	}
	expectedRun := monotime.FromSeconds(d.deps.Jobs.ExpectedRunSeconds(&job.Record.Spec))
	return expectedRun-(now-runningSince) <= d.settings.ArrayWait.Micros()
}
