package coordination

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sort"

	"pipitgap/internal/bookkeeping"
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
	Peer(node string, hint Hint)
}

// Hint is what controllers tell each other. Hints only make things faster or
// tell a common outage from one's own; the store decides.
type Hint struct {
	Node        string
	Incarnation uint64
	StoreOK     bool // the sender reached the store lately
	Users       int  // calls of users that wait there for the store
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
	evenPart      = 1.2     // of the even share of the store's limits that each may use
)

// Core is the actor that decides. All of its methods run on its own goroutine
// (or, in tests, on the test's).
type Core struct {
	cfg  *config.Config
	set  config.Settings
	env  Env
	log  *slog.Logger
	node string
	inc  uint64
	all  []string // every controller's name, ours included

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
	leaseTTL   micros.T
	granting   bool
	touching   bool
	touchAt    micros.T
	memberBusy bool
	leadBusy   bool
	storeOKAt  micros.T // last answer of the store other than 503 or silence
	storeBadAt micros.T // last failure
	storeDown  bool
	peerOK     map[string]micros.T // when a peer last said that it reaches the store
	peerSeen   map[string]micros.T
	peerUsers  map[string]micros.T // when a peer last said that many users wait there
	deadSince  map[string]micros.T

	types     map[string]protocol.MachineType
	catalogAt micros.T
	catalogIn bool

	askers     []asker // answers that wait for a mirror no older than their request
	catching   bool    // a watch that doesn't wait is in flight for them
	catchAt    micros.T
	watchSent  micros.T // when the watch in flight was sent
	liveShare  int      // live controllers that the budgets are shared by
	boost      float64  // how much more than its even part of them this one uses
	refused    int      // calls that were throttled when that was last looked at
	pages      map[string]*pageState
	fresh      map[string]*bookkeeping.Page // new pages that the mirror hasn't yet
	pageSeq    int
	turnAt     micros.T
	served     float64 // CPUs that all services hold
	orphanAt   micros.T
	turnJobs   map[string]bool // jobs with tasks assigned by the turn under way
	takeAt     micros.T        // when tasks may change their part again
	ownAt      micros.T        // when a machine's claimant may be changed again
	dirty      bool            // a turn may find something to do
	arrivals   map[string]*arrival
	claimSeen  map[string]claimSeen
	claiming   map[string]bool // pages being taken over
	jobBusy    map[string]bool // jobs with a change of their record in flight
	accepted   map[string]uint64
	partBusy   bool
	teamShort  map[string]shortage // what assignments lacked of a team's share
	jobState   map[string]*jobState
	bias       map[string]float64 // by class: log of run time over estimate, lately
	leader     leaderState
	sightings  map[string]*sighting // workers of other parts that came to us
	preempting map[string]*preemption
	emptyAt    map[string]micros.T // own machines, since when they are empty
	closedAt   map[string]micros.T
	tendAt     micros.T
	zoneCut    map[string]micros.T // when a zone had last fallen silent as a whole
	quietSaid  bool                // many silent machines have been logged
	givenBack  map[string][]string // machines to be removed, by reason, not yet logged
	slowAt     micros.T
	cloudGate  bookkeeping.Bucket
	stats      stats
}

type stats struct {
	accepted, later, placed, done, failed, conflicts, throttled int
	looked                                                      int // machines, by placement
}

// NewCore makes the actor's state.
func NewCore(cfg *config.Config, set config.Settings, env Env, log *slog.Logger) *Core {
	c := &Core{
		cfg: cfg, set: set, env: env, log: log, node: cfg.Node,
		inc:    env.Rand().Uint64()>>16 | 1,
		peerOK: map[string]micros.T{}, peerSeen: map[string]micros.T{}, peerUsers: map[string]micros.T{}, deadSince: map[string]micros.T{},
		pages: map[string]*pageState{}, fresh: map[string]*bookkeeping.Page{}, arrivals: map[string]*arrival{}, claimSeen: map[string]claimSeen{},
		claiming: map[string]bool{}, jobBusy: map[string]bool{}, accepted: map[string]uint64{}, teamShort: map[string]shortage{},
		jobState: map[string]*jobState{}, bias: map[string]float64{}, sightings: map[string]*sighting{},
		preempting: map[string]*preemption{}, givenBack: map[string][]string{}, zoneCut: map[string]micros.T{}, emptyAt: map[string]micros.T{}, closedAt: map[string]micros.T{},
	}
	c.all = append(c.all, cfg.Node)
	for _, p := range cfg.Known {
		c.all = append(c.all, p.Node)
	}
	sort.Strings(c.all)
	c.view = newView(c.touched)
	c.queue.MaxInFlight = 8
	c.boost = 1
	c.shareBudgets(len(c.all))
	lease := micros.FromSeconds(cfg.Facts.Workers.LeaseS)
	c.leaseTTL = min(max(lease/2, 4*micros.Second), 8*micros.Second)
	// The leader alone calls the cloud, but for the catalogue.
	c.cloudGate = bookkeeping.Bucket{Rate: cfg.Facts.Cloud.RPS * 0.8, Burst: max(1, cfg.Facts.Cloud.RPS)}
	c.leader = newLeaderState(0)
	return c
}

// shareBudgets sets this controller's part of the state service's limits. Load is
// uneven, so each may use somewhat more than its share; a 429 costs only a pause.
// While calls wait and none is refused the part grows: others that have crashed, or
// have little to do, leave theirs, and their memberships end only seconds later.
func (c *Core) shareBudgets(live int) {
	live = max(1, min(live, len(c.all)))
	most := max(1, float64(live)/evenPart)
	before := c.boost
	switch refused := c.stats.throttled - c.refused; {
	case refused > 0:
		c.boost = max(1, c.boost*0.6)
	case c.queue.Waiting(bookkeeping.RankUser)+c.queue.Waiting(bookkeeping.RankPage) > 1:
		c.boost = min(most, c.boost*1.3)
	default:
		c.boost = max(1, c.boost*0.9)
	}
	c.boost, c.refused = min(c.boost, most), c.stats.throttled
	if live == c.liveShare && c.boost == before {
		return
	}
	c.liveShare = live
	st := c.cfg.Facts.State
	share := min(1, evenPart*c.boost/float64(live))
	c.queue.Reads.Rate, c.queue.Reads.Burst = st.RPS*share, max(2, st.RPS*share/2)
	c.queue.Writes.Rate, c.queue.Writes.Burst = st.WriteRPS*share, max(float64(st.TxnOps), st.WriteRPS*share/2)
	// All watches together use at most a quarter of the store's requests.
	c.watchGap = max(50*micros.Millisecond, micros.FromSeconds(float64(live)/(st.RPS*0.25)))
}

// manyUsers is how many calls of users may wait before pages make room for them.
const manyUsers = 2

// pageRate is how many pages a second this controller may write: a good half of its
// share of the changes, the rest is the users' and the leader's; less while users wait
// for theirs, here or elsewhere. After a crash of all others every user comes to the
// one that stayed; those that were back wrote 22 pages a second of 50 changes, and it
// accepted four jobs.
func (c *Core) pageRate() float64 {
	part := 0.55
	if c.usersWait() {
		part = 0.1
	} else {
		for _, at := range c.peerUsers {
			if c.now()-at < 3*slowTick {
				part = 0.25
			}
		}
	}
	return part * c.boost * c.cfg.Facts.State.WriteRPS / float64(c.liveShare)
}

func (c *Core) usersWait() bool { return c.queue.Waiting(bookkeeping.RankUser) > manyUsers }

// Start begins the actor's work.
func (c *Core) Start() {
	c.log.Info("controller starting", "node", c.node, "incarnation", c.inc)
	c.grant()
	c.load()
	c.fetchCatalog()
	c.tick()
}

func (c *Core) now() micros.T { return c.env.Now() }

// tick drives everything that is not an answer to a message.
func (c *Core) tick() {
	now := c.now()
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
	if !c.ready {
		return
	}
	if c.dirty && now >= c.turnAt {
		c.turn(now)
		c.turnAt = max(c.turnAt, pace(now, c.now(), 2*fastTick))
	}
}

func (c *Core) slow(now micros.T) {
	c.watchStore(now)
	c.gossip(now)
	if c.catalogAt == 0 || now-c.catalogAt > 60*micros.Second {
		c.fetchCatalog()
	}
	if !c.ready {
		return
	}
	c.shareBudgets(len(c.live()))
	c.keepMember()
	c.election(now)
	c.inherit(now)
	c.tendMachines(now)
	c.tendShares(now)
	c.tendJobs()
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
			return
		}
	case bookkeeping.KindJob:
		if j := c.view.jobs[name]; j != nil && j.held > 0 {
			if n := c.jobNotes(name); n.overAt == 0 {
				n.overAt = c.now()
			}
			c.syncJob(j) // a cancellation reaches the workers at once
		}
	case bookkeeping.KindPage:
		c.dirty = true
		c.pageTouched(name)
	case bookkeeping.KindAsk, bookkeeping.KindRemoval:
		c.dirty = true
	case bookkeeping.KindMember:
		if c.isLive(name) {
			delete(c.deadSince, name)
			c.log.Info("controller is a member", "member", name)
		} else {
			c.log.Info("controller is no member any more", "member", name)
		}
	}
}

// ---- calls of the store ----

func (c *Core) call(rank bookkeeping.Rank, sc *protocol.StoreCall, back func(protocol.StoreResult)) {
	if sc.Within == 0 {
		sc.Within = storeTimeout
	}
	c.queue.Add(bookkeeping.Call{StoreCall: sc, Rank: rank, Since: c.now(), Back: back})
	c.pump()
}

// pump makes the calls that the budget allows now.
func (c *Core) pump() {
	for {
		now := c.now()
		q, ok, wait := c.queue.Next(now)
		if !ok {
			if wait > 0 && !c.armed {
				c.armed = true
				c.env.After(max(wait, micros.Millisecond), func() { c.armed = false; c.pump() })
			}
			return
		}
		c.env.Store(q.StoreCall, func(r protocol.StoreResult) {
			c.queue.InFlight--
			if r.Outcome == protocol.Throttled {
				c.stats.throttled++
				if c.now()-q.Since < 3*micros.Second {
					c.queue.Back(q, c.now())
					c.pump()
					return
				}
				r.Outcome = protocol.Unavailable
			}
			c.noteStore(r.Outcome)
			q.Back(r)
			c.pump()
		})
	}
}

func (c *Core) noteStore(o protocol.Outcome) {
	now := c.now()
	switch o {
	case protocol.Unavailable, protocol.Unknown:
		c.storeBadAt = now
	default:
		c.storeOKAt = now
	}
}

// watchStore logs the beginning and the end of an outage, as this node sees it.
func (c *Core) watchStore(now micros.T) {
	down := c.storeBadAt > c.storeOKAt && now-c.storeOKAt > micros.Second
	if down == c.storeDown {
		return
	}
	c.storeDown = down
	if down {
		c.log.Info("state service trouble begins", "silent_ms", (now - c.storeOKAt).Millis())
	} else {
		c.log.Info("state service trouble ends")
	}
}

// refusedAlone tells whether this node can't use the store while another can:
// then it must hand its users and workers to the others. In an outage that all
// share it goes on answering workers, or every lease would lapse.
func (c *Core) refusedAlone(now micros.T) (peer string, alone bool) {
	if !c.storeDown || now-c.storeOKAt < 2*micros.Second {
		return "", false
	}
	for _, n := range sortedKeys(c.peerOK) {
		at := c.peerOK[n]
		if now-at < 1500*micros.Millisecond && at > c.storeOKAt+1500*micros.Millisecond {
			return n, true
		}
	}
	return "", false
}

// isolated tells whether we reach neither the store nor any other controller:
// then it is we who are cut off, and users are better served elsewhere.
func (c *Core) isolated(now micros.T) bool {
	if !c.storeDown || now-c.storeOKAt < 2*micros.Second || len(c.cfg.Known) == 0 {
		return false
	}
	for _, p := range c.cfg.Known {
		if c.heard(p.Node, now) {
			return false
		}
	}
	return true
}

// mustLapse tells whether we must let our workers' leases end. Cut off together
// with its workers, a controller sees no cancellation, and every answer that it
// gives keeps cancelled tasks running; the other controllers can't reach them. So
// without news from the store for so long that a task cancelled meanwhile would
// not be gone in time, it answers no more, unless every other controller is heard
// and is without the store too: then nobody can have cancelled anything.
func (c *Core) mustLapse(now micros.T) bool {
	const margin = 5 * micros.Second / 2
	w := c.cfg.Facts.Workers
	wait := max(0, micros.FromSeconds(w.CancelS)-micros.FromSeconds(w.LeaseS)-margin)
	if now-c.watchOKAt < wait {
		return false
	}
	const heard = 6 * micros.Second
	for _, p := range c.cfg.Known {
		seen, ok := c.peerSeen[p.Node]
		if !ok || now-seen > heard {
			return true
		}
		if at, ok := c.peerOK[p.Node]; ok && now-at < heard {
			return true
		}
	}
	return false
}

// commit makes a conditional change; on success it is in the mirror before
// back is called.
func (c *Core) commit(rank bookkeeping.Rank, t protocol.Txn, back func(protocol.StoreResult)) {
	c.call(rank, &protocol.StoreCall{Op: protocol.StoreCommit, Txn: t}, func(r protocol.StoreResult) {
		if r.Outcome == protocol.OK {
			c.view.applyTxn(&t, r.Revision)
		} else if r.Outcome == protocol.Conflict {
			c.stats.conflicts++
			c.nudge()
		}
		back(r)
	})
}

// ---- the mirror ----

// load reads every record but the answers of finished jobs. The watch then goes
// on from before the first list, so nothing falls between the lists.
func (c *Core) load() {
	if c.loading {
		return
	}
	c.loading, c.ready = true, false
	kinds := []string{
		bookkeeping.KindAsk, bookkeeping.KindLead, bookkeeping.KindMember, bookkeeping.KindOpen,
		bookkeeping.KindPage, bookkeeping.KindPart, bookkeeping.KindRemoval, bookkeeping.KindType,
	}
	view := newView(func(string, string) {})
	view.finals = c.view.finals
	var first, last uint64
	begun := false
	var page func(k int, after string)
	page = func(k int, after string) {
		if k == len(kinds) {
			c.loadAnswers(view, sortedKeys(view.jobs), func() { c.adopt(view, first, last) })
			return
		}
		sc := &protocol.StoreCall{Op: protocol.StoreList, Key: bookkeeping.Key(kinds[k], ""), After: after, Limit: 500}
		c.call(bookkeeping.RankClaim, sc, func(r protocol.StoreResult) {
			if r.Outcome != protocol.OK {
				wait := 200*micros.Millisecond + micros.T(c.env.Rand().Int64N(int64(400*micros.Millisecond)))
				c.env.After(wait, func() { page(k, after) })
				return
			}
			if !begun { // the revision of an empty store is 0
				begun, first, c.measuredAt = true, r.Revision, c.now()
			}
			last = max(last, r.Revision)
			for _, it := range r.Items {
				view.put(it.Key, it.Value, it.Version)
			}
			if r.More && len(r.Items) > 0 {
				page(k, r.Items[len(r.Items)-1].Key)
			} else {
				page(k+1, "")
			}
		})
	}
	page(0, "")
}

// loadAnswers finds which of the listed jobs have an answer already: cancelled
// ones whose attempts aren't all gone. The answers themselves can't be listed, they
// are kept for ever; comparing tells which of the few dozen named exist.
func (c *Core) loadAnswers(view *View, ids []string, done func()) {
	if len(ids) == 0 {
		done()
		return
	}
	again := func() {
		wait := 200*micros.Millisecond + micros.T(c.env.Rand().Int64N(int64(400*micros.Millisecond)))
		c.env.After(wait, func() { c.loadAnswers(view, ids, done) })
	}
	n := min(len(ids), 4*c.cfg.Facts.State.TxnOps)
	t := protocol.Txn{}
	for _, id := range ids[:n] {
		t.If = append(t.If, protocol.Cond{Key: bookkeeping.Key(bookkeeping.KindJob, id)})
	}
	c.call(bookkeeping.RankClaim, &protocol.StoreCall{Op: protocol.StoreCommit, Txn: t}, func(r protocol.StoreResult) {
		switch {
		case r.Outcome == protocol.OK:
			c.loadAnswers(view, ids[n:], done)
		case r.Outcome == protocol.Conflict && len(r.Failed) > 0:
			left := len(r.Failed)
			bad := false
			for _, key := range r.Failed {
				c.call(bookkeeping.RankClaim, &protocol.StoreCall{Op: protocol.StoreGet, Key: key}, func(r protocol.StoreResult) {
					if r.Outcome == protocol.OK {
						view.put(key, r.Item.Value, r.Item.Version)
					} else {
						bad = true
					}
					if left--; left > 0 {
						return
					}
					if bad {
						again()
						return
					}
					c.loadAnswers(view, ids[n:], done)
				})
			}
		default:
			again()
		}
	})
}

// adopt makes a loaded mirror the core's own.
func (c *Core) adopt(view *View, first, last uint64) {
	for id, m := range c.view.machines {
		if m.w != nil && view.machines[id] != nil {
			view.machines[id].w = m.w
		}
	}
	view.watched, view.newest, view.touched = first, max(last, c.view.newest), c.touched
	c.view = view
	c.loading, c.loaded, c.loadedUpTo = false, true, last
	for _, name := range sortedKeys(view.pages) {
		c.pageTouched(name)
	}
	c.watchAt = 0
	c.log.Info("records read", "jobs", len(view.jobs), "machines", len(view.machines), "pages", len(view.pages), "revision", last)
	if first >= last {
		c.becomeReady()
	}
}

func (c *Core) becomeReady() {
	c.watchOKAt = c.now()
	if c.types == nil && len(c.view.types) > 0 {
		// The cloud may be out: what was known of it before still holds.
		c.types = map[string]protocol.MachineType{}
		for name, t := range c.view.types {
			r := t.rec
			c.types[name] = protocol.MachineType{Name: name, CPUs: r.CPUs, GPUs: r.GPUs, MemoryGB: r.MemoryGB, CacheGB: r.CacheGB,
				FetchGBPerS: r.FetchGBPerS, Price: r.Price, SpotPrice: r.SpotPrice, BootS: r.BootS, Zones: r.Zones}
		}
	}
	c.ready, c.dirty = true, true
	c.log.Info("mirror complete", "revision", c.view.watched)
	c.slowAt = 0
}

// asker waits for the mirror to be as new as its question.
type asker struct {
	since micros.T
	back  func(ok bool)
}

// current calls back once the mirror holds all that the store held when it was
// asked, or with false if the store can't be asked. One answer of the watch serves
// all that wait: confirming each answer by itself cost a request for every few
// dozen, and users of a thousand jobs ask a few hundred times a second.
func (c *Core) current(back func(ok bool)) {
	c.askers = append(c.askers, asker{c.now(), back})
	if c.watching && c.now() >= c.catchAt && !c.catching {
		c.catchUp()
	}
}

// answerAskers serves those who came before a watch was sent that has answered.
func (c *Core) answerAskers(sent micros.T, ok bool) {
	n := 0
	for n < len(c.askers) && c.askers[n].since <= sent {
		n++
	}
	served := c.askers[:n:n]
	c.askers = c.askers[n:]
	for _, a := range served {
		a.back(ok)
	}
}

func (c *Core) keepWatch(now micros.T) {
	if c.loading || !c.loaded {
		return
	}
	if !c.watching && now >= c.watchAt {
		if now-max(c.watchOKAt, c.measuredAt) > c.watchSpan() {
			c.measureGap(now)
			return
		}
		c.watching = true
		block := watchBlock
		if len(c.askers) > 0 {
			block = 0
		}
		c.watchSent = now
		c.watch(now, block, func() { c.watching = false })
	} else if c.watching && len(c.askers) > 0 && c.watchSent < c.askers[0].since && now >= c.catchAt && !c.catching {
		c.catchUp() // the one in flight was sent before they asked
	}
}

// watchSpan is after how long without an answer of the watch its next one could
// be too large to take. A watch has no size limit of its own: after a cut of 48 s
// from a state service of 80 changes a second and 16 KiB a value, the answer was
// larger than is ever read, and the same was asked for again until the service
// had forgotten where it began.
func (c *Core) watchSpan() micros.T {
	return max(2*watchBlock, micros.FromSeconds(float64(c.mostChanges())/c.cfg.Facts.State.WriteRPS))
}

// mostChanges is how many changes a watch may bring, each as large as a value may be.
func (c *Core) mostChanges() int { return max(16, mostWatch/c.valueBytes()) }

// measureGap asks how far the store has come. When that is too far for a watch to
// catch up with, all records are read anew, in answers of bounded size.
func (c *Core) measureGap(now micros.T) {
	c.watching = true
	view := c.view
	sc := &protocol.StoreCall{Op: protocol.StoreList, Key: bookkeeping.LeadKey, Limit: 1}
	c.call(bookkeeping.RankClaim, sc, func(r protocol.StoreResult) {
		c.watching = false
		switch {
		case view != c.view || c.loading:
			return
		case r.Outcome != protocol.OK:
			c.watchAt = c.now() + 300*micros.Millisecond + micros.T(c.env.Rand().Int64N(int64(300*micros.Millisecond)))
			c.answerAskers(now, false)
		case r.Revision > view.watched+uint64(c.mostChanges()):
			c.log.Info("watch fell too far behind, reading all records again", "changes", r.Revision-view.watched)
			c.load()
			c.answerAskers(now, false)
		default:
			c.measuredAt = c.now()
			c.keepWatch(c.now())
		}
	})
}

// catchUp asks for the changes so far, beside a watch that waits for the next.
func (c *Core) catchUp() {
	if c.now()-max(c.watchOKAt, c.measuredAt) > c.watchSpan() {
		return // it could bring too much, see measureGap
	}
	c.catching = true
	c.watch(c.now(), 0, func() { c.catching = false })
	c.catchAt = c.now() + c.watchGap
}

func (c *Core) watch(now, block micros.T, ended func()) {
	c.watchAt = now + c.watchGap
	view := c.view
	sc := &protocol.StoreCall{
		Op: protocol.StoreWatch, Key: bookkeeping.Root, From: view.watched,
		Block: block, Within: block + 2*micros.Second,
	}
	c.queue.Reads.Take(1)
	c.env.Store(sc, func(r protocol.StoreResult) {
		ended()
		if view != c.view {
			c.answerAskers(now, false)
			return
		}
		switch r.Outcome {
		case protocol.OK:
			c.noteStore(r.Outcome)
			c.watchOKAt = c.now()
			c.view.applyEvents(r.Events, r.Revision)
			if !c.ready && c.view.watched >= c.loadedUpTo {
				c.becomeReady()
			}
			c.answerAskers(now, c.ready)
			if len(r.Events) > 0 && c.ready {
				c.fast(c.now())
			}
		case protocol.TooOld:
			c.log.Info("watch fell behind, reading all records again")
			c.load()
			c.answerAskers(now, false)
		case protocol.Throttled:
			c.watchAt = max(c.watchAt, c.now()+100*micros.Millisecond)
			c.catchAt = c.watchAt
		default:
			c.noteStore(r.Outcome)
			c.watchAt = c.now() + 300*micros.Millisecond + micros.T(c.env.Rand().Int64N(int64(300*micros.Millisecond)))
			c.catchAt = c.watchAt
			c.answerAskers(now, false)
		}
	})
}

// nudge has the other side of a conflict looked at soon.
func (c *Core) nudge() { c.watchAt = min(c.watchAt, max(c.now(), c.watchSent+50*micros.Millisecond)) }

// ---- membership and leadership ----

func (c *Core) grant() {
	if c.granting {
		return
	}
	c.granting = true
	sent := c.now()
	sc := &protocol.StoreCall{Op: protocol.StoreGrant, TTL: c.leaseTTL, Within: touchTimeout}
	c.call(bookkeeping.RankLease, sc, func(r protocol.StoreResult) {
		c.granting = false
		if r.Outcome != protocol.OK {
			c.granting = true
			wait := 300*micros.Millisecond + micros.T(c.env.Rand().Int64N(int64(400*micros.Millisecond)))
			c.env.After(wait, func() { c.granting = false; c.grant() })
			return
		}
		c.lease, c.leaseSent, c.touchAt = r.Lease, sent, sent+c.leaseTTL/4
		c.keepMember()
	})
}

func (c *Core) keepLease(now micros.T) {
	if c.lease == 0 || c.touching || now < c.touchAt {
		return
	}
	c.touching = true
	sent, lease := now, c.lease
	sc := &protocol.StoreCall{Op: protocol.StoreTouch, Lease: lease, Within: touchTimeout}
	c.call(bookkeeping.RankLease, sc, func(r protocol.StoreResult) {
		c.touching = false
		switch r.Outcome {
		case protocol.OK:
			c.leaseSent, c.touchAt = sent, sent+c.leaseTTL/4
		case protocol.NotFound:
			c.log.Info("own lease has ended, taking a new one")
			c.lease = 0
			c.grant()
		default:
			c.touchAt = c.now() + 300*micros.Millisecond
		}
	})
}

// leaseHeld tells whether our lease can't have ended yet, by the steady clock.
func (c *Core) leaseHeld(now micros.T) bool {
	return c.lease != 0 && now-c.leaseSent < c.leaseTTL-c.leaseTTL/100
}

// keepMember writes our member record if the store's isn't ours: an earlier
// incarnation's late put may overwrite it, or its lease may have taken it along.
func (c *Core) keepMember() {
	if !c.ready || c.lease == 0 || c.memberBusy {
		return
	}
	have := c.view.members[c.node]
	if have.version != 0 && have.rec.Incarnation == c.inc {
		return
	}
	c.memberBusy = true
	key := bookkeeping.Key(bookkeeping.KindMember, c.node)
	lease := c.lease
	t := protocol.Txn{
		If: []protocol.Cond{{Key: key, Version: have.version}},
		Then: []protocol.Op{{Put: key, Lease: lease,
			Value: protocol.MustMarshal(&bookkeeping.Member{Incarnation: c.inc, Zone: c.cfg.Area})}},
	}
	c.commit(bookkeeping.RankLease, t, func(r protocol.StoreResult) {
		c.memberBusy = false
		if r.Outcome == protocol.Rejected && c.lease == lease {
			c.lease = 0
			c.grant()
		}
	})
}

// live lists the controllers that the store holds as members, in order. Our own
// membership counts only while our lease is surely held.
func (c *Core) live() []string {
	out := make([]string, 0, len(c.all))
	for _, n := range c.all {
		if _, ok := c.view.members[n]; ok {
			out = append(out, n)
		}
	}
	return out
}

func (c *Core) isLive(node string) bool {
	_, ok := c.view.members[node]
	return ok
}

// leading tells whether we lead, by the mirror and our lease. Commits of the
// leader are conditional on the lead record as well.
func (c *Core) leading(now micros.T) bool {
	return c.ready && c.view.leadVer != 0 && c.view.lead.Node == c.node && c.view.lead.Incarnation == c.inc && c.leaseHeld(now)
}

func (c *Core) leadCond() protocol.Cond {
	return protocol.Cond{Key: bookkeeping.LeadKey, Version: c.view.leadVer}
}

// election takes the lead when nobody has it, or when our own earlier
// incarnation still holds it.
func (c *Core) election(now micros.T) {
	if c.leadBusy || !c.leaseHeld(now) || c.storeDown {
		return
	}
	v := c.view
	mine := v.leadVer != 0 && v.lead.Node == c.node
	if v.leadVer != 0 && !(mine && v.lead.Incarnation != c.inc) {
		return
	}
	c.leadBusy = true
	t := protocol.Txn{
		If: []protocol.Cond{{Key: bookkeeping.LeadKey, Version: v.leadVer}},
		Then: []protocol.Op{{Put: bookkeeping.LeadKey, Lease: c.lease,
			Value: protocol.MustMarshal(&bookkeeping.Lead{Node: c.node, Incarnation: c.inc})}},
	}
	c.commit(bookkeeping.RankLease, t, func(r protocol.StoreResult) {
		c.leadBusy = false
		if r.Outcome == protocol.OK {
			c.log.Info("leading", "term", r.Revision)
		}
	})
}

// gossip tells the peers that we live and whether we reach the store.
func (c *Core) gossip(now micros.T) {
	ok := !c.storeDown && now-c.storeOKAt < 1500*micros.Millisecond
	for _, p := range c.cfg.Known {
		c.env.Peer(p.Node, Hint{Node: c.node, Incarnation: c.inc, StoreOK: ok, Users: c.queue.Waiting(bookkeeping.RankUser)})
	}
}

// OnHint takes a peer's word.
func (c *Core) OnHint(h Hint) {
	now := c.now()
	c.peerSeen[h.Node] = now
	if h.StoreOK {
		c.peerOK[h.Node] = now
	}
	if h.Users > manyUsers {
		c.peerUsers[h.Node] = now
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

// LogWaiting tells at debug which jobs wait at the front, and why.
func (c *Core) LogWaiting() {
	if !c.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	s := ""
	for i, j := range c.openJobs() {
		if i == 12 {
			break
		}
		slack, missed := c.slack(j, c.env.Wall())
		s += fmt.Sprintf(" %s(%s %s age %.0f slack %.0f missed %d hungry %v owed %v waits %d ours %d paused_ms %d busy %v behind %v)", j.id, j.rec.Spec.Class, j.rec.Spec.Team,
			micros.T(c.env.Wall()-j.rec.At).Seconds(), slack, missed, c.starved(j, c.now()), c.owed(j), j.waiting(), j.pendingOf(c.node),
			max(0, c.jobNotes(j.id).until-c.now()).Millis(), c.jobBusy[j.id], c.view.watched < j.version)
	}
	shares := ""
	for i := range c.cfg.Facts.Teams {
		team := c.cfg.Facts.Teams[i].Name
		if limit, _ := c.team(team); limit.limited() {
			shares += fmt.Sprintf(" %s share %.0f left %.0f pool %.0f", team, c.partShare(c.node, team).cpus, c.shareLeft(team).cpus, c.pool(team).cpus)
		}
	}
	c.log.Debug("waiting", "jobs", s, "shares", shares)
}

// Summary is one line about the node, for the log.
func (c *Core) Summary() string {
	pages, waiting, running, used, all := 0, 0, 0, 0.0, 0.0
	for _, p := range c.view.pages {
		if c.owns(p) {
			pages++
		}
	}
	for _, j := range c.view.jobs {
		if j.open() {
			waiting += j.waiting()
			running += j.held
		}
	}
	for _, m := range c.view.machines {
		if m.rec != nil {
			used += m.used.cpus
			all += c.types[m.rec.Type].CPUs
		}
	}
	s := fmt.Sprintf("jobs %d waiting %d running %d machines %d cpus %.0f/%.0f members %d pages %d accepted %d later %d placed %d done %d conflicts %d throttled %d",
		len(c.view.jobs), waiting, running, len(c.view.machines), used, all, len(c.view.members), pages,
		c.stats.accepted, c.stats.later, c.stats.placed, c.stats.done, c.stats.conflicts, c.stats.throttled)
	for i := range c.cfg.Facts.Teams {
		if t := &c.cfg.Facts.Teams[i]; t.CPUsMax > 0 {
			s += fmt.Sprintf(" %s %.0f/%.0f", t.Name, c.view.teamUse[t.Name].cpus, t.CPUsMax)
		}
	}
	return s
}
