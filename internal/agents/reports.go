package agents

import (
	"pipitgap/internal/durations"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// Exit is an attempt that a report lists as exited for the first time.
type Exit struct {
	Task         mirror.TaskID
	Status       protocol.TaskStatus
	Started      bool            // an earlier report listed it as running
	RunningSince monotime.Micros // when a report first listed it as running
}

// ReportResult holds the consequences of a report outside the Agent.
type ReportResult struct {
	LeaseRegained      bool   // the agent is reachable again after lease expiry
	Exits              []Exit // sorted by job and task
	HasPendingOutcomes bool   // there are outcomes that are not yet in the records
}

// IsNewer reports whether a report is newer than the last applied one.
func (a *Agent) IsNewer(report *protocol.Heartbeat) bool {
	return report.Incarnation > a.incarnation ||
		report.Incarnation == a.incarnation && report.Sequence > a.sequence
}

// ApplyReport applies a report that is newer than the previous one. jobs are the jobs of the mirror by id,
// including those that have a result already, whose attempts must end. workerLease is the length of an agent's
// lease.
func (a *Agent) ApplyReport(
	machine *mirror.Machine,
	jobs map[string]*mirror.Job,
	report *protocol.Heartbeat,
	now, workerLease monotime.Micros,
) ReportResult {
	restarted := a.restartedBy(report)
	a.recordReport(report, now)
	// An agent may have made a report without this claim's token before it executed the previous owner's last
	// commands. Such a report proves nothing, not even that the machine still exists.
	if report.FencingToken < a.BaseToken() {
		return ReportResult{}
	}
	var result ReportResult
	result.LeaseRegained = a.acknowledgeClaim(now)
	// A new incarnation although the last heartbeats were answered in time shows that the answers do not
	// reach the agent. It is better to run its tasks elsewhere.
	answersLost := restarted && now-a.heartbeats.lastAnsweredAt < workerLease-durations.WorkerResponseTimeout
	exited := a.recordAbsentAttempts(machine, jobs, report, absenceEvidence{restarted, answersLost})
	result.Exits = a.recordExits(exited, jobs)
	result.HasPendingOutcomes = len(a.pendingOutcomes) > 0
	a.updateRunningSince(now)
	a.forgetReleasedAttempts(machine)
	return result
}

// restartedBy reports whether a report shows a new incarnation of an agent whose earlier incarnation is
// known.
func (a *Agent) restartedBy(report *protocol.Heartbeat) bool {
	return a.incarnation != 0 && report.Incarnation > a.incarnation
}

// recordReport stores the contents of a report.
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

// acknowledgeClaim records that the agent has acknowledged this claim, and reports whether the agent is
// reachable again after its lease had expired.
func (a *Agent) acknowledgeClaim(now monotime.Micros) (leaseRegained bool) {
	if !a.tokens.claimAcknowledged {
		// Until now, answers of an earlier owner may have renewed the lease.
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

// absenceEvidence is what is known of the agent when a report lacks an attempt.
type absenceEvidence struct {
	restarted   bool // the agent has a new incarnation: all earlier attempts have ended
	answersLost bool // this controller's answers do not reach the new incarnation
}

// recordAbsentAttempts records an outcome for each attempt whose absence from a report proves that it has
// ended, and returns the attempts that the report lists as exited, sorted.
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

// killAcknowledged reports whether the agent has acknowledged the kill of an attempt. The kill has a higher
// token than every batch that runs the attempt: if a report lacks the attempt after that, the attempt is not
// running and cannot start any more.
func (a *Agent) killAcknowledged(key AttemptID, acknowledged uint64) bool {
	record := a.sentCommands[key]
	return record != nil && record.killToken != 0 && acknowledged >= record.killToken
}

// recordExits records the outcomes of the exited attempts and returns the exits that had no outcome before.
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
		exits = append(exits, Exit{Task: key.Task, Status: status, Started: started, RunningSince: since})
		a.RecordOutcome(key, outcome)
	}
	return exits
}

// updateRunningSince tracks when a report first listed each attempt of the newest report as running.
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

// forgetReleasedAttempts drops the state of attempts that the records no longer contain.
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
