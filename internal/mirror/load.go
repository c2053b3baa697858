package mirror

import (
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// A failed call of a load is retried after loadRetryDelay plus a random part of loadRetrySpread.
const (
	loadRetryDelay  = 200 * monotime.Millisecond
	loadRetrySpread = 400 * monotime.Millisecond
)

// load is the state of one asynchronous load of all records into a new mirror.
type load struct {
	replica       *Replica
	mirror        *Mirror
	kinds         []storage.Kind  // kinds whose lists are not fully read yet
	started       bool            // the first page is read; firstRevision may be 0 even then (empty store)
	firstRevision uint64          // revision of the first page; the watch continues from here
	lastRevision  uint64          // newest revision of all pages
	sentAt        monotime.Micros // when the request for the first page was sent
}

// Load starts to read all records except the results of ended jobs. It does nothing if a load is already in
// progress. The mirror isn't ready during the load. Afterwards the watch continues from the revision of the
// first list page, so no change between two lists is missed.
func (r *Replica) Load() {
	if r.loading {
		return
	}
	r.loading, r.ready = true, false
	l := &load{replica: r, mirror: New(), kinds: listedKinds(r.options.Drains)}
	l.mirror.Results = r.mirror.Results
	l.readLists("")
}

// readLists reads the remaining lists, the first one from the key after, and then the job results.
func (l *load) readLists(after string) {
	if len(l.kinds) == 0 {
		l.readResults(sortedmap.Keys(l.mirror.Jobs))
		return
	}
	r := l.replica
	sentAt := r.env.Now()
	r.store.Call(ratelimit.PriorityClaim, listCall(l.kinds[0], after), func(page protocol.StoreResult) {
		if page.Outcome != protocol.OK {
			l.retry(func() { l.readLists(after) })
			return
		}
		if !l.started {
			l.started, l.firstRevision, l.sentAt = true, page.Revision, sentAt
			r.watch.backlogMeasuredAt = r.env.Now()
		}
		l.lastRevision = max(l.lastRevision, page.Revision)
		applyPage(l.mirror, page)
		next, more := nextPage(page)
		if !more {
			l.kinds = l.kinds[1:]
		}
		l.readLists(next)
	})
}

// readResults reads the results of those listed jobs that already have one: cancelled jobs whose attempts are
// not all released yet.
func (l *load) readResults(ids []string) {
	if len(ids) == 0 {
		l.install()
		return
	}
	n := min(len(ids), comparesPerOp*l.replica.options.TransactionOps)
	call := compareResults(ids[:n])
	l.replica.store.Call(ratelimit.PriorityClaim, call, func(result protocol.StoreResult) {
		switch {
		case result.Outcome == protocol.OK:
			l.readResults(ids[n:])
		case result.Outcome == protocol.Conflict && len(result.Failed) > 0:
			l.getResults(result.Failed, func(ok bool) {
				if !ok {
					l.retry(func() { l.readResults(ids) })
					return
				}
				l.readResults(ids[n:])
			})
		default:
			l.retry(func() { l.readResults(ids) })
		}
	})
}

// getResults reads the results with the given keys concurrently, then calls done; ok is false if a call
// failed.
func (l *load) getResults(keys []string, done func(ok bool)) {
	remaining, allRead := len(keys), true
	for _, key := range keys {
		call := &protocol.StoreCall{Op: protocol.StoreGet, Key: key}
		l.replica.store.Call(ratelimit.PriorityClaim, call, func(result protocol.StoreResult) {
			if result.Outcome == protocol.OK {
				l.mirror.ApplyPut(key, result.Item.Value, result.Item.Version)
			} else {
				allRead = false
			}
			if remaining--; remaining == 0 {
				done(allRead)
			}
		})
	}
}

// retry repeats a failed call after a random delay.
func (l *load) retry(call func()) {
	l.replica.env.After(l.replica.jittered(loadRetryDelay, loadRetrySpread), call)
}

// install replaces the records of the replica's mirror by the loaded ones. The mirror is ready at once if no
// list, and no own commit that the replaced mirror held, is newer than the first page; otherwise the watch must
// first reach the newest of them.
func (l *load) install() {
	r := l.replica
	newest := max(l.lastRevision, r.mirror.NewestRevision)
	jobs, machineCount, shards := len(l.mirror.Jobs), len(l.mirror.Machines), len(l.mirror.Shards)
	r.watch.freshAt = max(r.watch.freshAt, l.sentAt)
	r.observer.BeforeReplace(l.mirror)
	r.mirror.Replace(l.mirror, l.firstRevision, newest)
	r.loading, r.loaded, r.loadedRevision = false, true, newest
	r.observer.Replaced()
	r.watch.nextAt = 0
	r.log.Info("mirror loaded", "jobs", jobs, "machines", machineCount, "shards", shards,
		"revision", l.lastRevision)
	if l.firstRevision >= newest {
		r.markReady()
	}
}
