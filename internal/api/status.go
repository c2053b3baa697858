package api

import (
	"pipitgap/internal/protocol"
	"pipitgap/internal/transport"
)

// Status handles a request for the status of a job.
func (h *Handler) Status(id string, respond Respond) {
	if !protocol.ValidJobID(id) {
		respond(errNoSuchJob.response())
		return
	}
	if state, ok := h.cachedResult(id); ok {
		respond(h.answer(lookup{id: id, outcome: foundResult, state: state}, requestStatus))
		return
	}
	if job := h.mirror.Jobs[id]; job != nil && !job.IsOpen() {
		respond(h.answer(lookup{id: id, outcome: foundInMirror, job: job}, requestStatus))
		return
	}
	if rejection := h.rejectIfUnavailable(); rejection != nil {
		respond(rejection.response())
		return
	}
	h.lookUp(id, func(l lookup) { respond(h.answer(l, requestStatus)) })
}

// Health handles a health check. A controller is unhealthy if it can't handle requests while other
// controllers can, or if its mirror isn't ready. During an outage of the state service that affects all
// controllers it stays healthy. Otherwise it would receive requests again only some time after the end of
// the outage.
func (h *Handler) Health() transport.Response {
	if !h.replica.Ready() {
		return h.deferRequest(transport.StatusUnavailable, reasonNotReady).response()
	}
	now := h.environment.Now()
	_, onlyHere := h.reachability.StoreUnreachableOnlyHere(now)
	if onlyHere || h.reachability.IsIsolated(now) {
		return h.deferUnreachable().response()
	}
	return transport.Response{Status: transport.StatusOK}
}
