package api

import (
	"context"
	"log/slog"

	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/storage"
	"pipitgap/internal/transport"
)

// Texts of rejections that several requests share.
const (
	reasonNotReady         = "records not read yet"
	reasonStoreUnreachable = "state service out of reach"
	reasonTooManyRequests  = "too many requests"
	reasonNoSuchJob        = "no such job"
	reasonJobChanging      = "changing just now"
)

// Seconds after which a user is to retry.
const (
	minRetryAfter = 1
	// retryJitter spreads the retries: users who all come back at once would overload whatever has just
	// recovered.
	retryJitter = 3
)

// Rejection is the reason why a request isn't carried out.
type Rejection struct {
	Status     int    // of the HTTP response
	RetryAfter int    // seconds; 0: retrying doesn't help
	Reason     string // for the user
}

// Error returns the reason.
func (r *Rejection) Error() string { return r.Reason }

// response is the answer that tells the user.
func (r *Rejection) response() transport.Response {
	response := protocol.ErrorResponse(r.Status, r.Reason)
	response.RetryAfter = r.RetryAfter
	return response
}

// errNoSuchJob rejects a request about a job that was never accepted.
var errNoSuchJob = &Rejection{Status: transport.StatusNotFound, Reason: reasonNoSuchJob}

// deferRequest makes the rejection of a request that can't be taken now.
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

// deferUnreachable is the rejection of a request for which the state service can't be reached.
func (h *Handler) deferUnreachable() *Rejection {
	return h.deferRequest(transport.StatusUnavailable, reasonStoreUnreachable)
}

// jitterSeconds is a part of retrySpread.
func (h *Handler) jitterSeconds() int { return int(h.environment.Rand().Int64N(retryJitter)) }

// acceptedResponse confirms a submission.
func acceptedResponse(id string) transport.Response {
	return transport.Response{
		Status: transport.StatusCreated,
		Body:   protocol.MustMarshal(&protocol.AcceptedReply{ID: id, Status: protocol.JobPending}),
	}
}

// endedResponse answers a cancellation of a job that has a result.
func endedResponse(id string, state storage.JobState) transport.Response {
	return transport.Response{
		Status: transport.StatusOK,
		Body:   protocol.MustMarshal(&protocol.AcceptedReply{ID: id, Status: wireStatus(state)}),
	}
}

// statusResponse answers with the status of a job.
func statusResponse(reply protocol.JobStatusReply) transport.Response {
	return transport.Response{Status: transport.StatusOK, Body: protocol.MustMarshal(&reply)}
}

// wireStatus is a result as users see it.
func wireStatus(state storage.JobState) string {
	if state == storage.JobCancelled {
		return protocol.JobCancelled
	}
	return protocol.JobDone
}
