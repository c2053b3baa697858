// Package membership maintains this controller's lease and member record, and takes part in leader elections.
// It reports which controllers are members, which one is the leader, and which one owns a key.
package membership

import (
	"log/slog"
	"math/rand/v2"

	"pipitgap/internal/logging"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/storage"
)

// Store sends calls to the state service.
type Store interface {
	// Call queues a call at a priority. The callback receives the result exactly once.
	Call(priority ratelimit.Priority, call *protocol.StoreCall, callback func(protocol.StoreResult))
	// Unavailable reports whether the state service is unavailable, as this controller observes it.
	Unavailable() bool
}

// Replica keeps the mirror, the local copy of the state service's records, up to date.
type Replica interface {
	// Ready reports whether the mirror contains all records.
	Ready() bool
	// FreshAt returns a time such that the mirror contains all changes made before it.
	FreshAt() monotime.Micros
	// WhenCurrent requests an update of the mirror. It calls back after the mirror contains all changes made
	// before this call, or with false if the state service doesn't answer.
	WhenCurrent(callback func(ok bool))
	// Commit sends a conditional write. After a success the mirror contains the write before the callback runs.
	Commit(
		priority ratelimit.Priority,
		txn protocol.Transaction,
		callback func(protocol.StoreResult),
	)
}

// Environment provides time, timers and randomness. It runs callbacks on the goroutine that uses Membership.
type Environment interface {
	// Now returns the time of the monotonic clock.
	Now() monotime.Micros
	// Rand returns the source of randomness.
	Rand() *rand.Rand
	// After runs a callback after a delay.
	After(delay monotime.Micros, callback func())
}

// Options contains the settings and dependencies of a Membership.
type Options struct {
	Node        string
	Incarnation uint64 // identifies this process run, so that its records differ from those of earlier runs
	Zone        string
	Controllers []string        // all controllers of the deployment, including this one, sorted by name
	TTL         monotime.Micros // time to live of the lease

	Mirror      *mirror.Mirror
	Store       Store
	Replica     Replica
	Environment Environment
	Log         *slog.Logger
}

// Membership maintains this controller's lease and member record, takes part in leader elections, and reports
// which controllers are members. It is not safe for concurrent use.
type Membership struct {
	node        string
	incarnation uint64
	zone        string
	controllers []string
	mirror      *mirror.Mirror
	store       Store
	replica     Replica
	env         Environment
	log         *slog.Logger

	lease               lease
	memberWriteInFlight bool
	electionInFlight    bool
	absentSince         map[string]monotime.Micros // by controller that is no member, see AbsentSince
}

// New returns the Membership of a controller without a lease.
func New(options Options) *Membership {
	return &Membership{
		node:        options.Node,
		incarnation: options.Incarnation,
		zone:        options.Zone,
		controllers: options.Controllers,
		mirror:      options.Mirror,
		store:       options.Store,
		replica:     options.Replica,
		env:         options.Environment,
		log:         options.Log,
		lease:       lease{ttl: options.TTL},
		absentSince: map[string]monotime.Micros{},
	}
}

// EnsureMemberRecord writes this controller's member record if the mirror shows no record or that of another
// incarnation. A delayed write of an earlier incarnation may have overwritten the record, or the state
// service may have deleted the record when its lease expired.
//
// The same commit writes a new version of this controller's quota partition. Another controller that releases
// this partition during an absence of this controller compares the partition's version. If that commit is
// delayed until after this controller has returned and left again, the new version makes it conflict.
func (m *Membership) EnsureMemberRecord() {
	if !m.replica.Ready() || m.lease.id == 0 || m.memberWriteInFlight {
		return
	}
	entry := m.mirror.Members[m.node]
	if entry.Version != 0 && entry.Record.Incarnation == m.incarnation {
		return
	}
	m.memberWriteInFlight = true
	leaseID := m.lease.id
	m.replica.Commit(
		ratelimit.PriorityLease,
		m.memberRecordTxn(entry.Version),
		func(result protocol.StoreResult) {
			m.memberWriteInFlight = false
			if result.Outcome == protocol.Rejected && m.lease.id == leaseID { // the lease has expired
				m.lease.id = 0
				m.RequestLease()
			}
		},
	)
}

// memberRecordTxn returns the transaction that writes this controller's member record if the record still has
// the given version. The record is bound to the lease.
func (m *Membership) memberRecordTxn(version uint64) protocol.Transaction {
	memberKey := storage.MemberKey(m.node)
	record := protocol.MustMarshal(&storage.Member{Incarnation: m.incarnation, Zone: m.zone})
	txn := protocol.Transaction{
		If:   []protocol.Compare{{Key: memberKey, Version: version}},
		Then: []protocol.Op{{Put: memberKey, Lease: m.lease.id, Value: record}},
	}
	if partition := m.mirror.Partitions[m.node]; partition != nil {
		key := storage.PartitionKey(m.node)
		txn.If = append(txn.If, protocol.Compare{Key: key, Version: partition.Version})
		txn.Then = append(txn.Then, protocol.Op{Put: key, Value: protocol.MustMarshal(&partition.Record)})
	}
	return txn
}

// IncarnationCompare returns the transaction condition that this incarnation's member record is unchanged. It
// works as a fencing token that the state service checks: a transaction with this condition fails once another
// incarnation has written its record, or the state service has deleted the record with its lease, no matter how
// late the transaction arrives.
//
// ok is false unless the mirror shows the record and contains all changes up to its version. If ok is true, the
// mirror therefore contains every transaction of earlier incarnations that had this condition and was applied,
// and none of the others can be applied any more.
func (m *Membership) IncarnationCompare() (compare protocol.Compare, ok bool) {
	entry := m.mirror.Members[m.node]
	if entry.Version == 0 || entry.Record.Incarnation != m.incarnation || m.mirror.WatchedRevision < entry.Version {
		return protocol.Compare{}, false
	}
	return protocol.Compare{Key: storage.MemberKey(m.node), Version: entry.Version}, true
}

// LiveControllers lists the controllers that are members according to the mirror, in the order of
// Options.Controllers. It includes this controller only if the mirror contains its member record. HoldsLease
// reports whether this controller may act as a member.
func (m *Membership) LiveControllers() []string {
	live := make([]string, 0, len(m.controllers))
	for _, node := range m.controllers {
		if m.IsMember(node) {
			live = append(live, node)
		}
	}
	return live
}

// IsMember reports whether a controller is a member according to the mirror.
func (m *Membership) IsMember(node string) bool {
	_, ok := m.mirror.Members[node]
	return ok
}

// AbsentSince returns the start of the observed absence of a controller that is no member. The absence starts
// with the first call for this controller after its membership ended.
func (m *Membership) AbsentSince(node string, now monotime.Micros) monotime.Micros {
	since, ok := m.absentSince[node]
	if !ok {
		m.absentSince[node], since = now, now
	}
	return since
}

// HandleMemberChange processes a change of a controller's member record in the mirror. It logs the change,
// and ends the controller's absence if the controller is a member.
func (m *Membership) HandleMemberChange(node string) {
	member := m.IsMember(node)
	if member {
		delete(m.absentSince, node)
	}
	entry := m.mirror.Members[node]
	m.log.Info("controller membership", "state", logging.ConditionState(member), "node", node,
		"incarnation", entry.Record.Incarnation, "revision", entry.Version)
}
