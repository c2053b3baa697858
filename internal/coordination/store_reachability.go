package coordination

import (
	"pipitgap/internal/agents"
	"pipitgap/internal/durations"
	"pipitgap/internal/monotime"
)

// storeUnreachableOnlyHere tells whether this node can't use the store while another can:
// then it must hand its users and workers to the others. In an outage that all
// share it goes on answering workers, or every lease would lapse.
func (rc *reachability) storeUnreachableOnlyHere(now monotime.Micros) (peer string, alone bool) {
	if !rc.c.store.Unavailable() || now-rc.c.store.LastSuccessAt() < 2*monotime.Second {
		return "", false
	}
	return rc.c.peerStatuses.FirstReachingStore(rc.c.store.LastSuccessAt()+1500*monotime.Millisecond, now)
}

// isIsolated tells whether we reach neither the store nor any other controller:
// then it is we who are cut off, and users are better served elsewhere.
func (rc *reachability) isIsolated(now monotime.Micros) bool {
	if !rc.c.store.Unavailable() || now-rc.c.store.LastSuccessAt() < 2*monotime.Second ||
		len(rc.c.cfg.Peers) == 0 {
		return false
	}
	for _, peer := range rc.c.cfg.Peers {
		if rc.c.peerStatuses.HeardRecently(peer.Node, now) {
			return false
		}
	}
	return true
}

// shouldRedirectAway tells whether a worker of ours is to look for another controller: we reach
// neither the store nor any other, and our membership has ended for so long that
// whoever does has taken our machines over. One that has been round and comes back
// within its lease has found nobody: it is we who are left, or its zone is cut off with
// us, and it is answered as before.
func (rc *reachability) shouldRedirectAway(agent *agents.Agent, now monotime.Micros) bool {
	if !rc.isIsolated(now) ||
		now-rc.c.membership.LeaseRenewedAt() < rc.c.durations.MembershipTTL+durations.TakeoverDuration {
		return false
	}
	return agent.RedirectOnce(now, rc.c.durations.WorkerLease)
}
