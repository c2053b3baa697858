package coordination

import (
	"pipitgap/internal/durations"
	"pipitgap/internal/membership"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/quota/quotashares"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/resources"
)

// quotaDependencies gives the quota manager what it needs of the other subjects.
type quotaDependencies struct{ c *Controller }

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
			Membership:  dependencies,
			Store:       dependencies,
			Shards:      dependencies,
			Peers:       dependencies,
			RequestPass: func() { c.scheduler.requestPass() },
			Log:         c.log,
		},
	)
}

func (d quotaDependencies) HoldsLease(now monotime.Micros) bool {
	return d.c.membership.HoldsLease(now)
}

func (d quotaDependencies) IsMember(node string) bool { return d.c.membership.IsMember(node) }

func (d quotaDependencies) AbsentSince(node string, now monotime.Micros) monotime.Micros {
	return d.c.membership.AbsentSince(node, now)
}

func (d quotaDependencies) Unavailable() bool { return d.c.store.Unavailable() }

func (d quotaDependencies) BudgetSharers() int { return d.c.store.BudgetSharers() }

func (d quotaDependencies) Commit(
	priority ratelimit.Priority,
	txn protocol.Transaction,
	callback func(protocol.StoreResult),
) {
	d.c.replica.Commit(priority, txn, callback)
}

func (d quotaDependencies) CommitInFlight() bool {
	for _, tracker := range d.c.shards.trackers {
		if tracker.commitInFlightSince != 0 {
			return true
		}
	}
	return false
}

func (d quotaDependencies) UseInDoubt(team string) resources.Vector {
	use := resources.Vector{}
	for _, tracker := range d.c.shards.trackers {
		for _, update := range tracker.updatesInDoubt {
			use = use.Plus(update.AssignedToTeam(team))
		}
	}
	return use
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
