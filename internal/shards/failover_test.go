package shards

import (
	"fmt"
	"slices"
	"testing"

	"pipitgap/internal/mirror"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// A transfer commit is limited in bytes as well as in shards. Without the limit a restarted controller that had
// taken over all shards could never claim them again: together they exceeded the size limit of a commit.
func TestTransferBytesAreBounded(t *testing.T) {
	h := newHarness(t)
	var shards []*mirror.Shard
	for i := 0; i < 12; i++ {
		record := &storage.Shard{
			Owner:    "n-9",
			Claim:    1,
			Machines: map[string]*storage.ShardMachine{},
			Jobs:     map[string]*storage.ShardJob{},
		}
		for k := 0; k < 300; k++ {
			record.AddMachine(
				fmt.Sprintf("i-%02d%04d", i, k),
				storage.ShardMachine{
					Type:     "m8",
					Zone:     "a",
					Endpoint: fmt.Sprintf("10.0.%d.%d:9000", i, k),
					State:    storage.MachineOpen,
				},
			)
		}
		shards = append(shards, &mirror.Shard{Name: fmt.Sprint("p", i), Record: record, Version: 1})
	}
	n := 0
	for len(shards) > 0 {
		transfer := h.m.buildTransfer(shards, "n-0", 1)
		shardCount := len(transfer.shards)
		size := 0
		for _, operation := range transfer.txn.Then {
			size += len(operation.Value)
		}
		if shardCount == 0 || size > 64<<10 {
			t.Fatalf("commit: got %d shards of %d bytes, want at least 1 shard and at most %d bytes",
				shardCount, size, 64<<10)
		}
		shards = shards[shardCount:]
		n++
	}
	if n < 2 || n > 4 {
		t.Errorf("commits for all shards: got %d, want 2 to 4", n)
	}
}

// A transfer includes as many shards as fit into a transaction with the quota shares. It includes only one if
// the state service is throttled or no quota shares move. Its claim number exceeds every claim of the
// machines.
func TestBuildTransfer(t *testing.T) {
	for _, tc := range []struct {
		name           string
		from           string
		throttled      bool
		want           int
		quotaTransfers int
	}{
		{"from another controller", "n-9", false, 18, 1},
		{"from another controller, throttled", "n-9", true, 1, 1},
		{"from an earlier incarnation", ownNode, false, 1, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			h.throttled = tc.throttled
			var shards []*mirror.Shard
			for i := 0; i < 25; i++ {
				record := emptyShard(tc.from, 1)
				record.AddMachine("i-1", storage.ShardMachine{Claim: 5})
				shards = append(shards, &mirror.Shard{Name: fmt.Sprint("p", i), Record: record, Version: 3})
			}
			transfer := h.m.buildTransfer(shards, ownNode, ownIncarnation)
			if got := len(transfer.shards); got != tc.want {
				t.Errorf("shards in the transfer: got %d, want %d", got, tc.want)
			}
			if h.quotaTransfers != tc.quotaTransfers {
				t.Errorf("quota transfers: got %d, want %d", h.quotaTransfers, tc.quotaTransfers)
			}
			record, err := storage.DecodeShard(transfer.txn.Then[0].Value, nil)
			if err != nil {
				t.Fatal(err)
			}
			if record.Owner != ownNode || record.Incarnation != ownIncarnation || record.Claim != 6 {
				t.Errorf("written record: got owner %s, incarnation %d, claim %d; want %s, %d, 6",
					record.Owner, record.Incarnation, record.Claim, ownNode, ownIncarnation)
			}
			if compare := transfer.txn.If[0]; compare.Key != storage.ShardKey("p0") || compare.Version != 3 {
				t.Errorf("first compare: got %v, want version 3 of shard p0", compare)
			}
		})
	}
}

// A controller claims only the shards of its earlier incarnations and, as their successor, of absent
// controllers. It probes the workers of these shards after the claim is committed.
func TestClaimOrphaned(t *testing.T) {
	for _, tc := range []struct {
		name        string
		owner       string
		incarnation uint64
		member      bool     // whether the owner is a member
		live        []string // the only live controller, which is therefore the successor
		want        bool
	}{
		{"already owned", ownNode, ownIncarnation, true, []string{ownNode}, false},
		{"earlier incarnation", ownNode, 1, true, []string{"n-1"}, true},
		{"owner is a member", "n-1", 1, true, []string{ownNode}, false},
		{"orphaned, this controller is the successor", "n-1", 1, false, []string{ownNode}, true},
		{"orphaned, another controller is the successor", "n-1", 1, false, []string{"n-2"}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			h.liveControllers, h.members[tc.owner] = tc.live, tc.member
			h.putShard("p", tc.owner, tc.incarnation, "i-1")
			h.m.ClaimOrphaned(h.clock)
			h.m.ClaimOrphaned(h.clock) // the shard has a claim in flight and isn't claimed again
			if got := len(h.Commits) == 1; got != tc.want {
				t.Fatalf("got %d commits, want exactly one: %v", len(h.Commits), tc.want)
			}
			if !tc.want {
				return
			}
			h.completeCommit(protocol.StoreResult{Outcome: protocol.OK})
			if !h.m.Owns(h.mirror.Shards["p"]) || !slices.Equal(h.probed, []string{"i-1"}) {
				t.Errorf("after the claim: got owner %s and probed machines %v, want %s and [i-1]",
					h.mirror.Shards["p"].Record.Owner, h.probed, ownNode)
			}
		})
	}
}

// HandOff selects controllers that have sent a recent status message and reach their workers. It selects all
// other controllers if none has sent one.
func TestHandOffDestinations(t *testing.T) {
	nodeSet := func(nodes ...string) map[string]bool {
		set := map[string]bool{}
		for _, node := range nodes {
			set[node] = true
		}
		return set
	}
	for _, tc := range []struct {
		name         string
		recentPeers  map[string]bool
		reachWorkers map[string]bool
		want         []string
	}{
		{"all connected", nodeSet("n-1", "n-2"), nodeSet("n-1", "n-2"), []string{"n-1", "n-2"}},
		{"one cut off from its workers", nodeSet("n-1", "n-2"), nodeSet("n-2"), []string{"n-2"}},
		{"all cut off from their workers", nodeSet("n-1", "n-2"), nodeSet(), nil},
		{"outdated report of reachable workers", nodeSet("n-1"), nodeSet("n-2"), nil},
		{"no recent status message from any", nodeSet(), nodeSet(), []string{"n-1", "n-2"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			h.recentPeers, h.reachWorkers = tc.recentPeers, tc.reachWorkers
			if got := h.m.handOffDestinations(h.clock); !slices.Equal(got, tc.want) {
				t.Errorf("destinations: got %v, want %v", got, tc.want)
			}
		})
	}
}

// HandOff excludes a shard with a commit in doubt. It transfers no shard while the mirror may be stale or a
// write of quota shares is in flight.
func TestHandOffPreconditions(t *testing.T) {
	for _, tc := range []struct {
		name    string
		prepare func(h *harness)
		want    int // shards in the commit
	}{
		{"all conditions met", func(*harness) {}, 2},
		{"overdue watch", func(h *harness) { h.watchOverdue = true }, 0},
		{"quota write in flight", func(h *harness) { h.quotaInFlight = true }, 0},
		{"commit in doubt", func(h *harness) {
			shard := h.mirror.Shards["p1"]
			h.m.Commit(NewUpdate("p1", shard, shard.Record.Clone(), h.fence()), h.clock)
			h.completeCommit(protocol.StoreResult{Outcome: protocol.Unknown})
		}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			h.recentPeers["n-1"], h.reachWorkers["n-1"] = true, true
			h.putShard("p1", ownNode, ownIncarnation, "i-1")
			h.putShard("p2", ownNode, ownIncarnation, "i-2")
			h.putShard("p3", "n-2", 1, "i-3")
			tc.prepare(h)
			h.m.HandOff(h.clock)
			commit, ok := h.SingleCommit(t, tc.want > 0)
			if !ok {
				return
			}
			if len(commit.Transaction.Then) != tc.want {
				t.Fatalf("commit: got %d operations in %v, want %d shards",
					len(commit.Transaction.Then), commit, tc.want)
			}
			if !h.quotaInFlight {
				t.Error("quota write in flight during the commit: got false, want true")
			}
			h.completeCommit(protocol.StoreResult{Outcome: protocol.Conflict})
			if h.quotaInFlight {
				t.Error("quota write in flight after the commit's outcome: got true, want false")
			}
		})
	}
}
