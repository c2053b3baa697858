package coordination

import "testing"

// TestRenewedLeaseNeedsFreshMirrorToLead: a leader that comes back to the state service with a new lease
// isn't the leader by a mirror from before that lease: it listed machines and called some idle that were
// others' by then.
func TestRenewedLeaseNeedsFreshMirrorToLead(t *testing.T) {
	for seed := range uint64(3) {
		c := newCluster(t, 620+seed).startWithLeader()
		was := c.leaderNode()
		c.store.RefusedCallers[was.name] = true
		c.sim.Run(20 * second)
		now := c.leaderNode()
		if now == nil || now == was {
			t.Fatal("no other leader")
		}
		delete(c.store.RefusedCallers, was.name)
		if c.sim.RunUntil(10*second, func() bool { return was.controller.membership.IsLeader(c.sim.Now()) }) {
			t.Errorf("seed %d: two controllers lead", seed)
		}
		if !now.controller.membership.IsLeader(c.sim.Now()) {
			t.Errorf("seed %d: the lead has moved on", seed)
		}
	}
}
