package membership

import (
	"testing"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// setLeader puts a leader record into the mirror.
func (w *world) setLeader(node string, incarnation uint64) {
	w.mirror.Leader, w.mirror.LeaderVersion = storage.Leader{Node: node, Incarnation: incarnation}, 9
}

// TestIsLeader: the record must name this incarnation, the lease be held, and the mirror be complete and no older
// than the lease.
func TestIsLeader(t *testing.T) {
	cases := []struct {
		name    string
		arrange func(w *world)
		want    bool
	}{
		{"named, lease held, mirror fresh", func(*world) {}, true},
		{"no leader", func(w *world) { w.mirror.LeaderVersion = 0 }, false},
		{"another controller", func(w *world) { w.setLeader("n-0", testIncarnation) }, false},
		{"an earlier incarnation", func(w *world) { w.setLeader(testNode, testIncarnation-1) }, false},
		{"lease expired", func(w *world) { w.now += testTTL }, false},
		{"mirror incomplete", func(w *world) { w.ready = false }, false},
		{"mirror from before the lease", func(w *world) { w.freshAt = testStart - 1 }, false},
	}
	for _, tc := range cases {
		w := newWorld(t)
		w.holdLease(5)
		w.freshAt = testStart
		w.setLeader(testNode, testIncarnation)
		tc.arrange(w)
		if got := w.membership.IsLeader(w.now); got != tc.want {
			t.Errorf("%s: %t", tc.name, got)
		}
	}
}

// TestCampaign: a controller that holds its lease takes a vacant leadership, or that of its own earlier
// incarnation, on condition of the version seen, and one election at a time.
func TestCampaign(t *testing.T) {
	cases := []struct {
		name    string
		arrange func(w *world)
		version uint64
		want    bool
	}{
		{"vacant", func(*world) {}, 0, true},
		{
			"its earlier incarnation leads",
			func(w *world) { w.setLeader(testNode, testIncarnation-1) },
			9,
			true,
		},
		{"it leads", func(w *world) { w.setLeader(testNode, testIncarnation) }, 0, false},
		{"another leads", func(w *world) { w.setLeader("n-0", testIncarnation-1) }, 0, false},
		{"lease expired", func(w *world) { w.now += testTTL }, 0, false},
		{"state service unavailable", func(w *world) { w.unavailable = true }, 0, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(t)
			w.holdLease(5)
			w.answerCommit(protocol.OK) // the member record
			tc.arrange(w)
			w.membership.Campaign(w.now)
			w.membership.Campaign(w.now)
			election, ok := w.Only(t, tc.want)
			if !ok {
				return
			}
			txn := election.Transaction
			condition := protocol.Compare{Key: storage.LeaderKey, Version: tc.version}
			if len(txn.If) != 1 || txn.If[0] != condition || len(txn.Then) != 1 || txn.Then[0].Lease != 5 {
				t.Errorf("election %+v", txn)
			}
			w.answerCommit(protocol.Conflict)
			w.membership.Campaign(w.now + monotime.Second)
			if len(w.Commits) != 1 {
				t.Error("no further election after a lost one")
			}
		})
	}
}
