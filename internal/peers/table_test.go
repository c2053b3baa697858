package peers

import (
	"testing"

	"pipitgap/internal/monotime"
)

const (
	testThreshold = 2
	testNow       = 100 * monotime.Second
)

// TestHeardRecently: a peer counts as heard until it has missed three status messages. A peer without any
// status doesn't count as heard, even at time 0.
func TestHeardRecently(t *testing.T) {
	table := NewTable(testThreshold)
	if table.HasRecentStatus("n-1", 0) {
		t.Error("peer without any status at time 0: got heard true, want false")
	}
	table.Update(&Status{Node: "n-1"}, testNow)
	cases := []struct {
		name string
		node string
		at   monotime.Micros
		want bool
	}{
		{"at the receive time", "n-1", testNow, true},
		{"before the third status is missed", "n-1", testNow + statusValidity - 1, true},
		{"third status missed", "n-1", testNow + statusValidity, false},
		{"another peer", "n-2", testNow, false},
	}
	for _, tc := range cases {
		if got := table.HasRecentStatus(tc.node, tc.at); got != tc.want {
			t.Errorf("%s: got heard %t, want %t", tc.name, got, tc.want)
		}
	}
	if at := table.LastStatusAt("n-1"); at != testNow {
		t.Errorf("last status of n-1: got time %d, want %d", at, testNow)
	}
	if at := table.LastStatusAt("n-2"); at != 0 {
		t.Errorf("last status of n-2, which sent none: got time %d, want 0", at)
	}
}

// TestFirstReachingStore: only a recent report after the given time counts. A later status that doesn't
// report a reachable state service doesn't revoke it.
func TestFirstReachingStore(t *testing.T) {
	table := NewTable(testThreshold)
	table.Update(&Status{Node: "n-3", StateServiceReachable: true}, testNow)
	table.Update(&Status{Node: "n-2", StateServiceReachable: true}, testNow)
	table.Update(&Status{Node: "n-1"}, testNow)
	table.Update(&Status{Node: "n-2"}, testNow+1)
	cases := []struct {
		name       string
		after, now monotime.Micros
		want       string
	}{
		{"first peer by name", testNow - 1, testNow + 1, "n-2"},
		{"reported at the given time", testNow, testNow + 1, ""},
		{"report barely valid", testNow - 1, testNow + storeReportValidity - 1, "n-2"},
		{"report expired", testNow - 1, testNow + storeReportValidity, ""},
	}
	for _, tc := range cases {
		if got, ok := table.FirstReachingStateService(tc.after, tc.now); got != tc.want || ok != (tc.want != "") {
			t.Errorf("%s: got %q, %t; want %q, %t", tc.name, got, ok, tc.want, tc.want != "")
		}
	}
}

// TestUserCallsWaiting: a report of more waiting user calls than the threshold counts while it is recent,
// even after a later status with fewer calls.
func TestUserCallsWaiting(t *testing.T) {
	cases := []struct {
		name    string
		waiting []int           // waiting calls in successive status messages
		later   monotime.Micros // time since the last status
		want    bool
	}{
		{"no calls", []int{0}, 0, false},
		{"calls at the threshold", []int{testThreshold}, 0, false},
		{"calls above the threshold", []int{testThreshold + 1}, 0, true},
		{"above the threshold, later no calls", []int{testThreshold + 1, 0}, 0, true},
		{"above the threshold, report barely valid", []int{testThreshold + 1}, statusValidity - 1, true},
		{"above the threshold, report expired", []int{testThreshold + 1}, statusValidity, false},
	}
	for _, tc := range cases {
		table := NewTable(testThreshold)
		for _, waiting := range tc.waiting {
			table.Update(&Status{Node: "n-1", WaitingUserRequests: waiting}, testNow)
		}
		if got := table.UserCallsWaiting(testNow + tc.later); got != tc.want {
			t.Errorf("%s: got user calls waiting %t, want %t", tc.name, got, tc.want)
		}
	}
}

// TestLatestStatusReplacesEarlier: the latest status of a peer replaces its failing jobs and its worker
// reach. The time of an earlier quota shortage report stays.
func TestLatestStatusReplacesEarlier(t *testing.T) {
	table := NewTable(testThreshold)
	table.Update(&Status{
		Node: "n-1", WorkerReach: WorkersUnreachable, FailingJobs: map[string]int{"a": 5, "b": 1},
		TeamsShortOfQuota: []string{"red"},
	}, testNow)
	table.Update(&Status{Node: "n-1", WorkerReach: WorkersReachable, FailingJobs: map[string]int{"a": 2}}, testNow+1)
	table.Update(&Status{Node: "n-2", FailingJobs: map[string]int{"a": 1}}, testNow+1)
	if a, b := table.FailedMachines("a"), table.FailedMachines("b"); a != 3 || b != 0 {
		t.Errorf("failed machines: got %d for job a and %d for job b, want 3 and 0", a, b)
	}
	reach := [3]WorkerReach{table.WorkerReach("n-1"), table.WorkerReach("n-2"), table.WorkerReach("n-3")}
	if reach != [3]WorkerReach{WorkersReachable, WorkersUnknown, WorkersUnknown} {
		t.Errorf("worker reach of n-1, n-2, n-3: got %v, want %v",
			reach, [3]WorkerReach{WorkersReachable, WorkersUnknown, WorkersUnknown})
	}
	if at, ok := table.QuotaShortageReportedAt("red"); !ok || at != testNow {
		t.Errorf("quota shortage of team red: got time %d, reported %t; want %d, true", at, ok, testNow)
	}
	if _, ok := table.QuotaShortageReportedAt("blue"); ok {
		t.Error("quota shortage of team blue: got reported true, want false")
	}
}
