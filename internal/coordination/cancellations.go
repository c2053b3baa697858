package coordination

import (
	"pipitgap/internal/cancellation"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// cancellationTracker exchanges committed cancellations with the other controllers and decides whether leases
// may be renewed.
type cancellationTracker struct {
	c *Controller

	leaseRenewalSuspended bool                // the leases of our workers are left to expire
	relay                 *cancellation.Relay // committed ones, exchanged with the peers
}

// mustSuspendLeaseRenewal tells whether check-ins must go unanswered: another controller may
// have confirmed a cancellation that we know nothing of, so long ago that its tasks
// would outlast their time if we renewed their lease now.
func (ct *cancellationTracker) mustSuspendLeaseRenewal(now monotime.Micros) bool {
	expire := now-ct.relay.ConfirmedUntil(ct.c.replica.FreshAt(), now) >= ct.c.durations.RenewalWindow
	if expire != ct.leaseRenewalSuspended {
		ct.leaseRenewalSuspended = expire
		ct.c.log.Info("worker lease renewal suspended", "state", conditionState(expire))
	}
	return expire
}

// recordCancellation keeps a cancellation that our mirror holds for the peers.
func (ct *cancellationTracker) recordCancellation(job *mirror.Job) {
	if job != nil && job.FinalStatus == storage.JobCancelled && job.FinalRevision != 0 {
		ct.relay.Add(cancellation.Committed{Job: job.ID, Revision: job.FinalRevision})
	}
}

// applyPeerCancellations takes over cancellations that a peer knows and our mirror doesn't
// yet. They are committed, so nothing can undo them: the workers that we hold are told
// to stop the tasks, and users get the answer.
func (ct *cancellationTracker) applyPeerCancellations(list []cancellation.Committed) {
	for _, cancelled := range list {
		if cancelled.Revision > ct.c.mirror.WatchedRevision {
			ct.applyCancellation(cancelled)
		}
	}
}

func (ct *cancellationTracker) applyCancellation(cancelled cancellation.Committed) {
	key := storage.Key(storage.KindJobResult, cancelled.Job)
	ct.c.mirror.ApplyPut(
		key,
		protocol.MustMarshal(&storage.JobResult{State: storage.JobCancelled}),
		cancelled.Revision,
	)
}

// reconcileCancellations brings mirror and relay together when all records were read
// anew: the mirror gets what was committed after the lists, the relay keeps nothing of
// jobs that are gone.
func (ct *cancellationTracker) reconcileCancellations() {
	for _, id := range sortedmap.Keys(ct.c.mirror.Jobs) {
		ct.recordCancellation(ct.c.mirror.Jobs[id])
	}
	ct.relay.Prune(ct.c.mirror.WatchedRevision, func(id string) bool {
		job := ct.c.mirror.Jobs[id]
		return job != nil && !job.IsOpen()
	})
	for _, cancelled := range ct.relay.Since(ct.c.mirror.WatchedRevision) {
		ct.applyCancellation(cancelled)
	}
}

func newCancellationTracker(c *Controller) *cancellationTracker {
	var peers []string
	for _, peer := range c.cfg.Peers {
		peers = append(peers, peer.Node)
	}
	return &cancellationTracker{c: c, relay: cancellation.NewRelay(c.incarnation, peers)}
}
