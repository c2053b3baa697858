package agents

import (
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// maxUnacknowledged is the number of consecutive heartbeats without the token of the previous answer at which
// the agent must prove again that answers reach it.
const maxUnacknowledged = 2

// ReceivedHeartbeat is a heartbeat that must be answered.
type ReceivedHeartbeat struct {
	report        *protocol.Heartbeat
	receivedAt    monotime.Micros
	sincePrevious monotime.Micros // time since the previous heartbeat
	restarted     bool            // the agent has a new incarnation
}

// Receive accepts a heartbeat that must be answered; ok is false for a delayed duplicate of an earlier one.
// If the report is newer than the last applied one, the caller must apply it between Receive and Reply.
func (a *Agent) Receive(report *protocol.Heartbeat, now monotime.Micros) (received ReceivedHeartbeat, ok bool) {
	last := &a.heartbeats
	if report.Incarnation < last.lastIncarnation ||
		report.Incarnation == last.lastIncarnation && report.Sequence <= last.lastSequence ||
		report.Incarnation < a.incarnation {
		return ReceivedHeartbeat{}, false
	}
	received = ReceivedHeartbeat{
		report:        report,
		receivedAt:    now,
		sincePrevious: now - last.lastReceivedAt,
		restarted:     a.restartedBy(report),
	}
	last.lastIncarnation, last.lastSequence, last.lastReceivedAt = report.Incarnation, report.Sequence, now
	return received, true
}

// Reply answers a heartbeat, which renews the agent's lease. After a silence longer than silenceLimit the
// agent must prove again that answers reach it.
func (a *Agent) Reply(
	received ReceivedHeartbeat,
	machine *mirror.Machine,
	jobs map[string]*mirror.Job,
	silenceLimit monotime.Micros,
) *protocol.HeartbeatReply {
	acknowledged := received.report.FencingToken
	a.heartbeats.lastAnsweredAt = received.receivedAt
	if acknowledged < a.tokens.inLastReply {
		a.tokens.unacknowledgedCount++
	} else {
		a.tokens.unacknowledgedCount = 0
	}
	commands := a.renewalCommands(machine, jobs, received.receivedAt)
	mustProveReachability := received.restarted || received.sincePrevious > silenceLimit ||
		a.tokens.unacknowledgedCount >= maxUnacknowledged
	if a.tokens.claimAcknowledged && mustProveReachability && a.tokens.required <= acknowledged {
		// The agent was silent or restarted, or its heartbeats lack the tokens of the answers. It must now
		// show a token that only the answer to this heartbeat can deliver.
		if len(commands) == 0 {
			a.tokenCounter++
		}
		a.tokens.required = a.Token()
	}
	a.tokens.inLastReply = a.Token()
	return &protocol.HeartbeatReply{FencingToken: a.Token(), Commands: commands}
}
