package shards

import (
	"pipitgap/internal/monotime"
	"pipitgap/internal/storage"
)

const (
	// bytesPerMovedAttempt is the estimated encoded size of an attempt that moves with its machine.
	bytesPerMovedAttempt = 40
	// maxComparesPerOp is the limit on an update's compares, per operation that a transaction may contain.
	maxComparesPerOp = 3
)

// admission assigns machines with pending claim requests to shards during one scheduling pass.
type admission struct {
	*Manager
	updates []*Update
	inDoubt map[string]bool // machines that an unresolved commit may have claimed
	// takeoverUpdate is the only update of a pass that takes over machines of other controllers, from at most
	// sourceLimit shards. Each takeover commit changes this controller's quota shares, so of several such
	// commits only one could succeed.
	takeoverUpdate *Update
	sources        map[string]bool // names of the shards that takeoverUpdate takes machines from
}

// AdmitClaimRequests adds machines with pending claim requests to the updates of a pass. It creates new shards
// for machines that fit into no existing one, and returns the updates including those of new shards.
func (m *Manager) AdmitClaimRequests(updates []*Update, now monotime.Micros) []*Update {
	// Every claim is conditional on this controller's current member record. Otherwise a delayed commit of an
	// earlier incarnation or membership could add a machine to a second shard.
	if _, current := m.membership.IncarnationCompare(); !current {
		return updates
	}
	a := &admission{
		Manager: m,
		updates: updates,
		inDoubt: m.machinesInDoubt(),
		sources: map[string]bool{},
	}
	for _, id := range m.orderedClaimRequests() {
		a.admit(id, now)
	}
	return a.updates
}

// admit adds one machine to an update if this controller may claim it now. It completes the request if the
// machine is already an own one, if a scale-in request names the machine, or after claimRequestTimeout.
func (a *admission) admit(id string, now monotime.Micros) {
	request, machine := a.claimRequests[id], a.mirror.Machines[id]
	inShard := machine != nil && machine.Record != nil
	own := inShard && a.agents.Has(machine)
	if own || now-request.requestedAt > claimRequestTimeout || a.mirror.ScaleInOfMachine[id] != "" {
		a.completeClaimRequest(id, own)
		return
	}
	switch {
	case a.inDoubt[id]:
	case inShard:
		a.takeOver(request, machine)
	default:
		a.admitNewMachine(request)
	}
}

// admitNewMachine adds a new machine to the shard with the most space. The machine must belong to a scale-out
// request that designates this controller for it.
func (a *admission) admitNewMachine(request *claimRequest) {
	heartbeat := &request.heartbeat
	id := heartbeat.Machine
	scaleOutName := a.mirror.ScaleOutOfMachine[id]
	scaleOut := a.mirror.ScaleOuts[scaleOutName]
	if scaleOut == nil || a.agents.DesignatedController(scaleOut, id) != a.cfg.Node ||
		a.mirror.WatchedRevision < scaleOut.Version {
		return
	}
	need := a.spaceNeedOf(request, 0)
	update := a.leastFilled(need)
	if update == nil {
		update = a.addNewShard()
	}
	if !a.reserve(update, id, need) {
		return
	}
	update.next.AddMachine(id, storage.ShardMachine{
		Type:     heartbeat.Type,
		Zone:     heartbeat.Zone,
		Spot:     heartbeat.Spot,
		Endpoint: heartbeat.Endpoint,
		State:    storage.MachineOpen,
		Claim:    heartbeat.FencingToken>>storage.TokenCounterBits + 1,
	})
	update.AddCompare(storage.ScaleOutKey(scaleOutName), scaleOut.Version)
}

// spaceNeed is the estimated encoded size of a machine in a shard.
type spaceNeed struct {
	plannedBytes int // with the machine fully used
	bytes        int // with the machine's current attempts
}

// spaceNeedOf estimates the encoded size of a machine in a shard, given the number of attempts that move with
// it.
func (a *admission) spaceNeedOf(request *claimRequest, attempts int) spaceNeed {
	return spaceNeed{
		plannedBytes: a.bytesForMachine(request.heartbeat.Type),
		bytes:        bytesPerMachine + bytesPerMovedAttempt*attempts,
	}
}

// fits reports whether a shard has space for another machine, both now and once all its machines are fully
// used.
func (a *admission) fits(update *Update, need spaceNeed) bool {
	limit := FillBytes(a.cfg.MaxValueBytes)
	return update.plannedBytes+need.plannedBytes <= limit && update.maxBytes+need.bytes <= limit
}

// leastFilled returns the update with the smallest plannedBytes among those that a machine fits into (worst
// fit). It returns nil if the machine fits into none.
func (a *admission) leastFilled(need spaceNeed) *Update {
	var best *Update
	for _, update := range a.updates {
		if a.fits(update, need) && (best == nil || update.plannedBytes < best.plannedBytes) {
			best = update
		}
	}
	return best
}

// addNewShard creates a new shard and adds its update to the pass.
func (a *admission) addNewShard() *Update {
	update := a.createShard()
	a.updates = append(a.updates, update)
	return update
}

// reserve makes an update claim a machine and reserves space for it. It returns false if the commit already
// compares too many records.
func (a *admission) reserve(update *Update, machine string, need spaceNeed) bool {
	if update.Compares() > maxComparesPerOp*a.cfg.MaxTxnOps {
		return false
	}
	update.changed = true
	update.maxBytes += need.bytes
	update.plannedBytes += need.plannedBytes
	update.admittedMachines[machine] = true
	update.requireIncarnation()
	return true
}
