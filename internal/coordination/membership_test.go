package coordination

import "testing"

// TestRenewedLeaseNeedsFreshMirrorToLead: a former leader that was cut off from the state service and obtains
// a new lease must not act as leader while its mirror is older than that lease, because the mirror may still
// name it. Such a controller once listed the cloud's machines and judged machines idle that already belonged
// to other controllers.
func TestRenewedLeaseNeedsFreshMirrorToLead(t *testing.T) {
	for seed := range uint64(3) {
		c := newCluster(t, 620+seed).startWithLeader()
		formerLeader := c.leaderNode()
		c.store.RefusedCallers[formerLeader.name] = true
		c.sim.Run(20 * second)
		newLeader := c.leaderNode()
		if newLeader == nil || newLeader == formerLeader {
			t.Fatalf("seed %d: no other controller became leader within 20 s", seed)
		}
		delete(c.store.RefusedCallers, formerLeader.name)
		if c.sim.RunUntil(
			10*second,
			func() bool { return formerLeader.controller.membership.IsLeader(c.sim.Now()) },
		) {
			t.Errorf("seed %d: former leader %s acts as leader again", seed, formerLeader.name)
		}
		if !newLeader.controller.membership.IsLeader(c.sim.Now()) {
			t.Errorf("seed %d: %s is no longer the leader", seed, newLeader.name)
		}
	}
}
