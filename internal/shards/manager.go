package shards

import (
	"fmt"
	"log/slog"

	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// Manager manages the shards that one controller owns.
type Manager struct {
	cfg         Config
	mirror      *mirror.Mirror
	store       Store
	membership  Membership
	peers       Peers
	quota       Quota
	agents      Agents
	drains      Drains
	jobs        Jobs
	passes      Passes
	machineType func(name string) protocol.MachineType
	now         func() monotime.Micros
	log         *slog.Logger

	trackers        map[string]*tracker       // by name of an own shard
	newShards       map[string]*storage.Shard // own shards that are not in the mirror yet, by name
	shardSequence   int                       // sequence number of the newest shard that this Manager created
	takeoverLimiter takeoverLimiter
	claimRequests   map[string]*claimRequest // by machine identifier
	claimsObserved  map[string]observedClaim // by shard name
	claimsInFlight  map[string]bool          // names of shards with a claim commit in flight
}

// observedClaim records when this controller first saw a shard's claim, which its claim number and the owner's
// incarnation identify.
type observedClaim struct {
	number, incarnation uint64
	observedAt          monotime.Micros
}

// NewManager returns a Manager. It reads the existing shards from the mirror.
func NewManager(cfg Config, deps Dependencies) *Manager {
	return &Manager{
		cfg:             cfg,
		mirror:          deps.Mirror,
		store:           deps.Store,
		membership:      deps.Membership,
		peers:           deps.Peers,
		quota:           deps.Quota,
		agents:          deps.Agents,
		drains:          deps.Drains,
		jobs:            deps.Jobs,
		passes:          deps.Passes,
		machineType:     deps.MachineType,
		now:             deps.Now,
		log:             deps.Log,
		trackers:        map[string]*tracker{},
		newShards:       map[string]*storage.Shard{},
		takeoverLimiter: newTakeoverLimiter(cfg.MaxTxnOps),
		claimRequests:   map[string]*claimRequest{},
		claimsObserved:  map[string]observedClaim{},
		claimsInFlight:  map[string]bool{},
	}
}

// Owns reports whether this incarnation of the controller owns a shard.
func (m *Manager) Owns(shard *mirror.Shard) bool {
	return shard.Record.Owner == m.cfg.Node && shard.Record.Incarnation == m.cfg.Incarnation
}

// ClaimObservedAt returns when this controller first saw the current claim of a shard. It returns 0 for an
// unknown shard.
func (m *Manager) ClaimObservedAt(shard string) monotime.Micros {
	return m.claimsObserved[shard].observedAt
}

// HandleShardChange processes a change of a shard in the mirror. It resolves the updates that were in doubt for
// the previous version, and reports the shard's machines to Agents for a change of ownership.
func (m *Manager) HandleShardChange(name string) {
	shard := m.mirror.Shards[name]
	if t := m.trackers[name]; t != nil {
		t.resolveUpdates(m.mirror.VersionOf(storage.ShardKey(name)))
	}
	if shard == nil {
		delete(m.trackers, name)
		delete(m.claimsObserved, name)
		return
	}
	delete(m.newShards, name)
	m.observeClaim(shard)
	own := m.Owns(shard)
	for id := range shard.Record.Machines {
		machine := m.mirror.Machines[id]
		if machine != nil && (own || m.agents.Has(machine)) {
			m.agents.UpdateOwnership(machine)
		}
	}
}

// observeClaim records the time at which a new claim of a shard appears in the mirror.
func (m *Manager) observeClaim(shard *mirror.Shard) {
	record, observed := shard.Record, m.claimsObserved[shard.Name]
	if observed.number != record.Claim || observed.incarnation != record.Incarnation {
		m.claimsObserved[shard.Name] = observedClaim{record.Claim, record.Incarnation, m.now()}
	}
}

// createShard adds an empty shard to newShards and returns the update that creates its record.
func (m *Manager) createShard() *Update {
	m.shardSequence++
	name := fmt.Sprintf("%s.%x.%d", m.cfg.Node, m.cfg.Incarnation, m.shardSequence)
	next := &storage.Shard{
		Owner:       m.cfg.Node,
		Incarnation: m.cfg.Incarnation,
		Claim:       1,
		Machines:    map[string]*storage.ShardMachine{},
		Jobs:        map[string]*storage.ShardJob{},
	}
	m.newShards[name] = next
	update := m.newUpdate(name, nil, next)
	update.maxBytes = next.MaxEncodedSize()
	return update
}

// newUpdate returns an update whose assignments and claims are conditional on this incarnation's member record.
// While the record is not current, the update must contain neither.
func (m *Manager) newUpdate(name string, previous *mirror.Shard, next *storage.Shard) *Update {
	fence, _ := m.membership.IncarnationCompare()
	return NewUpdate(name, previous, next, fence)
}
