package shards

import (
	"fmt"
	"testing"

	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// request has a machine wait for its claim; the results of the callback are appended to answers.
func (w *world) request(machine string, from *mirror.Shard, answers *[]bool) {
	heartbeat := protocol.Heartbeat{Machine: machine, Type: "m8", Zone: "a", Endpoint: "10.0.0.1:1"}
	w.m.RequestClaim(&heartbeat, from, func(claimed bool) { *answers = append(*answers, claimed) })
}

// Which machines that have come up are claimed.
func TestAdmitNewMachine(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(w *world)
		want   bool
	}{
		{"designated", func(*world) {}, true},
		{"designated to another controller", func(w *world) {
			w.putScaleOut("r", &storage.ScaleOutRequest{
				Machines: []string{"i-1"}, Own: map[string]string{"i-1": "n-1"},
			})
		}, false},
		{"of no request", func(w *world) {
			w.putScaleOut("r", &storage.ScaleOutRequest{Machines: []string{"i-2"}})
		}, false},
		{"not a member", func(w *world) {
			member := storage.Member{Incarnation: ownIncarnation - 1}
			w.put(storage.MemberKey(ownNode), protocol.MustMarshal(&member))
		}, false},
		{"to be scaled in", func(w *world) {
			record := storage.ScaleInRequest{Machines: []string{"i-1"}}
			w.put(storage.ScaleInKey("s"), protocol.MustMarshal(&record))
		}, false},
		{"waiting for too long", func(w *world) { w.clock += claimRequestTimeout + 1 }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(t)
			w.putScaleOut("r", &storage.ScaleOutRequest{
				Machines: []string{"i-1"}, Own: map[string]string{"i-1": ownNode},
			})
			var answers []bool
			w.request("i-1", nil, &answers)
			tc.change(w)
			updates := w.m.AdmitClaimRequests(w.m.PrepareUpdates(w.clock), w.clock)
			if got := len(updates) == 1 && updates[0].Machines()["i-1"] != nil; got != tc.want {
				t.Fatalf("claimed: %v, want %v", got, tc.want)
			}
			if !tc.want {
				return
			}
			w.m.Commit(updates[0], w.clock)
			if again := w.m.AdmitClaimRequests(nil, w.clock); len(again) > 0 {
				t.Error("claimed twice")
			}
			w.answer(protocol.StoreResult{Outcome: protocol.OK})
			if len(answers) != 1 || !answers[0] {
				t.Errorf("answered %v", answers)
			}
		})
	}
}

// A machine that waits for too long is refused, once.
func TestExpireClaimRequests(t *testing.T) {
	w := newWorld(t)
	var answers []bool
	w.request("i-1", nil, &answers)
	w.m.ExpireClaimRequests(w.clock + claimRequestTimeout)
	if len(answers) > 0 {
		t.Error("refused too early")
	}
	w.m.ExpireClaimRequests(w.clock + claimRequestTimeout + 1)
	w.m.ExpireClaimRequests(w.clock + 2*claimRequestTimeout)
	if len(answers) != 1 || answers[0] {
		t.Errorf("answered %v", answers)
	}
}

// Machines that have come up fill the shard with the most room, and a new one once none has any.
func TestAdmissionOpensShards(t *testing.T) {
	w := newWorld(t)
	scaleOut := &storage.ScaleOutRequest{Own: map[string]string{}}
	var answers []bool
	perShard := FillBytes(w.m.cfg.MaxValueBytes) / w.m.bytesForMachine("m8")
	for i := 0; i <= perShard; i++ {
		id := fmt.Sprintf("i-%06d", i)
		scaleOut.Machines, scaleOut.Own[id] = append(scaleOut.Machines, id), ownNode
		w.request(id, nil, &answers)
	}
	w.putScaleOut("r", scaleOut)
	updates := w.m.AdmitClaimRequests(nil, w.clock)
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
			w := newWorld(t)
			for i, machines := range tc.shards {
				w.putShard(fmt.Sprint("p", i), ownNode, ownIncarnation, machines...)
			}
			w.putScaleOut("r", &storage.ScaleOutRequest{
				Machines: []string{"i-9"}, Own: map[string]string{"i-9": ownNode},
			})
			var answers []bool
			w.request("i-9", nil, &answers)
			updates := w.m.AdmitClaimRequests(w.m.PrepareUpdates(w.clock), w.clock)
			if len(updates) != 2 || updates[tc.want].Machines()["i-9"] == nil {
				t.Errorf("not in shard %d", tc.want)
			}
		})
	}
}

// Machines whose owner has lost them move with their attempts, in one commit that is conditional on both shards,
// from as many shards as the limiter allows; those of shards that the last commit failed on come last.
func TestTakeOver(t *testing.T) {
	w := newWorld(t)
	w.members["n-1"] = true
	w.putJob("j-1", 2)
	var answers []bool
	for i := 0; i < maxTakeoverSources+1; i++ {
		a, b := fmt.Sprintf("i-%d0", i), fmt.Sprintf("i-%d1", i)
		shard := w.putShard(fmt.Sprint("p", i), "n-1", 1, a, b)
		w.request(a, shard, &answers)
		w.request(b, shard, &answers)
	}
	take := func() *Update {
		t.Helper()
		updates := w.m.AdmitClaimRequests(w.m.PrepareUpdates(w.clock), w.clock)
		if len(updates) != 1 || !updates[0].ChangesOtherRecords() {
			t.Fatalf("%d updates, want one that changes others' shards", len(updates))
		}
		return updates[0]
	}
	update := take()
	if got := len(update.Machines()); got != 2*maxTakeoverSources {
		t.Errorf("%d machines, want %d", got, 2*maxTakeoverSources)
	}
	if got := len(update.txn.Then); got != maxTakeoverSources {
		t.Errorf("%d other shards written, want %d", got, maxTakeoverSources)
	}
	left, err := storage.DecodeShard(update.txn.Then[0].Value, nil)
	if err != nil || len(left.Machines) != 0 {
		t.Errorf("left of the first shard: %v, %v", left, err)
	}
	if attempt, ok := update.next.FindAttempt("j-1", 0); !ok || attempt.Number != 1 {
		t.Errorf("attempts didn't come along: %v", update.next.Jobs["j-1"])
	}
	for id, machine := range update.Machines() {
		if machine.Claim <= w.mirror.Machines[id].Claim() {
			t.Errorf("%s: claim %d doesn't outrank %d", id, machine.Claim, w.mirror.Machines[id].Claim())
		}
	}
	w.m.Commit(update, w.clock)
	w.answer(protocol.StoreResult{Outcome: protocol.Conflict, Failed: []string{storage.ShardKey("p0")}})
	update = take()
	if update.Machines()["i-00"] != nil || len(update.txn.Then) != maxTakeoverSources/2 {
		t.Errorf("after a conflict on p0: machines %v", update.Machines())
	}
}

// Which machines of other controllers' shards are taken over.
func TestMayTakeOver(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(w *world)
		want   bool
	}{
		{"owner is a member that lost it", func(*world) {}, true},
		{"owner is gone: its shards are claimed whole", func(w *world) { w.members["n-1"] = false }, false},
		{"moved to another shard", func(w *world) {
			w.putShard("p", "n-1", 1)
			w.putShard("q", "n-1", 1, "i-1")
		}, false},
		{"shard is being claimed", func(w *world) { w.m.claimsInFlight["p"] = true }, false},
		{"owned already", func(w *world) { w.ownMachines["i-1"] = true }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(t)
			w.members["n-1"] = true
			var answers []bool
			w.request("i-1", w.putShard("p", "n-1", 1, "i-1"), &answers)
			tc.change(w)
			if got := len(w.m.AdmitClaimRequests(nil, w.clock)) == 1; got != tc.want {
				t.Errorf("taken over: %v", got)
			}
		})
	}
}

// A claim is known since it was first seen, whatever else changes of its shard.
func TestClaimObservedAt(t *testing.T) {
	w := newWorld(t)
	w.putShard("p", "n-1", 1, "i-1")
	first := w.clock
	w.clock += monotime.Second
	w.putShard("p", "n-1", 1, "i-1", "i-2")
	if got := w.m.ClaimObservedAt("p"); got != first {
		t.Errorf("same claim: since %d, want %d", got, first)
	}
	w.putShard("p", "n-1", 2, "i-1")
	if got := w.m.ClaimObservedAt("p"); got != w.clock {
		t.Errorf("new incarnation: since %d, want %d", got, w.clock)
	}
	if got := w.m.ClaimObservedAt("unknown"); got != 0 {
		t.Errorf("unknown shard: since %d", got)
	}
}
