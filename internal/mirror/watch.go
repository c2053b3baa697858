package mirror

import (
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/storage"
)

const (
	// watchLongPoll is how long the state service waits for the next change before it answers a watch.
	watchLongPoll = 2 * monotime.Second
	// watchTimeoutMargin is how much longer the answer of a watch may take.
	watchTimeoutMargin = 2 * monotime.Second
	// watchOverdueMargin is how much longer than the long poll no answer came when the watch is overdue.
	watchOverdueMargin = monotime.Second
	// maxWatchBytes is about how large an answer of the watch may get.
	maxWatchBytes = 4 << 20
	// minWatchChanges is how many changes a watch may bring, however large a value may be.
	minWatchChanges = 16
	// A failed watch is sent again after a delay from this range.
	watchRetryDelay  = 300 * monotime.Millisecond
	watchRetrySpread = 300 * monotime.Millisecond
	// throttledWatchDelay is how long after a 429 the next watch is sent.
	throttledWatchDelay = 100 * monotime.Millisecond
	// conflictWatchInterval is how long after the last watch was sent the next may be, after a conflict.
	conflictWatchInterval = 50 * monotime.Millisecond
)

// watchState is where the watch of a Replica stands.
type watchState struct {
	// a watch that waits for changes, or a measurement of the backlog, is in flight
	inFlight          bool
	sentAt            monotime.Micros // when that watch was sent
	nextAt            monotime.Micros // no watch is sent before
	lastSuccessAt     monotime.Micros // last answer
	freshAt           monotime.Micros // when the watch was sent that last answered
	backlogMeasuredAt monotime.Micros // when the changes not seen yet were last found to be few
}

// MaintainWatch sends the next watch when it is due, or one that doesn't wait for changes if readers wait
// for a newer answer than the watch in flight gives. It is called at every tick.
func (r *Replica) MaintainWatch(now monotime.Micros) {
	switch {
	case r.loading || !r.loaded:
	case r.watch.inFlight:
		r.catchUpForReaders(now)
	case now < r.watch.nextAt:
	case r.backlogUnknown(now):
		r.measureBacklog(now)
	default:
		r.sendLongPoll(now)
	}
}

// sendLongPoll sends a watch that waits for the next change; it doesn't wait if readers do.
func (r *Replica) sendLongPoll(now monotime.Micros) {
	longPoll := watchLongPoll
	if len(r.pendingReads) > 0 {
		longPoll = 0
	}
	r.watch.inFlight, r.watch.sentAt = true, now
	r.sendWatch(now, longPoll, func() { r.watch.inFlight = false })
}

// backlogUnknown reports whether a watch could bring more changes than it may: the last answer is too old.
// The answer of a watch has no size limit of its own. One that is too large to be read would be requested
// again and again, until the state service had compacted the revision it starts from.
func (r *Replica) backlogUnknown(now monotime.Micros) bool {
	gap := monotime.FromSeconds(float64(r.MaxWatchChanges()) / r.options.WritesPerSecond)
	return now-max(r.watch.lastSuccessAt, r.watch.backlogMeasuredAt) > max(2*watchLongPoll, gap)
}

// MaxWatchChanges is how many changes a watch may bring, each as large as a value may be.
func (r *Replica) MaxWatchChanges() int {
	return max(minWatchChanges, maxWatchBytes/r.options.MaxValueBytes)
}

// measureBacklog reads the newest revision of the state service. When the watch is too far behind, all
// records are read anew, in answers of bounded size.
func (r *Replica) measureBacklog(now monotime.Micros) {
	r.watch.inFlight = true
	generation := r.mirror.Generation()
	call := &protocol.StoreCall{Op: protocol.StoreList, Key: storage.LeaderKey, Limit: 1}
	r.store.Call(ratelimit.PriorityClaim, call, func(result protocol.StoreResult) {
		r.watch.inFlight = false
		switch {
		case generation != r.mirror.Generation() || r.loading:
		case result.Outcome != protocol.OK:
			r.watch.nextAt = r.env.Now() + r.jittered(watchRetryDelay, watchRetrySpread)
			r.completePendingReads(now, false)
		case result.Revision > r.mirror.WatchedRevision+uint64(r.MaxWatchChanges()):
			r.log.Info("watch too far behind, mirror reload",
				"revisions", result.Revision-r.mirror.WatchedRevision)
			r.Load()
			r.completePendingReads(now, false)
		default:
			r.watch.backlogMeasuredAt = r.env.Now()
			r.MaintainWatch(r.env.Now())
		}
	})
}

// sendWatch sends a watch that waits for changes for so long; ended is called before its answer is used.
func (r *Replica) sendWatch(now, longPoll monotime.Micros, ended func()) {
	r.watch.nextAt = now + r.store.WatchInterval()
	generation := r.mirror.Generation()
	call := &protocol.StoreCall{
		Op:           protocol.StoreWatch,
		Key:          storage.KeyPrefix,
		FromRevision: r.mirror.WatchedRevision,
		MaxBlock:     longPoll,
		Timeout:      longPoll + watchTimeoutMargin,
	}
	r.store.CallAtOnce(call, func(result protocol.StoreResult) {
		ended()
		r.pauses.DetectPause(r.env.Now())
		if generation != r.mirror.Generation() {
			r.completePendingReads(now, false)
			return
		}
		r.handleWatchResult(now, result)
	})
}

// handleWatchResult handles the result of a watch on the present mirror.
func (r *Replica) handleWatchResult(sentAt monotime.Micros, result protocol.StoreResult) {
	switch result.Outcome {
	case protocol.OK:
		r.store.RecordOutcome(result.Outcome)
		r.applyWatch(sentAt, result)
	case protocol.Compacted:
		r.log.Info("watch compacted, mirror reload")
		r.Load()
		r.completePendingReads(sentAt, false)
	case protocol.Throttled:
		r.watch.nextAt = max(r.watch.nextAt, r.env.Now()+throttledWatchDelay)
		r.nextCatchUpAt = r.watch.nextAt
	default:
		r.store.RecordOutcome(result.Outcome)
		r.watch.nextAt = r.env.Now() + r.jittered(watchRetryDelay, watchRetrySpread)
		r.nextCatchUpAt = r.watch.nextAt
		r.completePendingReads(sentAt, false)
	}
}

// applyWatch brings the changes of a watch into the mirror and serves the readers that waited for them.
func (r *Replica) applyWatch(sentAt monotime.Micros, result protocol.StoreResult) {
	r.watch.freshAt, r.watch.lastSuccessAt = max(r.watch.freshAt, sentAt), r.env.Now()
	if sentAt < r.pauses.ResumedFromPauseAt() {
		r.watch.lastSuccessAt = sentAt // the answer may have waited here while the process was paused
	}
	r.mirror.ApplyEvents(result.Events, result.Revision)
	if !r.ready && r.mirror.WatchedRevision >= r.loadedRevision {
		r.markReady()
	}
	r.completePendingReads(sentAt, r.ready)
	if len(result.Events) > 0 && r.ready {
		r.observer.Changed()
	}
}

// expediteWatch has the next watch sent soon, for the changes that a commit has conflicted with.
func (r *Replica) expediteWatch() {
	r.watch.nextAt = min(r.watch.nextAt, max(r.env.Now(), r.watch.sentAt+conflictWatchInterval))
}
