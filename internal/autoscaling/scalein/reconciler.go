package scalein

import (
	"pipitgap/internal/agents"
	"pipitgap/internal/autoscaling"
	"pipitgap/internal/config"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/resources"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// closeAfterIntervals is the number of autoscaling intervals for which an own machine must be empty before it
// is closed to tasks.
const closeAfterIntervals = 2

// Agents provides the agents of this controller's own machines.
type Agents interface {
	// Of returns the agent of a machine, or nil if this controller doesn't own the machine.
	Of(*mirror.Machine) *agents.Agent
	// RequestRemoval marks a machine for removal. The leader then terminates it.
	RequestRemoval(machine *mirror.Machine, reason agents.RemovalReason)
}

// Drains provides the decisions of drains about empty machines.
type Drains interface {
	// MayScaleIn reports whether a drained machine may be removed after it has been empty for the given time.
	MayScaleIn(machine *mirror.Machine, empty monotime.Micros) bool
	// ReservedByMachine returns the resources reserved for replicas that are being moved, by machine ID.
	ReservedByMachine() map[string]resources.Vector
	// ReplacementDemands returns the demand of replicas that drains will move. The caller may modify it.
	ReplacementDemands() []*autoscaling.Demand
}

// Workload provides the same demand and supply as for the autoscaler's passes.
type Workload interface {
	// Snapshot returns the state from which demand and supply are computed.
	Snapshot(now monotime.Micros) *autoscaling.Snapshot
	// DemandAndSupply lists the unplaced tasks within their teams' quotas, and the machines up or requested.
	DemandAndSupply(*autoscaling.Snapshot) ([]*autoscaling.Demand, []*autoscaling.Bin)
}

// Catalog provides the machine types that the cloud offers.
type Catalog interface {
	// MachineTypes returns the machine types by name, or nil until they are known.
	MachineTypes() map[string]protocol.MachineType
}

// Dependencies are the parts of a controller that its Reconciler uses.
type Dependencies struct {
	Mirror   *mirror.Mirror
	Agents   Agents
	Drains   Drains
	Workload Workload
	Catalog  Catalog
}

// Reconciler closes one controller's empty machines to tasks and requests their removal. It must be used by
// one goroutine only.
type Reconciler struct {
	settings config.Settings
	deps     Dependencies

	emptySince  map[string]monotime.Micros // by machine ID: when this reconciler first saw it empty
	closedAt    map[string]monotime.Micros // by machine ID: when it was closed to tasks
	nextCheckAt monotime.Micros
}

// New returns a controller's reconciler.
func New(settings config.Settings, deps Dependencies) *Reconciler {
	return &Reconciler{
		settings:   settings,
		deps:       deps,
		emptySince: map[string]monotime.Micros{},
		closedAt:   map[string]monotime.Micros{},
	}
}

// IsClosed reports whether a machine is closed to tasks that fit on another machine.
func (r *Reconciler) IsClosed(machine string) bool {
	_, closed := r.closedAt[machine]
	return closed
}

// Reopen reopens a machine to tasks, because a task is assigned to it.
func (r *Reconciler) Reopen(machine string) { delete(r.closedAt, machine) }

// Reconcile closes own machines that are empty, and requests their removal if they are still empty after the
// delay. It keeps machines that headroom or drains need. Closing a machine writes no record, because a task
// that needs the machine reopens it.
func (r *Reconciler) Reconcile(now monotime.Micros) {
	if now < r.nextCheckAt {
		return
	}
	r.nextCheckAt = now + r.settings.AutoscalingInterval.Micros()
	if r.deps.Catalog.MachineTypes() == nil {
		return
	}
	needed := r.neededMachines(now)
	empty := map[string]bool{}
	for _, id := range sortedmap.Keys(r.deps.Mirror.Machines) {
		machine := r.deps.Mirror.Machines[id]
		if !r.isRemovable(machine, needed[id]) {
			continue
		}
		switch machine.Record.State {
		case storage.MachineOpen:
			empty[id] = true
			r.closeOrRemove(machine, now)
		case storage.MachineCordoned:
			empty[id] = true
			if _, ok := r.emptySince[id]; !ok {
				r.emptySince[id] = now
			}
			if r.deps.Drains.MayScaleIn(machine, now-r.emptySince[id]) {
				r.deps.Agents.RequestRemoval(machine, agents.RemovalDrained)
			}
		case storage.MachineDraining:
			r.deps.Agents.RequestRemoval(machine, agents.RemovalDrained)
		}
	}
	for id := range r.emptySince {
		if !empty[id] {
			delete(r.emptySince, id)
			delete(r.closedAt, id)
		}
	}
}

// neededMachines returns the IDs of the machines that are kept even if they are empty: for headroom, for
// replacements of drained replicas, and for replicas that eviction permits move there.
func (r *Reconciler) neededMachines(now monotime.Micros) map[string]bool {
	needed := map[string]bool{}
	replacements := r.deps.Drains.ReplacementDemands()
	if r.settings.ServiceHeadroom > 0 || len(replacements) > 0 {
		snapshot := r.deps.Workload.Snapshot(now)
		// This also computes the demand, which isn't used here, because ordering the queue also tracks which
		// jobs are starved.
		_, bins := r.deps.Workload.DemandAndSupply(snapshot)
		needed = autoscaling.MachinesNeeded(append(snapshot.HeadroomDemand(), replacements...), bins)
	}
	for id := range r.deps.Drains.ReservedByMachine() {
		needed[id] = true
	}
	return needed
}

// isRemovable reports whether an own machine is empty, isn't needed and isn't being removed already. A
// failure-prone machine is removable even if it is needed.
func (r *Reconciler) isRemovable(machine *mirror.Machine, needed bool) bool {
	agent := r.deps.Agents.Of(machine)
	if agent == nil || machine.Record == nil || len(machine.Attempts) > 0 {
		return false
	}
	if needed && machine.Record.State == storage.MachineOpen && !agent.Failures().FailureProne() {
		return false
	}
	return agent.RemovalReason() == ""
}

// closeOrRemove closes an open machine that has been empty for closeAfterIntervals autoscaling intervals, and
// requests the removal of a machine that has been closed for the delay.
func (r *Reconciler) closeOrRemove(machine *mirror.Machine, now monotime.Micros) {
	since, ok := r.emptySince[machine.ID]
	if !ok {
		r.emptySince[machine.ID] = now
		return
	}
	closedAt, closed := r.closedAt[machine.ID]
	switch {
	case !closed && now-since >= closeAfterIntervals*r.settings.AutoscalingInterval.Micros():
		r.closedAt[machine.ID] = now
	case closed && now-closedAt >= r.Delay(machine.Record):
		r.deps.Agents.RequestRemoval(machine, agents.RemovalIdle)
	}
}

// Delay returns how long an empty machine stays closed before its removal is requested.
func (r *Reconciler) Delay(record *storage.ShardMachine) monotime.Micros {
	machineType := r.deps.Catalog.MachineTypes()[record.Type]
	return autoscaling.ScaleInDelay(machineType, record.Spot, r.settings.ScaleDownDelay.Micros())
}
