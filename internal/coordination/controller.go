package coordination

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"sort"

	"pipitgap/internal/cancellation"
	"pipitgap/internal/config"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/storage"
)

// Environment is the world as the core sees it. Every callback comes back as a message
// to the core's mailbox, never on another goroutine.
type Environment interface {
	Now() monotime.Micros // the steady clock
	WallClock() int64     // time of day, microseconds
	Rand() *rand.Rand     // injected randomness
	After(monotime.Micros, func())
	CallStore(*protocol.StoreCall, func(protocol.StoreResult))
	CallCloud(*protocol.CloudCall, func(protocol.CloudResult))
	SendCommands(endpoint string, req *protocol.CommandRequest, within monotime.Micros, callback func(protocol.CommandResult))
	SendPeerStatus(node string, status PeerStatus)
}

// Response is the answer to a user or a worker.
type Response struct {
	Status     int
	RetryAfter int
	Body       []byte
}

// Durations of the coordination itself; none depends on the deployment.
const (
	storeTimeout           = 2 * monotime.Second
	leaseKeepAliveTimeout  = 1 * monotime.Second
	watchLongPoll          = 2 * monotime.Second
	fastTickInterval       = 50 * monotime.Millisecond
	slowTickInterval       = 500 * monotime.Millisecond
	commandTimeout         = 3 * monotime.Second
	probeTimeout           = 1 * monotime.Second
	maxWatchBytes          = 4 << 20 // bytes of an answer of the watch, at most about
	budgetOversubscription = 1.2     // of the even share of the store's limits that each may use
)

// Controller is the actor that decides. All of its methods run on its own goroutine
// (or, in tests, on the test's).
type Controller struct {
	cfg         *config.Config
	settings    config.Settings
	durations   platformDurations // what follows from the platform's durations
	env         Environment
	log         *slog.Logger
	node        string
	incarnation uint64
	controllers []string // every controller's name, ours included

	mirror          *Mirror
	storeQueue      ratelimit.Queue
	queueTimerArmed bool // a timer will run the queue

	mirrorReady                bool   // the mirror is complete
	loadedRevision             uint64 // the watch must reach this before the mirror is complete
	mirrorLoading              bool
	mirrorLoaded               bool // a first load is done, the watch may go on from it
	minWatchInterval           monotime.Micros
	nextWatchAt                monotime.Micros
	watchInFlight              bool
	lastWatchSuccessAt         monotime.Micros // last answer of the watch
	backlogMeasuredAt          monotime.Micros // when the changes since then were last found to be few
	leaseID                    uint64
	leaseRenewalSentAt         monotime.Micros // send time of the last touch that succeeded
	leaseGrantedAt             monotime.Micros // when the lease was granted
	leaseGrantInFlight         bool
	leaseRenewalInFlight       bool
	nextLeaseRenewalAt         monotime.Micros
	memberWriteInFlight        bool
	electionInFlight           bool
	lastStoreSuccessAt         monotime.Micros // last answer of the store other than 503 or silence
	lastStoreFailureAt         monotime.Micros // last failure
	storeUnavailable           bool
	peerStatuses               *PeerTable
	workersUnreachableSince    monotime.Micros // since when our workers are out of reach; 0: they aren't
	hearsMostWorkers           bool            // most of them were heard lately
	reachabilityProbesInFlight int             // questions to silent machines in flight, see suspect
	lastProbeSuccessAt         monotime.Micros // when one last answered
	nextReachabilityProbeAt    monotime.Micros
	lastActivityAt             monotime.Micros // when it was last seen to run
	mirrorFreshAt              monotime.Micros // when the watch was sent that last answered
	resumedFromPauseAt         monotime.Micros // when we last went on after standing still
	leaseRenewalSuspended      bool            // the leases of our workers are left to expire
	missingSince               map[string]monotime.Micros

	cancellations *cancellation.Relay // committed ones, exchanged with the peers

	machineTypes         map[string]protocol.MachineType
	catalogFetchedAt     monotime.Micros
	catalogFetchInFlight bool

	pendingReads                []pendingRead // answers that wait for a mirror no older than their request
	catchUpInFlight             bool          // a watch that doesn't wait is in flight for them
	nextCatchUpAt               monotime.Micros
	watchSentAt                 monotime.Micros // when the watch in flight was sent
	budgetSharers               int             // live controllers that the budgets are shared by
	budgetMultiplier            float64         // how much more than its even part of them this one uses
	lastThrottledAt             monotime.Micros // when a call was last throttled
	throttledSeen               int             // calls that were throttled when that was last looked at
	shardTrackers               map[string]*shardTracker
	newShards                   map[string]*storage.Shard // new shards that the mirror hasn't yet
	shardSequence               int
	takeoverLimiter             takeoverLimiter
	nextSchedulingPassAt        monotime.Micros
	serviceCPUsAssigned         float64 // CPUs that all services hold
	nextOrphanedTasksTakeoverAt monotime.Micros
	jobsInPass                  map[string]bool            // jobs with tasks assigned by the pass under way
	nextWorkStealAt             monotime.Micros            // when tasks may change their part again
	nextDesignationChangeAt     monotime.Micros            // when a machine's claimant may be changed again
	schedulingNeeded            bool                       // a pass may find something to do
	submissionRates             map[string]*submissionRate // by team, its submissions of late
	claimRequests               map[string]*claimRequest
	claimsObserved              map[string]observedClaim
	shardClaimsInFlight         map[string]bool // shards being taken over
	recordWritesInFlight        map[string]bool // jobs with a change of their record in flight
	acceptedRevisions           map[string]uint64
	quotaWriteInFlight          bool
	quotaShortages              map[string]quotaShortage // what assignments lacked of a team's share

	quotaSharesInDoubt []quotaSharesInDoubt
	quotaLackingSince  map[string]monotime.Micros // teams of whose limit we lack a task's worth

	jobStates               map[string]*jobTracking
	estimateBias            map[string]float64 // by class: log of run time over estimate, lately
	leader                  leaderTermState
	orphanContacts          map[string]*orphanContact // workers of other partitions that came to us
	preemptions             map[string]*pendingPreemption
	emptySince              map[string]monotime.Micros // own machines, since when they are empty
	jobsClosedAt            map[string]monotime.Micros
	nextEmptyMachineCheckAt monotime.Micros
	zoneUnreachableAt       map[string]monotime.Micros // when a zone had last fallen silent as a whole
	manySilentLogged        bool                       // many silent machines have been logged
	unloggedRemovals        map[string][]string        // machines to be removed, by reason, not yet logged
	nextSlowTickAt          monotime.Micros
	cloudRateLimiter        ratelimit.TokenBucket
	drains                  *drains // nil: the settings don't turn them on
	counters                activityCounters
}

// NewController makes the actor's state.
func NewController(cfg *config.Config, settings config.Settings, env Environment, log *slog.Logger) *Controller {
	c := &Controller{
		cfg: cfg, settings: settings, env: env, log: log, node: cfg.Node,
		incarnation:  env.Rand().Uint64()>>16 | 1,
		peerStatuses: newPeerTable(), missingSince: map[string]monotime.Micros{},
		shardTrackers: map[string]*shardTracker{}, newShards: map[string]*storage.Shard{}, submissionRates: map[string]*submissionRate{}, claimRequests: map[string]*claimRequest{}, claimsObserved: map[string]observedClaim{},
		shardClaimsInFlight: map[string]bool{}, recordWritesInFlight: map[string]bool{}, acceptedRevisions: map[string]uint64{}, quotaShortages: map[string]quotaShortage{},
		quotaLackingSince: map[string]monotime.Micros{},
		jobStates:         map[string]*jobTracking{}, estimateBias: map[string]float64{}, orphanContacts: map[string]*orphanContact{},
		preemptions: map[string]*pendingPreemption{}, unloggedRemovals: map[string][]string{}, zoneUnreachableAt: map[string]monotime.Micros{}, emptySince: map[string]monotime.Micros{}, jobsClosedAt: map[string]monotime.Micros{},
	}
	c.controllers = append(c.controllers, cfg.Node)
	for _, peer := range cfg.Peers {
		c.controllers = append(c.controllers, peer.Node)
	}
	c.cancellations = cancellation.NewRelay(c.incarnation, slices.Clone(c.controllers[1:]))
	sort.Strings(c.controllers)
	c.mirror = newMirror(c.onMirrorChange)
	c.storeQueue.MaxInFlight = 8
	c.takeoverLimiter = newTakeoverLimiter(cfg.Facts.State.TxnOps)
	c.budgetMultiplier = 1
	c.updateStoreBudgets(len(c.controllers))
	c.durations = newPlatformDurations(cfg.Facts.Workers)
	// The leader alone calls the cloud, but for the catalogue.
	c.cloudRateLimiter = ratelimit.TokenBucket{Rate: cfg.Facts.Cloud.RPS * 0.8, Burst: max(1, cfg.Facts.Cloud.RPS)}
	c.leader = newLeaderState(0)
	c.drains = newDrains(c, settings.Drains)
	return c
}

// Start begins the actor's work.
func (c *Controller) Start() {
	c.log.Info("controller starting", "node", c.node, "incarnation", c.incarnation)
	for _, warning := range c.durations.warnings() {
		c.log.Warn("platform durations not covered", "field", warning.field, "consequence", warning.consequence)
	}
	c.grantLease()
	c.loadMirror()
	c.fetchCatalog()
	c.tick()
}

func (c *Controller) now() monotime.Micros { return c.env.Now() }

// tick drives everything that is not an answer to a message.
func (c *Controller) tick() {
	now := c.now()
	c.detectPause(now)
	c.runFastTick(now)
	if now >= c.nextSlowTickAt {
		c.runSlowTick(now)
		c.nextSlowTickAt = nextDue(now, c.now(), slowTickInterval)
	}
	c.env.After(fastTickInterval, c.tick)
}

// nextDue tells when work that ran from begun to ended is due again: after its
// interval, or later so that it takes at most a tenth of the time. With thousands
// of jobs a pass costs milliseconds; leases and users must keep their share.
func nextDue(startedAt, ended, interval monotime.Micros) monotime.Micros {
	return startedAt + max(interval, 10*(ended-startedAt))
}

func (c *Controller) runFastTick(now monotime.Micros) {
	c.renewLease(now)
	c.maintainWatch(now)
	if !c.mirrorReady || c.mirrorStale(now) {
		return
	}
	if c.schedulingNeeded && now >= c.nextSchedulingPassAt {
		c.runSchedulingPass(now)
		c.nextSchedulingPassAt = max(c.nextSchedulingPassAt, nextDue(now, c.now(), 2*fastTickInterval))
	}
}

func (c *Controller) runSlowTick(now monotime.Micros) {
	c.logStoreAvailability(now)
	c.sendPeerStatus(now)
	if c.catalogFetchedAt == 0 || now-c.catalogFetchedAt > 60*monotime.Second {
		c.fetchCatalog()
	}
	if !c.mirrorReady || c.mirrorStale(now) {
		return
	}
	c.updateStoreBudgets(len(c.liveControllers()))
	c.ensureMemberRecord()
	c.campaign(now)
	c.claimOrphanedShards(now)
	c.releaseDepartedQuotaShares(now)
	c.checkMachines(now)
	c.drains.reconcile(now)
	c.adjustQuotaShares(now)
	c.finalizeJobs()
	c.schedulingNeeded = true
	c.reconcileAsLeader(now)
}

// onMirrorChange is called by the view for every change that it applied.
func (c *Controller) onMirrorChange(kind, name string) {
	switch kind {
	case storage.KindOpenJob:
		c.schedulingNeeded = true
		job := c.mirror.Jobs[name]
		if job == nil {
			delete(c.jobStates, name)
			delete(c.preemptions, name)
			delete(c.acceptedRevisions, name)
			c.cancellations.Forget(name)
			return
		}
		c.trackingOf(name).recordChangedAt = c.now()
	case storage.KindJobResult:
		c.recordCancellation(c.mirror.Jobs[name])
		if job := c.mirror.Jobs[name]; job != nil && job.AssignedTasks > 0 {
			if tracking := c.trackingOf(name); tracking.finalSeenAt == 0 {
				tracking.finalSeenAt = c.now()
			}
			c.syncCommandsOfJob(job) // a cancellation reaches the workers at once
		}
	case storage.KindShard:
		c.schedulingNeeded = true
		c.onShardChange(name)
	case storage.KindScaleOut, storage.KindScaleIn, storage.KindDrain, storage.KindPermits:
		c.schedulingNeeded = true
	case storage.KindMember:
		if c.isMember(name) {
			delete(c.missingSince, name)
			c.log.Info("controller membership", "state", conditionBegin, "node", name)
		} else {
			c.log.Info("controller membership", "state", conditionEnd, "node", name)
		}
	}
}

// fetchCatalog reads the machine types.
func (c *Controller) fetchCatalog() {
	if c.catalogFetchInFlight || c.cloudRateLimiter.WaitTime(c.now(), 1) > 0 {
		return
	}
	c.catalogFetchInFlight = true
	c.cloudRateLimiter.Take(1)
	c.env.CallCloud(&protocol.CloudCall{Op: protocol.CloudCatalog, Timeout: 3 * monotime.Second}, func(result protocol.CloudResult) {
		c.catalogFetchInFlight = false
		if result.Outcome != protocol.OK || len(result.Types) == 0 {
			return
		}
		c.catalogFetchedAt = c.now()
		types := map[string]protocol.MachineType{}
		for _, machineType := range result.Types {
			if machineType.Name != "" && machineType.CPUs > 0 && machineType.OnDemandPrice > 0 {
				types[machineType.Name] = machineType
			}
		}
		if len(types) > 0 {
			c.machineTypes = types
			c.schedulingNeeded = true
		}
	})
}
