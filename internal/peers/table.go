package peers

import (
	"pipitgap/internal/durations"
	"pipitgap/internal/mapentry"
	"pipitgap/internal/monotime"
	"pipitgap/internal/sortedmap"
)

// statusValidity is how long a status of a peer is valid. A peer is considered silent after three missed status
// messages.
const statusValidity = 3 * durations.SlowTickInterval

// storeReportValidity is how long a peer's report that it reaches the state service is valid. The report must
// be recent, because this controller redirects workers and users to that peer.
const storeReportValidity = 1500 * monotime.Millisecond

// Table contains the latest status of each other controller. Its contents are hints that speed up reactions.
// The records in the state service are authoritative.
type Table struct {
	// userCallsThreshold is the number of waiting user calls above which a peer is considered short of writes.
	userCallsThreshold int
	statuses           map[string]*peerState
	// quotaShortageReports contains, by team, the time of the last report of a peer that it lacks quota.
	quotaShortageReports map[string]monotime.Micros
}

// peerState is the state that one peer has reported. The zero value describes a peer without any status.
type peerState struct {
	lastStatusAt       monotime.Micros // receive time of the last status
	storeReachableAt   monotime.Micros // time of its last report that it reaches the state service; 0 if none
	userCallsWaitingAt monotime.Micros // time of the last report above userCallsThreshold; 0 if none
	workerReach        WorkerReach     // from the last status
	failingJobs        map[string]int  // by failing job: number of machines, from the last status
	statusReceived     bool            // at least one status was received
}

// NewTable returns an empty table. UserCallsWaiting considers only peers with more than userCallsThreshold
// waiting user calls.
func NewTable(userCallsThreshold int) *Table {
	return &Table{
		userCallsThreshold:   userCallsThreshold,
		statuses:             map[string]*peerState{},
		quotaShortageReports: map[string]monotime.Micros{},
	}
}

// Update records a received status of a peer.
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

// state returns the state of a peer, or the zero value if no status was received from it.
func (t *Table) state(node string) peerState {
	if known := t.statuses[node]; known != nil {
		return *known
	}
	return peerState{}
}

// HasRecentStatus reports whether a status of a peer was received within statusValidity.
func (t *Table) HasRecentStatus(node string, now monotime.Micros) bool {
	peer := t.state(node)
	return peer.statusReceived && now-peer.lastStatusAt < statusValidity
}

// LastStatusAt returns the receive time of a peer's last status, or 0 if none was received.
func (t *Table) LastStatusAt(node string) monotime.Micros { return t.state(node).lastStatusAt }

// WorkerReach returns a peer's last report whether it reaches its workers.
func (t *Table) WorkerReach(node string) WorkerReach { return t.state(node).workerReach }

// FirstReachingStateService returns the first peer by name that reported, after the given time and within
// storeReportValidity, that it reaches the state service.
func (t *Table) FirstReachingStateService(after, now monotime.Micros) (node string, ok bool) {
	for _, node := range sortedmap.Keys(t.statuses) {
		at := t.statuses[node].storeReachableAt
		if at != 0 && now-at < storeReportValidity && at > after {
			return node, true
		}
	}
	return "", false
}

// UserCallsWaiting reports whether, within statusValidity, a peer reported more waiting user calls than the
// threshold of the table.
func (t *Table) UserCallsWaiting(now monotime.Micros) bool {
	for _, peer := range t.statuses {
		if peer.userCallsWaitingAt != 0 && now-peer.userCallsWaitingAt < statusValidity {
			return true
		}
	}
	return false
}

// FailedMachines returns the number of peers' machines that a job fails on, according to the last status of
// each peer.
func (t *Table) FailedMachines(job string) int {
	n := 0
	for _, peer := range t.statuses {
		n += peer.failingJobs[job]
	}
	return n
}

// QuotaShortageReportedAt returns when a peer last reported that it lacks quota of a team. ok is false if no peer
// has reported it.
func (t *Table) QuotaShortageReportedAt(team string) (at monotime.Micros, ok bool) {
	at, ok = t.quotaShortageReports[team]
	return at, ok
}
