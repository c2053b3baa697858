package fake

import (
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// StateStore is a fake of the state service. It implements versioned keys, transactions, leases and watches.
type StateStore struct {
	Clock             *SimClock
	RPS, WriteRPS     float64 // rate limits: calls and writes per second
	MaxTransactionOps int
	// WatchHistory is the number of changes that the store keeps for watches; it compacts older ones.
	WatchHistory int
	Revision     uint64
	StoreFaults
	StoreCounters

	keyValues map[string]protocol.KeyValue
	history   []historyEntry
	// compactedRevision is the newest revision whose changes have been dropped from history.
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
	Down bool // the store answers all calls with 503
	// RefusedCallers are the callers whose calls the store answers with 503. Their open watches wait.
	RefusedCallers map[string]bool
	// LoseResponse, if set, reports whether the store drops the response to a commit that it has applied.
	LoseResponse func(*protocol.Transaction) bool
	// DelayCommit, if set, returns a delay. If it is above 0, the store applies the commit after the delay
	// and never answers it.
	DelayCommit func(*protocol.Transaction) monotime.Micros
	// DelayResponse, if set, returns a delay that the store adds to the response of a call.
	DelayResponse func(caller string, call *protocol.StoreCall) monotime.Micros
}

// StoreCounters count the calls that a StateStore has handled and their effects.
type StoreCounters struct {
	Throttled         int                      // calls answered with 429
	Calls             map[protocol.StoreOp]int // calls within the rate limits
	Changes           int                      // puts and deletes in commits within the rate limits, applied or not
	Conflicts         int                      // commits that changed nothing because a comparison failed
	ChangesByKind     map[string]int           // writes ("+kind") and failed comparisons ("!kind")
	LargestWatchReply int                      // the largest number of changes in one watch response
}

// defaultWatchHistory is the initial WatchHistory of a store; tests may change it.
const defaultWatchHistory = 10000

// serviceLatency is the simulated one-way latency of a call to the state service and of its response.
const serviceLatency = 2 * monotime.Millisecond

// NewStateStore starts an empty store with the given limits: calls per second, writes per second, and
// operations per transaction.
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

// Outage makes the store answer all calls with 503 for a duration. When the outage ends, the store extends
// every lease by its full TTL and answers the watches that have changes to report.
func (s *StateStore) Outage(duration monotime.Micros) {
	s.Down = true
	s.Clock.After(duration, func() {
		s.Down = false
		s.extendAllLeases()
		s.answerWatches()
	})
}

// takeTokens enforces the rate limits with two token buckets, each with a burst of one second. It takes one
// token for the call and one for each write, or returns false and counts the call as throttled if a bucket
// holds too few.
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

// Call executes a call on behalf of a caller. It invokes callback exactly once, with a zero result if the
// store does not answer within the call's timeout.
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
		delay := s.DelayResponse(caller, &call)
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
		s.handleWatch(caller, call, answer)
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
