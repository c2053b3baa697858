package api

import (
	"pipitgap/internal/cancellation"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/storage"
	"pipitgap/internal/transport"
)

// Cancel answers a request to cancel a job. A job that is over keeps its result, and the answer names it.
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
	// The mirror doesn't hold the job: it has ended, was never accepted, or is new.
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

// CommitCancellation commits the result "cancelled" for an accepted job, unless it has a result: done and
// cancelled exclude each other by that, and every assignment of a task depends on there being none.
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

// answerEndedJob answers the cancellation of a job that got a result before.
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
