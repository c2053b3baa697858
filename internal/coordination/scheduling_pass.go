package coordination

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

// runPass is a round over this controller's shards: what has ended is released, machines come and go, waiting
// tasks are assigned to what is free, and each shard that has changed is written once. However many tasks
// start and end, that is what it costs; with more to write than the state service takes, passes come less
// often and each carries more.
func (sc *scheduler) runPass(now monotime.Micros) {
	if sc.c.store.Unavailable() || !sc.c.membership.HoldsLease(now) || sc.c.quota.WriteInFlight() {
		return // assignments depend on the quota shares that are being written
	}
	if sc.c.shards.AwaitsCommit(now) {
		return
	}
	sc.passNeeded = false
	updates := sc.c.shards.PrepareUpdates(now)
	updates = sc.c.shards.AdmitClaimRequests(updates, now)
	sc.placeTasks(updates, now)
	written := 0
	// Updates that take machines over change the controller's quota shares, which the assignments of the
	// others compare: they go last, or all others would fail.
	for _, takingOver := range []bool{false, true} {
		for _, update := range updates {
			if update.Changed() && update.ChangesOtherRecords() == takingOver {
				written++
				sc.c.shards.Commit(update, now)
			}
		}
	}
	sc.nextPassAt = now + max(
		2*durations.FastTickInterval,
		monotime.FromSeconds(float64(written)/sc.c.store.ShardWritesPerSecond()),
	)
}

// handleShardCommitResult requests the next pass once a shard's commit has an outcome, and delays it where it
// would decide on the same outdated records or fail again.
func (sc *scheduler) handleShardCommitResult(result protocol.StoreResult) {
	sc.requestPass()
	switch result.Outcome {
	case protocol.OK, protocol.Unknown:
	case protocol.Conflict:
		watchInterval := sc.c.store.WatchInterval()
		for _, key := range result.Failed {
			if kind, job, _ := storage.SplitKey(key); kind == storage.KindOpenJob {
				sc.delayPlacement(job, sc.c.now()+watchInterval)
			}
		}
		sc.delayPassUntil(sc.c.now() + watchInterval/2)
	case protocol.Rejected:
		sc.delayPassUntil(sc.c.now() + passDelayAfterRejection)
	default:
		sc.delayPassUntil(sc.c.now() + passDelayAfterFailure)
	}
}
