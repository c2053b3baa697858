package coordination

import (
	"pipitgap/internal/cancellation"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// mustSuspendLeaseRenewal tells whether check-ins must go unanswered: another controller may
// have confirmed a cancellation that we know nothing of, so long ago that its tasks
// would outlast their time if we renewed their lease now.
func (c *Controller) mustSuspendLeaseRenewal(now monotime.Micros) bool {
	expire := now-c.cancellations.ConfirmedUntil(c.mirrorFreshAt, now) >= c.durations.renewalWindow
	if expire != c.leaseRenewalSuspended {
		c.leaseRenewalSuspended = expire
		c.log.Info("worker lease renewal suspended", "state", conditionState(expire))
	}
	return expire
}

// recordCancellation keeps a cancellation that our mirror holds for the peers.
func (c *Controller) recordCancellation(job *Job) {
	if job != nil && job.FinalStatus == storage.JobCancelled && job.FinalRevision != 0 {
		c.cancellations.Add(cancellation.Committed{Job: job.ID, Revision: job.FinalRevision})
	}
}

// applyPeerCancellations takes over cancellations that a peer knows and our mirror doesn't
// yet. They are committed, so nothing can undo them: the workers that we hold are told
// to stop the tasks, and users get the answer.
func (c *Controller) applyPeerCancellations(list []cancellation.Committed) {
	for _, cancelled := range list {
		if cancelled.Revision > c.mirror.WatchedRevision {
			c.applyCancellation(cancelled)
		}
	}
}

func (c *Controller) applyCancellation(cancelled cancellation.Committed) {
	key := storage.Key(storage.KindJobResult, cancelled.Job)
	c.mirror.ApplyPut(key, protocol.MustMarshal(&storage.JobResult{State: storage.JobCancelled}), cancelled.Revision)
}

// reconcileCancellations brings mirror and relay together when all records were read
// anew: the mirror gets what was committed after the lists, the relay keeps nothing of
// jobs that are gone.
func (c *Controller) reconcileCancellations() {
	for _, id := range sortedKeys(c.mirror.Jobs) {
		c.recordCancellation(c.mirror.Jobs[id])
	}
	c.cancellations.Prune(c.mirror.WatchedRevision, func(id string) bool {
		job := c.mirror.Jobs[id]
		return job != nil && !job.IsOpen()
	})
	for _, cancelled := range c.cancellations.Since(c.mirror.WatchedRevision) {
		c.applyCancellation(cancelled)
	}
}
