package api

import (
	"pipitgap/internal/cancellation"
	"pipitgap/internal/invariant"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/storage"
	"pipitgap/internal/transport"
)

// Cancel handles a request to cancel a job. A job that already has a result keeps it, and the response
// contains that result.
func (h *Handler) Cancel(id string, respond Respond) {
	if !protocol.ValidJobID(id) {
		respond(errNoSuchJob.response())
		return
	}
	if state, ok := h.cachedResult(id); ok {
		respond(h.answerEnded(id, state))
		return
	}
	if rejection := h.rejectIfUnavailable(); rejection != nil {
		respond(rejection.response())
		return
	}
	if h.mirror.Jobs[id] != nil {
		h.CommitCancellation(id, respond)
		return
	}
	// The mirror doesn't contain the job: the job has ended, was never accepted, or is newer than the mirror.
	h.lookUp(id, func(l lookup) {
		if state, ok := h.cachedResult(id); ok {
			respond(h.answerEnded(id, state))
			return
		}
		switch {
		case !l.accepted():
			respond(h.answer(l, requestCancellation))
		case h.mirror.Jobs[id] != nil:
			h.CommitCancellation(id, respond)
		default:
			respond(h.deferRequest(transport.StatusUnavailable, reasonJobChanging).response())
		}
	})
}

// CommitCancellation commits the result "cancelled" for an accepted job, on the condition that the job has no
// result. This condition makes "done" and "cancelled" mutually exclusive. Every assignment of a task is also
// conditional on the job having no result.
func (h *Handler) CommitCancellation(id string, respond Respond) {
	key := storage.JobResultKey(id)
	transaction := protocol.PutIfUnchanged(key, 0, &storage.JobResult{State: storage.JobCancelled})
	h.replica.Commit(ratelimit.PriorityCancellation, transaction, func(result protocol.StoreResult) {
		switch result.Outcome {
		case protocol.OK:
			h.log.Debug("job cancelled", "job", id)
			committed := cancellation.Committed{Job: id, Revision: result.Revision}
			h.cancellations.Learn(committed, cancellation.SourceOwnCommit)
			respond(h.answerEnded(id, storage.JobCancelled))
		case protocol.Conflict:
			h.answerEndedJob(id, respond)
		default:
			respond(h.deferUnreachable().response())
		}
	})
}

// answerEnded returns the response to a cancellation of a job that has a result.
func (h *Handler) answerEnded(id string, state storage.JobState) transport.Response {
	if state == storage.JobCancelled {
		if rejection := h.confirmCancellation(id, requestCancellation); rejection != nil {
			return rejection.response()
		}
	}
	return endedResponse(id, state)
}

// confirmCancellation decides whether a user may be told that a job is cancelled. Every such answer passes
// through it.
func (h *Handler) confirmCancellation(id string, request requestKind) *Rejection {
	if !h.cancellations.MayConfirm(id) {
		h.invariants.Violated(invariant.ConfirmedIsExchanged, "job", id, "request", string(request))
		return h.deferRequest(transport.StatusUnavailable, reasonJobChanging)
	}
	h.counters.CancellationsConfirmed++
	h.log.Debug("cancellation confirmed", "job", id, "request", string(request))
	return nil
}

// answerEndedJob responds to a cancellation that conflicted with an earlier result of the job.
func (h *Handler) answerEndedJob(id string, respond Respond) {
	h.lookUp(id, func(l lookup) {
		if state, ok := h.cachedResult(id); ok {
			respond(h.answerEnded(id, state))
			return
		}
		if l.accepted() {
			respond(h.deferRequest(transport.StatusUnavailable, reasonJobChanging).response())
			return
		}
		respond(h.answer(l, requestCancellation))
	})
}
