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

// Bounds of what drains cost.
const (
	// PermitWriteFraction is the part of the state service's changes that all controllers together
	// spend on permits.
	PermitWriteFraction = 0.1
	// spareWriteFraction is the part of a controller's burst of changes that must be unused for it to
	// begin moves.
	spareWriteFraction = 0.7
	// drainRetention is how long the record of a drain that has ended is kept.
	drainRetention = 24 * 60 * monotime.Minute
)

// Clock has the time.
type Clock interface {
	Now() monotime.Micros // the steady clock
	WallClock() int64     // microseconds, as in the records
}

// Membership tells which controllers are members of the cluster, and which is the leader.
type Membership interface {
	// HoldsLease reports whether this controller's own lease can't have expired yet.
	HoldsLease(now monotime.Micros) bool
	// IsLeader reports whether this controller leads.
	IsLeader(now monotime.Micros) bool
	// IsMember reports whether a controller is a member.
	IsMember(node string) bool
	// LiveControllers lists the controllers that are members, in order.
	LiveControllers() []string
}

// Store commits transactions to the state service, and tells what its rate limits leave.
type Store interface {
	// Unavailable reports whether the state service has lately not answered.
	Unavailable() bool
	// IsMirrorStale reports whether the mirror lacks changes that are too old for decisions on drains.
	IsMirrorStale(now monotime.Micros) bool
	// UserCallsWaiting reports whether calls of users wait, here or at another controller.
	UserCallsWaiting(now monotime.Micros) bool
	// HasSpareWrites reports whether a part of this controller's burst of changes is unused.
	HasSpareWrites(now monotime.Micros, fraction float64) bool
	// NextWriteAllowedAt is when the next change may be made by what takes a part of all changes.
	NextWriteAllowedAt(fraction float64) monotime.Micros
	// Commit applies a successful transaction to the mirror before it calls back.
	Commit(ratelimit.Priority, protocol.Transaction, func(protocol.StoreResult))
	// CommitAsLeader commits while this controller is the leader, one transaction at a time for a key.
	CommitAsLeader(ratelimit.Priority, string, protocol.Transaction, func(protocol.StoreResult))
	// MaxValueBytes bounds the size of a record.
	MaxValueBytes() int
}

// Agents has the agents of own machines.
type Agents interface {
	// Of is nil for a machine that isn't this controller's.
	Of(*mirror.Machine) *agents.Agent
	// SyncCommands sends an agent the commands that its state requires.
	SyncCommands(*mirror.Machine)
}

// Jobs answers what the scheduler knows of jobs.
type Jobs interface {
	// IsCrashLooping reports whether a job fails wherever it runs.
	IsCrashLooping(*mirror.Job) bool
	// ExpectedRunSeconds is the expected run of a task.
	ExpectedRunSeconds(*storage.JobSpec) float64
	// ZoneConstraint is a job's rule on zones as its tasks stand now; each call gives one of its own.
	ZoneConstraint(*mirror.Job) autoscaling.ZoneConstraint
	// AssignmentShardBytes is the size up to which a shard takes assignments, which bounds a record of
	// permits too.
	AssignmentShardBytes() int
}

// Machines answers what the cloud's machine types and the settings say of machines.
type Machines interface {
	// MachineTypes is nil until the types are known.
	MachineTypes() map[string]protocol.MachineType
	// ScaleInDelay is how long an empty machine is kept.
	ScaleInDelay(*storage.ShardMachine) monotime.Micros
}

// Dependencies are what a Drainer needs of the controller it belongs to.
type Dependencies struct {
	Mirror     *mirror.Mirror
	Clock      Clock
	Membership Membership
	Store      Store
	Agents     Agents
	Jobs       Jobs
	Machines   Machines
	// NotePermitWrite is called for every commit of permits.
	NotePermitWrite func()
	Log             *slog.Logger
}

// Drainer carries out on one controller what package drain decides. It is used by one goroutine.
type Drainer struct {
	node     string
	settings *config.DrainSettings
	policy   *drain.Policy
	deps     Dependencies

	nextRunAt            monotime.Micros
	nextPermitWriteAt    monotime.Micros            // when a change may be spent on permits again
	permitCommitInFlight map[string]bool            // teams whose permits have a commit in flight
	evictingSince        map[string]monotime.Micros // own machines whose array tasks are being stopped
	replacementDemand    []*autoscaling.Demand      // what the leader requests machines for
	lossCounts           map[LossCause]int          // replicas lost outside of permits
	lossesLoggedAt       monotime.Micros
}

// New makes the drainer of a controller; it is nil without settings.
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
		evictingSince:        map[string]monotime.Micros{},
		lossCounts:           map[LossCause]int{},
	}
}

// Reconcile takes the next steps of all drains. It decides on a fresh mirror only: what has been lost since
// an old one was read would not be counted.
func (d *Drainer) Reconcile(now monotime.Micros) {
	if d == nil || now < d.nextRunAt || !d.HasWork() || !d.canDecide(now) {
		return
	}
	snapshot := d.Snapshot()
	decision := d.policy.Decide(snapshot, d.controller())
	for _, permit := range decision.Stop {
		d.stopReplica(permit)
	}
	if !d.hasSpareWrites(now) {
		clear(decision.Granted)
		decision.StopArrays = nil
	}
	d.evictWithoutPermits(decision.StopArrays, now)
	d.writePermits(decision, now)
	d.replacementDemand = d.computeReplacementDemand(snapshot)
	if d.deps.Membership.IsLeader(now) {
		d.updateDrainStates(snapshot)
	}
	d.nextRunAt = durations.NextDue(now, d.deps.Clock.Now(), durations.SlowTickInterval)
}

// canDecide reports whether the records are complete and fresh, and the changes could be committed.
func (d *Drainer) canDecide(now monotime.Micros) bool {
	return !d.deps.Store.Unavailable() && d.deps.Machines.MachineTypes() != nil &&
		d.deps.Membership.HoldsLease(now) && !d.deps.Store.IsMirrorStale(now)
}

// HasWork reports whether there is anything to do for drains. If not, it drops what was known for them.
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

// Decide is the decision on drains as the records stand now. Nothing of it is carried out.
func (d *Drainer) Decide() *drain.Decision { return d.policy.Decide(d.Snapshot(), d.controller()) }

// controller is what a decision must know of this controller.
func (d *Drainer) controller() *drain.Controller {
	controllers := d.deps.Membership.LiveControllers()
	return &drain.Controller{
		Node: d.node,
		Live: d.deps.Membership.IsMember,
		Responsible: func(team string) bool {
			return membership.RendezvousOwner(string(storage.KindPermits)+"/"+team, controllers) == d.node
		},
		RecordBytes: d.deps.Jobs.AssignmentShardBytes(),
	}
}
