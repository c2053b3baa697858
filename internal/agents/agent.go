package agents

import (
	"cmp"
	"slices"

	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// AttemptID names an attempt at a task.
type AttemptID struct {
	Task    mirror.TaskID
	Attempt uint64 // number of the attempt among those at its task
}

// Outcome is what became of an attempt.
type Outcome uint8

// Values of Outcome.
const (
	OutcomeCompleted Outcome = iota // the task is done
	OutcomeRetry                    // the attempt has ended and the task is to be run again
)

// Agent is what a controller knows of the worker agent on a machine whose claim it holds.
type Agent struct {
	claimNumber  uint64
	tokenCounter uint64 // of batches of commands under this claim

	incarnation, sequence uint64 // of the newest report; 0: none has come
	incarnationSeenAt     monotime.Micros
	reportedAttempts      map[AttemptID]protocol.TaskStatus
	runningSince          map[AttemptID]monotime.Micros // when first reported as running
	// the cloud has announced that it takes the machine back
	interruptionNoticed bool

	heartbeats heartbeatState
	tokens     tokenState

	leaseExpired bool // the lease has surely ended since the last answer

	pendingOutcomes  map[AttemptID]Outcome // not yet in the records
	stoppingAttempts map[AttemptID]bool    // to be stopped though their job goes on: preempted or evicted
	sentCommands     map[AttemptID]*commandRecord
	commandInFlight  bool // a batch was sent directly and isn't answered yet
	resyncNeeded     bool // there may be more to send once it is

	suspect       bool          // silent or faulty
	removalReason RemovalReason // why the machine is to be removed; empty: it isn't
	failures      FailureHistory
}

// heartbeatState is what came as a heartbeat, and when it was answered. A copy of one that came before is
// never answered: it proves nothing, and its answer would renew no lease.
type heartbeatState struct {
	lastIncarnation, lastSequence uint64
	lastReceivedAt                monotime.Micros
	lastAnsweredAt                monotime.Micros // the lease may run from here
	redirectedAt                  monotime.Micros // when last sent to look for another controller; 0: never
}

// tokenState is which fencing tokens the agent has shown and which it must show. An agent that is heard
// needn't be one that hears.
type tokenState struct {
	acknowledged        uint64 // shown by the newest report
	claimAcknowledged   bool   // the agent has seen a token of this claim
	required            uint64 // to be shown before the agent counts as reachable
	inLastReply         uint64 // of the last answer to a heartbeat
	unacknowledgedCount int    // heartbeats in a row that don't show the token of the last answer
	lastReachedAt       monotime.Micros
}

// New returns the Agent of a machine that has just been claimed under a number. Its lease is taken to have
// been renewed now, by the owner before.
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

// baseToken is the lowest fencing token of a claim.
func baseToken(claimNumber uint64) uint64 { return claimNumber << storage.TokenCounterBits }

// ClaimNumber is the number of the claim under which the machine is held.
func (a *Agent) ClaimNumber() uint64 { return a.claimNumber }

// BaseToken is the lowest fencing token of the claim under which the machine is held.
func (a *Agent) BaseToken() uint64 { return baseToken(a.claimNumber) }

// Token is the fencing token of the last batch of commands.
func (a *Agent) Token() uint64 { return a.BaseToken() | a.tokenCounter }

// HasReported reports whether any report of the agent has been applied under this claim.
func (a *Agent) HasReported() bool { return a.incarnation != 0 }

// IsReachable reports whether the newest report showed that the controller's answers arrive.
func (a *Agent) IsReachable() bool { return a.tokens.acknowledged >= a.tokens.required }

// LastReachedAt is when the agent last showed that the controller's answers reach it.
func (a *Agent) LastReachedAt() monotime.Micros { return a.tokens.lastReachedAt }

// LastAnsweredAt is when a heartbeat of the agent was last answered.
func (a *Agent) LastAnsweredAt() monotime.Micros { return a.heartbeats.lastAnsweredAt }

// ClaimAcknowledged reports whether the agent has seen a token of this claim, and so obeys no owner before.
func (a *Agent) ClaimAcknowledged() bool { return a.tokens.claimAcknowledged }

// ReportsUnderClaim reports whether the newest report was made after the agent had seen this claim: only then
// does it outrank every command of the owners before.
func (a *Agent) ReportsUnderClaim() bool {
	return a.tokens.claimAcknowledged && a.tokens.acknowledged >= a.BaseToken()
}

// LeaseExpired reports whether the agent's lease has surely ended since it was last answered.
func (a *Agent) LeaseExpired() bool { return a.leaseExpired }

// InterruptionNoticed reports whether the cloud has announced that it takes the machine back.
func (a *Agent) InterruptionNoticed() bool { return a.interruptionNoticed }

// Suspect reports whether the machine was silent or faulty at its last check.
func (a *Agent) Suspect() bool { return a.suspect }

// SetSuspect notes whether the machine is silent or faulty, and reports whether that is a change.
func (a *Agent) SetSuspect(suspect bool) (changed bool) {
	changed = suspect != a.suspect
	a.suspect = suspect
	return changed
}

// RemovalReason returns why the machine is to be removed; empty: it isn't.
func (a *Agent) RemovalReason() RemovalReason { return a.removalReason }

// SetRemovalReason notes why the machine is to be removed.
func (a *Agent) SetRemovalReason(reason RemovalReason) { a.removalReason = reason }

// cancelRemovalIfOccupied cancels a removal because the machine was empty, if it got tasks meanwhile.
func (a *Agent) cancelRemovalIfOccupied(machine *mirror.Machine) {
	if (a.removalReason == RemovalIdle || a.removalReason == RemovalDrained) && len(machine.Attempts) > 0 {
		a.removalReason = ""
	}
}

// AcceptsTasks reports whether new tasks may go to the machine as far as its agent tells: it has lately shown
// that the controller's answers reach it, and the machine isn't on its way out. silenceLimit is what counts
// as lately.
func (a *Agent) AcceptsTasks(now, silenceLimit monotime.Micros) bool {
	if !a.HasReported() || !a.ClaimAcknowledged() || a.leaseExpired || !a.IsReachable() {
		return false
	}
	if a.interruptionNoticed || a.removalReason != "" {
		return false
	}
	return now-a.LastReachedAt() < silenceLimit
}

// Failures is the history of tasks that failed or ran slowly on the machine.
func (a *Agent) Failures() *FailureHistory { return &a.failures }

// ReportedAttempt returns an attempt's status in the newest report; reported is false if it isn't in there.
func (a *Agent) ReportedAttempt(key AttemptID) (status protocol.TaskStatus, reported bool) {
	status, reported = a.reportedAttempts[key]
	return status, reported
}

// HasExited reports whether the newest report has an attempt as exited.
func (a *Agent) HasExited(key AttemptID) bool {
	return a.reportedAttempts[key].State == protocol.StateExited
}

// IsRunning reports whether the newest report has an attempt as running.
func (a *Agent) IsRunning(key AttemptID) bool {
	return a.reportedAttempts[key].State == protocol.StateRunning
}

// RunningSince returns when an attempt was first reported as running; running is false if it wasn't.
func (a *Agent) RunningSince(key AttemptID) (since monotime.Micros, running bool) {
	since, running = a.runningSince[key]
	return since, running
}

// StopAttempt has an attempt stopped by the next commands though its job goes on.
func (a *Agent) StopAttempt(key AttemptID) { a.stoppingAttempts[key] = true }

// IsStopping reports whether an attempt is to be stopped though its job goes on.
func (a *Agent) IsStopping(key AttemptID) bool { return a.stoppingAttempts[key] }

// IsStoppingAny reports whether any attempt on the machine is to be stopped though its job goes on.
func (a *Agent) IsStoppingAny() bool { return len(a.stoppingAttempts) > 0 }

// RecordOutcome notes what became of an attempt until the records have it. It must not be forgotten before: a
// release that may still be applied must keep its attempt from being started again. The first outcome of an
// attempt stays.
func (a *Agent) RecordOutcome(key AttemptID, outcome Outcome) {
	if _, ok := a.pendingOutcomes[key]; !ok {
		a.pendingOutcomes[key] = outcome
	}
}

// HasOutcome reports whether an attempt has an outcome on its way to the records.
func (a *Agent) HasOutcome(key AttemptID) bool {
	_, ok := a.pendingOutcomes[key]
	return ok
}

// EachEndedAttempt calls release for each task with an outcome of an attempt that the records still hold on
// the machine, in no certain order. Other outcomes are forgotten: they are in the records, or the records
// never had their attempts.
func (a *Agent) EachEndedAttempt(
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

// LeaseNewlyExpired reports whether the lease must have ended by now unnoticed: proof is how long after its last
// renewal it surely has. A new incarnation has a lease from its own beginning, answered or not: what direct
// commands start in it runs on though no report arrives.
func (a *Agent) LeaseNewlyExpired(now, expiryProof monotime.Micros) bool {
	return !a.leaseExpired && a.tokens.claimAcknowledged &&
		now-max(a.heartbeats.lastAnsweredAt, a.incarnationSeenAt) > expiryProof
}

// ExpireLease settles all that is on the machine: its lease has ended. Until the agent shows a token of this
// claim again nothing is sent to it.
func (a *Agent) ExpireLease(machine *mirror.Machine) {
	a.leaseExpired, a.tokens.claimAcknowledged = true, false
	for task, attempt := range machine.Attempts {
		a.RecordOutcome(AttemptID{task, attempt}, OutcomeRetry)
	}
}

// RedirectOnce reports whether the agent is to be sent to look for another controller, which is done once per
// lease: one that comes back sooner has found no other.
func (a *Agent) RedirectOnce(now, workerLease monotime.Micros) bool {
	returnedWithinLease := a.heartbeats.redirectedAt != 0 && now-a.heartbeats.redirectedAt < workerLease
	a.heartbeats.redirectedAt = max(now, 1)
	return !returnedWithinLease
}

// sortAttempts sorts attempts by job, task and number.
func sortAttempts(keys []AttemptID) {
	slices.SortFunc(keys, func(a, b AttemptID) int {
		return cmp.Or(a.Task.Compare(b.Task), cmp.Compare(a.Attempt, b.Attempt))
	})
}
