// Package membership keeps this controller's lease and member record, and tells which controllers are
// members, which one leads, and which one a key belongs to.
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

// Store makes calls of the state service.
type Store interface {
	// Call queues a call under its priority; the callback gets its result once.
	Call(priority ratelimit.Priority, call *protocol.StoreCall, callback func(protocol.StoreResult))
	// Unavailable reports whether the state service has lately not answered.
	Unavailable() bool
}

// Replica keeps the mirror up to date.
type Replica interface {
	// Ready reports whether the mirror is complete.
	Ready() bool
	// FreshAt returns the instant that the mirror is no older than.
	FreshAt() monotime.Micros
	// WhenCurrent has the mirror catch up and calls back when it is no older than the call.
	WhenCurrent(callback func(ok bool))
	// Commit makes a conditional change; on success it is in the mirror before callback is called.
	Commit(
		priority ratelimit.Priority,
		txn protocol.Transaction,
		callback func(protocol.StoreResult),
	)
}

// Environment provides time, timers and randomness. Callbacks come on the caller's goroutine.
type Environment interface {
	// Now reads the steady clock.
	Now() monotime.Micros
	// Rand is the source of randomness.
	Rand() *rand.Rand
	// After calls back after a delay.
	After(delay monotime.Micros, callback func())
}

// Options is what a Membership is made of.
type Options struct {
	Node        string
	Incarnation uint64 // of this process; it tells its member record from that of an earlier one
	Zone        string
	Controllers []string        // every controller of the deployment, this one included, in order
	TTL         monotime.Micros // of the lease

	Mirror      *mirror.Mirror
	Store       Store
	Replica     Replica
	Environment Environment
	Log         *slog.Logger
}

// Membership holds this controller's lease and member record, takes part in elections, and knows which
// controllers are members. Its methods are called on one goroutine.
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

// New makes the membership of a controller that holds no lease yet.
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

// EnsureMemberRecord writes this controller's member record if the mirror shows that of another incarnation
// or none: an earlier incarnation's late write may overwrite it, or its lease may have taken it along.
//
// This controller's partition of the quotas gets a new version in the same commit. Whoever released that
// partition while this controller was away compares its version: if that commit is carried out only
// after this controller has been back and gone again, it conflicts.
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

// memberRecordTxn is the conditional change that writes this controller's member record over the given
// version.
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

// LiveControllers lists the controllers that are members by the mirror, in order. This one is listed by its
// record like the others; HoldsLease reports whether it may act on it.
func (m *Membership) LiveControllers() []string {
	live := make([]string, 0, len(m.controllers))
	for _, node := range m.controllers {
		if m.IsMember(node) {
			live = append(live, node)
		}
	}
	return live
}

// IsMember reports whether a controller is a member by the mirror.
func (m *Membership) IsMember(node string) bool {
	_, ok := m.mirror.Members[node]
	return ok
}

// AbsentSince returns since when a controller that is no member has been missed: since the first call for it
// after its membership ended.
func (m *Membership) AbsentSince(node string, now monotime.Micros) monotime.Micros {
	since, ok := m.absentSince[node]
	if !ok {
		m.absentSince[node], since = now, now
	}
	return since
}

// HandleMemberChange follows a change of a controller's member record in the mirror.
func (m *Membership) HandleMemberChange(node string) {
	member := m.IsMember(node)
	if member {
		delete(m.absentSince, node)
	}
	m.log.Info("controller membership", "state", logging.ConditionState(member), "node", node)
}
