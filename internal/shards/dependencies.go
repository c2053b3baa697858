package shards

import (
	"log/slog"

	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

// Config contains the settings of a Manager. They do not change while the controller runs.
type Config struct {
	Node          string // the controller's name
	Incarnation   uint64 // identifies the run of the controller process
	MaxTxnOps     int    // maximum number of operations in a transaction of the state service
	MaxValueBytes int    // maximum size of a value in the state service
}

// Dependencies contains the other components that a Manager uses.
type Dependencies struct {
	Mirror     *mirror.Mirror
	Store      Store
	Membership Membership
	Peers      Peers
	Quota      Quota
	Agents     Agents
	Drains     Drains
	Jobs       Jobs
	Passes     Passes
	// MachineType returns a machine type of the catalog, or the zero value for an unknown name.
	MachineType func(name string) protocol.MachineType
	Now         func() monotime.Micros
	Log         *slog.Logger
}

// Store provides access to the state service.
type Store interface {
	// Unavailable reports whether the state service is unavailable, as this controller observes it.
	Unavailable() bool
	// WatchOverdue reports whether the watch has gone without an answer for so long that the mirror may be
	// stale.
	WatchOverdue(now monotime.Micros) bool
	// ThrottledWithin reports whether the state service rate-limited a call within the last duration.
	ThrottledWithin(duration monotime.Micros) bool
	// Commit sends a conditional write. After a success the mirror contains the write before the callback runs.
	Commit(priority ratelimit.Priority, txn protocol.Transaction, callback func(protocol.StoreResult))
}

// Membership reports which controllers are members, and whether this controller holds its lease.
type Membership interface {
	// HoldsLease reports whether this controller's lease is certainly still valid.
	HoldsLease(now monotime.Micros) bool
	// IncarnationCompare returns the condition that this incarnation's member record is unchanged. ok is false
	// while a commit of an earlier incarnation with that condition may still change what the mirror shows.
	IncarnationCompare() (compare protocol.Compare, ok bool)
	// IsMember reports whether a controller is a member.
	IsMember(node string) bool
	// AbsentSince returns when this controller first observed the absence of a controller that is no member.
	AbsentSince(node string, now monotime.Micros) monotime.Micros
	// LiveControllers lists the controllers that are members, sorted by name.
	LiveControllers() []string
}

// Peers reports which controllers send status messages and reach their workers.
type Peers interface {
	// ConnectedControllers lists the live controllers, without those known to be cut off from their workers. It
	// lists all live controllers if every one is cut off.
	ConnectedControllers() []string
	// HasRecentStatus reports whether a recent status message of a controller has arrived.
	HasRecentStatus(node string, now monotime.Micros) bool
	// ReachesWorkers reports whether a controller has reported that it reaches its workers.
	ReachesWorkers(node string) bool
}

// Quota manages the controllers' shares of the teams' limits.
type Quota interface {
	// WriteInFlight reports whether a commit that changes this controller's quota shares is in flight.
	WriteInFlight() bool
	// BeginWrite announces a commit of the Manager that changes the quota shares. Until EndWrite no other
	// component writes them.
	BeginWrite()
	// EndWrite reports that the announced commit has an outcome.
	EndWrite()
	// Transfer extends a transaction that moves attempts between controllers. It moves the quota shares that
	// these attempts use along with them. comparedKeys contains the keys that the transaction already compares.
	Transfer(
		txn *protocol.Transaction,
		comparedKeys map[string]bool,
		from, to string,
		useByTeam map[string]resources.Vector,
	)
}

// Agents manages the communication with the workers of the controller's machines.
type Agents interface {
	// Has reports whether the controller owns a machine and has an agent for it.
	Has(machine *mirror.Machine) bool
	// ForEachEndedAttempt calls release for each task whose attempt on an own machine has ended. It drops the
	// outcomes of attempts that the machine's shard doesn't contain.
	ForEachEndedAttempt(machine *mirror.Machine, release func(task mirror.TaskID, completed bool))
	// DesiredState returns the state that the record of an own machine should have.
	DesiredState(machine *mirror.Machine) storage.MachineState
	// UpdateOwnership creates or drops the agent of a machine after a change of the machine's shard.
	UpdateOwnership(machine *mirror.Machine)
	// SyncCommands sends the worker of a machine the commands that it hasn't received yet.
	SyncCommands(machine *mirror.Machine)
	// Probe requests the status of a newly claimed machine. With syncAfterwards it sends commands after the
	// status.
	Probe(machine *mirror.Machine, syncAfterwards bool)
	// DesignatedController returns the controller that may claim a machine of a scale-out request.
	DesignatedController(request *mirror.ScaleOutEntry, machine string) string
}

// Drains maintains the start marks of replicas, see storage.Attempt.Starting, and counts lost replicas.
type Drains interface {
	// HasWork reports whether any drain is unfinished or still needs cleanup.
	HasWork() bool
	// UpdateStartingMarks corrects the start marks of an own machine's replicas in the next version of its
	// shard. It reports whether any mark changed.
	UpdateStartingMarks(next *storage.Shard, machine *mirror.Machine, now monotime.Micros) bool
	// NewLosses returns an empty list of the lost replicas of one update.
	NewLosses() Losses
}

// Losses collects the replicas that one update releases without a permit of a drain.
type Losses interface {
	// Record adds a task that the update releases from a machine, if its release counts as a loss.
	Record(machine *mirror.Machine, task mirror.TaskID)
	// Count adds the collected losses to the total. It is called after the update is committed.
	Count()
}

// Jobs writes the results of jobs.
type Jobs interface {
	// CompleteIfDone writes the result of a job if all its tasks are completed.
	CompleteIfDone(job string)
}

// Passes requests and delays the scheduling passes that prepare and commit updates.
type Passes interface {
	// Request requests a scheduling pass.
	Request()
	// HandleCommitResult processes the outcome of an update that assigned a number of tasks. It requests the
	// next pass, and delays that pass where it would use the same outdated records or fail again.
	HandleCommitResult(result protocol.StoreResult, assignedTasks int)
}
