package fake

import (
	"encoding/json"
	"sort"
	"strings"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// StateStore is a stand-in for the state service.
type StateStore struct {
	Clock             *SimClock
	RPS, WriteRPS     float64
	MaxTransactionOps int
	// WatchHistory is how many changes are kept for watches.
	WatchHistory int
	Revision     uint64
	keyValues    map[string]protocol.KeyValue
	history      []historyEntry
	// compactedRevision is the newest revision whose changes aren't kept any more.
	compactedRevision uint64
	leases            map[uint64]*lease
	nextID            uint64
	watches           []*watch
	readTokens        float64
	writeTokens       float64
	refilledAt        monotime.Micros

	Down           bool            // 503 for all
	RefusedCallers map[string]bool // 503 for these callers alone
	// LoseResponse, if set, tells whether a commit that was applied gets no answer.
	LoseResponse func(*protocol.Transaction) bool
	// DelayCommit, if set, has a commit applied that much later, with no answer.
	DelayCommit func(*protocol.Transaction) monotime.Micros
	// DelayResponse, if set, has answers come that much later.
	DelayResponse func() monotime.Micros
	Throttled     int
	// Calls counts what was let through by kind, Changes the puts and deletes,
	// Conflicts the commits that changed nothing.
	Calls              map[protocol.StoreOp]int
	Changes, Conflicts int
	ChangesByKind      map[string]int // what was changed ("+kind") and what failed ("!kind")
	LargestWatchReply  int            // changes in one answer of a watch, at most
}

type historyEntry struct {
	revision uint64
	event    protocol.Event
}

type lease struct {
	ttl       monotime.Micros
	expiresAt monotime.Micros
}

type watch struct {
	call     *protocol.StoreCall
	callback func(protocol.StoreResult)
	answered bool
}

// NewStateStore starts an empty store with the given limits.
func NewStateStore(sim *SimClock, rps, wps float64, txnOps int) *StateStore {
	s := &StateStore{
		Clock: sim, RPS: rps, WriteRPS: wps, MaxTransactionOps: txnOps, WatchHistory: defaultWatchHistory,
		keyValues: map[string]protocol.KeyValue{}, leases: map[uint64]*lease{}, RefusedCallers: map[string]bool{},
		readTokens: rps, writeTokens: wps, Calls: map[protocol.StoreOp]int{}, ChangesByKind: map[string]int{},
	}
	s.expireLeases()
	return s
}

// Outage has the store refuse everything for a while; afterwards every lease
// has its full time again.
func (s *StateStore) Outage(d monotime.Micros) {
	s.Down = true
	s.Clock.After(d, func() {
		s.Down = false
		for _, l := range s.leases {
			l.expiresAt = s.Clock.Now() + l.ttl
		}
		s.answerWatches()
	})
}

func (s *StateStore) expireLeases() {
	if !s.Down {
		for id := uint64(1); id <= s.nextID; id++ {
			if l := s.leases[id]; l != nil && s.Clock.Now() > l.expiresAt {
				delete(s.leases, id)
				var gone []string
				for k, item := range s.keyValues {
					if item.Lease == id {
						gone = append(gone, k)
					}
				}
				sort.Strings(gone)
				if len(gone) > 0 {
					s.Revision++
				}
				for _, k := range gone {
					delete(s.keyValues, k)
					s.history = append(
						s.history,
						historyEntry{s.Revision, protocol.Event{Delete: k, Version: s.Revision}},
					)
				}
				s.answerWatches()
			}
		}
	}
	s.Clock.After(50*monotime.Millisecond, s.expireLeases)
}

func (s *StateStore) takeTokens(writes int) bool {
	now := s.Clock.Now()
	d := (now - s.refilledAt).Seconds()
	s.refilledAt = now
	s.readTokens = min(s.RPS, s.readTokens+d*s.RPS)
	s.writeTokens = min(s.WriteRPS, s.writeTokens+d*s.WriteRPS)
	if s.readTokens < 1 || writes > 0 && s.writeTokens < float64(writes) {
		s.Throttled++
		return false
	}
	s.readTokens--
	s.writeTokens -= float64(writes)
	return true
}

// Call performs a call for a caller; the answer comes after a few milliseconds.
func (s *StateStore) Call(caller string, c *protocol.StoreCall, back func(protocol.StoreResult)) {
	call := *c
	answered := false
	answer := func(result protocol.StoreResult) {
		if !answered {
			answered = true
			s.Clock.After(2*monotime.Millisecond, func() { back(result) })
		}
	}
	s.Clock.After(call.Timeout, func() { answer(protocol.StoreResult{}) })
	reply := answer
	if s.DelayResponse != nil {
		late := s.DelayResponse()
		reply = func(result protocol.StoreResult) { s.Clock.After(late, func() { answer(result) }) }
	}
	s.Clock.After(2*monotime.Millisecond, func() { s.handle(caller, &call, reply) })
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
		item, ok := s.keyValues[call.Key]
		if !ok {
			answer(protocol.StoreResult{Outcome: protocol.NotFound, Revision: s.Revision})
			return
		}
		answer(protocol.StoreResult{Outcome: protocol.OK, Item: item})
	case protocol.StoreList:
		result := protocol.StoreResult{Outcome: protocol.OK, Revision: s.Revision}
		for _, k := range s.Keys(call.Key) {
			if k <= call.After {
				continue
			}
			if len(result.Items) == call.Limit {
				result.More = true
				break
			}
			result.Items = append(result.Items, s.keyValues[k])
		}
		answer(result)
	case protocol.StoreCommit:
		if s.DelayCommit != nil {
			if d := s.DelayCommit(&call.Transaction); d > 0 {
				s.Clock.After(d, func() { s.commit(&call.Transaction) })
				return
			}
		}
		result := s.commit(&call.Transaction)
		if result.Outcome == protocol.OK && s.LoseResponse != nil && s.LoseResponse(&call.Transaction) {
			return
		}
		answer(result)
	case protocol.StoreGrantLease:
		s.nextID++
		s.leases[s.nextID] = &lease{call.TTL, s.Clock.Now() + call.TTL}
		answer(protocol.StoreResult{Outcome: protocol.OK, Lease: s.nextID})
	case protocol.StoreKeepAlive:
		l := s.leases[call.Lease]
		if l == nil {
			answer(protocol.StoreResult{Outcome: protocol.NotFound})
			return
		}
		l.expiresAt = s.Clock.Now() + l.ttl
		answer(protocol.StoreResult{Outcome: protocol.OK})
	case protocol.StoreWatch:
		watcher := &watch{call: call, callback: answer}
		if !s.answerWatch(watcher, false) {
			s.watches = append(s.watches, watcher)
			s.Clock.After(call.MaxBlock, func() {
				if !s.Down {
					s.answerWatch(watcher, true)
				}
			})
		}
	}
}

func (s *StateStore) answerWatch(watcher *watch, force bool) bool {
	if watcher.answered {
		return true
	}
	if watcher.call.FromRevision < s.compactedRevision {
		watcher.answered = true
		watcher.callback(protocol.StoreResult{Outcome: protocol.Compacted})
		return true
	}
	result := protocol.StoreResult{Outcome: protocol.OK, Revision: s.Revision}
	begin := sort.Search(
		len(s.history),
		func(i int) bool { return s.history[i].revision > watcher.call.FromRevision },
	)
	for _, l := range s.history[begin:] {
		if strings.HasPrefix(l.event.Put+l.event.Delete, watcher.call.Key) {
			result.Events = append(result.Events, l.event)
		}
	}
	if len(result.Events) == 0 && !force {
		return false
	}
	watcher.answered = true
	s.LargestWatchReply = max(s.LargestWatchReply, len(result.Events))
	watcher.callback(result)
	return true
}

// defaultWatchHistory is how many changes are kept for watches, unless a test says otherwise.
const defaultWatchHistory = 10000

// compact drops the oldest changes, many at a time.
func (s *StateStore) compact() {
	if len(s.history) <= s.WatchHistory {
		return
	}
	drop := len(s.history) - s.WatchHistory
	s.compactedRevision = s.history[drop-1].revision
	s.history = s.history[drop:]
}

func (s *StateStore) answerWatches() {
	s.compact()
	if s.Down {
		return
	}
	var left []*watch
	for _, watcher := range s.watches {
		if !s.answerWatch(watcher, false) {
			left = append(left, watcher)
		}
	}
	s.watches = left
}

func (s *StateStore) commit(txn *protocol.Transaction) protocol.StoreResult {
	if len(txn.Then) > s.MaxTransactionOps || len(txn.If) > 4*s.MaxTransactionOps {
		return protocol.StoreResult{Outcome: protocol.Rejected}
	}
	for _, op := range txn.Then {
		if op.Put != "" && op.Lease != 0 && s.leases[op.Lease] == nil {
			return protocol.StoreResult{Outcome: protocol.Rejected}
		}
	}
	result := protocol.StoreResult{Outcome: protocol.OK}
	for _, c := range txn.If {
		if s.keyValues[c.Key].Version != c.Version {
			result.Failed = append(result.Failed, c.Key)
		}
	}
	if len(result.Failed) > 0 {
		s.Conflicts++
		for _, k := range result.Failed {
			s.ChangesByKind["!"+recordKind(k)]++
		}
		result.Outcome, result.Revision = protocol.Conflict, s.Revision
		return result
	}
	if len(txn.Then) > 0 {
		s.Revision++
	}
	for _, op := range txn.Then {
		s.ChangesByKind["+"+recordKind(op.Put+op.Delete)]++
		if op.Put != "" {
			s.keyValues[op.Put] = protocol.KeyValue{
				Key:     op.Put,
				Value:   op.Value,
				Version: s.Revision,
				Lease:   op.Lease,
			}
			s.history = append(
				s.history,
				historyEntry{s.Revision, protocol.Event{Put: op.Put, Value: op.Value, Version: s.Revision}},
			)
		} else if _, ok := s.keyValues[op.Delete]; ok {
			delete(s.keyValues, op.Delete)
			deletion := protocol.Event{Delete: op.Delete, Version: s.Revision}
			s.history = append(s.history, historyEntry{s.Revision, deletion})
		}
	}
	if len(txn.Then) > 0 {
		s.answerWatches()
	}
	result.Revision = s.Revision
	return result
}

// Rewrite gives a key a new version with the value that it has.
func (s *StateStore) Rewrite(key string) {
	if item, ok := s.keyValues[key]; ok {
		s.commit(&protocol.Transaction{Then: []protocol.Op{{Put: key, Value: item.Value, Lease: item.Lease}}})
	}
}

// Keys lists the keys with a prefix, in order.
func (s *StateStore) Keys(prefix string) []string {
	var out []string
	for k := range s.keyValues {
		if strings.HasPrefix(k, prefix) {
			out = append(out, k)
		}
	}
	sort.Strings(out)
	return out
}

// Read decodes the value of a key.
func (s *StateStore) Read(key string, v any) bool {
	item, ok := s.keyValues[key]
	return ok && protocol.Unmarshal(item.Value, v) == nil
}

// recordKind is the second part of a key.
func recordKind(key string) string {
	f := strings.Split(key, "/")
	if len(f) < 2 {
		return key
	}
	return f[1]
}

// JSONSize is a key's value as the state service counts it: in its JSON form.
func (s *StateStore) JSONSize(key string) int {
	var v any
	if protocol.Unmarshal(s.keyValues[key].Value, &v) != nil {
		return 0
	}
	b, err := json.Marshal(v)
	if err != nil {
		return 0
	}
	return len(b)
}
