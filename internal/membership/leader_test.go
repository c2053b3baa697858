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

// TestIsLeader: a controller is the leader only if the leader record names its incarnation, it holds its
// lease, and the mirror is complete and at least as recent as the grant of the lease.
func TestIsLeader(t *testing.T) {
	cases := []struct {
		name    string
		arrange func(h *harness)
		want    bool
	}{
		{"named, lease held, mirror fresh", func(*harness) {}, true},
		{"no leader record", func(h *harness) { h.mirror.LeaderVersion = 0 }, false},
		{"record names another controller", func(h *harness) { h.setLeader("n-0", testIncarnation) }, false},
		{"record names an earlier incarnation", func(h *harness) { h.setLeader(testNode, testIncarnation-1) }, false},
		{"lease expired", func(h *harness) { h.now += testTTL }, false},
		{"mirror incomplete", func(h *harness) { h.ready = false }, false},
		{"mirror older than the lease", func(h *harness) { h.freshAt = testStart - 1 }, false},
	}
	for _, tc := range cases {
		h := newHarness(t)
		h.grantLease(5)
		h.freshAt = testStart
		h.setLeader(testNode, testIncarnation)
		tc.arrange(h)
		if got := h.membership.IsLeader(h.now); got != tc.want {
			t.Errorf("%s: got leader %t, want %t", tc.name, got, tc.want)
		}
	}
}

// TestCampaign: a controller with a lease writes the leader record if no record exists or if the record names
// its earlier incarnation. The write compares the record's version. Only one such write is in flight at a
// time.
func TestCampaign(t *testing.T) {
	cases := []struct {
		name    string
		arrange func(h *harness)
		version uint64
		want    bool
	}{
		{"no leader record", func(*harness) {}, 0, true},
		{
			"its earlier incarnation is the leader",
			func(h *harness) { h.setLeader(testNode, testIncarnation-1) },
			9,
			true,
		},
		{"it is the leader", func(h *harness) { h.setLeader(testNode, testIncarnation) }, 0, false},
		{"another controller is the leader", func(h *harness) { h.setLeader("n-0", testIncarnation-1) }, 0, false},
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
			election, ok := h.SingleCommit(t, tc.want)
			if !ok {
				return
			}
			txn := election.Transaction
			condition := protocol.Compare{Key: storage.LeaderKey, Version: tc.version}
			if len(txn.If) != 1 || txn.If[0] != condition || len(txn.Then) != 1 || txn.Then[0].Lease != 5 {
				t.Errorf("got transaction %+v, want condition %+v and one write with lease 5", txn, condition)
			}
			h.answerCommit(protocol.Conflict)
			h.membership.Campaign(h.now + monotime.Second)
			if len(h.Commits) != 1 {
				t.Errorf("commits after a lost election: got %d, want 1", len(h.Commits))
			}
		})
	}
}
