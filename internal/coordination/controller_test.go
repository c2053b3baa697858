package coordination

import (
	"testing"

	"pipitgap/internal/durations"
	"pipitgap/internal/monotime"
	"pipitgap/internal/peers"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/storage"
	"pipitgap/internal/storeclient"
)

// TestShardWriteRateYieldsToWaitingUsers checks that a controller writes fewer shards a second while requests
// of users wait for the state service, on this controller or on a peer that reported it recently.
func TestShardWriteRateYieldsToWaitingUsers(t *testing.T) {
	c := newCluster(t, 8).startWithLeader()
	controller := c.nodes["n-0"].controller
	normalRate := controller.store.ShardWritesPerSecond()
	controller.OnPeerStatus(
		peers.Status{
			Node:                  "n-1",
			StateServiceReachable: true,
			WaitingUserRequests:   storeclient.WaitingUserCallsThreshold,
		},
	)
	if got := controller.store.ShardWritesPerSecond(); got != normalRate {
		t.Errorf("few requests wait at a peer: got %v shard writes a second, want %v", got, normalRate)
	}
	controller.OnPeerStatus(
		peers.Status{
			Node:                  "n-1",
			StateServiceReachable: true,
			WaitingUserRequests:   storeclient.WaitingUserCallsThreshold + 1,
		},
	)
	if got := controller.store.ShardWritesPerSecond(); got >= normalRate/2 {
		t.Errorf("many requests wait at a peer: got %v shard writes a second, want under half of %v", got, normalRate)
	}
	c.sim.Run(3 * durations.SlowTickInterval)
	if got := controller.store.ShardWritesPerSecond(); got != normalRate {
		t.Errorf("3 slow ticks after the peer's status: got %v shard writes a second, want %v", got, normalRate)
	}
	c.queueStoreCalls("n-0", ratelimit.PriorityUserRequest, storeclient.WaitingUserCallsThreshold+1)
	if got := controller.store.ShardWritesPerSecond(); got >= normalRate/4 {
		t.Errorf("many requests wait here: got %v shard writes a second, want under a quarter of %v", got, normalRate)
	}
}

// queueStoreCalls makes calls of a controller wait in its queue of a priority. The state service answers two
// seconds late, so calls stay in the queue once the maximum number of calls is in flight.
func (c *cluster) queueStoreCalls(node string, priority ratelimit.Priority, calls int) {
	c.t.Helper()
	store := c.nodes[node].controller.store
	c.store.DelayResponse = func(string, *protocol.StoreCall) monotime.Micros { return 2 * second }
	for store.QueuedCalls(priority) < calls {
		call := &protocol.StoreCall{Op: protocol.StoreGet, Key: storage.LeaderKey}
		store.Call(priority, call, func(protocol.StoreResult) {})
	}
}
