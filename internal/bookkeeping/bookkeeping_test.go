package bookkeeping

import (
	"encoding/json"
	"reflect"
	"testing"

	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
)

func TestRows(t *testing.T) {
	full := &Row{Owner: "gapnode-2", Tasks: make([]Task, 32)}
	for i := range full.Tasks {
		full.Tasks[i] = Task{State: TaskAssigned, Attempt: 4_000_000, Machine: "i-0000002312345"}
	}
	cases := []struct {
		name string
		row  *Row
	}{
		{"untried", &Row{Owner: "a", Tasks: make([]Task, 5)}},
		{"every state", &Row{Owner: "a", Tasks: []Task{{State: TaskDone}, {State: TaskDone}, {Attempt: 3},
			{State: TaskAssigned, Attempt: 2, Machine: "i-1"}, {}, {State: TaskDone}}}},
		{"full", full},
	}
	for _, tc := range cases {
		raw := tc.row.Encode()
		got, err := DecodeRow(raw, len(tc.row.Tasks))
		if err != nil || !reflect.DeepEqual(got, tc.row) {
			t.Errorf("%s: %+v %v", tc.name, got, err)
		}
		// The state service counts sizes in the JSON form.
		var v any
		if err := protocol.Unmarshal(raw, &v); err != nil {
			t.Fatal(err)
		}
		b, err := json.Marshal(v)
		if err != nil || len(b) > len(tc.row.Tasks)*RowTaskBytes+256 {
			t.Errorf("%s: %d bytes as JSON, %v", tc.name, len(b), err)
		}
	}
	if _, err := DecodeRow(full.Encode(), 8); err == nil {
		t.Error("a row of 32 tasks read as one of 8")
	}
}

func TestQueue(t *testing.T) {
	q := Queue{Reads: Bucket{Rate: 10, Burst: 4}, Writes: Bucket{Rate: 2, Burst: 2}, MaxInFlight: 100}
	add := func(r Rank, writes int) {
		sc := &protocol.StoreCall{}
		sc.Txn.Then = make([]protocol.Op, writes)
		q.Add(Call{StoreCall: sc, Rank: r})
	}
	drain := func(now micros.T) (out []Rank, wait micros.T) {
		for {
			c, ok, w := q.Next(now)
			if !ok {
				return out, w
			}
			out = append(out, c.Rank)
		}
	}
	add(RankRest, 0)
	add(RankUser, 2)
	add(RankCancel, 2)
	add(RankLease, 1)
	got, wait := drain(0)
	// The lease goes first and into debt, so the cancellation must wait for writes.
	if !reflect.DeepEqual(got, []Rank{RankLease}) || wait <= 0 {
		t.Fatalf("%v, wait %d", got, wait)
	}
	if got, _ = drain(500 * micros.Millisecond); !reflect.DeepEqual(got, []Rank{RankCancel}) {
		t.Fatalf("%v", got)
	}
	if got, _ = drain(1600 * micros.Millisecond); !reflect.DeepEqual(got, []Rank{RankUser, RankRest}) {
		t.Fatalf("%v", got)
	}
	// What was throttled goes again before the others of its rank, after a pause.
	add(RankUser, 1)
	c, _, _ := q.Next(5 * micros.Second)
	q.Back(c, 5*micros.Second)
	if _, ok, wait := q.Next(5 * micros.Second); ok || wait <= 0 {
		t.Error("no pause after a 429")
	}
}
