package coordination

import (
	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
	"pipitgap/internal/standin"
)

// How long users wait for answers, and how often they ask, by the protocol.
const (
	submitWithin = 5 * sec
	pollWithin   = 2 * sec
	pollEvery    = 5 * sec
	retryAfter   = sec
)

// user owns one job: it submits it until it is accepted, asks for its state, and cancels
// it when it is told to. The checker sees all that it is told.
type user struct {
	c          *cluster
	id         string
	body       []byte
	closeLooks bool // asks everywhere at once whenever something has changed
	accepted   bool
	over       bool
	answeredAt micros.T // when a question was last answered with 200
	cancelling bool
}

// newUser begins with the submission of a job whose tasks run for a time; 0: a service.
func (c *cluster) newUser(run micros.T, options ...jobOption) *user {
	id, j := c.spec(options...)
	if run == 0 {
		j.Service = true
	}
	c.fleet.Jobs[id] = standin.JobInfo{Team: j.Team, CPUs: j.CPUs, Memory: j.MemoryGB, Run: run}
	u := &user{c: c, id: id, body: protocol.MustMarshal(j)}
	u.submit()
	return u
}

// send asks a node and calls back once, with a status of 0 when no answer came in time.
func (u *user) send(node, method, target string, body []byte, within micros.T, back func(status int, state string)) {
	answered := false
	answer := func(status int, state string) {
		if !answered {
			answered = true
			back(status, state)
		}
	}
	u.c.request(node, method, target, body, func(r Reply) {
		var told protocol.JobStatus
		_ = protocol.Unmarshal(r.Body, &told)
		answer(r.Status, told.Status)
	})
	u.c.sim.After(within, func() { answer(0, "") })
}

func (u *user) anyNode() string { return u.c.names[u.c.sim.Rand.IntN(len(u.c.names))] }

func (u *user) target() string { return protocol.JobPath(u.id) }

func (u *user) submit() {
	u.send(u.anyNode(), "POST", protocol.JobsPath, u.body, submitWithin, func(status int, _ string) {
		if status != 200 && status != 201 {
			u.c.sim.After(retryAfter, u.submit)
			return
		}
		u.accepted, u.answeredAt = true, u.c.sim.Now()
		u.lookClosely()
		u.c.sim.After(u.c.jitter(pollEvery), u.poll)
	})
}

func (u *user) poll() {
	if u.over {
		return
	}
	u.send(u.anyNode(), "GET", u.target(), nil, pollWithin, func(status int, state string) {
		u.note(status, state)
		u.c.sim.After(pollEvery, u.poll)
	})
}

// cancel repeats the request until it is answered.
func (u *user) cancel() {
	if u.over {
		return
	}
	u.cancelling = true
	u.send(u.anyNode(), "POST", protocol.CancelPath(u.id), nil, submitWithin, func(status int, state string) {
		u.note(status, state)
		if status != 200 {
			u.c.sim.After(retryAfter, u.cancel)
		}
	})
}

// note takes an answer about the job.
func (u *user) note(status int, state string) {
	if status != 200 {
		return
	}
	u.answeredAt = u.c.sim.Now()
	if over := state == protocol.JobDone || state == protocol.JobCancelled; over && !u.over {
		u.over = true
		u.lookClosely()
	}
}

// lookClosely asks all nodes within milliseconds, again and again, and repeats the
// submission there.
func (u *user) lookClosely() {
	if !u.closeLooks {
		return
	}
	for i := range 4 {
		u.c.sim.After(micros.T(1+3*i)*micros.Millisecond, func() {
			for _, node := range u.c.names {
				u.send(node, "GET", u.target(), nil, pollWithin, u.note)
				u.send(node, "POST", protocol.JobsPath, u.body, submitWithin, u.note)
				if u.over {
					u.send(node, "POST", protocol.CancelPath(u.id), nil, submitWithin, u.note)
				}
			}
		})
	}
}
