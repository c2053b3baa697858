package storage

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"pipitgap/internal/protocol"
)

// TestShardRoundTripAndSizeBound: what is written reads the same, whatever is done to a shard in
// between; its size is never above what was bounded when its tasks were assigned.
func TestShardRoundTripAndSizeBound(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	for round := 0; round < 40; round++ {
		s := &Shard{
			Owner:       "gapnode-2",
			Incarnation: 1 << 47,
			Claim:       3,
			Machines:    map[string]*ShardMachine{},
			Jobs:        map[string]*ShardJob{},
		}
		var ids []string
		for i := 0; i < 12; i++ {
			id := fmt.Sprintf("i-%06d", 231+i)
			ids = append(ids, id)
			s.AddMachine(
				id,
				ShardMachine{
					Type:     "m16",
					Zone:     []string{"rack-a", "rack-b"}[i%2],
					Spot:     i%3 == 0,
					Endpoint: "10.1.0.232:9000",
					State:    MachineOpen,
					Claim:    uint64(i % 5),
				},
			)
		}
		type key struct {
			job  string
			task int
		}
		held := map[key]bool{}
		for i := 0; i < 90; i++ {
			k := key{fmt.Sprintf("j-%06d", rnd.IntN(7)), rnd.IntN(900)}
			if !held[k] {
				held[k] = true
				s.Assign(
					k.job,
					Attempt{
						Task:     k.task,
						Machine:  ids[rnd.IntN(len(ids))],
						Number:   uint64(50000 + i/8),
						Starting: rnd.IntN(3) == 0,
					},
				)
			}
		}
		bound := s.MaxEncodedSize()
		for k := range held {
			clone := s.Clone()
			clone.Release(k.job, k.task, rnd.IntN(4) > 0)
			for k := range held { // another one is seen to run, or to start again
				a, ok := clone.FindAttempt(k.job, k.task)
				if ok && !a.Starting {
					bound += MaxStartingBytes
				}
				clone.MarkStarting(k.job, k.task, !a.Starting)
				if now, still := clone.FindAttempt(k.job, k.task); ok &&
					(!still || !now.SameAs(a) || now.Starting == a.Starting) {
					t.Fatalf("%+v is marked as %+v", a, now)
				}
				break
			}
			raw, size := clone.Encode()
			// The state service counts sizes in the JSON form.
			var v any
			if err := protocol.Unmarshal(raw, &v); err != nil {
				t.Fatal(err)
			}
			text, err := json.Marshal(v)
			if err != nil || len(text) > size || size > bound {
				t.Fatalf("%d bytes as JSON, %d counted, %d bounded, %v", len(text), size, bound, err)
			}
			got, err := DecodeShard(raw, s)
			if err != nil {
				t.Fatal(err)
			}
			fresh, err := DecodeShard(raw, nil)
			if err != nil || !reflect.DeepEqual(withoutCaches(got), withoutCaches(fresh)) ||
				!reflect.DeepEqual(withoutCaches(fresh), withoutCaches(clone)) {
				t.Fatalf("%v: read %+v, written %+v", err, fresh, clone)
			}
			if rnd.IntN(8) == 0 && len(got.Machines) > 6 {
				// A machine goes with all on it, another takes its number.
				for id := range got.Machines {
					clone := got.Clone()
					for job, e := range clone.Jobs {
						for _, a := range e.Attempts {
							if a.Machine == id {
								clone.Release(job, a.Task, false)
							}
						}
					}
					delete(clone.Machines, id)
					got = clone
					break
				}
				got.AddMachine(
					"i-new",
					ShardMachine{
						Type:     "m16",
						Zone:     "rack-a",
						Endpoint: "10.1.0.1:9000",
						State:    MachineUnreachable,
					},
				)
				raw, _ := got.Encode()
				again, err := DecodeShard(raw, s)
				if err != nil || !reflect.DeepEqual(withoutCaches(again), withoutCaches(got)) {
					t.Fatalf("%v: a number that was given again is misread", err)
				}
				break
			}
			s = got
		}
	}
	for _, text := range []string{"0j-1 d5-2", "0j-1 0@1:0", "0j-1 d0;3 d1", "0j-1 d999999999", "0j-1 d1,0", " d1", "4j-1 d1", "0 d1"} {
		raw := protocol.MustMarshal(&shardRecord{Jobs: text})
		if _, err := DecodeShard(raw, nil); err == nil {
			t.Errorf("a page with %q is read", text)
		}
	}
}

// withoutCaches leaves what counts of a shard.
func withoutCaches(s *Shard) map[string]any {
	out := map[string]any{"machines": s.Machines, "head": []any{s.Owner, s.Incarnation, s.Claim}}
	for id, m := range s.Machines {
		if m.Claim <= s.Claim {
			c := *m
			c.Claim = 0
			s.Machines[id] = &c
		}
	}
	for id, e := range s.Jobs {
		var done TaskSet
		done = append(done, e.Completed...)
		held := append([]Attempt{}, e.Attempts...)
		out[id] = []any{done, held}
	}
	return out
}

// TestAssignRange: ranges change hands whole, in part and across several.
func TestAssignRange(t *testing.T) {
	all := []TaskRange{{First: 0, End: 10, Partition: "a"}, {First: 10, End: 20, Partition: "b"}}
	cases := []struct {
		first, end int
		part       string
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
		if got := AssignRange(all, tc.first, tc.end, tc.part); !reflect.DeepEqual(got, tc.want) {
			t.Errorf("%d to %d for %s: %v", tc.first, tc.end, tc.part, got)
		}
	}
}
