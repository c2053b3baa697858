package ratelimit

import (
	"reflect"
	"testing"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

func TestQueueOrdersByPriorityAndRate(t *testing.T) {
	queue := NewQueue(100)
	queue.SetRates(Rates{PerSecond: 10, Burst: 4}, Rates{PerSecond: 2, Burst: 2})
	since := monotime.Micros(0)
	add := func(priority Priority, writes int) {
		sc := &protocol.StoreCall{}
		sc.Transaction.Then = make([]protocol.Op, writes)
		queue.Add(Call{StoreCall: sc, Priority: priority, QueuedAt: since})
	}
	drain := func(now monotime.Micros) (out []Priority, wait monotime.Micros) {
		for {
			call, ok, w := queue.Next(now)
			if !ok {
				return out, w
			}
			out = append(out, call.Priority)
		}
	}
	add(PriorityBackground, 0)
	add(PriorityUserRequest, 2)
	add(PriorityCancellation, 2)
	add(PriorityLease, 1)
	got, wait := drain(0)
	// The lease goes first and into debt, so the cancellation must wait for writes.
	if !reflect.DeepEqual(got, []Priority{PriorityLease}) || wait <= 0 {
		t.Fatalf("%v, wait %d", got, wait)
	}
	if got, _ = drain(500 * monotime.Millisecond); !reflect.DeepEqual(got, []Priority{PriorityCancellation}) {
		t.Fatalf("%v", got)
	}
	if got, _ = drain(1600 * monotime.Millisecond); !reflect.DeepEqual(
		got,
		[]Priority{PriorityUserRequest, PriorityBackground},
	) {
		t.Fatalf("%v", got)
	}
	// Users go before shards, but don't keep them waiting for long.
	since = 3*monotime.Second - shardMaxWait
	add(PriorityShardUpdate, 1)
	add(PriorityUserRequest, 1)
	if got, _ = drain(3 * monotime.Second); !reflect.DeepEqual(
		got,
		[]Priority{PriorityUserRequest, PriorityShardUpdate},
	) {
		t.Fatalf("%v", got)
	}
	// Past that they take turns: neither keeps the other waiting, however many come.
	since -= 2
	for i := 0; i < 2; i++ {
		add(PriorityShardUpdate, 0)
		add(PriorityUserRequest, 0)
	}
	if got, _ = drain(4 * monotime.Second); !reflect.DeepEqual(
		got,
		[]Priority{PriorityUserRequest, PriorityShardUpdate, PriorityUserRequest, PriorityShardUpdate},
	) {
		t.Fatalf("%v", got)
	}
	// A swarm's call waits for all others, but among shards it has its turn.
	since = 4 * monotime.Second
	for i := 0; i < 6; i++ {
		add(PriorityBurst, 0)
		add(PriorityShardUpdate, 0)
	}
	add(PriorityUserRequest, 0)
	if got, _ = drain(60 * monotime.Second); !reflect.DeepEqual(
		got,
		[]Priority{PriorityUserRequest, PriorityBurst, PriorityShardUpdate, PriorityShardUpdate},
	) {
		t.Fatalf("%v", got)
	}
	if got, _ = drain(61 * monotime.Second); !reflect.DeepEqual(
		got,
		[]Priority{PriorityBurst, PriorityShardUpdate, PriorityShardUpdate, PriorityBurst},
	) {
		t.Fatalf("%v", got)
	}
	drain(62 * monotime.Second)
	drain(63 * monotime.Second)
	// The answers of jobs that are done take turns with shards, however many there are.
	since = 63 * monotime.Second
	for i := 0; i < 4; i++ {
		add(PriorityJobResult, 0)
	}
	add(PriorityShardUpdate, 0)
	add(PriorityShardUpdate, 0)
	add(PriorityUserRequest, 0)
	if got, _ = drain(64 * monotime.Second); !reflect.DeepEqual(
		got,
		[]Priority{PriorityUserRequest, PriorityJobResult, PriorityShardUpdate, PriorityJobResult},
	) {
		t.Fatalf("%v", got)
	}
	if got, _ = drain(65 * monotime.Second); !reflect.DeepEqual(
		got,
		[]Priority{PriorityShardUpdate, PriorityJobResult, PriorityJobResult},
	) {
		t.Fatalf("%v", got)
	}
	// What was throttled goes again before the others of its rank, after a pause.
	add(PriorityUserRequest, 1)
	call, _, _ := queue.Next(70 * monotime.Second)
	queue.Requeue(call, 70*monotime.Second)
	if _, ok, wait := queue.Next(70 * monotime.Second); ok || wait <= 0 {
		t.Error("no pause after a 429")
	}
}
