package shards

import (
	"fmt"
	"testing"

	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// requestClaim requests the claim of a machine. The callback appends its result to claimResults.
func (h *harness) requestClaim(machine string, from *mirror.Shard, claimResults *[]bool) {
	heartbeat := protocol.Heartbeat{Machine: machine, Type: "m8", Zone: "a", Endpoint: "10.0.0.1:1"}
	h.m.RequestClaim(&heartbeat, from, func(claimed bool) { *claimResults = append(*claimResults, claimed) })
}

// A pass claims a new machine only if its scale-out request designates this controller, this controller is a
// member, no scale-in request names the machine, and the claim request hasn't timed out.
func TestAdmitNewMachine(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(h *harness)
		want   bool
	}{
		{"designated", func(*harness) {}, true},
		{"designated to another controller", func(h *harness) {
			h.putScaleOut("r", &storage.ScaleOutRequest{
				Machines: []string{"i-1"}, DesignatedControllers: map[string]string{"i-1": "n-1"},
			})
		}, false},
		{"without scale-out request", func(h *harness) {
			h.putScaleOut("r", &storage.ScaleOutRequest{Machines: []string{"i-2"}})
		}, false},
		{"not a member", func(h *harness) {
			member := storage.Member{Incarnation: ownIncarnation - 1}
			h.put(storage.MemberKey(ownNode), protocol.MustMarshal(&member))
		}, false},
		{"in a scale-in request", func(h *harness) {
			record := storage.ScaleInRequest{Machines: []string{"i-1"}}
			h.put(storage.ScaleInKey("s"), protocol.MustMarshal(&record))
		}, false},
		{"claim request timed out", func(h *harness) { h.clock += claimRequestTimeout + 1 }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			h.putScaleOut("r", &storage.ScaleOutRequest{
				Machines: []string{"i-1"}, DesignatedControllers: map[string]string{"i-1": ownNode},
			})
			var claimResults []bool
			h.requestClaim("i-1", nil, &claimResults)
			tc.change(h)
			updates := h.m.AdmitClaimRequests(h.m.PrepareUpdates(h.clock), h.clock)
			if got := len(updates) == 1 && updates[0].Machines()["i-1"] != nil; got != tc.want {
				t.Fatalf("machine claimed: got %v, want %v", got, tc.want)
			}
			if !tc.want {
				return
			}
			h.m.Commit(updates[0], h.clock)
			if again := h.m.AdmitClaimRequests(nil, h.clock); len(again) > 0 {
				t.Errorf("updates while the claim is in flight: got %d, want 0", len(again))
			}
			h.completeCommit(protocol.StoreResult{Outcome: protocol.OK})
			if len(claimResults) != 1 || !claimResults[0] {
				t.Errorf("callback results after the commit: got %v, want [true]", claimResults)
			}
		})
	}
}

// A claim request is rejected after claimRequestTimeout, and its callback runs only once.
func TestExpireClaimRequests(t *testing.T) {
	h := newHarness(t)
	var claimResults []bool
	h.requestClaim("i-1", nil, &claimResults)
	h.m.ExpireClaimRequests(h.clock + claimRequestTimeout)
	if len(claimResults) > 0 {
		t.Errorf("callback results at the timeout: got %v, want none", claimResults)
	}
	h.m.ExpireClaimRequests(h.clock + claimRequestTimeout + 1)
	h.m.ExpireClaimRequests(h.clock + 2*claimRequestTimeout)
	if len(claimResults) != 1 || claimResults[0] {
		t.Errorf("callback results after the timeout: got %v, want [false]", claimResults)
	}
}

// New machines fill a shard up to its planned size. A pass creates another shard for the next machine.
func TestAdmissionOpensShards(t *testing.T) {
	h := newHarness(t)
	scaleOut := &storage.ScaleOutRequest{DesignatedControllers: map[string]string{}}
	var claimResults []bool
	perShard := FillBytes(h.m.cfg.MaxValueBytes) / h.m.bytesForMachine("m8")
	for i := 0; i <= perShard; i++ {
		id := fmt.Sprintf("i-%06d", i)
		scaleOut.Machines, scaleOut.DesignatedControllers[id] = append(scaleOut.Machines, id), ownNode
		h.requestClaim(id, nil, &claimResults)
	}
	h.putScaleOut("r", scaleOut)
	updates := h.m.AdmitClaimRequests(nil, h.clock)
	if len(updates) != 2 || len(updates[0].Machines()) != perShard || len(updates[1].Machines()) != 1 {
		t.Errorf("got %d shards, want 2: the first with %d machines, the second with 1", len(updates), perShard)
	}
	for _, update := range updates {
		if _, size := update.next.Encode(); size > update.MaxBytes() {
			t.Errorf("encoded size: got %d bytes, want at most %d", size, update.MaxBytes())
		}
	}
}

// A new machine goes to the shard with the most space, independent of the order of the shards.
func TestAdmissionPrefersRoomiestShard(t *testing.T) {
	for _, tc := range []struct {
		name   string
		shards [][]string // machines that each shard already contains
		want   int        // index of the shard
	}{
		{"last shard", [][]string{{"i-1", "i-2"}, {"i-3"}}, 1},
		{"first shard", [][]string{{"i-1"}, {"i-2", "i-3"}}, 0},
		{"equal space", [][]string{{"i-1"}, {"i-2"}}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			for i, machines := range tc.shards {
				h.putShard(fmt.Sprint("p", i), ownNode, ownIncarnation, machines...)
			}
			h.putScaleOut("r", &storage.ScaleOutRequest{
				Machines: []string{"i-9"}, DesignatedControllers: map[string]string{"i-9": ownNode},
			})
			var claimResults []bool
			h.requestClaim("i-9", nil, &claimResults)
			updates := h.m.AdmitClaimRequests(h.m.PrepareUpdates(h.clock), h.clock)
			if len(updates) != 2 || updates[tc.want].Machines()["i-9"] == nil {
				t.Errorf("got %d shards, want 2 with machine i-9 in shard %d", len(updates), tc.want)
			}
		})
	}
}

// A takeover moves machines with their attempts, in one commit that is conditional on all shards involved and
// takes from at most as many shards as the limiter allows. After a conflict, machines of the conflicting
// shard come last.
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
		if len(updates) != 1 || !updates[0].TakesOverMachines() {
			t.Fatalf("got %d updates, want 1 that writes source shards", len(updates))
		}
		return updates[0]
	}
	update := admitTakeovers()
	if got := len(update.Machines()); got != 2*maxTakeoverSources {
		t.Errorf("machines taken over: got %d, want %d", got, 2*maxTakeoverSources)
	}
	if got := len(update.txn.Then); got != maxTakeoverSources {
		t.Errorf("source shards written: got %d, want %d", got, maxTakeoverSources)
	}
	remaining, err := storage.DecodeShard(update.txn.Then[0].Value, nil)
	if err != nil || len(remaining.Machines) != 0 {
		t.Errorf("first source shard after the takeover: got %v, error %v; want no machines", remaining, err)
	}
	if attempt, ok := update.next.FindAttempt("j-1", 0); !ok || attempt.Number != 1 {
		t.Errorf("job entry after the takeover: got %v, want attempt 1 of task 0", update.next.Jobs["j-1"])
	}
	for id, machine := range update.Machines() {
		if machine.Claim <= h.mirror.Machines[id].Claim() {
			t.Errorf("%s: got claim %d, want more than %d", id, machine.Claim, h.mirror.Machines[id].Claim())
		}
	}
	h.m.Commit(update, h.clock)
	h.completeCommit(protocol.StoreResult{Outcome: protocol.Conflict, Failed: []string{storage.ShardKey("p0")}})
	update = admitTakeovers()
	if update.Machines()["i-00"] != nil || len(update.txn.Then) != maxTakeoverSources/2 {
		t.Errorf("after a conflict on p0: got %d source shards and machines %v; want %d source shards, without i-00",
			len(update.txn.Then), update.Machines(), maxTakeoverSources/2)
	}
}

// A pass takes over a single machine only while its owner is a member, the machine is still in the requested
// shard, no claim of the whole shard is in flight, and this controller doesn't own the machine yet.
func TestTakeOverConditions(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(h *harness)
		want   bool
	}{
		{"owner is a member", func(*harness) {}, true},
		{"owner is absent, its shards are claimed as a whole", func(h *harness) { h.members["n-1"] = false }, false},
		{"machine moved to another shard", func(h *harness) {
			h.putShard("p", "n-1", 1)
			h.putShard("q", "n-1", 1, "i-1")
		}, false},
		{"claim of the shard in flight", func(h *harness) { h.m.claimsInFlight["p"] = true }, false},
		{"already owned", func(h *harness) { h.ownMachines["i-1"] = true }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			h.members["n-1"] = true
			var claimResults []bool
			h.requestClaim("i-1", h.putShard("p", "n-1", 1, "i-1"), &claimResults)
			tc.change(h)
			if got := len(h.m.AdmitClaimRequests(nil, h.clock)) == 1; got != tc.want {
				t.Errorf("machine taken over: got %v, want %v", got, tc.want)
			}
		})
	}
}

// The observation time of a claim doesn't change with later versions of the shard under the same claim.
func TestClaimObservedAt(t *testing.T) {
	h := newHarness(t)
	h.putShard("p", "n-1", 1, "i-1")
	first := h.clock
	h.clock += monotime.Second
	h.putShard("p", "n-1", 1, "i-1", "i-2")
	if got := h.m.ClaimObservedAt("p"); got != first {
		t.Errorf("same claim: got %d, want %d", got, first)
	}
	h.putShard("p", "n-1", 2, "i-1")
	if got := h.m.ClaimObservedAt("p"); got != h.clock {
		t.Errorf("new incarnation: got %d, want %d", got, h.clock)
	}
	if got := h.m.ClaimObservedAt("unknown"); got != 0 {
		t.Errorf("unknown shard: got %d, want 0", got)
	}
}
