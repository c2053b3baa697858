package agents

import (
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// maxUnacknowledged is how many heartbeats in a row may fail to show the token of the answer before.
const maxUnacknowledged = 2

// Arrival is a heartbeat that is to be answered.
type Arrival struct {
	report        *protocol.Heartbeat
	at            monotime.Micros
	sincePrevious monotime.Micros // since the heartbeat before
	restarted     bool            // the agent has a new incarnation
}

// Receive takes a heartbeat that is to be answered; ok is false for a late copy of one that came before. A
// report that is newer is to be applied between this and Reply.
func (a *Agent) Receive(report *protocol.Heartbeat, now monotime.Micros) (arrival Arrival, ok bool) {
	last := &a.heartbeats
	if report.Incarnation < last.lastIncarnation ||
		report.Incarnation == last.lastIncarnation && report.Sequence <= last.lastSequence ||
		report.Incarnation < a.incarnation {
		return Arrival{}, false
	}
	arrival = Arrival{
		report:        report,
		at:            now,
		sincePrevious: now - last.lastAt,
		restarted:     a.restartedBy(report),
	}
	last.lastIncarnation, last.lastSequence, last.lastAt = report.Incarnation, report.Sequence, now
	return arrival, true
}

// Reply answers a heartbeat, which renews the agent's lease. silenceLimit is the silence after which the
// agent must show anew that answers reach it.
func (a *Agent) Reply(
	arrival Arrival,
	machine *mirror.Machine,
	jobs map[string]*mirror.Job,
	silenceLimit monotime.Micros,
) *protocol.HeartbeatReply {
	acknowledged := arrival.report.FencingToken
	a.heartbeats.lastAnsweredAt = arrival.at
	if acknowledged < a.tokens.lastAnswered {
		a.tokens.unacknowledgedCount++
	} else {
		a.tokens.unacknowledgedCount = 0
	}
	commands := a.NextCommands(machine, jobs, arrival.at)
	doubtful := arrival.restarted || arrival.sincePrevious > silenceLimit ||
		a.tokens.unacknowledgedCount >= maxUnacknowledged
	if a.tokens.claimAcknowledged && doubtful && a.tokens.requested <= acknowledged {
		// The agent was silent, or shows no effect of the answers: it must show a token that only the answer
		// to this heartbeat can have brought it.
		if len(commands) == 0 {
			a.tokenCounter++
		}
		a.tokens.requested = a.Token()
	}
	a.tokens.lastAnswered = a.Token()
	return &protocol.HeartbeatReply{FencingToken: a.Token(), Commands: commands}
}
