package coordination

import (
	"context"
	"log/slog"

	"pipitgap/internal/agents"
	"pipitgap/internal/durations"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// shardManager owns the shards of this controller: their updates in doubt, claims of machines, and how shards
// change hands.
type shardManager struct {
	c *Controller

	trackers        map[string]*shardTracker
	newShards       map[string]*storage.Shard // new shards that the mirror hasn't yet
	shardSequence   int
	takeoverLimiter takeoverLimiter
	claimRequests   map[string]*claimRequest
	claimsObserved  map[string]observedClaim
	claimsInFlight  map[string]bool // shards being taken over
}

// Bounds of shards and turns.
const (
	// a commit in flight holds the next pass up for so long
	maxInFlightCommitWait = 600 * monotime.Millisecond
	claimRequestTimeout   = 2500 * monotime.Millisecond
	// bytes that a machine takes in a shard, with its partition of the jobs' ids
	bytesPerMachine          = 60
	bytesPerCPU              = 7 // and what tasks on each of its CPUs take: 14 for one of 2 CPUs
	staleEntriesRewriteDelay = 5 * monotime.Second
	maxShardFill             = 0.95 // of a value: up to this a shard is filled
)

// shardTracker is what we note about one of our shards beside the mirror.
type shardTracker struct {
	commitInFlightSince monotime.Micros // a commit of ours is in flight since then; 0: none
	// What commits in flight or without an answer may yet bring about. Each was
	// conditional on a version of the shard, and only once the mirror shows another
	// is it settled whether it came about. Until then nothing later that is said of
	// the shard clears it: a second commit that fails may fail because of the first.
	updatesInDoubt []*ShardUpdate
	// since when it holds entries of jobs that are over, or marks that aren't true any more
	staleSince monotime.Micros
}

// claimRequest is a machine's worker that waits to be claimed by us.
type claimRequest struct {
	report      protocol.Heartbeat
	fromShard   *mirror.Shard // of another partition, if it has lost its owner
	requestedAt monotime.Micros
	callbacks   []func(ok bool)
}

// observedClaim is since when we know of the claim that a shard is held under.
type observedClaim struct {
	number, incarnation uint64
	observedAt          monotime.Micros
}

// ownsShard tells whether a shard is ours, in this life of ours.
func (sm *shardManager) ownsShard(shard *mirror.Shard) bool {
	return shard.Record.Owner == sm.c.node && shard.Record.Incarnation == sm.c.incarnation
}

func (sm *shardManager) trackerOf(name string) *shardTracker {
	tracker := sm.trackers[name]
	if tracker == nil {
		tracker = &shardTracker{}
		sm.trackers[name] = tracker
	}
	return tracker
}

// resolveUpdates forgets updates that were conditional on another version than the shard's.
func (s *shardTracker) resolveUpdates(version uint64) {
	var remaining []*ShardUpdate
	for _, update := range s.updatesInDoubt {
		if update.PreviousVersion() == version {
			remaining = append(remaining, update)
		}
	}
	s.updatesInDoubt = remaining
}

// removeUpdate forgets an update whose commit is known not to have been made.
func (s *shardTracker) removeUpdate(update *ShardUpdate) {
	for i, other := range s.updatesInDoubt {
		if other == update {
			s.updatesInDoubt = append(s.updatesInDoubt[:i:i], s.updatesInDoubt[i+1:]...)
			return
		}
	}
}

// onShardChange follows a change of a shard: whose machines they are now, and that
// what was in doubt about the version before is settled.
func (sm *shardManager) onShardChange(name string) {
	shard := sm.c.mirror.Shards[name]
	if tracker := sm.trackers[name]; tracker != nil {
		tracker.resolveUpdates(sm.c.mirror.VersionOf(storage.Key(storage.KindShard, name)))
	}
	if shard == nil {
		delete(sm.trackers, name)
		delete(sm.claimsObserved, name)
		return
	}
	delete(sm.newShards, name)
	if seen := sm.claimsObserved[name]; seen.number != shard.Record.Claim ||
		seen.incarnation != shard.Record.Incarnation {
		sm.claimsObserved[name] = observedClaim{shard.Record.Claim, shard.Record.Incarnation, sm.c.now()}
	}
	mine := sm.ownsShard(shard)
	for id := range shard.Record.Machines {
		if machine := sm.c.mirror.Machines[id]; machine != nil &&
			(mine || sm.c.agents.agentOf(machine) != nil) {
			sm.c.agents.updateAgentOwnership(machine)
		}
	}
}

// runSchedulingPass is a partition's round over its shards: what has ended is taken off, waiting
// tasks are given to what is free, machines come and go, and each shard that
// changed is written once. However many tasks start and end, that is what it
// costs; when there is more to write than the state service takes, passes come
// less often and each carries more.
func (sc *scheduler) runPass(now monotime.Micros) {
	if sc.c.store.Unavailable() || !sc.c.membership.HoldsLease(now) || sc.c.quota.WriteInFlight() {
		return // assignments depend on the shares being written just now
	}
	for name, tracker := range sc.c.shards.trackers {
		if tracker.commitInFlightSince != 0 && now-tracker.commitInFlightSince < maxInFlightCommitWait {
			return // placing on some shards only would miss what the others have
		}
		if tracker.commitInFlightSince == 0 && len(tracker.updatesInDoubt) == 0 &&
			sc.c.mirror.Shards[name] == nil &&
			sc.c.shards.newShards[name] == nil {
			delete(sc.c.shards.trackers, name)
		}
	}
	sc.passNeeded = false
	var updates []*ShardUpdate
	for _, name := range sortedmap.Keys(sc.c.mirror.Shards) {
		if shard := sc.c.mirror.Shards[name]; sc.c.shards.ownsShard(shard) &&
			sc.c.shards.trackerOf(name).commitInFlightSince == 0 {
			update := sc.c.shards.prepareShardUpdate(shard, now)
			update.plannedBytes = sc.c.shards.plannedShardBytes(update.next)
			updates = append(updates, update)
		}
	}
	for _, name := range sortedmap.Keys(sc.c.shards.newShards) {
		if tracker := sc.c.shards.trackerOf(name); tracker.commitInFlightSince == 0 {
			update := NewShardUpdate(name, nil, sc.c.shards.newShards[name])
			update.changed, update.next.Machines, update.next.Jobs = true, map[string]*storage.ShardMachine{}, map[string]*storage.ShardJob{}
			update.maxBytes = update.next.MaxEncodedSize()
			updates = append(updates, update)
		}
	}
	updates = sc.c.shards.admitClaimRequests(updates, now)
	sc.placeTasks(updates, now)
	written := 0
	// Those that take machines over change our shares of the teams' limits, which the
	// others' assignments ask for: they go last, or all others would fail.
	for _, moving := range []bool{false, true} {
		for _, update := range updates {
			if update.changed && (update.ChangesOtherRecords()) == moving {
				written++
				sc.c.shards.commitShardUpdate(update, now)
			}
		}
	}
	sc.nextPassAt = now + max(
		2*durations.FastTickInterval,
		monotime.FromSeconds(float64(written)/sc.c.store.ShardWritesPerSecond()),
	)
}

// prepareShardUpdate prepares the next version of a shard: outcomes, machines proven gone,
// states, and entries of jobs that are over.
func (sm *shardManager) prepareShardUpdate(shard *mirror.Shard, now monotime.Micros) *ShardUpdate {
	update := NewShardUpdate(shard.Name, shard, shard.Record.Clone())
	tracker := sm.trackerOf(shard.Name)
	update.changed = len(tracker.updatesInDoubt) > 0 // writing it anew settles what became of that
	var losses []replicaLoss
	release := func(machine *mirror.Machine, task mirror.TaskID, done bool) {
		losses = sm.c.drains.recordLoss(losses, machine, task)
		update.Release(machine.ID, task, done, sm.c.mirror.Jobs[task.Job])
	}
	marked := false
	for _, id := range sortedmap.Keys(shard.Record.Machines) {
		machine := sm.c.mirror.Machines[id]
		if machine == nil || machine.Shard != shard {
			continue
		}
		if removal := sm.c.mirror.ScaleIns[sm.c.mirror.ScaleInOfMachine[id]]; removal != nil &&
			removal.Record.Gone {
			for task := range machine.Attempts {
				release(machine, task, false)
			}
			delete(update.next.Machines, id)
			update.changed = true
			continue
		}
		agent := sm.c.agents.agentOf(machine)
		if agent == nil {
			continue
		}
		agent.EachPendingOutcome(machine, func(task mirror.TaskID, outcome agents.Outcome) {
			release(machine, task, outcome == agents.OutcomeCompleted)
		})
		if want := sm.c.agents.desiredMachineState(machine); want != machine.Record.State {
			update.next.SetMachineState(id, want)
			update.changed = true
		}
		if sm.c.drains.updateStartingMarks(update.next, machine, now) {
			marked = true
		}
	}
	stale := 0
	if marked && sm.c.drains.hasWork() {
		update.changed = true // a drain waits for that
	} else if marked {
		stale++
	}
	for id, entry := range shard.Record.Jobs {
		if sm.c.mirror.Jobs[id] == nil && len(entry.Attempts) == 0 &&
			sm.c.mirror.WatchedRevision >= shard.Version {
			delete(update.next.Jobs, id)
			stale++
		}
	}
	if stale == 0 {
		tracker.staleSince = 0
	} else if tracker.staleSince == 0 {
		tracker.staleSince = now
	} else if now-tracker.staleSince > staleEntriesRewriteDelay {
		update.changed = true // else they go along with the next change
	}
	update.OnCommitted(func() { sm.c.drains.countCommittedLosses(losses) })
	update.maxBytes = update.next.MaxEncodedSize()
	return update
}

func (c *Controller) maxValueBytes() int { return int(c.cfg.Facts.State.ValueKB * 1024) }

// shardBytesForMachine is the room that a machine of a type needs in a shard.
func (sm *shardManager) shardBytesForMachine(typeName string) int {
	return bytesPerMachine + bytesPerCPU*int(sm.c.catalog.machineTypes[typeName].CPUs)
}

// plannedShardBytes is the room that a shard's machines will need once they are full. Going by
// what they take while they are empty put a third more of them into a shard than it
// had room for the tasks of: they stood half empty beside waiting tasks.
func (sm *shardManager) plannedShardBytes(shardRecord *storage.Shard) int {
	n := 0
	for _, machineRecord := range shardRecord.Machines {
		n += sm.shardBytesForMachine(machineRecord.Type)
	}
	return n
}

// commitShardUpdate commits an update.
func (sm *shardManager) commitShardUpdate(update *ShardUpdate, now monotime.Micros) {
	tracker := sm.trackerOf(update.name)
	key := storage.Key(storage.KindShard, update.name)
	if update.previous == nil && len(update.next.Machines) == 0 && len(tracker.updatesInDoubt) == 0 {
		delete(sm.newShards, update.name)
		return
	}
	txn := update.txn
	txn.If = append([]protocol.Compare{{Key: key, Version: update.PreviousVersion()}}, txn.If...)
	if update.previous != nil && len(update.next.Machines) == 0 && len(update.next.Jobs) == 0 {
		txn.Then = append(txn.Then, protocol.Op{Delete: key})
	} else {
		encoded, size := update.next.Encode()
		if size > sm.c.maxValueBytes() {
			// The bound on what is assigned keeps this from happening.
			sm.c.log.Error("shard exceeds value size limit", "shard", update.name, "bytes", size)
		}
		txn.Then = append(txn.Then, protocol.Op{Put: key, Value: encoded})
	}
	tracker.commitInFlightSince, tracker.updatesInDoubt = max(now, 1), append(tracker.updatesInDoubt, update)
	sm.c.replica.Commit(ratelimit.PriorityShardUpdate, txn, func(result protocol.StoreResult) {
		tracker.commitInFlightSince = 0
		sm.c.scheduler.requestPass()
		if update.ChangesOtherRecords() {
			sm.takeoverLimiter.recordOutcome(result)
		}
		if result.Outcome != protocol.Unknown && result.Outcome != protocol.OK {
			tracker.removeUpdate(update)
		}
		switch result.Outcome {
		case protocol.OK:
			sm.c.counters.tasksPlaced += len(update.assignedTasks)
			for _, callback := range update.committedCallbacks {
				callback()
			}
			for _, id := range sortedmap.Keys(update.completedTaskJobs) {
				sm.c.jobs.CompleteIfDone(id)
			}
			for _, id := range sortedmap.Keys(update.admittedMachines) {
				sm.completeClaimRequest(id, true)
			}
			for _, id := range sortedmap.Keys(update.machinesToSync) {
				if machine := sm.c.mirror.Machines[id]; machine != nil {
					sm.c.agents.syncCommands(machine)
				}
			}
			if sm.c.log.Enabled(context.Background(), slog.LevelDebug) {
				sm.c.log.Debug(
					"shard committed",
					"shard",
					update.name,
					"assigned",
					update.describeTasks(update.assignedTasks),
					"released",
					update.describeTasks(update.releasedTasks),
					"machines_claimed",
					len(update.admittedMachines),
					"max_bytes",
					update.maxBytes,
				)
			}
		case protocol.Unknown:
			tracker.resolveUpdates(sm.c.mirror.VersionOf(key))
		case protocol.Conflict:
			sm.c.log.Debug(
				"shard compare-and-swap conflict",
				"shard",
				update.name,
				"failed_keys",
				result.Failed,
			)
			for _, k := range result.Failed {
				// The next pass would decide on the same outdated record.
				if kind, name, _ := storage.SplitKey(k); kind == storage.KindOpenJob {
					sm.c.scheduler.delayPlacement(name, sm.c.now()+sm.c.store.WatchInterval())
				}
			}
			sm.c.scheduler.delayPassUntil(sm.c.now() + sm.c.store.WatchInterval()/2)
		case protocol.Rejected:
			sm.c.log.Error("shard rejected by state service", "shard", update.name)
			sm.c.scheduler.delayPassUntil(sm.c.now() + monotime.Second)
		default:
			sm.c.scheduler.delayPassUntil(sm.c.now() + 300*monotime.Millisecond)
		}
	})
}

// tasksInDoubt lists the tasks that a commit in doubt or in flight may have given
// to a machine: until that is settled no other may.
func (sm *shardManager) tasksInDoubt() map[mirror.TaskID]bool {
	out := map[mirror.TaskID]bool{}
	for _, tracker := range sm.trackers {
		for _, update := range tracker.updatesInDoubt {
			for task := range update.assignedTasks {
				out[task] = true
			}
		}
	}
	return out
}

func newShardManager(c *Controller) *shardManager {
	return &shardManager{
		c:               c,
		trackers:        map[string]*shardTracker{},
		newShards:       map[string]*storage.Shard{},
		takeoverLimiter: newTakeoverLimiter(c.cfg.Facts.State.TxnOps),
		claimRequests:   map[string]*claimRequest{},
		claimsObserved:  map[string]observedClaim{},
		claimsInFlight:  map[string]bool{},
	}
}
