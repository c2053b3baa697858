package placement

import (
	"pipitgap/internal/durations"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// Delays of the next pass after a commit that failed.
const (
	passDelayAfterRejection = monotime.Second
	passDelayAfterFailure   = 300 * monotime.Millisecond
)

// RunPass is a round over this controller's shards: what has ended is released, machines come and go, waiting
// tasks are assigned to what is free, and each shard that has changed is written once. However many tasks
// start and end, that is what it costs; with more to write than the state service takes, passes come less
// often and each carries more.
func (sc *Scheduler) RunPass(now monotime.Micros) {
	if sc.deps.Store.Unavailable() || !sc.deps.Membership.HoldsLease(now) || sc.deps.Quota.WriteInFlight() {
		return // assignments depend on the quota shares that are being written
	}
	if sc.deps.Shards.AwaitsCommit(now) {
		return
	}
	sc.passNeeded = false
	updates := sc.deps.Shards.PrepareUpdates(now)
	updates = sc.deps.Shards.AdmitClaimRequests(updates, now)
	sc.placeTasks(updates, now)
	written := 0
	// Updates that take machines over change this controller's quota shares, on which the assignments of the
	// other updates are conditional: they are committed last, or all others would fail.
	for _, takingOver := range []bool{false, true} {
		for _, update := range updates {
			if update.Changed() && update.ChangesOtherRecords() == takingOver {
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

// HandleShardCommitResult requests the next pass once a shard's commit has an outcome, and delays it where it
// would decide on the same outdated records or fail again.
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
