package coordination

import (
	"pipitgap/internal/monotime"
	"pipitgap/internal/peers"
	"pipitgap/internal/ratelimit"
)

// storeAnswerValidity is how long after the last response of the state service this controller reports the
// service to its peers as reachable.
const storeAnswerValidity = 1500 * monotime.Millisecond

// sendPeerStatus sends this controller's status to each peer. Committed cancellations for a peer may be split
// into several messages; each message is sent with its own copy of the status.
func (c *Controller) sendPeerStatus(now monotime.Micros) {
	status := peers.Status{
		Node:                  c.node,
		Incarnation:           c.incarnation,
		StateServiceReachable: !c.store.Unavailable() && now-c.store.LastSuccessAt() < storeAnswerValidity,
		WaitingUserRequests:   c.store.QueuedCalls(ratelimit.PriorityUserRequest),
		WorkerReach:           c.reachability.WorkerReach(),
		FailingJobs:           c.scheduler.FailingJobs(),
		TeamsShortOfQuota:     c.quota.TeamsShortOfQuota(now),
	}
	for _, peer := range c.cfg.Peers {
		for _, message := range c.cancellations.MessagesFor(peer.Node, now, c.replica.Loaded()) {
			status.Cancellations = message
			c.env.SendPeerStatus(peer.Node, status)
		}
	}
}

// OnPeerStatus handles a status from a peer.
func (c *Controller) OnPeerStatus(status peers.Status) {
	now := c.now()
	c.pauses.DetectPause(now)
	c.peerStatuses.Update(&status, now)
	c.cancellations.Receive(status.Node, status.Cancellations)
}
