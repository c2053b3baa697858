package coordination

import "pipitgap/internal/membership"

// newMembership makes this controller's membership, which holds no lease yet.
func newMembership(c *Controller) *membership.Membership {
	return membership.New(membership.Options{
		Node:        c.node,
		Incarnation: c.incarnation,
		Zone:        c.cfg.Area,
		Controllers: c.controllers,
		TTL:         c.durations.MembershipTTL,
		Mirror:      c.mirror,
		Store:       c.store,
		Replica:     c.replica,
		Environment: c.env,
		Log:         c.log,
	})
}
