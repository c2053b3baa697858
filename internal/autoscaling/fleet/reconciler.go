package fleet

import (
	"fmt"
	"log/slog"

	"pipitgap/internal/autoscaling"
	"pipitgap/internal/config"
	"pipitgap/internal/durations"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
)

// Calls to the cloud.
const (
	cloudTimeout    = 4 * monotime.Second
	cloudRetryDelay = 1 * monotime.Second
)

// Environment has the clocks, and the calls that leave the process.
type Environment interface {
	Now() monotime.Micros // the steady clock
	WallClock() int64     // microseconds, as in the records
	// After calls back after a delay.
	After(monotime.Micros, func())
	// CallCloud makes a call of the cloud; the callback gets its result once.
	CallCloud(*protocol.CloudCall, func(protocol.CloudResult))
}

// Membership tells whether this controller is the leader.
type Membership interface {
	// IsLeader reports whether this controller leads.
	IsLeader(now monotime.Micros) bool
	// LeadershipCompare is the condition that holds only while this controller's term lasts.
	LeadershipCompare() protocol.Compare
}

// Store commits transactions to the state service.
type Store interface {
	// Unavailable reports whether the state service has lately not answered.
	Unavailable() bool
	// Commit applies a successful transaction to the mirror before it calls back.
	Commit(ratelimit.Priority, protocol.Transaction, func(protocol.StoreResult))
}

// Catalog has the machine types that the cloud offers.
type Catalog interface {
	// MachineTypes is nil until the types are known.
	MachineTypes() map[string]protocol.MachineType
	// IsFetched reports whether they are from the cloud itself, not from the records.
	IsFetched() bool
}

// Controllers tells which controllers can claim machines.
type Controllers interface {
	// Connected lists the live controllers that aren't known to be cut off from their workers.
	Connected() []string
	// Designated is the controller that is to claim a machine of a request.
	Designated(request *mirror.ScaleOutEntry, machineID string) string
}

// Workload provides what a pass plans for.
type Workload interface {
	// Snapshot is what demand and supply are read from.
	Snapshot(now monotime.Micros) *autoscaling.Snapshot
	// DemandAndSupply lists the tasks without room that the quotas let run, and the machines up or requested.
	DemandAndSupply(*autoscaling.Snapshot) ([]*autoscaling.Demand, []*autoscaling.Bin)
	// NoteTrialDemand is called for jobs whose demand of the pass is a trial, see autoscaling.Demand.
	NoteTrialDemand(jobID string, now monotime.Micros)
	// IsClosedByDrain reports whether a drain keeps an offer from being requested.
	IsClosedByDrain(autoscaling.Offer) bool
	// ZoneContacts has every zone with machines.
	ZoneContacts() map[string]ZoneContact
}

// ZoneContact is what is known of the contact with a zone's machines.
type ZoneContact struct {
	Machines, UnreachableMachines int
	Unreachable                   bool // the zone as a whole
}

// Dependencies are what a Reconciler needs of the controller it belongs to.
type Dependencies struct {
	Mirror      *mirror.Mirror
	Environment Environment
	Membership  Membership
	Store       Store
	Catalog     Catalog
	Controllers Controllers
	Workload    Workload
	CloudCalls  *ratelimit.TokenBucket // shared with the calls that fetch the catalog
	Log         *slog.Logger
}

// Config has the values that a Reconciler is made with.
type Config struct {
	Settings       config.Settings
	MaxValueBytes  int     // of a record
	ListLagSeconds float64 // how far the cloud's list may lag behind
}

// Reconciler reconciles the cloud's machines with the records while its controller is the leader. It is used
// by one goroutine.
type Reconciler struct {
	cfg  Config
	deps Dependencies
	term termState
}

// New makes a controller's reconciler.
func New(cfg Config, deps Dependencies) *Reconciler {
	return &Reconciler{cfg: cfg, deps: deps, term: newTermState(0, &cfg.Settings)}
}

// Reconcile takes the next steps, if this controller is the leader.
func (r *Reconciler) Reconcile(now monotime.Micros) {
	if !r.deps.Membership.IsLeader(now) || r.deps.Store.Unavailable() {
		return
	}
	if version := r.deps.Mirror.LeaderVersion; r.term.number != version {
		r.term = newTermState(version, &r.cfg.Settings)
	}
	r.persistCatalog()
	r.reconcileScaleIns(now)
	if now >= r.term.nextListAt && !r.term.listInFlight {
		r.startListing()
	}
	if !r.term.inventoryRebuilt {
		return
	}
	r.reconcileScaleOuts(now)
	if now >= r.term.nextPassAt {
		r.runPass(now)
		r.term.nextPassAt = durations.NextDue(now, r.now(), r.cfg.Settings.AutoscalingInterval.Micros())
	}
}

func (r *Reconciler) now() monotime.Micros { return r.deps.Environment.Now() }

// Commit commits a transaction on the condition that this controller is the leader, one at a time for each
// commitKey: while one is in flight, another is dropped. The callback, which may be nil, is called if the term
// still lasts.
func (r *Reconciler) Commit(
	priority ratelimit.Priority,
	commitKey string,
	txn protocol.Transaction,
	callback func(protocol.StoreResult),
) {
	if r.term.commitInFlight[commitKey] {
		return
	}
	r.term.commitInFlight[commitKey] = true
	term := r.term.number
	txn.If = append(txn.If, r.deps.Membership.LeadershipCompare())
	r.deps.Store.Commit(priority, txn, func(result protocol.StoreResult) {
		if term != r.term.number {
			return
		}
		delete(r.term.commitInFlight, commitKey)
		if callback != nil {
			callback(result)
		}
	})
}

// callCloud takes a token and makes a call. The callback is called if the term still lasts.
func (r *Reconciler) callCloud(call protocol.CloudCall, callback func(protocol.CloudResult)) {
	r.deps.CloudCalls.Take(1)
	call.Timeout = cloudTimeout
	term := r.term.number
	r.deps.Environment.CallCloud(&call, func(result protocol.CloudResult) {
		if term == r.term.number {
			callback(result)
		}
	})
}

// mayCallCloud reports whether the rate limit leaves a call.
func (r *Reconciler) mayCallCloud(now monotime.Micros) bool {
	return r.deps.CloudCalls.WaitTime(now, 1) == 0
}

// nextRequestName is a name that no other request has, of this term or of another.
func (r *Reconciler) nextRequestName() string {
	r.term.requestSequence++
	return fmt.Sprintf("%d-%d", r.term.number, r.term.requestSequence)
}
