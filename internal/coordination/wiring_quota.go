package coordination

import (
	"pipitgap/internal/durations"
	"pipitgap/internal/membership"
	"pipitgap/internal/monotime"
	"pipitgap/internal/quota/quotashares"
	"pipitgap/internal/resources"
)

// quotaDependencies implements quotashares.Shards and quotashares.Peers with the data of the shard manager,
// the peer statuses and the reachability.
type quotaDependencies struct{ c *Controller }

// newQuotaManager creates the manager of this controller's shares of the teams' limits.
func newQuotaManager(c *Controller) *quotashares.Manager {
	dependencies := quotaDependencies{c}
	return quotashares.New(
		quotashares.Config{
			Node:               c.node,
			Controllers:        c.controllers,
			Teams:              c.cfg.Facts.Teams,
			PeerStatusInterval: durations.SlowTickInterval,
		},
		quotashares.Dependencies{
			Mirror:      c.mirror,
			Membership:  c.membership,
			Store:       stateService{c.store, c.replica},
			Shards:      dependencies,
			Peers:       dependencies,
			RequestPass: func() { c.scheduler.RequestPass() },
			Log:         c.log,
		},
	)
}

func (d quotaDependencies) CommitInFlight() bool { return d.c.shards.CommitInFlight() }

func (d quotaDependencies) UseInDoubt(team string) resources.Vector {
	return d.c.shards.UseInDoubt(team)
}

func (d quotaDependencies) QuotaShortageReportedAt(team string) (at monotime.Micros, ok bool) {
	return d.c.peerStatuses.QuotaShortageReportedAt(team)
}

func (d quotaDependencies) WorkersUnreachable() bool {
	return d.c.reachability.WorkersUnreachable()
}

func (d quotaDependencies) SuccessorOf(node string) string {
	return membership.RendezvousOwner(node, d.c.reachability.ConnectedControllers())
}
