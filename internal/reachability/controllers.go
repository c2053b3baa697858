package reachability

import (
	"pipitgap/internal/durations"
	"pipitgap/internal/monotime"
	"pipitgap/internal/peers"
)

const (
	// isolationDelay is how long the state service must not have answered before this controller judges
	// whether others reach it.
	isolationDelay = 2 * monotime.Second
	// peerReportLead is how much later than this controller's last answer a peer's report must be: both have
	// the same answers to wait for.
	peerReportLead = 1500 * monotime.Millisecond
)

// StoreUnreachableOnlyHere reports whether this controller can't use the state service while a peer can; it
// names that peer. Then its users and workers are sent to the others. In an outage that all share it goes on
// answering workers, or every lease would expire.
func (r *Reachability) StoreUnreachableOnlyHere(now monotime.Micros) (peer string, onlyHere bool) {
	if !r.storeSilent(now) {
		return "", false
	}
	return r.peerStatuses.FirstReachingStore(r.store.LastSuccessAt()+peerReportLead, now)
}

// IsIsolated reports whether this controller reaches neither the state service nor any other controller: then
// it is most likely the one that is cut off, and users are better served elsewhere. A controller without
// peers is never isolated.
func (r *Reachability) IsIsolated(now monotime.Micros) bool {
	if !r.storeSilent(now) || len(r.options.Peers) == 0 {
		return false
	}
	for _, peer := range r.options.Peers {
		if r.peerStatuses.HeardRecently(peer, now) {
			return false
		}
	}
	return true
}

// storeSilent reports whether the state service hasn't answered for a while.
func (r *Reachability) storeSilent(now monotime.Micros) bool {
	return r.store.Unavailable() && now-r.store.LastSuccessAt() >= isolationDelay
}

// IsSuperseded reports whether this controller is isolated, and its membership has ended for so long that
// another, if there is one, has taken its machines over.
func (r *Reachability) IsSuperseded(now monotime.Micros) bool {
	return r.IsIsolated(now) &&
		now-r.membership.LeaseRenewedAt() >= r.options.Durations.MembershipTTL+durations.TakeoverDuration
}

// IsCutOffFromWorkers reports whether a controller lives, but is known not to reach its workers.
func (r *Reachability) IsCutOffFromWorkers(node string, now monotime.Micros) bool {
	if node == r.node {
		return r.WorkersUnreachable()
	}
	return r.peerStatuses.HeardRecently(node, now) &&
		r.peerStatuses.WorkerReach(node) == peers.WorkersUnreachable
}

// ConnectedControllers lists the live controllers that are fit for machines and pending tasks, in order:
// those that aren't known to be cut off from their workers, or all if every one is.
func (r *Reachability) ConnectedControllers() []string {
	live, now := r.membership.LiveControllers(), r.env.Now()
	var connected []string
	for _, node := range live {
		if !r.IsCutOffFromWorkers(node, now) {
			connected = append(connected, node)
		}
	}
	if len(connected) == 0 {
		return live
	}
	return connected
}
