package agents

import (
	"pipitgap/internal/mapentry"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

const (
	// maxCommandsPerBatch bounds a batch to well under 64 KiB; the rest follows in the next.
	maxCommandsPerBatch = 400
	// commandRepeatInterval is how long a command isn't repeated while the reports show no effect of it.
	commandRepeatInterval = monotime.Second
)

// commandRecord is which commands were sent about an attempt, and when.
type commandRecord struct {
	runSentAt, killSentAt, reapSentAt monotime.Micros // 0: not sent, or to be sent anew
	killToken                         uint64          // fencing token of the first batch with a kill; 0: none
}

// recordOf returns the record of the commands about an attempt.
func (a *Agent) recordOf(key AttemptID) *commandRecord {
	return mapentry.GetOrNew(a.sentCommands, key)
}

// KillSent reports whether the agent was ever sent a kill of an attempt that the records held on the machine.
func (a *Agent) KillSent(key AttemptID) bool {
	record := a.sentCommands[key]
	return record != nil && record.killToken != 0
}

// commandBatch is a batch of commands in the making.
type commandBatch struct {
	now      monotime.Micros
	commands []protocol.Command
}

// markIfDue reports whether a command that was last sent at a time may be added, and notes that it is.
func (b *commandBatch) markIfDue(sentAt *monotime.Micros) bool {
	if len(b.commands) >= maxCommandsPerBatch || *sentAt != 0 && b.now-*sentAt < commandRepeatInterval {
		return false
	}
	*sentAt = max(b.now, 1)
	return true
}

// add adds a run or a reap.
func (b *commandBatch) add(op protocol.CommandOp, key AttemptID) {
	b.commands = append(b.commands, protocol.Command{Op: op, Task: key.Task.String(), Attempt: key.Attempt})
}

// addKill adds a kill that gives the task so many seconds to save its progress.
func (b *commandBatch) addKill(key AttemptID, graceSeconds float64) {
	b.add(protocol.CmdKill, key)
	b.commands[len(b.commands)-1].GraceS = &graceSeconds
}

// NextCommands works out which commands the agent needs, reaps and kills before runs. A batch that isn't
// empty gets a token of its own, above all earlier ones, so that a late copy of an earlier batch can't undo
// it.
func (a *Agent) NextCommands(
	machine *mirror.Machine,
	jobs map[string]*mirror.Job,
	now monotime.Micros,
) []protocol.Command {
	batch := &commandBatch{now: now, commands: []protocol.Command{}}
	a.endUnexpectedAttempts(batch, machine)
	kills, runs := a.unfinishedAttempts(machine, jobs)
	a.killAttempts(batch, kills, jobs)
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

// endUnexpectedAttempts adds what ends attempts that the agent reports and the records don't hold.
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
			// Its outcome is in the records, or its attempt is in none of them any more.
			if batch.markIfDue(&record.reapSentAt) {
				batch.add(protocol.CmdReap, key)
			}
		} else if batch.markIfDue(&record.killSentAt) {
			batch.addKill(key, 0)
		}
	}
}

// unfinishedAttempts lists the attempts on the machine that are to be killed and to be run, both in order.
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

// killAttempts adds the kills of attempts that the records hold. The first one's token is kept: once the
// agent has taken it up, an attempt that it doesn't report has ended for good.
func (a *Agent) killAttempts(batch *commandBatch, kills []AttemptID, jobs map[string]*mirror.Job) {
	nextToken := a.Token() + 1
	for _, key := range kills {
		record := a.recordOf(key)
		if !batch.markIfDue(&record.killSentAt) {
			continue
		}
		if record.killToken == 0 {
			record.killToken = nextToken
		}
		graceSeconds := 0.0
		if job := jobs[key.Task.Job]; job.IsOpen() && job.Record.Spec.CheckpointS > 0 {
			graceSeconds = job.Record.Spec.SaveS // its progress is worth saving
		}
		batch.addKill(key, graceSeconds)
	}
}

// BeginCommandRequest returns the commands that are to be sent directly, ahead of the next heartbeat; nil:
// none. One request is in flight at a time, and the Agent must get its end by EndCommandRequest.
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

// EndCommandRequest ends the request in flight.
func (a *Agent) EndCommandRequest() { a.commandInFlight = false }

// RepeatCommands has commands sent again, with a new token: they weren't executed, or aren't known to be.
func (a *Agent) RepeatCommands(commands []protocol.Command) {
	for _, command := range commands {
		if task, ok := mirror.ParseTaskID(command.Task); ok {
			record := a.recordOf(AttemptID{task, command.Attempt})
			record.runSentAt, record.killSentAt, record.reapSentAt = 0, 0, 0
		}
	}
}

// ConsumeResync reports whether more is to be sent since the last request began, once.
func (a *Agent) ConsumeResync() bool {
	needed := a.resyncNeeded
	a.resyncNeeded = false
	return needed
}
