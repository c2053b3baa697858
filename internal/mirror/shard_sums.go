package mirror

import (
	"slices"

	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

// Shard is a shard in the mirror.
type Shard struct {
	Name      string
	Record    *storage.Shard
	Version   uint64                      // of the record
	UseByTeam map[string]resources.Vector // by team, the resources of its attempts
}

// Machine is a claimed machine in the mirror, with what its tasks take.
type Machine struct {
	ID           string
	Shard        *Shard
	Record       *storage.ShardMachine // nil: in no shard, only attempts on it are known
	Used         resources.Vector
	Attempts     map[TaskID]uint64 // numbers of the attempts that the records have on it
	CachedImages map[string]bool   // images of the tasks that it has had since it was first seen
}

// Owner is the controller that holds the machine's shard.
func (m *Machine) Owner() string { return m.Shard.Record.Owner }

// Claim is the number under which the machine is claimed; fencing tokens begin with it.
func (m *Machine) Claim() uint64 { return m.Shard.Record.ClaimOf(m.Record) }

// removeShard removes from the sums what a shard has and its next version, nil if it is deleted, hasn't.
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

// addShard adds to the sums what a shard has and its previous version, which may be nil, hasn't.
func (m *Mirror) addShard(previous, next *Shard) {
	if previous != nil {
		next.UseByTeam = previous.UseByTeam
	} else {
		next.UseByTeam = map[string]resources.Vector{}
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

// countJobOfShard counts what a shard holds of a job in (sign 1) or out (-1).
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

// countAttempt counts an attempt in or out of the sums of its job, machine, shard and team.
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
		machine.Used = resources.Vector{} // without rounding errors
	}
	AddUse(shard.UseByTeam, job.Record.Spec.Team, job.TaskResources, sign)
	AddUse(m.UseByTeam, job.Record.Spec.Team, job.TaskResources, sign)
	m.removeMachineIfUnused(machine)
}

// heldByOtherShard reports whether another shard too holds an attempt on the same machine: lists that are
// read while the machine moves have it in both.
func (m *Mirror) heldByOtherShard(except *Shard, job string, attempt storage.Attempt) bool {
	for _, shard := range m.Shards {
		entry := shard.Record.Jobs[job]
		if entry != nil && shard.Name != except.Name && slices.ContainsFunc(entry.Attempts, attempt.SameAs) {
			return true
		}
	}
	return false
}

// AddUse adds the resources of a task to a team's use, or subtracts them where sign is -1; a team without use
// is removed.
func AddUse(useByTeam map[string]resources.Vector, team string, taskResources resources.Vector, sign int) {
	total := useByTeam[team].AddScaled(taskResources, float64(sign))
	if total.CPUs < resources.Tolerance && total.GPUs < resources.Tolerance &&
		total.MemoryGB < resources.Tolerance {
		delete(useByTeam, team)
	} else {
		useByTeam[team] = total
	}
}

// removeMachineIfUnused removes a machine that is in no shard and has no attempts.
func (m *Mirror) removeMachineIfUnused(machine *Machine) {
	if machine.Record == nil && len(machine.Attempts) == 0 {
		delete(m.Machines, machine.ID)
	}
}

// ensureMachine returns a machine, which is added without a shard if it isn't known.
func (m *Mirror) ensureMachine(id string) *Machine {
	machine := m.Machines[id]
	if machine == nil {
		machine = &Machine{ID: id, Attempts: map[TaskID]uint64{}, CachedImages: map[string]bool{}}
		m.Machines[id] = machine
	}
	return machine
}
