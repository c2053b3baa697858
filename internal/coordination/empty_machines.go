package coordination

import (
	"pipitgap/internal/agents"
	"pipitgap/internal/autoscaling"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// closeAfterIntervals is for how many autoscaling intervals an own machine is empty before it is closed to
// tasks.
const closeAfterIntervals = 2

// emptyMachines has this controller's empty machines removed. Every controller does so for its own machines,
// since it alone writes their shards; the leader then has them terminated.
type emptyMachines struct {
	c           *Controller
	since       map[string]monotime.Micros // since when a machine is empty
	closedAt    map[string]monotime.Micros // when a machine was closed to tasks
	nextCheckAt monotime.Micros
}

func newEmptyMachines(c *Controller) *emptyMachines {
	return &emptyMachines{c: c, since: map[string]monotime.Micros{}, closedAt: map[string]monotime.Micros{}}
}

// isClosed reports that a machine is closed to tasks that have room elsewhere.
func (e *emptyMachines) isClosed(machine string) bool {
	_, closed := e.closedAt[machine]
	return closed
}

// reopen opens a machine that gets a task.
func (e *emptyMachines) reopen(machine string) { delete(e.closedAt, machine) }

// reconcile closes own machines that are empty, and has them removed after the delay if they still are.
// Machines that headroom or drains need are kept. Closing writes nothing: a task that needs the machine opens
// it again.
func (e *emptyMachines) reconcile(now monotime.Micros) {
	if now < e.nextCheckAt {
		return
	}
	e.nextCheckAt = now + e.c.settings.AutoscalingInterval.Micros()
	if e.c.catalog.MachineTypes() == nil {
		return
	}
	needed := e.neededMachines(now)
	empty := map[string]bool{}
	for _, id := range sortedmap.Keys(e.c.mirror.Machines) {
		machine := e.c.mirror.Machines[id]
		if !e.isRemovable(machine, needed[id]) {
			continue
		}
		switch machine.Record.State {
		case storage.MachineOpen:
			empty[id] = true
			e.closeOrRemove(machine, now)
		case storage.MachineCordoned:
			empty[id] = true
			if _, ok := e.since[id]; !ok {
				e.since[id] = now
			}
			if e.c.drains.MayScaleIn(machine, now-e.since[id]) {
				e.c.agents.RequestRemoval(machine, agents.RemovalDrained)
			}
		case storage.MachineDraining:
			e.c.agents.RequestRemoval(machine, agents.RemovalDrained)
		}
	}
	for id := range e.since {
		if !empty[id] {
			delete(e.since, id)
			delete(e.closedAt, id)
		}
	}
}

// neededMachines lists the machines that are kept although they are empty: for headroom, for replacements of
// drained replicas, and for replicas that permits move there.
func (e *emptyMachines) neededMachines(now monotime.Micros) map[string]bool {
	needed := map[string]bool{}
	replacements := e.c.drains.ReplacementDemands()
	if e.c.settings.ServiceHeadroom > 0 || len(replacements) > 0 {
		snapshot := e.c.autoscaler.snapshot(now)
		// The demand is computed too, though it isn't used: ordering the queue follows which jobs are
		// starved.
		_, bins := e.c.autoscaler.demandAndSupply(snapshot)
		needed = autoscaling.MachinesNeeded(append(snapshot.HeadroomDemand(), replacements...), bins)
	}
	for id := range e.c.drains.ReservedByMachine() {
		needed[id] = true
	}
	return needed
}

// isRemovable tells whether an own machine is empty and neither needed nor on its way out. One that is prone
// to failures isn't kept for what needs it.
func (e *emptyMachines) isRemovable(machine *mirror.Machine, needed bool) bool {
	agent := e.c.agents.Of(machine)
	if agent == nil || machine.Record == nil || len(machine.Attempts) > 0 {
		return false
	}
	if needed && machine.Record.State == storage.MachineOpen && !agent.Failures().FailureProne() {
		return false
	}
	return agent.RemovalReason() == ""
}

// closeOrRemove closes an open machine that has been empty for a while, and removes it after the delay.
func (e *emptyMachines) closeOrRemove(machine *mirror.Machine, now monotime.Micros) {
	since, ok := e.since[machine.ID]
	if !ok {
		e.since[machine.ID] = now
		return
	}
	closedAt, closed := e.closedAt[machine.ID]
	switch {
	case !closed && now-since >= closeAfterIntervals*e.c.settings.AutoscalingInterval.Micros():
		e.closedAt[machine.ID] = now
	case closed && now-closedAt >= e.scaleInDelay(machine.Record):
		e.c.agents.RequestRemoval(machine, agents.RemovalIdle)
	}
}

// scaleInDelay is how long an empty machine stays closed before it is removed.
func (e *emptyMachines) scaleInDelay(record *storage.ShardMachine) monotime.Micros {
	machineType := e.c.catalog.MachineTypes()[record.Type]
	return autoscaling.ScaleInDelay(machineType, record.Spot, e.c.settings.ScaleDownDelay.Micros())
}
