package standin

import (
	"encoding/json"
	"sort"
	"strings"

	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
)

// Store is a stand-in for the state service.
type Store struct {
	Sim      *Sim
	RPS, WPS float64
	TxnOps   int
	// ChangesKept is how many changes are kept for watches.
	ChangesKept int
	Revision    uint64
	items       map[string]protocol.Item
	log         []logged
	// forgotten is the newest revision whose changes aren't kept any more.
	forgotten uint64
	leases    map[uint64]*lease
	nextID    uint64
	watches   []*watch
	reads     float64
	writes    float64
	last      micros.T

	Down    bool            // 503 for all
	Refused map[string]bool // 503 for these callers alone
	// LoseAnswer, if set, tells whether a commit that was applied gets no answer.
	LoseAnswer func(*protocol.Txn) bool
	// Delay, if set, has a commit applied that much later, with no answer.
	Delay func(*protocol.Txn) micros.T
	// Slow, if set, has answers come that much later.
	Slow      func() micros.T
	Throttled int
	// Calls counts what was let through by kind, Changes the puts and deletes,
	// Conflicts the commits that changed nothing.
	Calls              map[protocol.StoreOp]int
	Changes, Conflicts int
	ByKind             map[string]int // what was changed ("+kind") and what failed ("!kind")
	LargestWatch       int            // changes in one answer of a watch, at most
}

type logged struct {
	rev uint64
	ev  protocol.Event
}

type lease struct {
	ttl micros.T
	end micros.T
}

type watch struct {
	call *protocol.StoreCall
	back func(protocol.StoreResult)
	done bool
}

// NewStore starts an empty store with the given limits.
func NewStore(sim *Sim, rps, wps float64, txnOps int) *Store {
	s := &Store{
		Sim: sim, RPS: rps, WPS: wps, TxnOps: txnOps, ChangesKept: changesKept,
		items: map[string]protocol.Item{}, leases: map[uint64]*lease{}, Refused: map[string]bool{},
		reads: rps, writes: wps, Calls: map[protocol.StoreOp]int{}, ByKind: map[string]int{},
	}
	s.expire()
	return s
}

// Outage has the store refuse everything for a while; afterwards every lease
// has its full time again.
func (s *Store) Outage(d micros.T) {
	s.Down = true
	s.Sim.After(d, func() {
		s.Down = false
		for _, l := range s.leases {
			l.end = s.Sim.Now() + l.ttl
		}
		s.wake()
	})
}

func (s *Store) expire() {
	if !s.Down {
		for id := uint64(1); id <= s.nextID; id++ {
			if l := s.leases[id]; l != nil && s.Sim.Now() > l.end {
				delete(s.leases, id)
				var gone []string
				for k, it := range s.items {
					if it.Lease == id {
						gone = append(gone, k)
					}
				}
				sort.Strings(gone)
				if len(gone) > 0 {
					s.Revision++
				}
				for _, k := range gone {
					delete(s.items, k)
					s.log = append(s.log, logged{s.Revision, protocol.Event{Delete: k, Version: s.Revision}})
				}
				s.wake()
			}
		}
	}
	s.Sim.After(50*micros.Millisecond, s.expire)
}

func (s *Store) budget(writes int) bool {
	now := s.Sim.Now()
	d := (now - s.last).Seconds()
	s.last = now
	s.reads = min(s.RPS, s.reads+d*s.RPS)
	s.writes = min(s.WPS, s.writes+d*s.WPS)
	if s.reads < 1 || writes > 0 && s.writes < float64(writes) {
		s.Throttled++
		return false
	}
	s.reads--
	s.writes -= float64(writes)
	return true
}

// Call performs a call for a caller; the answer comes after a few milliseconds.
func (s *Store) Call(caller string, c *protocol.StoreCall, back func(protocol.StoreResult)) {
	call := *c
	answered := false
	answer := func(r protocol.StoreResult) {
		if !answered {
			answered = true
			s.Sim.After(2*micros.Millisecond, func() { back(r) })
		}
	}
	s.Sim.After(call.Within, func() { answer(protocol.StoreResult{}) })
	reply := answer
	if s.Slow != nil {
		late := s.Slow()
		reply = func(r protocol.StoreResult) { s.Sim.After(late, func() { answer(r) }) }
	}
	s.Sim.After(2*micros.Millisecond, func() { s.handle(caller, &call, reply) })
}

func (s *Store) handle(caller string, c *protocol.StoreCall, answer func(protocol.StoreResult)) {
	if s.Down || s.Refused[caller] {
		answer(protocol.StoreResult{Outcome: protocol.Unavailable})
		return
	}
	if !s.budget(c.Writes()) {
		answer(protocol.StoreResult{Outcome: protocol.Throttled})
		return
	}
	s.Calls[c.Op]++
	s.Changes += c.Writes()
	switch c.Op {
	case protocol.StoreGet:
		it, ok := s.items[c.Key]
		if !ok {
			answer(protocol.StoreResult{Outcome: protocol.NotFound, Revision: s.Revision})
			return
		}
		answer(protocol.StoreResult{Outcome: protocol.OK, Item: it})
	case protocol.StoreList:
		r := protocol.StoreResult{Outcome: protocol.OK, Revision: s.Revision}
		for _, k := range s.Keys(c.Key) {
			if k <= c.After {
				continue
			}
			if len(r.Items) == c.Limit {
				r.More = true
				break
			}
			r.Items = append(r.Items, s.items[k])
		}
		answer(r)
	case protocol.StoreCommit:
		if s.Delay != nil {
			if d := s.Delay(&c.Txn); d > 0 {
				s.Sim.After(d, func() { s.commit(&c.Txn) })
				return
			}
		}
		r := s.commit(&c.Txn)
		if r.Outcome == protocol.OK && s.LoseAnswer != nil && s.LoseAnswer(&c.Txn) {
			return
		}
		answer(r)
	case protocol.StoreGrant:
		s.nextID++
		s.leases[s.nextID] = &lease{c.TTL, s.Sim.Now() + c.TTL}
		answer(protocol.StoreResult{Outcome: protocol.OK, Lease: s.nextID})
	case protocol.StoreTouch:
		l := s.leases[c.Lease]
		if l == nil {
			answer(protocol.StoreResult{Outcome: protocol.NotFound})
			return
		}
		l.end = s.Sim.Now() + l.ttl
		answer(protocol.StoreResult{Outcome: protocol.OK})
	case protocol.StoreWatch:
		w := &watch{call: c, back: answer}
		if !s.serve(w, false) {
			s.watches = append(s.watches, w)
			s.Sim.After(c.Block, func() {
				if !s.Down {
					s.serve(w, true)
				}
			})
		}
	}
}

func (s *Store) serve(w *watch, force bool) bool {
	if w.done {
		return true
	}
	if w.call.From < s.forgotten {
		w.done = true
		w.back(protocol.StoreResult{Outcome: protocol.TooOld})
		return true
	}
	r := protocol.StoreResult{Outcome: protocol.OK, Revision: s.Revision}
	begin := sort.Search(len(s.log), func(i int) bool { return s.log[i].rev > w.call.From })
	for _, l := range s.log[begin:] {
		if strings.HasPrefix(l.ev.Put+l.ev.Delete, w.call.Key) {
			r.Events = append(r.Events, l.ev)
		}
	}
	if len(r.Events) == 0 && !force {
		return false
	}
	w.done = true
	s.LargestWatch = max(s.LargestWatch, len(r.Events))
	w.back(r)
	return true
}

// changesKept is how many changes are kept for watches, unless a test says otherwise.
const changesKept = 10000

// forget drops the oldest changes, many at a time.
func (s *Store) forget() {
	if len(s.log) <= s.ChangesKept {
		return
	}
	drop := len(s.log) - s.ChangesKept
	s.forgotten = s.log[drop-1].rev
	s.log = s.log[drop:]
}

func (s *Store) wake() {
	s.forget()
	if s.Down {
		return
	}
	var left []*watch
	for _, w := range s.watches {
		if !s.serve(w, false) {
			left = append(left, w)
		}
	}
	s.watches = left
}

func (s *Store) commit(t *protocol.Txn) protocol.StoreResult {
	if len(t.Then) > s.TxnOps || len(t.If) > 4*s.TxnOps {
		return protocol.StoreResult{Outcome: protocol.Rejected}
	}
	for _, op := range t.Then {
		if op.Put != "" && op.Lease != 0 && s.leases[op.Lease] == nil {
			return protocol.StoreResult{Outcome: protocol.Rejected}
		}
	}
	r := protocol.StoreResult{Outcome: protocol.OK}
	for _, c := range t.If {
		if s.items[c.Key].Version != c.Version {
			r.Failed = append(r.Failed, c.Key)
		}
	}
	if len(r.Failed) > 0 {
		s.Conflicts++
		for _, k := range r.Failed {
			s.ByKind["!"+kindOf(k)]++
		}
		r.Outcome, r.Revision = protocol.Conflict, s.Revision
		return r
	}
	if len(t.Then) > 0 {
		s.Revision++
	}
	for _, op := range t.Then {
		s.ByKind["+"+kindOf(op.Put+op.Delete)]++
		if op.Put != "" {
			s.items[op.Put] = protocol.Item{Key: op.Put, Value: op.Value, Version: s.Revision, Lease: op.Lease}
			s.log = append(s.log, logged{s.Revision, protocol.Event{Put: op.Put, Value: op.Value, Version: s.Revision}})
		} else if _, ok := s.items[op.Delete]; ok {
			delete(s.items, op.Delete)
			s.log = append(s.log, logged{s.Revision, protocol.Event{Delete: op.Delete, Version: s.Revision}})
		}
	}
	if len(t.Then) > 0 {
		s.wake()
	}
	r.Revision = s.Revision
	return r
}

// Rewrite gives a key a new version with the value that it has.
func (s *Store) Rewrite(key string) {
	if it, ok := s.items[key]; ok {
		s.commit(&protocol.Txn{Then: []protocol.Op{{Put: key, Value: it.Value, Lease: it.Lease}}})
	}
}

// Keys lists the keys with a prefix, in order.
func (s *Store) Keys(prefix string) []string {
	var out []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			out = append(out, k)
		}
	}
	sort.Strings(out)
	return out
}

// Read decodes the value of a key.
func (s *Store) Read(key string, v any) bool {
	it, ok := s.items[key]
	return ok && protocol.Unmarshal(it.Value, v) == nil
}

// kindOf is the second part of a key.
func kindOf(key string) string {
	f := strings.Split(key, "/")
	if len(f) < 2 {
		return key
	}
	return f[1]
}

// Size is a key's value as the state service counts it: in its JSON form.
func (s *Store) Size(key string) int {
	var v any
	if protocol.Unmarshal(s.items[key].Value, &v) != nil {
		return 0
	}
	b, err := json.Marshal(v)
	if err != nil {
		return 0
	}
	return len(b)
}
