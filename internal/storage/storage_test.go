package storage

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"pipitgap/internal/protocol"
)

// roundTripShard is a shard that a test changes at random.
type roundTripShard struct {
	t        *testing.T
	random   *rand.Rand
	shard    *Shard
	machines []string
	assigned map[assignedTask]bool
	bound    int // maximum allowed size of the encoded shard, in bytes
}

// assignedTask identifies a task that has an attempt in the shard.
type assignedTask struct {
	job  string
	task int
}

// newRoundTripShard returns a shard of 12 machines with up to 90 attempts.
func newRoundTripShard(t *testing.T, random *rand.Rand) *roundTripShard {
	t.Helper()
	rt := &roundTripShard{t: t, random: random, assigned: map[assignedTask]bool{}, shard: &Shard{
		Owner:       "gapnode-2",
		Incarnation: 1 << 47,
		Claim:       3,
		Machines:    map[string]*ShardMachine{},
		Jobs:        map[string]*ShardJob{},
	}}
	for i := 0; i < 12; i++ {
		id := fmt.Sprintf("i-%06d", 231+i)
		rt.machines = append(rt.machines, id)
		rt.shard.AddMachine(id, ShardMachine{
			Type:     "m16",
			Zone:     []string{"rack-a", "rack-b"}[i%2],
			Spot:     i%3 == 0,
			Endpoint: "10.1.0.232:9000",
			State:    MachineOpen,
			Claim:    uint64(i % 5),
		})
	}
	for i := 0; i < 90; i++ {
		task := assignedTask{fmt.Sprintf("j-%06d", random.IntN(7)), random.IntN(900)}
		if rt.assigned[task] {
			continue
		}
		rt.assigned[task] = true
		rt.shard.Assign(task.job, Attempt{
			Task:     task.task,
			Machine:  rt.machines[random.IntN(len(rt.machines))],
			Number:   uint64(50000 + i/8),
			Starting: random.IntN(3) == 0,
		})
	}
	rt.bound = rt.shard.MaxEncodedSize()
	return rt
}

// toggleStarting changes one arbitrary attempt from starting to running or back. A running attempt that starts
// again raises the bound by MaxStartingBytes.
func (rt *roundTripShard) toggleStarting(shard *Shard) {
	rt.t.Helper()
	for task := range rt.assigned {
		before, ok := shard.FindAttempt(task.job, task.task)
		if ok && !before.Starting {
			rt.bound += MaxStartingBytes
		}
		shard.MarkStarting(task.job, task.task, !before.Starting)
		if after, still := shard.FindAttempt(task.job, task.task); ok &&
			(!still || !after.SameAs(before) || after.Starting == before.Starting) {
			rt.t.Fatalf("MarkStarting(%v) of %+v: got %+v, found %v; want the same attempt with Starting toggled",
				!before.Starting, before, after, still)
		}
		return
	}
}

// requireSizeInBound checks that the reported size is at least the size of the JSON form, which the state
// service counts, and at most the bound.
func (rt *roundTripShard) requireSizeInBound(raw protocol.Raw, size int) {
	rt.t.Helper()
	var v any
	if err := protocol.Unmarshal(raw, &v); err != nil {
		rt.t.Fatal(err)
	}
	text, err := json.Marshal(v)
	if err != nil || len(text) > size || size > rt.bound {
		rt.t.Fatalf("got %d bytes as JSON, a reported size of %d, error %v; want JSON <= reported size <= %d",
			len(text), size, err, rt.bound)
	}
}

// requireDecodes checks that an encoded shard decodes to the written shard, with and without a previous
// shard.
func (rt *roundTripShard) requireDecodes(raw protocol.Raw, written *Shard) *Shard {
	rt.t.Helper()
	got, err := DecodeShard(raw, rt.shard)
	if err != nil {
		rt.t.Fatal(err)
	}
	fresh, err := DecodeShard(raw, nil)
	if err != nil || !reflect.DeepEqual(comparableForm(got), comparableForm(fresh)) ||
		!reflect.DeepEqual(comparableForm(fresh), comparableForm(written)) {
		rt.t.Fatalf("decoded %+v with a previous shard, %+v without, error %v; want %+v", got, fresh, err, written)
	}
	return got
}

// requireReusedNumber replaces a machine and its attempts by a new machine, which gets the free number, and
// checks that the shard still decodes correctly.
func (rt *roundTripShard) requireReusedNumber(shard *Shard) {
	rt.t.Helper()
	changed := shard.Clone()
	for id := range shard.Machines {
		for job, entry := range shard.Jobs {
			for _, attempt := range entry.Attempts {
				if attempt.Machine == id {
					changed.Release(job, attempt.Task, false)
				}
			}
		}
		delete(changed.Machines, id)
		break
	}
	changed.AddMachine("i-new", ShardMachine{
		Type: "m16", Zone: "rack-a", Endpoint: "10.1.0.1:9000", State: MachineUnreachable,
	})
	raw, _ := changed.Encode()
	again, err := DecodeShard(raw, rt.shard)
	if err != nil || !reflect.DeepEqual(comparableForm(again), comparableForm(changed)) {
		rt.t.Fatalf("shard with a reused machine number: decoded %+v, error %v; want %+v", again, err, changed)
	}
}

// TestShardRoundTripAndSizeBound checks that an encoded shard decodes to the same shard after any sequence of
// changes, and that its size never exceeds the bound computed when its tasks were assigned.
func TestShardRoundTripAndSizeBound(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	reused := 0
	for round := 0; round < 40; round++ {
		rt := newRoundTripShard(t, random)
		for task := range rt.assigned {
			changed := rt.shard.Clone()
			changed.Release(task.job, task.task, random.IntN(4) > 0)
			rt.toggleStarting(changed)
			raw, size := changed.Encode()
			rt.requireSizeInBound(raw, size)
			got := rt.requireDecodes(raw, changed)
			if random.IntN(8) == 0 && len(got.Machines) > 6 {
				reused++
				rt.requireReusedNumber(got)
				break
			}
			rt.shard = got
		}
	}
	if reused == 0 {
		t.Error("got 0 rounds that reused a machine number, want at least 1")
	}
}

// TestDecodeMalformedJobs checks that DecodeShard rejects job entries with an unknown machine, task numbers
// out of order or bounds, or an invalid id.
func TestDecodeMalformedJobs(t *testing.T) {
	for _, text := range []string{
		"0j-1 d5-2", "0j-1 0@1:0", "0j-1 d0;3 d1", "0j-1 d999999999", "0j-1 d1,0", " d1", "4j-1 d1", "0 d1",
	} {
		raw := protocol.MustMarshal(&shardRecord{Jobs: text})
		if _, err := DecodeShard(raw, nil); err == nil {
			t.Errorf("DecodeShard of jobs %q: got no error, want one", text)
		}
	}
}

// comparableForm returns the content of a shard for comparison, without cached encodings. It clears machine
// claims that aren't greater than the shard's claim, because they are not stored.
func comparableForm(s *Shard) map[string]any {
	out := map[string]any{"machines": s.Machines, "head": []any{s.Owner, s.Incarnation, s.Claim}}
	for id, m := range s.Machines {
		if m.Claim <= s.Claim {
			c := *m
			c.Claim = 0
			s.Machines[id] = &c
		}
	}
	for id, e := range s.Jobs {
		var completed TaskSet
		completed = append(completed, e.Completed...)
		attempts := append([]Attempt{}, e.Attempts...)
		out[id] = []any{completed, attempts}
	}
	return out
}

// TestAssignRange checks the reassignment of a whole range, of a part of a range, and across several ranges.
func TestAssignRange(t *testing.T) {
	ranges := []TaskRange{{First: 0, End: 10, Partition: "a"}, {First: 10, End: 20, Partition: "b"}}
	cases := []struct {
		first, end int
		partition  string
		want       []TaskRange
	}{
		{0, 10, "b", []TaskRange{{First: 0, End: 20, Partition: "b"}}},
		{
			4,
			10,
			"c",
			[]TaskRange{
				{First: 0, End: 4, Partition: "a"},
				{First: 4, End: 10, Partition: "c"},
				{First: 10, End: 20, Partition: "b"},
			},
		},
		{
			5,
			15,
			"c",
			[]TaskRange{
				{First: 0, End: 5, Partition: "a"},
				{First: 5, End: 15, Partition: "c"},
				{First: 15, End: 20, Partition: "b"},
			},
		},
		{
			12,
			14,
			"a",
			[]TaskRange{
				{First: 0, End: 10, Partition: "a"},
				{First: 10, End: 12, Partition: "b"},
				{First: 12, End: 14, Partition: "a"},
				{First: 14, End: 20, Partition: "b"},
			},
		},
		{0, 20, "c", []TaskRange{{First: 0, End: 20, Partition: "c"}}},
	}
	for _, tc := range cases {
		if got := AssignRange(ranges, tc.first, tc.end, tc.partition); !reflect.DeepEqual(got, tc.want) {
			t.Errorf("AssignRange(%d, %d, %s): got %v, want %v", tc.first, tc.end, tc.partition, got, tc.want)
		}
	}
}

// TestMaxEncodedSizeOfFragments checks that a shard stays within MaxEncodedSize when every second task of
// one long range ends or starts running, which splits the range into many short ones.
func TestMaxEncodedSizeOfFragments(t *testing.T) {
	const tasks = 400
	cases := []struct {
		name     string
		starting bool // initial state of all attempts
		change   func(shard *Shard, task int)
	}{
		{"released", false, func(shard *Shard, task int) { shard.Release("j-1", task, false) }},
		{"completed", false, func(shard *Shard, task int) { shard.Release("j-1", task, true) }},
		{"marked running", true, func(shard *Shard, task int) { shard.MarkStarting("j-1", task, false) }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			shard := &Shard{Owner: "n-1", Machines: map[string]*ShardMachine{}, Jobs: map[string]*ShardJob{}}
			shard.AddMachine("i-1", ShardMachine{Type: "m16", Zone: "rack-a", State: MachineOpen})
			for task := range tasks {
				shard.Assign("j-1", Attempt{Task: task, Machine: "i-1", Number: 1, Starting: tc.starting})
			}
			bound := shard.MaxEncodedSize()
			for task := 1; task < tasks; task += 2 {
				tc.change(shard, task)
				if _, size := shard.Encode(); size > bound {
					t.Fatalf("after task %d: got %d bytes, want at most %d", task, size, bound)
				}
			}
		})
	}
	starting := &Shard{Owner: "n-1", Machines: map[string]*ShardMachine{}, Jobs: map[string]*ShardJob{}}
	starting.AddMachine("i-1", ShardMachine{Type: "m16", Zone: "rack-a", State: MachineOpen})
	for task := range 2 {
		starting.Assign("j-1", Attempt{Task: task, Machine: "i-1", Number: 1 << 40})
	}
	bound := starting.MaxEncodedSize() + MaxStartingBytes
	starting.MarkStarting("j-1", 1, true)
	if _, size := starting.Encode(); size > bound {
		t.Errorf("shard with one starting attempt: got %d bytes, want at most %d", size, bound)
	}
}
