package peers

import (
	"testing"

	"pipitgap/internal/monotime"
)

const (
	testThreshold = 2
	testNow       = 100 * monotime.Second
)

// TestHeardRecently: a peer is heard until it has missed three statuses; one that has said nothing isn't heard,
// also at the start of the clock.
func TestHeardRecently(t *testing.T) {
	table := NewTable(testThreshold)
	if table.HeardRecently("n-1", 0) {
		t.Error("a peer that has said nothing is heard")
	}
	table.Update(&Status{Node: "n-1"}, testNow)
	cases := []struct {
		name string
		node string
		at   monotime.Micros
		want bool
	}{
		{"at once", "n-1", testNow, true},
		{"before the third status is missed", "n-1", testNow + statusValidity - 1, true},
		{"three statuses missed", "n-1", testNow + statusValidity, false},
		{"another peer", "n-2", testNow, false},
	}
	for _, tc := range cases {
		if got := table.HeardRecently(tc.node, tc.at); got != tc.want {
			t.Errorf("%s: %t", tc.name, got)
		}
	}
	if at := table.LastHeardAt("n-1"); at != testNow {
		t.Errorf("heard at %d", at)
	}
	if at := table.LastHeardAt("n-2"); at != 0 {
		t.Errorf("never heard, but at %d", at)
	}
}

// TestFirstReachingStore: only a recent report from after the given instant counts, and a later status without
// one doesn't take it back.
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
		{"the first by name", testNow - 1, testNow + 1, "n-2"},
		{"reported before", testNow, testNow + 1, ""},
		{"just recent enough", testNow - 1, testNow + storeReportValidity - 1, "n-2"},
		{"too long ago", testNow - 1, testNow + storeReportValidity, ""},
	}
	for _, tc := range cases {
		if got, ok := table.FirstReachingStore(tc.after, tc.now); got != tc.want || ok != (tc.want != "") {
			t.Errorf("%s: %q %t, want %q", tc.name, got, ok, tc.want)
		}
	}
}

// TestUserCallsWaiting: users wait at a peer while its last report of more calls than the threshold is recent.
func TestUserCallsWaiting(t *testing.T) {
	cases := []struct {
		name    string
		waiting []int // in statuses, one after the other
		later   monotime.Micros
		want    bool
	}{
		{"none", []int{0}, 0, false},
		{"as many as allowed", []int{testThreshold}, 0, false},
		{"more", []int{testThreshold + 1}, 0, true},
		{"more, and none since", []int{testThreshold + 1, 0}, 0, true},
		{"more, for long", []int{testThreshold + 1}, statusValidity - 1, true},
		{"more, too long ago", []int{testThreshold + 1}, statusValidity, false},
	}
	for _, tc := range cases {
		table := NewTable(testThreshold)
		for _, waiting := range tc.waiting {
			table.Update(&Status{Node: "n-1", WaitingUserRequests: waiting}, testNow)
		}
		if got := table.UserCallsWaiting(testNow + tc.later); got != tc.want {
			t.Errorf("%s: %t", tc.name, got)
		}
	}
}

// TestLatestStatusReplacesEarlier: what fails at peers and whether they reach their workers is as each has last said it.
func TestLatestStatusReplacesEarlier(t *testing.T) {
	table := NewTable(testThreshold)
	table.Update(&Status{
		Node: "n-1", WorkerReach: WorkersUnreachable, FailingJobs: map[string]int{"a": 5, "b": 1},
		TeamsShortOfQuota: []string{"red"},
	}, testNow)
	table.Update(&Status{Node: "n-1", WorkerReach: WorkersReachable, FailingJobs: map[string]int{"a": 2}}, testNow+1)
	table.Update(&Status{Node: "n-2", FailingJobs: map[string]int{"a": 1}}, testNow+1)
	if a, b := table.FailedMachines("a"), table.FailedMachines("b"); a != 3 || b != 0 {
		t.Errorf("a fails on %d machines, b on %d", a, b)
	}
	reach := [3]WorkerReach{table.WorkerReach("n-1"), table.WorkerReach("n-2"), table.WorkerReach("n-3")}
	if reach != [3]WorkerReach{WorkersReachable, WorkersUnknown, WorkersUnknown} {
		t.Errorf("reach of workers %v", reach)
	}
	if at, ok := table.QuotaLackReportedAt("red"); !ok || at != testNow {
		t.Errorf("quota lacks since %d, %t", at, ok)
	}
	if _, ok := table.QuotaLackReportedAt("blue"); ok {
		t.Error("a lack of quota that nobody has reported")
	}
}
