package fake

import (
	"fmt"
	"slices"
	"sort"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// TaskStarted records that a task has started on a machine and checks the invariants on starts.
func (k *Checker) TaskStarted(task string, machine *Machine, team string, cpus float64) {
	id := jobOf(task)
	if host := k.liveAttempts[id][task]; host != nil {
		k.violate(RanTwice, "%s starts on %s while an attempt is live on %s", task, machine.ID, host.ID)
	}
	if k.liveAttempts[id] == nil {
		k.liveAttempts[id] = map[string]*Machine{}
	}
	k.liveAttempts[id][task] = machine
	k.usedCPUs[team] += cpus
	if limit := k.Limits[team]; limit > 0 && k.usedCPUs[team] > limit+roundingTolerance {
		k.violate(QuotaExceeded, "team %s uses %v CPUs, more than its limit", team, k.usedCPUs[team])
	}
	job := k.job(id)
	k.checkPlacement(job, task, machine)
	switch {
	case job.cancelledAt == 0:
	case k.Clock.Now() > job.cancelledAt+k.CancelWithin:
		k.violate(RanCancelled, "%s starts too late after the cancellation of its job", task)
	default:
		k.LateStarts++
	}
}

// TaskEnded records that an attempt of a task no longer runs on a machine.
func (k *Checker) TaskEnded(task string, machine *Machine, team string, cpus float64) {
	attempts := k.liveAttempts[jobOf(task)]
	if attempts[task] != machine {
		return
	}
	delete(attempts, task)
	k.usedCPUs[team] -= cpus
}

// TaskCompleted records that a task has completed successfully.
func (k *Checker) TaskCompleted(task string) {
	k.completedTasks[task] = true
	k.completions[task]++
	k.lastCompletion[jobOf(task)] = k.Clock.Now()
}

// IsJobCompleted reports whether all tasks of a job have completed and none is running again, and when the
// last completion was. A task may run again because its result is lost if its machine is lost.
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

// MaxCompletions returns the maximum number of completions of a single task of a job.
func (k *Checker) MaxCompletions(job string) int {
	largest := 0
	for i := range k.job(job).spec.Tasks {
		largest = max(largest, k.completions[taskID(job, i)])
	}
	return largest
}

// IsTaskCompleted reports whether a task has completed at least once.
func (k *Checker) IsTaskCompleted(task string) bool { return k.completedTasks[task] }

// LiveAttempts returns the number of a job's tasks that are live: they run or save their state on a machine.
func (k *Checker) LiveAttempts(job string) int { return len(k.liveAttempts[job]) }

func (k *Checker) liveTasks(job string) []string {
	var out []string
	for task := range k.liveAttempts[job] {
		out = append(out, task)
	}
	sort.Strings(out)
	return out
}

// checkPlacement checks the placement constraints of a job when a task starts: the machine type, zone and
// kind that the job allows, and the zones of the job's other live tasks.
func (k *Checker) checkPlacement(job *observedJob, task string, machine *Machine) {
	spec := &job.spec
	if !job.submitted {
		return
	}
	if !offerAllowed(spec, machine) {
		k.violate(PlacementConstraintViolated, "%s: not allowed on machine type %s in zone %s, spot %v",
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
		k.violate(PlacementConstraintViolated, "%s starts in zone %s, other tasks of the job run in another zone",
			task, machine.Zone)
	}
	if spec.Spread && sameZone+1 > maxTasksPerZone(spec) {
		k.violate(PlacementConstraintViolated, "%s: %d of %d tasks in zone %s, more than a spread job may have there",
			task, sameZone+1, spec.Tasks, machine.Zone)
	}
}

// maxTasksPerZone returns how many tasks of a spread job may be in one zone: half of them, rounded up.
func maxTasksPerZone(spec *protocol.Submission) int { return (spec.Tasks + 1) / 2 }

// offerAllowed reports whether a job allows a machine's type, zone and kind (spot or on demand).
func offerAllowed(spec *protocol.Submission, machine *Machine) bool {
	typeAllowed := len(spec.Types) == 0 || slices.Contains(spec.Types, machine.Type)
	return typeAllowed && (spec.Zone == "" || spec.Zone == machine.Zone) && (spec.Spot || !machine.Spot)
}

// taskID returns the ID of a task as the protocol defines it.
func taskID(job string, index int) string { return fmt.Sprintf("%s/%d", job, index) }
