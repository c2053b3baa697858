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

// Timeout and retry delay of calls to the cloud.
const (
	cloudTimeout    = 4 * monotime.Second
	cloudRetryDelay = 1 * monotime.Second
)

// Environment provides the clocks and the calls that leave the process.
type Environment interface {
	Now() monotime.Micros // monotonic clock
	WallClock() int64     // time of day in microseconds, as in the records
	// After calls the function once after the delay.
	After(monotime.Micros, func())
	// CallCloud makes a call to the cloud, and calls the callback once with the result.
	CallCloud(*protocol.CloudCall, func(protocol.CloudResult))
}

// Membership provides the leadership state of this controller.
type Membership interface {
	// IsLeader reports whether this controller is the leader.
	IsLeader(now monotime.Micros) bool
	// LeadershipCompare returns the compare condition of a transaction that holds only during this
	// controller's term.
	LeadershipCompare() protocol.Compare
}

// Store commits transactions to the state service.
type Store interface {
	// Unavailable reports whether the state service has recently failed to answer.
	Unavailable() bool
	// Commit applies a successful transaction to the mirror before it calls the callback.
	Commit(ratelimit.Priority, protocol.Transaction, func(protocol.StoreResult))
}

// Catalog provides the machine types that the cloud offers.
type Catalog interface {
	// MachineTypes returns the machine types by name, or nil until they are known.
	MachineTypes() map[string]protocol.MachineType
	// IsFetched reports whether the cloud has returned machine types. If none of those was usable, MachineTypes
	// still returns the previous types, which may be from the records.
	IsFetched() bool
}

// Controllers provides the controllers that can claim machines.
type Controllers interface {
	// Connected lists the live controllers that aren't known to be cut off from their workers.
	Connected() []string
	// DesignatedController returns the controller that may claim a machine of a scale-out request.
	DesignatedController(request *mirror.ScaleOutEntry, machineID string) string
}

// Workload provides the demand and supply of an autoscaler pass.
type Workload interface {
	// Snapshot returns the state from which demand and supply are computed.
	Snapshot(now monotime.Micros) *autoscaling.Snapshot
	// DemandAndSupply lists the unplaced tasks within their teams' quotas, and the machines up or requested.
	DemandAndSupply(*autoscaling.Snapshot) ([]*autoscaling.Demand, []*autoscaling.Bin)
	// RecordTrialDemand records that a pass plans for a trial task of a crash-looping job, see
	// autoscaling.Demand.CrashLoopTrial.
	RecordTrialDemand(jobID string, now monotime.Micros)
	// IsClosedByDrain reports whether a drain forbids requesting an offer.
	IsClosedByDrain(autoscaling.Offer) bool
	// ZoneReachabilities returns the reachability of every zone that has machines, by zone.
	ZoneReachabilities() map[string]ZoneReachability
}

// ZoneReachability is the reachability of a zone's machines.
type ZoneReachability struct {
	Machines, UnreachableMachines int
	Unreachable                   bool // the zone counts as unreachable as a whole
}

// Dependencies are the parts of a controller that its Reconciler uses.
type Dependencies struct {
	Mirror      *mirror.Mirror
	Environment Environment
	Membership  Membership
	Store       Store
	Catalog     Catalog
	Controllers Controllers
	Workload    Workload
	CloudCalls  *ratelimit.TokenBucket // rate limit, shared with the calls that fetch the catalog
	Log         *slog.Logger
}

// Config is the configuration of a Reconciler.
type Config struct {
	Settings       config.Settings
	MaxValueBytes  int     // size limit of a record
	ListLagSeconds float64 // maximum lag of the cloud's machine list
}

// Reconciler reconciles the cloud's machines with the records while its controller is the leader. It must be
// used by one goroutine only.
type Reconciler struct {
	cfg  Config
	deps Dependencies
	term termState
}

// New returns a controller's reconciler.
func New(cfg Config, deps Dependencies) *Reconciler {
	return &Reconciler{cfg: cfg, deps: deps, term: newTermState(0, &cfg.Settings)}
}

// Reconcile runs the reconciliation steps that are due, if this controller is the leader and the state
// service answers.
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

// Commit commits a transaction on the condition that this controller is still the leader. Only one commit per
// commitKey is in flight at a time: Commit drops a transaction whose commitKey is in use. It calls the
// callback, which may be nil, unless the term has ended before the result arrives.
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

// callCloud takes a token from the rate limit and makes a call. It calls the callback unless the term has
// ended before the result arrives.
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

// mayCallCloud reports whether the rate limit allows a call now.
func (r *Reconciler) mayCallCloud(now monotime.Micros) bool {
	return r.deps.CloudCalls.WaitTime(now, 1) == 0
}

// nextRequestName returns a request name that is unique across all terms.
func (r *Reconciler) nextRequestName() string {
	r.term.requestSequence++
	return fmt.Sprintf("%d-%d", r.term.number, r.term.requestSequence)
}
