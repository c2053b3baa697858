package shards

import (
	"sort"
	"strings"

	"pipitgap/internal/mirror"
	"pipitgap/internal/protocol"
	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

// Update is the next version of a shard that one scheduling pass prepares. It contains the released and
// assigned attempts, and the compares and writes of other records in the same commit.
type Update struct {
	name     string
	previous *mirror.Shard // nil for a new shard
	next     *storage.Shard
	changed  bool // the next version must be written

	takesOver bool // the update takes machines from shards of other controllers

	maxBytes     int // upper bound of the encoded size, including all assignments so far
	plannedBytes int // estimated size with all machines filled with tasks

	// fence is the condition that this incarnation's member record is unchanged. An update with the zero value
	// must not assign tasks: the state service would reject its commit.
	fence        protocol.Compare
	txn          protocol.Transaction // compares and writes of other records
	comparedKeys map[string]bool      // keys that txn already compares

	freedByMachine    map[string]resources.Vector // by machine: resources that this update releases
	freedByTeam       map[string]resources.Vector // by team: released and not yet reused
	assignedByMachine map[string]resources.Vector // by machine: resources that this update assigns
	assignedByTeam    map[string]resources.Vector // by team: resources that this update assigns

	assignedTasks     map[mirror.TaskID]bool
	assignedJobs      map[string]bool
	releasedTasks     map[mirror.TaskID]bool
	completedTaskJobs map[string]bool // jobs with a task that this update marks as completed
	admittedMachines  map[string]bool // machines that the update claims for their claim requests
	machinesToSync    map[string]bool // machines whose desired commands the update changes

	losses Losses // nil for a new shard, which releases nothing
}

// Bytes that an assignment may add to the encoded shard, in addition to the task number.
const (
	jobEntryOverheadBytes  = 4  // of a job's entry, in addition to the job identifier
	taskRangeOverheadBytes = 12 // of a new range of tasks
)

// NewUpdate returns an update of a shard from the previous version to next. previous is nil for a new shard.
// Assignments and claims of the update are conditional on fence.
func NewUpdate(name string, previous *mirror.Shard, next *storage.Shard, fence protocol.Compare) *Update {
	return &Update{
		name:              name,
		previous:          previous,
		next:              next,
		fence:             fence,
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

// previousVersion returns the shard version that the commit is conditional on; 0 for a new shard.
func (u *Update) previousVersion() uint64 {
	if u.previous == nil {
		return 0
	}
	return u.previous.Version
}

// Changed reports whether the next version must be written.
func (u *Update) Changed() bool { return u.changed }

// TakesOverMachines reports whether the update takes machines from shards of other controllers. Its commit then
// also writes these shards and the quota shares of all controllers involved.
func (u *Update) TakesOverMachines() bool { return u.takesOver }

// Machines returns the machines of the shard's next version by identifier. The caller must not modify them.
func (u *Update) Machines() map[string]*storage.ShardMachine { return u.next.Machines }

// MaxBytes returns an upper bound of the encoded size of the shard's next version.
func (u *Update) MaxBytes() int { return u.maxBytes }

// ReserveBytes adds bytes to the upper bound of the encoded size.
func (u *Update) ReserveBytes(bytes int) { u.maxBytes += bytes }

// FreeResourcesAfter returns the free resources of a machine after the update, given those before the update.
func (u *Update) FreeResourcesAfter(machine string, free resources.Vector) resources.Vector {
	return free.AddScaled(u.freedByMachine[machine], 1).AddScaled(u.assignedByMachine[machine], -1)
}

// FreedQuota returns the part of a team's quota that the update releases and that UseFreedQuota hasn't taken.
func (u *Update) FreedQuota(team string) resources.Vector { return u.freedByTeam[team] }

// UseFreedQuota deducts resources from the quota of a team that the update releases. It deducts nothing and
// returns false if the released quota is too small.
func (u *Update) UseFreedQuota(team string, need resources.Vector) bool {
	freed := u.freedByTeam[team]
	if !need.FitsIn(freed) {
		return false
	}
	u.freedByTeam[team] = freed.AddScaled(need, -1)
	return true
}

// AssignsTask reports whether Assign was called for a task.
func (u *Update) AssignsTask(task mirror.TaskID) bool { return u.assignedTasks[task] }

// AssignsJob reports whether BeginJob was called for a job.
func (u *Update) AssignsJob(job string) bool { return u.assignedJobs[job] }

// Compares returns the number of other records that the update's commit compares.
func (u *Update) Compares() int { return len(u.txn.If) }

// Writes returns the number of operations of the update's commit, including that on the shard itself.
func (u *Update) Writes() int { return 1 + len(u.txn.Then) }

// OtherBytes returns the size of the records that the update's commit writes besides the shard itself, as the
// state service counts it.
func (u *Update) OtherBytes() int {
	bytes := 0
	for _, operation := range u.txn.Then {
		bytes += storage.StoredSize(operation.Value)
	}
	return bytes
}

// AddCompare makes the commit conditional on the version of another record. It ignores a key that the commit
// already compares.
func (u *Update) AddCompare(key string, version uint64) {
	if !u.comparedKeys[key] {
		u.comparedKeys[key] = true
		u.txn.If = append(u.txn.If, protocol.Compare{Key: key, Version: version})
	}
}

// requireIncarnation makes the commit conditional on this incarnation's member record. A later incarnation does
// not know which commits of this one are in doubt, so they must fail once it has written its own record.
func (u *Update) requireIncarnation() { u.AddCompare(u.fence.Key, u.fence.Version) }

// BeginJob prepares the assignment of a job's tasks. It makes the commit conditional on the version of the
// job's record and on the absence of a result record, so that a closed job gets no new attempts, and on the
// member record, so that an assignment of an ended process cannot follow one of the next process.
//
// For a job with a zone rule, the commit also writes the job's record again, which changes its version. Where a
// task of such a job may run depends on all other tasks of the job, in any shard, so no two assignments that are
// decided on the same version of the record may both succeed.
func (u *Update) BeginJob(job *mirror.Job) {
	if u.assignedJobs[job.ID] {
		return
	}
	u.assignedJobs[job.ID] = true
	u.maxBytes += len(job.ID) + jobEntryOverheadBytes
	u.requireIncarnation()
	u.AddCompare(storage.OpenJobKey(job.ID), job.Version)
	u.AddCompare(storage.JobResultKey(job.ID), 0)
	if job.Record.Spec.HasZoneRule() {
		value := protocol.MustMarshal(&job.Record)
		u.txn.Then = append(u.txn.Then, protocol.Op{Put: storage.OpenJobKey(job.ID), Value: value})
	}
}

// Assign assigns a task of a job to a machine of the shard. joinsRange means that the preceding attempt in the
// job's entry belongs to the preceding task on the same machine. The encoding then extends that range of tasks
// by one number instead of adding a new range.
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
	mirror.AddUsage(u.assignedByTeam, job.Record.Spec.Team, job.TaskResources, 1)
	u.machinesToSync[attempt.Machine] = true
}

// release removes an ended attempt from a machine. job is nil if the job's record no longer exists; its
// resources are then unknown and not counted as released.
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

// describeTasks formats tasks for the log, each followed by @ and its machine in the next version, if any.
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
