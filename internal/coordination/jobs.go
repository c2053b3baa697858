package coordination

import (
	"sort"

	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/protocol"
)

// finishIfComplete makes a job done once the shards show every task of it done.
func (c *Core) finishIfComplete(id string) {
	j := c.view.jobs[id]
	if j == nil || !j.open() || !j.complete() || c.jobBusy[id] {
		return
	}
	c.end(j)
}

// end closes a job whose tasks are all done, unless it has an answer already: the
// answer is kept for ever, the description goes. The shards drop what they hold of
// it with their next changes.
func (c *Core) end(j *job) {
	id := j.id
	c.jobBusy[id] = true
	openKey, jobKey := bookkeeping.Key(bookkeeping.KindOpen, id), bookkeeping.Key(bookkeeping.KindJob, id)
	c.commit(c.rankOf(&j.rec.Spec, bookkeeping.RankEnd), protocol.Txn{
		If: []protocol.Cond{{Key: jobKey}},
		Then: []protocol.Op{
			{Put: jobKey, Value: protocol.MustMarshal(&bookkeeping.Answer{Status: bookkeeping.Done})},
			{Delete: openKey},
		},
	}, func(r protocol.StoreResult) {
		delete(c.jobBusy, id)
		if r.Outcome == protocol.OK {
			c.stats.done++
			c.log.Debug("job completed", "job", id)
		}
	})
}

// sweep drops the description of a cancelled job that has nothing left anywhere.
// No attempt can follow: each depends on the job having no answer.
func (c *Core) sweep(j *job) {
	c.jobBusy[j.id] = true
	key := bookkeeping.Key(bookkeeping.KindOpen, j.id)
	c.commit(bookkeeping.RankRest, protocol.Txn{
		If:   []protocol.Cond{{Key: key, Version: j.version}},
		Then: []protocol.Op{{Delete: key}},
	}, func(protocol.StoreResult) { delete(c.jobBusy, j.id) })
}

// closeJobs closes jobs that are over: such whose last tasks ended on several partitions
// at once, each of which saw another's unfinished, and cancelled ones whose every
// attempt is proven gone. Each job has one controller that does so.
func (c *Core) closeJobs() {
	if c.storeDown {
		return
	}
	live := c.live()
	var over []string
	for id, j := range c.view.jobs {
		if j.open() && j.complete() || !j.open() && j.held == 0 {
			over = append(over, id)
		}
	}
	sort.Strings(over)
	for _, id := range over {
		j := c.view.jobs[id]
		if j == nil || c.jobBusy[id] || c.view.watched < j.version {
			continue
		}
		switch {
		case j.open() && j.complete() && home(j.id, live) == c.node:
			c.end(j)
		case !j.open() && j.held == 0 && home(j.id, live) == c.node && j.overAt != 0 && c.view.watched >= j.overAt:
			// With a mirror that has all that came before the answer. An answer that was
			// learned ahead of the job's record has no revision until the mirror has it.
			c.sweep(j)
		}
	}
}
