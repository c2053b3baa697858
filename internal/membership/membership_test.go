package membership

import (
	"slices"
	"testing"

	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// TestEnsureMemberRecord: it is written when there is none, or that of an earlier incarnation,
// on condition of the version seen, together with the partition of the quotas.
func TestEnsureMemberRecord(t *testing.T) {
	cases := []struct {
		name      string
		arrange   func(h *harness)
		writes    bool
		version   uint64 // that the write compares
		partition bool
	}{
		{"none", func(*harness) {}, true, 0, false},
		{"its own", func(h *harness) { h.putMember(testNode, testIncarnation, 3) }, false, 0, false},
		{"an earlier incarnation's", func(h *harness) { h.putMember(testNode, 6, 3) }, true, 3, false},
		{"another controller's", func(h *harness) { h.putMember("n-0", testIncarnation, 3) }, true, 0, false},
		{"with a partition", func(h *harness) {
			h.mirror.Partitions[testNode] = &mirror.PartitionEntry{Version: 4}
		}, true, 0, true},
		{"mirror incomplete", func(h *harness) { h.ready = false }, false, 0, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			tc.arrange(h)
			h.grantLease(5) // which writes the record
			h.membership.EnsureMemberRecord()
			write, ok := h.Only(t, tc.writes)
			if !ok {
				return
			}
			txn := write.Transaction
			want := []protocol.Compare{{Key: storage.MemberKey(testNode), Version: tc.version}}
			if tc.partition {
				want = append(
					want,
					protocol.Compare{Key: storage.PartitionKey(testNode), Version: 4},
				)
			}
			if !slices.Equal(txn.If, want) {
				t.Errorf("conditions %+v, want %+v", txn.If, want)
			}
			if len(txn.Then) != len(want) || txn.Then[0].Put != want[0].Key || txn.Then[0].Lease != 5 {
				t.Errorf("changes %+v", txn.Then)
			}
			var record storage.Member
			if err := protocol.Unmarshal(txn.Then[0].Value, &record); err != nil {
				t.Fatal(err)
			}
			if record.Incarnation != testIncarnation || record.Zone != "a" {
				t.Errorf("record %+v", record)
			}
		})
	}
}

// TestRejectedMemberRecordRequestsNewLease: the state service rejects a record whose lease has expired.
func TestRejectedMemberRecordRequestsNewLease(t *testing.T) {
	for _, tc := range []struct {
		outcome protocol.Outcome
		grants  int
	}{{protocol.OK, 0}, {protocol.Conflict, 0}, {protocol.Unknown, 0}, {protocol.Rejected, 1}} {
		h := newHarness(t)
		h.grantLease(5)
		h.answerCommit(tc.outcome)
		if len(h.calls) != tc.grants || h.membership.HoldsLease(h.now) != (tc.grants == 0) {
			t.Errorf("%v: %d grants, held %t", tc.outcome, len(h.calls), h.membership.HoldsLease(h.now))
		}
	}
}

// TestLiveControllers: the members that belong to the deployment, in its order.
func TestLiveControllers(t *testing.T) {
	h := newHarness(t)
	for _, node := range []string{"n-2", "n-9", testNode} {
		h.putMember(node, 1, 1)
	}
	if live := h.membership.LiveControllers(); !slices.Equal(live, []string{testNode, "n-2"}) {
		t.Errorf("live: %v", live)
	}
}

// TestAbsentSince: a controller is missed from the first call on, until it is a member again.
func TestAbsentSince(t *testing.T) {
	h := newHarness(t)
	steps := []struct {
		name   string
		member bool // whether it is one before the call, and a change of that is seen
		at     monotime.Micros
		want   monotime.Micros
	}{
		{"first missed", false, 10, 10},
		{"still", false, 20, 10},
		{"was back", true, 30, 30},
		{"gone again", false, 40, 30},
	}
	for _, step := range steps {
		if step.member {
			h.putMember("n-0", 1, 1)
			h.membership.HandleMemberChange("n-0")
			delete(h.mirror.Members, "n-0")
			h.membership.HandleMemberChange("n-0")
		}
		if got := h.membership.AbsentSince("n-0", step.at); got != step.want {
			t.Errorf("%s: since %d, want %d", step.name, got, step.want)
		}
	}
}
