package coordination

import (
	"sort"

	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/sortedmap"
)

// maxCommandsPerBatch bounds a batch to well under 64 KiB; the rest follows in the next.
const maxCommandsPerBatch = 400

// nextCommands works out what a worker must be told, reaps and kills before runs.
// A batch that isn't empty gets a token of its own, above all earlier ones, so
// a late copy of an earlier batch can't undo it.
func (am *agentManager) nextCommands(machine *mirror.Machine, now monotime.Micros) []protocol.Command {
	agent := am.agentOf(machine)
	commands := []protocol.Command{}
	const again = monotime.Second
	token := agent.Token() + 1
	add := func(op string, key AttemptID, graceSeconds float64) {
		command := protocol.Command{Op: op, Task: key.Task.String(), Attempt: key.Attempt}
		if op == protocol.CmdKill {
			command.GraceS = &graceSeconds
		}
		commands = append(commands, command)
	}
	due := func(at *monotime.Micros) bool {
		if len(commands) >= maxCommandsPerBatch || *at != 0 && now-*at < again {
			return false
		}
		*at = max(now, 1)
		return true
	}
	var unexpected []AttemptID
	for key := range agent.ReportedAttempts {
		if attempt, ok := machine.Attempts[key.Task]; !ok || attempt != key.Attempt {
			unexpected = append(unexpected, key)
		}
	}
	sortAttempts(unexpected)
	for _, key := range unexpected {
		record, taskReport := agent.CommandRecordOf(key), agent.ReportedAttempts[key]
		if taskReport.State == protocol.StateExited {
			// Its outcome is in the store, or nobody wants it.
			if due(&record.ReapSentAt) {
				add(protocol.CmdReap, key, 0)
			}
		} else if due(&record.KillSentAt) {
			add(protocol.CmdKill, key, 0)
		}
	}
	var kills, runs []AttemptID
	for task, attempt := range machine.Attempts {
		key := AttemptID{task, attempt}
		job := am.c.mirror.Jobs[task.Job]
		if job == nil {
			continue
		}
		taskReport, reported := agent.ReportedAttempts[key]
		if reported && taskReport.State == protocol.StateExited || agent.HasOutcome(key) {
			continue
		}
		if !job.IsOpen() || agent.StoppingAttempts[key] {
			kills = append(kills, key)
			continue
		}
		if !reported && !agent.LeaseExpired {
			runs = append(runs, key)
		}
	}
	sortAttempts(kills)
	for _, key := range kills {
		if record := agent.CommandRecordOf(key); due(&record.KillSentAt) {
			if record.KillToken == 0 {
				record.KillToken = token
			}
			graceSeconds := 0.0
			if job := am.c.mirror.Jobs[key.Task.Job]; job.IsOpen() && job.Record.Spec.CheckpointS > 0 {
				graceSeconds = job.Record.Spec.SaveS // its progress is worth saving
			}
			add(protocol.CmdKill, key, graceSeconds)
		}
	}
	sortAttempts(runs)
	for _, key := range runs {
		if due(&agent.CommandRecordOf(key).RunSentAt) {
			add(protocol.CmdRun, key, 0)
		}
	}
	if len(commands) > 0 {
		agent.TokenCounter++
	}
	return commands
}

// sortAttempts sorts attempts by job and task.
func sortAttempts(keys []AttemptID) {
	sort.Slice(keys, func(a, b int) bool {
		x, y := keys[a], keys[b]
		if x.Task.Job != y.Task.Job {
			return x.Task.Job < y.Task.Job
		}
		if x.Task.Index != y.Task.Index {
			return x.Task.Index < y.Task.Index
		}
		return x.Attempt < y.Attempt
	})
}

// syncCommandsOfJob tells every worker of ours that has tasks of a job.
func (am *agentManager) syncCommandsOfJob(job *mirror.Job) {
	synced := map[string]bool{}
	for _, name := range sortedmap.Keys(am.c.mirror.Shards) {
		shard := am.c.mirror.Shards[name]
		entry := shard.Record.Jobs[job.ID]
		if entry == nil || !am.c.shards.ownsShard(shard) {
			continue
		}
		for _, held := range entry.Attempts {
			if machine := am.c.mirror.Machines[held.Machine]; !synced[held.Machine] && machine != nil &&
				am.agentOf(machine) != nil {
				synced[held.Machine] = true
				am.syncCommands(machine)
			}
		}
	}
}

// syncCommands tells a worker directly what its next report would bring it. One batch
// is in flight at a time.
func (am *agentManager) syncCommands(machine *mirror.Machine) {
	agent := am.agentOf(machine)
	if agent == nil || agent.Incarnation == 0 || agent.LeaseExpired || machine.Record == nil {
		return
	}
	if agent.CommandInFlight {
		agent.ResyncNeeded = true
		return
	}
	commands := am.nextCommands(machine, am.c.now())
	if len(commands) == 0 {
		return
	}
	agent.CommandInFlight = true
	req := &protocol.CommandRequest{
		FencingToken: agent.Token(),
		Incarnation:  agent.Incarnation,
		Commands:     commands,
	}
	am.c.env.SendCommands(machine.Record.Endpoint, req, commandTimeout, func(result protocol.CommandResult) {
		agent.CommandInFlight = false
		if am.agentOf(machine) != agent {
			return // the claim has moved on
		}
		if result.Status != 200 {
			// Not executed, or not known to be: say it again with a new token.
			for _, command := range commands {
				if task, ok := mirror.ParseTaskID(command.Task); ok {
					record := agent.CommandRecordOf(AttemptID{task, command.Attempt})
					record.RunSentAt, record.KillSentAt, record.ReapSentAt = 0, 0, 0
				}
			}
		}
		report := &result.Heartbeat
		if result.Status != 0 && report.Machine == machine.ID && report.Valid() &&
			(report.Incarnation > agent.Incarnation || report.Incarnation == agent.Incarnation && report.Sequence > agent.Sequence) {
			am.applyReport(machine, report)
		}
		if agent.ResyncNeeded && result.Status == 200 {
			agent.ResyncNeeded = false
			am.syncCommands(machine)
		}
	})
}

// probeAgent asks a worker for its report. What it says is taken like any report: it
// proves nothing before the worker has seen our token. It isn't told anything yet
// if its machine was another controller's, who may still be answering it: a
// higher token would have it drop those answers and its lease would end.
func (am *agentManager) probeAgent(machine *mirror.Machine, syncAfterwards bool) {
	if machine == nil || am.agentOf(machine) == nil || machine.Record == nil {
		return
	}
	agent := am.agentOf(machine)
	am.c.env.SendCommands(machine.Record.Endpoint, nil, commandTimeout, func(result protocol.CommandResult) {
		report := &result.Heartbeat
		if am.agentOf(machine) != agent || result.Status != 200 || report.Machine != machine.ID || !report.Valid() ||
			report.Incarnation < agent.Incarnation ||
			report.Incarnation == agent.Incarnation && report.Sequence <= agent.Sequence {
			return
		}
		am.applyReport(machine, report)
		if syncAfterwards {
			am.syncCommands(machine)
		}
		am.c.scheduler.requestPass()
	})
}
