package agents

import (
	"pipitgap/internal/mapentry"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

const (
	// maxCommandsPerBatch bounds a batch to well under 64 KiB. The next batch carries the remaining commands.
	maxCommandsPerBatch = 400
	// commandRepeatInterval is the minimum time between two sends of a command whose effect the reports do
	// not show.
	commandRepeatInterval = monotime.Second
)

// commandRecord records which commands were sent for an attempt, and when.
type commandRecord struct {
	runSentAt, killSentAt, reapSentAt monotime.Micros // 0: not sent, or must be sent again
	killToken                         uint64          // fencing token of the first batch with a kill; 0: none
}

// recordOf returns the record of the commands sent for an attempt, and creates it if there is none.
func (a *Agent) recordOf(key AttemptID) *commandRecord {
	return mapentry.GetOrNew(a.sentCommands, key)
}

// KillSent reports whether a kill was ever sent for an attempt that the records assigned to the machine.
func (a *Agent) KillSent(key AttemptID) bool {
	record := a.sentCommands[key]
	return record != nil && record.killToken != 0
}

// commandBatch collects the commands of one batch.
type commandBatch struct {
	now         monotime.Micros
	renewsLease bool // the batch is part of an answer that renews the agent's lease
	commands    []protocol.Command
}

// markIfDue reports whether a command that was last sent at sentAt is due and fits into the batch. If so, it
// sets sentAt to the current time.
func (b *commandBatch) markIfDue(sentAt *monotime.Micros) bool {
	if len(b.commands) >= maxCommandsPerBatch || *sentAt != 0 && b.now-*sentAt < commandRepeatInterval {
		return false
	}
	*sentAt = max(b.now, 1)
	return true
}

// markKillIfDue is like markIfDue for a kill. An answer that renews the lease repeats a kill that was just
// sent, if the attempt must not outlive the answer: the kill may have been lost.
func (b *commandBatch) markKillIfDue(sentAt *monotime.Micros, mustEnd bool) bool {
	if b.renewsLease && mustEnd {
		*sentAt = 0
	}
	return b.markIfDue(sentAt)
}

// add appends a command.
func (b *commandBatch) add(op protocol.CommandOp, key AttemptID) {
	b.commands = append(b.commands, protocol.Command{Op: op, Task: key.Task.String(), Attempt: key.Attempt})
}

// addKill appends a kill that gives the task graceSeconds to save its progress.
func (b *commandBatch) addKill(key AttemptID, graceSeconds float64) {
	b.add(protocol.CmdKill, key)
	b.commands[len(b.commands)-1].GraceS = &graceSeconds
}

// NextCommands returns the commands that the agent needs: kills and reaps first, then runs. Each non-empty
// batch has a new token above all earlier ones, so a delayed copy of an earlier batch cannot undo it.
func (a *Agent) NextCommands(
	machine *mirror.Machine,
	jobs map[string]*mirror.Job,
	now monotime.Micros,
) []protocol.Command {
	return a.fillBatch(&commandBatch{now: now, commands: []protocol.Command{}}, machine, jobs)
}

// renewalCommands returns the commands for an answer that renews the agent's lease. They contain a kill for
// each unfinished attempt of a job that has ended.
func (a *Agent) renewalCommands(
	machine *mirror.Machine,
	jobs map[string]*mirror.Job,
	now monotime.Micros,
) []protocol.Command {
	return a.fillBatch(&commandBatch{now: now, renewsLease: true, commands: []protocol.Command{}}, machine, jobs)
}

// fillBatch adds all commands that are due to a batch and returns them.
func (a *Agent) fillBatch(
	batch *commandBatch,
	machine *mirror.Machine,
	jobs map[string]*mirror.Job,
) []protocol.Command {
	kills, runs := a.unfinishedAttempts(machine, jobs)
	a.killAttempts(batch, kills, jobs)
	a.endUnexpectedAttempts(batch, machine)
	for _, key := range runs {
		if batch.markIfDue(&a.recordOf(key).runSentAt) {
			batch.add(protocol.CmdRun, key)
		}
	}
	if len(batch.commands) > 0 {
		a.tokenCounter++
	}
	return batch.commands
}

// endUnexpectedAttempts adds a reap or kill for each attempt that the agent reports and the records do not
// contain.
func (a *Agent) endUnexpectedAttempts(batch *commandBatch, machine *mirror.Machine) {
	var unexpected []AttemptID
	for key := range a.reportedAttempts {
		if attempt, ok := machine.Attempts[key.Task]; !ok || attempt != key.Attempt {
			unexpected = append(unexpected, key)
		}
	}
	sortAttempts(unexpected)
	for _, key := range unexpected {
		record := a.recordOf(key)
		if a.HasExited(key) {
			// The records contain the attempt's outcome, or they no longer contain the attempt.
			if batch.markIfDue(&record.reapSentAt) {
				batch.add(protocol.CmdReap, key)
			}
		} else if batch.markKillIfDue(&record.killSentAt, true) {
			batch.addKill(key, 0)
		}
	}
}

// unfinishedAttempts returns the attempts on the machine that must be killed and those that must be run, each
// list sorted.
func (a *Agent) unfinishedAttempts(
	machine *mirror.Machine,
	jobs map[string]*mirror.Job,
) (kills, runs []AttemptID) {
	for task, attempt := range machine.Attempts {
		key := AttemptID{task, attempt}
		job := jobs[task.Job]
		if job == nil {
			continue
		}
		status, reported := a.reportedAttempts[key]
		if reported && status.State == protocol.StateExited || a.HasOutcome(key) {
			continue
		}
		if !job.IsOpen() || a.stoppingAttempts[key] {
			kills = append(kills, key)
			continue
		}
		if !reported && !a.leaseExpired {
			runs = append(runs, key)
		}
	}
	sortAttempts(kills)
	sortAttempts(runs)
	return kills, runs
}

// killAttempts adds the kills of attempts that the records contain. It keeps the token of the first kill:
// once the agent has acknowledged that token, an attempt that it does not report has ended for good.
func (a *Agent) killAttempts(batch *commandBatch, kills []AttemptID, jobs map[string]*mirror.Job) {
	nextToken := a.Token() + 1
	for _, key := range kills {
		record := a.recordOf(key)
		if !batch.markKillIfDue(&record.killSentAt, !jobs[key.Task.Job].IsOpen()) {
			continue
		}
		if record.killToken == 0 {
			record.killToken = nextToken
		}
		graceSeconds := 0.0
		if job := jobs[key.Task.Job]; job.IsOpen() && job.Record.Spec.CheckpointS > 0 {
			graceSeconds = job.Record.Spec.SaveS // a job with checkpoints that continues: save the progress
		}
		batch.addKill(key, graceSeconds)
	}
}

// BeginCommandRequest returns a request with the commands to send directly, ahead of the next heartbeat, or
// nil if there are none. Only one request may be in flight at a time. The caller must call EndCommandRequest
// when it completes.
func (a *Agent) BeginCommandRequest(
	machine *mirror.Machine,
	jobs map[string]*mirror.Job,
	now monotime.Micros,
) *protocol.CommandRequest {
	if !a.HasReported() || a.leaseExpired {
		return nil
	}
	if a.commandInFlight {
		a.resyncNeeded = true
		return nil
	}
	commands := a.NextCommands(machine, jobs, now)
	if len(commands) == 0 {
		return nil
	}
	a.commandInFlight = true
	return &protocol.CommandRequest{
		FencingToken: a.Token(),
		Incarnation:  a.incarnation,
		Commands:     commands,
	}
}

// EndCommandRequest records that no command request is in flight.
func (a *Agent) EndCommandRequest() { a.commandInFlight = false }

// RepeatCommands makes commands due again, in a batch with a new token, because the agent did not execute
// them or may not have done so.
func (a *Agent) RepeatCommands(commands []protocol.Command) {
	for _, command := range commands {
		if task, ok := mirror.ParseTaskID(command.Task); ok {
			record := a.recordOf(AttemptID{task, command.Attempt})
			record.runSentAt, record.killSentAt, record.reapSentAt = 0, 0, 0
		}
	}
}

// ConsumeResync reports whether commands may have become due while a request was in flight, and clears that
// flag.
func (a *Agent) ConsumeResync() bool {
	needed := a.resyncNeeded
	a.resyncNeeded = false
	return needed
}
