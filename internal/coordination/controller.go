package coordination

import (
	"log/slog"
	"math/rand/v2"
	"sort"

	"pipitgap/internal/agents"
	"pipitgap/internal/api"
	"pipitgap/internal/autoscaling/scalein"
	"pipitgap/internal/catalog"
	"pipitgap/internal/config"
	"pipitgap/internal/drain/drainer"
	"pipitgap/internal/durations"
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

// Environment is the outside world as the controller sees it. Every callback comes back as a message to the
// controller's mailbox, never on another goroutine.
type Environment interface {
	Now() monotime.Micros // the steady clock
	WallClock() int64     // time of day, microseconds
	Rand() *rand.Rand     // injected randomness
	// After calls back after a delay.
	After(monotime.Micros, func())
	// CallStore makes a call of the state service; the callback gets its result once.
	CallStore(*protocol.StoreCall, func(protocol.StoreResult))
	// CallCloud makes a call of the cloud; the callback gets its result once.
	CallCloud(*protocol.CloudCall, func(protocol.CloudResult))
	// SendCommands sends a request to the worker at an endpoint; nil only requests its report.
	SendCommands(
		endpoint string,
		req *protocol.CommandRequest,
		timeout monotime.Micros,
		callback func(protocol.CommandResult),
	)
	// SendPeerStatus sends a status to another controller; it may be lost.
	SendPeerStatus(node string, status peers.Status)
}

// Controller is the actor that decides. All of its methods run on its own goroutine
// (or, in tests, on the test's).
type Controller struct {
	cfg         *config.Config
	settings    config.Settings
	durations   durations.Platform // what follows from the platform's durations
	env         Environment
	log         *slog.Logger
	node        string
	incarnation uint64
	controllers []string // names of all controllers, this one included

	mirror *mirror.Mirror

	peerStatuses *peers.Table

	recordWritesInFlight recordWrites // jobs with a change of their record in flight

	nextSlowTickAt monotime.Micros

	drains        *drainer.Drainer // nil: the settings don't turn them on
	counters      activityCounters
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

// NewController makes the actor's state.
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
	c.mirror = mirror.New()
	c.store = newStoreClient(c)
	c.pauses = reachability.NewPauseDetector(log)
	c.replica = newReplica(c)
	c.membership = newMembership(c)
	c.reachability = newReachability(c)
	c.catalog = newCatalog(c)
	c.cancellations = newCancellations(c)
	c.agents = newAgentManager(c)
	c.mirror.Observe(c.onMirrorChange, c.agents.Release)
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

// controllerNames lists every controller of the deployment, this one included, in order.
func controllerNames(cfg *config.Config) []string {
	names := []string{cfg.Node}
	for _, peer := range cfg.Peers {
		names = append(names, peer.Node)
	}
	sort.Strings(names)
	return names
}

// Start begins the actor's work.
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

// bytesPerKB are the bytes of a kilobyte as the platform counts them.
const bytesPerKB = 1024

// maxValueBytes is how large a value the state service takes.
func (c *Controller) maxValueBytes() int { return int(c.cfg.Facts.State.ValueKB * bytesPerKB) }

func (c *Controller) now() monotime.Micros { return c.env.Now() }

// mirrorStale reports whether the process was paused and the mirror hasn't been brought up to date since:
// what it shows as this controller's may be others' by now.
func (c *Controller) mirrorStale(now monotime.Micros) bool {
	return c.pauses.IsStale(c.replica.FreshAt(), now)
}

// tick drives everything that is not an answer to a message.
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

// runFastTick does what must not wait: the lease, the watch and a scheduling pass that is due.
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

// runSlowTick does everything else that is periodic, in a fixed order: each subject sees what those before it
// have changed.
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

// onMirrorChange passes a change of the mirror on to the subjects that it concerns.
func (c *Controller) onMirrorChange(kind storage.Kind, name string) {
	switch kind {
	case storage.KindOpenJob:
		c.scheduler.RequestPass()
		job := c.mirror.Jobs[name]
		if job == nil {
			c.scheduler.ForgetJob(name)
			c.cancellations.Forget(name)
			return
		}
		c.scheduler.NoteRecordChange(name)
	case storage.KindJobResult:
		c.cancellations.Record(c.mirror.Jobs[name])
		if job := c.mirror.Jobs[name]; job != nil && job.AssignedTasks > 0 {
			c.scheduler.NoteFinalSeen(name)
			c.agents.SyncCommandsOfJob(job) // a cancellation reaches the workers at once
		}
	case storage.KindShard:
		c.scheduler.RequestPass()
		c.shards.HandleShardChange(name)
	case storage.KindScaleOut, storage.KindScaleIn, storage.KindDrain, storage.KindPermits:
		c.scheduler.RequestPass()
	case storage.KindMember:
		c.membership.HandleMemberChange(name)
	}
}
