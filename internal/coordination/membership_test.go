package coordination

import "testing"

// TestRenewedLeaseNeedsFreshMirrorToLead: a leader that comes back to the state service with a new lease
// isn't the leader by a mirror from before that lease: it listed machines and called some idle that were
// others' by then.
func TestRenewedLeaseNeedsFreshMirrorToLead(t *testing.T) {
	for seed := range uint64(3) {
		c := newCluster(t, 620+seed).startWithLeader()
		formerLeader := c.leaderNode()
		c.store.RefusedCallers[formerLeader.name] = true
		c.sim.Run(20 * second)
		newLeader := c.leaderNode()
		if newLeader == nil || newLeader == formerLeader {
			t.Fatal("no other leader")
		}
		delete(c.store.RefusedCallers, formerLeader.name)
		if c.sim.RunUntil(
			10*second,
			func() bool { return formerLeader.controller.membership.IsLeader(c.sim.Now()) },
		) {
			t.Errorf("seed %d: two controllers lead", seed)
		}
		if !newLeader.controller.membership.IsLeader(c.sim.Now()) {
			t.Errorf("seed %d: the lead has moved on", seed)
		}
	}
}
