package fake

import (
	"slices"

	"pipitgap/internal/protocol"
)

// FreeMachine is a machine with its free resources.
type FreeMachine struct {
	Machine        *Machine
	CPUs, MemoryGB float64
}

// WatchStarvation starts to check periodically for starved tasks: those that wait for longer than
// MaxTaskStarvation although a machine has capacity for them. Call it only when no faults are active.
func (k *Checker) WatchStarvation(freeMachines func() []FreeMachine) {
	free := freeMachines()
	for _, id := range k.Accepted() {
		k.checkStarvation(k.jobs[id], free)
	}
	k.Clock.After(starvationCheckInterval, func() { k.WatchStarvation(freeMachines) })
}

// checkStarvation tracks since when the tasks of a job have been starved, and records a violation for each
// one that has been starved too long.
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
			k.violate(TaskStarved, "%s waits too long although a machine has capacity for it", task)
			job.starvedSince[i] = now
		}
	}
}

// hasCapacity reports whether another task of a job can start on one of the machines within its team's limit
// and its placement constraints.
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

// fits reports whether a task of a job fits into the free resources of a machine.
func (f FreeMachine) fits(spec *protocol.Submission) bool {
	return f.CPUs+roundingTolerance >= spec.CPUs && f.MemoryGB+roundingTolerance >= spec.MemoryGB
}

// zoneAllowed reports whether the zone constraints of a job allow another task in a zone, given its live
// tasks by zone.
func zoneAllowed(spec *protocol.Submission, zone string, tasksByZone map[string]int) bool {
	if spec.OneZone && len(tasksByZone) > 0 && tasksByZone[zone] == 0 {
		return false
	}
	return !spec.Spread || tasksByZone[zone]+1 <= maxTasksPerZone(spec)
}
