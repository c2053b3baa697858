package api

import (
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/transport"
)

// Bounds of the calls that wait for the state service on behalf of users; past them the answer is an
// immediate rejection. A request must not wait for longer than its user does.
const (
	minQueuedUserCalls  = 4
	maxUserQueueSeconds = 0.75 // seconds that this controller's writes take for them
	minQueuedBurstCalls = 2
	burstQueueDivisor   = 4 // calls of bursts have one part in so many of the users'
)

// MaxQueuedUserCalls bounds the calls that wait on behalf of users.
func (h *Handler) MaxQueuedUserCalls() int {
	return max(minQueuedUserCalls, int(h.store.WritesPerSecond()*maxUserQueueSeconds))
}

// maxQueuedBurstCalls bounds the calls of bursts that wait.
func (h *Handler) maxQueuedBurstCalls() int {
	return max(minQueuedBurstCalls, h.MaxQueuedUserCalls()/burstQueueDivisor)
}

// userQueueFull reports that no more calls may wait on behalf of users.
func (h *Handler) userQueueFull() bool {
	return h.store.QueuedCalls(ratelimit.PriorityUserRequest) >= h.MaxQueuedUserCalls()
}

// rejectIfUnavailable rejects what needs the state service while that can't be used at all.
func (h *Handler) rejectIfUnavailable() *Rejection {
	if !h.replica.Ready() {
		return h.deferRequest(transport.StatusUnavailable, reasonNotReady)
	}
	if h.store.Unavailable() {
		return h.deferUnreachable()
	}
	return nil
}

// rejectIfOverloaded rejects what needs the state service while that can't be used, or takes no more for
// users.
func (h *Handler) rejectIfOverloaded() *Rejection {
	if rejection := h.rejectIfUnavailable(); rejection != nil {
		return rejection
	}
	if h.userQueueFull() {
		return h.deferRequest(transport.StatusThrottled, reasonTooManyRequests)
	}
	return nil
}
