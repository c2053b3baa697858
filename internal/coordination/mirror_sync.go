package coordination

import (
	"slices"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/storage"
)

// loadMirror reads every record but the answers of finished jobs. The watch then goes
// on from before the first list, so nothing falls between the lists.
func (c *Controller) loadMirror() {
	if c.mirrorLoading {
		return
	}
	c.mirrorLoading, c.mirrorReady = true, false
	kinds := mirroredKinds
	if c.drains != nil {
		kinds = slices.Concat(mirroredKinds, mirroredDrainKinds)
	}
	mirror := newMirror(func(string, string) {})
	mirror.Results = c.mirror.Results
	var firstRevision, lastRevision uint64
	var sentAt monotime.Micros // when the first list was asked for
	started := false
	var readList func(k int, after string)
	readList = func(k int, after string) {
		if k == len(kinds) {
			c.loadResults(mirror, sortedKeys(mirror.Jobs), func() {
				c.mirrorFreshAt = max(c.mirrorFreshAt, sentAt)
				c.installMirror(mirror, firstRevision, lastRevision)
			})
			return
		}
		call := &protocol.StoreCall{Op: protocol.StoreList, Key: storage.Key(kinds[k], ""), After: after, Limit: 500}
		listSentAt := c.now()
		c.callStore(ratelimit.PriorityClaim, call, func(result protocol.StoreResult) {
			if result.Outcome != protocol.OK {
				delay := 200*monotime.Millisecond + monotime.Micros(c.env.Rand().Int64N(int64(400*monotime.Millisecond)))
				c.env.After(delay, func() { readList(k, after) })
				return
			}
			if !started { // the revision of an empty store is 0
				started, firstRevision, c.backlogMeasuredAt = true, result.Revision, c.now()
				sentAt = listSentAt
			}
			lastRevision = max(lastRevision, result.Revision)
			for _, item := range result.Items {
				mirror.ApplyPut(item.Key, item.Value, item.Version)
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
func (c *Controller) loadResults(mirror *Mirror, ids []string, done func()) {
	if len(ids) == 0 {
		done()
		return
	}
	again := func() {
		delay := 200*monotime.Millisecond + monotime.Micros(c.env.Rand().Int64N(int64(400*monotime.Millisecond)))
		c.env.After(delay, func() { c.loadResults(mirror, ids, done) })
	}
	n := min(len(ids), 4*c.cfg.Facts.State.TxnOps)
	txn := protocol.Transaction{}
	for _, id := range ids[:n] {
		txn.If = append(txn.If, protocol.Compare{Key: storage.Key(storage.KindJobResult, id)})
	}
	c.callStore(ratelimit.PriorityClaim, &protocol.StoreCall{Op: protocol.StoreCommit, Transaction: txn}, func(result protocol.StoreResult) {
		switch {
		case result.Outcome == protocol.OK:
			c.loadResults(mirror, ids[n:], done)
		case result.Outcome == protocol.Conflict && len(result.Failed) > 0:
			left := len(result.Failed)
			bad := false
			for _, key := range result.Failed {
				c.callStore(ratelimit.PriorityClaim, &protocol.StoreCall{Op: protocol.StoreGet, Key: key}, func(result protocol.StoreResult) {
					if result.Outcome == protocol.OK {
						mirror.ApplyPut(key, result.Item.Value, result.Item.Version)
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
					c.loadResults(mirror, ids[n:], done)
				})
			}
		default:
			again()
		}
	})
}

// installMirror makes a loaded mirror the core's own.
func (c *Controller) installMirror(mirror *Mirror, firstRevision, lastRevision uint64) {
	for id, machine := range c.mirror.Machines {
		if machine.Agent != nil && mirror.Machines[id] != nil {
			mirror.Machines[id].Agent = machine.Agent
		}
	}
	mirror.WatchedRevision, mirror.NewestRevision, mirror.OnChange = firstRevision, max(lastRevision, c.mirror.NewestRevision), c.onMirrorChange
	c.mirror = mirror
	c.mirrorLoading, c.mirrorLoaded, c.loadedRevision = false, true, lastRevision
	c.reconcileCancellations()
	for _, name := range sortedKeys(mirror.Shards) {
		c.onShardChange(name)
	}
	c.nextWatchAt = 0
	c.log.Info("mirror loaded", "jobs", len(mirror.Jobs), "machines", len(mirror.Machines),
		"shards", len(mirror.Shards), "revision", lastRevision)
	if firstRevision >= lastRevision {
		c.markMirrorReady()
	}
}

func (c *Controller) markMirrorReady() {
	c.lastWatchSuccessAt = c.now()
	if c.machineTypes == nil && len(c.mirror.MachineTypes) > 0 {
		// The cloud may be out: what was known of it before still holds.
		c.machineTypes = c.mirror.Catalog()
	}
	c.mirrorReady, c.schedulingNeeded = true, true
	c.log.Info("mirror ready", "revision", c.mirror.WatchedRevision)
	c.nextSlowTickAt = 0
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
func (c *Controller) whenMirrorCurrent(callback func(ok bool)) {
	c.pendingReads = append(c.pendingReads, pendingRead{c.now(), callback})
	if c.watchInFlight && c.now() >= c.nextCatchUpAt && !c.catchUpInFlight {
		c.catchUpWatch()
	}
}

// completePendingReads serves those who came before a watch was sent that has answered.
func (c *Controller) completePendingReads(sentAt monotime.Micros, ok bool) {
	n := 0
	for n < len(c.pendingReads) && c.pendingReads[n].requestedAt <= sentAt {
		n++
	}
	served := c.pendingReads[:n:n]
	c.pendingReads = c.pendingReads[n:]
	for _, a := range served {
		a.callback(ok)
	}
}

func (c *Controller) maintainWatch(now monotime.Micros) {
	if c.mirrorLoading || !c.mirrorLoaded {
		return
	}
	if !c.watchInFlight && now >= c.nextWatchAt {
		if now-max(c.lastWatchSuccessAt, c.backlogMeasuredAt) > c.maxWatchGap() {
			c.measureWatchBacklog(now)
			return
		}
		c.watchInFlight = true
		longPoll := watchLongPoll
		if len(c.pendingReads) > 0 {
			longPoll = 0
		}
		c.watchSentAt = now
		c.sendWatch(now, longPoll, func() { c.watchInFlight = false })
	} else if c.watchInFlight && len(c.pendingReads) > 0 && c.watchSentAt < c.pendingReads[0].requestedAt && now >= c.nextCatchUpAt && !c.catchUpInFlight {
		c.catchUpWatch() // the one in flight was sent before they asked
	}
}

// maxWatchGap is after how long without an answer of the watch its next one could
// be too large to take. A watch has no size limit of its own: after a cut of 48 s
// from a state service of 80 changes a second and 16 KiB a value, the answer was
// larger than is ever read, and the same was asked for again until the service
// had forgotten where it began.
func (c *Controller) maxWatchGap() monotime.Micros {
	return max(2*watchLongPoll, monotime.FromSeconds(float64(c.maxWatchEvents())/c.cfg.Facts.State.WriteRPS))
}

// maxWatchEvents is how many changes a watch may bring, each as large as a value may be.
func (c *Controller) maxWatchEvents() int { return max(16, maxWatchBytes/c.maxValueBytes()) }

// measureWatchBacklog asks how far the store has come. When that is too far for a watch to
// catch up with, all records are read anew, in answers of bounded size.
func (c *Controller) measureWatchBacklog(now monotime.Micros) {
	c.watchInFlight = true
	mirror := c.mirror
	call := &protocol.StoreCall{Op: protocol.StoreList, Key: storage.LeaderKey, Limit: 1}
	c.callStore(ratelimit.PriorityClaim, call, func(result protocol.StoreResult) {
		c.watchInFlight = false
		switch {
		case mirror != c.mirror || c.mirrorLoading:
			return
		case result.Outcome != protocol.OK:
			c.nextWatchAt = c.now() + 300*monotime.Millisecond + monotime.Micros(c.env.Rand().Int64N(int64(300*monotime.Millisecond)))
			c.completePendingReads(now, false)
		case result.Revision > mirror.WatchedRevision+uint64(c.maxWatchEvents()):
			c.log.Info("watch too far behind, mirror reload", "revisions", result.Revision-mirror.WatchedRevision)
			c.loadMirror()
			c.completePendingReads(now, false)
		default:
			c.backlogMeasuredAt = c.now()
			c.maintainWatch(c.now())
		}
	})
}

// catchUpWatch asks for the changes so far, beside a watch that waits for the next.
func (c *Controller) catchUpWatch() {
	if c.now()-max(c.lastWatchSuccessAt, c.backlogMeasuredAt) > c.maxWatchGap() {
		return // it could bring too much, see measureWatchBacklog
	}
	c.catchUpInFlight = true
	c.sendWatch(c.now(), 0, func() { c.catchUpInFlight = false })
	c.nextCatchUpAt = c.now() + c.minWatchInterval
}

func (c *Controller) sendWatch(now, longPoll monotime.Micros, ended func()) {
	c.nextWatchAt = now + c.minWatchInterval
	mirror := c.mirror
	call := &protocol.StoreCall{
		Op: protocol.StoreWatch, Key: storage.KeyPrefix, FromRevision: mirror.WatchedRevision,
		MaxBlock: longPoll, Timeout: longPoll + 2*monotime.Second,
	}
	c.storeQueue.Reads.Take(1)
	c.env.CallStore(call, func(result protocol.StoreResult) {
		ended()
		c.detectPause(c.now())
		if mirror != c.mirror {
			c.completePendingReads(now, false)
			return
		}
		switch result.Outcome {
		case protocol.OK:
			c.recordStoreOutcome(result.Outcome)
			c.mirrorFreshAt, c.lastWatchSuccessAt = max(c.mirrorFreshAt, now), c.now()
			if now < c.resumedFromPauseAt {
				c.lastWatchSuccessAt = now // it waited here while we stood still
			}
			c.mirror.ApplyEvents(result.Events, result.Revision)
			if !c.mirrorReady && c.mirror.WatchedRevision >= c.loadedRevision {
				c.markMirrorReady()
			}
			c.completePendingReads(now, c.mirrorReady)
			if len(result.Events) > 0 && c.mirrorReady {
				c.runFastTick(c.now())
			}
		case protocol.Compacted:
			c.log.Info("watch compacted, mirror reload")
			c.loadMirror()
			c.completePendingReads(now, false)
		case protocol.Throttled:
			c.nextWatchAt = max(c.nextWatchAt, c.now()+100*monotime.Millisecond)
			c.nextCatchUpAt = c.nextWatchAt
		default:
			c.recordStoreOutcome(result.Outcome)
			c.nextWatchAt = c.now() + 300*monotime.Millisecond + monotime.Micros(c.env.Rand().Int64N(int64(300*monotime.Millisecond)))
			c.nextCatchUpAt = c.nextWatchAt
			c.completePendingReads(now, false)
		}
	})
}

// hastenWatch has the other side of a conflict looked at soon.
func (c *Controller) hastenWatch() {
	c.nextWatchAt = min(c.nextWatchAt, max(c.now(), c.watchSentAt+50*monotime.Millisecond))
}
