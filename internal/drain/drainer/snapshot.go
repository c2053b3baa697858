package drainer

import (
	"pipitgap/internal/drain"
	"pipitgap/internal/mirror"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// Snapshot returns the mirror in the form in which drains are decided, with what is known of own machines
// beyond the records.
func (d *Drainer) Snapshot() *drain.Snapshot {
	records, machineTypes := d.deps.Mirror, d.deps.Machines.MachineTypes()
	wall := d.deps.Clock.WallClock()
	builder := records.DrainSnapshotBuilder(wall, machineTypes, d.deps.Jobs.IsCrashLooping)
	for _, id := range sortedmap.Keys(records.Machines) {
		machine := records.Machines[id]
		if machine.Record == nil {
			continue
		}
		entry := records.DrainSnapshotMachine(machine, machineTypes)
		d.applyAgentState(entry, machine)
		builder.AddMachine(entry)
	}
	return builder.Build()
}

// applyAgentState corrects a snapshot's machine by what its agent has shown and the records don't have yet.
func (d *Drainer) applyAgentState(entry *drain.Machine, machine *mirror.Machine) {
	agent := d.deps.Agents.Of(machine)
	switch {
	case agent == nil && machine.Owner() == d.node:
		entry.Owner = "" // of an earlier incarnation of this controller: its shard isn't claimed again yet
	case agent == nil:
	case agent.RemovalReason() != "":
		entry.State = storage.MachineRemoving
	case agent.InterruptionNoticed():
		entry.State = storage.MachineDraining
	case agent.Suspect():
		entry.State = storage.MachineUnreachable
	}
}
