package coordination

import (
	"slices"

	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
)

// load reads every record but the answers of finished jobs. The watch then goes
// on from before the first list, so nothing falls between the lists.
func (c *Core) load() {
	if c.loading {
		return
	}
	c.loading, c.ready = true, false
	kinds := recordKinds
	if c.drains != nil {
		kinds = slices.Concat(recordKinds, drainKinds)
	}
	view := newView(func(string, string) {})
	view.finals = c.view.finals
	var first, last uint64
	var sent micros.T // when the first list was asked for
	begun := false
	var readList func(k int, after string)
	readList = func(k int, after string) {
		if k == len(kinds) {
			c.loadAnswers(view, sortedKeys(view.jobs), func() {
				c.freshAt = max(c.freshAt, sent)
				c.adopt(view, first, last)
			})
			return
		}
		sc := &protocol.StoreCall{Op: protocol.StoreList, Key: bookkeeping.Key(kinds[k], ""), After: after, Limit: 500}
		asked := c.now()
		c.call(bookkeeping.RankClaim, sc, func(r protocol.StoreResult) {
			if r.Outcome != protocol.OK {
				wait := 200*micros.Millisecond + micros.T(c.env.Rand().Int64N(int64(400*micros.Millisecond)))
				c.env.After(wait, func() { readList(k, after) })
				return
			}
			if !begun { // the revision of an empty store is 0
				begun, first, c.measuredAt = true, r.Revision, c.now()
				sent = asked
			}
			last = max(last, r.Revision)
			for _, it := range r.Items {
				view.put(it.Key, it.Value, it.Version)
			}
			if r.More && len(r.Items) > 0 {
				readList(k, r.Items[len(r.Items)-1].Key)
			} else {
				readList(k+1, "")
			}
		})
	}
	readList(0, "")
}

// loadAnswers finds which of the listed jobs have an answer already: cancelled
// ones whose attempts aren't all gone. The answers themselves can't be listed, they
// are kept for ever; comparing tells which of the few dozen named exist.
func (c *Core) loadAnswers(view *View, ids []string, done func()) {
	if len(ids) == 0 {
		done()
		return
	}
	again := func() {
		wait := 200*micros.Millisecond + micros.T(c.env.Rand().Int64N(int64(400*micros.Millisecond)))
		c.env.After(wait, func() { c.loadAnswers(view, ids, done) })
	}
	n := min(len(ids), 4*c.cfg.Facts.State.TxnOps)
	t := protocol.Txn{}
	for _, id := range ids[:n] {
		t.If = append(t.If, protocol.Cond{Key: bookkeeping.Key(bookkeeping.KindJob, id)})
	}
	c.call(bookkeeping.RankClaim, &protocol.StoreCall{Op: protocol.StoreCommit, Txn: t}, func(r protocol.StoreResult) {
		switch {
		case r.Outcome == protocol.OK:
			c.loadAnswers(view, ids[n:], done)
		case r.Outcome == protocol.Conflict && len(r.Failed) > 0:
			left := len(r.Failed)
			bad := false
			for _, key := range r.Failed {
				c.call(bookkeeping.RankClaim, &protocol.StoreCall{Op: protocol.StoreGet, Key: key}, func(r protocol.StoreResult) {
					if r.Outcome == protocol.OK {
						view.put(key, r.Item.Value, r.Item.Version)
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
					c.loadAnswers(view, ids[n:], done)
				})
			}
		default:
			again()
		}
	})
}

// adopt makes a loaded mirror the core's own.
func (c *Core) adopt(view *View, first, last uint64) {
	for id, m := range c.view.machines {
		if m.w != nil && view.machines[id] != nil {
			view.machines[id].w = m.w
		}
	}
	view.watched, view.newest, view.touched = first, max(last, c.view.newest), c.touched
	c.view = view
	c.loading, c.loaded, c.loadedUpTo = false, true, last
	c.reconcileCancellations()
	for _, name := range sortedKeys(view.shards) {
		c.shardTouched(name)
	}
	c.watchAt = 0
	c.log.Info("mirror loaded", "jobs", len(view.jobs), "machines", len(view.machines),
		"shards", len(view.shards), "revision", last)
	if first >= last {
		c.becomeReady()
	}
}

func (c *Core) becomeReady() {
	c.watchOKAt = c.now()
	if c.types == nil && len(c.view.types) > 0 {
		// The cloud may be out: what was known of it before still holds.
		c.types = c.view.catalog()
	}
	c.ready, c.dirty = true, true
	c.log.Info("mirror ready", "revision", c.view.watched)
	c.slowAt = 0
}

// waitingReader waits for the mirror to be as new as its question.
type waitingReader struct {
	since micros.T
	back  func(ok bool)
}

// current calls back once the mirror holds all that the store held when it was
// asked, or with false if the store can't be asked. One answer of the watch serves
// all that wait: confirming each answer by itself cost a request for every few
// dozen, and users of a thousand jobs ask a few hundred times a second.
func (c *Core) current(back func(ok bool)) {
	c.waitingReaders = append(c.waitingReaders, waitingReader{c.now(), back})
	if c.watching && c.now() >= c.catchAt && !c.catching {
		c.catchUp()
	}
}

// answerReaders serves those who came before a watch was sent that has answered.
func (c *Core) answerReaders(sent micros.T, ok bool) {
	n := 0
	for n < len(c.waitingReaders) && c.waitingReaders[n].since <= sent {
		n++
	}
	served := c.waitingReaders[:n:n]
	c.waitingReaders = c.waitingReaders[n:]
	for _, a := range served {
		a.back(ok)
	}
}

func (c *Core) keepWatch(now micros.T) {
	if c.loading || !c.loaded {
		return
	}
	if !c.watching && now >= c.watchAt {
		if now-max(c.watchOKAt, c.measuredAt) > c.watchSpan() {
			c.measureGap(now)
			return
		}
		c.watching = true
		block := watchBlock
		if len(c.waitingReaders) > 0 {
			block = 0
		}
		c.watchSent = now
		c.watch(now, block, func() { c.watching = false })
	} else if c.watching && len(c.waitingReaders) > 0 && c.watchSent < c.waitingReaders[0].since && now >= c.catchAt && !c.catching {
		c.catchUp() // the one in flight was sent before they asked
	}
}

// watchSpan is after how long without an answer of the watch its next one could
// be too large to take. A watch has no size limit of its own: after a cut of 48 s
// from a state service of 80 changes a second and 16 KiB a value, the answer was
// larger than is ever read, and the same was asked for again until the service
// had forgotten where it began.
func (c *Core) watchSpan() micros.T {
	return max(2*watchBlock, micros.FromSeconds(float64(c.mostChanges())/c.cfg.Facts.State.WriteRPS))
}

// mostChanges is how many changes a watch may bring, each as large as a value may be.
func (c *Core) mostChanges() int { return max(16, mostWatch/c.valueBytes()) }

// measureGap asks how far the store has come. When that is too far for a watch to
// catch up with, all records are read anew, in answers of bounded size.
func (c *Core) measureGap(now micros.T) {
	c.watching = true
	view := c.view
	sc := &protocol.StoreCall{Op: protocol.StoreList, Key: bookkeeping.LeadKey, Limit: 1}
	c.call(bookkeeping.RankClaim, sc, func(r protocol.StoreResult) {
		c.watching = false
		switch {
		case view != c.view || c.loading:
			return
		case r.Outcome != protocol.OK:
			c.watchAt = c.now() + 300*micros.Millisecond + micros.T(c.env.Rand().Int64N(int64(300*micros.Millisecond)))
			c.answerReaders(now, false)
		case r.Revision > view.watched+uint64(c.mostChanges()):
			c.log.Info("watch too far behind, mirror reload", "revisions", r.Revision-view.watched)
			c.load()
			c.answerReaders(now, false)
		default:
			c.measuredAt = c.now()
			c.keepWatch(c.now())
		}
	})
}

// catchUp asks for the changes so far, beside a watch that waits for the next.
func (c *Core) catchUp() {
	if c.now()-max(c.watchOKAt, c.measuredAt) > c.watchSpan() {
		return // it could bring too much, see measureGap
	}
	c.catching = true
	c.watch(c.now(), 0, func() { c.catching = false })
	c.catchAt = c.now() + c.watchGap
}

func (c *Core) watch(now, block micros.T, ended func()) {
	c.watchAt = now + c.watchGap
	view := c.view
	sc := &protocol.StoreCall{
		Op: protocol.StoreWatch, Key: bookkeeping.Root, From: view.watched,
		Block: block, Within: block + 2*micros.Second,
	}
	c.queue.Reads.Take(1)
	c.env.Store(sc, func(r protocol.StoreResult) {
		ended()
		c.noteStill(c.now())
		if view != c.view {
			c.answerReaders(now, false)
			return
		}
		switch r.Outcome {
		case protocol.OK:
			c.noteStore(r.Outcome)
			c.freshAt, c.watchOKAt = max(c.freshAt, now), c.now()
			if now < c.resumedAt {
				c.watchOKAt = now // it waited here while we stood still
			}
			c.view.applyEvents(r.Events, r.Revision)
			if !c.ready && c.view.watched >= c.loadedUpTo {
				c.becomeReady()
			}
			c.answerReaders(now, c.ready)
			if len(r.Events) > 0 && c.ready {
				c.fast(c.now())
			}
		case protocol.TooOld:
			c.log.Info("watch compacted, mirror reload")
			c.load()
			c.answerReaders(now, false)
		case protocol.Throttled:
			c.watchAt = max(c.watchAt, c.now()+100*micros.Millisecond)
			c.catchAt = c.watchAt
		default:
			c.noteStore(r.Outcome)
			c.watchAt = c.now() + 300*micros.Millisecond + micros.T(c.env.Rand().Int64N(int64(300*micros.Millisecond)))
			c.catchAt = c.watchAt
			c.answerReaders(now, false)
		}
	})
}

// nudge has the other side of a conflict looked at soon.
func (c *Core) nudge() { c.watchAt = min(c.watchAt, max(c.now(), c.watchSent+50*micros.Millisecond)) }
