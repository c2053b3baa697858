package coordination

import (
	"pipitgap/internal/membership"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/reachability"
)

// newMembership creates this controller's membership. It holds no lease yet.
func newMembership(c *Controller) *membership.Membership {
	return membership.New(membership.Options{
		Node:        c.node,
		Incarnation: c.incarnation,
		Zone:        c.cfg.Zone,
		Controllers: c.controllers,
		TTL:         c.durations.MembershipTTL,
		Mirror:      c.mirror,
		Store:       c.store,
		Replica:     c.replica,
		Environment: c.env,
		Log:         c.log,
	})
}

// newReachability creates the component that determines which processes this controller reaches.
func newReachability(c *Controller) *reachability.Reachability {
	return reachability.New(reachability.Options{
		Node:          c.node,
		Peers:         peerNames(c),
		Durations:     c.durations,
		Mirror:        c.mirror,
		PeerStatuses:  c.peerStatuses,
		Membership:    c.membership,
		Store:         c.store,
		Environment:   c.env,
		Log:           c.log,
		HasAgent:      func(machine *mirror.Machine) bool { return c.agents.Of(machine) != nil },
		HandOffShards: func(now monotime.Micros) { c.shards.HandOff(now) },
		RequestPass:   func() { c.scheduler.RequestPass() },
	})
}
