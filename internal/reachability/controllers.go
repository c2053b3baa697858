package reachability

import (
	"pipitgap/internal/durations"
	"pipitgap/internal/monotime"
	"pipitgap/internal/peers"
)

const (
	// isolationDelay is how long the state service must not have responded before this controller checks
	// whether it is isolated, or whether peers still reach the service.
	isolationDelay = 2 * monotime.Second
	// peerReportLead is how much later than the last response of the state service to this controller a peer
	// must have reported that it reaches the service. Both controllers wait for the same responses, so a
	// shorter lead does not show that only this controller is affected.
	peerReportLead = 1500 * monotime.Millisecond
)

// StoreUnreachableOnlyHere reports whether this controller cannot reach the state service while a peer can,
// and returns that peer. In that case callers direct users and workers to other controllers. During an
// outage that affects all controllers, this controller keeps responding to workers; otherwise every lease
// would expire.
func (r *Reachability) StoreUnreachableOnlyHere(now monotime.Micros) (peer string, onlyHere bool) {
	if !r.storeSilent(now) {
		return "", false
	}
	return r.peerStatuses.FirstReachingStateService(r.store.LastSuccessAt()+peerReportLead, now)
}

// IsIsolated reports whether this controller reaches neither the state service nor any other controller. In
// that case this controller most likely has lost its network connection, and users should use another
// controller. A controller without peers is never isolated.
func (r *Reachability) IsIsolated(now monotime.Micros) bool {
	if !r.storeSilent(now) || len(r.options.Peers) == 0 {
		return false
	}
	for _, peer := range r.options.Peers {
		if r.peerStatuses.HasRecentStatus(peer, now) {
			return false
		}
	}
	return true
}

// storeSilent reports whether the state service is unavailable and has not responded for isolationDelay.
func (r *Reachability) storeSilent(now monotime.Micros) bool {
	return r.store.Unavailable() && now-r.store.LastSuccessAt() >= isolationDelay
}

// IsSuperseded reports whether this controller is isolated and renewed its lease so long ago that its
// membership ended at least TakeoverDuration ago. By then any other live controller has taken over its
// machines.
func (r *Reachability) IsSuperseded(now monotime.Micros) bool {
	return r.IsIsolated(now) &&
		now-r.membership.LeaseRenewedAt() >= r.options.Durations.MembershipTTL+durations.TakeoverDuration
}

// IsCutOffFromWorkers reports whether a controller is known not to reach its workers. A peer must have
// reported so, and its last status must be recent.
func (r *Reachability) IsCutOffFromWorkers(node string, now monotime.Micros) bool {
	if node == r.node {
		return r.WorkersUnreachable()
	}
	return r.peerStatuses.HasRecentStatus(node, now) &&
		r.peerStatuses.WorkerReach(node) == peers.WorkersUnreachable
}

// ConnectedControllers returns the live controllers that may be assigned machines and pending tasks, in
// ascending order: those not known to be cut off from their workers, or all live controllers if each of them
// is cut off.
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
