package membership

import (
	"slices"
	"testing"

	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// TestEnsureMemberRecord: a controller writes its member record if the record doesn't exist or belongs to an
// earlier incarnation. The write compares the record's version, and includes the controller's quota partition
// if one exists.
func TestEnsureMemberRecord(t *testing.T) {
	cases := []struct {
		name      string
		arrange   func(h *harness)
		writes    bool
		version   uint64 // record version that the write compares
		partition bool
	}{
		{"no record", func(*harness) {}, true, 0, false},
		{"record of this incarnation", func(h *harness) { h.putMember(testNode, testIncarnation, 3) }, false, 0, false},
		{"record of an earlier incarnation", func(h *harness) { h.putMember(testNode, 6, 3) }, true, 3, false},
		{"record of another controller", func(h *harness) { h.putMember("n-0", testIncarnation, 3) }, true, 0, false},
		{"no record, with a quota partition", func(h *harness) {
			h.mirror.Partitions[testNode] = &mirror.PartitionEntry{Version: 4}
		}, true, 0, true},
		{"mirror incomplete", func(h *harness) { h.ready = false }, false, 0, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			tc.arrange(h)
			h.grantLease(5) // a granted lease triggers EnsureMemberRecord
			h.membership.EnsureMemberRecord()
			write, ok := h.SingleCommit(t, tc.writes)
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
				t.Errorf("conditions: got %+v, want %+v", txn.If, want)
			}
			if len(txn.Then) != len(want) || txn.Then[0].Put != want[0].Key || txn.Then[0].Lease != 5 {
				t.Errorf("operations: got %+v, want %d, the first a put of %s with lease 5",
					txn.Then, len(want), want[0].Key)
			}
			var record storage.Member
			if err := protocol.Unmarshal(txn.Then[0].Value, &record); err != nil {
				t.Fatal(err)
			}
			if record.Incarnation != testIncarnation || record.Zone != "a" {
				t.Errorf("member record: got %+v, want incarnation %d in zone a", record, testIncarnation)
			}
		})
	}
}

// TestRejectedMemberRecordRequestsNewLease: the state service rejects a write under an expired lease. The
// controller then requests a new lease.
func TestRejectedMemberRecordRequestsNewLease(t *testing.T) {
	for _, tc := range []struct {
		outcome protocol.Outcome
		grants  int
	}{{protocol.OK, 0}, {protocol.Conflict, 0}, {protocol.Unknown, 0}, {protocol.Rejected, 1}} {
		h := newHarness(t)
		h.grantLease(5)
		h.answerCommit(tc.outcome)
		if len(h.calls) != tc.grants || h.membership.HoldsLease(h.now) != (tc.grants == 0) {
			t.Errorf("%v: got %d grant calls and lease held %t, want %d and %t",
				tc.outcome, len(h.calls), h.membership.HoldsLease(h.now), tc.grants, tc.grants == 0)
		}
	}
}

// TestIncarnationCompare guards against decisions of a new incarnation while a transaction of an earlier one may
// still be applied: the condition exists only if the mirror shows the own record and all changes up to it.
func TestIncarnationCompare(t *testing.T) {
	for _, tc := range []struct {
		name        string
		incarnation uint64 // of the member record; 0: there is none
		version     uint64
		watched     uint64
		want        bool
	}{
		{"no record", 0, 0, 9, false},
		{"record of an earlier incarnation", testIncarnation - 1, 5, 9, false},
		{"own record ahead of the watch", testIncarnation, 5, 4, false},
		{"own record", testIncarnation, 5, 5, true},
	} {
		h := newHarness(t)
		if tc.incarnation != 0 {
			h.putMember(testNode, tc.incarnation, tc.version)
		}
		h.mirror.WatchedRevision = tc.watched
		compare, ok := h.membership.IncarnationCompare()
		want := protocol.Compare{}
		if tc.want {
			want = protocol.Compare{Key: storage.MemberKey(testNode), Version: tc.version}
		}
		if ok != tc.want || compare != want {
			t.Errorf("%s: got %+v, %t, want %+v, %t", tc.name, compare, ok, want, tc.want)
		}
	}
}

// TestLiveControllers: LiveControllers lists only members that belong to the deployment, in the
// order of Options.Controllers.
func TestLiveControllers(t *testing.T) {
	h := newHarness(t)
	for _, node := range []string{"n-2", "n-9", testNode} {
		h.putMember(node, 1, 1)
	}
	if live := h.membership.LiveControllers(); !slices.Equal(live, []string{testNode, "n-2"}) {
		t.Errorf("live controllers: got %v, want [%s n-2]", live, testNode)
	}
}

// TestAbsentSince: an absence starts with the first call and ends when the controller is a member again.
func TestAbsentSince(t *testing.T) {
	h := newHarness(t)
	steps := []struct {
		name   string
		member bool // before the call, the controller joins and leaves again
		at     monotime.Micros
		want   monotime.Micros
	}{
		{"first query", false, 10, 10},
		{"still absent", false, 20, 10},
		{"absent again after a membership", true, 30, 30},
		{"still absent after that membership", false, 40, 30},
	}
	for _, step := range steps {
		if step.member {
			h.putMember("n-0", 1, 1)
			h.membership.HandleMemberChange("n-0")
			delete(h.mirror.Members, "n-0")
			h.membership.HandleMemberChange("n-0")
		}
		if got := h.membership.AbsentSince("n-0", step.at); got != step.want {
			t.Errorf("%s: got absence since %d, want %d", step.name, got, step.want)
		}
	}
}
