package placement

import (
	"pipitgap/internal/durations"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// Delays of the next pass after a failed commit.
const (
	passDelayAfterRejection = monotime.Second
	passDelayAfterFailure   = 300 * monotime.Millisecond
)

// RunPass runs one scheduling pass over this controller's shards. It releases tasks that have ended, adds and
// removes machines, assigns waiting tasks to free room, and writes each changed shard once. The number of
// writes therefore does not grow with the number of tasks that start and end. If there is more to write than
// the state service takes, passes run less often and each write carries more changes.
func (sc *Scheduler) RunPass(now monotime.Micros) {
	if sc.deps.Store.Unavailable() || !sc.deps.Membership.HoldsLease(now) || sc.deps.Quota.WriteInFlight() {
		return // assignments depend on the quota shares that are being written
	}
	if sc.deps.Shards.ShouldAwaitCommit(now) {
		return
	}
	sc.passNeeded = false
	updates := sc.deps.Shards.PrepareUpdates(now)
	updates = sc.deps.Shards.AdmitClaimRequests(updates, now)
	sc.placeTasks(updates, now)
	written := 0
	// Updates that take over machines change this controller's quota shares, and the assignments of the other
	// updates compare the version of these shares. The takeovers are committed last, because otherwise all
	// other commits would fail.
	for _, takingOver := range []bool{false, true} {
		for _, update := range updates {
			if update.Changed() && update.TakesOverMachines() == takingOver {
				written++
				sc.deps.Shards.Commit(update, now)
			}
		}
	}
	sc.nextPassAt = now + max(
		2*durations.FastTickInterval,
		monotime.FromSeconds(float64(written)/sc.deps.Store.ShardWritesPerSecond()),
	)
}

// HandleShardCommitResult requests the next pass when the result of a shard's commit is known. It delays that
// pass if it would decide on the same outdated records or fail again.
func (sc *Scheduler) HandleShardCommitResult(result protocol.StoreResult) {
	sc.RequestPass()
	switch result.Outcome {
	case protocol.OK, protocol.Unknown:
	case protocol.Conflict:
		watchInterval := sc.deps.Store.WatchInterval()
		for _, key := range result.Failed {
			if kind, job, _ := storage.SplitKey(key); kind == storage.KindOpenJob {
				sc.delayPlacement(job, sc.deps.Environment.Now()+watchInterval)
			}
		}
		sc.DelayPassUntil(sc.deps.Environment.Now() + watchInterval/2)
	case protocol.Rejected:
		sc.DelayPassUntil(sc.deps.Environment.Now() + passDelayAfterRejection)
	default:
		sc.DelayPassUntil(sc.deps.Environment.Now() + passDelayAfterFailure)
	}
}
