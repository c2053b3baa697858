package fake

import (
	"fmt"
	"slices"
	"sort"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// TaskStarted notes that a task has started on a machine.
func (k *Checker) TaskStarted(task string, machine *Machine, team string, cpus float64) {
	id := jobOf(task)
	if host := k.liveAttempts[id][task]; host != nil {
		k.violate(RanTwice, "%s starts on %s while on %s", task, machine.ID, host.ID)
	}
	if k.liveAttempts[id] == nil {
		k.liveAttempts[id] = map[string]*Machine{}
	}
	k.liveAttempts[id][task] = machine
	k.usedCPUs[team] += cpus
	if limit := k.Limits[team]; limit > 0 && k.usedCPUs[team] > limit+roundingTolerance {
		k.violate(QuotaExceeded, "team %s uses %v", team, k.usedCPUs[team])
	}
	job := k.job(id)
	k.checkPlacement(job, task, machine)
	switch {
	case job.cancelledAt == 0:
	case k.Clock.Now() > job.cancelledAt+k.CancelWithin:
		k.violate(RanCancelled, "%s starts", task)
	default:
		k.LateStarts++
	}
}

// TaskEnded notes that a task has left a machine.
func (k *Checker) TaskEnded(task string, machine *Machine, team string, cpus float64) {
	attempts := k.liveAttempts[jobOf(task)]
	if attempts[task] != machine {
		return
	}
	delete(attempts, task)
	k.usedCPUs[team] -= cpus
}

// TaskCompleted notes that a task has completed.
func (k *Checker) TaskCompleted(task string) {
	k.completedTasks[task] = true
	k.completions[task]++
	k.lastCompletion[jobOf(task)] = k.Clock.Now()
}

// IsJobCompleted tells whether all tasks of a job have completed and none runs again, and when the last one
// completed. A result is lost with its machine, so a task may have to run again.
func (k *Checker) IsJobCompleted(job string) (at monotime.Micros, complete bool) {
	j := k.jobs[job]
	if j == nil || !j.submitted || len(k.liveAttempts[job]) > 0 {
		return 0, false
	}
	for i := range j.spec.Tasks {
		if !k.completedTasks[taskID(job, i)] {
			return 0, false
		}
	}
	return k.lastCompletion[job], true
}

// MaxCompletions is the largest number of completions among the tasks of a job.
func (k *Checker) MaxCompletions(job string) int {
	largest := 0
	for i := range k.job(job).spec.Tasks {
		largest = max(largest, k.completions[taskID(job, i)])
	}
	return largest
}

// IsTaskCompleted tells whether a task has completed.
func (k *Checker) IsTaskCompleted(task string) bool { return k.completedTasks[task] }

// LiveAttempts counts the attempts of a job's tasks that are on machines.
func (k *Checker) LiveAttempts(job string) int { return len(k.liveAttempts[job]) }

func (k *Checker) liveTasks(job string) []string {
	var out []string
	for task := range k.liveAttempts[job] {
		out = append(out, task)
	}
	sort.Strings(out)
	return out
}

// checkPlacement checks where a task starts: against what its job allows, and against where the job's other
// tasks are.
func (k *Checker) checkPlacement(job *observedJob, task string, machine *Machine) {
	spec := &job.spec
	if !job.submitted {
		return
	}
	if !offerAllowed(spec, machine) {
		k.violate(PlacementConstraintViolated, "%s starts on %s in %s, spot %v",
			task, machine.Type, machine.Zone, machine.Spot)
	}
	sameZone, otherZones := 0, 0
	for other, host := range k.liveAttempts[job.id] {
		switch {
		case other == task:
		case host.Zone == machine.Zone:
			sameZone++
		default:
			otherZones++
		}
	}
	if spec.OneZone && otherZones > 0 {
		k.violate(PlacementConstraintViolated, "%s starts in zone %s beside tasks in another", task, machine.Zone)
	}
	if spec.Spread && sameZone+1 > maxTasksPerZone(spec) {
		k.violate(PlacementConstraintViolated, "%s is the %dth of %d in zone %s",
			task, sameZone+1, spec.Tasks, machine.Zone)
	}
}

// maxTasksPerZone is how many tasks of a spread job may be in one zone.
func maxTasksPerZone(spec *protocol.Submission) int { return (spec.Tasks + 1) / 2 }

// offerAllowed tells whether a job's submission allows a machine's type, zone and kind, spot or on demand.
func offerAllowed(spec *protocol.Submission, machine *Machine) bool {
	typeAllowed := len(spec.Types) == 0 || slices.Contains(spec.Types, machine.Type)
	return typeAllowed && (spec.Zone == "" || spec.Zone == machine.Zone) && (spec.Spot || !machine.Spot)
}

// taskID names a task of a job as the protocol does.
func taskID(job string, index int) string { return fmt.Sprintf("%s/%d", job, index) }
