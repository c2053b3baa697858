package peers

import (
	"pipitgap/internal/durations"
	"pipitgap/internal/mapentry"
	"pipitgap/internal/monotime"
	"pipitgap/internal/sortedmap"
)

// statusValidity is how long what a peer has said counts: a peer that has missed three of its statuses is
// silent.
const statusValidity = 3 * durations.SlowTickInterval

// storeReportValidity is how long a peer's report counts that it reaches the state service. Workers and users
// are sent to that peer, so it must be recent.
const storeReportValidity = 1500 * monotime.Millisecond

// Table holds what the other controllers have last said about themselves. It only speeds things up: what
// holds is decided by the records in the state service.
type Table struct {
	userCallsThreshold int // a peer with more waiting calls of users than this is short of writes
	statuses           map[string]*peerState
	// by team: when a peer last reported that it lacks quota
	quotaShortageReports map[string]monotime.Micros
}

// peerState is what one peer has said; its zero value is that of a peer never heard.
type peerState struct {
	lastStatusAt       monotime.Micros // when its last status came
	storeReachableAt   monotime.Micros // when it last reported that it reaches the state service; 0: never
	userCallsWaitingAt monotime.Micros // when it last reported that many calls of users wait there; 0: never
	workerReach        WorkerReach     // whether it reaches its workers
	failingJobs        map[string]int  // by job that fails there: on how many machines
	statusReceived     bool            // a status has come
}

// NewTable makes the table of a controller that has heard no peer yet. A peer with more than
// userCallsThreshold waiting calls of users counts as one where users wait.
func NewTable(userCallsThreshold int) *Table {
	return &Table{
		userCallsThreshold:   userCallsThreshold,
		statuses:             map[string]*peerState{},
		quotaShortageReports: map[string]monotime.Micros{},
	}
}

// Update keeps the status that a peer has sent.
func (t *Table) Update(status *Status, now monotime.Micros) {
	peer := mapentry.GetOrNew(t.statuses, status.Node)
	peer.lastStatusAt, peer.statusReceived = now, true
	if status.StateServiceReachable {
		peer.storeReachableAt = now
	}
	if status.WaitingUserRequests > t.userCallsThreshold {
		peer.userCallsWaitingAt = now
	}
	peer.failingJobs, peer.workerReach = status.FailingJobs, status.WorkerReach
	for _, team := range status.TeamsShortOfQuota {
		t.quotaShortageReports[team] = now
	}
}

// state returns what is known of a peer, which may be nothing.
func (t *Table) state(node string) peerState {
	if known := t.statuses[node]; known != nil {
		return *known
	}
	return peerState{}
}

// HeardRecently reports whether a status of a peer has come lately.
func (t *Table) HeardRecently(node string, now monotime.Micros) bool {
	peer := t.state(node)
	return peer.statusReceived && now-peer.lastStatusAt < statusValidity
}

// LastHeardAt returns when the last status of a peer came; 0 is returned for one that was never heard.
func (t *Table) LastHeardAt(node string) monotime.Micros { return t.state(node).lastStatusAt }

// WorkerReach returns what a peer has last said about its workers.
func (t *Table) WorkerReach(node string) WorkerReach { return t.state(node).workerReach }

// FirstReachingStore returns the first peer, in the order of names, that has lately reported that it reaches
// the state service, and has done so after the given instant.
func (t *Table) FirstReachingStore(after, now monotime.Micros) (node string, ok bool) {
	for _, node := range sortedmap.Keys(t.statuses) {
		at := t.statuses[node].storeReachableAt
		if at != 0 && now-at < storeReportValidity && at > after {
			return node, true
		}
	}
	return "", false
}

// UserCallsWaiting reports whether a peer reported lately that many calls of users wait there.
func (t *Table) UserCallsWaiting(now monotime.Micros) bool {
	for _, peer := range t.statuses {
		if peer.userCallsWaitingAt != 0 && now-peer.userCallsWaitingAt < statusValidity {
			return true
		}
	}
	return false
}

// FailedMachines counts on how many machines of peers a job has failed.
func (t *Table) FailedMachines(job string) int {
	n := 0
	for _, peer := range t.statuses {
		n += peer.failingJobs[job]
	}
	return n
}

// QuotaLackReportedAt returns when a peer last reported that it lacks quota of a team; ok is false if none
// ever did.
func (t *Table) QuotaLackReportedAt(team string) (at monotime.Micros, ok bool) {
	at, ok = t.quotaShortageReports[team]
	return at, ok
}
