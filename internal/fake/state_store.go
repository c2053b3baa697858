package fake

import (
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// StateStore is a fake of the state service: versioned keys, transactions, leases and watches.
type StateStore struct {
	Clock             *SimClock
	RPS, WriteRPS     float64 // calls and changes a second
	MaxTransactionOps int
	// WatchHistory is how many changes are kept for watches.
	WatchHistory int
	Revision     uint64
	StoreFaults
	StoreCounters

	keyValues map[string]protocol.KeyValue
	history   []historyEntry
	// compactedRevision is the newest revision whose changes aren't kept any more.
	compactedRevision uint64
	leases            map[uint64]*lease
	lastLeaseID       uint64
	watches           []*watch
	callTokens        float64
	writeTokens       float64
	refilledAt        monotime.Micros
}

// StoreFaults are the faults that a test injects into a StateStore.
type StoreFaults struct {
	Down           bool            // all calls are answered 503
	RefusedCallers map[string]bool // the calls of these callers are answered 503
	// LoseResponse, if set, tells whether a commit that was applied gets no answer.
	LoseResponse func(*protocol.Transaction) bool
	// DelayCommit, if set, has a commit applied that much later, with no answer.
	DelayCommit func(*protocol.Transaction) monotime.Micros
	// DelayResponse, if set, has answers come that much later.
	DelayResponse func() monotime.Micros
}

// StoreCounters count what a StateStore has done.
type StoreCounters struct {
	Throttled         int                      // calls that were answered 429
	Calls             map[protocol.StoreOp]int // calls that were let through
	Changes           int                      // puts and deletes of the commits that were let through
	Conflicts         int                      // commits that changed nothing
	ChangesByKind     map[string]int           // what was changed ("+kind") and what failed ("!kind")
	LargestWatchReply int                      // the most changes in one answer of a watch
}

// defaultWatchHistory is how many changes are kept for watches, unless a test says otherwise.
const defaultWatchHistory = 10000

// serviceLatency is how long a call takes to a service, and its answer back.
const serviceLatency = 2 * monotime.Millisecond

// NewStateStore starts an empty store with the given limits: calls and writes a second, and operations of a
// transaction.
func NewStateStore(sim *SimClock, rps, writeRPS float64, transactionOps int) *StateStore {
	s := &StateStore{
		Clock:             sim,
		RPS:               rps,
		WriteRPS:          writeRPS,
		MaxTransactionOps: transactionOps,
		WatchHistory:      defaultWatchHistory,
		StoreFaults:       StoreFaults{RefusedCallers: map[string]bool{}},
		StoreCounters: StoreCounters{
			Calls:         map[protocol.StoreOp]int{},
			ChangesByKind: map[string]int{},
		},
		keyValues:   map[string]protocol.KeyValue{},
		leases:      map[uint64]*lease{},
		callTokens:  rps,
		writeTokens: writeRPS,
	}
	s.expireLeases()
	return s
}

// Outage has the store reject all calls for a while; afterwards every lease has its full time again.
func (s *StateStore) Outage(duration monotime.Micros) {
	s.Down = true
	s.Clock.After(duration, func() {
		s.Down = false
		s.extendAllLeases()
		s.answerWatches()
	})
}

// takeTokens refills the token buckets and takes a call and its writes out of them, if they hold enough.
func (s *StateStore) takeTokens(writes int) bool {
	now := s.Clock.Now()
	elapsed := (now - s.refilledAt).Seconds()
	s.refilledAt = now
	s.callTokens = min(s.RPS, s.callTokens+elapsed*s.RPS)
	s.writeTokens = min(s.WriteRPS, s.writeTokens+elapsed*s.WriteRPS)
	if s.callTokens < 1 || writes > 0 && s.writeTokens < float64(writes) {
		s.Throttled++
		return false
	}
	s.callTokens--
	s.writeTokens -= float64(writes)
	return true
}

// Call performs a call for a caller. callback is called once, with a zero result if no answer comes within the
// call's timeout.
func (s *StateStore) Call(caller string, c *protocol.StoreCall, callback func(protocol.StoreResult)) {
	call := *c
	answered := false
	answer := func(result protocol.StoreResult) {
		if !answered {
			answered = true
			s.Clock.After(serviceLatency, func() { callback(result) })
		}
	}
	s.Clock.After(call.Timeout, func() { answer(protocol.StoreResult{}) })
	reply := answer
	if s.DelayResponse != nil {
		delay := s.DelayResponse()
		reply = func(result protocol.StoreResult) { s.Clock.After(delay, func() { answer(result) }) }
	}
	s.Clock.After(serviceLatency, func() { s.handle(caller, &call, reply) })
}

func (s *StateStore) handle(caller string, call *protocol.StoreCall, answer func(protocol.StoreResult)) {
	if s.Down || s.RefusedCallers[caller] {
		answer(protocol.StoreResult{Outcome: protocol.Unavailable})
		return
	}
	if !s.takeTokens(call.Writes()) {
		answer(protocol.StoreResult{Outcome: protocol.Throttled})
		return
	}
	s.Calls[call.Op]++
	s.Changes += call.Writes()
	switch call.Op {
	case protocol.StoreGet:
		answer(s.get(call))
	case protocol.StoreList:
		answer(s.list(call))
	case protocol.StoreCommit:
		s.handleCommit(call, answer)
	case protocol.StoreGrantLease:
		answer(s.grantLease(call))
	case protocol.StoreKeepAlive:
		answer(s.keepAlive(call))
	case protocol.StoreWatch:
		s.handleWatch(call, answer)
	}
}

func (s *StateStore) get(call *protocol.StoreCall) protocol.StoreResult {
	item, ok := s.keyValues[call.Key]
	if !ok {
		return protocol.StoreResult{Outcome: protocol.NotFound, Revision: s.Revision}
	}
	return protocol.StoreResult{Outcome: protocol.OK, Item: item}
}

func (s *StateStore) list(call *protocol.StoreCall) protocol.StoreResult {
	result := protocol.StoreResult{Outcome: protocol.OK, Revision: s.Revision}
	for _, key := range s.Keys(call.Key) {
		if key <= call.After {
			continue
		}
		if len(result.Items) == call.Limit {
			result.More = true
			break
		}
		result.Items = append(result.Items, s.keyValues[key])
	}
	return result
}
