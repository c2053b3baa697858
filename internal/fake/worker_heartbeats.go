package fake

import (
	"net/http"
	"slices"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// Timing of heartbeats, by the protocol.
const (
	heartbeatTimeout  = 4 * monotime.Second
	redirectDelay     = 200 * monotime.Millisecond // before the controller that a redirect names is tried
	nextAttemptDelay  = monotime.Second            // before the next controller is tried
	changeReportDelay = 500 * monotime.Millisecond // from a change on the machine to an extra heartbeat
)

// Heartbeat is the worker's heartbeat now; each has the next sequence number.
func (w *Worker) Heartbeat() *protocol.Heartbeat {
	w.Sequence++
	heartbeat := &protocol.Heartbeat{
		Machine:      w.Machine.ID,
		Endpoint:     w.Machine.Endpoint,
		Type:         w.Machine.Type,
		Zone:         w.Machine.Zone,
		Spot:         w.Machine.Spot,
		Incarnation:  w.Incarnation,
		Sequence:     w.Sequence,
		FencingToken: w.FencingToken,
	}
	for _, task := range w.taskNames() {
		attempt := w.Attempts[task]
		heartbeat.Tasks = append(heartbeat.Tasks, protocol.TaskStatus{
			Task:    task,
			Attempt: attempt.Number,
			State:   attempt.State,
			Cause:   attempt.Cause,
		})
	}
	return heartbeat
}

// heartbeatLoop sends a heartbeat and schedules the next, a quarter of the interval earlier or later at most.
func (w *Worker) heartbeatLoop() {
	if w.gone {
		return
	}
	interval := w.fleet.HeartbeatInterval
	next := interval + monotime.Micros(w.fleet.Clock.Rand.Int64N(int64(interval/2))) - interval/4
	w.sendIfIdle()
	w.fleet.Clock.After(next, w.heartbeatLoop)
}

// heartbeatSoon schedules an extra heartbeat, unless one is scheduled.
func (w *Worker) heartbeatSoon() {
	if w.heartbeatQueued {
		return
	}
	w.heartbeatQueued = true
	w.fleet.Clock.After(changeReportDelay, func() {
		w.heartbeatQueued = false
		w.sendIfIdle()
	})
}

// sendIfIdle sends a heartbeat unless one is in flight, or the machine is paused or gone.
func (w *Worker) sendIfIdle() {
	if !w.gone && !w.inFlight && !w.Paused {
		w.sendHeartbeat()
	}
}

func (w *Worker) sendHeartbeat() {
	f := w.fleet
	w.inFlight = true
	sentAt, incarnation := f.Clock.Now(), w.Incarnation
	done := false
	finish := func(status int, reply []byte) {
		if done || w.gone {
			return
		}
		done = true
		w.inFlight = false
		w.handleReply(sentAt, incarnation, status, reply)
	}
	f.Clock.After(heartbeatTimeout, func() { finish(0, nil) })
	if w.Partitioned {
		return
	}
	body := protocol.MustMarshal(w.Heartbeat())
	f.SendHeartbeat(w, f.Controllers[w.controller], body, finish)
}

// handleReply handles the answer to a heartbeat, or that there was none (status 0).
func (w *Worker) handleReply(sentAt monotime.Micros, incarnation uint64, status int, reply []byte) {
	switch {
	case status == http.StatusOK:
		w.acceptReply(sentAt, incarnation, reply)
	case status == http.StatusMisdirectedRequest && w.followRedirect(reply):
	default:
		w.controller = (w.controller + 1) % len(w.fleet.Controllers)
		w.fleet.Clock.After(nextAttemptDelay, w.sendIfIdle)
	}
}

// acceptReply renews the lease from the time of the heartbeat and executes the commands, unless the reply
// has an older fencing token or is for an earlier incarnation.
func (w *Worker) acceptReply(sentAt monotime.Micros, incarnation uint64, reply []byte) {
	var message protocol.HeartbeatReply
	if protocol.Unmarshal(reply, &message) != nil || message.FencingToken < w.FencingToken ||
		incarnation != w.Incarnation {
		return
	}
	w.leaseRenewedAt = sentAt
	w.adoptToken(message.FencingToken)
	w.execute(message.Commands)
}

// followRedirect turns to the controller that a redirect names; it tells whether that is another one.
func (w *Worker) followRedirect(reply []byte) bool {
	var redirect protocol.Redirect
	_ = protocol.Unmarshal(reply, &redirect)
	target := slices.Index(w.fleet.Controllers, redirect.Leader)
	if target < 0 || target == w.controller {
		return false
	}
	w.controller = target
	w.fleet.Clock.After(redirectDelay, w.sendIfIdle)
	return true
}

// adoptToken takes a newer fencing token and acknowledges it by a heartbeat.
func (w *Worker) adoptToken(token uint64) {
	if token > w.FencingToken {
		w.FencingToken = token
		w.heartbeatSoon()
	}
}
