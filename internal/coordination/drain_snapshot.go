package coordination

import (
	"pipitgap/internal/drain"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// drainSnapshot gives the mirror in the form in which drains are decided, with what we know of our own
// machines beyond the records.
func (c *Controller) drainSnapshot() *drain.Snapshot {
	b := c.mirror.DrainSnapshotBuilder(c.env.WallClock(), c.catalog.machineTypes, c.scheduler.isCrashLooping)
	for _, id := range sortedmap.Keys(c.mirror.Machines) {
		machine := c.mirror.Machines[id]
		if machine.Record == nil {
			continue
		}
		entry := c.mirror.DrainSnapshotMachine(machine, c.catalog.machineTypes)
		switch {
		case c.agents.Of(machine) == nil && machine.Owner() == c.node:
			entry.Owner = "" // an earlier life of ours, whose shard isn't claimed again yet
		case c.agents.Of(machine) == nil:
		case c.agents.Of(machine).RemovalReason() != "":
			entry.State = storage.MachineRemoving
		case c.agents.Of(machine).InterruptionNoticed():
			entry.State = storage.MachineDraining
		case c.agents.Of(machine).Suspect():
			entry.State = storage.MachineUnreachable
		}
		b.AddMachine(entry)
	}
	return b.Build()
}
