package shards

import (
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

const (
	// bytesPerMovedAttempt is the room in a shard that an attempt needs which comes along with its machine.
	bytesPerMovedAttempt = 40
	// maxComparesPerOp bounds the compares of an update by the operations that a transaction takes.
	maxComparesPerOp = 3
)

// admission is how one pass puts the machines that wait to be claimed into shards.
type admission struct {
	*Manager
	updates       []*Update
	memberVersion uint64          // of the controller's own member record
	inDoubt       map[string]bool // machines that a commit in doubt may have claimed
	// Only one commit of a pass takes machines over, from a few shards: each such commit changes this
	// controller's quota shares, so only one of several could succeed.
	takeoverUpdate *Update
	sources        map[string]bool // the shards that it takes from
}

// AdmitClaimRequests puts machines that wait to be claimed into the updates of a pass, and opens new shards
// where no other has the room. It gives the updates with those of new shards added.
func (m *Manager) AdmitClaimRequests(updates []*Update, now monotime.Micros) []*Update {
	// Every claim is conditional on this controller's present member record: a commit of an earlier
	// incarnation or membership that arrives late must not put a machine into a second shard.
	member := m.mirror.Members[m.cfg.Node]
	if member.Version == 0 || member.Record.Incarnation != m.cfg.Incarnation ||
		m.mirror.WatchedRevision < member.Version {
		return updates
	}
	a := &admission{
		Manager:       m,
		updates:       updates,
		memberVersion: member.Version,
		inDoubt:       m.machinesInDoubt(),
		sources:       map[string]bool{},
	}
	for _, id := range m.orderedClaimRequests() {
		a.admit(id, now)
	}
	return a.updates
}

// admit puts one machine into a shard, if it may be claimed now.
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

// admitNewMachine puts a machine that has come up into the shard with the most room.
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

// takeOver takes a machine that has lost its owner over from that controller's shard.
func (a *admission) takeOver(request *claimRequest, machine *mirror.Machine) {
	source := machine.Shard.Name
	if request.fromShard == nil || request.fromShard.Name != source ||
		!a.membership.IsMember(machine.Owner()) || a.claimsInFlight[source] {
		return // the machine has moved, or its whole shard is being claimed
	}
	if !a.sources[source] && len(a.sources) >= a.takeoverLimiter.sourceLimit {
		return
	}
	need := a.spaceNeedOf(request, len(machine.Attempts))
	update := a.takeoverUpdate
	switch {
	case update == nil:
		if update = a.leastFilled(need); update == nil {
			update = a.addNewShard()
		}
	case !a.fits(update, need):
		return // the next pass takes over the rest
	}
	if !a.reserve(update, machine.ID, need) {
		return
	}
	a.takeoverUpdate, a.sources[source] = update, true
	a.moveMachine(update, machine, request.heartbeat.Endpoint)
}

// spaceNeed is the room that a machine needs in a shard.
type spaceNeed struct {
	plannedBytes int // once it is full
	bytes        int // with the attempts that are on it now
}

// spaceNeedOf estimates the room that a machine needs in a shard, given the attempts that come along with it.
func (a *admission) spaceNeedOf(request *claimRequest, attempts int) spaceNeed {
	return spaceNeed{
		plannedBytes: a.bytesForMachine(request.heartbeat.Type),
		bytes:        bytesPerMachine + bytesPerMovedAttempt*attempts,
	}
}

// fits reports whether a shard has room for another machine.
func (a *admission) fits(update *Update, need spaceNeed) bool {
	limit := FillBytes(a.cfg.MaxValueBytes)
	return update.plannedBytes+need.plannedBytes <= limit && update.maxBytes+need.bytes <= limit
}

// leastFilled returns the update of the shard with the most room of those that a machine fits in; nil if there
// is none.
func (a *admission) leastFilled(need spaceNeed) *Update {
	var best *Update
	for _, update := range a.updates {
		if a.fits(update, need) && (best == nil || update.plannedBytes < best.plannedBytes) {
			best = update
		}
	}
	return best
}

// open opens a new shard.
func (a *admission) addNewShard() *Update {
	update := a.createShard()
	a.updates = append(a.updates, update)
	return update
}

// reserve has an update claim a machine; false if its commit would compare too many records.
func (a *admission) reserve(update *Update, machine string, need spaceNeed) bool {
	if update.Compares() > maxComparesPerOp*a.cfg.MaxTxnOps {
		return false
	}
	update.changed = true
	update.maxBytes += need.bytes
	update.plannedBytes += need.plannedBytes
	update.admittedMachines[machine] = true
	update.AddCompare(storage.MemberKey(a.cfg.Node), a.memberVersion)
	return true
}

// moveMachine takes a machine with all its attempts out of another controller's shard and puts it into an
// update, in one commit that is conditional on both shards.
func (m *Manager) moveMachine(update *Update, machine *mirror.Machine, endpoint string) {
	source := machine.Shard
	remaining := update.sourceRecord(source)
	delete(remaining.Machines, machine.ID)
	record := *machine.Record
	record.Endpoint = endpoint
	record.Claim = max(machine.Claim(), update.next.Claim) + 1
	update.next.AddMachine(machine.ID, record)
	useByTeam := map[string]resources.Vector{}
	for task, attempt := range machine.Attempts {
		previous, _ := source.Record.FindAttempt(task.Job, task.Index)
		remaining.Release(task.Job, task.Index, false)
		update.next.Assign(task.Job, storage.Attempt{
			Task:     task.Index,
			Machine:  machine.ID,
			Number:   attempt,
			Starting: previous.Starting,
		})
		if job := m.mirror.Jobs[task.Job]; job != nil {
			mirror.AddUse(useByTeam, job.Record.Spec.Team, job.TaskResources, 1)
		}
	}
	update.putSourceRecord(source, remaining)
	m.quota.Transfer(&update.txn, update.comparedKeys, source.Record.Owner, m.cfg.Node, useByTeam)
}

// sourceRecord returns a copy of the record of a shard that machines are taken from, without those that the
// update has taken already.
func (u *Update) sourceRecord(shard *mirror.Shard) *storage.Shard {
	record := shard.Record
	if i := u.findPut(storage.ShardKey(shard.Name)); i >= 0 {
		record, _ = storage.DecodeShard(u.txn.Then[i].Value, nil)
	}
	return record.Clone()
}

// putSourceRecord has the update's commit write the record of a shard that machines are taken from.
func (u *Update) putSourceRecord(shard *mirror.Shard, record *storage.Shard) {
	key := storage.ShardKey(shard.Name)
	encoded, _ := record.Encode()
	if i := u.findPut(key); i >= 0 {
		u.txn.Then[i].Value = encoded
		return
	}
	u.AddCompare(key, shard.Version)
	u.txn.Then = append(u.txn.Then, protocol.Op{Put: key, Value: encoded})
}

// findPut finds the operation of the update's commit that writes a key; -1 if there is none.
func (u *Update) findPut(key string) int {
	for i, operation := range u.txn.Then {
		if operation.Put == key {
			return i
		}
	}
	return -1
}
