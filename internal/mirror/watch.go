package mirror

import (
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/storage"
)

const (
	// watchLongPoll is the time for which the state service holds a watch request open if there is no change.
	watchLongPoll = 2 * monotime.Second
	// watchTimeoutMargin is the time that the timeout of a watch allows in addition to the long poll.
	watchTimeoutMargin = 2 * monotime.Second
	// watchOverdueMargin is the time in addition to the long poll after which a watch without a response is
	// overdue.
	watchOverdueMargin = monotime.Second
	// maxWatchBytes is the approximate maximum size of a watch response.
	maxWatchBytes = 4 << 20
	// minWatchChanges is the lower bound of MaxWatchChanges, even if values may be so large that this many of
	// them exceed maxWatchBytes.
	minWatchChanges = 16
	// A failed watch is retried after watchRetryDelay plus a random part of watchRetrySpread.
	watchRetryDelay  = 300 * monotime.Millisecond
	watchRetrySpread = 300 * monotime.Millisecond
	// throttledWatchDelay is the minimum delay from a watch's 429 response to the next watch.
	throttledWatchDelay = 100 * monotime.Millisecond
	// conflictWatchInterval is the minimum interval between two watches if a commit conflicted after the
	// first.
	conflictWatchInterval = 50 * monotime.Millisecond
)

// watchState is the state of a Replica's watch.
type watchState struct {
	// a long-polling watch or a measurement of the backlog is in flight
	inFlight          bool
	sentAt            monotime.Micros // when the last long-polling watch was sent
	nextAt            monotime.Micros // earliest time of the next long-polling watch
	lastSuccessAt     monotime.Micros // when a watch last succeeded or the mirror became complete
	freshAt           monotime.Micros // send time of the latest watch or load that succeeded
	backlogMeasuredAt monotime.Micros // when the backlog of unseen changes was last found small enough
}

// MaintainWatch sends the next watch when it is due. If a watch is in flight but was sent too early for a
// pending read, it sends a non-blocking watch. The caller calls it at every tick.
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

// sendLongPoll sends a watch that blocks until the next change. If reads are pending it doesn't block.
func (r *Replica) sendLongPoll(now monotime.Micros) {
	longPoll := watchLongPoll
	if len(r.pendingReads) > 0 {
		longPoll = 0
	}
	r.watch.inFlight, r.watch.sentAt = true, now
	r.sendWatch(now, longPoll, func() { r.watch.inFlight = false })
}

// backlogUnknown reports whether the last response or measurement is so old that a watch could return more
// than MaxWatchChanges. The protocol doesn't limit the size of a watch response. A response that is too large
// to be read would be requested again and again, until the state service has compacted the start revision.
func (r *Replica) backlogUnknown(now monotime.Micros) bool {
	gap := monotime.FromSeconds(float64(r.MaxWatchChanges()) / r.options.WritesPerSecond)
	return now-max(r.watch.lastSuccessAt, r.watch.backlogMeasuredAt) > max(2*watchLongPoll, gap)
}

// MaxWatchChanges returns the number of changes that a watch response may contain, if each has the maximum
// value size.
func (r *Replica) MaxWatchChanges() int {
	return max(minWatchChanges, maxWatchBytes/r.options.MaxValueBytes)
}

// measureBacklog reads the newest revision of the state service. If the watch is too far behind, it starts a
// load, whose list pages have a bounded size.
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

// sendWatch sends a watch that blocks for up to longPoll until there is a change. It calls ended when the
// watch is finished, before it uses the result.
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
	r.store.CallUnqueued(call, func(result protocol.StoreResult) {
		ended()
		r.pauses.DetectPause(r.env.Now())
		if generation != r.mirror.Generation() {
			r.completePendingReads(now, false)
			return
		}
		r.handleWatchResult(now, result)
	})
}

// handleWatchResult handles the result of a watch that was sent in the mirror's current generation.
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

// applyWatch applies the changes of a successful watch to the mirror and completes the reads that it serves.
func (r *Replica) applyWatch(sentAt monotime.Micros, result protocol.StoreResult) {
	r.watch.freshAt, r.watch.lastSuccessAt = max(r.watch.freshAt, sentAt), r.env.Now()
	if sentAt < r.pauses.LastPauseEndedAt() {
		r.watch.lastSuccessAt = sentAt // the response may have arrived long ago, while the process was paused
	}
	r.mirror.ApplyEvents(result.Events, result.Revision)
	if len(result.Events) > 0 {
		r.log.Debug("watch applied", "revision", result.Revision, "events", len(result.Events),
			"waited_ms", (r.env.Now() - sentAt).Milliseconds())
	}
	if !r.ready && r.mirror.WatchedRevision >= r.loadedRevision {
		r.markReady()
	}
	r.completePendingReads(sentAt, r.ready)
	if len(result.Events) > 0 && r.ready {
		r.observer.Changed()
	}
}

// expediteWatch moves the next watch forward to fetch the changes that a commit conflicted with.
func (r *Replica) expediteWatch() {
	r.watch.nextAt = min(r.watch.nextAt, max(r.env.Now(), r.watch.sentAt+conflictWatchInterval))
}
