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

// Config is what stays the same for as long as the controller runs.
type Config struct {
	Node          string // the controller's name
	Incarnation   uint64 // of the controller
	MaxTxnOps     int    // operations that the state service takes in a transaction
	MaxValueBytes int    // bytes that it takes in a value
}

// Dependencies are the other subjects that a Manager works with.
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
	// MachineType returns a machine type of the catalog; the zero value if it is unknown.
	MachineType func(name string) protocol.MachineType
	Now         func() monotime.Micros
	Log         *slog.Logger
}

// Store is the state service.
type Store interface {
	// Unavailable reports whether the state service has lately not answered.
	Unavailable() bool
	// WatchOverdue reports whether the watch hasn't answered for so long that the mirror may be outdated.
	WatchOverdue(now monotime.Micros) bool
	// ThrottledWithin reports whether the state service has refused a call for its rate in the last duration.
	ThrottledWithin(duration monotime.Micros) bool
	// Commit makes a conditional write; on success it is in the mirror before callback is called.
	Commit(priority ratelimit.Priority, txn protocol.Transaction, callback func(protocol.StoreResult))
}

// Membership knows which controllers are members.
type Membership interface {
	// HoldsLease reports whether this controller's own lease can't have expired yet.
	HoldsLease(now monotime.Micros) bool
	// IsMember reports whether a controller is a member.
	IsMember(node string) bool
	// AbsentSince is since when a controller that is no member has been missing.
	AbsentSince(node string, now monotime.Micros) monotime.Micros
	// LiveControllers lists the controllers that are members, in order.
	LiveControllers() []string
}

// Peers knows which controllers are heard and reach their workers.
type Peers interface {
	// ConnectedControllers lists the live controllers that aren't known to be cut off from their workers.
	ConnectedControllers() []string
	// HeardFromRecently reports whether a status of a controller has come lately.
	HeardFromRecently(node string, now monotime.Micros) bool
	// ReachesWorkers reports whether a controller has reported that it reaches its workers.
	ReachesWorkers(node string) bool
}

// Quota keeps the controllers' shares of the teams' limits.
type Quota interface {
	// WriteInFlight reports whether a commit is in flight that changes this controller's shares.
	WriteInFlight() bool
	// BeginWrite keeps others from writing shares until EndWrite: a commit of the manager changes them.
	BeginWrite()
	// EndWrite marks that the announced commit has its outcome.
	EndWrite()
	// Transfer adds to a transaction that the shares of the teams' limits follow attempts from one
	// controller to another; comparedKeys are those that the transaction compares already.
	Transfer(
		txn *protocol.Transaction,
		comparedKeys map[string]bool,
		from, to string,
		useByTeam map[string]resources.Vector,
	)
}

// Agents knows the workers of the controller's machines.
type Agents interface {
	// Has reports whether a machine is one of the controller's own, with an agent kept for it.
	Has(machine *mirror.Machine) bool
	// EachEndedAttempt calls release for the tasks whose attempts on an own machine have ended. Outcomes of
	// attempts that the machine's shard doesn't hold are dropped.
	EachEndedAttempt(machine *mirror.Machine, release func(task mirror.TaskID, completed bool))
	// DesiredState is the state that an own machine's record should have.
	DesiredState(machine *mirror.Machine) storage.MachineState
	// UpdateOwnership follows a change of the shard that a machine is in.
	UpdateOwnership(machine *mirror.Machine)
	// SyncCommands sends a machine the commands that it lacks.
	SyncCommands(machine *mirror.Machine)
	// Probe requests the status of a machine that was just claimed, and sends commands after it if wanted.
	Probe(machine *mirror.Machine, syncAfterwards bool)
	// DesignatedController names the controller that may claim a machine of a scale-out request.
	DesignatedController(request *mirror.ScaleOutEntry, machine string) string
}

// Drains keeps the marks of starting replicas and counts the replicas that are lost.
type Drains interface {
	// HasWork reports whether any drain is unfinished or has something left to clean up.
	HasWork() bool
	// UpdateStartingMarks corrects the marks of an own machine's replicas in the next version of its shard
	// and reports whether any has changed.
	UpdateStartingMarks(next *storage.Shard, machine *mirror.Machine, now monotime.Micros) bool
	// NewLosses makes an empty record of the replicas that one update releases.
	NewLosses() Losses
}

// Losses are the replicas that one update releases outside of the drains' permits.
type Losses interface {
	// Record adds a task that is released from a machine, if it counts as a loss.
	Record(machine *mirror.Machine, task mirror.TaskID)
	// Count counts the losses, once the update is known to be in the records.
	Count()
}

// Jobs completes jobs.
type Jobs interface {
	// CompleteIfDone writes the result of a job whose tasks are all completed.
	CompleteIfDone(job string)
}

// Passes schedules the passes that prepare and commit updates.
type Passes interface {
	// Request has a pass run soon.
	Request()
	// HandleCommitResult follows what became of an update that assigned some tasks: it requests the next
	// pass, and delays it where it would decide on the same outdated record.
	HandleCommitResult(result protocol.StoreResult, assignedTasks int)
}
