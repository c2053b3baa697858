package coordination

import (
	"pipitgap/internal/durations"
	"pipitgap/internal/monotime"
	"pipitgap/internal/storeclient"
)

// PeerTable is what the other controllers have said of themselves lately. Nothing of it decides
// anything: the store does.
type PeerTable struct {
	statuses map[string]*peerState
	// by team: when a peer last said that it lacks some of the limit
	quotaLackReportedAt map[string]monotime.Micros
}

// peerState is what one of them has said.
type peerState struct {
	lastHeardAt        monotime.Micros // when it last spoke
	storeReachableAt   monotime.Micros // when it last said that it reaches the store; 0: never
	userCallsWaitingAt monotime.Micros // when it last said that many users wait there; 0: never
	reachability       WorkerReach     // what it last said of its workers
	failingJobs        map[string]int  // the jobs that fail there, on so many machines
	hasReported        bool
}

func newPeerTable() *PeerTable {
	return &PeerTable{statuses: map[string]*peerState{}, quotaLackReportedAt: map[string]monotime.Micros{}}
}

// status gives what is known of a peer, which may be nothing.
func (p *PeerTable) status(node string) *peerState {
	if p.statuses[node] == nil {
		p.statuses[node] = &peerState{}
	}
	return p.statuses[node]
}

// update keeps the status that a peer has sent.
func (p *PeerTable) update(status *PeerStatus, now monotime.Micros) {
	peer := p.status(status.Node)
	peer.lastHeardAt, peer.hasReported = now, true
	if status.StateServiceReachable {
		peer.storeReachableAt = now
	}
	if status.WaitingUserRequests > storeclient.WaitingUserCallsThreshold {
		peer.userCallsWaitingAt = now
	}
	peer.failingJobs, peer.reachability = status.FailingJobs, status.WorkerReach
	for _, team := range status.TeamsShortOfQuota {
		p.quotaLackReportedAt[team] = now
	}
}

// userCallsWaiting tells whether a peer said lately that many users wait there.
func (p *PeerTable) userCallsWaiting(now monotime.Micros) bool {
	for _, status := range p.statuses {
		if status.userCallsWaitingAt != 0 && now-status.userCallsWaitingAt < 3*durations.SlowTickInterval {
			return true
		}
	}
	return false
}

// failedMachines counts on how many machines of peers a job has failed.
func (p *PeerTable) failedMachines(job string) int {
	n := 0
	for _, status := range p.statuses {
		n += status.failingJobs[job]
	}
	return n
}
