package coordination

import (
	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/protocol"
)

// finishIfComplete makes a job done once the pages show every task of it done.
func (c *Core) finishIfComplete(id string) {
	j := c.view.jobs[id]
	if j == nil || !j.open() || !j.complete() || c.jobBusy[id] {
		return
	}
	c.end(j, bookkeeping.Done)
}

// end closes a job: its answer is kept for ever, its description goes. The pages
// drop what they hold of it with their next changes.
func (c *Core) end(j *job, s bookkeeping.JobStatus) {
	id := j.id
	c.jobBusy[id] = true
	openKey := bookkeeping.Key(bookkeeping.KindOpen, id)
	rank := bookkeeping.RankPage
	if s == bookkeeping.Cancelled {
		rank = bookkeeping.RankRest // its user has been told long ago
	}
	c.commit(rank, protocol.Txn{
		If: []protocol.Cond{{Key: openKey, Version: j.version}},
		Then: []protocol.Op{
			{Put: bookkeeping.Key(bookkeeping.KindJob, id), Value: protocol.MustMarshal(&bookkeeping.Answer{Status: s})},
			{Delete: openKey},
		},
	}, func(r protocol.StoreResult) {
		delete(c.jobBusy, id)
		if r.Outcome == protocol.OK && s == bookkeeping.Done {
			c.stats.done++
			c.log.Debug("job done", "job", id)
		}
	})
}

// tendJobs closes jobs that are over: such whose last tasks ended on several parts
// at once, each of which saw another's unfinished, and cancelled ones whose every
// attempt is proven gone. Each job has one controller that does so.
func (c *Core) tendJobs() {
	if c.storeDown {
		return
	}
	live := c.live()
	for _, j := range c.view.jobs {
		if c.jobBusy[j.id] || c.view.watched < j.version {
			continue
		}
		switch {
		case j.open() && j.complete() && home(j.id, live) == c.node:
			c.end(j, bookkeeping.Done)
		case !j.open() && j.held == 0 && home(j.id, live) == c.node:
			c.end(j, j.rec.Status)
		}
	}
}
