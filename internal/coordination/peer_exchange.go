package coordination

import (
	"pipitgap/internal/monotime"
	"pipitgap/internal/peers"
	"pipitgap/internal/ratelimit"
)

// storeAnswerValidity is how long an answer of the state service shows peers that this controller reaches it.
const storeAnswerValidity = 1500 * monotime.Millisecond

// sendPeerStatus sends this controller's status to its peers, once for each message about cancellations.
func (c *Controller) sendPeerStatus(now monotime.Micros) {
	status := peers.Status{
		Node:                  c.node,
		Incarnation:           c.incarnation,
		StateServiceReachable: !c.store.Unavailable() && now-c.store.LastSuccessAt() < storeAnswerValidity,
		WaitingUserRequests:   c.store.QueuedCalls(ratelimit.PriorityUserRequest),
		WorkerReach:           c.reachability.WorkerReach(),
		FailingJobs:           c.scheduler.FailingJobs(),
		TeamsShortOfQuota:     c.quota.TeamsLacking(now),
	}
	for _, peer := range c.cfg.Peers {
		for _, message := range c.cancellations.MessagesFor(peer.Node, now, c.replica.Loaded()) {
			status.Cancellations = message
			c.env.SendPeerStatus(peer.Node, status)
		}
	}
}

// OnPeerStatus handles a status that a peer has sent.
func (c *Controller) OnPeerStatus(status peers.Status) {
	now := c.now()
	c.pauses.DetectPause(now)
	c.peerStatuses.Update(&status, now)
	c.cancellations.Receive(status.Node, status.Cancellations)
}
