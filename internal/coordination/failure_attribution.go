package coordination

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

// backoff bounds the pauses between trials of jobs in a crash loop.
func (sc *scheduler) backoff() scheduling.Backoff {
	return scheduling.Backoff{
		First: sc.c.settings.BackoffFirst.Micros(),
		Max:   sc.c.settings.BackoffMax.Micros(),
	}
}

// failuresOf is what this controller has seen of a job's failures, nil where it has noted nothing about the
// job.
func (sc *scheduler) failuresOf(id string) *scheduling.JobFailures {
	if tracking := sc.jobStates[id]; tracking != nil {
		return &tracking.failures
	}
	return nil
}

// attributeFailures tells whose fault a job's failures are. That some task of it is done stands in the shards
// for all controllers; on how many machines it has failed the others tell in their statuses.
func (sc *scheduler) attributeFailures(id string) scheduling.Attribution {
	job := sc.c.mirror.Jobs[id]
	if job == nil {
		if status, ok := sc.c.mirror.Results.Get(id); ok && status == storage.JobDone {
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
		evidence.SeenFailing, evidence.SinceLastFailure = true, sc.c.now()-failedAt
	}
	if attribution := scheduling.AttributeByProgress(evidence); attribution != scheduling.FaultUnknown {
		return attribution
	}
	return scheduling.AttributeByMachines(failures.FailedMachines() + sc.c.peerStatuses.FailedMachines(id))
}

// isCrashLooping tells whether an open job is placed for an occasional trial only.
func (sc *scheduler) isCrashLooping(job *mirror.Job) bool {
	return sc.attributeFailures(job.ID) == scheduling.JobAtFault && job.IsOpen()
}

// machineFault judges a machine by its failures since something last completed there.
func (sc *scheduler) machineFault(agent *agents.Agent) scheduling.MachineFault {
	return scheduling.AttributeToMachine(scheduling.MachineEvidence{
		FailuresByJob: agent.Failures().ByJob(),
		Slow:          agent.Failures().IsSlow(),
	}, sc.attributeFailures)
}

// recordFailure learns from a task that failed.
func (sc *scheduler) recordFailure(machine *mirror.Machine, job *mirror.Job) {
	sc.c.agents.Of(machine).Failures().RecordFailure(job.ID)
	failures := &sc.trackingOf(job.ID).failures
	failures.Record(machine.ID, sc.c.now())
	if sc.attributeFailures(job.ID) == scheduling.JobAtFault {
		failures.BackOff(sc.c.now(), sc.backoff())
	}
}

// clearFailuresOn takes back what a faulty machine's failures have said of jobs.
func (sc *scheduler) clearFailuresOn(machine *mirror.Machine) {
	for id := range sc.c.agents.Of(machine).Failures().ByJob() {
		if tracking := sc.jobStates[id]; tracking != nil {
			tracking.failures.Withdraw(machine.ID)
		}
	}
}

// crashLoopTrials tells how many tasks of a job in a crash loop may be placed now.
func (sc *scheduler) crashLoopTrials(job *mirror.Job, now monotime.Micros) int {
	return sc.trackingOf(job.ID).failures.Trials(job.AssignedTasks, now, sc.backoff())
}

// mayScaleOutForTrial tells whether a machine may be requested for a trial of a job in a crash loop.
func (sc *scheduler) mayScaleOutForTrial(job *mirror.Job, now monotime.Micros) bool {
	return sc.trackingOf(job.ID).failures.MayScaleOutForTrial(job.AssignedTasks, now, sc.backoff())
}

// failingJobs lists the jobs that fail here and on how many machines, for the other controllers.
func (sc *scheduler) failingJobs() map[string]int {
	var failing map[string]int
	for _, id := range sortedmap.Keys(sc.jobStates) {
		if len(failing) >= maxReportedFailingJobs {
			break
		}
		failedMachines := sc.jobStates[id].failures.FailedMachines()
		job := sc.c.mirror.Jobs[id]
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
