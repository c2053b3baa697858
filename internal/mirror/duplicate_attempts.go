package mirror

import (
	"fmt"

	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// RecordedAttempt is an attempt as a shard of the mirror records it.
type RecordedAttempt struct {
	storage.Attempt
	Shard   string // name of the shard
	Owner   string // controller that owns the shard
	Version uint64 // of the shard
}

// String returns the attempt number, the machine and the shard, for the log.
func (a RecordedAttempt) String() string {
	return fmt.Sprintf("%d@%s in %s of %s at revision %d", a.Number, a.Machine, a.Shard, a.Owner, a.Version)
}

// DuplicatedTasks returns the tasks with an attempt in the given shard and another one in another shard.
func (m *Mirror) DuplicatedTasks(shard *Shard) []TaskID {
	var tasks []TaskID
	for _, id := range sortedmap.Keys(shard.Record.Jobs) {
		job := m.Jobs[id]
		if job == nil {
			continue
		}
		for _, attempt := range shard.Record.Jobs[id].Attempts {
			if attempt.Task < len(job.TaskStates) && job.attempts(attempt.Task) > 1 {
				tasks = append(tasks, TaskID{id, attempt.Task})
			}
		}
	}
	return tasks
}

// IsDuplicated reports whether more than one shard records an attempt of a task.
func (m *Mirror) IsDuplicated(task TaskID) bool {
	job := m.Jobs[task.Job]
	return job != nil && task.Index < len(job.TaskStates) && job.attempts(task.Index) > 1
}

// AttemptsOf returns all recorded attempts of a task, in the order of the shards' names.
func (m *Mirror) AttemptsOf(task TaskID) []RecordedAttempt {
	var attempts []RecordedAttempt
	for _, name := range sortedmap.Keys(m.Shards) {
		shard := m.Shards[name]
		if attempt, ok := shard.Record.FindAttempt(task.Job, task.Index); ok {
			attempts = append(attempts, RecordedAttempt{attempt, name, shard.Record.Owner, shard.Version})
		}
	}
	return attempts
}
