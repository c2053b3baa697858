package fake

import (
	"net/http"
	"slices"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// Heartbeat timing as the protocol defines it.
const (
	heartbeatTimeout  = 4 * monotime.Second
	redirectDelay     = 200 * monotime.Millisecond // before the worker contacts the controller named by a redirect
	nextAttemptDelay  = monotime.Second            // before the worker contacts the next controller after a failure
	changeReportDelay = 500 * monotime.Millisecond // between a change on the machine and an extra heartbeat
)

// Heartbeat returns a heartbeat with the worker's current state and the next sequence number.
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

// heartbeatLoop sends a heartbeat and schedules the next one with a jitter of at most a quarter of the
// interval.
func (w *Worker) heartbeatLoop() {
	if w.gone {
		return
	}
	interval := w.fleet.HeartbeatInterval
	next := interval + monotime.Micros(w.fleet.Clock.Rand.Int64N(int64(interval/2))) - interval/4
	w.sendIfIdle()
	w.fleet.Clock.After(next, w.heartbeatLoop)
}

// heartbeatSoon schedules an extra heartbeat unless one is already scheduled.
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

// sendIfIdle sends a heartbeat unless one is in flight or the machine is paused or gone.
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
		if status != 0 && w.Deaf {
			return // the timeout of the heartbeat follows
		}
		done = true
		w.inFlight = false
		w.handleReply(sentAt, incarnation, status, reply)
	}
	f.Clock.After(heartbeatTimeout, func() { finish(0, nil) })
	if w.Partitioned || w.Mute {
		return
	}
	body := protocol.MustMarshal(w.Heartbeat())
	f.SendHeartbeat(w, f.Controllers[w.controller], body, finish)
}

// handleReply processes the response to a heartbeat; status 0 means that there is none. Without a usable
// response the worker switches to the next controller.
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

// acceptReply renews the lease as of the time when the heartbeat was sent, and executes the commands. It
// ignores a reply with an older fencing token than the worker's or for an earlier incarnation.
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

// followRedirect switches to the controller named by a redirect. It returns false if the worker does not know
// that controller or already uses it.
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

// adoptToken stores a newer fencing token and acknowledges it with an extra heartbeat.
func (w *Worker) adoptToken(token uint64) {
	if token > w.FencingToken {
		w.FencingToken = token
		w.heartbeatSoon()
	}
}
