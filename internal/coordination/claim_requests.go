package coordination

import (
	"fmt"
	"sort"

	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/resources"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// Machines that have come up, or have lost their owner, on their way into our shards.

// admitClaimRequests puts machines that have come up, or come over to us, into shards; it
// opens a new shard when no other has the room.
func (sm *shardManager) admitClaimRequests(updates []*ShardUpdate, now monotime.Micros) []*ShardUpdate {
	inDoubt := map[string]bool{}
	for _, tracker := range sm.trackers {
		for _, update := range tracker.updatesInDoubt {
			for id := range update.admittedMachines {
				inDoubt[id] = true
			}
		}
	}
	// Only as the member that we are now: what an earlier life of ours or a lapsed
	// membership sent off must not put a machine into a second shard.
	member := sm.c.mirror.Members[sm.c.node]
	if member.Version == 0 || member.Record.Incarnation != sm.c.incarnation ||
		sm.c.mirror.WatchedRevision < member.Version {
		return updates
	}
	var takeoverUpdate *ShardUpdate // our shard that takes machines from other partitions
	moved := map[string]bool{}      // the shards that it takes from
	for _, id := range sm.orderedClaimRequests() {
		pendingClaim := sm.claimRequests[id]
		machine := sm.c.mirror.Machines[id]
		known := machine != nil && machine.Record != nil
		if now-pendingClaim.requestedAt > claimRequestTimeout ||
			known && sm.c.agents.agentOf(machine) != nil ||
			sm.c.mirror.ScaleInOfMachine[id] != "" {
			sm.completeClaimRequest(id, known && sm.c.agents.agentOf(machine) != nil)
			continue
		}
		if inDoubt[id] {
			continue
		}
		request := sm.c.mirror.ScaleOuts[sm.c.mirror.ScaleOutOfMachine[id]]
		switch {
		case known && (pendingClaim.fromShard == nil || !sm.c.membership.IsMember(machine.Owner()) || pendingClaim.fromShard.Name != machine.Shard.Name || sm.claimsInFlight[machine.Shard.Name]):
			continue // somebody else has it
		case !known && (request == nil || sm.c.agents.designatedController(request, id) != sm.c.node || sm.c.mirror.WatchedRevision < request.Version):
			continue
		}
		need := sm.shardBytesForMachine(pendingClaim.report.Type)
		moving := 0
		if known {
			moving = 40 * len(machine.Attempts)
		}
		// One commit a pass takes machines over, from a few shards: each changes our
		// shares of the teams' limits, so of several but one could be made.
		if known && !moved[machine.Shard.Name] && len(moved) >= sm.takeoverLimiter.sourceLimit {
			continue
		}
		update := takeoverUpdate
		if !known || update == nil {
			update = nil
			for _, other := range updates {
				if other.plannedBytes+need <= sm.c.scheduler.assignmentShardBytes() &&
					other.maxBytes+moving+bytesPerMachine <= sm.c.scheduler.assignmentShardBytes() &&
					(update == nil || other.plannedBytes < update.plannedBytes) {
					update = other
				}
			}
		}
		if update == nil || update.plannedBytes+need > sm.c.scheduler.assignmentShardBytes() ||
			update.maxBytes+moving+bytesPerMachine > sm.c.scheduler.assignmentShardBytes() {
			if known && takeoverUpdate != nil {
				continue // the rest the next time
			}
			sm.shardSequence++
			name := fmt.Sprintf("%s.%x.%d", sm.c.node, sm.c.incarnation, sm.shardSequence)
			next := &storage.Shard{Owner: sm.c.node, Incarnation: sm.c.incarnation, Claim: 1,
				Machines: map[string]*storage.ShardMachine{}, Jobs: map[string]*storage.ShardJob{}}
			sm.newShards[name] = next
			update = NewShardUpdate(name, nil, next)
			update.maxBytes = update.next.MaxEncodedSize()
			updates = append(updates, update)
		}
		if len(update.txn.If) > 3*sm.c.cfg.Facts.State.TxnOps {
			continue
		}
		update.changed = true
		update.maxBytes += bytesPerMachine + moving
		update.plannedBytes += need
		update.admittedMachines[id] = true
		update.AddCompare(storage.Key(storage.KindMember, sm.c.node), member.Version)
		if known {
			takeoverUpdate, moved[machine.Shard.Name] = update, true
			sm.moveMachine(update, machine, &pendingClaim.report)
			continue
		}
		update.next.AddMachine(
			id,
			storage.ShardMachine{
				Type:     pendingClaim.report.Type,
				Zone:     pendingClaim.report.Zone,
				Spot:     pendingClaim.report.Spot,
				Endpoint: pendingClaim.report.Endpoint,
				State:    storage.MachineOpen,
				Claim:    pendingClaim.report.FencingToken>>32 + 1,
			},
		)
		update.AddCompare(
			storage.Key(storage.KindScaleOut, sm.c.mirror.ScaleOutOfMachine[id]),
			request.Version,
		)
	}
	return updates
}

// takeoverLimiter bounds how many shards of other partitions a commit takes machines over from. Their
// owner may be alive, only not for these machines, and goes on writing its shards: a commit that
// asks for the versions of four of them failed time and again until the leases had ended.
type takeoverLimiter struct {
	sourceLimit    int             // shards that the next commit may take from
	maxSourceLimit int             // and at most
	conflictedKeys map[string]bool // keys of those that the last one failed on: they come last
}

// maxTakeoverSources is how many shards of other partitions a commit may take machines from at most.
const maxTakeoverSources = 4

// newTakeoverLimiter begins with as many sources as a commit holds: beside our shard, each of theirs and
// its partition's shares change, and ours.
func newTakeoverLimiter(txnOps int) takeoverLimiter {
	most := max(1, min(maxTakeoverSources, (txnOps-2)/2))
	return takeoverLimiter{sourceLimit: most, maxSourceLimit: most, conflictedKeys: map[string]bool{}}
}

// recordOutcome follows what became of a commit that took machines over.
func (a *takeoverLimiter) recordOutcome(result protocol.StoreResult) {
	clear(a.conflictedKeys)
	switch result.Outcome {
	case protocol.OK:
		a.sourceLimit = min(2*a.sourceLimit, a.maxSourceLimit)
	case protocol.Conflict:
		a.sourceLimit = max(1, a.sourceLimit/2)
		for _, key := range result.Failed {
			a.conflictedKeys[key] = true
		}
	}
}

// orderedClaimRequests lists the machines that wait to be claimed; last those that stand in
// shards on which the commit before has failed.
func (sm *shardManager) orderedClaimRequests() []string {
	ids := sortedmap.Keys(sm.claimRequests)
	last := func(id string) bool {
		fromShard := sm.claimRequests[id].fromShard
		return fromShard != nil &&
			sm.takeoverLimiter.conflictedKeys[storage.Key(storage.KindShard, fromShard.Name)]
	}
	sort.SliceStable(ids, func(a, b int) bool { return !last(ids[a]) && last(ids[b]) })
	return ids
}

// moveMachine takes a machine with all that is on it out of another partition's shard and
// puts it into an update, in one commit that both shards must agree to.
func (sm *shardManager) moveMachine(
	update *ShardUpdate,
	machine *mirror.Machine,
	report *protocol.Heartbeat,
) {
	fromShard := machine.Shard
	key := storage.Key(storage.KindShard, fromShard.Name)
	at := -1
	left := fromShard.Record
	for i, operation := range update.txn.Then {
		if operation.Put == key {
			at = i
			left, _ = storage.DecodeShard(operation.Value, nil)
		}
	}
	left = left.Clone()
	record := *machine.Record
	record.Endpoint = report.Endpoint
	record.Claim = max(machine.Claim(), update.next.Claim) + 1
	delete(left.Machines, machine.ID)
	update.next.AddMachine(machine.ID, record)
	useByTeam := map[string]resources.Vector{}
	for task, attempt := range machine.Attempts {
		before, _ := fromShard.Record.FindAttempt(task.Job, task.Index)
		left.Release(task.Job, task.Index, false)
		update.next.Assign(
			task.Job,
			storage.Attempt{
				Task:     task.Index,
				Machine:  machine.ID,
				Number:   attempt,
				Starting: before.Starting,
			},
		)
		if job := sm.c.mirror.Jobs[task.Job]; job != nil {
			mirror.AddUse(useByTeam, job.Record.Spec.Team, job.TaskResources, 1)
		}
	}
	encoded, _ := left.Encode()
	if at >= 0 {
		update.txn.Then[at].Value = encoded
	} else {
		update.AddCompare(key, fromShard.Version)
		update.txn.Then = append(update.txn.Then, protocol.Op{Put: key, Value: encoded})
	}
	sm.c.quota.Transfer(
		&update.txn,
		update.comparedKeys,
		fromShard.Record.Owner,
		sm.c.node,
		useByTeam,
	)
}

// completeClaimRequest tells those who wait for a machine's claim.
func (sm *shardManager) completeClaimRequest(id string, ok bool) {
	if pendingClaim := sm.claimRequests[id]; pendingClaim != nil {
		delete(sm.claimRequests, id)
		for _, f := range pendingClaim.callbacks {
			f(ok)
		}
	}
}
