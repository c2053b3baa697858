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
	Rand() *rand.Rand
}

// Membership tells which controllers are there.
type Membership interface {
	HoldsLease(now monotime.Micros) bool
	IsMember(node string) bool
	LiveControllers() []string
	AbsentSince(node string, now monotime.Micros) monotime.Micros
}

// Reachability tells who is in reach.
type Reachability interface {
	ConnectedControllers() []string
	IsCutOffFromWorkers(node string, now monotime.Micros) bool
}

// Catalog has the machine types; nil until they are known.
type Catalog interface {
	MachineTypes() map[string]protocol.MachineType
}

// Quota has the teams' limits and this controller's shares of them.
type Quota interface {
	Limits(team string) (limits quota.Limits, ok bool)
	Left(team string) resources.Vector
	NoteShortage(team string, unmet quota.UnmetDemand)
	WriteInFlight() bool
}

// Agents are the workers of the machines.
type Agents interface {
	Of(machine *mirror.Machine) *agents.Agent
	SyncCommands(machine *mirror.Machine)
}

// Shards prepares and commits the updates of this controller's shards.
type Shards interface {
	AwaitsCommit(now monotime.Micros) bool
	PrepareUpdates(now monotime.Micros) []*shards.Update
	AdmitClaimRequests(updates []*shards.Update, now monotime.Micros) []*shards.Update
	Commit(update *shards.Update, now monotime.Micros)
	TasksInDoubt() map[mirror.TaskID]bool
}

// Store tells what the state service takes.
type Store interface {
	Unavailable() bool
	WatchInterval() monotime.Micros
	ShardWritesPerSecond() float64
	// NextWriteAllowedAt is when the next write may be spent if all controllers together may spend a fraction
	// of the state service's writes on its purpose.
	NextWriteAllowedAt(fraction float64) monotime.Micros
}

// Replica commits transactions and applies them to the mirror.
type Replica interface {
	Commit(priority ratelimit.Priority, txn protocol.Transaction, callback func(protocol.StoreResult))
}

// Drains tells what drains and disruption budgets reserve and protect.
type Drains interface {
	ReservedByMachine() map[string]resources.Vector
	ForEachReservation(callback func(*storage.Permit, *mirror.Job))
	ProtectsFromPreemption(job *mirror.Job) bool
	TracksStart(spec *storage.JobSpec) bool
}

// Peers tells what the other controllers have seen.
type Peers interface {
	FailedMachines(job string) int
}

// RecordWrites are the jobs with a change of their record in flight.
type RecordWrites interface {
	Contains(job string) bool
	Begin(job string)
	End(job string)
}

// ScaleIn knows the empty machines that are closed to tasks because they are about to be removed.
type ScaleIn interface {
	IsClosed(machine string) bool
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
