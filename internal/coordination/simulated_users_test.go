package coordination

import (
	"pipitgap/internal/fake"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// Timeouts, polling interval and retry delay of users. The protocol specifies them.
const (
	submitTimeout = 5 * second
	pollTimeout   = 2 * second
	pollInterval  = 5 * second
	retryAfter    = second
)

// simUser is the user of one job. The user submits the job until it is accepted, polls its status, and may
// cancel it. The checker inspects all answers.
type simUser struct {
	cluster        *cluster
	id             string
	body           []byte
	eagerQueries   bool // queries all controllers when the job is accepted and when it ends, see queryAllNodes
	accepted       bool
	finished       bool
	lastAnsweredAt monotime.Micros // when the submission or a later request last succeeded
	cancelling     bool
}

// newUser adds a user, who submits a job. Its tasks run for runTime. A runTime of 0 makes the job a service.
func (c *cluster) newUser(runTime monotime.Micros, options ...jobOption) *simUser {
	id, submission := c.newSubmission(options...)
	if runTime == 0 {
		submission.Service = true
	}
	c.fleet.Jobs[id] = fake.JobBehavior{
		Team:     submission.Team,
		CPUs:     submission.CPUs,
		MemoryGB: submission.MemoryGB,
		RunTime:  runTime,
	}
	user := &simUser{cluster: c, id: id, body: protocol.MustMarshal(submission)}
	user.submit()
	return user
}

// send sends a request to a controller. It calls back exactly once, with status 0 if no answer arrives in
// time.
func (u *simUser) send(
	node, method, target string,
	body []byte,
	timeout monotime.Micros,
	callback func(status int, state string),
) {
	answered := false
	answer := func(status int, state string) {
		if !answered {
			answered = true
			callback(status, state)
		}
	}
	u.cluster.sendRequest(node, method, target, body, func(response Response) {
		var reply protocol.JobStatusReply
		_ = protocol.Unmarshal(response.Body, &reply)
		answer(response.Status, reply.Status)
	})
	u.cluster.sim.After(timeout, func() { answer(0, "") })
}

func (u *simUser) randomNode() string {
	return u.cluster.nodeNames[u.cluster.sim.Rand.IntN(len(u.cluster.nodeNames))]
}

func (u *simUser) jobPath() string { return protocol.JobPath(u.id) }

func (u *simUser) submit() {
	u.send(u.randomNode(), "POST", protocol.JobsPath, u.body, submitTimeout, func(status int, _ string) {
		if status != 200 && status != 201 {
			u.cluster.sim.After(retryAfter, u.submit)
			return
		}
		u.accepted, u.lastAnsweredAt = true, u.cluster.sim.Now()
		u.queryAllNodes()
		u.cluster.sim.After(u.cluster.randomDuration(pollInterval), u.poll)
	})
}

func (u *simUser) poll() {
	if u.finished {
		return
	}
	u.send(u.randomNode(), "GET", u.jobPath(), nil, pollTimeout, func(status int, state string) {
		u.recordAnswer(status, state)
		u.cluster.sim.After(pollInterval, u.poll)
	})
}

// cancel requests the cancellation of the job, and repeats the request until one is answered with 200.
func (u *simUser) cancel() {
	if u.finished {
		return
	}
	u.cancelling = true
	u.send(
		u.randomNode(),
		"POST",
		protocol.CancelPath(u.id),
		nil,
		submitTimeout,
		func(status int, state string) {
			u.recordAnswer(status, state)
			if status != 200 {
				u.cluster.sim.After(retryAfter, u.cancel)
			}
		},
	)
}

// recordAnswer processes an answer about the job. It ignores answers other than 200.
func (u *simUser) recordAnswer(status int, state string) {
	if status != 200 {
		return
	}
	u.lastAnsweredAt = u.cluster.sim.Now()
	final := state == protocol.JobDone || state == protocol.JobCancelled
	if final && !u.finished {
		u.finished = true
		u.queryAllNodes()
	}
}

// queryAllNodes polls the job's status on all controllers four times within 10 ms, and repeats the submission
// each time. It also cancels the job each time if the job has ended. It does nothing without eagerQueries.
func (u *simUser) queryAllNodes() {
	if !u.eagerQueries {
		return
	}
	for i := range 4 {
		u.cluster.sim.After(monotime.Micros(1+3*i)*monotime.Millisecond, func() {
			for _, node := range u.cluster.nodeNames {
				u.send(node, "GET", u.jobPath(), nil, pollTimeout, u.recordAnswer)
				u.send(node, "POST", protocol.JobsPath, u.body, submitTimeout, u.recordAnswer)
				if u.finished {
					u.send(node, "POST", protocol.CancelPath(u.id), nil, submitTimeout, u.recordAnswer)
				}
			}
		})
	}
}
