package coordination

import (
	"context"
	"log/slog"
	"math"
	"slices"
	"strings"

	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/cancellation"
	"pipitgap/internal/protocol"
)

// Bounds of what waits for the store on behalf of users; past them the answer
// is an immediate 429.
const (
	mostReaders  = 2048
	mostOpenJobs = 5000
)

// mostUserCalls bounds what waits in the queue to well under the time that a user
// waits for an answer.
func (c *Core) mostUserCalls() int { return max(4, int(c.queue.Writes.Rate*0.75)) }

func errorReply(status int, text string) Reply {
	return Reply{Status: status, Body: protocol.MustMarshal(&protocol.ErrorBody{Error: text})}
}

// later is the immediate answer to what can't be taken now.
func (c *Core) later(status int, text string) Reply {
	c.stats.later++
	if c.log.Enabled(context.Background(), slog.LevelDebug) {
		c.log.Debug("request deferred", "status", status, "reason", text,
			"user_calls", c.queue.Waiting(bookkeeping.RankUser),
			"shard_calls", c.queue.Waiting(bookkeeping.RankShard),
			"waiting_readers", len(c.waitingReaders))
	}
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
	c.noteStill(c.now())
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
	case path == protocol.HeartbeatPath:
		if only("POST") {
			c.onCheckin(body, answer)
		}
	case path == protocol.JobsPath:
		if only("POST") {
			c.onSubmit(body, answer)
		}
	case strings.HasPrefix(path, protocol.JobsPath+"/"):
		id, cancel, _ := protocol.ParseJobPath(path)
		if cancel {
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
	now := c.now()
	_, alone := c.refusedAlone(now)
	if alone || c.isolated(now) {
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

// statusOf is the answer about a job that the mirror holds.
func (c *Core) statusOf(j *job) Reply {
	if !j.open() {
		return c.final(j.id, j.over)
	}
	st := protocol.JobStatus{ID: j.id, Status: protocol.JobPending, Done: j.done, Running: j.held}
	if j.held > 0 {
		st.Status = protocol.JobRunning
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

// unready tells whether the store can't be asked for users at all; then the
// answer is immediate.
func (c *Core) unready() (Reply, bool) {
	switch {
	case !c.ready:
		return c.later(503, "records not read yet"), true
	case c.storeDown:
		return c.later(503, "state service out of reach"), true
	}
	return Reply{}, false
}

// busy tells whether the store can't take more for users.
func (c *Core) busy() (Reply, bool) {
	if r, no := c.unready(); no {
		return r, true
	}
	if c.queue.Waiting(bookkeeping.RankUser) >= c.mostUserCalls() {
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
		if _, no := c.busy(); no {
			if !c.ready || c.view.jobs[sub.ID] != nil {
				answer(c.later(503, "state service out of reach"))
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
	if c.view.jobs[sub.ID] != nil {
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
	c.counted(&spec)
	if c.swarms(&spec) && c.queue.Waiting(bookkeeping.RankSwarm) >= c.swarmPlaces() {
		r := c.later(429, "too many jobs of this team")
		r.RetryAfter += 1 + int(c.env.Rand().Int64N(3))
		answer(r)
		return
	}
	c.accept(sub.ID, spec, answer)
}

// known answers with the job's state if the store knows it, else with other.
func (c *Core) known(id string, other Reply, answer func(Reply)) {
	c.lookUp(id, func(r Reply) {
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
	need := needOf(s)
	for _, name := range sortedKeys(c.types) {
		t := c.types[name]
		if allowed(s, t.Name, s.Zone) && need.fits(capacity(&t)) && (s.Zone == "" || slices.Contains(t.Zones, s.Zone)) {
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
		room.cpus = exact(t.CPUsMax) - used.cpus
	}
	if t.GPUsMax > 0 {
		room.gpus = exact(t.GPUsMax) - used.gpus
	}
	return room
}

func (c *Core) accept(id string, spec bookkeeping.Spec, answer func(Reply)) {
	rec := bookkeeping.OpenJob{Spec: spec, At: c.env.Wall(), Shares: c.split(&spec)}
	value := protocol.MustMarshal(&rec)
	// The stored form is counted as JSON: about twice the packed one here.
	if len(value)*2 > c.valueBytes() {
		c.known(id, errorReply(400, "names too long to be kept"), answer)
		return
	}
	openKey := bookkeeping.Key(bookkeeping.KindOpen, id)
	t := protocol.Txn{
		If:   []protocol.Cond{{Key: openKey, Version: 0}, {Key: bookkeeping.Key(bookkeeping.KindJob, id), Version: 0}},
		Then: []protocol.Op{{Put: openKey, Value: value}},
	}
	c.commit(c.rankOf(&spec, bookkeeping.RankUser), t, func(r protocol.StoreResult) {
		switch r.Outcome {
		case protocol.OK:
			c.stats.accepted++
			// Nobody can have placed any of it yet.
			c.accepted[id] = r.Revision
			c.log.Debug("job accepted", "job", id, "class", spec.Class, "tasks", spec.Tasks,
				"estimate_s", spec.EstimateS, "ranges", len(rec.Shares))
			answer(Reply{Status: 201, Body: protocol.MustMarshal(&protocol.Accepted{ID: id, Status: protocol.JobPending})})
			c.fast(c.now())
		case protocol.Conflict:
			c.lookUp(id, answer)
		case protocol.Rejected:
			c.log.Error("job acceptance rejected by state service", "job", id)
			answer(c.later(503, "not kept"))
		default:
			// Unknown: perhaps accepted, perhaps not. The user asks again.
			answer(c.later(503, "state service out of reach"))
		}
	})
}

// lookUp answers from a mirror as new as the question. What it doesn't hold is over, or
// was never accepted: the store itself is asked.
func (c *Core) lookUp(id string, answer func(Reply)) {
	if len(c.waitingReaders) >= mostReaders {
		answer(c.later(429, "too many requests"))
		return
	}
	c.current(func(ok bool) {
		if !ok {
			answer(c.later(503, "state service out of reach"))
			return
		}
		if j := c.view.jobs[id]; j != nil {
			answer(c.statusOf(j))
			return
		}
		if s, ok := c.view.finals.get(id); ok {
			answer(c.final(id, s))
			return
		}
		if c.queue.Waiting(bookkeeping.RankUser) >= c.mostUserCalls() {
			answer(c.later(429, "too many requests"))
			return
		}
		c.readJob(id, answer)
	})
}

// readJob asks the store for a job's final answer, then for its open record, so that a
// record which this mirror can't read is still known, and once more for the final
// answer: the job may have ended between the two.
func (c *Core) readJob(id string, answer func(Reply)) {
	c.readFinal(id, answer, func() {
		c.readOpen(id, answer, func() {
			c.readFinal(id, answer, func() { answer(errorReply(404, "no such job")) })
		})
	})
}

// readFinal answers with a job's final state, or goes on if the store has none.
func (c *Core) readFinal(id string, answer func(Reply), none func()) {
	c.readRecord(bookkeeping.KindJob, id, answer, none, func(value protocol.Raw) {
		var a bookkeeping.Answer
		if protocol.Unmarshal(value, &a) != nil {
			answer(c.later(503, "final state can't be read"))
			return
		}
		c.view.finals.add(id, a.Status)
		answer(c.final(id, a.Status))
	})
}

// readOpen answers for a job that has an open record, or goes on if it has none.
func (c *Core) readOpen(id string, answer func(Reply), none func()) {
	c.readRecord(bookkeeping.KindOpen, id, answer, none, func(protocol.Raw) {
		answer(Reply{Status: 200, Body: protocol.MustMarshal(&protocol.JobStatus{ID: id, Status: protocol.JobPending})})
	})
}

// readRecord reads a job's record of a kind; without the store it answers at once.
func (c *Core) readRecord(kind, id string, answer func(Reply), none func(), found func(protocol.Raw)) {
	call := &protocol.StoreCall{Op: protocol.StoreGet, Key: bookkeeping.Key(kind, id)}
	c.call(bookkeeping.RankUser, call, func(r protocol.StoreResult) {
		switch r.Outcome {
		case protocol.OK:
			found(r.Item.Value)
		case protocol.NotFound:
			none()
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
	if j := c.view.jobs[id]; j != nil && !j.open() {
		answer(c.final(id, j.over))
		return
	}
	if r, no := c.unready(); no {
		answer(r)
		return
	}
	c.lookUp(id, answer)
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
	if r, no := c.unready(); no {
		answer(r)
		return
	}
	if c.view.jobs[id] != nil {
		c.cancel(id, answer)
		return
	}
	// The mirror doesn't hold it: it is over, was never accepted, or is new.
	c.lookUp(id, func(r Reply) {
		switch s, over := c.view.finals.get(id); {
		case over:
			answer(status(id, s))
		case r.Status == 200 && c.view.jobs[id] != nil:
			c.cancel(id, answer)
		case r.Status == 200:
			answer(c.later(503, "changing just now"))
		default:
			answer(r)
		}
	})
}

// cancel writes the answer of a job that has been accepted, unless it has one: done
// and cancelled exclude each other by that, and every assignment asks for it.
func (c *Core) cancel(id string, answer func(Reply)) {
	key := bookkeeping.Key(bookkeeping.KindJob, id)
	c.commit(bookkeeping.RankCancel, protocol.Txn{
		If:   []protocol.Cond{{Key: key}},
		Then: []protocol.Op{{Put: key, Value: protocol.MustMarshal(&bookkeeping.Answer{Status: bookkeeping.Cancelled})}},
	}, func(r protocol.StoreResult) {
		switch r.Outcome {
		case protocol.OK:
			c.log.Debug("job cancelled", "job", id)
			c.cancellations.Note(cancellation.Committed{Job: id, Revision: r.Revision})
			answer(status(id, bookkeeping.Cancelled))
		case protocol.Conflict:
			c.lookUp(id, func(rep Reply) {
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

// allowed tells whether a job's tasks may run on a type in a zone; a zone of ""
// leaves the zone open.
func allowed(s *bookkeeping.Spec, typ, zone string) bool {
	if s.Types != nil && !slices.Contains(s.Types, typ) {
		return false
	}
	return s.Zone == "" || zone == "" || s.Zone == zone
}

func capacity(t *protocol.MachineType) amount { return amountOf(t.CPUs, t.GPUs, t.MemoryGB) }
