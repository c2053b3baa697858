package mirror

import (
	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

// Job is an unfinished job in the mirror.
type Job struct {
	ID            string
	Record        storage.OpenJob
	Version       uint64 // of the open record
	TaskResources resources.Vector
	FinalState    storage.JobState // from its result, if it has one
	FinalRevision uint64           // version of the result
	TaskStates    []uint8          // of each task, 0: pending; see assignedUnit
	DoneTasks     int              // tasks that are completed
	AssignedTasks int              // tasks with an attempt on some machine
}

// A task's state counts the shards that hold an attempt of it, and those in which it is done. While a machine
// moves between shards both may hold it; the task must not become pending when one of them is removed.
const (
	assignedUnit = 1
	doneUnit     = 16
)

// countAttempt counts a shard's attempt of a task in (1) or out (-1).
func (j *Job) countAttempt(task, sign int) {
	wasAssigned := j.isAssigned(task)
	if sign > 0 {
		j.TaskStates[task] += assignedUnit
	} else {
		j.TaskStates[task] -= assignedUnit
	}
	if j.isAssigned(task) != wasAssigned {
		j.AssignedTasks += sign
	}
}

// countDone counts a shard in which a task is done in (1) or out (-1).
func (j *Job) countDone(task, sign int) {
	wasDone := j.TaskStates[task] >= doneUnit
	if sign > 0 {
		j.TaskStates[task] += doneUnit
	} else {
		j.TaskStates[task] -= doneUnit
	}
	if isDone := j.TaskStates[task] >= doneUnit; isDone != wasDone {
		j.DoneTasks += sign
	}
}

// isAssigned reports whether some shard holds an attempt of a task.
func (j *Job) isAssigned(task int) bool { return j.TaskStates[task]%doneUnit != 0 }

// IsOpen reports whether the job has no result yet.
func (j *Job) IsOpen() bool { return j.FinalState == "" }

// UnassignedTasks counts the tasks without an attempt.
func (j *Job) UnassignedTasks() int { return j.Record.Spec.Tasks - j.DoneTasks - j.AssignedTasks }

// IsComplete reports whether every task is done.
func (j *Job) IsComplete() bool { return j.DoneTasks == j.Record.Spec.Tasks }

// PendingInPartition counts the pending tasks that a partition is to place.
func (j *Job) PendingInPartition(partition string) int {
	n := 0
	for _, taskRange := range j.Record.TaskRanges {
		if taskRange.Partition != partition {
			continue
		}
		for i := taskRange.First; i < taskRange.End; i++ {
			if j.TaskStates[i] == 0 {
				n++
			}
		}
	}
	return n
}

// TaskResources are the resources of each task of a job.
func TaskResources(spec *storage.JobSpec) resources.Vector {
	return resources.New(spec.CPUs, spec.GPUs, spec.MemoryGB)
}
