package storage

import (
	"maps"
	"slices"
	"sort"
)

// MachineState is the state of a machine as stored in a shard.
type MachineState string

// States of a machine. That an empty machine only takes tasks that fit nowhere else, because it is about to be
// removed, is known to its shard's owner and not stored.
const (
	MachineOpen        MachineState = "o"
	MachineUnreachable MachineState = "q" // unreachable at present: receives no tasks and does not count as capacity
	MachineCordoned    MachineState = "c" // selected by a drain: receives no new tasks while the drain is unfinished
	MachineDraining    MachineState = "d" // permanently receives no new tasks
	MachineRemoving    MachineState = "r" // to be deleted by the leader
)

// TokenCounterBits is the number of low-order bits of a fencing token that count the batches of commands
// under one claim. The high-order bits are the claim's number. Every token of a later claim is therefore
// greater than all tokens of earlier claims.
const TokenCounterBits = 32

// Shard is the record of KindShard: some of a partition's machines, the attempts on them, and the tasks that
// were completed on them. Only the shard's owner writes it. A takeover changes the record's version, so a
// late conditional write by a previous owner fails. Decoded entries are immutable: a change replaces the
// entry.
type Shard struct {
	Owner       string                   // the controller that writes the shard
	Incarnation uint64                   // of the owner
	Claim       uint64                   // number of the claim: the high-order bits of fencing tokens
	Machines    map[string]*ShardMachine // by id
	Jobs        map[string]*ShardJob     // by id
}

// ShardMachine is a machine in a shard.
type ShardMachine struct {
	Number   int // short name of the machine within the shard
	Type     string
	Zone     string
	Spot     bool   // spot instance
	Endpoint string // address and port of the machine's worker
	State    MachineState
	Claim    uint64 // number of the claim that took it from another controller's shard, or 0; see ClaimNumberOf
}

// ShardJob is a job's entry in a shard: the tasks that were completed in the shard and the current attempts.
type ShardJob struct {
	Completed TaskSet
	Attempts  []Attempt // ordered by task
	encoded   string    // stored form without the job id; decoding reuses a previous entry with the same form
}

// Attempt is an attempt to run a task on a machine.
type Attempt struct {
	Task    int // index of the task in its job
	Machine string
	// Number identifies the attempt among those of the task. It is the newest revision of the state service that
	// the controller knew when it assigned the task, so a later attempt has a greater number.
	Number uint64
	// Starting means that the attempt isn't known to be running yet. It is stored only for replicas whose
	// availability package drain protects.
	Starting bool
}

// SameAs reports whether two entries describe the same attempt on the same machine. It ignores Starting.
func (a Attempt) SameAs(other Attempt) bool {
	return a.Task == other.Task && a.Machine == other.Machine && a.Number == other.Number
}

// ClaimNumberOf returns the claim number that applies to a machine of the shard: the greater of the shard's and the
// machine's.
func (s *Shard) ClaimNumberOf(machine *ShardMachine) uint64 { return max(s.Claim, machine.Claim) }

// Clone returns a copy of the shard on which a change can be prepared. The copy shares its entries with the
// original, so a change must replace an entry instead of modifying it.
func (s *Shard) Clone() *Shard {
	clone := *s
	clone.Machines = make(map[string]*ShardMachine, len(s.Machines)+1)
	maps.Copy(clone.Machines, s.Machines)
	clone.Jobs = make(map[string]*ShardJob, len(s.Jobs)+1)
	maps.Copy(clone.Jobs, s.Jobs)
	return &clone
}

// AddMachine adds a machine to the shard and gives it the lowest free number.
func (s *Shard) AddMachine(id string, machine ShardMachine) {
	used := make(map[int]bool, len(s.Machines))
	for _, other := range s.Machines {
		used[other.Number] = true
	}
	machine.Number = 0
	for used[machine.Number] {
		machine.Number++
	}
	s.Machines[id] = &machine
}

// SetMachineState replaces a machine's entry by one with the given state.
func (s *Shard) SetMachineState(id string, state MachineState) {
	machine := *s.Machines[id]
	machine.State = state
	s.Machines[id] = &machine
}

// Assign adds an attempt to a job's entry. The shard must not hold an attempt of that task yet.
func (s *Shard) Assign(job string, attempt Attempt) {
	old := s.Jobs[job]
	if old == nil {
		old = &ShardJob{}
	}
	k := old.searchAttempt(attempt.Task)
	attempts := make([]Attempt, 0, len(old.Attempts)+1)
	attempts = append(attempts, old.Attempts[:k]...)
	attempts = append(attempts, attempt)
	attempts = append(attempts, old.Attempts[k:]...)
	s.Jobs[job] = &ShardJob{Completed: old.Completed, Attempts: attempts}
}

// searchAttempt returns the index of a task's attempt, or the index at which to insert one.
func (j *ShardJob) searchAttempt(task int) int {
	return sort.Search(len(j.Attempts), func(i int) bool { return j.Attempts[i].Task >= task })
}

// Release removes a task's attempt. If done is true, the task is also added to the completed tasks.
func (s *Shard) Release(job string, task int, done bool) {
	old := s.Jobs[job]
	if old == nil {
		return
	}
	next := &ShardJob{Completed: old.Completed, Attempts: make([]Attempt, 0, len(old.Attempts))}
	for _, attempt := range old.Attempts {
		if attempt.Task != task {
			next.Attempts = append(next.Attempts, attempt)
		}
	}
	if done {
		next.Completed = next.Completed.With(task)
	}
	if len(next.Attempts) == 0 && len(next.Completed) == 0 {
		delete(s.Jobs, job)
		return
	}
	s.Jobs[job] = next
}

// FindAttempt returns the attempt of a task; ok is false if the shard holds none.
func (s *Shard) FindAttempt(job string, task int) (attempt Attempt, ok bool) {
	entry := s.Jobs[job]
	if entry == nil {
		return Attempt{}, false
	}
	k := entry.searchAttempt(task)
	if k == len(entry.Attempts) || entry.Attempts[k].Task != task {
		return Attempt{}, false
	}
	return entry.Attempts[k], true
}

// MarkStarting sets whether a task's attempt is starting, that is, not known to be running yet.
func (s *Shard) MarkStarting(job string, task int, starting bool) {
	old := s.Jobs[job]
	if old == nil {
		return
	}
	next := &ShardJob{Completed: old.Completed, Attempts: slices.Clone(old.Attempts)}
	for i := range next.Attempts {
		if next.Attempts[i].Task == task {
			next.Attempts[i].Starting = starting
		}
	}
	s.Jobs[job] = next
}
