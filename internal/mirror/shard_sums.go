package mirror

import (
	"slices"

	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

// Shard is a shard in the mirror.
type Shard struct {
	Name        string
	Record      *storage.Shard
	Version     uint64                      // of the record
	UsageByTeam map[string]resources.Vector // resources of the shard's attempts, by team
}

// Machine is a machine in the mirror that a shard or an attempt names, with the resources that its tasks use.
type Machine struct {
	ID           string
	Shard        *Shard                // nil if Record is nil
	Record       *storage.ShardMachine // nil: no shard holds the machine; only attempts on it are known
	Used         resources.Vector      // resources of the attempts
	Attempts     map[TaskID]uint64     // by task: number of its recorded attempt on the machine
	CachedImages map[string]bool       // images of all tasks assigned to the machine since the mirror added it
}

// Owner returns the controller that owns the machine's shard.
func (m *Machine) Owner() string { return m.Shard.Record.Owner }

// Claim returns the number of the claim that holds the machine; it is the high part of fencing tokens.
func (m *Machine) Claim() uint64 { return m.Shard.Record.ClaimNumberOf(m.Record) }

// removeShard subtracts from the aggregates what previous, the current version of a shard, holds and next
// doesn't. previous is nil if the shard is new, next is nil if it is deleted.
func (m *Mirror) removeShard(previous, next *Shard) {
	if previous == nil {
		return
	}
	for id, entry := range previous.Record.Jobs {
		if next == nil || next.Record.Jobs[id] != entry {
			m.countJobOfShard(previous, id, -1)
		}
	}
	for id := range previous.Record.Machines {
		machine := m.Machines[id]
		if (next == nil || next.Record.Machines[id] == nil) && machine != nil && machine.Shard == previous {
			machine.Shard, machine.Record = nil, nil
			m.onMachineReleased(id)
			m.removeMachineIfUnused(machine)
		}
	}
}

// addShard adds to the aggregates what next, the new version of a shard, holds and previous doesn't. previous
// is nil if the shard is new.
func (m *Mirror) addShard(previous, next *Shard) {
	if previous != nil {
		next.UsageByTeam = previous.UsageByTeam
	} else {
		next.UsageByTeam = map[string]resources.Vector{}
	}
	m.Shards[next.Name] = next
	for id, record := range next.Record.Machines {
		machine := m.ensureMachine(id)
		machine.Shard, machine.Record = next, record
	}
	for id, entry := range next.Record.Jobs {
		if previous == nil || previous.Record.Jobs[id] != entry {
			m.countJobOfShard(next, id, 1)
		}
	}
}

// countJobOfShard adds (sign 1) or subtracts (sign -1) a shard's attempts and completed tasks of a job.
func (m *Mirror) countJobOfShard(shard *Shard, id string, sign int) {
	entry, job := shard.Record.Jobs[id], m.Jobs[id]
	if entry == nil || job == nil {
		return
	}
	for _, attempt := range entry.Attempts {
		if attempt.Task < len(job.TaskStates) {
			m.countAttempt(shard, job, attempt, sign)
		}
	}
	entry.Completed.Each(func(task int) {
		if task < len(job.TaskStates) {
			job.countDone(task, sign)
		}
	})
}

// countAttempt adds (sign 1) or subtracts (sign -1) an attempt in the aggregates of its job, machine, shard
// and team.
func (m *Mirror) countAttempt(shard *Shard, job *Job, attempt storage.Attempt, sign int) {
	task := TaskID{job.ID, attempt.Task}
	machine := m.ensureMachine(attempt.Machine)
	job.countAttempt(attempt.Task, sign)
	if sign > 0 {
		machine.Attempts[task] = attempt.Number
		machine.CachedImages[job.Record.Spec.Image] = true
	} else if !job.isAssigned(attempt.Task) || !m.heldByOtherShard(shard, job.ID, attempt) {
		delete(machine.Attempts, task)
	}
	machine.Used = machine.Used.AddScaled(job.TaskResources, float64(sign))
	if len(machine.Attempts) == 0 {
		machine.Used = resources.Vector{} // discards accumulated rounding errors
	}
	AddUsage(shard.UsageByTeam, job.Record.Spec.Team, job.TaskResources, sign)
	AddUsage(m.UsageByTeam, job.Record.Spec.Team, job.TaskResources, sign)
	m.removeMachineIfUnused(machine)
}

// heldByOtherShard reports whether a shard other than except holds the same attempt on the same machine.
// Lists that are read while the machine moves between shards contain the attempt in both.
func (m *Mirror) heldByOtherShard(except *Shard, job string, attempt storage.Attempt) bool {
	for _, shard := range m.Shards {
		entry := shard.Record.Jobs[job]
		if entry != nil && shard.Name != except.Name && slices.ContainsFunc(entry.Attempts, attempt.SameAs) {
			return true
		}
	}
	return false
}

// AddUsage adds (sign 1) or subtracts (sign -1) the resources of a task in a team's total. It removes a team
// whose total is zero within resources.Tolerance.
func AddUsage(useByTeam map[string]resources.Vector, team string, taskResources resources.Vector, sign int) {
	total := useByTeam[team].AddScaled(taskResources, float64(sign))
	if total.CPUs < resources.Tolerance && total.GPUs < resources.Tolerance &&
		total.MemoryGB < resources.Tolerance {
		delete(useByTeam, team)
	} else {
		useByTeam[team] = total
	}
}

// removeMachineIfUnused removes the machine if no shard holds it and it has no attempts.
func (m *Mirror) removeMachineIfUnused(machine *Machine) {
	if machine.Record == nil && len(machine.Attempts) == 0 {
		delete(m.Machines, machine.ID)
	}
}

// ensureMachine returns the machine with an id and adds it, without a shard, if the mirror doesn't hold it.
func (m *Mirror) ensureMachine(id string) *Machine {
	machine := m.Machines[id]
	if machine == nil {
		machine = &Machine{ID: id, Attempts: map[TaskID]uint64{}, CachedImages: map[string]bool{}}
		m.Machines[id] = machine
	}
	return machine
}
