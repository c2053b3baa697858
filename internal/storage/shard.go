package storage

import (
	"maps"
	"slices"
	"sort"
)

// MachineState is the state of a machine as stored.
type MachineState string

// States of a machine. That a machine is about to be drained is known to its shard's owner only and not
// stored.
const (
	MachineOpen        MachineState = "o"
	MachineUnreachable MachineState = "q" // unreachable now: takes no tasks, is no capacity
	MachineCordoned    MachineState = "c" // selected by a drain: no new tasks as long as the drain lasts
	MachineDraining    MachineState = "d" // no new tasks ever again
	MachineRemoving    MachineState = "r" // for the leader to delete
)

// TokenCounterBits is how many bits of a fencing token count the batches of commands under one claim; the
// claim's number stands above them. A token of a later claim is thus above all tokens of earlier ones.
const TokenCounterBits = 32

// Shard is the record of KindShard: some of a partition's machines, the attempts on them, and which tasks
// were completed there. A shard has one owner, who alone writes it; a takeover changes its version, so that
// no late write of an earlier owner can succeed. Decoded entries are never changed in place.
type Shard struct {
	Owner       string                   // the controller that writes it
	Incarnation uint64                   // of the owner
	Claim       uint64                   // number of the claim; fencing tokens begin with it
	Machines    map[string]*ShardMachine // by id
	Jobs        map[string]*ShardJob     // by id
}

// ShardMachine is a machine in a shard.
type ShardMachine struct {
	Number   int // its short name within the shard
	Type     string
	Zone     string
	Spot     bool   // spot instance
	Endpoint string // address and port of the machine's worker
	State    MachineState
	Claim    uint64 // when above the shard's: the machine came from another partition's shard
}

// ShardJob is what a shard holds of a job.
type ShardJob struct {
	Completed TaskSet
	Attempts  []Attempt // ordered by task
	encoded   string    // its stored form without the id; decoding shares entries whose form is unchanged
}

// Attempt is an attempt on a machine.
type Attempt struct {
	Task    int // index
	Machine string
	Number  uint64 // of the attempt among those at its task
	// Starting says that the attempt isn't known to be running yet. It is stored only for replicas whose
	// availability is guarded, see package drain.
	Starting bool
}

// SameAs reports whether two entries are of one attempt on one machine.
func (a Attempt) SameAs(other Attempt) bool {
	return a.Task == other.Task && a.Machine == other.Machine && a.Number == other.Number
}

// ClaimOf returns the claim number under which a machine of the shard is held.
func (s *Shard) ClaimOf(machine *ShardMachine) uint64 { return max(s.Claim, machine.Claim) }

// Clone copies a shard so that a change can be prepared; the entries are shared
// and must be replaced rather than changed.
func (s *Shard) Clone() *Shard {
	clone := *s
	clone.Machines = make(map[string]*ShardMachine, len(s.Machines)+1)
	maps.Copy(clone.Machines, s.Machines)
	clone.Jobs = make(map[string]*ShardJob, len(s.Jobs)+1)
	maps.Copy(clone.Jobs, s.Jobs)
	return &clone
}

// AddMachine puts a machine into the shard under the lowest free number.
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

// SetMachineState replaces a machine's state.
func (s *Shard) SetMachineState(id string, state MachineState) {
	machine := *s.Machines[id]
	machine.State = state
	s.Machines[id] = &machine
}

// Assign adds an attempt of a job that the shard doesn't hold yet.
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

// searchAttempt returns the index of a task's attempt, or where it would be inserted.
func (j *ShardJob) searchAttempt(task int) int {
	return sort.Search(len(j.Attempts), func(i int) bool { return j.Attempts[i].Task >= task })
}

// Release removes a task's attempt; done says that the task is completed.
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

// MarkStarting sets whether a held attempt is known to be running.
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
