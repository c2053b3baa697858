package coordination

import (
	"pipitgap/internal/micros"
)

// peers is what the other controllers have said of themselves lately. Nothing of it decides
// anything: the store does.
type peers struct {
	of    map[string]*peer
	lacks map[string]micros.T // by team: when a peer last said that it lacks some of the limit
}

// peer is what one of them has said.
type peer struct {
	heardAt   micros.T       // when it last spoke
	storeAt   micros.T       // when it last said that it reaches the store; 0: never
	usersAt   micros.T       // when it last said that many users wait there; 0: never
	reach     WorkerReach    // what it last said of its workers
	failing   map[string]int // the jobs that fail there, on so many machines
	hasSpoken bool
}

func newPeers() *peers { return &peers{of: map[string]*peer{}, lacks: map[string]micros.T{}} }

// get gives what is known of a peer, which may be nothing.
func (p *peers) get(node string) *peer {
	if p.of[node] == nil {
		p.of[node] = &peer{}
	}
	return p.of[node]
}

// note keeps the status that a peer has sent.
func (p *peers) note(status *PeerStatus, now micros.T) {
	peer := p.get(status.Node)
	peer.heardAt, peer.hasSpoken = now, true
	if status.StateServiceReachable {
		peer.storeAt = now
	}
	if status.WaitingUserRequests > manyUsers {
		peer.usersAt = now
	}
	peer.failing, peer.reach = status.FailingJobs, status.WorkerReach
	for _, team := range status.TeamsShortOfQuota {
		p.lacks[team] = now
	}
}

// usersWait tells whether a peer said lately that many users wait there.
func (p *peers) usersWait(now micros.T) bool {
	for _, peer := range p.of {
		if peer.usersAt != 0 && now-peer.usersAt < 3*slowTick {
			return true
		}
	}
	return false
}

// failures counts on how many machines of peers a job has failed.
func (p *peers) failures(job string) int {
	n := 0
	for _, peer := range p.of {
		n += peer.failing[job]
	}
	return n
}
