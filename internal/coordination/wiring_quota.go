package coordination

import (
	"pipitgap/internal/durations"
	"pipitgap/internal/membership"
	"pipitgap/internal/monotime"
	"pipitgap/internal/quota/quotashares"
	"pipitgap/internal/resources"
)

// quotaDependencies provides the quota manager with what it needs of shards, peers and reachability.
// Its methods are described at quotashares.Shards and quotashares.Peers.
type quotaDependencies struct{ c *Controller }

// newQuotaManager makes what keeps this controller's shares of the teams' limits.
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

func (d quotaDependencies) QuotaLackReportedAt(team string) (at monotime.Micros, ok bool) {
	return d.c.peerStatuses.QuotaLackReportedAt(team)
}

func (d quotaDependencies) WorkersUnreachable() bool {
	return d.c.reachability.WorkersUnreachable()
}

func (d quotaDependencies) SuccessorOf(node string) string {
	return membership.RendezvousOwner(node, d.c.reachability.ConnectedControllers())
}
