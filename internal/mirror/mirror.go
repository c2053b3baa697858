// Package mirror holds a local replica of the records in the state service, with the sums that decisions
// need: which tasks are assigned and done, what each machine and team uses. A Mirror is written by one
// goroutine, which applies the changes of a watch in order and its own commits ahead of the watch; versions
// keep each record from going back.
package mirror

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"

	"pipitgap/internal/protocol"
	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

// TaskID names a task.
type TaskID struct {
	Job   string
	Index int
}

// String gives the form in which workers are told a task: the job, a slash and the index.
func (t TaskID) String() string { return t.Job + "/" + strconv.Itoa(t.Index) }

// ParseTaskID reads the form that String gives; ok is false for anything else.
func ParseTaskID(s string) (TaskID, bool) {
	job, index, ok := strings.Cut(s, "/")
	if !ok {
		return TaskID{}, false
	}
	i, err := strconv.Atoi(index)
	if err != nil || i < 0 {
		return TaskID{}, false
	}
	return TaskID{job, i}, true
}

// TaskResources is what each task of a job takes.
func TaskResources(spec *storage.JobSpec) resources.Vector {
	return resources.New(spec.CPUs, spec.GPUs, spec.MemoryGB)
}

// Job is an unfinished job in the mirror.
type Job struct {
	ID            string
	Record        storage.OpenJob
	Version       uint64
	TaskResources resources.Vector
	FinalStatus   storage.JobState // the answer, if it has one
	FinalRevision uint64           // its version
	TaskStates    []uint8          // of each task, 0: pending; see assignedUnit
	DoneTasks     int
	AssignedTasks int // tasks with an attempt on some machine
}

// A task's state counts the shards that hold it and those that have it done. More
// than one of either would be a mistake, but one that must not start a task twice.
const (
	assignedUnit = 1
	doneUnit     = 16
)

// IsOpen tells whether the job has no final answer yet.
func (j *Job) IsOpen() bool { return j.FinalStatus == "" }

// UnassignedTasks counts the tasks without an attempt.
func (j *Job) UnassignedTasks() int { return j.Record.Spec.Tasks - j.DoneTasks - j.AssignedTasks }

// IsComplete tells whether every task is done.
func (j *Job) IsComplete() bool { return j.DoneTasks == j.Record.Spec.Tasks }

// PendingInPartition counts the pending tasks that a partition is to place.
func (j *Job) PendingInPartition(partition string) int {
	n := 0
	for _, taskRange := range j.Record.TaskRanges {
		if taskRange.Partition == partition {
			for i := taskRange.First; i < taskRange.End; i++ {
				if j.TaskStates[i] == 0 {
					n++
				}
			}
		}
	}
	return n
}

// Shard is a shard in the mirror.
type Shard struct {
	Name      string
	Record    *storage.Shard
	Version   uint64
	UseByTeam map[string]resources.Vector // by team, what its attempts take
}

// Machine is a claimed machine in the mirror, with what its tasks take.
type Machine struct {
	ID           string
	Shard        *Shard
	Record       *storage.ShardMachine // nil: only its attempts are known still
	Used         resources.Vector
	Attempts     map[TaskID]uint64 // attempts that the store holds here
	CachedImages map[string]bool   // images that tasks have brought here, as far as we saw
}

// Owner is the controller that holds the machine's shard.
func (m *Machine) Owner() string { return m.Shard.Record.Owner }

// Claim is the number under which the machine is claimed; fencing tokens begin with it.
func (m *Machine) Claim() uint64 { return m.Shard.Record.ClaimOf(m.Record) }

// Mirror is the mirror of the store with the sums that decisions need. Changes
// reach it by the watch, in order, and by the core's own commits, which may be
// ahead of the watch; versions keep each key from going back.
type Mirror struct {
	WatchedRevision   uint64 // the watch is complete up to here
	NewestRevision    uint64 // the newest revision heard of in any way
	Jobs              map[string]*Job
	Shards            map[string]*Shard
	Machines          map[string]*Machine
	UseByTeam         map[string]resources.Vector
	Partitions        map[string]*PartitionEntry
	ScaleOuts         map[string]*ScaleOutEntry
	ScaleOutOfMachine map[string]string // machine: the request that it came with
	ScaleIns          map[string]*ScaleInEntry
	ScaleInOfMachine  map[string]string // machine: the removal that names it
	MachineTypes      map[string]MachineTypeEntry
	Members           map[string]MemberEntry
	Leader            storage.Leader
	LeaderVersion     uint64
	Drains            map[string]DrainEntry
	PermitsByTeam     map[string]PermitsEntry // by team
	ownDeletions      map[string]uint64       // own deletions ahead of the watch
	Results           *ResultCache
	OnChange          func(kind, name string)
	OnMachineReleased func(id string) // called when a machine no longer stands in a shard

	generation int // how often it was replaced
}

// MaxOpenJobs is how many unfinished jobs a mirror is to hold; users' submissions beyond are refused.
const MaxOpenJobs = 5000

// rememberedResults is how many results of ended jobs a mirror keeps; older ones are read from the state service.
const rememberedResults = 20000

// New makes an empty mirror.
func New() *Mirror {
	return &Mirror{
		Jobs:              map[string]*Job{},
		Shards:            map[string]*Shard{},
		Machines:          map[string]*Machine{},
		UseByTeam:         map[string]resources.Vector{},
		Partitions:        map[string]*PartitionEntry{},
		ScaleOuts:         map[string]*ScaleOutEntry{},
		ScaleOutOfMachine: map[string]string{},
		ScaleIns:          map[string]*ScaleInEntry{},
		ScaleInOfMachine:  map[string]string{},
		MachineTypes:      map[string]MachineTypeEntry{},
		Members:           map[string]MemberEntry{},
		Drains:            map[string]DrainEntry{},
		PermitsByTeam:     map[string]PermitsEntry{},
		ownDeletions:      map[string]uint64{},
		Results:           NewResultCache(rememberedResults),
		OnChange:          func(string, string) {},
		OnMachineReleased: func(string) {},
	}
}

// Generation changes when the mirror is replaced: what was asked of the state service for an earlier generation must
// not be applied to a later one.
func (v *Mirror) Generation() int { return v.generation }

// Replace takes over all records of a mirror that was loaded anew, complete up to the revision watched; newest is the
// newest revision heard of. The hooks stay, and aren't called. The loaded mirror must not be used afterwards.
func (v *Mirror) Replace(loaded *Mirror, watched, newest uint64) {
	onChange, onMachineReleased, generation := v.OnChange, v.OnMachineReleased, v.generation
	*v = *loaded
	v.OnChange, v.OnMachineReleased, v.generation = onChange, onMachineReleased, generation+1
	v.WatchedRevision, v.NewestRevision = watched, newest
}

// ApplyPut applies one change, see apply.
func (v *Mirror) ApplyPut(key string, value protocol.Raw, version uint64) {
	v.ApplyRevision([]protocol.Event{{Put: key, Value: value, Version: version}}, false)
}

// ApplyDelete applies a deletion.
func (v *Mirror) ApplyDelete(key string, version uint64, ownCommit bool) {
	v.ApplyRevision([]protocol.Event{{Delete: key, Version: version}}, ownCommit)
}

// ApplyRevision brings the changes of one revision into the mirror, each unless the
// mirror is newer already. Pages are taken out before any is put in: a machine
// that moves from one to another must not be counted out after it was counted in.
// own: it is a commit of ours, which may be ahead of the watch.
func (v *Mirror) ApplyRevision(events []protocol.Event, ownCommit bool) {
	type change struct {
		kind, name string
		e          protocol.Event
		next       *Shard
	}
	var todo []change
	for _, event := range events {
		v.NewestRevision = max(v.NewestRevision, event.Version)
		if event.Version <= v.WatchedRevision {
			// An answer that comes after a newer one: the watch has passed this change,
			// and what it wrote may have been deleted since.
			continue
		}
		key := event.Put + event.Delete
		kind, name, ok := storage.SplitKey(key)
		if !ok {
			continue
		}
		if event.Put == "" && ownCommit && event.Version > v.WatchedRevision {
			v.ownDeletions[key] = event.Version
		}
		if have := v.VersionOf(key); event.Version < have ||
			event.Put != "" && (event.Version <= have || event.Version <= v.ownDeletions[key]) ||
			event.Put == "" && have == 0 {
			continue
		}
		if event.Put != "" {
			delete(v.ownDeletions, key)
		}
		ch := change{kind: kind, name: name, e: event}
		if kind == storage.KindShard {
			previous := v.Shards[name]
			if event.Put != "" {
				var before *storage.Shard
				if previous != nil {
					before = previous.Record
				}
				record, err := storage.DecodeShard(event.Value, before)
				if err != nil {
					continue
				}
				ch.next = &Shard{Name: name, Record: record, Version: event.Version}
			}
			v.removeShard(previous, ch.next)
		}
		todo = append(todo, ch)
	}
	for _, ch := range todo {
		switch {
		case ch.next != nil:
			v.addShard(v.Shards[ch.name], ch.next)
		case ch.kind == storage.KindShard:
			delete(v.Shards, ch.name)
		case ch.e.Put != "":
			v.applyRecordPut(ch.kind, ch.name, ch.e)
		default:
			v.applyRecordDelete(ch.kind, ch.name)
		}
		v.OnChange(ch.kind, ch.name)
	}
}

// removeShard takes out of the sums what a shard has and its next version hasn't.
func (v *Mirror) removeShard(previous, next *Shard) {
	if previous == nil {
		return
	}
	for id, entry := range previous.Record.Jobs {
		if next == nil || next.Record.Jobs[id] != entry {
			v.countJobOfShard(previous, id, -1)
		}
	}
	for id := range previous.Record.Machines {
		machine := v.Machines[id]
		if (next == nil || next.Record.Machines[id] == nil) && machine != nil && machine.Shard == previous {
			machine.Shard, machine.Record = nil, nil
			v.OnMachineReleased(id)
			v.removeMachineIfUnused(machine)
		}
	}
}

// addShard puts into the sums what a shard's version before hasn't.
func (v *Mirror) addShard(previous, next *Shard) {
	if previous != nil {
		next.UseByTeam = previous.UseByTeam
	} else {
		next.UseByTeam = map[string]resources.Vector{}
	}
	v.Shards[next.Name] = next
	for id, record := range next.Record.Machines {
		machine := v.ensureMachine(id)
		machine.Shard, machine.Record = next, record
	}
	for id, entry := range next.Record.Jobs {
		if previous == nil || previous.Record.Jobs[id] != entry {
			v.countJobOfShard(next, id, 1)
		}
	}
}

// countJobOfShard counts what a shard holds of a job in or out.
func (v *Mirror) countJobOfShard(shard *Shard, id string, sign int) {
	entry, job := shard.Record.Jobs[id], v.Jobs[id]
	if entry == nil || job == nil {
		return
	}
	for _, held := range entry.Attempts {
		if held.Task >= len(job.TaskStates) {
			continue
		}
		task := TaskID{id, held.Task}
		machine := v.ensureMachine(held.Machine)
		if sign > 0 {
			if job.TaskStates[held.Task]%doneUnit == 0 {
				job.AssignedTasks++
			}
			job.TaskStates[held.Task] += assignedUnit
			machine.Attempts[task] = held.Number
			machine.CachedImages[job.Record.Spec.Image] = true
		} else {
			job.TaskStates[held.Task] -= assignedUnit
			if job.TaskStates[held.Task]%doneUnit == 0 {
				job.AssignedTasks--
			}
			if job.TaskStates[held.Task]%doneUnit == 0 || !v.heldByOtherShard(shard, id, held) {
				delete(machine.Attempts, task)
			}
		}
		machine.Used = machine.Used.AddScaled(job.TaskResources, float64(sign))
		if len(machine.Attempts) == 0 {
			machine.Used = resources.Vector{} // no rounding left behind
		}
		AddUse(shard.UseByTeam, job.Record.Spec.Team, job.TaskResources, sign)
		AddUse(v.UseByTeam, job.Record.Spec.Team, job.TaskResources, sign)
		v.removeMachineIfUnused(machine)
	}
	entry.Completed.Each(func(i int) {
		if i >= len(job.TaskStates) {
			return
		}
		if sign > 0 {
			if job.TaskStates[i] < doneUnit {
				job.DoneTasks++
			}
			job.TaskStates[i] += doneUnit
		} else {
			job.TaskStates[i] -= doneUnit
			if job.TaskStates[i] < doneUnit {
				job.DoneTasks--
			}
		}
	})
}

// heldByOtherShard tells whether another shard too holds an attempt on the same machine: a
// list that is read while the machine moves shows it in both.
func (v *Mirror) heldByOtherShard(not *Shard, job string, held storage.Attempt) bool {
	for _, shard := range v.Shards {
		if entry := shard.Record.Jobs[job]; entry != nil && shard.Name != not.Name {
			for _, o := range entry.Attempts {
				if o.SameAs(held) {
					return true
				}
			}
		}
	}
	return false
}

// AddUse adds what a task takes to a team's use, or takes it off where sign is -1; a team without use is removed.
func AddUse(useByTeam map[string]resources.Vector, team string, taskResources resources.Vector, sign int) {
	total := useByTeam[team].AddScaled(taskResources, float64(sign))
	if total.CPUs < resources.Tolerance && total.GPUs < resources.Tolerance &&
		total.MemoryGB < resources.Tolerance {
		delete(useByTeam, team)
	} else {
		useByTeam[team] = total
	}
}

// removeMachineIfUnused drops a machine that stands in no shard and holds nothing.
func (v *Mirror) removeMachineIfUnused(machine *Machine) {
	if machine.Record == nil && len(machine.Attempts) == 0 {
		delete(v.Machines, machine.ID)
	}
}

// ApplyCommit brings an own commit that succeeded into the mirror.
func (v *Mirror) ApplyCommit(txn *protocol.Transaction, revision uint64) {
	events := make([]protocol.Event, 0, len(txn.Then))
	for _, operation := range txn.Then {
		events = append(
			events,
			protocol.Event{
				Put:     operation.Put,
				Value:   operation.Value,
				Delete:  operation.Delete,
				Version: revision,
			},
		)
	}
	v.ApplyRevision(events, true)
}

// ApplyEvents brings the result of a watch into the mirror.
func (v *Mirror) ApplyEvents(events []protocol.Event, revision uint64) {
	for len(events) > 0 {
		n := 1
		for n < len(events) && events[n].Version == events[0].Version {
			n++
		}
		v.ApplyRevision(events[:n], false)
		events = events[n:]
	}
	v.WatchedRevision = max(v.WatchedRevision, revision)
	v.NewestRevision = max(v.NewestRevision, revision)
	for k, ver := range v.ownDeletions {
		if ver <= v.WatchedRevision {
			delete(v.ownDeletions, k)
		}
	}
}

func (v *Mirror) ensureMachine(id string) *Machine {
	machine := v.Machines[id]
	if machine == nil {
		machine = &Machine{ID: id, Attempts: map[TaskID]uint64{}, CachedImages: map[string]bool{}}
		v.Machines[id] = machine
	}
	return machine
}

// SortedTaskIDs gives the tasks of a machine in order.
func SortedTaskIDs(attempts map[TaskID]uint64) []TaskID {
	return slices.SortedFunc(maps.Keys(attempts), func(a, b TaskID) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
	})
}
