package drainer

import (
	"log/slog"

	"pipitgap/internal/agents"
	"pipitgap/internal/autoscaling"
	"pipitgap/internal/config"
	"pipitgap/internal/drain"
	"pipitgap/internal/durations"
	"pipitgap/internal/membership"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/storage"
)

// Limits on the writes and records of drains.
const (
	// PermitWriteFraction is the fraction of the state service's write rate limit that all controllers
	// together may use for permits.
	PermitWriteFraction = 0.1
	// spareWriteFraction is the fraction of a controller's write burst that must be unused before it begins
	// moves.
	spareWriteFraction = 0.7
	// drainRetention is how long the record of a drain is kept after the drain has ended.
	drainRetention = 24 * 60 * monotime.Minute
)

// Clock provides the time.
type Clock interface {
	Now() monotime.Micros // monotonic clock
	WallClock() int64     // wall clock in microseconds, as in the records
}

// Membership reports which controllers are members of the cluster, and which one is the leader.
type Membership interface {
	// HoldsLease reports whether it is certain that this controller's lease hasn't expired.
	HoldsLease(now monotime.Micros) bool
	// IsLeader reports whether this controller is the leader.
	IsLeader(now monotime.Micros) bool
	// IsMember reports whether a controller is a member.
	IsMember(node string) bool
	// LiveControllers lists the controllers that are members, in the order of the deployment.
	LiveControllers() []string
}

// Store commits transactions to the state service, and reports how much of its rate limits is unused.
type Store interface {
	// Unavailable reports whether the state service hasn't answered recently.
	Unavailable() bool
	// IsMirrorStale reports whether the mirror may be too old for decisions on drains.
	IsMirrorStale(now monotime.Micros) bool
	// UserCallsWaiting reports whether so many calls of users wait, at this controller or at another, that
	// other work must yield to them.
	UserCallsWaiting(now monotime.Micros) bool
	// HasSpareWrites reports whether at least a fraction of this controller's write burst is unused.
	HasSpareWrites(now monotime.Micros, fraction float64) bool
	// NextWriteAllowedAt returns when the next write for some work is allowed, if all controllers together
	// may spend a fraction of the state service's writes on that work.
	NextWriteAllowedAt(fraction float64) monotime.Micros
	// Commit commits a transaction. It applies a successful one to the mirror before it calls the callback.
	Commit(ratelimit.Priority, protocol.Transaction, func(protocol.StoreResult))
	// CommitAsLeader commits a transaction only while this controller is the leader, and only one at a time
	// for each key.
	CommitAsLeader(ratelimit.Priority, string, protocol.Transaction, func(protocol.StoreResult))
	// MaxValueBytes returns the maximum size of a record.
	MaxValueBytes() int
}

// Agents provides the agents of this controller's machines.
type Agents interface {
	// Of returns the agent of a machine, nil if the machine isn't this controller's.
	Of(*mirror.Machine) *agents.Agent
	// SyncCommands sends an agent the commands that its state requires.
	SyncCommands(*mirror.Machine)
}

// Jobs provides what the scheduler knows about jobs.
type Jobs interface {
	// IsCrashLooping reports whether a job fails wherever it runs.
	IsCrashLooping(*mirror.Job) bool
	// ExpectedRunSeconds returns the expected run time of a task.
	ExpectedRunSeconds(*storage.JobSpec) float64
	// ZoneConstraint returns a job's zone rule, given where its tasks are now. Each call returns a new value.
	ZoneConstraint(*mirror.Job) autoscaling.ZoneConstraint
	// AssignmentShardBytes returns the limit in bytes up to which assignments may fill a shard. It is also the
	// maximum size of a record of permits.
	AssignmentShardBytes() int
}

// Machines provides the cloud's machine types and the settings of machines.
type Machines interface {
	// MachineTypes returns nil until the types are known.
	MachineTypes() map[string]protocol.MachineType
	// ScaleInDelay returns how long an empty machine is kept.
	ScaleInDelay(*storage.ShardMachine) monotime.Micros
}

// Dependencies are what a Drainer needs from its controller.
type Dependencies struct {
	Mirror     *mirror.Mirror
	Clock      Clock
	Membership Membership
	Store      Store
	Agents     Agents
	Jobs       Jobs
	Machines   Machines
	// NotePermitWrite is called after every successful commit of permits.
	NotePermitWrite func()
	Log             *slog.Logger
}

// Drainer carries out the decisions of package drain on one controller. Only one goroutine may use it.
type Drainer struct {
	node     string
	settings *config.DrainSettings
	policy   *drain.Policy
	deps     Dependencies

	nextRunAt            monotime.Micros
	nextPermitWriteAt    monotime.Micros             // when the next commit of permits is allowed
	permitCommitInFlight map[string]bool             // teams with a commit of permits in flight
	removals             map[string][]*permitRemoval // by team, those in doubt
	evictingSince        map[string]monotime.Micros  // machines of this controller whose array tasks are being stopped
	replacementDemand    []*autoscaling.Demand       // replicas for which the leader requests machines
	lossCounts           map[LossCause]int           // replicas lost without a permit, by cause
	lossesLoggedAt       monotime.Micros
}

// New returns the drainer of a controller, nil without settings.
func New(node string, settings *config.DrainSettings, deps Dependencies) *Drainer {
	if settings == nil {
		return nil
	}
	return &Drainer{
		node:                 node,
		settings:             settings,
		policy:               drain.NewPolicy(settings),
		deps:                 deps,
		permitCommitInFlight: map[string]bool{},
		removals:             map[string][]*permitRemoval{},
		evictingSince:        map[string]monotime.Micros{},
		lossCounts:           map[LossCause]int{},
	}
}

// Reconcile takes the next steps of all drains. It decides only on a fresh mirror, because a stale mirror
// doesn't show the replicas that were lost since it was read.
func (d *Drainer) Reconcile(now monotime.Micros) {
	if d == nil || now < d.nextRunAt || !d.HasWork() || !d.canDecide(now) {
		return
	}
	snapshot := d.Snapshot()
	decision := d.policy.Decide(snapshot, d.controller())
	d.usePermits(decision.Stop)
	if !d.hasSpareWrites(now) {
		clear(decision.Granted)
		decision.EvictWithoutPermits = nil
	}
	d.evictWithoutPermits(decision.EvictWithoutPermits, now)
	d.writePermits(decision, now)
	d.replacementDemand = d.computeReplacementDemand(snapshot)
	if d.deps.Membership.IsLeader(now) {
		d.updateDrainStates(snapshot)
	}
	d.nextRunAt = durations.NextDue(now, d.deps.Clock.Now(), durations.SlowTickInterval)
}

// canDecide reports whether the records are complete and fresh, and the resulting writes could be committed.
func (d *Drainer) canDecide(now monotime.Micros) bool {
	return !d.deps.Store.Unavailable() && d.deps.Machines.MachineTypes() != nil &&
		d.deps.Membership.HoldsLease(now) && !d.deps.Store.IsMirrorStale(now)
}

// HasWork reports whether any drain or permit needs work. If not, it clears the
// replacement demand and the eviction times.
func (d *Drainer) HasWork() bool {
	if d == nil {
		return false
	}
	wall := d.deps.Clock.WallClock()
	for _, entry := range d.deps.Mirror.Drains {
		if entry.Record.State.Unfinished() || wall-entry.Record.EndedAt > int64(drainRetention) {
			return true
		}
	}
	for _, entry := range d.deps.Mirror.PermitsByTeam {
		if len(entry.Record.Permits) > 0 {
			return true
		}
	}
	d.replacementDemand = nil
	clear(d.evictingSince)
	return false
}

// Decide returns the decision on all drains for the current records. It doesn't carry the decision out.
func (d *Drainer) Decide() *drain.Decision { return d.policy.Decide(d.Snapshot(), d.controller()) }

// controller returns the description of this controller that package drain needs for a decision.
func (d *Drainer) controller() *drain.Controller {
	controllers := d.deps.Membership.LiveControllers()
	return &drain.Controller{
		Node: d.node,
		Live: d.deps.Membership.IsMember,
		Responsible: func(team string) bool {
			return membership.RendezvousOwner(string(storage.KindPermits)+"/"+team, controllers) == d.node
		},
		MaxRecordBytes: d.deps.Jobs.AssignmentShardBytes(),
	}
}
