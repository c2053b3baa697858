package coordination

import (
	"pipitgap/internal/agents"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// A task that fails speaks against its machine or against its job. Going by the
// machine alone, a few jobs submitted with a mistake had a third of the machines of
// a day given back with all that ran there; going by the job alone, a machine on
// which everything fails would go on taking tasks. So both sides are asked: on which
// other machines the job has failed, whether anything of it ever completed, and
// whose tasks failed on the machine.

// Bounds of the judgement.
const (
	jobFaultMachines = 3 // machines that a job has failed on, with nothing completed
	// failures that a machine has had since something completed there
	machineFaultFailures   = 2
	healthyReplicaAfter    = 10 * monotime.Second // a service that has run for so long has no mistake
	maxReportedFailingJobs = 64                   // jobs that a hint tells of
)

// failureAttribution is what is known of a job whose tasks have failed.
type failureAttribution uint8

const (
	faultUnknown   failureAttribution = iota
	machineAtFault                    // something of it has completed: its failures are the machines'
	jobAtFault                        // its failures are its own, or say nothing any more
)

// attributeFailures tells what a job's failures are worth as evidence. That some task of it is
// done stands in the shards for all controllers; on how many machines it has failed
// the others tell in their hints.
func (sc *scheduler) attributeFailures(id string) failureAttribution {
	job := sc.c.mirror.Jobs[id]
	if job == nil {
		if status, ok := sc.c.mirror.Results.Get(id); ok && status == storage.JobDone {
			return machineAtFault
		}
		return jobAtFault // cancelled, or forgotten: no evidence
	}
	tracking := sc.jobStates[id]
	switch {
	case !job.IsOpen():
		return jobAtFault
	case job.DoneTasks > 0:
		return machineAtFault
	case tracking != nil && tracking.lastFailureAt != 0 && job.Record.Spec.Service && job.AssignedTasks > 0 && sc.c.now()-tracking.lastFailureAt > healthyReplicaAfter:
		return machineAtFault
	}
	n := 0
	if tracking != nil {
		n = tracking.failedMachines
	}
	n += sc.c.peerStatuses.FailedMachines(id)
	if n >= jobFaultMachines {
		return jobAtFault
	}
	return faultUnknown
}

// isCrashLooping tells whether an open job is held to an occasional try.
func (sc *scheduler) isCrashLooping(job *mirror.Job) bool {
	return sc.attributeFailures(job.ID) == jobAtFault && job.IsOpen()
}

// machineFault weighs a machine's failures since something last completed there. faulty:
// jobs that run elsewhere fail on it; doubtful: so many failed there, of jobs that
// nothing is known of yet, that it gets no more until it is.
func (sc *scheduler) machineFault(agent *agents.Agent) (faulty, doubtful bool) {
	if agent.Failures().IsSlow() {
		return true, true
	}
	against, open := 0, 0
	for id, n := range agent.Failures().ByJob() {
		switch sc.attributeFailures(id) {
		case machineAtFault:
			against += n
		case faultUnknown:
			open += n
		}
	}
	return against >= machineFaultFailures, against+open >= machineFaultFailures
}

// recordFailure learns from a task that failed.
func (sc *scheduler) recordFailure(machine *mirror.Machine, job *mirror.Job) {
	sc.c.agents.agentOf(machine).Failures().RecordFailure(job.ID)
	tracking := sc.trackingOf(job.ID)
	tracking.lastFailureAt = sc.c.now()
	if !tracking.excludedMachines[machine.ID] {
		tracking.excludedMachines[machine.ID] = true
		tracking.failedMachines++
	}
	if sc.attributeFailures(job.ID) == jobAtFault && sc.c.now() >= tracking.retryAt {
		tracking.backOff(sc.c.now(), sc.c.settings)
	}
}

// clearFailuresOn takes back what a faulty machine's failures have said of jobs.
func (sc *scheduler) clearFailuresOn(machine *mirror.Machine) {
	for id := range sc.c.agents.agentOf(machine).Failures().ByJob() {
		if tracking := sc.jobStates[id]; tracking != nil && tracking.excludedMachines[machine.ID] {
			delete(tracking.excludedMachines, machine.ID)
			tracking.failedMachines = max(0, tracking.failedMachines-1)
			tracking.retryAt, tracking.backoffDelay = 0, 0
		}
	}
}

// crashLoopTrials tells how many tasks of a job that fails everywhere may be placed now: one
// at a time, the next after a pause that grows.
func (sc *scheduler) crashLoopTrials(job *mirror.Job, now monotime.Micros) int {
	tracking := sc.trackingOf(job.ID)
	if tracking.backoffDelay == 0 { // learned from another controller
		tracking.backOff(now, sc.c.settings)
	}
	if job.AssignedTasks > 0 || now < tracking.retryAt {
		return 0
	}
	if tracking.backoffDelay >= sc.c.settings.BackoffMax.Micros() {
		clear(tracking.excludedMachines) // it has been everywhere
	}
	return 1
}

// mayScaleOutForTrial tells whether a machine may be rented for a try of a job that fails everywhere,
// if there is no room at all: once in the longest pause. It may be the machines' fault
// after all, and where nothing else keeps any it would wait for ever.
func (sc *scheduler) mayScaleOutForTrial(job *mirror.Job, now monotime.Micros) bool {
	at := sc.trackingOf(job.ID).trialDemandAt
	return job.AssignedTasks == 0 && (at == 0 || now-at >= sc.c.settings.BackoffMax.Micros())
}

// failingJobs lists the jobs that fail here, for the others.
func (sc *scheduler) failingJobs() map[string]int {
	var out map[string]int
	for _, id := range sortedmap.Keys(sc.jobStates) {
		n := sc.jobStates[id].failedMachines
		if job := sc.c.mirror.Jobs[id]; n == 0 || job == nil || !job.IsOpen() || job.DoneTasks > 0 ||
			len(out) >= maxReportedFailingJobs {
			continue
		}
		if out == nil {
			out = map[string]int{}
		}
		out[id] = n
	}
	return out
}
