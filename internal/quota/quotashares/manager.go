package quotashares

import (
	"log/slog"

	"pipitgap/internal/config"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/quota"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/resources"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

const (
	// shortageReportDelay is how long a shortage lasts before a controller reports it to the other
	// controllers. While machines start and jobs end, shares move between controllers without a report.
	shortageReportDelay = 8 * monotime.Second
	// shortageReportIntervals is how long a peer's shortage report stays valid, in peer status intervals.
	shortageReportIntervals = 3
	// departureGracePeriod is how long a controller must be absent before its shares are deleted.
	departureGracePeriod = monotime.Second
)

// Membership provides the membership of controllers in the cluster.
type Membership interface {
	// HoldsLease reports whether this controller's own lease is certain not to have expired.
	HoldsLease(now monotime.Micros) bool
	// IncarnationCompare returns the condition that this incarnation's member record is unchanged. ok is false
	// while a commit of an earlier incarnation with that condition may still change what the mirror shows.
	IncarnationCompare() (compare protocol.Compare, ok bool)
	// IsMember reports whether a controller is a member.
	IsMember(node string) bool
	// AbsentSince returns when a controller was first seen not to be a member.
	AbsentSince(node string, now monotime.Micros) monotime.Micros
}

// Store commits transactions to the state service.
type Store interface {
	// Unavailable reports whether the state service recently failed to respond.
	Unavailable() bool
	// LiveControllerCount returns the number of live controllers, at least 1.
	LiveControllerCount() int
	// Commit submits a transaction. It applies a successful one to the mirror before it calls the callback.
	Commit(ratelimit.Priority, protocol.Transaction, func(protocol.StoreResult))
}

// Shards provides the state of the commits of this controller's shards.
type Shards interface {
	// CommitInFlight reports whether a commit of any of this controller's shards is in flight.
	CommitInFlight() bool
	// UseInDoubt returns the resources that commits without a known outcome may have assigned to a team's
	// tasks.
	UseInDoubt(team string) resources.Vector
}

// Peers provides the other controllers' reports and the assignment of successors to departed controllers.
type Peers interface {
	// QuotaShortageReportedAt returns when a peer last reported a shortage of a team's limit. ok is false if no
	// peer did.
	QuotaShortageReportedAt(team string) (at monotime.Micros, ok bool)
	// WorkersUnreachable reports whether this controller has lost contact with its workers.
	WorkersUnreachable() bool
	// SuccessorOf returns the controller that takes over from the given controller after its departure.
	SuccessorOf(node string) string
}

// Dependencies holds the parts of the controller that a Manager uses.
type Dependencies struct {
	Mirror      *mirror.Mirror
	Membership  Membership
	Store       Store
	Shards      Shards
	Peers       Peers
	RequestPass func() // requests a scheduling pass because the quota available for assignment may have changed
	Log         *slog.Logger
}

// Config holds the settings of a Manager.
type Config struct {
	Node        string
	Controllers []string // the names of all controllers of the deployment
	Teams       []config.Team
	// PeerStatusInterval is how often the controllers report to each other.
	PeerStatusInterval monotime.Micros
}

// Manager owns one controller's shares of the teams' limits. It is not safe for concurrent use.
type Manager struct {
	cfg  Config
	deps Dependencies

	writeInFlight     bool
	releasesInFlight  map[string]bool            // departed controllers whose record is being deleted
	shortages         map[string]*quota.Shortage // by team, since the last adjustment
	commitsInDoubt    []commitInDoubt
	shortOfQuotaSince map[string]monotime.Micros // by team, see TeamsShortOfQuota
}

// commitInDoubt is a commit of this controller's record with an unknown outcome. It is conditional on a
// version of the record. Assigning tasks doesn't change that version, so the commit may still apply after
// assignments that were based on the old shares.
type commitInDoubt struct {
	version uint64
	record  storage.Partition
}

// New returns a Manager for the shares of the controller cfg.Node.
func New(cfg Config, deps Dependencies) *Manager {
	return &Manager{
		cfg:               cfg,
		deps:              deps,
		releasesInFlight:  map[string]bool{},
		shortages:         map[string]*quota.Shortage{},
		shortOfQuotaSince: map[string]monotime.Micros{},
	}
}

// Limits returns a team's limits. ok is false if the configuration has no such team.
func (m *Manager) Limits(team string) (limits quota.Limits, ok bool) {
	return quota.LimitsOf(m.cfg.Teams, team)
}

// RecordShortage records, for the next adjustment, that tasks wait because the share of a team's limit is too
// small.
func (m *Manager) RecordShortage(team string, demand quota.UnmetDemand) {
	m.shortages[team] = quota.AddDemand(m.shortages[team], demand)
}

// WriteInFlight reports whether a commit that changes this controller's shares is in flight. Assignments are
// conditional on the record that this commit writes.
func (m *Manager) WriteInFlight() bool { return m.writeInFlight }

// BeginWrite marks the start of a commit that another component issues and that changes this controller's
// shares.
func (m *Manager) BeginWrite() { m.writeInFlight = true }

// EndWrite marks the end of the commit that BeginWrite announced.
func (m *Manager) EndWrite() { m.writeInFlight = false }

// ShareOf returns a controller's share of a team's limit, according to the controller's record.
func (m *Manager) ShareOf(node, team string) resources.Vector {
	partition := m.deps.Mirror.Partitions[node]
	if partition == nil {
		return quota.ShareAmount(&storage.Partition{}, team)
	}
	return quota.ShareAmount(&partition.Record, team)
}

// ownShare returns the part of a team's limit that this controller may use whether or not its commits in
// doubt apply: the minimum of the current share and the shares in those commits.
func (m *Manager) ownShare(team string) resources.Vector {
	share := m.ShareOf(m.cfg.Node, team)
	version := m.ownRecordVersion()
	for _, doubt := range m.commitsInDoubt {
		if doubt.version == version {
			possible := quota.ShareAmount(&doubt.record, team)
			share.CPUs = min(share.CPUs, possible.CPUs)
			share.GPUs = min(share.GPUs, possible.GPUs)
		}
	}
	return share
}

// ownRecordVersion returns the version of this controller's record in the mirror, or 0 if it has no record.
func (m *Manager) ownRecordVersion() uint64 {
	return m.deps.Mirror.VersionOf(storage.PartitionKey(m.cfg.Node))
}

// ownUse returns an upper bound on the part of a team's limit that this controller's shards use. It includes
// assignments by commits in doubt. It also includes shards of an earlier incarnation of this controller that
// haven't been claimed again, because they use the same share.
func (m *Manager) ownUse(team string) resources.Vector {
	use := resources.Vector{}
	for _, shard := range m.deps.Mirror.Shards {
		if shard.Record.Owner == m.cfg.Node {
			use = use.Plus(shard.UsageByTeam[team])
		}
	}
	return use.Plus(m.deps.Shards.UseInDoubt(team))
}

// RemainingQuota returns the resources that this controller may still assign to a team's tasks. They are infinite
// without a limit.
func (m *Manager) RemainingQuota(team string) resources.Vector {
	limits, _ := m.Limits(team)
	if !limits.Limited() {
		return quota.Unlimited()
	}
	return limits.RemainingOfShare(m.ownShare(team), m.ownUse(team))
}

// Unallocated returns the part of a team's limit that is in no controller's share.
func (m *Manager) Unallocated(team string) resources.Vector {
	limits, _ := m.Limits(team)
	unallocated := limits.Remaining(resources.Vector{})
	for _, partition := range m.deps.Mirror.Partitions {
		share := partition.Record.QuotaShares[team]
		unallocated = unallocated.Minus(resources.New(share.CPUs, share.GPUs, 0))
	}
	return unallocated
}

// TeamsShortOfQuota lists the teams whose limit has had too little unallocated for a single waiting task for at
// least shortageReportDelay although a machine has room for the task. The other controllers should lower
// their unused shares of these limits.
func (m *Manager) TeamsShortOfQuota(now monotime.Micros) []string {
	var teams []string
	for _, team := range sortedmap.Keys(m.shortOfQuotaSince) {
		if now-m.shortOfQuotaSince[team] >= shortageReportDelay {
			teams = append(teams, team)
		}
	}
	return teams
}
