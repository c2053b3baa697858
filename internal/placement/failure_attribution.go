package placement

import (
	"pipitgap/internal/agents"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/scheduling"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// maxReportedFailingJobs is how many failing jobs a status to the other controllers names.
const maxReportedFailingJobs = 64

// failuresOf is what this controller has seen of a job's failures, nil where it has noted nothing about the
// job.
func (sc *Scheduler) failuresOf(id string) *scheduling.JobFailures {
	if tracking := sc.trackingByJob[id]; tracking != nil {
		return &tracking.failures
	}
	return nil
}

// AttributeFailures tells whose fault a job's failures are. That some task of it is done stands in the shards
// for all controllers; on how many machines it has failed the others tell in their statuses.
func (sc *Scheduler) AttributeFailures(id string) scheduling.Attribution {
	job := sc.deps.Mirror.Jobs[id]
	if job == nil {
		if status, ok := sc.deps.Mirror.Results.Get(id); ok && status == storage.JobDone {
			return scheduling.MachineAtFault
		}
		return scheduling.JobAtFault // cancelled, or forgotten: no evidence
	}
	failures := sc.failuresOf(id)
	evidence := scheduling.JobEvidence{
		Open:          job.IsOpen(),
		Service:       job.Record.Spec.Service,
		DoneTasks:     job.DoneTasks,
		AssignedTasks: job.AssignedTasks,
	}
	if failedAt := failures.LastFailureAt(); failedAt != 0 {
		evidence.SeenFailing, evidence.SinceLastFailure = true, sc.deps.Environment.Now()-failedAt
	}
	if attribution := scheduling.AttributeByProgress(evidence); attribution != scheduling.FaultUnknown {
		return attribution
	}
	return scheduling.AttributeByMachines(failures.FailedMachines() + sc.deps.Peers.FailedMachines(id))
}

// IsCrashLooping reports whether an open job is placed for an occasional trial only.
func (sc *Scheduler) IsCrashLooping(job *mirror.Job) bool {
	return sc.AttributeFailures(job.ID) == scheduling.JobAtFault && job.IsOpen()
}

// MachineFault judges a machine by its failures since something last completed there.
func (sc *Scheduler) MachineFault(agent *agents.Agent) scheduling.MachineFault {
	return scheduling.AttributeToMachine(scheduling.MachineEvidence{
		FailuresByJob: agent.Failures().ByJob(),
		Slow:          agent.Failures().IsSlow(),
	}, sc.AttributeFailures)
}

// recordFailure learns from a task that failed.
func (sc *Scheduler) recordFailure(machine *mirror.Machine, job *mirror.Job) {
	sc.deps.Agents.Of(machine).Failures().RecordFailure(job.ID)
	failures := &sc.trackingOf(job.ID).failures
	failures.Record(machine.ID, sc.deps.Environment.Now())
	if sc.AttributeFailures(job.ID) == scheduling.JobAtFault {
		failures.BackOff(sc.deps.Environment.Now(), sc.config.Backoff)
	}
}

// ClearFailuresOn takes back what a faulty machine's failures have said of jobs.
func (sc *Scheduler) ClearFailuresOn(machine *mirror.Machine) {
	for id := range sc.deps.Agents.Of(machine).Failures().ByJob() {
		if tracking := sc.trackingByJob[id]; tracking != nil {
			tracking.failures.Withdraw(machine.ID)
		}
	}
}

// crashLoopTrials returns how many tasks of a job in a crash loop may be placed now.
func (sc *Scheduler) crashLoopTrials(job *mirror.Job, now monotime.Micros) int {
	return sc.trackingOf(job.ID).failures.Trials(job.AssignedTasks, now, sc.config.Backoff)
}

// MayScaleOutForTrial reports whether a machine may be requested for a trial of a job in a crash loop.
func (sc *Scheduler) MayScaleOutForTrial(job *mirror.Job, now monotime.Micros) bool {
	return sc.trackingOf(job.ID).failures.MayScaleOutForTrial(job.AssignedTasks, now, sc.config.Backoff)
}

// FailingJobs lists the jobs that fail here and on how many machines, for the other controllers.
func (sc *Scheduler) FailingJobs() map[string]int {
	var failing map[string]int
	for _, id := range sortedmap.Keys(sc.trackingByJob) {
		if len(failing) >= maxReportedFailingJobs {
			break
		}
		failedMachines := sc.trackingByJob[id].failures.FailedMachines()
		job := sc.deps.Mirror.Jobs[id]
		if failedMachines == 0 || job == nil || !job.IsOpen() || job.DoneTasks > 0 {
			continue
		}
		if failing == nil {
			failing = map[string]int{}
		}
		failing[id] = failedMachines
	}
	return failing
}
