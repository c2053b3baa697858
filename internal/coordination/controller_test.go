package coordination

import (
	"testing"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
)

// TestTickWorkTakesAtMostATenthOfTheTime: work is due after its interval, and takes a tenth of the time at
// most.
func TestTickWorkTakesAtMostATenthOfTheTime(t *testing.T) {
	cases := []struct{ begun, ended, interval, want monotime.Micros }{
		{0, 0, 100, 100},
		{50, 55, 100, 150},
		{50, 60, 100, 150},
		{50, 90, 100, 450},
	}
	for _, tc := range cases {
		if got := nextDue(tc.begun, tc.ended, tc.interval); got != tc.want {
			t.Errorf("%+v: due at %d", tc, got)
		}
	}
}

// TestPagesMakeRoom: shards come less often while users wait for the store, here or at
// a peer that said so lately.
func TestShardWriteRateYieldsToWaitingUsers(t *testing.T) {
	c := newCluster(t, 8).startWithLeader()
	core := c.nodes["n-0"].controller
	usual := core.store.shardWriteRate()
	core.OnPeerStatus(
		PeerStatus{Node: "n-1", StateServiceReachable: true, WaitingUserRequests: waitingUserCallsThreshold},
	)
	if got := core.store.shardWriteRate(); got != usual {
		t.Errorf("a few users at a peer: %v, usually %v", got, usual)
	}
	core.OnPeerStatus(
		PeerStatus{
			Node:                  "n-1",
			StateServiceReachable: true,
			WaitingUserRequests:   waitingUserCallsThreshold + 1,
		},
	)
	if got := core.store.shardWriteRate(); got >= usual/2 {
		t.Errorf("many users at a peer: %v, usually %v", got, usual)
	}
	c.sim.Run(3 * slowTickInterval)
	if got := core.store.shardWriteRate(); got != usual {
		t.Errorf("afterwards: %v, usually %v", got, usual)
	}
	for i := 0; i <= waitingUserCallsThreshold; i++ {
		core.store.queue.Add(
			ratelimit.Call{StoreCall: &protocol.StoreCall{}, Priority: ratelimit.PriorityUserRequest},
		)
	}
	if got := core.store.shardWriteRate(); got >= usual/4 {
		t.Errorf("many users here: %v, usually %v", got, usual)
	}
}
