package placement

import (
	"log/slog"
	"math/rand/v2"

	"pipitgap/internal/agents"
	"pipitgap/internal/config"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/quota"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/resources"
	"pipitgap/internal/scheduling"
	"pipitgap/internal/shards"
	"pipitgap/internal/storage"
)

// Config is what doesn't change while a scheduler lives.
type Config struct {
	Node                  string   // this controller, whose partition is scheduled
	Controllers           []string // all controllers
	Objectives            []config.Objective
	MaxTxnOps             int // operations of a transaction
	MaxValueBytes         int // bytes of a stored value
	Backoff               scheduling.Backoff
	PlacementSilenceLimit monotime.Micros // how long a worker may be silent and still get tasks
}

// Environment is the clocks and the randomness of a scheduler.
type Environment interface {
	Now() monotime.Micros // the steady clock
	WallClock() int64     // time of day, microseconds
	// Rand is the source of randomness.
	Rand() *rand.Rand
}

// Membership tells which controllers are there.
type Membership interface {
	// HoldsLease reports whether this controller's own lease can't have expired yet.
	HoldsLease(now monotime.Micros) bool
	// IsMember reports whether a controller is a member.
	IsMember(node string) bool
	// LiveControllers lists the controllers that are members, in order.
	LiveControllers() []string
	// AbsentSince is since when a controller that is no member has been missing.
	AbsentSince(node string, now monotime.Micros) monotime.Micros
}

// Reachability tells who is in reach.
type Reachability interface {
	// ConnectedControllers lists the live controllers that aren't known to be cut off from their workers.
	ConnectedControllers() []string
	// IsCutOffFromWorkers reports whether a controller is known not to reach its workers.
	IsCutOffFromWorkers(node string, now monotime.Micros) bool
}

// Catalog has the machine types; nil until they are known.
type Catalog interface {
	// MachineTypes are the types by name.
	MachineTypes() map[string]protocol.MachineType
}

// Quota has the teams' limits and this controller's shares of them.
type Quota interface {
	// Limits returns a team's limits; ok is false for a team that isn't configured.
	Limits(team string) (limits quota.Limits, ok bool)
	// Left is what this controller may still assign to a team's tasks; infinite without a limit.
	Left(team string) resources.Vector
	// NoteShortage notes that the share of a team's limit keeps tasks waiting.
	NoteShortage(team string, unmet quota.UnmetDemand)
	// WriteInFlight reports whether a commit is in flight that changes this controller's shares.
	WriteInFlight() bool
}

// Agents are the workers of the machines.
type Agents interface {
	// Of returns the agent of a machine; nil if the machine isn't this controller's.
	Of(machine *mirror.Machine) *agents.Agent
	// SyncCommands sends a machine the commands that it lacks.
	SyncCommands(machine *mirror.Machine)
}

// Shards prepares and commits the updates of this controller's shards.
type Shards interface {
	// AwaitsCommit reports whether a pass should wait for a commit in flight.
	AwaitsCommit(now monotime.Micros) bool
	// PrepareUpdates prepares the next versions of all own shards without a commit in flight.
	PrepareUpdates(now monotime.Micros) []*shards.Update
	// AdmitClaimRequests puts machines that wait to be claimed into the updates.
	AdmitClaimRequests(updates []*shards.Update, now monotime.Micros) []*shards.Update
	// Commit writes the next version of a shard.
	Commit(update *shards.Update, now monotime.Micros)
	// TasksInDoubt lists the tasks that a commit without an outcome may have assigned.
	TasksInDoubt() map[mirror.TaskID]bool
}

// Store tells what the state service takes.
type Store interface {
	// Unavailable reports whether the state service has lately not answered.
	Unavailable() bool
	// WatchInterval is the shortest interval between two watches.
	WatchInterval() monotime.Micros
	// ShardWritesPerSecond is how many shards a second this controller may write.
	ShardWritesPerSecond() float64
	// NextWriteAllowedAt is when the next write may be spent if all controllers together may spend a fraction
	// of the state service's writes on its purpose.
	NextWriteAllowedAt(fraction float64) monotime.Micros
}

// Replica commits transactions and applies them to the mirror.
type Replica interface {
	// Commit makes a conditional change; on success it is in the mirror before the callback is called.
	Commit(priority ratelimit.Priority, txn protocol.Transaction, callback func(protocol.StoreResult))
}

// Drains tells what drains and disruption budgets reserve and protect.
type Drains interface {
	// ReservedByMachine is what is reserved for replicas that are moved.
	ReservedByMachine() map[string]resources.Vector
	// ForEachReservation calls back for every permit whose replica isn't placed anew yet.
	ForEachReservation(callback func(*storage.Permit, *mirror.Job))
	// ProtectsFromPreemption reports whether a job's tasks aren't stopped to make room for others.
	ProtectsFromPreemption(job *mirror.Job) bool
	// TracksStart reports whether it is recorded of a job's attempts whether they run.
	TracksStart(spec *storage.JobSpec) bool
}

// Peers tells what the other controllers have seen.
type Peers interface {
	// FailedMachines counts on how many machines of other controllers a job has failed.
	FailedMachines(job string) int
}

// RecordWrites are the jobs with a change of their record in flight.
type RecordWrites interface {
	// Contains reports whether a change of a record is in flight.
	Contains(job string) bool
	// Begin marks a record as being changed.
	Begin(job string)
	// End takes the mark off.
	End(job string)
}

// ScaleIn knows the empty machines that are closed to tasks because they are about to be removed.
type ScaleIn interface {
	// IsClosed reports whether a machine is closed to tasks that have room elsewhere.
	IsClosed(machine string) bool
	// Reopen opens a machine that gets a task.
	Reopen(machine string)
}

// Dependencies are the other subjects of a controller that a scheduler needs.
type Dependencies struct {
	Mirror       *mirror.Mirror
	Environment  Environment
	Membership   Membership
	Reachability Reachability
	Catalog      Catalog
	Quota        Quota
	Agents       Agents
	Shards       Shards
	Store        Store
	Replica      Replica
	Drains       Drains
	Peers        Peers
	RecordWrites RecordWrites
	ScaleIn      ScaleIn
	Log          *slog.Logger
}
