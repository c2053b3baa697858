package coordination

import (
	"math"
	"strings"

	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/protocol"
)

// Bounds of what waits for the store on behalf of users; past them the answer
// is an immediate 429.
const (
	mostConfirms = 512
	mostOpenJobs = 5000
)

// mostUserCalls bounds what waits in the queue to well under the time that a user
// waits for an answer.
func (c *Core) mostUserCalls() int { return max(4, int(c.queue.Writes.Rate*0.75)) }

// confirm is an answer that waits until the store has confirmed the mirror.
type confirm struct {
	cond protocol.Cond
	back func(ok bool, o protocol.Outcome)
}

func errorReply(status int, text string) Reply {
	return Reply{Status: status, Body: protocol.MustMarshal(&protocol.ErrorBody{Error: text})}
}

// later is the immediate answer to what can't be taken now.
func (c *Core) later(status int, text string) Reply {
	r := errorReply(status, text)
	r.RetryAfter = 1
	if c.storeDown {
		// Spread over a few seconds: the return must not be a stampede.
		r.RetryAfter = 1 + int(c.env.Rand().Int64N(3))
	}
	return r
}

// OnRequest answers a request of a user or a worker. The answer may come later,
// but never because it is held back: only as long as the store takes.
func (c *Core) OnRequest(method, target string, body []byte, answer func(Reply)) {
	path, query, _ := strings.Cut(target, "?")
	if query != "" && path != "/healthz" {
		answer(errorReply(400, "no parameters are known here"))
		return
	}
	only := func(m string) bool {
		if method != m {
			answer(errorReply(405, "use "+m))
		}
		return method == m
	}
	switch {
	case path == "/healthz":
		if only("GET") {
			answer(c.health())
		}
	case path == "/checkin":
		if only("POST") {
			c.onCheckin(body, answer)
		}
	case path == "/v2/runs":
		if only("POST") {
			c.onSubmit(body, answer)
		}
	case strings.HasPrefix(path, "/v2/runs/"):
		id := strings.TrimPrefix(path, "/v2/runs/")
		if id, ok := strings.CutSuffix(id, "/abort"); ok {
			if only("POST") {
				c.onAbort(id, answer)
			}
			return
		}
		if strings.Contains(id, "/") {
			answer(errorReply(404, "no such path"))
			return
		}
		if only("GET") {
			c.onPoll(id, answer)
		}
	default:
		answer(errorReply(404, "no such path"))
	}
}

// health: a node that can't take requests while others can says so. In an
// outage that all share it stays healthy, so that no time is lost afterwards.
func (c *Core) health() Reply {
	if !c.ready {
		return c.later(503, "records not read yet")
	}
	if _, alone := c.refusedAlone(c.now()); alone {
		return c.later(503, "state service out of reach")
	}
	return Reply{Status: 200}
}

func status(id string, s bookkeeping.JobStatus) Reply {
	w := protocol.JobDone
	if s == bookkeeping.Cancelled {
		w = protocol.JobCancelled
	}
	return Reply{Status: 200, Body: protocol.MustMarshal(&protocol.Accepted{ID: id, Status: w})}
}

// current is the answer about a job that the mirror holds as unfinished.
func (c *Core) current(id string) Reply {
	if s, ok := c.view.finals.get(id); ok {
		return c.final(id, s) // the mirror went on while the store was asked
	}
	st := protocol.JobStatus{ID: id, Status: protocol.JobPending}
	if j := c.view.jobs[id]; j != nil {
		st.Done, st.Running = j.done, j.held
		if j.held > 0 {
			st.Status = protocol.JobRunning
		}
	}
	return Reply{Status: 200, Body: protocol.MustMarshal(&st)}
}

func (c *Core) final(id string, s bookkeeping.JobStatus) Reply {
	st := protocol.JobStatus{ID: id, Status: protocol.JobDone}
	if s == bookkeeping.Cancelled {
		st.Status = protocol.JobCancelled
	}
	return Reply{Status: 200, Body: protocol.MustMarshal(&st)}
}

// busy tells whether the store can't take more for users; then the answer is
// immediate.
func (c *Core) busy() (Reply, bool) {
	switch {
	case !c.ready:
		return c.later(503, "records not read yet"), true
	case c.storeDown:
		return c.later(503, "state service out of reach"), true
	case c.queue.Waiting(bookkeeping.RankUser) >= c.mostUserCalls():
		return c.later(429, "too many requests"), true
	}
	return Reply{}, false
}

func (c *Core) onSubmit(body []byte, answer func(Reply)) {
	sub, bad := protocol.ParseSubmission(body)
	if sub.ID == "" {
		answer(errorReply(400, bad.Error()))
		return
	}
	if s, ok := c.view.finals.get(sub.ID); ok {
		answer(c.final(sub.ID, s))
		return
	}
	if bad != nil {
		// A known job is known, whatever its repeated submission looks like. Only
		// a node that can't ask gives the verdict on the text alone.
		if r, no := c.busy(); no {
			if r.Status == 503 && !c.ready {
				answer(r)
				return
			}
			answer(errorReply(400, bad.Error()))
			return
		}
		c.known(sub.ID, errorReply(400, bad.Error()), answer)
		return
	}
	if r, no := c.busy(); no {
		answer(r)
		return
	}
	if j := c.view.jobs[sub.ID]; j != nil && j.version != 0 {
		c.onPoll(sub.ID, answer)
		return
	}
	if c.types == nil {
		answer(c.later(503, "machine types not known yet"))
		return
	}
	spec := bookkeeping.SpecOf(sub)
	if why := c.never(&spec); why != "" {
		c.known(sub.ID, errorReply(422, why), answer)
		return
	}
	if len(c.view.jobs) >= mostOpenJobs {
		answer(c.later(429, "too many unfinished jobs"))
		return
	}
	c.accept(sub.ID, spec, answer)
}

// known answers with the job's state if the store knows it, else with other.
func (c *Core) known(id string, other Reply, answer func(Reply)) {
	c.read(id, func(r Reply) {
		if r.Status == 404 {
			r = other
		}
		answer(r)
	})
}

// never tells why a job can never run, or "".
func (c *Core) never(s *bookkeeping.Spec) string {
	team, ok := c.team(s.Team)
	if !ok {
		return "unknown team"
	}
	n := 1.0
	if s.Service {
		n = float64(s.Tasks)
	}
	if team.CPUsMax > 0 && s.CPUs*n > team.CPUsMax+slack || team.GPUsMax > 0 && s.GPUs*n > team.GPUsMax+slack {
		return "needs more than the team's limit"
	}
	need := amount{s.CPUs, s.GPUs, s.MemoryGB}
	for _, name := range sortedKeys(c.types) {
		t := c.types[name]
		if allowed(s, t.Name, s.Zone) && need.fits(capacity(&t)) && (s.Zone == "" || contains(t.Zones, s.Zone)) {
			return ""
		}
	}
	return "a task fits no allowed machine type"
}

func (c *Core) team(name string) (team teamLimit, ok bool) {
	for i := range c.cfg.Facts.Teams {
		t := &c.cfg.Facts.Teams[i]
		if t.Name == name {
			return teamLimit{CPUs: t.CPUs, CPUsMax: t.CPUsMax, GPUs: t.GPUs, GPUsMax: t.GPUsMax}, true
		}
	}
	return teamLimit{}, false
}

type teamLimit struct{ CPUs, CPUsMax, GPUs, GPUsMax float64 }

func (t teamLimit) limited() bool { return t.CPUsMax > 0 || t.GPUsMax > 0 }

// left tells what the team may still use.
func (t teamLimit) left(used amount) amount {
	room := amount{math.Inf(1), math.Inf(1), math.Inf(1)}
	if t.CPUsMax > 0 {
		room.cpus = t.CPUsMax - used.cpus
	}
	if t.GPUsMax > 0 {
		room.gpus = t.GPUsMax - used.gpus
	}
	return room
}

// chunkSize sizes rows to the store's values.
func (c *Core) chunkSize() int {
	bytes := c.cfg.Facts.State.ValueKB*1024 - 256
	// A row's commit names every machine of the row in its conditions.
	return max(1, min(rowTasks, 4*c.cfg.Facts.State.TxnOps-4, int(bytes/bookkeeping.RowTaskBytes)))
}

func (c *Core) accept(id string, spec bookkeeping.Spec, answer func(Reply)) {
	rec := bookkeeping.OpenJob{Spec: spec, Status: bookkeeping.Open, At: c.env.Wall(), Chunk: c.chunkSize()}
	rec.Owner = c.roomiest(&spec)
	value := protocol.MustMarshal(&rec)
	// The stored form is counted as JSON: about twice the packed one here.
	if float64(len(value)*2) > c.cfg.Facts.State.ValueKB*1024 {
		c.known(id, errorReply(400, "names too long to be kept"), answer)
		return
	}
	jobKey, openKey := bookkeeping.Key(bookkeeping.KindJob, id), bookkeeping.Key(bookkeeping.KindOpen, id)
	t := protocol.Txn{
		If: []protocol.Cond{{Key: jobKey, Version: 0}},
		Then: []protocol.Op{
			{Put: jobKey, Value: protocol.MustMarshal(&bookkeeping.Answer{Status: bookkeeping.Open})},
			{Put: openKey, Value: value},
		},
	}
	c.commit(bookkeeping.RankUser, t, func(r protocol.StoreResult) {
		switch r.Outcome {
		case protocol.OK:
			c.stats.accepted++
			c.log.Debug("job accepted", "job", id, "class", spec.Class, "tasks", spec.Tasks, "estimate_s", spec.EstimateS, "owner", rec.Owner)
			answer(Reply{Status: 201, Body: protocol.MustMarshal(&protocol.Accepted{ID: id, Status: protocol.JobPending})})
			c.placeAt = 0
			c.fast(c.now())
		case protocol.Conflict:
			c.read(id, answer)
		case protocol.Rejected:
			c.log.Error("state service rejects an acceptance", "job", id)
			answer(c.later(503, "not kept"))
		default:
			// Unknown: perhaps accepted, perhaps not. The user asks again.
			answer(c.later(503, "state service out of reach"))
		}
	})
}

// read answers from the store itself.
func (c *Core) read(id string, answer func(Reply)) {
	sc := &protocol.StoreCall{Op: protocol.StoreGet, Key: bookkeeping.Key(bookkeeping.KindJob, id)}
	c.call(bookkeeping.RankUser, sc, func(r protocol.StoreResult) {
		switch r.Outcome {
		case protocol.OK:
			var a bookkeeping.Answer
			if protocol.Unmarshal(r.Item.Value, &a) != nil {
				answer(c.later(503, "record not readable"))
				return
			}
			if a.Status != bookkeeping.Open {
				c.view.finals.add(id, a.Status)
				answer(c.final(id, a.Status))
				return
			}
			answer(c.current(id))
		case protocol.NotFound:
			answer(errorReply(404, "no such job"))
		default:
			answer(c.later(503, "state service out of reach"))
		}
	})
}

func (c *Core) onPoll(id string, answer func(Reply)) {
	if !protocol.ValidJobID(id) {
		answer(errorReply(404, "no such job"))
		return
	}
	if s, ok := c.view.finals.get(id); ok {
		answer(c.final(id, s))
		return
	}
	if r, no := c.busy(); no {
		answer(r)
		return
	}
	if len(c.confirms) >= mostConfirms {
		answer(c.later(429, "too many requests"))
		return
	}
	cond := protocol.Cond{Key: bookkeeping.Key(bookkeeping.KindJob, id)}
	if j := c.view.jobs[id]; j != nil && j.version != 0 {
		if j.rec.Status != bookkeeping.Open {
			answer(c.final(id, j.rec.Status))
			return
		}
		cond = protocol.Cond{Key: bookkeeping.Key(bookkeeping.KindOpen, id), Version: j.version}
	}
	known := cond.Version != 0
	c.confirm(cond, func(ok bool, o protocol.Outcome) {
		switch {
		case ok && known:
			answer(c.current(id))
		case ok:
			answer(errorReply(404, "no such job"))
		case o == protocol.Conflict:
			c.read(id, answer)
		default:
			answer(c.later(503, "state service out of reach"))
		}
	})
}

// confirm compares a cached version with the store's, many in one request.
func (c *Core) confirm(cond protocol.Cond, back func(bool, protocol.Outcome)) {
	c.confirms = append(c.confirms, confirm{cond, back})
	if !c.confirmSet {
		c.confirmSet = true
		c.env.After(confirmDelay, c.flushConfirms)
	}
}

func (c *Core) flushConfirms() {
	c.confirmSet = false
	most := 4 * c.cfg.Facts.State.TxnOps
	for len(c.confirms) > 0 {
		n := min(most, len(c.confirms))
		batch := c.confirms[:n:n]
		c.confirms = c.confirms[n:]
		t := protocol.Txn{}
		seen := map[string]bool{}
		for _, b := range batch {
			if !seen[b.cond.Key] {
				seen[b.cond.Key] = true
				t.If = append(t.If, b.cond)
			}
		}
		c.call(bookkeeping.RankUser, &protocol.StoreCall{Op: protocol.StoreCommit, Txn: t}, func(r protocol.StoreResult) {
			failed := map[string]bool{}
			for _, k := range r.Failed {
				failed[k] = true
			}
			for _, b := range batch {
				switch {
				case r.Outcome == protocol.OK:
					b.back(true, r.Outcome)
				case r.Outcome == protocol.Conflict:
					// One that isn't named was compared and held, but a conflict
					// that names nothing has confirmed nothing.
					b.back(len(failed) > 0 && !failed[b.cond.Key], r.Outcome)
				default:
					b.back(false, r.Outcome)
				}
			}
		})
	}
}

func (c *Core) onAbort(id string, answer func(Reply)) {
	if !protocol.ValidJobID(id) {
		answer(errorReply(404, "no such job"))
		return
	}
	if s, ok := c.view.finals.get(id); ok {
		answer(status(id, s))
		return
	}
	if r, no := c.busy(); no {
		answer(r)
		return
	}
	if j := c.view.jobs[id]; j != nil && j.version != 0 {
		c.cancel(id, j.rec, j.version, 4, answer)
		return
	}
	c.cancelRead(id, 4, answer)
}

// cancelRead cancels a job that the mirror doesn't hold, or holds too old.
func (c *Core) cancelRead(id string, tries int, answer func(Reply)) {
	sc := &protocol.StoreCall{Op: protocol.StoreGet, Key: bookkeeping.Key(bookkeeping.KindOpen, id)}
	c.call(bookkeeping.RankCancel, sc, func(r protocol.StoreResult) {
		var rec bookkeeping.OpenJob
		switch {
		case r.Outcome == protocol.OK && protocol.Unmarshal(r.Item.Value, &rec) == nil:
			c.cancel(id, rec, r.Item.Version, tries, answer)
		case r.Outcome == protocol.NotFound:
			// Over, or never accepted: the kept answer tells.
			c.read(id, func(rep Reply) {
				if s, ok := c.view.finals.get(id); ok {
					rep = status(id, s)
				} else if rep.Status == 200 {
					rep = c.later(503, "changing just now")
				}
				answer(rep)
			})
		default:
			answer(c.later(503, "state service out of reach"))
		}
	})
}

func (c *Core) cancel(id string, rec bookkeeping.OpenJob, version uint64, tries int, answer func(Reply)) {
	if rec.Status != bookkeeping.Open {
		c.view.finals.add(id, rec.Status)
		answer(status(id, rec.Status))
		return
	}
	rec.Status = bookkeeping.Cancelled
	openKey := bookkeeping.Key(bookkeeping.KindOpen, id)
	// The open record excludes done and cancelled from each other: whichever
	// commit is first changes its version.
	t := protocol.Txn{
		If: []protocol.Cond{{Key: openKey, Version: version}},
		Then: []protocol.Op{
			{Put: bookkeeping.Key(bookkeeping.KindJob, id), Value: protocol.MustMarshal(&bookkeeping.Answer{Status: bookkeeping.Cancelled})},
			{Put: openKey, Value: protocol.MustMarshal(&rec)},
		},
	}
	c.commit(bookkeeping.RankCancel, t, func(r protocol.StoreResult) {
		switch {
		case r.Outcome == protocol.OK:
			c.log.Debug("job cancelled", "job", id)
			answer(status(id, bookkeeping.Cancelled))
		case r.Outcome == protocol.Conflict && tries > 0:
			c.cancelRead(id, tries-1, answer)
		default:
			answer(c.later(503, "state service out of reach"))
		}
	})
}

// allowed tells whether a job's tasks may run on a type in a zone; a zone of ""
// leaves the zone open.
func allowed(s *bookkeeping.Spec, typ, zone string) bool {
	if s.Types != nil && !contains(s.Types, typ) {
		return false
	}
	return s.Zone == "" || zone == "" || s.Zone == zone
}

func capacity(t *protocol.MachineType) amount { return amount{t.CPUs, t.GPUs, t.MemoryGB} }

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
