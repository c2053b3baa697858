package agents

import (
	"pipitgap/internal/durations"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// Exit is an attempt that a report has as exited, for the first time.
type Exit struct {
	Task    mirror.TaskID
	Status  protocol.TaskStatus
	Started bool            // it was reported as running before
	Since   monotime.Micros // when it was first
}

// ReportResult is what follows from a report, beyond the Agent itself.
type ReportResult struct {
	LeaseRegained      bool   // the agent is reachable again after its lease had ended
	Exits              []Exit // in the order of jobs and tasks
	HasPendingOutcomes bool   // there are outcomes for the records
}

// IsNewer reports whether a report is newer than the one applied last.
func (a *Agent) IsNewer(report *protocol.Heartbeat) bool {
	return report.Incarnation > a.incarnation ||
		report.Incarnation == a.incarnation && report.Sequence > a.sequence
}

// ApplyReport takes over a report that is newer than the one before. jobs are the unfinished jobs;
// workerLease is how long an agent's lease runs.
func (a *Agent) ApplyReport(
	machine *mirror.Machine,
	jobs map[string]*mirror.Job,
	report *protocol.Heartbeat,
	now, workerLease monotime.Micros,
) ReportResult {
	restarted := a.restartedBy(report)
	a.recordReport(report, now)
	// A report from before the agent saw this claim may be older than the previous owner's last commands: it
	// proves nothing, not even that the machine is still there.
	if report.FencingToken < a.BaseToken() {
		return ReportResult{}
	}
	var result ReportResult
	result.LeaseRegained = a.acknowledgeClaim(now)
	// That an agent has a new incarnation though its last heartbeats were answered in time shows that the
	// answers don't arrive: then its tasks are better run elsewhere.
	answersLost := restarted && now-a.heartbeats.lastAnsweredAt < workerLease-durations.WorkerAnswerTimeout
	exited := a.recordAbsentAttempts(machine, jobs, report, absenceEvidence{restarted, answersLost})
	result.Exits = a.recordExits(exited, jobs)
	result.HasPendingOutcomes = len(a.pendingOutcomes) > 0
	a.updateRunningSince(now)
	a.forgetReleasedAttempts(machine)
	return result
}

// restartedBy reports whether a report shows a new incarnation of an agent that had another before.
func (a *Agent) restartedBy(report *protocol.Heartbeat) bool {
	return a.incarnation != 0 && report.Incarnation > a.incarnation
}

// recordReport takes over what a report says of the agent.
func (a *Agent) recordReport(report *protocol.Heartbeat, now monotime.Micros) {
	if report.Incarnation > a.incarnation {
		a.incarnationSeenAt = now
	}
	a.incarnation, a.sequence = report.Incarnation, report.Sequence
	a.interruptionNoticed = a.interruptionNoticed || report.InterruptionNoticeS != nil
	a.tokens.acknowledged = report.FencingToken
	clear(a.reportedAttempts)
	for i := range report.Tasks {
		status := &report.Tasks[i]
		if task, ok := mirror.ParseTaskID(status.Task); ok {
			a.reportedAttempts[AttemptID{task, status.Attempt}] = *status
		}
	}
}

// acknowledgeClaim notes that the agent has seen this claim, and reports whether it is reachable again after
// its lease had ended.
func (a *Agent) acknowledgeClaim(now monotime.Micros) (leaseRegained bool) {
	if !a.tokens.claimAcknowledged {
		// Until now the lease may have been renewed by an earlier owner's answers.
		a.tokens.claimAcknowledged, a.heartbeats.lastAnsweredAt = true, now
	}
	if !a.IsReachable() {
		return false
	}
	a.tokens.lastReachedAt = now
	leaseRegained = a.leaseExpired
	a.leaseExpired = false
	return leaseRegained
}

// absenceEvidence is what it means that a report lacks an attempt.
type absenceEvidence struct {
	restarted   bool // the agent has a new incarnation: all earlier attempts have ended
	answersLost bool // and this controller's answers don't reach it
}

// recordAbsentAttempts records an outcome of the attempts that a report proves ended by lacking them, and
// lists those that it has as exited, in order.
func (a *Agent) recordAbsentAttempts(
	machine *mirror.Machine,
	jobs map[string]*mirror.Job,
	report *protocol.Heartbeat,
	evidence absenceEvidence,
) (exited []AttemptID) {
	for task, attempt := range machine.Attempts {
		key := AttemptID{task, attempt}
		status, reported := a.reportedAttempts[key]
		job := jobs[task.Job]
		if job == nil {
			continue
		}
		unwanted := !job.IsOpen() || a.stoppingAttempts[key]
		switch {
		case reported && status.State == protocol.StateExited:
			exited = append(exited, key)
		case reported:
		case evidence.restarted && (evidence.answersLost || unwanted):
			a.RecordOutcome(key, OutcomeRetry)
		case unwanted && a.killAcknowledged(key, report.FencingToken):
			a.RecordOutcome(key, OutcomeRetry)
		}
	}
	sortAttempts(exited)
	return exited
}

// killAcknowledged reports whether the agent has taken up the kill of an attempt, which outranks every batch
// with its run: an attempt that is absent after that isn't there and can't start any more.
func (a *Agent) killAcknowledged(key AttemptID, acknowledged uint64) bool {
	record := a.sentCommands[key]
	return record != nil && record.killToken != 0 && acknowledged >= record.killToken
}

// recordExits records the outcomes of the exited attempts and returns those that had none before.
func (a *Agent) recordExits(exited []AttemptID, jobs map[string]*mirror.Job) []Exit {
	var exits []Exit
	for _, key := range exited {
		status := a.reportedAttempts[key]
		if a.HasOutcome(key) {
			continue
		}
		outcome := OutcomeRetry
		if status.Cause == protocol.CauseDone && !jobs[key.Task.Job].Record.Spec.Service {
			outcome = OutcomeCompleted
		}
		since, started := a.runningSince[key]
		exits = append(exits, Exit{Task: key.Task, Status: status, Started: started, Since: since})
		a.RecordOutcome(key, outcome)
	}
	return exits
}

// updateRunningSince keeps when the attempts of the newest report were first running.
func (a *Agent) updateRunningSince(now monotime.Micros) {
	for key, status := range a.reportedAttempts {
		if _, ok := a.runningSince[key]; !ok && status.State == protocol.StateRunning {
			a.runningSince[key] = now
		}
	}
	for key := range a.runningSince {
		if _, reported := a.reportedAttempts[key]; !reported {
			delete(a.runningSince, key)
		}
	}
}

// forgetReleasedAttempts drops what is kept of attempts that the records hold no longer.
func (a *Agent) forgetReleasedAttempts(machine *mirror.Machine) {
	for key := range a.stoppingAttempts {
		if machine.Attempts[key.Task] != key.Attempt {
			delete(a.stoppingAttempts, key)
		}
	}
	for key := range a.sentCommands {
		if _, reported := a.reportedAttempts[key]; !reported && machine.Attempts[key.Task] != key.Attempt {
			delete(a.sentCommands, key)
		}
	}
}
