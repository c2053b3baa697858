package api

import (
	"pipitgap/internal/cancellation"
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
		respond(endedResponse(id, state))
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
			respond(endedResponse(id, state))
			return
		}
		switch {
		case !l.accepted():
			respond(l.response())
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
			h.cancellations.Add(cancellation.Committed{Job: id, Revision: result.Revision})
			respond(endedResponse(id, storage.JobCancelled))
		case protocol.Conflict:
			h.answerEndedJob(id, respond)
		default:
			respond(h.deferUnreachable().response())
		}
	})
}

// answerEndedJob responds to a cancellation that conflicted with an earlier result of the job.
func (h *Handler) answerEndedJob(id string, respond Respond) {
	h.lookUp(id, func(l lookup) {
		if state, ok := h.cachedResult(id); ok {
			respond(endedResponse(id, state))
			return
		}
		if l.accepted() {
			respond(h.deferRequest(transport.StatusUnavailable, reasonJobChanging).response())
			return
		}
		respond(l.response())
	})
}
