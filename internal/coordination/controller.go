package coordination

import (
	"log/slog"
	"math/rand/v2"
	"sort"

	"pipitgap/internal/agents"
	"pipitgap/internal/api"
	"pipitgap/internal/autoscaling/scalein"
	"pipitgap/internal/cancellation"
	"pipitgap/internal/catalog"
	"pipitgap/internal/config"
	"pipitgap/internal/drain/drainer"
	"pipitgap/internal/durations"
	"pipitgap/internal/invariant"
	"pipitgap/internal/jobs"
	"pipitgap/internal/membership"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/peers"
	"pipitgap/internal/placement"
	"pipitgap/internal/protocol"
	"pipitgap/internal/quota/quotashares"
	"pipitgap/internal/reachability"
	"pipitgap/internal/shards"
	"pipitgap/internal/storage"
	"pipitgap/internal/storeclient"
)

// Environment provides the controller's clocks, randomness and connections to other processes. Every callback
// runs on the controller's goroutine, as a message from its mailbox or as a timer, never on another
// goroutine.
type Environment interface {
	Now() monotime.Micros // the monotonic clock
	WallClock() int64     // time of day in microseconds
	Rand() *rand.Rand     // injected random number generator
	// After calls the callback after a delay.
	After(monotime.Micros, func())
	// CallStore calls the state service. The callback receives the result exactly once.
	CallStore(*protocol.StoreCall, func(protocol.StoreResult))
	// CallCloud calls the cloud. The callback receives the result exactly once.
	CallCloud(*protocol.CloudCall, func(protocol.CloudResult))
	// SendCommands sends a request to the worker at an endpoint. A nil request only polls the worker for its
	// heartbeat.
	SendCommands(
		endpoint string,
		req *protocol.CommandRequest,
		timeout monotime.Micros,
		callback func(protocol.CommandResult),
	)
	// SendPeerStatus sends a status to another controller. Delivery is not guaranteed.
	SendPeerStatus(node string, status peers.Status)
}

// Controller is the actor that makes all decisions of one controller process. All of its methods run on a
// single goroutine: its own or, in tests, that of the test.
type Controller struct {
	cfg         *config.Config
	settings    config.Settings
	durations   durations.Platform // the platform's durations and values derived from them
	env         Environment
	log         *slog.Logger
	node        string
	incarnation uint64
	controllers []string // names of all controllers, including this one

	mirror *mirror.Mirror

	peerStatuses *peers.Table

	recordWritesInFlight recordWrites // records with a write in flight

	nextSlowTickAt monotime.Micros

	drains        *drainer.Drainer // nil if the settings do not enable drains
	counters      activityCounters
	invariants    *invariant.Recorder
	duplicates    reportedDuplicates
	store         *storeclient.Client
	replica       *mirror.Replica
	membership    *membership.Membership
	pauses        *reachability.PauseDetector
	reachability  *reachability.Reachability
	catalog       *catalog.Catalog
	shards        *shards.Manager
	agents        *agents.Manager
	cancellations *agents.Cancellations
	quota         *quotashares.Manager
	api           *api.Handler
	jobs          *jobs.Finisher
	scheduler     *placement.Scheduler
	autoscaler    *autoscaler
	scaleIn       *scalein.Reconciler
}

// NewController creates a controller and wires its components. Start starts it.
func NewController(
	cfg *config.Config,
	settings config.Settings,
	env Environment,
	log *slog.Logger,
) *Controller {
	c := &Controller{
		cfg: cfg, settings: settings, env: env, log: log, node: cfg.Node,
		incarnation:          env.Rand().Uint64()>>16 | 1,
		controllers:          controllerNames(cfg),
		durations:            durations.Derive(cfg.Facts.Workers),
		peerStatuses:         peers.NewTable(storeclient.WaitingUserCallsThreshold),
		recordWritesInFlight: recordWrites{},
	}
	c.invariants = invariant.NewRecorder(log)
	c.duplicates = reportedDuplicates{}
	c.mirror = mirror.New()
	c.store = newStoreClient(c)
	c.pauses = reachability.NewPauseDetector(log)
	c.replica = newReplica(c)
	c.membership = newMembership(c)
	c.reachability = newReachability(c)
	c.catalog = newCatalog(c)
	c.cancellations = newCancellations(c)
	c.agents = newAgentManager(c)
	c.mirror.Observe(c.onMirrorChange, c.agents.RemoveAgent)
	c.quota = newQuotaManager(c)
	c.api = newRequestHandler(c)
	c.jobs = newJobFinisher(c)
	c.autoscaler = newAutoscaler(c)
	c.drains = newDrainer(c)
	c.scaleIn = newScaleIn(c)
	c.shards = newShardManager(c)
	c.scheduler = newScheduler(c)
	return c
}

// controllerNames returns the names of all controllers of the deployment, including this one, in ascending
// order.
func controllerNames(cfg *config.Config) []string {
	names := []string{cfg.Node}
	for _, peer := range cfg.Peers {
		names = append(names, peer.Node)
	}
	sort.Strings(names)
	return names
}

// Start logs warnings about unsupported platform durations, requests the membership lease, loads the mirror
// and the catalog, and starts the periodic ticks.
func (c *Controller) Start() {
	c.log.Info("controller starting", "node", c.node, "incarnation", c.incarnation)
	for _, warning := range c.durations.Warnings() {
		c.log.Warn("platform durations not covered",
			"field", warning.Field, "consequence", warning.Consequence)
	}
	c.membership.RequestLease()
	c.replica.Load()
	c.catalog.Fetch()
	c.tick()
}

// bytesPerKB is the number of bytes in a kilobyte by the platform's definition.
const bytesPerKB = 1024

// maxValueBytes returns the maximum size of a value in the state service.
func (c *Controller) maxValueBytes() int { return int(c.cfg.Facts.State.ValueKB * bytesPerKB) }

func (c *Controller) now() monotime.Micros { return c.env.Now() }

// mirrorStale reports whether the process was paused a moment ago and the mirror has not been updated since.
// Shards that such a mirror shows as owned by this controller may belong to other controllers by now.
func (c *Controller) mirrorStale(now monotime.Micros) bool {
	return c.pauses.IsStale(c.replica.FreshAt(), now)
}

// tick runs all work that is not a reaction to a message, and schedules the next tick.
func (c *Controller) tick() {
	now := c.now()
	c.pauses.DetectPause(now)
	c.runFastTick(now)
	if now >= c.nextSlowTickAt {
		c.runSlowTick(now)
		c.nextSlowTickAt = durations.NextDue(now, c.now(), durations.SlowTickInterval)
	}
	c.env.After(durations.FastTickInterval, c.tick)
}

// runFastTick does the work that must not be delayed: it renews the lease, maintains the watch and runs a
// scheduling pass if one is due.
func (c *Controller) runFastTick(now monotime.Micros) {
	c.membership.RenewLease(now)
	c.replica.MaintainWatch(now)
	if !c.replica.Ready() || c.mirrorStale(now) {
		return
	}
	if c.scheduler.PassDue(now) {
		c.scheduler.RunPass(now)
		c.scheduler.DelayPassUntil(durations.NextDue(now, c.now(), 2*durations.FastTickInterval))
	}
}

// runSlowTick does all other periodic work. The order is fixed, because each component sees the changes that
// the components before it have made.
func (c *Controller) runSlowTick(now monotime.Micros) {
	c.store.UpdateAvailability(now)
	c.sendPeerStatus(now)
	c.catalog.Refresh(now)
	if !c.replica.Ready() || c.mirrorStale(now) {
		return
	}
	c.store.UpdateBudget(len(c.membership.LiveControllers()))
	c.membership.EnsureMemberRecord()
	c.membership.Campaign(now)
	c.shards.ClaimOrphaned(now)
	c.quota.ReleaseDeparted(now)
	c.agents.CheckMachines(now)
	c.drains.Reconcile(now)
	c.quota.Adjust(now)
	c.jobs.Reconcile()
	c.scheduler.RequestPass()
	c.scaleIn.Reconcile(now)
	c.autoscaler.fleet.Reconcile(now)
}

// onMirrorChange notifies the components that a change of the mirror affects.
func (c *Controller) onMirrorChange(kind storage.Kind, name string, ownCommit bool) {
	switch kind {
	case storage.KindOpenJob:
		c.scheduler.RequestPass()
		job := c.mirror.Jobs[name]
		if job == nil {
			c.scheduler.ForgetJob(name)
			c.cancellations.Forget(name)
			return
		}
		c.cancellations.ApplyTo(job)
		c.scheduler.RecordJobChange(name)
	case storage.KindJobResult:
		c.cancellations.Record(c.mirror.Jobs[name], sourceOfChange(ownCommit))
		if job := c.mirror.Jobs[name]; job != nil && job.AssignedTasks > 0 {
			c.scheduler.RecordFinalResultSeen(name)
			c.agents.SyncCommandsOfJob(job) // sends a cancellation to the workers immediately
		}
	case storage.KindShard:
		c.scheduler.RequestPass()
		c.shards.HandleShardChange(name)
		c.checkSingleAttempts(name)
	case storage.KindScaleOut, storage.KindScaleIn, storage.KindDrain, storage.KindPermits:
		c.scheduler.RequestPass()
	case storage.KindMember:
		c.membership.HandleMemberChange(name)
	}
}

// sourceOfChange returns how a cancellation in a changed record of the mirror became known.
func sourceOfChange(ownCommit bool) cancellation.Source {
	if ownCommit {
		return cancellation.SourceOwnCommit
	}
	return cancellation.SourceWatch
}
