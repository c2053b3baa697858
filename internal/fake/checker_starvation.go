package fake

import (
	"slices"

	"pipitgap/internal/protocol"
)

// FreeMachine is a machine with what is free on it.
type FreeMachine struct {
	Machine        *Machine
	CPUs, MemoryGB float64
}

// WatchWaiting looks for tasks that wait beside room that they may use, now and from now on. It is meant for
// times without faults.
func (k *Checker) WatchWaiting(freeMachines func() []FreeMachine) {
	free := freeMachines()
	for _, id := range k.Accepted() {
		k.checkStarvation(k.jobs[id], free)
	}
	k.Clock.After(starvationCheckInterval, func() { k.WatchWaiting(freeMachines) })
}

func (k *Checker) checkStarvation(job *observedJob, free []FreeMachine) {
	now := k.Clock.Now()
	for i := range job.spec.Tasks {
		task := taskID(job.id, i)
		if k.liveAttempts[job.id][task] != nil || k.completedTasks[task] || job.cancelSent ||
			!k.hasCapacity(job, free) {
			delete(job.starvedSince, i)
			continue
		}
		since, starved := job.starvedSince[i]
		if !starved {
			job.starvedSince[i] = now
		} else if now-since >= MaxTaskStarvation {
			k.violate(TaskStarved, "%s", task)
			job.starvedSince[i] = now
		}
	}
}

// hasCapacity tells whether a task of a job could start on one of the machines.
func (k *Checker) hasCapacity(job *observedJob, free []FreeMachine) bool {
	spec := &job.spec
	limit := k.Limits[spec.Team]
	if limit > 0 && k.usedCPUs[spec.Team]+spec.CPUs > limit+roundingTolerance {
		return false
	}
	tasksByZone := map[string]int{}
	for _, host := range k.liveAttempts[job.id] {
		tasksByZone[host.Zone]++
	}
	return slices.ContainsFunc(free, func(candidate FreeMachine) bool {
		return candidate.fits(spec) && offerAllowed(spec, candidate.Machine) &&
			zoneAllowed(spec, candidate.Machine.Zone, tasksByZone)
	})
}

// fits tells whether a task of a job fits into what is free on a machine.
func (f FreeMachine) fits(spec *protocol.Submission) bool {
	return f.CPUs+roundingTolerance >= spec.CPUs && f.MemoryGB+roundingTolerance >= spec.MemoryGB
}

// zoneAllowed tells whether a job may have one more task in a zone beside the tasks that it has.
func zoneAllowed(spec *protocol.Submission, zone string, tasksByZone map[string]int) bool {
	if spec.OneZone && len(tasksByZone) > 0 && tasksByZone[zone] == 0 {
		return false
	}
	return !spec.Spread || tasksByZone[zone]+1 <= maxTasksPerZone(spec)
}
