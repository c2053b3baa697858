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
	// shortageReportDelay is how long a controller lacks some of a limit before it says so: while machines
	// come up and jobs end, shares move by themselves.
	shortageReportDelay = 8 * monotime.Second
	// shortageReportIntervals is for how many intervals of the peers' status a report counts that a peer lacks
	// some of a limit.
	shortageReportIntervals = 3
	// departureGracePeriod is how long a controller is absent before its shares are deleted.
	departureGracePeriod = monotime.Second
)

// Membership tells which controllers are members of the cluster.
type Membership interface {
	// HoldsLease reports whether this controller's own lease can't have expired yet.
	HoldsLease(now monotime.Micros) bool
	// IsMember reports whether a controller is a member.
	IsMember(node string) bool
	// AbsentSince is since when a controller has been seen not to be a member.
	AbsentSince(node string, now monotime.Micros) monotime.Micros
}

// Store commits transactions to the state service.
type Store interface {
	// Unavailable reports whether the state service has lately not answered.
	Unavailable() bool
	// BudgetSharers is the number of live controllers, at least 1.
	BudgetSharers() int
	// Commit applies a successful transaction to the mirror before it calls back.
	Commit(ratelimit.Priority, protocol.Transaction, func(protocol.StoreResult))
}

// Shards tells what commits of this controller's shards may change.
type Shards interface {
	// CommitInFlight reports whether a commit of any own shard is in flight.
	CommitInFlight() bool
	// UseInDoubt is what updates whose commits have no outcome yet may have assigned to a team's tasks.
	UseInDoubt(team string) resources.Vector
}

// Peers tells what the other controllers report and which of them can take over from another.
type Peers interface {
	// QuotaLackReportedAt is when a peer last reported that it lacks some of a team's limit.
	QuotaLackReportedAt(team string) (at monotime.Micros, ok bool)
	// WorkersUnreachable reports whether this controller has lost contact with its workers.
	WorkersUnreachable() bool
	// SuccessorOf is the controller that takes over what a departed one leaves.
	SuccessorOf(node string) string
}

// Dependencies are what a Manager needs of the controller it belongs to.
type Dependencies struct {
	Mirror      *mirror.Mirror
	Membership  Membership
	Store       Store
	Shards      Shards
	Peers       Peers
	RequestPass func() // requests a scheduling pass, as what may be assigned has changed
	Log         *slog.Logger
}

// Config has the values that a Manager is made with.
type Config struct {
	Node        string
	Controllers []string // the names of all controllers of the deployment
	Teams       []config.Team
	// PeerStatusInterval is how often the controllers report to each other.
	PeerStatusInterval monotime.Micros
}

// Manager owns one controller's shares of the teams' limits. It is used by one goroutine.
type Manager struct {
	cfg  Config
	deps Dependencies

	writeInFlight     bool
	releasesInFlight  map[string]bool            // departed controllers whose record is being deleted
	shortages         map[string]*quota.Shortage // by team, since the last adjustment
	commitsInDoubt    []commitInDoubt
	shortOfQuotaSince map[string]monotime.Micros // by team: since when a task's worth of the limit is lacking
}

// commitInDoubt are shares that a commit without an outcome may yet bring about: it is conditional on a
// version of this controller's record, and nothing else changes that version when tasks are assigned under
// it.
type commitInDoubt struct {
	version uint64
	record  storage.Partition
}

// New makes the manager of a controller's shares.
func New(cfg Config, deps Dependencies) *Manager {
	return &Manager{
		cfg:               cfg,
		deps:              deps,
		releasesInFlight:  map[string]bool{},
		shortages:         map[string]*quota.Shortage{},
		shortOfQuotaSince: map[string]monotime.Micros{},
	}
}

// Limits returns a team's limits; ok is false for a team that the configuration doesn't have.
func (m *Manager) Limits(team string) (limits quota.Limits, ok bool) {
	return quota.LimitsOf(m.cfg.Teams, team)
}

// NoteShortage notes that the share of a team's limit keeps tasks waiting, for the next adjustment.
func (m *Manager) NoteShortage(team string, demand quota.UnmetDemand) {
	m.shortages[team] = quota.AddDemand(m.shortages[team], demand)
}

// WriteInFlight reports whether a commit is in flight that changes this controller's shares. Assignments
// depend on the record it writes.
func (m *Manager) WriteInFlight() bool { return m.writeInFlight }

// BeginWrite marks that a commit of another subject changes this controller's shares.
func (m *Manager) BeginWrite() { m.writeInFlight = true }

// EndWrite marks that the commit that BeginWrite announced has its outcome.
func (m *Manager) EndWrite() { m.writeInFlight = false }

// ShareOf is what a controller may use of a team's limit, by its record.
func (m *Manager) ShareOf(node, team string) resources.Vector {
	partition := m.deps.Mirror.Partitions[node]
	if partition == nil {
		return quota.ShareAmount(&storage.Partition{}, team)
	}
	return quota.ShareAmount(&partition.Record, team)
}

// ownShare is what this controller may use of a team's limit, whatever becomes of commits in doubt.
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

// ownRecordVersion is the version of this controller's record in the mirror, 0 if it has none.
func (m *Manager) ownRecordVersion() uint64 {
	return m.deps.Mirror.VersionOf(storage.PartitionKey(m.cfg.Node))
}

// ownUse is what this controller's shards take of a team's limit, at most. What a commit in doubt may have
// assigned counts as well, and so do shards of an earlier incarnation that haven't been claimed again: they
// are within the same share.
func (m *Manager) ownUse(team string) resources.Vector {
	use := resources.Vector{}
	for _, shard := range m.deps.Mirror.Shards {
		if shard.Record.Owner == m.cfg.Node {
			use = use.Plus(shard.UseByTeam[team])
		}
	}
	return use.Plus(m.deps.Shards.UseInDoubt(team))
}

// Left is what this controller may still assign to a team's tasks; infinite without a limit.
func (m *Manager) Left(team string) resources.Vector {
	limits, _ := m.Limits(team)
	if !limits.Limited() {
		return quota.Unlimited()
	}
	return limits.RemainingOfShare(m.ownShare(team), m.ownUse(team))
}

// Unallocated is what no controller has of a team's limit.
func (m *Manager) Unallocated(team string) resources.Vector {
	limits, _ := m.Limits(team)
	unallocated := limits.Remaining(resources.Vector{})
	for _, partition := range m.deps.Mirror.Partitions {
		share := partition.Record.QuotaShares[team]
		unallocated = unallocated.Minus(resources.New(share.CPUs, share.GPUs, 0))
	}
	return unallocated
}

// TeamsLacking lists the teams of whose limit a task's worth has been lacking for so long that the other
// controllers should lower shares they don't use.
func (m *Manager) TeamsLacking(now monotime.Micros) []string {
	var teams []string
	for _, team := range sortedmap.Keys(m.shortOfQuotaSince) {
		if now-m.shortOfQuotaSince[team] >= shortageReportDelay {
			teams = append(teams, team)
		}
	}
	return teams
}
