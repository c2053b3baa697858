package placement

import (
	"pipitgap/internal/agents"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/scheduling"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// maxReportedFailingJobs is the maximum number of failing jobs in a status message to the other controllers.
const maxReportedFailingJobs = 64

// failuresOf returns the failures of a job that this controller has seen, or nil if it tracks nothing about
// the job.
func (sc *Scheduler) failuresOf(id string) *scheduling.JobFailures {
	if tracking := sc.trackingByJob[id]; tracking != nil {
		return &tracking.failures
	}
	return nil
}

// AttributeFailures decides whether a job or the machines are at fault for the job's failures. It considers
// whether any task of the job has completed, which the shards show to all controllers, and on how many
// machines the job has failed, which the other controllers report in their statuses.
func (sc *Scheduler) AttributeFailures(id string) scheduling.Attribution {
	job := sc.deps.Mirror.Jobs[id]
	if job == nil {
		if result, ok := sc.deps.Mirror.Results.Get(id); ok && result.State == storage.JobDone {
			return scheduling.MachineAtFault
		}
		return scheduling.JobAtFault // cancelled, or no longer recorded: no evidence against a machine
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

// IsCrashLooping reports whether a job is open and at fault for its failures. Such a job is placed only for
// an occasional trial.
func (sc *Scheduler) IsCrashLooping(job *mirror.Job) bool {
	return sc.AttributeFailures(job.ID) == scheduling.JobAtFault && job.IsOpen()
}

// MachineFault decides whether a machine is faulty, from its failures since a task last completed there and
// from its speed.
func (sc *Scheduler) MachineFault(agent *agents.Agent) scheduling.MachineFault {
	return scheduling.AttributeToMachine(scheduling.MachineEvidence{
		FailuresByJob: agent.Failures().ByJob(),
		Slow:          agent.Failures().IsSlow(),
	}, sc.AttributeFailures)
}

// recordFailure records a failed task for its machine and its job. If the job is at fault, its next trial is
// delayed with exponential backoff.
func (sc *Scheduler) recordFailure(machine *mirror.Machine, job *mirror.Job) {
	sc.deps.Agents.Of(machine).Failures().RecordFailure(job.ID)
	failures := &sc.trackingOf(job.ID).failures
	failures.Record(machine.ID, sc.deps.Environment.Now())
	if sc.AttributeFailures(job.ID) == scheduling.JobAtFault {
		failures.BackOff(sc.deps.Environment.Now(), sc.config.Backoff)
	}
}

// WithdrawFailuresOn withdraws the failures on a faulty machine from the failures of the jobs that failed there.
func (sc *Scheduler) WithdrawFailuresOn(machine *mirror.Machine) {
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

// FailingJobs returns the jobs that fail on this controller's machines, with the number of these machines,
// for the status to the other controllers.
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
