package membership

import (
	"testing"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// setLeader puts a leader record into the mirror.
func (h *harness) setLeader(node string, incarnation uint64) {
	h.mirror.Leader, h.mirror.LeaderVersion = storage.Leader{Node: node, Incarnation: incarnation}, 9
}

// TestIsLeader: the record must name this incarnation, the lease be held, and the mirror be complete and no older
// than the lease.
func TestIsLeader(t *testing.T) {
	cases := []struct {
		name    string
		arrange func(h *harness)
		want    bool
	}{
		{"named, lease held, mirror fresh", func(*harness) {}, true},
		{"no leader", func(h *harness) { h.mirror.LeaderVersion = 0 }, false},
		{"another controller", func(h *harness) { h.setLeader("n-0", testIncarnation) }, false},
		{"an earlier incarnation", func(h *harness) { h.setLeader(testNode, testIncarnation-1) }, false},
		{"lease expired", func(h *harness) { h.now += testTTL }, false},
		{"mirror incomplete", func(h *harness) { h.ready = false }, false},
		{"mirror from before the lease", func(h *harness) { h.freshAt = testStart - 1 }, false},
	}
	for _, tc := range cases {
		h := newHarness(t)
		h.grantLease(5)
		h.freshAt = testStart
		h.setLeader(testNode, testIncarnation)
		tc.arrange(h)
		if got := h.membership.IsLeader(h.now); got != tc.want {
			t.Errorf("%s: %t", tc.name, got)
		}
	}
}

// TestCampaign: a controller that holds its lease takes a vacant leadership, or that of its own earlier
// incarnation, on condition of the version seen, and one election at a time.
func TestCampaign(t *testing.T) {
	cases := []struct {
		name    string
		arrange func(h *harness)
		version uint64
		want    bool
	}{
		{"vacant", func(*harness) {}, 0, true},
		{
			"its earlier incarnation leads",
			func(h *harness) { h.setLeader(testNode, testIncarnation-1) },
			9,
			true,
		},
		{"it leads", func(h *harness) { h.setLeader(testNode, testIncarnation) }, 0, false},
		{"another leads", func(h *harness) { h.setLeader("n-0", testIncarnation-1) }, 0, false},
		{"lease expired", func(h *harness) { h.now += testTTL }, 0, false},
		{"state service unavailable", func(h *harness) { h.unavailable = true }, 0, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			h.grantLease(5)
			h.answerCommit(protocol.OK) // the member record
			tc.arrange(h)
			h.membership.Campaign(h.now)
			h.membership.Campaign(h.now)
			election, ok := h.Only(t, tc.want)
			if !ok {
				return
			}
			txn := election.Transaction
			condition := protocol.Compare{Key: storage.LeaderKey, Version: tc.version}
			if len(txn.If) != 1 || txn.If[0] != condition || len(txn.Then) != 1 || txn.Then[0].Lease != 5 {
				t.Errorf("election %+v", txn)
			}
			h.answerCommit(protocol.Conflict)
			h.membership.Campaign(h.now + monotime.Second)
			if len(h.Commits) != 1 {
				t.Error("no further election after a lost one")
			}
		})
	}
}
