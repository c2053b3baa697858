package coordination

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"sort"

	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/cancellation"
	"pipitgap/internal/config"
	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
)

// Env is the world as the core sees it. Every callback comes back as a message
// to the core's mailbox, never on another goroutine.
type Env interface {
	Now() micros.T    // the steady clock
	Wall() int64      // time of day, microseconds
	Rand() *rand.Rand // injected randomness
	After(micros.T, func())
	Store(*protocol.StoreCall, func(protocol.StoreResult))
	Cloud(*protocol.CloudCall, func(protocol.CloudResult))
	Command(endpoint string, req *protocol.DoRequest, within micros.T, back func(protocol.DoResult))
	Peer(node string, status PeerStatus)
}

// Reply is the answer to a user or a worker.
type Reply struct {
	Status     int
	RetryAfter int
	Body       []byte
}

// Durations of the coordination itself; none depends on the deployment.
const (
	storeTimeout  = 2 * micros.Second
	touchTimeout  = 1 * micros.Second
	watchBlock    = 2 * micros.Second
	fastTick      = 50 * micros.Millisecond
	slowTick      = 500 * micros.Millisecond
	commandWithin = 3 * micros.Second
	showWithin    = 1 * micros.Second
	mostWatch     = 4 << 20 // bytes of an answer of the watch, at most about
	budgetExcess  = 1.2     // of the even share of the store's limits that each may use
)

// Core is the actor that decides. All of its methods run on its own goroutine
// (or, in tests, on the test's).
type Core struct {
	cfg    *config.Config
	set    config.Settings
	timing timing // what follows from the platform's durations
	env    Env
	log    *slog.Logger
	node   string
	inc    uint64
	all    []string // every controller's name, ours included

	view  *View
	queue bookkeeping.Queue
	armed bool // a timer will run the queue

	ready      bool   // the mirror is complete
	loadedUpTo uint64 // the watch must reach this before the mirror is complete
	loading    bool
	loaded     bool // a first load is done, the watch may go on from it
	watchGap   micros.T
	watchAt    micros.T
	watching   bool
	watchOKAt  micros.T // last answer of the watch
	measuredAt micros.T // when the changes since then were last found to be few
	lease      uint64
	leaseSent  micros.T // send time of the last touch that succeeded
	leaseAt    micros.T // when the lease was granted
	granting   bool
	touching   bool
	touchAt    micros.T
	memberBusy bool
	leadBusy   bool
	storeOKAt  micros.T // last answer of the store other than 503 or silence
	storeBadAt micros.T // last failure
	storeDown  bool
	peers      *peers
	lostAt     micros.T // since when our workers are out of reach; 0: they aren't
	heardMost  bool     // most of them were heard lately
	probing    int      // questions to silent machines in flight, see suspect
	reachedAt  micros.T // when one last answered
	probeAt    micros.T
	tickAt     micros.T // when it was last seen to run
	freshAt    micros.T // when the watch was sent that last answered
	resumedAt  micros.T // when we last went on after standing still
	expiring   bool     // the leases of our workers are left to expire
	deadSince  map[string]micros.T

	cancellations *cancellation.Relay // committed ones, exchanged with the peers

	types     map[string]protocol.MachineType
	catalogAt micros.T
	catalogIn bool

	waitingReaders  []waitingReader // answers that wait for a mirror no older than their request
	catching        bool            // a watch that doesn't wait is in flight for them
	catchAt         micros.T
	watchSent       micros.T // when the watch in flight was sent
	liveShare       int      // live controllers that the budgets are shared by
	boost           float64  // how much more than its even part of them this one uses
	refusedAt       micros.T // when a call was last throttled
	refused         int      // calls that were throttled when that was last looked at
	shards          map[string]*shardState
	fresh           map[string]*bookkeeping.Shard // new shards that the mirror hasn't yet
	shardSeq        int
	adoption        adoption
	passAt          micros.T
	served          float64 // CPUs that all services hold
	orphanAt        micros.T
	passJobs        map[string]bool            // jobs with tasks assigned by the pass under way
	takeAt          micros.T                   // when tasks may change their part again
	ownAt           micros.T                   // when a machine's claimant may be changed again
	dirty           bool                       // a pass may find something to do
	submissionRates map[string]*submissionRate // by team, its submissions of late
	arrivals        map[string]*arrival
	claimSeen       map[string]claimSeen
	claiming        map[string]bool // shards being taken over
	jobBusy         map[string]bool // jobs with a change of their record in flight
	accepted        map[string]uint64
	partitionBusy   bool
	teamShort       map[string]shortage // what assignments lacked of a team's share

	inDoubt      []sharesInDoubt
	lackingSince map[string]micros.T // teams of whose limit we lack a task's worth

	jobState     map[string]*jobState
	bias         map[string]float64 // by class: log of run time over estimate, lately
	leader       leaderState
	orphanVisits map[string]*orphanVisit // workers of other partitions that came to us
	preempting   map[string]*preemption
	emptyAt      map[string]micros.T // own machines, since when they are empty
	closedAt     map[string]micros.T
	closeAt      micros.T
	zoneCut      map[string]micros.T // when a zone had last fallen silent as a whole
	quietSaid    bool                // many silent machines have been logged
	givenBack    map[string][]string // machines to be removed, by reason, not yet logged
	slowAt       micros.T
	cloudGate    bookkeeping.Bucket
	drains       *drains // nil: the settings don't turn them on
	stats        stats
}

// NewCore makes the actor's state.
func NewCore(cfg *config.Config, set config.Settings, env Env, log *slog.Logger) *Core {
	c := &Core{
		cfg: cfg, set: set, env: env, log: log, node: cfg.Node,
		inc:   env.Rand().Uint64()>>16 | 1,
		peers: newPeers(), deadSince: map[string]micros.T{},
		shards: map[string]*shardState{}, fresh: map[string]*bookkeeping.Shard{}, submissionRates: map[string]*submissionRate{}, arrivals: map[string]*arrival{}, claimSeen: map[string]claimSeen{},
		claiming: map[string]bool{}, jobBusy: map[string]bool{}, accepted: map[string]uint64{}, teamShort: map[string]shortage{},
		lackingSince: map[string]micros.T{},
		jobState:     map[string]*jobState{}, bias: map[string]float64{}, orphanVisits: map[string]*orphanVisit{},
		preempting: map[string]*preemption{}, givenBack: map[string][]string{}, zoneCut: map[string]micros.T{}, emptyAt: map[string]micros.T{}, closedAt: map[string]micros.T{},
	}
	c.all = append(c.all, cfg.Node)
	for _, p := range cfg.Known {
		c.all = append(c.all, p.Node)
	}
	c.cancellations = cancellation.NewRelay(c.inc, slices.Clone(c.all[1:]))
	sort.Strings(c.all)
	c.view = newView(c.touched)
	c.queue.MaxInFlight = 8
	c.adoption = newAdoption(cfg.Facts.State.TxnOps)
	c.boost = 1
	c.shareBudgets(len(c.all))
	c.timing = newTiming(cfg.Facts.Workers)
	// The leader alone calls the cloud, but for the catalogue.
	c.cloudGate = bookkeeping.Bucket{Rate: cfg.Facts.Cloud.RPS * 0.8, Burst: max(1, cfg.Facts.Cloud.RPS)}
	c.leader = newLeaderState(0)
	c.drains = newDrains(c, set.Drains)
	return c
}

// Start begins the actor's work.
func (c *Core) Start() {
	c.log.Info("controller starting", "node", c.node, "incarnation", c.inc)
	for _, w := range c.timing.warnings() {
		c.log.Warn("platform durations not covered", "field", w.field, "consequence", w.consequence)
	}
	c.grant()
	c.load()
	c.fetchCatalog()
	c.tick()
}

func (c *Core) now() micros.T { return c.env.Now() }

// tick drives everything that is not an answer to a message.
func (c *Core) tick() {
	now := c.now()
	c.noteStill(now)
	c.fast(now)
	if now >= c.slowAt {
		c.slow(now)
		c.slowAt = pace(now, c.now(), slowTick)
	}
	c.env.After(fastTick, c.tick)
}

// pace tells when work that ran from begun to ended is due again: after its
// interval, or later so that it takes at most a tenth of the time. With thousands
// of jobs a pass costs milliseconds; leases and users must keep their share.
func pace(begun, ended, interval micros.T) micros.T {
	return begun + max(interval, 10*(ended-begun))
}

func (c *Core) fast(now micros.T) {
	c.keepLease(now)
	c.keepWatch(now)
	if !c.ready || c.outdated(now) {
		return
	}
	if c.dirty && now >= c.passAt {
		c.schedulingPass(now)
		c.passAt = max(c.passAt, pace(now, c.now(), 2*fastTick))
	}
}

func (c *Core) slow(now micros.T) {
	c.watchStore(now)
	c.gossip(now)
	if c.catalogAt == 0 || now-c.catalogAt > 60*micros.Second {
		c.fetchCatalog()
	}
	if !c.ready || c.outdated(now) {
		return
	}
	c.shareBudgets(len(c.live()))
	c.keepMember()
	c.election(now)
	c.claimOrphaned(now)
	c.freeShares(now)
	c.checkMachines(now)
	c.drains.advance(now)
	c.adjustShares(now)
	c.closeJobs()
	c.dirty = true
	c.lead(now)
}

// touched is called by the view for every change that it applied.
func (c *Core) touched(kind, name string) {
	switch kind {
	case bookkeeping.KindOpen:
		c.dirty = true
		j := c.view.jobs[name]
		if j == nil {
			delete(c.jobState, name)
			delete(c.preempting, name)
			delete(c.accepted, name)
			c.cancellations.Forget(name)
			return
		}
		c.jobNotes(name).sharedAt = c.now()
	case bookkeeping.KindJob:
		c.noteCancellation(c.view.jobs[name])
		if j := c.view.jobs[name]; j != nil && j.held > 0 {
			if n := c.jobNotes(name); n.overAt == 0 {
				n.overAt = c.now()
			}
			c.syncJob(j) // a cancellation reaches the workers at once
		}
	case bookkeeping.KindShard:
		c.dirty = true
		c.shardTouched(name)
	case bookkeeping.KindRental, bookkeeping.KindRemoval, bookkeeping.KindDrain, bookkeeping.KindPermits:
		c.dirty = true
	case bookkeeping.KindMember:
		if c.isLive(name) {
			delete(c.deadSince, name)
			c.log.Info("controller membership", "state", conditionBegin, "node", name)
		} else {
			c.log.Info("controller membership", "state", conditionEnd, "node", name)
		}
	}
}

// fetchCatalog reads the machine types.
func (c *Core) fetchCatalog() {
	if c.catalogIn || c.cloudGate.Ready(c.now(), 1) > 0 {
		return
	}
	c.catalogIn = true
	c.cloudGate.Take(1)
	c.env.Cloud(&protocol.CloudCall{Op: protocol.CloudCatalog, Within: 3 * micros.Second}, func(r protocol.CloudResult) {
		c.catalogIn = false
		if r.Outcome != protocol.OK || len(r.Types) == 0 {
			return
		}
		c.catalogAt = c.now()
		types := map[string]protocol.MachineType{}
		for _, t := range r.Types {
			if t.Name != "" && t.CPUs > 0 && t.Price > 0 {
				types[t.Name] = t
			}
		}
		if len(types) > 0 {
			c.types = types
			c.dirty = true
		}
	})
}
