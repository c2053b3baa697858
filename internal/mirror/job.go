package mirror

import (
	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

// Job is a job in the mirror that has an open record. It may have a result already, see IsOpen.
type Job struct {
	ID            string
	Record        storage.OpenJob
	Version       uint64 // of the open record
	TaskResources resources.Vector
	FinalState    storage.JobState // from the job's result; "" without one
	FinalRevision uint64           // version of the result record; 0: not known
	TaskStates    []uint8          // by task index; 0: pending; see assignedUnit and doneUnit
	DoneTasks     int              // number of completed tasks
	AssignedTasks int              // number of tasks with an attempt on some machine
}

// A task's state is a pair of counters: the number of shards that hold an attempt of the task, in units of
// assignedUnit, and the number of shards in which the task is done, in units of doneUnit. While a machine
// moves between shards, both shards may hold it. The counters keep the task from becoming pending when the
// machine is removed from one of them.
const (
	assignedUnit = 1
	doneUnit     = 16
)

// countAttempt adds (sign 1) or subtracts (sign -1) one shard's attempt of a task.
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

// countDone adds (sign 1) or subtracts (sign -1) one shard in which a task is done.
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

// attempts returns the number of shards that hold an attempt of the task.
func (j *Job) attempts(task int) int { return int(j.TaskStates[task] % doneUnit) }

// isAssigned reports whether at least one shard holds an attempt of the task.
func (j *Job) isAssigned(task int) bool { return j.attempts(task) > 0 }

// IsOpen reports whether the job has no result yet.
func (j *Job) IsOpen() bool { return j.FinalState == "" }

// UnassignedTasks returns the number of tasks that are not done and have no attempt.
func (j *Job) UnassignedTasks() int { return j.Record.Spec.Tasks - j.DoneTasks - j.AssignedTasks }

// IsComplete reports whether every task is done.
func (j *Job) IsComplete() bool { return j.DoneTasks == j.Record.Spec.Tasks }

// PendingInPartition returns the number of pending tasks in the task ranges that a partition must place.
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

// TaskResources returns the resources that each task of a job requires.
func TaskResources(spec *storage.JobSpec) resources.Vector {
	return resources.New(spec.CPUs, spec.GPUs, spec.MemoryGB)
}
