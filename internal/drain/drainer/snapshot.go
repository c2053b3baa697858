package drainer

import (
	"pipitgap/internal/drain"
	"pipitgap/internal/mirror"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// Snapshot returns the mirror as a snapshot for package drain. For this controller's machines it also
// includes what their agents have reported and the records don't contain yet.
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

// applyAgentState corrects a machine of the snapshot by what its agent has shown and the records don't
// contain yet.
func (d *Drainer) applyAgentState(entry *drain.Machine, machine *mirror.Machine) {
	agent := d.deps.Agents.Of(machine)
	switch {
	case agent == nil && machine.Owner() == d.node:
		entry.Owner = "" // an earlier incarnation of this controller owned it; its shard isn't claimed again yet
	case agent == nil:
	case agent.RemovalReason() != "":
		entry.State = storage.MachineRemoving
	case agent.InterruptionNoticed():
		entry.State = storage.MachineDraining
	case agent.IsSuspect():
		entry.State = storage.MachineUnreachable
	}
}
