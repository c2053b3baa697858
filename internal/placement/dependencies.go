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

// Config holds the settings of a Scheduler, which do not change during its lifetime.
type Config struct {
	Node                  string   // name of this controller, whose partition the scheduler manages
	Controllers           []string // names of all controllers
	Objectives            []config.Objective
	MaxTxnOps             int // maximum number of operations in a transaction
	MaxValueBytes         int // maximum size of a stored value in bytes
	Backoff               scheduling.Backoff
	PlacementSilenceLimit monotime.Micros // a worker that is silent for longer gets no tasks
}

// Environment provides the clocks and the random number generator of a scheduler.
type Environment interface {
	Now() monotime.Micros // monotonic clock
	WallClock() int64     // time of day, microseconds
	// Rand returns the random number generator.
	Rand() *rand.Rand
}

// Membership reports which controllers are members.
type Membership interface {
	// HoldsLease reports whether this controller's lease is certain not to have expired yet.
	HoldsLease(now monotime.Micros) bool
	// IncarnationCompare returns the condition that this incarnation's member record is unchanged. ok is false
	// while a commit of an earlier incarnation with that condition may still change what the mirror shows.
	IncarnationCompare() (compare protocol.Compare, ok bool)
	// IsMember reports whether a controller is a member.
	IsMember(node string) bool
	// LiveControllers returns the controllers that are members, in the configured order.
	LiveControllers() []string
	// AbsentSince returns the time since which a controller that is not a member has been absent.
	AbsentSince(node string, now monotime.Micros) monotime.Micros
}

// Reachability reports which controllers can reach their workers.
type Reachability interface {
	// ConnectedControllers returns the live controllers that are not known to be cut off from their workers,
	// or all live controllers if all are cut off.
	ConnectedControllers() []string
	// IsCutOffFromWorkers reports whether a controller is known not to reach its workers.
	IsCutOffFromWorkers(node string, now monotime.Micros) bool
}

// Catalog provides the machine types.
type Catalog interface {
	// MachineTypes returns the machine types by name, or nil if they are not known yet.
	MachineTypes() map[string]protocol.MachineType
}

// Quota provides the teams' limits and this controller's shares of them.
type Quota interface {
	// Limits returns a team's limits; ok is false for a team that isn't configured.
	Limits(team string) (limits quota.Limits, ok bool)
	// RemainingQuota returns what this controller's share of a team's limit still allows for the team's tasks; infinite
	// for a resource without a limit.
	RemainingQuota(team string) resources.Vector
	// RecordShortage records that tasks wait because this controller's share of the team's limit is too small.
	RecordShortage(team string, unmet quota.UnmetDemand)
	// WriteInFlight reports whether a commit that changes this controller's shares is in flight.
	WriteInFlight() bool
}

// Agents provides the agents, which represent the workers of the machines.
type Agents interface {
	// Of returns the agent of a machine, or nil if the machine does not belong to this controller.
	Of(machine *mirror.Machine) *agents.Agent
	// SyncCommands sends the worker of a machine the commands that it has not received yet.
	SyncCommands(machine *mirror.Machine)
}

// Shards prepares and commits the updates of this controller's shards.
type Shards interface {
	// ShouldAwaitCommit reports whether the next pass should wait for a commit in flight.
	ShouldAwaitCommit(now monotime.Micros) bool
	// PrepareUpdates prepares the next versions of this controller's shards that have no commit in flight.
	PrepareUpdates(now monotime.Micros) []*shards.Update
	// AdmitClaimRequests adds machines with pending claims to the updates. It returns the updates, including
	// those of new shards.
	AdmitClaimRequests(updates []*shards.Update, now monotime.Micros) []*shards.Update
	// Commit writes the next version of a shard.
	Commit(update *shards.Update, now monotime.Micros)
	// TasksInDoubt returns the tasks that a commit without a known outcome may have assigned.
	TasksInDoubt() map[mirror.TaskID]bool
}

// Store reports the availability and the write limits of the state service.
type Store interface {
	// Unavailable reports whether the state service has recently failed to answer.
	Unavailable() bool
	// WatchInterval returns the shortest interval between two watch requests.
	WatchInterval() monotime.Micros
	// ShardWritesPerSecond returns how many shard writes per second this controller may submit.
	ShardWritesPerSecond() float64
	// NextWriteAllowedAt returns when this controller may submit the next write for a purpose, if all
	// controllers together may spend the given fraction of the state service's writes on that purpose.
	NextWriteAllowedAt(fraction float64) monotime.Micros
}

// Replica commits transactions and applies them to the mirror.
type Replica interface {
	// Commit submits a conditional transaction. On success, the mirror has the change before the callback is
	// called.
	Commit(priority ratelimit.Priority, txn protocol.Transaction, callback func(protocol.StoreResult))
}

// Drains reports what drains and disruption budgets reserve and protect.
type Drains interface {
	// ReservedByMachine returns, by machine, the resources reserved for replicas that drains move.
	ReservedByMachine() map[string]resources.Vector
	// ForEachReservation calls callback for every permit whose replica has not been placed again yet.
	ForEachReservation(callback func(*storage.Permit, *mirror.Job))
	// ProtectsFromPreemption reports whether a job's tasks must not be stopped to make room for others.
	ProtectsFromPreemption(job *mirror.Job) bool
	// TracksStart reports whether the shards record for a job's attempts that they are still starting.
	TracksStart(spec *storage.JobSpec) bool
}

// Peers reports what the other controllers have seen.
type Peers interface {
	// FailedMachines returns on how many machines of other controllers a job has failed.
	FailedMachines(job string) int
}

// RecordWrites tracks the jobs whose record this controller is changing.
type RecordWrites interface {
	// Contains reports whether a write of a job's record is in flight.
	Contains(job string) bool
	// Begin records that a write of a job's record is in flight.
	Begin(job string)
	// End records that the write of a job's record has ended.
	End(job string)
}

// ScaleIn tracks the empty machines that are closed to tasks because they are about to be removed.
type ScaleIn interface {
	// IsClosed reports whether a machine is closed to tasks that have room elsewhere.
	IsClosed(machine string) bool
	// Reopen reopens a machine because it gets a task.
	Reopen(machine string)
}

// Dependencies holds the other components of a controller that a scheduler uses.
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
