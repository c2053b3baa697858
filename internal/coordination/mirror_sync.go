package coordination

import (
	"slices"

	"pipitgap/internal/durations"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// mirrorReplica keeps the mirror up to date: it loads all records, watches for changes, and tells readers
// when the mirror is current.
type mirrorReplica struct {
	c *Controller

	ready              bool   // the mirror is complete
	loadedRevision     uint64 // the watch must reach this before the mirror is complete
	loading            bool
	loaded             bool // a first load is done, the watch may go on from it
	nextWatchAt        monotime.Micros
	watchInFlight      bool
	lastWatchSuccessAt monotime.Micros // last answer of the watch
	backlogMeasuredAt  monotime.Micros // when the changes since then were last found to be few
	freshAt            monotime.Micros // when the watch was sent that last answered
	pendingReads       []pendingRead   // answers that wait for a mirror no older than their request
	catchUpInFlight    bool            // a watch that doesn't wait is in flight for them
	nextCatchUpAt      monotime.Micros
	watchSentAt        monotime.Micros // when the watch in flight was sent
}

// loadMirror reads every record but the answers of finished jobs. The watch then goes
// on from before the first list, so nothing falls between the lists.
func (r *mirrorReplica) load() {
	if r.loading {
		return
	}
	r.loading, r.ready = true, false
	kinds := mirror.Kinds
	if r.c.drains != nil {
		kinds = slices.Concat(mirror.Kinds, mirror.DrainKinds)
	}
	loaded := mirror.New()
	loaded.Results = r.c.mirror.Results
	var firstRevision, lastRevision uint64
	var sentAt monotime.Micros // when the first list was asked for
	started := false
	var readList func(k int, after string)
	readList = func(k int, after string) {
		if k == len(kinds) {
			r.loadResults(loaded, sortedmap.Keys(loaded.Jobs), func() {
				r.freshAt = max(r.freshAt, sentAt)
				r.install(loaded, firstRevision, lastRevision)
			})
			return
		}
		call := &protocol.StoreCall{
			Op:    protocol.StoreList,
			Key:   storage.Key(kinds[k], ""),
			After: after,
			Limit: 500,
		}
		listSentAt := r.c.now()
		r.c.store.Call(ratelimit.PriorityClaim, call, func(result protocol.StoreResult) {
			if result.Outcome != protocol.OK {
				delay := 200*monotime.Millisecond + monotime.Micros(
					r.c.env.Rand().Int64N(int64(400*monotime.Millisecond)),
				)
				r.c.env.After(delay, func() { readList(k, after) })
				return
			}
			if !started { // the revision of an empty store is 0
				started, firstRevision, r.backlogMeasuredAt = true, result.Revision, r.c.now()
				sentAt = listSentAt
			}
			lastRevision = max(lastRevision, result.Revision)
			for _, item := range result.Items {
				loaded.ApplyPut(item.Key, item.Value, item.Version)
			}
			if result.More && len(result.Items) > 0 {
				readList(k, result.Items[len(result.Items)-1].Key)
			} else {
				readList(k+1, "")
			}
		})
	}
	readList(0, "")
}

// loadResults finds which of the listed jobs have an answer already: cancelled
// ones whose attempts aren't all gone. The answers themselves can't be listed, they
// are kept for ever; comparing tells which of the few dozen named exist.
func (r *mirrorReplica) loadResults(loaded *mirror.Mirror, ids []string, done func()) {
	if len(ids) == 0 {
		done()
		return
	}
	again := func() {
		delay := 200*monotime.Millisecond + monotime.Micros(
			r.c.env.Rand().Int64N(int64(400*monotime.Millisecond)),
		)
		r.c.env.After(delay, func() { r.loadResults(loaded, ids, done) })
	}
	n := min(len(ids), 4*r.c.cfg.Facts.State.TxnOps)
	txn := protocol.Transaction{}
	for _, id := range ids[:n] {
		txn.If = append(txn.If, protocol.Compare{Key: storage.Key(storage.KindJobResult, id)})
	}
	r.c.store.Call(
		ratelimit.PriorityClaim,
		&protocol.StoreCall{Op: protocol.StoreCommit, Transaction: txn},
		func(result protocol.StoreResult) {
			switch {
			case result.Outcome == protocol.OK:
				r.loadResults(loaded, ids[n:], done)
			case result.Outcome == protocol.Conflict && len(result.Failed) > 0:
				left := len(result.Failed)
				bad := false
				for _, key := range result.Failed {
					r.c.store.Call(
						ratelimit.PriorityClaim,
						&protocol.StoreCall{Op: protocol.StoreGet, Key: key},
						func(result protocol.StoreResult) {
							if result.Outcome == protocol.OK {
								loaded.ApplyPut(key, result.Item.Value, result.Item.Version)
							} else {
								bad = true
							}
							if left--; left > 0 {
								return
							}
							if bad {
								again()
								return
							}
							r.loadResults(loaded, ids[n:], done)
						},
					)
				}
			default:
				again()
			}
		},
	)
}

// installMirror makes a loaded mirror the core's own.
func (r *mirrorReplica) install(loaded *mirror.Mirror, firstRevision, lastRevision uint64) {
	r.c.agents.keepOnly(loaded)
	r.c.mirror.Replace(loaded, firstRevision, max(lastRevision, r.c.mirror.NewestRevision))
	r.loading, r.loaded, r.loadedRevision = false, true, lastRevision
	r.c.cancellations.reconcileCancellations()
	for _, name := range sortedmap.Keys(loaded.Shards) {
		r.c.shards.onShardChange(name)
	}
	r.nextWatchAt = 0
	r.c.log.Info("mirror loaded", "jobs", len(loaded.Jobs), "machines", len(loaded.Machines),
		"shards", len(loaded.Shards), "revision", lastRevision)
	if firstRevision >= lastRevision {
		r.markReady()
	}
}

func (r *mirrorReplica) markReady() {
	r.lastWatchSuccessAt = r.c.now()
	if r.c.catalog.machineTypes == nil && len(r.c.mirror.MachineTypes) > 0 {
		// The cloud may be out: what was known of it before still holds.
		r.c.catalog.machineTypes = r.c.mirror.Catalog()
	}
	r.ready = true
	r.c.scheduler.requestPass()
	r.c.log.Info("mirror ready", "revision", r.c.mirror.WatchedRevision)
	r.c.nextSlowTickAt = 0
}

// pendingRead waits for the mirror to be as new as its question.
type pendingRead struct {
	requestedAt monotime.Micros
	callback    func(ok bool)
}

// whenMirrorCurrent calls back once the mirror holds all that the store held when it was
// asked, or with false if the store can't be asked. One answer of the watch serves
// all that wait: confirming each answer by itself cost a request for every few
// dozen, and users of a thousand jobs ask a few hundred times a second.
func (r *mirrorReplica) whenCurrent(callback func(ok bool)) {
	r.pendingReads = append(r.pendingReads, pendingRead{r.c.now(), callback})
	if r.watchInFlight && r.c.now() >= r.nextCatchUpAt && !r.catchUpInFlight {
		r.catchUpWatch()
	}
}

// completePendingReads serves those who came before a watch was sent that has answered.
func (r *mirrorReplica) completePendingReads(sentAt monotime.Micros, ok bool) {
	n := 0
	for n < len(r.pendingReads) && r.pendingReads[n].requestedAt <= sentAt {
		n++
	}
	served := r.pendingReads[:n:n]
	r.pendingReads = r.pendingReads[n:]
	for _, a := range served {
		a.callback(ok)
	}
}

func (r *mirrorReplica) maintainWatch(now monotime.Micros) {
	if r.loading || !r.loaded {
		return
	}
	if !r.watchInFlight && now >= r.nextWatchAt {
		if now-max(r.lastWatchSuccessAt, r.backlogMeasuredAt) > r.maxWatchGap() {
			r.measureWatchBacklog(now)
			return
		}
		r.watchInFlight = true
		longPoll := durations.WatchLongPoll
		if len(r.pendingReads) > 0 {
			longPoll = 0
		}
		r.watchSentAt = now
		r.sendWatch(now, longPoll, func() { r.watchInFlight = false })
	} else if r.watchInFlight && len(r.pendingReads) > 0 && r.watchSentAt < r.pendingReads[0].requestedAt && now >= r.nextCatchUpAt && !r.catchUpInFlight {
		r.catchUpWatch() // the one in flight was sent before they asked
	}
}

// maxWatchGap is after how long without an answer of the watch its next one could
// be too large to take. A watch has no size limit of its own: after a cut of 48 s
// from a state service of 80 changes a second and 16 KiB a value, the answer was
// larger than is ever read, and the same was asked for again until the service
// had forgotten where it began.
func (r *mirrorReplica) maxWatchGap() monotime.Micros {
	return max(
		2*durations.WatchLongPoll,
		monotime.FromSeconds(float64(r.maxWatchEvents())/r.c.cfg.Facts.State.WriteRPS),
	)
}

// maxWatchEvents is how many changes a watch may bring, each as large as a value may be.
func (r *mirrorReplica) maxWatchEvents() int { return max(16, maxWatchBytes/r.c.maxValueBytes()) }

// measureWatchBacklog asks how far the store has come. When that is too far for a watch to
// catch up with, all records are read anew, in answers of bounded size.
func (r *mirrorReplica) measureWatchBacklog(now monotime.Micros) {
	r.watchInFlight = true
	generation := r.c.mirror.Generation()
	call := &protocol.StoreCall{Op: protocol.StoreList, Key: storage.LeaderKey, Limit: 1}
	r.c.store.Call(ratelimit.PriorityClaim, call, func(result protocol.StoreResult) {
		r.watchInFlight = false
		switch {
		case generation != r.c.mirror.Generation() || r.loading:
			return
		case result.Outcome != protocol.OK:
			r.nextWatchAt = r.c.now() + 300*monotime.Millisecond + monotime.Micros(
				r.c.env.Rand().Int64N(int64(300*monotime.Millisecond)),
			)
			r.completePendingReads(now, false)
		case result.Revision > r.c.mirror.WatchedRevision+uint64(r.maxWatchEvents()):
			r.c.log.Info(
				"watch too far behind, mirror reload",
				"revisions",
				result.Revision-r.c.mirror.WatchedRevision,
			)
			r.load()
			r.completePendingReads(now, false)
		default:
			r.backlogMeasuredAt = r.c.now()
			r.maintainWatch(r.c.now())
		}
	})
}

// catchUpWatch asks for the changes so far, beside a watch that waits for the next.
func (r *mirrorReplica) catchUpWatch() {
	if r.c.now()-max(r.lastWatchSuccessAt, r.backlogMeasuredAt) > r.maxWatchGap() {
		return // it could bring too much, see measureWatchBacklog
	}
	r.catchUpInFlight = true
	r.sendWatch(r.c.now(), 0, func() { r.catchUpInFlight = false })
	r.nextCatchUpAt = r.c.now() + r.c.store.WatchInterval()
}

func (r *mirrorReplica) sendWatch(now, longPoll monotime.Micros, ended func()) {
	r.nextWatchAt = now + r.c.store.WatchInterval()
	generation := r.c.mirror.Generation()
	call := &protocol.StoreCall{
		Op: protocol.StoreWatch, Key: storage.KeyPrefix, FromRevision: r.c.mirror.WatchedRevision,
		MaxBlock: longPoll, Timeout: longPoll + 2*monotime.Second,
	}
	r.c.store.CallAtOnce(call, func(result protocol.StoreResult) {
		ended()
		r.c.reachability.detectPause(r.c.now())
		if generation != r.c.mirror.Generation() {
			r.completePendingReads(now, false)
			return
		}
		switch result.Outcome {
		case protocol.OK:
			r.c.store.RecordOutcome(result.Outcome)
			r.freshAt, r.lastWatchSuccessAt = max(r.freshAt, now), r.c.now()
			if now < r.c.reachability.resumedFromPauseAt {
				r.lastWatchSuccessAt = now // it waited here while we stood still
			}
			r.c.mirror.ApplyEvents(result.Events, result.Revision)
			if !r.ready && r.c.mirror.WatchedRevision >= r.loadedRevision {
				r.markReady()
			}
			r.completePendingReads(now, r.ready)
			if len(result.Events) > 0 && r.ready {
				r.c.runFastTick(r.c.now())
			}
		case protocol.Compacted:
			r.c.log.Info("watch compacted, mirror reload")
			r.load()
			r.completePendingReads(now, false)
		case protocol.Throttled:
			r.nextWatchAt = max(r.nextWatchAt, r.c.now()+100*monotime.Millisecond)
			r.nextCatchUpAt = r.nextWatchAt
		default:
			r.c.store.RecordOutcome(result.Outcome)
			r.nextWatchAt = r.c.now() + 300*monotime.Millisecond + monotime.Micros(
				r.c.env.Rand().Int64N(int64(300*monotime.Millisecond)),
			)
			r.nextCatchUpAt = r.nextWatchAt
			r.completePendingReads(now, false)
		}
	})
}

// commitTxn makes a conditional change; on success it is in the mirror before
// back is called.
func (r *mirrorReplica) commit(
	priority ratelimit.Priority,
	txn protocol.Transaction,
	callback func(protocol.StoreResult),
) {
	r.c.store.Call(
		priority,
		&protocol.StoreCall{Op: protocol.StoreCommit, Transaction: txn},
		func(result protocol.StoreResult) {
			if result.Outcome == protocol.OK {
				r.c.mirror.ApplyCommit(&txn, result.Revision)
			} else if result.Outcome == protocol.Conflict {
				r.c.counters.commitConflicts++
				r.hastenWatch()
			}
			callback(result)
		},
	)
}

// hastenWatch has the other side of a conflict looked at soon.
func (r *mirrorReplica) hastenWatch() {
	r.nextWatchAt = min(r.nextWatchAt, max(r.c.now(), r.watchSentAt+50*monotime.Millisecond))
}
