package shards

import (
	"fmt"
	"slices"
	"testing"

	"pipitgap/internal/mirror"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// What a commit takes of shards is bounded by bytes too. A controller that had inherited all shards and came back
// could never claim them: together they were more than a commit may hold.
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
			t.Fatalf("%d shards of %d bytes in a commit", shardCount, size)
		}
		shards = shards[shardCount:]
		n++
	}
	if n < 2 || n > 4 {
		t.Errorf("%d commits", n)
	}
}

// A transfer takes as many shards as a transaction holds beside the quota shares, one by one while the state
// service is throttled or where nothing else changes along, and outranks every claim of their machines.
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
				t.Errorf("%d shards, want %d", got, tc.want)
			}
			if h.quotaTransfers != tc.quotaTransfers {
				t.Errorf("%d transfers of quota, want %d", h.quotaTransfers, tc.quotaTransfers)
			}
			record, err := storage.DecodeShard(transfer.txn.Then[0].Value, nil)
			if err != nil {
				t.Fatal(err)
			}
			if record.Owner != ownNode || record.Incarnation != ownIncarnation || record.Claim != 6 {
				t.Errorf("written: owner %s, incarnation %d, claim %d",
					record.Owner, record.Incarnation, record.Claim)
			}
			if compare := transfer.txn.If[0]; compare.Key != storage.ShardKey("p0") || compare.Version != 3 {
				t.Errorf("conditional on %v", compare)
			}
		})
	}
}

// Shards are claimed of earlier incarnations and of absent controllers only, and their workers are probed once the
// claim is in the store.
func TestClaimOrphaned(t *testing.T) {
	for _, tc := range []struct {
		name        string
		owner       string
		incarnation uint64
		member      bool     // the owner is
		live        []string // the only controller, and so the successor
		want        bool
	}{
		{"own", ownNode, ownIncarnation, true, []string{ownNode}, false},
		{"earlier incarnation", ownNode, 1, true, []string{"n-1"}, true},
		{"of a member", "n-1", 1, true, []string{ownNode}, false},
		{"orphaned", "n-1", 1, false, []string{ownNode}, true},
		{"orphaned, another succeeds", "n-1", 1, false, []string{"n-2"}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			h.liveControllers, h.members[tc.owner] = tc.live, tc.member
			h.putShard("p", tc.owner, tc.incarnation, "i-1")
			h.m.ClaimOrphaned(h.clock)
			h.m.ClaimOrphaned(h.clock) // one that is being claimed isn't claimed again
			if got := len(h.Commits) == 1; got != tc.want {
				t.Fatalf("%d commits, want one: %v", len(h.Commits), tc.want)
			}
			if !tc.want {
				return
			}
			h.completeCommit(protocol.StoreResult{Outcome: protocol.OK})
			if !h.m.Owns(h.mirror.Shards["p"]) || !slices.Equal(h.probed, []string{"i-1"}) {
				t.Errorf("owned by %s, probed %v", h.mirror.Shards["p"].Record.Owner, h.probed)
			}
		})
	}
}

// Shards go to controllers that are heard and reach their workers; to any if none is heard.
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
		{"one cut off too", nodeSet("n-1", "n-2"), nodeSet("n-2"), []string{"n-2"}},
		{"all cut off", nodeSet("n-1", "n-2"), nodeSet(), nil},
		{"what a silent one has reported doesn't count", nodeSet("n-1"), nodeSet("n-2"), nil},
		{"isolated", nodeSet(), nodeSet(), []string{"n-1", "n-2"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			h.recentPeers, h.reachWorkers = tc.recentPeers, tc.reachWorkers
			if got := h.m.handOffDestinations(h.clock); !slices.Equal(got, tc.want) {
				t.Errorf("%v, want %v", got, tc.want)
			}
		})
	}
}

// A shard with a commit in doubt isn't handed off, and none while the mirror may be outdated or quota shares are
// being written.
func TestHandOffPreconditions(t *testing.T) {
	for _, tc := range []struct {
		name    string
		prepare func(h *harness)
		want    int // shards
	}{
		{"nothing in the way", func(*harness) {}, 2},
		{"silent watch", func(h *harness) { h.watchOverdue = true }, 0},
		{"quota shares in flight", func(h *harness) { h.quotaInFlight = true }, 0},
		{"commit in doubt", func(h *harness) {
			shard := h.mirror.Shards["p1"]
			h.m.Commit(NewUpdate("p1", shard, shard.Record.Clone()), h.clock)
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
			commit, ok := h.Only(t, tc.want > 0)
			if !ok {
				return
			}
			if len(commit.Transaction.Then) != tc.want {
				t.Fatalf("commit %v, want one of %d shards", commit, tc.want)
			}
			if !h.quotaInFlight {
				t.Error("others may write quota shares")
			}
			h.completeCommit(protocol.StoreResult{Outcome: protocol.Conflict})
			if h.quotaInFlight {
				t.Error("quota shares are held after the commit's outcome")
			}
		})
	}
}
