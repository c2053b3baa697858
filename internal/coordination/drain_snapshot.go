package coordination

import (
	"pipitgap/internal/drain"
	"pipitgap/internal/protocol"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// drainSnapshot gives the mirror in the form in which drains are decided, with what we know of our own
// machines beyond the records.
func (c *Controller) drainSnapshot() *drain.Snapshot {
	b := c.mirror.drainSnapshotBuilder(c.env.WallClock(), c.catalog.machineTypes, c.scheduler.isCrashLooping)
	for _, id := range sortedmap.Keys(c.mirror.Machines) {
		machine := c.mirror.Machines[id]
		if machine.Record == nil {
			continue
		}
		entry := c.mirror.drainSnapshotMachine(machine, c.catalog.machineTypes)
		switch {
		case c.agents.agentOf(machine) == nil && machine.Owner() == c.node:
			entry.Owner = "" // an earlier life of ours, whose shard isn't claimed again yet
		case c.agents.agentOf(machine) == nil:
		case c.agents.agentOf(machine).RemovalReason != "":
			entry.State = storage.MachineRemoving
		case c.agents.agentOf(machine).InterruptionNoticed:
			entry.State = storage.MachineDraining
		case c.agents.agentOf(machine).Suspect:
			entry.State = storage.MachineUnreachable
		}
		b.AddMachine(entry)
	}
	return b.Build()
}

// drainSnapshotBuilder begins a snapshot with all but the machines.
func (v *Mirror) drainSnapshotBuilder(wall int64, types map[string]protocol.MachineType, failing func(*Job) bool) *drain.Builder {
	b := drain.NewBuilder(v.WatchedRevision, wall)
	for id, job := range v.Jobs {
		if spec := &job.Record.Spec; spec.Service && job.IsOpen() {
			b.AddJob(&drain.Job{ID: id, Team: spec.Team, Class: spec.Class, Replicas: spec.Tasks, PerTask: job.TaskResources, Priority: spec.Priority,
				Types: spec.MachineTypes, Zone: spec.Zone, OneZone: spec.OneZone, Spread: spec.Spread, Spot: spec.Spot, Failing: failing(job)})
		}
	}
	for name, machineType := range types {
		b.AddType(drain.TypeCapacity{Name: name, Capacity: machineCapacity(&machineType), Zones: machineType.Zones})
	}
	for name, drainEntry := range v.Drains {
		b.AddDrain(name, drainEntry.Version, drainEntry.Record)
	}
	for team, permits := range v.PermitsByTeam {
		b.AddPermits(team, permits.Version, permits.Record)
	}
	return b
}

// drainSnapshotMachine gives a machine as the records have it.
func (v *Mirror) drainSnapshotMachine(machine *Machine, types map[string]protocol.MachineType) *drain.Machine {
	out := &drain.Machine{ID: machine.ID, Type: machine.Record.Type, Zone: machine.Record.Zone, Spot: machine.Record.Spot, State: machine.Record.State, Owner: machine.Owner()}
	if v.ScaleInOfMachine[machine.ID] != "" {
		out.State = storage.MachineRemoving
	}
	if machineType, ok := types[machine.Record.Type]; ok {
		out.Free = machineCapacity(&machineType).AddScaled(machine.Used, -1)
	}
	for _, task := range sortedTaskIDs(machine.Attempts) {
		job := v.Jobs[task.Job]
		switch {
		case job == nil || !job.IsOpen():
		case job.Record.Spec.Service:
			held, _ := machine.Shard.Record.FindAttempt(task.Job, task.Index)
			out.Replicas = append(out.Replicas, drain.Replica{Job: task.Job, Task: task.Index, Attempt: machine.Attempts[task], Starting: held.Starting})
		default:
			addArrayTask(out, job)
		}
	}
	return out
}

// addArrayTask adds an array task to what a machine holds.
func addArrayTask(m *drain.Machine, job *Job) {
	priority := job.Record.Spec.Priority
	for i := range m.ArrayUsage {
		if m.ArrayUsage[i].Priority == priority {
			m.ArrayUsage[i].Tasks++
			m.ArrayUsage[i].Resources = m.ArrayUsage[i].Resources.Plus(job.TaskResources)
			return
		}
	}
	m.ArrayUsage = append(m.ArrayUsage, drain.ArrayUsage{Priority: priority, Tasks: 1, Resources: job.TaskResources})
}
