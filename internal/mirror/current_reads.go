package mirror

import "pipitgap/internal/monotime"

// pendingRead is a read that waits until the mirror is at least as current as the read's request time.
type pendingRead struct {
	requestedAt monotime.Micros
	callback    func(ok bool)
}

// WhenCurrent calls callback with true once the mirror holds everything that the state service held at the
// time of this call. It calls callback with false if that fails: the service doesn't answer, or the mirror is
// being reloaded. One watch response serves all pending reads. Users with a thousand jobs read hundreds of
// times a second; a separate request for each read would use up the rate budget.
func (r *Replica) WhenCurrent(callback func(ok bool)) {
	now := r.env.Now()
	r.pendingReads = append(r.pendingReads, pendingRead{now, callback})
	if r.watch.inFlight && r.mayCatchUp(now) {
		r.catchUp(now)
	}
}

// completePendingReads calls back the reads that were requested no later than sentAt, the time at which the
// finished watch was sent.
func (r *Replica) completePendingReads(sentAt monotime.Micros, ok bool) {
	n := 0
	for n < len(r.pendingReads) && r.pendingReads[n].requestedAt <= sentAt {
		n++
	}
	served := r.pendingReads[:n:n]
	r.pendingReads = r.pendingReads[n:]
	for _, read := range served {
		read.callback(ok)
	}
}

// catchUpForReaders sends a catch-up watch if the watch in flight was sent before the oldest pending read was
// requested: its response may lack changes that this read must see.
func (r *Replica) catchUpForReaders(now monotime.Micros) {
	if len(r.pendingReads) > 0 && r.watch.sentAt < r.pendingReads[0].requestedAt && r.mayCatchUp(now) {
		r.catchUp(now)
	}
}

// mayCatchUp reports whether a catch-up watch may be sent now: none is in flight and the minimum interval has
// passed.
func (r *Replica) mayCatchUp(now monotime.Micros) bool {
	return now >= r.nextCatchUpAt && !r.catchUpInFlight
}

// catchUp sends a watch that returns the existing changes without blocking. It runs concurrently with the
// long-polling watch. It sends nothing while the size of the backlog is unknown.
func (r *Replica) catchUp(now monotime.Micros) {
	if r.backlogUnknown(now) {
		return
	}
	r.catchUpInFlight = true
	r.sendWatch(now, 0, func() { r.catchUpInFlight = false })
	r.nextCatchUpAt = now + r.store.WatchInterval()
}
