package mirror

import "pipitgap/internal/monotime"

// pendingRead waits for the mirror to be as new as its request.
type pendingRead struct {
	requestedAt monotime.Micros
	callback    func(ok bool)
}

// WhenCurrent calls back once the mirror holds all that the state service held at this moment, or with false
// if the service doesn't answer. One answer of a watch serves all readers that wait: users with a
// thousand jobs read hundreds of times a second, and a request for each would use up the budget.
func (r *Replica) WhenCurrent(callback func(ok bool)) {
	now := r.env.Now()
	r.pendingReads = append(r.pendingReads, pendingRead{now, callback})
	if r.watch.inFlight && r.mayCatchUp(now) {
		r.catchUp(now)
	}
}

// completePendingReads serves the readers whose requests came before a watch was sent that has answered.
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

// catchUpForReaders catches up if the watch in flight was sent before the first reader's request.
func (r *Replica) catchUpForReaders(now monotime.Micros) {
	if len(r.pendingReads) > 0 && r.watch.sentAt < r.pendingReads[0].requestedAt && r.mayCatchUp(now) {
		r.catchUp(now)
	}
}

// mayCatchUp reports whether the changes so far may be requested now, beside the watch.
func (r *Replica) mayCatchUp(now monotime.Micros) bool {
	return now >= r.nextCatchUpAt && !r.catchUpInFlight
}

// catchUp requests the changes so far, beside the watch that waits for the next.
func (r *Replica) catchUp(now monotime.Micros) {
	if r.backlogUnknown(now) {
		return
	}
	r.catchUpInFlight = true
	r.sendWatch(now, 0, func() { r.catchUpInFlight = false })
	r.nextCatchUpAt = now + r.store.WatchInterval()
}
