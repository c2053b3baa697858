package shards

import (
	"sort"
	"strings"

	"pipitgap/internal/mirror"
	"pipitgap/internal/protocol"
	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

// Update is the next version of a shard, as one pass prepares it: what it releases and assigns, and what
// else its commit compares and writes.
type Update struct {
	name     string
	previous *mirror.Shard // nil: a new shard
	next     *storage.Shard
	changed  bool // there is something to write

	maxBytes     int // upper bound of the encoded size, with all that was assigned
	plannedBytes int // bytes that its machines need once they are full

	txn          protocol.Transaction // compares and writes of other records in the same commit
	comparedKeys map[string]bool      // keys that txn compares already

	freedByMachine    map[string]resources.Vector // by machine: released by this update
	freedByTeam       map[string]resources.Vector // by team: released and not assigned again
	assignedByMachine map[string]resources.Vector
	assignedByTeam    map[string]resources.Vector

	assignedTasks     map[mirror.TaskID]bool
	assignedJobs      map[string]bool
	releasedTasks     map[mirror.TaskID]bool
	completedTaskJobs map[string]bool // jobs with tasks completed
	admittedMachines  map[string]bool // machines that the update claims on their request
	machinesToSync    map[string]bool // machines whose desired commands the update changes

	losses Losses // nil if the update releases nothing: that of a new shard
}

// Bytes that an assignment may add to the encoded shard beyond the task's own number.
const (
	jobEntryOverheadBytes  = 4  // of a job's entry, beside its identifier
	taskRangeOverheadBytes = 12 // of a range of tasks that begins
)

// NewUpdate prepares an update of a shard; previous is nil for a new one.
func NewUpdate(name string, previous *mirror.Shard, next *storage.Shard) *Update {
	return &Update{
		name:              name,
		previous:          previous,
		next:              next,
		comparedKeys:      map[string]bool{},
		freedByMachine:    map[string]resources.Vector{},
		freedByTeam:       map[string]resources.Vector{},
		assignedByMachine: map[string]resources.Vector{},
		assignedByTeam:    map[string]resources.Vector{},
		assignedTasks:     map[mirror.TaskID]bool{},
		assignedJobs:      map[string]bool{},
		completedTaskJobs: map[string]bool{},
		releasedTasks:     map[mirror.TaskID]bool{},
		admittedMachines:  map[string]bool{},
		machinesToSync:    map[string]bool{},
	}
}

// previousVersion is the version that the update is conditional on; 0 for a new shard.
func (u *Update) previousVersion() uint64 {
	if u.previous == nil {
		return 0
	}
	return u.previous.Version
}

// Changed reports whether the update has anything to write.
func (u *Update) Changed() bool { return u.changed }

// ChangesOtherRecords reports whether the update's commit writes other records beside the shard: those of
// shards that machines are taken over from, with the quota shares that follow.
func (u *Update) ChangesOtherRecords() bool { return len(u.txn.Then) > 0 }

// Machines are the machines of the shard's next version, by identifier. They must not be changed.
func (u *Update) Machines() map[string]*storage.ShardMachine { return u.next.Machines }

// MaxBytes is an upper bound of the encoded size of the shard's next version.
func (u *Update) MaxBytes() int { return u.maxBytes }

// ReserveBytes raises the bound of the encoded size.
func (u *Update) ReserveBytes(bytes int) { u.maxBytes += bytes }

// FreeAfter is what is free of a machine after the update, from what is free of it before.
func (u *Update) FreeAfter(machine string, free resources.Vector) resources.Vector {
	return free.AddScaled(u.freedByMachine[machine], 1).AddScaled(u.assignedByMachine[machine], -1)
}

// FreedQuota is what the update releases of a team's quota and doesn't assign again.
func (u *Update) FreedQuota(team string) resources.Vector { return u.freedByTeam[team] }

// UseFreedQuota takes resources from what the update releases of a team's quota; false if that is too little.
func (u *Update) UseFreedQuota(team string, need resources.Vector) bool {
	freed := u.freedByTeam[team]
	if !need.FitsIn(freed) {
		return false
	}
	u.freedByTeam[team] = freed.AddScaled(need, -1)
	return true
}

// AssignsTask reports whether the update assigns a task.
func (u *Update) AssignsTask(task mirror.TaskID) bool { return u.assignedTasks[task] }

// AssignsJob reports whether the update assigns tasks of a job.
func (u *Update) AssignsJob(job string) bool { return u.assignedJobs[job] }

// Compares is how many other records the update's commit compares.
func (u *Update) Compares() int { return len(u.txn.If) }

// AddCompare has the commit compare the version of another record too.
func (u *Update) AddCompare(key string, version uint64) {
	if !u.comparedKeys[key] {
		u.comparedKeys[key] = true
		u.txn.If = append(u.txn.If, protocol.Compare{Key: key, Version: version})
	}
}

// BeginJob prepares the assignment of a job's tasks: they are conditional on its record and on its having no
// result.
func (u *Update) BeginJob(job *mirror.Job) {
	if u.assignedJobs[job.ID] {
		return
	}
	u.assignedJobs[job.ID] = true
	u.maxBytes += len(job.ID) + jobEntryOverheadBytes
	u.AddCompare(storage.OpenJobKey(job.ID), job.Version)
	u.AddCompare(storage.JobResultKey(job.ID), 0)
}

// Assign assigns a task of a job to a machine of the shard. With joinsRange the attempt before it in the
// job's entry is of the task before, on the same machine: the encoded range grows by one number only.
func (u *Update) Assign(job *mirror.Job, attempt storage.Attempt, joinsRange bool) {
	if joinsRange {
		u.maxBytes += storage.MaxTaskBytes(attempt.Task) + 1
	} else {
		u.maxBytes += 2*storage.MaxTaskBytes(attempt.Task) + taskRangeOverheadBytes
	}
	if attempt.Starting {
		u.maxBytes += storage.MaxStartingBytes
	}
	u.changed = true
	u.next.Assign(job.ID, attempt)
	u.assignedTasks[mirror.TaskID{Job: job.ID, Index: attempt.Task}] = true
	assigned := u.assignedByMachine[attempt.Machine]
	u.assignedByMachine[attempt.Machine] = assigned.AddScaled(job.TaskResources, 1)
	mirror.AddUse(u.assignedByTeam, job.Record.Spec.Team, job.TaskResources, 1)
	u.machinesToSync[attempt.Machine] = true
}

// release takes an attempt that has ended off a machine; job is nil if its record is gone.
func (u *Update) release(machine string, task mirror.TaskID, completed bool, job *mirror.Job) {
	u.changed = true
	u.releasedTasks[task] = true
	u.next.Release(task.Job, task.Index, completed)
	if completed {
		u.completedTaskJobs[task.Job] = true
	}
	if job == nil {
		return
	}
	team := job.Record.Spec.Team
	u.freedByMachine[machine] = u.freedByMachine[machine].AddScaled(job.TaskResources, 1)
	u.freedByTeam[team] = u.freedByTeam[team].AddScaled(job.TaskResources, 1)
}

// describeTasks names tasks for the log, with the machines that they are assigned to.
func (u *Update) describeTasks(tasks map[mirror.TaskID]bool) string {
	var descriptions []string
	for task := range tasks {
		description := task.String()
		if entry := u.next.Jobs[task.Job]; entry != nil {
			for _, attempt := range entry.Attempts {
				if attempt.Task == task.Index {
					description += "@" + attempt.Machine
				}
			}
		}
		descriptions = append(descriptions, description)
	}
	sort.Strings(descriptions)
	return strings.Join(descriptions, " ")
}
