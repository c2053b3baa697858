package shards

import (
	"fmt"
	"testing"

	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// request has a machine wait for its claim; the results of the callback are appended to claimResults.
func (h *harness) requestClaim(machine string, from *mirror.Shard, claimResults *[]bool) {
	heartbeat := protocol.Heartbeat{Machine: machine, Type: "m8", Zone: "a", Endpoint: "10.0.0.1:1"}
	h.m.RequestClaim(&heartbeat, from, func(claimed bool) { *claimResults = append(*claimResults, claimed) })
}

// Which machines that have come up are claimed.
func TestAdmitNewMachine(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(h *harness)
		want   bool
	}{
		{"designated", func(*harness) {}, true},
		{"designated to another controller", func(h *harness) {
			h.putScaleOut("r", &storage.ScaleOutRequest{
				Machines: []string{"i-1"}, Own: map[string]string{"i-1": "n-1"},
			})
		}, false},
		{"of no request", func(h *harness) {
			h.putScaleOut("r", &storage.ScaleOutRequest{Machines: []string{"i-2"}})
		}, false},
		{"not a member", func(h *harness) {
			member := storage.Member{Incarnation: ownIncarnation - 1}
			h.put(storage.MemberKey(ownNode), protocol.MustMarshal(&member))
		}, false},
		{"to be scaled in", func(h *harness) {
			record := storage.ScaleInRequest{Machines: []string{"i-1"}}
			h.put(storage.ScaleInKey("s"), protocol.MustMarshal(&record))
		}, false},
		{"waiting for too long", func(h *harness) { h.clock += claimRequestTimeout + 1 }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			h.putScaleOut("r", &storage.ScaleOutRequest{
				Machines: []string{"i-1"}, Own: map[string]string{"i-1": ownNode},
			})
			var claimResults []bool
			h.requestClaim("i-1", nil, &claimResults)
			tc.change(h)
			updates := h.m.AdmitClaimRequests(h.m.PrepareUpdates(h.clock), h.clock)
			if got := len(updates) == 1 && updates[0].Machines()["i-1"] != nil; got != tc.want {
				t.Fatalf("claimed: %v, want %v", got, tc.want)
			}
			if !tc.want {
				return
			}
			h.m.Commit(updates[0], h.clock)
			if again := h.m.AdmitClaimRequests(nil, h.clock); len(again) > 0 {
				t.Error("claimed twice")
			}
			h.completeCommit(protocol.StoreResult{Outcome: protocol.OK})
			if len(claimResults) != 1 || !claimResults[0] {
				t.Errorf("answered %v", claimResults)
			}
		})
	}
}

// A machine that waits for too long is refused, once.
func TestExpireClaimRequests(t *testing.T) {
	h := newHarness(t)
	var claimResults []bool
	h.requestClaim("i-1", nil, &claimResults)
	h.m.ExpireClaimRequests(h.clock + claimRequestTimeout)
	if len(claimResults) > 0 {
		t.Error("refused too early")
	}
	h.m.ExpireClaimRequests(h.clock + claimRequestTimeout + 1)
	h.m.ExpireClaimRequests(h.clock + 2*claimRequestTimeout)
	if len(claimResults) != 1 || claimResults[0] {
		t.Errorf("answered %v", claimResults)
	}
}

// Machines that have come up fill the shard with the most room, and a new one once none has any.
func TestAdmissionOpensShards(t *testing.T) {
	h := newHarness(t)
	scaleOut := &storage.ScaleOutRequest{Own: map[string]string{}}
	var claimResults []bool
	perShard := FillBytes(h.m.cfg.MaxValueBytes) / h.m.bytesForMachine("m8")
	for i := 0; i <= perShard; i++ {
		id := fmt.Sprintf("i-%06d", i)
		scaleOut.Machines, scaleOut.Own[id] = append(scaleOut.Machines, id), ownNode
		h.requestClaim(id, nil, &claimResults)
	}
	h.putScaleOut("r", scaleOut)
	updates := h.m.AdmitClaimRequests(nil, h.clock)
	if len(updates) != 2 || len(updates[0].Machines()) != perShard || len(updates[1].Machines()) != 1 {
		t.Errorf("%d shards, want two, the first with %d machines", len(updates), perShard)
	}
	for _, update := range updates {
		if _, size := update.next.Encode(); size > update.MaxBytes() {
			t.Errorf("%d bytes, bound %d", size, update.MaxBytes())
		}
	}
}

// A machine that has come up goes to the shard with the most room, wherever that is in their order.
func TestAdmissionPrefersRoomiestShard(t *testing.T) {
	for _, tc := range []struct {
		name   string
		shards [][]string // machines that are in them already
		want   int
	}{
		{"last", [][]string{{"i-1", "i-2"}, {"i-3"}}, 1},
		{"first", [][]string{{"i-1"}, {"i-2", "i-3"}}, 0},
		{"alike", [][]string{{"i-1"}, {"i-2"}}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			for i, machines := range tc.shards {
				h.putShard(fmt.Sprint("p", i), ownNode, ownIncarnation, machines...)
			}
			h.putScaleOut("r", &storage.ScaleOutRequest{
				Machines: []string{"i-9"}, Own: map[string]string{"i-9": ownNode},
			})
			var claimResults []bool
			h.requestClaim("i-9", nil, &claimResults)
			updates := h.m.AdmitClaimRequests(h.m.PrepareUpdates(h.clock), h.clock)
			if len(updates) != 2 || updates[tc.want].Machines()["i-9"] == nil {
				t.Errorf("not in shard %d", tc.want)
			}
		})
	}
}

// Machines whose owner has lost them move with their attempts, in one commit that is conditional on both shards,
// from as many shards as the limiter allows; those of shards that the last commit failed on come last.
func TestTakeOver(t *testing.T) {
	h := newHarness(t)
	h.members["n-1"] = true
	h.putJob("j-1", 2)
	var claimResults []bool
	for i := 0; i < maxTakeoverSources+1; i++ {
		a, b := fmt.Sprintf("i-%d0", i), fmt.Sprintf("i-%d1", i)
		shard := h.putShard(fmt.Sprint("p", i), "n-1", 1, a, b)
		h.requestClaim(a, shard, &claimResults)
		h.requestClaim(b, shard, &claimResults)
	}
	admitTakeovers := func() *Update {
		t.Helper()
		updates := h.m.AdmitClaimRequests(h.m.PrepareUpdates(h.clock), h.clock)
		if len(updates) != 1 || !updates[0].ChangesOtherRecords() {
			t.Fatalf("%d updates, want one that changes others' shards", len(updates))
		}
		return updates[0]
	}
	update := admitTakeovers()
	if got := len(update.Machines()); got != 2*maxTakeoverSources {
		t.Errorf("%d machines, want %d", got, 2*maxTakeoverSources)
	}
	if got := len(update.txn.Then); got != maxTakeoverSources {
		t.Errorf("%d other shards written, want %d", got, maxTakeoverSources)
	}
	remaining, err := storage.DecodeShard(update.txn.Then[0].Value, nil)
	if err != nil || len(remaining.Machines) != 0 {
		t.Errorf("left of the first shard: %v, %v", remaining, err)
	}
	if attempt, ok := update.next.FindAttempt("j-1", 0); !ok || attempt.Number != 1 {
		t.Errorf("attempts didn't come along: %v", update.next.Jobs["j-1"])
	}
	for id, machine := range update.Machines() {
		if machine.Claim <= h.mirror.Machines[id].Claim() {
			t.Errorf("%s: claim %d doesn't outrank %d", id, machine.Claim, h.mirror.Machines[id].Claim())
		}
	}
	h.m.Commit(update, h.clock)
	h.completeCommit(protocol.StoreResult{Outcome: protocol.Conflict, Failed: []string{storage.ShardKey("p0")}})
	update = admitTakeovers()
	if update.Machines()["i-00"] != nil || len(update.txn.Then) != maxTakeoverSources/2 {
		t.Errorf("after a conflict on p0: machines %v", update.Machines())
	}
}

// Which machines of other controllers' shards are taken over.
func TestTakeOverConditions(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(h *harness)
		want   bool
	}{
		{"owner is a member that lost it", func(*harness) {}, true},
		{"owner is gone: its shards are claimed whole", func(h *harness) { h.members["n-1"] = false }, false},
		{"moved to another shard", func(h *harness) {
			h.putShard("p", "n-1", 1)
			h.putShard("q", "n-1", 1, "i-1")
		}, false},
		{"shard is being claimed", func(h *harness) { h.m.claimsInFlight["p"] = true }, false},
		{"owned already", func(h *harness) { h.ownMachines["i-1"] = true }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			h.members["n-1"] = true
			var claimResults []bool
			h.requestClaim("i-1", h.putShard("p", "n-1", 1, "i-1"), &claimResults)
			tc.change(h)
			if got := len(h.m.AdmitClaimRequests(nil, h.clock)) == 1; got != tc.want {
				t.Errorf("taken over: %v", got)
			}
		})
	}
}

// A claim is known since it was first seen, whatever else changes of its shard.
func TestClaimObservedAt(t *testing.T) {
	h := newHarness(t)
	h.putShard("p", "n-1", 1, "i-1")
	first := h.clock
	h.clock += monotime.Second
	h.putShard("p", "n-1", 1, "i-1", "i-2")
	if got := h.m.ClaimObservedAt("p"); got != first {
		t.Errorf("same claim: since %d, want %d", got, first)
	}
	h.putShard("p", "n-1", 2, "i-1")
	if got := h.m.ClaimObservedAt("p"); got != h.clock {
		t.Errorf("new incarnation: since %d, want %d", got, h.clock)
	}
	if got := h.m.ClaimObservedAt("unknown"); got != 0 {
		t.Errorf("unknown shard: since %d", got)
	}
}
