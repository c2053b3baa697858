package agents

import (
	"log/slog"

	"pipitgap/internal/durations"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/reachability"
)

// Config is what stays the same for as long as the controller runs.
type Config struct {
	Node      string   // the controller's name
	Peers     []string // names of the other controllers
	Durations durations.Platform
}

// Dependencies are the other subjects that a Manager works with.
type Dependencies struct {
	Mirror        *mirror.Mirror
	Environment   Environment
	Store         Store
	Replica       Replica
	RecordWrites  RecordWrites
	Pauses        Pauses
	Membership    Membership
	Reachability  Reachability
	Peers         Peers
	Shards        Shards
	Scheduler     Scheduler
	Cancellations LeasePolicy
	// IsCordoned reports whether a drain keeps new tasks from a machine.
	IsCordoned func(machine *mirror.Machine) bool
	Log        *slog.Logger
}

// Environment is the clock and the connection to the workers. Callbacks come on the controller's goroutine.
type Environment interface {
	// Now reads the steady clock.
	Now() monotime.Micros
	// After calls back after a delay.
	After(delay monotime.Micros, callback func())
	// SendCommands sends a request to the worker at an endpoint; nil only requests its report. A result with
	// status 0 has no report.
	SendCommands(
		endpoint string,
		request *protocol.CommandRequest,
		timeout monotime.Micros,
		callback func(protocol.CommandResult),
	)
}

// Store is the state service.
type Store interface {
	// Unavailable reports whether this controller doesn't reach it.
	Unavailable() bool
}

// Replica keeps the mirror up to date.
type Replica interface {
	// Ready reports whether the records have been read.
	Ready() bool
	// FreshAt is when the request was sent that last brought the mirror up to date.
	FreshAt() monotime.Micros
	// WatchOverdue reports whether the watch hasn't answered for so long that the mirror may be outdated.
	WatchOverdue(now monotime.Micros) bool
	// Commit makes a conditional write; on success it is in the mirror before callback is called.
	Commit(priority ratelimit.Priority, txn protocol.Transaction, callback func(protocol.StoreResult))
}

// RecordWrites notes the keys of records with a write in flight.
type RecordWrites interface {
	// Contains reports whether a change of a record is in flight.
	Contains(key string) bool
	// Begin marks a record as being changed.
	Begin(key string)
	// End takes the mark off.
	End(key string)
}

// Pauses tells when the process was paused while its clocks ran.
type Pauses interface {
	// IsStale reports whether what was up to date at an instant must not be trusted because of a pause since.
	IsStale(freshAt, now monotime.Micros) bool
	// ResumedFromPauseAt is when the last pause ended; 0: there was none.
	ResumedFromPauseAt() monotime.Micros
}

// Membership knows which controllers are members.
type Membership interface {
	// IsMember reports whether a controller is a member.
	IsMember(node string) bool
}

// Reachability judges whom this controller and the others reach.
type Reachability interface {
	// StoreUnreachableOnlyHere names a controller that reaches the state service while this one doesn't.
	StoreUnreachableOnlyHere(now monotime.Micros) (peer string, onlyHere bool)
	// IsSuperseded reports whether this controller reaches neither the state service nor any other for so
	// long that the others, if there are any, have taken its machines over.
	IsSuperseded(now monotime.Micros) bool
	// IsCutOffFromWorkers reports whether a controller is known not to reach its workers.
	IsCutOffFromWorkers(node string, now monotime.Micros) bool
	// ConnectedControllers lists the live controllers that aren't known to be cut off from their workers.
	ConnectedControllers() []string
	// UpdateReachability judges from the silence of all own machines whether this controller reaches its
	// workers.
	UpdateReachability(overall reachability.SilenceCount, now monotime.Micros)
}

// Peers holds the last status of each other controller.
type Peers interface {
	// HeardRecently reports whether a status of a controller has come lately.
	HeardRecently(node string, now monotime.Micros) bool
	// LastHeardAt is when a controller last sent its status; 0: never.
	LastHeardAt(node string) monotime.Micros
}

// Shards holds the claims on the machines.
type Shards interface {
	// Owns reports whether a shard belongs to this incarnation of the controller.
	Owns(shard *mirror.Shard) bool
	// ClaimObservedAt is when the present claim on a shard was first seen.
	ClaimObservedAt(shard string) monotime.Micros
	// ClaimOrphaned claims the shards of controllers that are gone, as far as they fall to this one.
	ClaimOrphaned(now monotime.Micros)
	// RequestClaim has a machine taken into the shards by the next pass, out of fromShard if it isn't nil.
	// The callback is called once the machine is claimed, or won't be.
	RequestClaim(report *protocol.Heartbeat, fromShard *mirror.Shard, callback func(claimed bool))
	// ExpireClaimRequests refuses the machines that have waited for too long.
	ExpireClaimRequests(now monotime.Micros)
}

// Scheduler places tasks and learns from how they end.
type Scheduler interface {
	// RequestPass has a scheduling pass run soon.
	RequestPass()
	// RecordExit learns from how an attempt at a task of a job ended.
	RecordExit(machine *mirror.Machine, job *mirror.Job, exit Exit)
	// MachineFault judges a machine from the failures there.
	MachineFault(agent *Agent) (faulty, failureProne bool)
	// ClearFailuresOn takes back what the failures on a faulty machine have said of jobs.
	ClearFailuresOn(machine *mirror.Machine)
	// FinalSeenAt is when the final result of a job was first seen; 0: it had it before.
	FinalSeenAt(job string) monotime.Micros
}

// LeasePolicy decides whether leases may be renewed.
type LeasePolicy interface {
	// SuspendsLeaseRenewal reports whether heartbeats must go unanswered so that leases expire.
	SuspendsLeaseRenewal(now monotime.Micros) bool
}
