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
	Peers         Peers
	Shards        Shards
	Scheduler     Scheduler
	Cancellations LeasePolicy
	// IsCordoned tells whether a drain keeps new tasks from a machine.
	IsCordoned func(machine *mirror.Machine) bool
	Log        *slog.Logger
}

// Environment is the clock and the connection to the workers. Callbacks come on the controller's goroutine.
type Environment interface {
	Now() monotime.Micros
	After(delay monotime.Micros, callback func())
	// SendCommands sends a request to the worker at an endpoint; nil asks for its report only. A result with
	// status 0 has no report.
	SendCommands(
		endpoint string,
		request *protocol.CommandRequest,
		within monotime.Micros,
		callback func(protocol.CommandResult),
	)
}

// Store is the state service and the mirror's connection to it.
type Store interface {
	// Ready tells whether the records have been read.
	Ready() bool
	// MirrorStale tells whether the process was paused and the mirror not brought up to date since.
	MirrorStale(now monotime.Micros) bool
	// WatchOverdue tells whether the watch hasn't answered for so long that the mirror may be outdated.
	WatchOverdue(now monotime.Micros) bool
	Unavailable() bool
	// UnavailableOnlyHere names a controller that reaches the state service while this one doesn't.
	UnavailableOnlyHere(now monotime.Micros) (peer string, only bool)
	// BeginRecordWrite tells whether a write of a record may begin, which keeps others out until
	// EndRecordWrite.
	BeginRecordWrite(key string) bool
	EndRecordWrite(key string)
	// Commit makes a conditional write; on success it is in the mirror before callback is called.
	Commit(priority ratelimit.Priority, txn protocol.Transaction, callback func(protocol.StoreResult))
}

// Peers knows the other controllers, and whether this one is connected.
type Peers interface {
	IsMember(node string) bool
	// ConnectedControllers lists the live controllers that aren't known to be cut off from their workers.
	ConnectedControllers() []string
	// IsCutOffFromWorkers tells whether a controller is known not to reach its workers.
	IsCutOffFromWorkers(node string, now monotime.Micros) bool
	HeardRecently(node string, now monotime.Micros) bool
	// LastHeardAt is when a controller last sent its status; 0: never.
	LastHeardAt(node string) monotime.Micros
	// IsSuperseded tells whether this controller reaches neither the state service nor any other for so long
	// that the others, if there are any, have taken its machines over.
	IsSuperseded(now monotime.Micros) bool
	// ResumedFromPauseAt is when the process last went on after a pause; 0: it had none.
	ResumedFromPauseAt() monotime.Micros
	// UpdateReachability judges from the silence of all machines whether this controller reaches its workers.
	UpdateReachability(overall reachability.SilenceCount, now monotime.Micros)
}

// Shards holds the claims on the machines.
type Shards interface {
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
	// SuspendsLeaseRenewal tells whether heartbeats must go unanswered so that leases expire.
	SuspendsLeaseRenewal(now monotime.Micros) bool
}
