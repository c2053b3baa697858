package shards

import (
	"fmt"
	"log/slog"

	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// Manager owns the shards of one controller.
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

	trackers        map[string]*tracker       // by own shard
	newShards       map[string]*storage.Shard // new shards that aren't in the mirror yet
	shardSequence   int                       // number of the newest one
	takeoverLimiter takeoverLimiter
	claimRequests   map[string]*claimRequest // by machine
	claimsObserved  map[string]observedClaim // by shard
	claimsInFlight  map[string]bool          // shards that are being claimed
}

// observedClaim is since when the claim that a shard is held under is known.
type observedClaim struct {
	number, incarnation uint64
	observedAt          monotime.Micros
}

// NewManager makes a manager without any shards; it finds them in the mirror.
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

// Owns reports whether a shard belongs to this incarnation of the controller.
func (m *Manager) Owns(shard *mirror.Shard) bool {
	return shard.Record.Owner == m.cfg.Node && shard.Record.Incarnation == m.cfg.Incarnation
}

// ClaimObservedAt is since when the claim that a shard is held under is known; 0 if the shard is unknown.
func (m *Manager) ClaimObservedAt(shard string) monotime.Micros {
	return m.claimsObserved[shard].observedAt
}

// HandleShardChange follows a change of a shard in the mirror: which machines are the controller's now, and
// that what was in doubt about the version before is settled.
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

// observeClaim notes when a shard's claim was first seen.
func (m *Manager) observeClaim(shard *mirror.Shard) {
	record, observed := shard.Record, m.claimsObserved[shard.Name]
	if observed.number != record.Claim || observed.incarnation != record.Incarnation {
		m.claimsObserved[shard.Name] = observedClaim{record.Claim, record.Incarnation, m.now()}
	}
}

// createShard begins a new shard, without machines, and gives its update.
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
	update := NewUpdate(name, nil, next)
	update.maxBytes = next.MaxEncodedSize()
	return update
}
