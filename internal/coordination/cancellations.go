package coordination

import (
	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/cancellation"
	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
)

// mustLetLeasesExpire tells whether check-ins must go unanswered: another controller may
// have confirmed a cancellation that we know nothing of, so long ago that its tasks
// would outlast their time if we renewed their lease now.
func (c *Core) mustLetLeasesExpire(now micros.T) bool {
	expire := now-c.cancellations.KnownUntil(c.freshAt, now) >= c.timing.renewal
	if expire != c.expiring {
		c.expiring = expire
		c.log.Info("worker lease renewal suspended", "state", conditionState(expire))
	}
	return expire
}

// noteCancellation keeps a cancellation that our mirror holds for the peers.
func (c *Core) noteCancellation(j *job) {
	if j != nil && j.over == bookkeeping.Cancelled && j.overAt != 0 {
		c.cancellations.Note(cancellation.Committed{Job: j.id, Revision: j.overAt})
	}
}

// learnCancellations takes over cancellations that a peer knows and our mirror doesn't
// yet. They are committed, so nothing can undo them: the workers that we hold are told
// to stop the tasks, and users get the answer.
func (c *Core) learnCancellations(list []cancellation.Committed) {
	for _, known := range list {
		if known.Revision > c.view.watched {
			c.applyCancellation(known)
		}
	}
}

func (c *Core) applyCancellation(known cancellation.Committed) {
	key := bookkeeping.Key(bookkeeping.KindJob, known.Job)
	c.view.put(key, protocol.MustMarshal(&bookkeeping.Answer{Status: bookkeeping.Cancelled}), known.Revision)
}

// reconcileCancellations brings mirror and relay together when all records were read
// anew: the mirror gets what was committed after the lists, the relay keeps nothing of
// jobs that are gone.
func (c *Core) reconcileCancellations() {
	for _, id := range sortedKeys(c.view.jobs) {
		c.noteCancellation(c.view.jobs[id])
	}
	c.cancellations.KeepOnly(c.view.watched, func(id string) bool {
		j := c.view.jobs[id]
		return j != nil && !j.open()
	})
	for _, known := range c.cancellations.Since(c.view.watched) {
		c.applyCancellation(known)
	}
}
