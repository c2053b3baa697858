package fake

import (
	"strings"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// PendingRequest is a request of a user that has no answer yet.
type PendingRequest struct {
	checker *Checker
	job     string
	method  string
	sentAt  monotime.Micros
}

// UserRequest records that a user sends a request about a job. It returns nil if the request is not about a
// job.
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
		k.job(request.job).cancelSent = true // the cancellation may arrive before the submission
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

// Answered checks the answer that a user received. It ignores status 405 and all statuses from 429 up.
func (q *PendingRequest) Answered(status int, body []byte) {
	k, job := q.checker, q.checker.jobs[q.job]
	if q.job == "" || status >= 429 || status == 405 {
		return
	}
	if job == nil || !job.submitted {
		if status == 200 || status == 201 {
			k.violate(UnknownJobReported, "%s %s: got status %d for a job that nobody submitted",
				q.method, q.job, status)
		}
		return
	}
	switch status {
	case 200, 201:
		var reply protocol.JobStatusReply
		if err := protocol.Unmarshal(body, &reply); err != nil {
			k.violate(InconsistentAnswer, "%s: response has no job status: %v", job.id, err)
			return
		}
		q.checkState(job, reply.Status)
	default:
		if job.acceptedAt != 0 && job.acceptedAt <= q.sentAt {
			k.violate(JobLost, "%s: got status %d after the job was accepted", job.id, status)
		}
	}
}

// checkState compares the state in an answer with the answers that users received before this request was
// sent, and with what the checker has observed.
func (q *PendingRequest) checkState(job *observedJob, state string) {
	k, now := q.checker, q.checker.Clock.Now()
	if job.unrunnable || !job.wellFormed {
		k.violate(InvalidAccepted, "%s was accepted", job.id)
	}
	final := state == protocol.JobDone || state == protocol.JobCancelled
	switch {
	case !final && job.finalState != "" && job.finalAt <= q.sentAt,
		final && job.finalState != "" && job.finalState != state:
		k.violate(InconsistentAnswer, "%s: final state was %s, then got state %s", job.id, job.finalState, state)
	case state == protocol.JobCancelled && !job.cancelSent:
		k.violate(InconsistentAnswer, "%s: got state cancelled, but nobody cancelled the job", job.id)
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
			k.violate(DoneTooEarly, "%s: got state done, but task %d has not completed", job.id, i)
			return
		}
	}
}

// CancellationConfirmed records that a user got the confirmation of a job's cancellation. From then on the
// tasks of the job must end within CancelWithin.
func (k *Checker) CancellationConfirmed(job string) {
	j := k.job(job)
	if j.cancelledAt != 0 {
		return
	}
	j.cancelledAt = max(k.Clock.Now(), 1)
	k.Clock.After(k.CancelWithin+1, func() {
		for _, task := range k.liveTasks(job) {
			k.violate(RanCancelled, "%s is still live on %s", task, k.liveAttempts[job][task].ID)
		}
	})
}
