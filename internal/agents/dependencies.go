package agents

import (
	"log/slog"

	"pipitgap/internal/durations"
	"pipitgap/internal/invariant"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/reachability"
)

// Config holds the settings that do not change while the controller runs.
type Config struct {
	Node      string   // name of this controller
	Peers     []string // names of the other controllers
	Durations durations.Platform
}

// Dependencies are the components that a Manager uses.
type Dependencies struct {
	Mirror        *mirror.Mirror
	Environment   Environment
	Store         Store
	Replica       Replica
	RecordWrites  RecordWrites
	Pauses        PauseDetector
	Membership    Membership
	Reachability  Reachability
	Peers         Peers
	Shards        Shards
	Scheduler     Scheduler
	Cancellations LeasePolicy
	Invariants    *invariant.Recorder
	// IsCordoned reports whether a drain bars a machine from new tasks.
	IsCordoned func(machine *mirror.Machine) bool
	Log        *slog.Logger
}

// Environment provides the clock and the connection to the workers. It runs callbacks on the controller's
// goroutine.
type Environment interface {
	// Now returns the time of the monotonic clock.
	Now() monotime.Micros
	// After runs a callback after a delay.
	After(delay monotime.Micros, callback func())
	// SendCommands sends a request to the worker at an endpoint. A nil request only asks for the worker's
	// report. A result with status 0 contains no report.
	SendCommands(
		endpoint string,
		request *protocol.CommandRequest,
		timeout monotime.Micros,
		callback func(protocol.CommandResult),
	)
}

// Store is the connection to the state service.
type Store interface {
	// Unavailable reports whether this controller cannot reach the state service.
	Unavailable() bool
}

// Replica keeps the mirror of the records up to date.
type Replica interface {
	// Ready reports whether the records have been read.
	Ready() bool
	// FreshAt returns when the request was sent that last brought the mirror up to date.
	FreshAt() monotime.Micros
	// WatchOverdue reports whether the watch has not answered for so long that the mirror may be outdated.
	WatchOverdue(now monotime.Micros) bool
	// Commit sends a conditional write. After a success the mirror contains the write before callback runs.
	Commit(priority ratelimit.Priority, txn protocol.Transaction, callback func(protocol.StoreResult))
}

// RecordWrites tracks the keys of records with a write in flight.
type RecordWrites interface {
	// Contains reports whether a write of a record is in flight.
	Contains(key string) bool
	// Begin marks a record as having a write in flight.
	Begin(key string)
	// End removes that mark.
	End(key string)
}

// PauseDetector detects pauses of the process during which its clocks kept running.
type PauseDetector interface {
	// IsStale reports whether data that was up to date at freshAt must not be trusted because the process has
	// been paused since.
	IsStale(freshAt, now monotime.Micros) bool
	// LastPauseEndedAt returns when the last pause ended; 0: there was none.
	LastPauseEndedAt() monotime.Micros
}

// Membership knows which controllers are members of the cluster.
type Membership interface {
	// IsMember reports whether a controller is a member.
	IsMember(node string) bool
}

// Reachability determines what this controller and the other controllers can reach.
type Reachability interface {
	// StoreUnreachableOnlyHere returns a controller that reaches the state service while this one does not.
	StoreUnreachableOnlyHere(now monotime.Micros) (peer string, onlyHere bool)
	// IsSuperseded reports whether this controller has reached neither the state service nor any other
	// controller for so long that the other controllers, if there are any, have claimed its machines.
	IsSuperseded(now monotime.Micros) bool
	// IsCutOffFromWorkers reports whether a controller is known to be unable to reach its workers.
	IsCutOffFromWorkers(node string, now monotime.Micros) bool
	// ConnectedControllers returns the live controllers that are not known to be cut off from their workers.
	ConnectedControllers() []string
	// UpdateReachability determines from the silence of all machines of this controller whether the
	// controller reaches its workers.
	UpdateReachability(overall reachability.SilenceCount, now monotime.Micros)
}

// Peers holds the last status received from each other controller.
type Peers interface {
	// HasRecentStatus reports whether a controller's status has been received recently.
	HasRecentStatus(node string, now monotime.Micros) bool
	// LastStatusAt returns when the last status of a controller was received; 0: never.
	LastStatusAt(node string) monotime.Micros
}

// Shards manages the claims on machines.
type Shards interface {
	// Owns reports whether a shard belongs to this incarnation of the controller.
	Owns(shard *mirror.Shard) bool
	// ClaimObservedAt returns when the current claim on a shard was first observed.
	ClaimObservedAt(shard string) monotime.Micros
	// ClaimOrphaned claims the shards of failed controllers that this controller must take over.
	ClaimOrphaned(now monotime.Micros)
	// RequestClaim requests that the next pass claims a machine into a shard of this controller. fromShard is
	// the shard that the machine is taken from, or nil. The callback runs once the machine is claimed, or
	// once the request is refused.
	RequestClaim(report *protocol.Heartbeat, fromShard *mirror.Shard, callback func(claimed bool))
	// ExpireClaimRequests refuses the claim requests that have waited too long.
	ExpireClaimRequests(now monotime.Micros)
}

// Scheduler places tasks and learns from their exits.
type Scheduler interface {
	// RequestPass requests a scheduling pass that runs soon.
	RequestPass()
	// RecordExit updates the failure and run-time statistics with the exit of an attempt at a task of a job.
	RecordExit(machine *mirror.Machine, job *mirror.Job, exit Exit)
	// MachineFault judges from the failures on a machine whether the machine is faulty or failure-prone.
	MachineFault(agent *Agent) (faulty, failureProne bool)
	// WithdrawFailuresOn withdraws the failures on a faulty machine as evidence against the jobs that failed
	// there.
	WithdrawFailuresOn(machine *mirror.Machine)
	// FinalResultSeenAt returns when this controller first observed the final result of a job that had assigned
	// tasks at that time; 0: it did not. Results that a load of the records contains don't count as observed.
	FinalResultSeenAt(job string) monotime.Micros
}

// LeasePolicy decides whether worker leases may be renewed, and knows which jobs are cancelled.
type LeasePolicy interface {
	// SuspendsLeaseRenewal reports whether heartbeats must go unanswered so that leases expire.
	SuspendsLeaseRenewal(now monotime.Micros) bool
	// KnowledgeAge returns how old the knowledge of cancellations is.
	KnowledgeAge(now monotime.Micros) monotime.Micros
	// RenewalWindow returns the age of that knowledge from which on leases are not renewed.
	RenewalWindow() monotime.Micros
	// Holds reports whether a job is known to be cancelled, whatever the mirror contains of it.
	Holds(job string) bool
}
