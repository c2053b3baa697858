package fake

import (
	"strings"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// PendingRequest is a user's request on its way.
type PendingRequest struct {
	checker *Checker
	job     string
	method  string
	sentAt  monotime.Micros
}

// UserRequest notes that a user sends a request. It returns nil for other requests.
func (k *Checker) UserRequest(method, target string, body []byte) *PendingRequest {
	if !strings.HasPrefix(target, protocol.JobsPath) {
		return nil
	}
	request := &PendingRequest{checker: k, method: method, sentAt: k.Clock.Now()}
	id, cancels, ok := protocol.ParseJobPath(target)
	if !ok {
		id = target
	}
	request.job = id
	if method == "POST" && target == protocol.JobsPath {
		request.job = k.recordSubmission(body)
	}
	if cancels {
		k.job(request.job).cancelSent = true // it may arrive before the submission does
	}
	return request
}

func (k *Checker) recordSubmission(body []byte) string {
	spec, err := protocol.ParseSubmission(body)
	if spec.ID == "" {
		return ""
	}
	job := k.job(spec.ID)
	if !job.submitted {
		job.submitted, job.spec = true, *spec
	}
	job.wellFormed = job.wellFormed || err == nil
	return job.id
}

// Answered checks the answer that a user got.
func (q *PendingRequest) Answered(status int, body []byte) {
	k, job := q.checker, q.checker.jobs[q.job]
	if q.job == "" || status >= 429 || status == 405 {
		return
	}
	if job == nil || !job.submitted {
		if status == 200 || status == 201 {
			k.violate(UnknownJobReported, "%s %s is answered %d", q.method, q.job, status)
		}
		return
	}
	switch status {
	case 200, 201:
		var reply protocol.JobStatusReply
		if err := protocol.Unmarshal(body, &reply); err != nil {
			k.violate(InconsistentAnswer, "%s: no status: %v", job.id, err)
			return
		}
		q.checkState(job, reply.Status)
	default:
		if job.acceptedAt != 0 && job.acceptedAt <= q.sentAt {
			k.violate(JobLost, "%s is answered %d", job.id, status)
		}
	}
}

// checkState checks the state in an answer against the answers that came before the request was sent.
func (q *PendingRequest) checkState(job *observedJob, state string) {
	k, now := q.checker, q.checker.Clock.Now()
	if job.unrunnable || !job.wellFormed {
		k.violate(InvalidAccepted, "%s is accepted", job.id)
	}
	final := state == protocol.JobDone || state == protocol.JobCancelled
	switch {
	case !final && job.finalState != "" && job.finalAt <= q.sentAt,
		final && job.finalState != "" && job.finalState != state:
		k.violate(InconsistentAnswer, "%s was %s, is called %s", job.id, job.finalState, state)
	case state == protocol.JobCancelled && !job.cancelSent:
		k.violate(InconsistentAnswer, "%s is called cancelled, nobody cancelled it", job.id)
	case state == protocol.JobDone:
		k.checkDone(job)
	}
	if job.acceptedAt == 0 {
		job.acceptedAt = max(now, 1)
	}
	if final && job.finalState == "" {
		job.finalState, job.finalAt = state, now
		if state == protocol.JobCancelled {
			k.CancellationConfirmed(job.id)
		}
	}
}

func (k *Checker) checkDone(job *observedJob) {
	for i := range job.spec.Tasks {
		if !k.completedTasks[taskID(job.id, i)] {
			k.violate(DoneTooEarly, "%s is called done, task %d isn't", job.id, i)
			return
		}
	}
}

// CancellationConfirmed notes that a user's cancellation of a job was confirmed: its tasks must be gone
// within CancelWithin.
func (k *Checker) CancellationConfirmed(job string) {
	j := k.job(job)
	if j.cancelledAt != 0 {
		return
	}
	j.cancelledAt = max(k.Clock.Now(), 1)
	k.Clock.After(k.CancelWithin+1, func() {
		for _, task := range k.liveTasks(job) {
			k.violate(RanCancelled, "%s is still on %s", task, k.liveAttempts[job][task].ID)
		}
	})
}
