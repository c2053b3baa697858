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

// closeAfterIntervals is for how many autoscaling intervals an own machine is empty before it is closed to
// tasks.
const closeAfterIntervals = 2

// Agents has the agents of own machines.
type Agents interface {
	// Of is nil for a machine that isn't this controller's.
	Of(*mirror.Machine) *agents.Agent
	// RequestRemoval has the leader terminate a machine.
	RequestRemoval(machine *mirror.Machine, reason agents.RemovalReason)
}

// Drains tells what drains need of empty machines.
type Drains interface {
	// MayScaleIn reports whether a drained machine that has been empty for so long is to be removed.
	MayScaleIn(machine *mirror.Machine, empty monotime.Micros) bool
	// ReservedByMachine is what is reserved for replicas that are moved.
	ReservedByMachine() map[string]resources.Vector
	// ReplacementDemands is the demand of replicas that are to be moved; the caller may change it.
	ReplacementDemands() []*autoscaling.Demand
}

// Workload provides demand and supply, as for the autoscaler's passes.
type Workload interface {
	// Snapshot is what demand and supply are read from.
	Snapshot(now monotime.Micros) *autoscaling.Snapshot
	// DemandAndSupply lists the tasks without room that the quotas let run, and the machines up or requested.
	DemandAndSupply(*autoscaling.Snapshot) ([]*autoscaling.Demand, []*autoscaling.Bin)
}

// Catalog has the machine types that the cloud offers.
type Catalog interface {
	// MachineTypes is nil until the types are known.
	MachineTypes() map[string]protocol.MachineType
}

// Dependencies are what a Reconciler needs of the controller it belongs to.
type Dependencies struct {
	Mirror   *mirror.Mirror
	Agents   Agents
	Drains   Drains
	Workload Workload
	Catalog  Catalog
}

// Reconciler has one controller's empty machines removed. It is used by one goroutine.
type Reconciler struct {
	settings config.Settings
	deps     Dependencies

	emptySince  map[string]monotime.Micros // since when a machine is empty
	closedAt    map[string]monotime.Micros // when a machine was closed to tasks
	nextCheckAt monotime.Micros
}

// New makes a controller's reconciler.
func New(settings config.Settings, deps Dependencies) *Reconciler {
	return &Reconciler{
		settings:   settings,
		deps:       deps,
		emptySince: map[string]monotime.Micros{},
		closedAt:   map[string]monotime.Micros{},
	}
}

// IsClosed reports whether a machine is closed to tasks that have room elsewhere.
func (r *Reconciler) IsClosed(machine string) bool {
	_, closed := r.closedAt[machine]
	return closed
}

// Reopen opens a machine that gets a task.
func (r *Reconciler) Reopen(machine string) { delete(r.closedAt, machine) }

// Reconcile closes own machines that are empty, and has them removed after the delay if they still are.
// Machines that headroom or drains need are kept. Closing writes nothing: a task that needs the machine opens
// it again.
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

// neededMachines lists the machines that are kept although they are empty: for headroom, for replacements of
// drained replicas, and for replicas that permits move there.
func (r *Reconciler) neededMachines(now monotime.Micros) map[string]bool {
	needed := map[string]bool{}
	replacements := r.deps.Drains.ReplacementDemands()
	if r.settings.ServiceHeadroom > 0 || len(replacements) > 0 {
		snapshot := r.deps.Workload.Snapshot(now)
		// The demand is computed too, though it isn't used: ordering the queue follows which jobs are
		// starved.
		_, bins := r.deps.Workload.DemandAndSupply(snapshot)
		needed = autoscaling.MachinesNeeded(append(snapshot.HeadroomDemand(), replacements...), bins)
	}
	for id := range r.deps.Drains.ReservedByMachine() {
		needed[id] = true
	}
	return needed
}

// isRemovable reports whether an own machine is empty and neither needed nor on its way out. One that is
// prone to failures isn't kept for what needs it.
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

// closeOrRemove closes an open machine that has been empty for a while, and removes it after the delay.
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

// Delay is how long an empty machine stays closed before it is removed.
func (r *Reconciler) Delay(record *storage.ShardMachine) monotime.Micros {
	machineType := r.deps.Catalog.MachineTypes()[record.Type]
	return autoscaling.ScaleInDelay(machineType, record.Spot, r.settings.ScaleDownDelay.Micros())
}
