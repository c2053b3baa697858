package agents

import (
	"pipitgap/internal/durations"
	"pipitgap/internal/invariant"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// Counters holds event counts since the start of the controller.
type Counters struct {
	LeasesRenewed  int // heartbeats answered with 200
	LeasesRefused  int // heartbeats refused because this controller may renew no lease
	KillsSent      int // kill commands, in answers to heartbeats and in direct commands
	RunsSent       int // run commands
	DirectFailures int // direct command requests without a success
}

// Counters returns the current counts.
func (m *Manager) Counters() Counters { return m.counters }

// route is how commands reach a worker, as logged.
type route string

const (
	routeHeartbeat route = "heartbeat"
	routeDirect    route = "direct"
)

// isCancelled reports whether this controller knows from any source that a job is cancelled.
func (m *Manager) isCancelled(job string) bool {
	mirrored := m.mirror.Jobs[job]
	return m.cancellations.Holds(job) || mirrored != nil && mirrored.FinalState == storage.JobCancelled
}

// recordCommands counts and logs a batch of commands, and checks that it runs no task of a cancelled job.
func (m *Manager) recordCommands(machine string, token uint64, commands []protocol.Command, via route) {
	if len(commands) == 0 {
		return
	}
	kills, runs := 0, 0
	for i := range commands {
		switch commands[i].Op {
		case protocol.CmdKill:
			kills++
		case protocol.CmdRun:
			runs++
			if task, ok := mirror.ParseTaskID(commands[i].Task); ok && m.isCancelled(task.Job) {
				m.invariants.Violated(invariant.CancelledNotRun,
					"machine", machine, "task", commands[i].Task, "attempt", commands[i].Attempt)
			}
		}
	}
	m.counters.KillsSent += kills
	m.counters.RunsSent += runs
	m.log.Debug("commands sent", "machine", machine, "fencing_token", token, "via", string(via),
		"kills", kills, "runs", runs, "reaps", len(commands)-kills-runs)
}

// checkRenewal checks an answer that renews a lease: the knowledge of cancellations was recent when the
// heartbeat arrived, and the answer kills every task of a cancelled job that is not known to have ended.
func (m *Manager) checkRenewal(machine *mirror.Machine, agent *Agent, reply *protocol.HeartbeatReply) {
	age := m.cancellations.KnowledgeAge(m.env.Now())
	if limit := m.cancellations.RenewalWindow() + durations.WorkerResponseTimeout; age >= limit {
		m.invariants.Violated(invariant.RenewalIsFresh, "machine", machine.ID, "age_ms", age.Milliseconds())
	}
	for task, attempt := range machine.Attempts {
		key := AttemptID{task, attempt}
		if !m.isCancelled(task.Job) || agent.HasOutcome(key) || agent.HasExited(key) {
			continue
		}
		if !containsKill(reply.Commands, key) {
			m.invariants.Violated(invariant.RenewalKillsCancelled,
				"machine", machine.ID, "task", task.String(), "attempt", attempt,
				"kill_age_ms", agent.killAge(key, m.env.Now()).Milliseconds())
		}
	}
}

// containsKill reports whether commands contain a kill of an attempt.
func containsKill(commands []protocol.Command, key AttemptID) bool {
	task := key.Task.String()
	for i := range commands {
		if commands[i].Op == protocol.CmdKill && commands[i].Task == task && commands[i].Attempt == key.Attempt {
			return true
		}
	}
	return false
}

// killAge returns how long ago a kill of an attempt was last sent; 0: never, or it must be sent again.
func (a *Agent) killAge(key AttemptID, now monotime.Micros) monotime.Micros {
	if record := a.sentCommands[key]; record != nil && record.killSentAt != 0 {
		return now - record.killSentAt
	}
	return 0
}
