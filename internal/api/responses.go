package api

import (
	"context"
	"log/slog"

	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/storage"
	"pipitgap/internal/transport"
)

// Reasons of rejections that several kinds of requests use.
const (
	reasonNotReady         = "records not read yet"
	reasonStoreUnreachable = "state service out of reach"
	reasonTooManyRequests  = "too many requests"
	reasonNoSuchJob        = "no such job"
	reasonJobChanging      = "changing just now"
)

// Retry delays in seconds.
const (
	minRetryAfter = 1
	// retryJitter is the exclusive upper bound of the random jitter that is added to a delay. Without
	// jitter, all users would retry at the same time and overload a service that has just recovered.
	retryJitter = 3
)

// Rejection describes why the handler rejects a request.
type Rejection struct {
	Status     int    // HTTP status code
	RetryAfter int    // delay in seconds after which to retry; 0: a retry doesn't help
	Reason     string // text shown to the user
}

// Error implements error; it returns the reason.
func (r *Rejection) Error() string { return r.Reason }

// response returns the response with which the request is rejected.
func (r *Rejection) response() transport.Response {
	response := protocol.ErrorResponse(r.Status, r.Reason)
	response.RetryAfter = r.RetryAfter
	return response
}

// errNoSuchJob is the rejection of a request for a job that was never accepted.
var errNoSuchJob = &Rejection{Status: transport.StatusNotFound, Reason: reasonNoSuchJob}

// deferRequest returns the rejection of a request that the user must retry later. While the state service is
// unavailable, the retry delay includes jitter.
func (h *Handler) deferRequest(status int, reason string) *Rejection {
	h.counters.RequestsDeferred++
	if h.log.Enabled(context.Background(), slog.LevelDebug) {
		h.log.Debug("request deferred", "status", status, "reason", reason,
			"user_calls", h.store.QueuedCalls(ratelimit.PriorityUserRequest),
			"shard_calls", h.store.QueuedCalls(ratelimit.PriorityShardUpdate),
			"waiting_readers", h.replica.PendingReads())
	}
	rejection := &Rejection{Status: status, RetryAfter: minRetryAfter, Reason: reason}
	if h.store.Unavailable() {
		rejection.RetryAfter += h.jitterSeconds()
	}
	return rejection
}

// deferUnreachable returns the rejection of a request that needs the state service while it is unreachable.
func (h *Handler) deferUnreachable() *Rejection {
	return h.deferRequest(transport.StatusUnavailable, reasonStoreUnreachable)
}

// jitterSeconds returns a random number of seconds from 0 to retryJitter-1.
func (h *Handler) jitterSeconds() int { return int(h.environment.Rand().Int64N(retryJitter)) }

// acceptedResponse returns the response to an accepted submission.
func acceptedResponse(id string) transport.Response {
	return transport.Response{
		Status: transport.StatusCreated,
		Body:   protocol.MustMarshal(&protocol.AcceptedReply{ID: id, Status: protocol.JobPending}),
	}
}

// endedResponse returns the response to a cancellation of a job that has a result.
func endedResponse(id string, state storage.JobState) transport.Response {
	return transport.Response{
		Status: transport.StatusOK,
		Body:   protocol.MustMarshal(&protocol.AcceptedReply{ID: id, Status: wireStatus(state)}),
	}
}

// statusResponse returns the response with a job's status.
func statusResponse(reply protocol.JobStatusReply) transport.Response {
	return transport.Response{Status: transport.StatusOK, Body: protocol.MustMarshal(&reply)}
}

// wireStatus returns the status in responses that corresponds to a stored result.
func wireStatus(state storage.JobState) string {
	if state == storage.JobCancelled {
		return protocol.JobCancelled
	}
	return protocol.JobDone
}
