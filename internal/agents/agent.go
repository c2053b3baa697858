package agents

import (
	"cmp"
	"slices"

	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// AttemptID identifies one attempt to run a task.
type AttemptID struct {
	Task    mirror.TaskID
	Attempt uint64 // see Number of storage.Attempt
}

// Outcome is the final result of an attempt.
type Outcome uint8

// Values of Outcome.
const (
	OutcomeCompleted Outcome = iota // the task has completed
	OutcomeRetry                    // the attempt has ended and the task must run again
)

// Agent is a controller's state of the worker agent on a machine that the controller has claimed.
type Agent struct {
	claimNumber  uint64
	tokenCounter uint64 // counts the batches of commands under this claim

	incarnation, sequence uint64 // of the newest report; 0: no report received
	incarnationSeenAt     monotime.Micros
	reportedAttempts      map[AttemptID]protocol.TaskStatus
	runningSince          map[AttemptID]monotime.Micros // when first reported as running
	// the cloud has announced that it will reclaim the machine
	interruptionNoticed bool

	heartbeats heartbeatState
	tokens     tokenState

	leaseExpired bool // the lease is proven to have expired since the last answer

	pendingOutcomes  map[AttemptID]Outcome // not yet committed to the records
	stoppingAttempts map[AttemptID]bool    // preempted or evicted: must stop although their jobs continue
	sentCommands     map[AttemptID]*commandRecord
	commandInFlight  bool // a direct command request is awaiting its response
	resyncNeeded     bool // more commands may be due after that response

	suspect       bool          // silent or faulty
	removalReason RemovalReason // why the machine must be removed; empty: it stays
	failures      FailureHistory
}

// heartbeatState describes the last heartbeat received and when it was answered. A duplicate of an earlier
// heartbeat is never answered: it proves nothing, and an answer to it would not renew the lease.
type heartbeatState struct {
	lastIncarnation, lastSequence uint64
	lastReceivedAt                monotime.Micros
	lastAnsweredAt                monotime.Micros // the lease may run from this instant
	redirectedAt                  monotime.Micros // of the last redirect to another controller; 0: never
}

// tokenState holds the fencing tokens that the agent has acknowledged and must acknowledge. Receiving
// heartbeats from an agent does not prove that the agent receives the answers.
type tokenState struct {
	acknowledged        uint64 // highest token that the newest report shows
	claimAcknowledged   bool   // the agent has acknowledged a token of this claim
	required            uint64 // lowest token that the agent must acknowledge to count as reachable
	inLastReply         uint64 // token in the last answer to a heartbeat
	unacknowledgedCount int    // consecutive heartbeats that do not show the token of the last answer
	lastReachedAt       monotime.Micros
}

// New returns the Agent of a machine that has just been claimed under claimNumber. It assumes that the
// previous owner renewed the agent's lease at this instant.
func New(claimNumber uint64, now monotime.Micros) *Agent {
	return &Agent{
		claimNumber:      claimNumber,
		heartbeats:       heartbeatState{lastReceivedAt: now, lastAnsweredAt: now},
		tokens:           tokenState{required: baseToken(claimNumber), lastReachedAt: now},
		reportedAttempts: map[AttemptID]protocol.TaskStatus{},
		pendingOutcomes:  map[AttemptID]Outcome{},
		sentCommands:     map[AttemptID]*commandRecord{},
		stoppingAttempts: map[AttemptID]bool{},
		runningSince:     map[AttemptID]monotime.Micros{},
		failures:         FailureHistory{byJob: map[string]int{}},
	}
}

// baseToken returns the lowest fencing token of a claim.
func baseToken(claimNumber uint64) uint64 { return claimNumber << storage.TokenCounterBits }

// ClaimNumber returns the number of the claim under which the controller holds the machine.
func (a *Agent) ClaimNumber() uint64 { return a.claimNumber }

// BaseToken returns the lowest fencing token of the claim under which the controller holds the machine.
func (a *Agent) BaseToken() uint64 { return baseToken(a.claimNumber) }

// Token returns the fencing token of the last batch of commands.
func (a *Agent) Token() uint64 { return a.BaseToken() | a.tokenCounter }

// HasReported reports whether any report of the agent has been applied under this claim.
func (a *Agent) HasReported() bool { return a.incarnation != 0 }

// IsReachable reports whether the newest report proves that the controller's answers reach the agent.
func (a *Agent) IsReachable() bool { return a.tokens.acknowledged >= a.tokens.required }

// LastReachedAt returns when the agent last proved that the controller's answers reach it.
func (a *Agent) LastReachedAt() monotime.Micros { return a.tokens.lastReachedAt }

// LastAnsweredAt returns when the controller last answered a heartbeat of the agent.
func (a *Agent) LastAnsweredAt() monotime.Micros { return a.heartbeats.lastAnsweredAt }

// ClaimAcknowledged reports whether the agent has acknowledged a token of this claim, and therefore rejects
// commands of previous owners.
func (a *Agent) ClaimAcknowledged() bool { return a.tokens.claimAcknowledged }

// ReportsUnderClaim reports whether the agent made its newest report after it had acknowledged this claim.
// Only such a report reflects all commands of previous owners that the agent will ever execute.
func (a *Agent) ReportsUnderClaim() bool {
	return a.tokens.claimAcknowledged && a.tokens.acknowledged >= a.BaseToken()
}

// LeaseExpired reports whether the agent's lease is proven to have expired since the last answer.
func (a *Agent) LeaseExpired() bool { return a.leaseExpired }

// InterruptionNoticed reports whether the cloud has announced that it will reclaim the machine.
func (a *Agent) InterruptionNoticed() bool { return a.interruptionNoticed }

// IsSuspect reports whether the machine was silent or faulty at its last check.
func (a *Agent) IsSuspect() bool { return a.suspect }

// SetSuspect records whether the machine is silent or faulty, and reports whether that is a change.
func (a *Agent) SetSuspect(suspect bool) (changed bool) {
	changed = suspect != a.suspect
	a.suspect = suspect
	return changed
}

// RemovalReason returns why the machine must be removed, or "" if it stays.
func (a *Agent) RemovalReason() RemovalReason { return a.removalReason }

// SetRemovalReason records why the machine must be removed.
func (a *Agent) SetRemovalReason(reason RemovalReason) { a.removalReason = reason }

// cancelRemovalIfOccupied cancels a removal that requires an empty machine if the machine has received tasks
// in the meantime.
func (a *Agent) cancelRemovalIfOccupied(machine *mirror.Machine) {
	if (a.removalReason == RemovalIdle || a.removalReason == RemovalDrained) && len(machine.Attempts) > 0 {
		a.removalReason = ""
	}
}

// AcceptsTasks reports whether the agent's state allows new tasks on the machine: the agent has proved within
// silenceLimit that the controller's answers reach it, and the machine is not about to be removed or
// reclaimed.
func (a *Agent) AcceptsTasks(now, silenceLimit monotime.Micros) bool {
	if !a.HasReported() || !a.ClaimAcknowledged() || a.leaseExpired || !a.IsReachable() {
		return false
	}
	if a.interruptionNoticed || a.removalReason != "" {
		return false
	}
	return now-a.LastReachedAt() < silenceLimit
}

// Failures returns the history of tasks that failed or ran slowly on the machine.
func (a *Agent) Failures() *FailureHistory { return &a.failures }

// ReportedAttempt returns an attempt's status in the newest report; reported is false if the report does not
// contain the attempt.
func (a *Agent) ReportedAttempt(key AttemptID) (status protocol.TaskStatus, reported bool) {
	status, reported = a.reportedAttempts[key]
	return status, reported
}

// HasExited reports whether the newest report lists an attempt as exited.
func (a *Agent) HasExited(key AttemptID) bool {
	return a.reportedAttempts[key].State == protocol.StateExited
}

// IsRunning reports whether the newest report lists an attempt as running.
func (a *Agent) IsRunning(key AttemptID) bool {
	return a.reportedAttempts[key].State == protocol.StateRunning
}

// RunningSince returns when the agent first reported an attempt as running; running is false if it has not.
func (a *Agent) RunningSince(key AttemptID) (since monotime.Micros, running bool) {
	since, running = a.runningSince[key]
	return since, running
}

// StopAttempt marks an attempt to be killed by the next commands although its job continues.
func (a *Agent) StopAttempt(key AttemptID) { a.stoppingAttempts[key] = true }

// IsStopping reports whether StopAttempt has marked an attempt.
func (a *Agent) IsStopping(key AttemptID) bool { return a.stoppingAttempts[key] }

// IsStoppingAny reports whether StopAttempt has marked any attempt on the machine.
func (a *Agent) IsStoppingAny() bool { return len(a.stoppingAttempts) > 0 }

// RecordOutcome stores the outcome of an attempt until the records contain it. The outcome must be kept until
// then: while the release of the attempt may still be committed, the attempt must not be started again. The
// first outcome of an attempt is final.
func (a *Agent) RecordOutcome(key AttemptID, outcome Outcome) {
	if _, ok := a.pendingOutcomes[key]; !ok {
		a.pendingOutcomes[key] = outcome
	}
}

// HasOutcome reports whether an attempt has an outcome that is not yet in the records.
func (a *Agent) HasOutcome(key AttemptID) bool {
	_, ok := a.pendingOutcomes[key]
	return ok
}

// ForEachEndedAttempt calls release for each attempt with an outcome that the records still assign to the
// machine, in no defined order. It drops the other outcomes: the records already contain them or never
// contained their attempts.
func (a *Agent) ForEachEndedAttempt(
	machine *mirror.Machine,
	release func(task mirror.TaskID, completed bool),
) {
	for key, outcome := range a.pendingOutcomes {
		if machine.Attempts[key.Task] != key.Attempt {
			delete(a.pendingOutcomes, key)
			continue
		}
		release(key.Task, outcome == OutcomeCompleted)
	}
}

// LeaseNewlyExpired reports whether the lease must have expired although that is not yet recorded.
// expiryProof is the time after its last renewal at which a lease has certainly expired. The lease of a new
// incarnation runs from the start of the incarnation, even if no heartbeat of it was answered: attempts that
// direct commands start in it keep running although no heartbeat arrives.
func (a *Agent) LeaseNewlyExpired(now, expiryProof monotime.Micros) bool {
	return !a.leaseExpired && a.tokens.claimAcknowledged &&
		now-max(a.heartbeats.lastAnsweredAt, a.incarnationSeenAt) > expiryProof
}

// ExpireLease records that the lease has expired, and that all attempts on the machine must be retried.
// Until a report of the agent shows that it is reachable again, it gets no direct commands and no runs. Answers
// to its heartbeats can still contain kills and reaps, see NextCommands.
func (a *Agent) ExpireLease(machine *mirror.Machine) {
	a.leaseExpired, a.tokens.claimAcknowledged = true, false
	for task, attempt := range machine.Attempts {
		a.RecordOutcome(AttemptID{task, attempt}, OutcomeRetry)
	}
}

// RedirectOnce reports whether the agent must be redirected to another controller, which happens once per
// lease: an agent that returns sooner has found no other controller.
func (a *Agent) RedirectOnce(now, workerLease monotime.Micros) bool {
	returnedWithinLease := a.heartbeats.redirectedAt != 0 && now-a.heartbeats.redirectedAt < workerLease
	a.heartbeats.redirectedAt = max(now, 1)
	return !returnedWithinLease
}

// sortAttempts sorts attempts by job, task and attempt number.
func sortAttempts(keys []AttemptID) {
	slices.SortFunc(keys, func(a, b AttemptID) int {
		return cmp.Or(a.Task.Compare(b.Task), cmp.Compare(a.Attempt, b.Attempt))
	})
}
