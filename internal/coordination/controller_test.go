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

// TestPagesMakeRoom: shards come less often while users wait for the store, here or at
// a peer that said so lately.
func TestShardWriteRateYieldsToWaitingUsers(t *testing.T) {
	c := newCluster(t, 8).startWithLeader()
	core := c.nodes["n-0"].controller
	usual := core.store.ShardWritesPerSecond()
	core.OnPeerStatus(
		peers.Status{
			Node:                  "n-1",
			StateServiceReachable: true,
			WaitingUserRequests:   storeclient.WaitingUserCallsThreshold,
		},
	)
	if got := core.store.ShardWritesPerSecond(); got != usual {
		t.Errorf("a few users at a peer: %v, usually %v", got, usual)
	}
	core.OnPeerStatus(
		peers.Status{
			Node:                  "n-1",
			StateServiceReachable: true,
			WaitingUserRequests:   storeclient.WaitingUserCallsThreshold + 1,
		},
	)
	if got := core.store.ShardWritesPerSecond(); got >= usual/2 {
		t.Errorf("many users at a peer: %v, usually %v", got, usual)
	}
	c.sim.Run(3 * durations.SlowTickInterval)
	if got := core.store.ShardWritesPerSecond(); got != usual {
		t.Errorf("afterwards: %v, usually %v", got, usual)
	}
	c.queueStoreCalls("n-0", ratelimit.PriorityUserRequest, storeclient.WaitingUserCallsThreshold+1)
	if got := core.store.ShardWritesPerSecond(); got >= usual/4 {
		t.Errorf("many users here: %v, usually %v", got, usual)
	}
}

// queueStoreCalls has calls of a controller wait in its queue of a priority: the state service answers two
// seconds late, and as many calls as may be in flight go first.
func (c *cluster) queueStoreCalls(node string, priority ratelimit.Priority, calls int) {
	c.t.Helper()
	store := c.nodes[node].controller.store
	c.store.DelayResponse = func() monotime.Micros { return 2 * second }
	for store.QueuedCalls(priority) < calls {
		call := &protocol.StoreCall{Op: protocol.StoreGet, Key: storage.LeaderKey}
		store.Call(priority, call, func(protocol.StoreResult) {})
	}
}
