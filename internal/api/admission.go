package api

import (
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/transport"
)

// Bounds on the number of user calls that wait for the state service. Above these bounds the handler rejects
// requests immediately, because a request must not wait longer than its user waits for the response.
const (
	minQueuedUserCalls  = 4
	maxUserQueueSeconds = 0.75 // time in which this controller's write rate must be able to empty the queue
	minQueuedBurstCalls = 2
	burstQueueDivisor   = 4 // the bound on burst calls is the bound on user calls divided by this
)

// MaxQueuedUserCalls returns the maximum number of queued user calls.
func (h *Handler) MaxQueuedUserCalls() int {
	return max(minQueuedUserCalls, int(h.store.WritesPerSecond()*maxUserQueueSeconds))
}

// maxQueuedBurstCalls returns the maximum number of queued burst calls.
func (h *Handler) maxQueuedBurstCalls() int {
	return max(minQueuedBurstCalls, h.MaxQueuedUserCalls()/burstQueueDivisor)
}

// userQueueFull reports whether the queue of user calls has reached its bound.
func (h *Handler) userQueueFull() bool {
	return h.store.QueuedCalls(ratelimit.PriorityUserRequest) >= h.MaxQueuedUserCalls()
}

// rejectIfUnavailable returns a rejection for requests that need the state service if the mirror isn't ready
// or the state service is unavailable, and nil otherwise.
func (h *Handler) rejectIfUnavailable() *Rejection {
	if !h.replica.Ready() {
		return h.deferRequest(transport.StatusUnavailable, reasonNotReady)
	}
	if h.store.Unavailable() {
		return h.deferUnreachable()
	}
	return nil
}

// rejectIfOverloaded is like rejectIfUnavailable, but also returns a rejection if the queue of user calls is
// full.
func (h *Handler) rejectIfOverloaded() *Rejection {
	if rejection := h.rejectIfUnavailable(); rejection != nil {
		return rejection
	}
	if h.userQueueFull() {
		return h.deferRequest(transport.StatusTooManyRequests, reasonTooManyRequests)
	}
	return nil
}
