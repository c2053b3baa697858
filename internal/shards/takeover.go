package shards

import (
	"pipitgap/internal/mirror"
	"pipitgap/internal/protocol"
	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

// takeOver moves a machine that has lost contact with its owner out of the owner's shard.
func (a *admission) takeOver(request *claimRequest, machine *mirror.Machine) {
	source := machine.Shard.Name
	if request.fromShard == nil || request.fromShard.Name != source ||
		!a.membership.IsMember(machine.Owner()) || a.claimsInFlight[source] {
		return // the machine has moved, its owner is absent, or a claim of its whole shard is in flight
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
		return // the next pass takes over the remaining machines
	}
	if !a.reserve(update, machine.ID, need) {
		return
	}
	a.takeoverUpdate, a.sources[source] = update, true
	a.moveMachine(update, machine, request.heartbeat.Endpoint)
}

// moveMachine moves a machine with all its attempts from another controller's shard into an update. The
// commit is conditional on the versions of both shards.
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
			mirror.AddUsage(useByTeam, job.Record.Spec.Team, job.TaskResources, 1)
		}
	}
	update.putSourceRecord(source, remaining)
	m.quota.Transfer(&update.txn, update.comparedKeys, source.Record.Owner, m.cfg.Node, useByTeam)
}

// sourceRecord returns a copy of the record of a shard that the update takes machines from. The copy lacks the
// machines that the update has already taken.
func (u *Update) sourceRecord(shard *mirror.Shard) *storage.Shard {
	record := shard.Record
	if i := u.findPut(storage.ShardKey(shard.Name)); i >= 0 {
		record, _ = storage.DecodeShard(u.txn.Then[i].Value, nil)
	}
	return record.Clone()
}

// putSourceRecord makes the commit write the record of a shard that the update takes machines from.
func (u *Update) putSourceRecord(shard *mirror.Shard, record *storage.Shard) {
	key := storage.ShardKey(shard.Name)
	encoded, _ := record.Encode()
	if i := u.findPut(key); i >= 0 {
		u.txn.Then[i].Value = encoded
		return
	}
	u.takesOver = true
	u.AddCompare(key, shard.Version)
	u.txn.Then = append(u.txn.Then, protocol.Op{Put: key, Value: encoded})
}

// findPut returns the index of the operation in txn.Then that writes a key, or -1 if there is none.
func (u *Update) findPut(key string) int {
	for i, operation := range u.txn.Then {
		if operation.Put == key {
			return i
		}
	}
	return -1
}
