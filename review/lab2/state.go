package main

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stateService is a stand-in for the state service: keys with versions, conditional transactions, leases and watches,
// within the limits of the settings.
type stateService struct {
	mu       sync.Mutex
	changed  *sync.Cond
	epoch    uint64
	keys     map[string]*storedKey
	log      []loggedChange
	tenures  map[uint64]*tenure
	lastID   uint64
	requests bucket
	writes   bucket
	valueMax int
	txnOps   int
	down     bool            // an outage: all calls get 503, open watches wait
	refused  map[string]bool // callers that alone get 503
	// when a call of a refused caller for its lease, and for a watch, last got 503
	refusedLease, refusedWatch map[string]time.Time
	// late returns how long a commit is held back; it then gets no answer. 0: it is carried out at once.
	late      func() time.Duration
	slowShare float64 // of the calls that are answered a few hundred milliseconds late
	// lost reports whether the answer to a commit is lost.
	lost func() bool
}

type storedKey struct {
	value  any
	stamp  uint64
	tenure uint64
}

type loggedChange struct {
	epoch uint64
	key   string
	event object
}

type tenure struct {
	ttl  time.Duration
	ends time.Time
}

// bucket is a token bucket with a burst of one second's worth.
type bucket struct {
	rate, tokens float64
	filled       time.Time
}

func (b *bucket) take(n float64) bool {
	now := time.Now()
	b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.filled).Seconds())
	b.filled = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

const keptChanges = 10000

func newStateService(s *settings) *stateService {
	service := &stateService{
		keys: map[string]*storedKey{}, tenures: map[uint64]*tenure{},
		requests: bucket{rate: s.stateRPS, tokens: s.stateRPS, filled: time.Now()},
		writes:   bucket{rate: s.stateWriteRPS, tokens: s.stateWriteRPS, filled: time.Now()},
		valueMax: s.valueKB * 1024, txnOps: s.txnOps, refused: map[string]bool{},
		refusedLease: map[string]time.Time{}, refusedWatch: map[string]time.Time{},
	}
	service.changed = sync.NewCond(&service.mu)
	go service.tick()
	return service
}

// tick ends leases that weren't renewed, and wakes watches so that they notice the end of their time.
func (s *stateService) tick() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		for id, lease := range s.tenures {
			if !s.down && now.After(lease.ends) {
				s.endTenure(id)
			}
		}
		s.changed.Broadcast()
		s.mu.Unlock()
	}
}

func (s *stateService) endTenure(id uint64) {
	delete(s.tenures, id)
	var attached []string
	for key, stored := range s.keys {
		if stored.tenure == id {
			attached = append(attached, key)
		}
	}
	if len(attached) == 0 {
		return
	}
	sort.Strings(attached)
	s.epoch++
	for _, key := range attached {
		s.drop(key)
	}
}

func (s *stateService) drop(key string) {
	if s.keys[key] == nil {
		return
	}
	delete(s.keys, key)
	s.record(key, object{"drop": key, "stamp": s.epoch})
}

func (s *stateService) record(key string, event object) {
	s.log = append(s.log, loggedChange{s.epoch, key, event})
	if len(s.log) > 2*keptChanges {
		s.log = append([]loggedChange(nil), s.log[len(s.log)-keptChanges:]...)
	}
}

// handler serves one caller.
func (s *stateService) handler(caller string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) { s.serve(caller, w, r) }
}

// outage begins or ends an outage. When it is over, every lease has its full time again.
func (s *stateService) outage(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	for _, lease := range s.tenures {
		lease.ends = time.Now().Add(lease.ttl)
	}
}

func (s *stateService) refuse(caller string, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[caller] = refused
}

// endRefusal ends the refusal of a caller, at a moment at which it has just asked for its lease in vain and for its records
// a little earlier; or after a few seconds in any case.
func (s *stateService) endRefusal(caller string) {
	for ends := time.Now().Add(3 * time.Second); time.Now().Before(ends); time.Sleep(time.Millisecond) {
		s.mu.Lock()
		lease, watch := s.refusedLease[caller], s.refusedWatch[caller]
		s.mu.Unlock()
		if sinceLease := time.Since(lease); sinceLease < 10*time.Millisecond && time.Since(watch) > 270*time.Millisecond {
			break
		}
	}
	s.refuse(caller, false)
}

func (s *stateService) unavailable(caller string) bool { return s.down || s.refused[caller] }

func (s *stateService) serve(caller string, w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	allowed, refused := s.requests.take(1), s.unavailable(caller)
	switch {
	case !refused:
	case strings.HasPrefix(r.URL.Path, "/leases"):
		s.refusedLease[caller] = time.Now()
	case r.URL.Path == "/watch" || r.URL.Path == "/kv": // a list comes before a watch after a longer gap
		s.refusedWatch[caller] = time.Now()
	}
	s.mu.Unlock()
	if !refused && s.slowShare > 0 && rand.Float64() < s.slowShare {
		time.Sleep(200*time.Millisecond + rand.N(200*time.Millisecond))
	}
	if refused {
		replyError(w, 503, "unavailable")
		return
	}
	if !allowed {
		replyError(w, 429, "too many requests")
		return
	}
	query := r.URL.Query()
	switch {
	case r.Method == "GET" && r.URL.Path == "/kv":
		s.list(w, query.Get("under"), query.Get("from"), query.Get("limit"))
	case r.Method == "GET" && strings.HasPrefix(r.URL.Path, "/kv/"):
		s.get(w, strings.TrimPrefix(r.URL.Path, "/kv/"))
	case r.Method == "POST" && r.URL.Path == "/commit":
		s.commit(w, r)
	case r.Method == "POST" && r.URL.Path == "/leases":
		s.grant(w, r)
	case strings.HasPrefix(r.URL.Path, "/leases/"):
		s.lease(w, r)
	case r.Method == "GET" && r.URL.Path == "/watch":
		from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
		block, _ := strconv.Atoi(query.Get("block_ms"))
		s.watch(caller, w, r, query.Get("under"), from, time.Duration(min(block, 60000))*time.Millisecond)
	default:
		replyError(w, 400, "malformed")
	}
}

func (s *stateService) pair(key string) object {
	stored := s.keys[key]
	pair := object{"path": key, "value": stored.value, "stamp": stored.stamp}
	if stored.tenure != 0 {
		pair["tenure"] = stored.tenure
	}
	return pair
}

func (s *stateService) get(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keys[key] == nil {
		reply(w, 404, object{"epoch": s.epoch})
		return
	}
	reply(w, 200, s.pair(key))
}

func (s *stateService) list(w http.ResponseWriter, under, from, limitText string) {
	limit, err := strconv.Atoi(limitText)
	if err != nil || limit < 1 {
		limit = 1000
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.keys {
		if strings.HasPrefix(key, under) && key > from {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	pairs, size, more := []any{}, 0, false
	for _, key := range keys {
		pair := s.pair(key)
		size += jsonSize(pair)
		if len(pairs) >= min(limit, 1000) || len(pairs) > 0 && size > 512<<10 {
			more = true
			break
		}
		pairs = append(pairs, pair)
	}
	reply(w, 200, object{"pairs": pairs, "has_next": more, "epoch": s.epoch})
}

func jsonSize(v any) int {
	text, _ := json.Marshal(v)
	return len(text)
}

func (s *stateService) commit(w http.ResponseWriter, r *http.Request) {
	txn, ok := readObject(r)
	s.mu.Lock()
	late, lost := time.Duration(0), false
	if s.late != nil {
		late = s.late()
	}
	if s.lost != nil {
		lost = s.lost()
	}
	s.mu.Unlock()
	if late > 0 {
		time.AfterFunc(late, func() { s.carryOut(discard{}, txn, ok) })
		<-r.Context().Done()
		return
	}
	if lost {
		s.carryOut(discard{}, txn, ok)
		<-r.Context().Done()
		return
	}
	s.carryOut(w, txn, ok)
}

// discard drops an answer.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}

// carryOut carries a transaction out.
func (s *stateService) carryOut(w http.ResponseWriter, txn object, ok bool) {
	conditions, operations := listField(txn, "if"), listField(txn, "apply")
	s.mu.Lock()
	defer s.mu.Unlock()
	if !ok || len(operations) > s.txnOps || len(conditions) > 4*s.txnOps || jsonSize(txn) > 64<<10 {
		replyError(w, 400, "malformed")
		return
	}
	if !s.writes.take(float64(len(operations))) {
		replyError(w, 429, "too many changes")
		return
	}
	for _, o := range operations {
		operation, _ := o.(object)
		if key := textOf(operation, "write"); key != "" {
			if id := uintOf(operation, "tenure"); id != 0 && s.tenures[id] == nil {
				replyError(w, 400, "no such lease")
				return
			}
			if jsonSize(operation["value"]) > s.valueMax || len(key) > 200 || strings.Contains(key, " ") {
				replyError(w, 400, "malformed")
				return
			}
		} else if textOf(operation, "drop") == "" {
			replyError(w, 400, "malformed")
			return
		}
	}
	failed := []any{}
	for _, c := range conditions {
		condition, _ := c.(object)
		key, stamp := textOf(condition, "path"), uint64(0)
		if stored := s.keys[key]; stored != nil {
			stamp = stored.stamp
		}
		if stamp != uintOf(condition, "stamp") {
			failed = append(failed, key)
		}
	}
	if len(failed) > 0 {
		reply(w, 409, object{"failed": failed, "epoch": s.epoch})
		return
	}
	if len(operations) > 0 {
		s.epoch++
	}
	for _, o := range operations {
		operation := o.(object)
		key := textOf(operation, "write")
		if key == "" {
			s.drop(textOf(operation, "drop"))
			continue
		}
		s.keys[key] = &storedKey{operation["value"], s.epoch, uintOf(operation, "tenure")}
		s.record(key, object{"write": key, "value": operation["value"], "stamp": s.epoch})
	}
	s.changed.Broadcast()
	reply(w, 200, object{"epoch": s.epoch})
}

func (s *stateService) grant(w http.ResponseWriter, r *http.Request) {
	request, ok := readObject(r)
	ttl := uintOf(request, "ttl_ms")
	if !ok || ttl < 100 || ttl > 600000 {
		replyError(w, 400, "malformed")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	duration := time.Duration(ttl) * time.Millisecond
	s.tenures[s.lastID] = &tenure{duration, time.Now().Add(duration)}
	reply(w, 200, object{"tenure": s.lastID})
}

func (s *stateService) lease(w http.ResponseWriter, r *http.Request) {
	idText, touch := strings.CutSuffix(strings.TrimPrefix(r.URL.Path, "/leases/"), "/touch")
	id, _ := strconv.ParseUint(idText, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	lease := s.tenures[id]
	switch {
	case lease == nil:
		replyError(w, 404, "no such lease")
	case r.Method == "POST" && touch:
		lease.ends = time.Now().Add(lease.ttl)
		reply(w, 200, object{})
	case r.Method == "DELETE" && !touch:
		s.endTenure(id)
		s.changed.Broadcast()
		reply(w, 200, object{})
	default:
		replyError(w, 400, "malformed")
	}
}

func (s *stateService) watch(caller string, w http.ResponseWriter, r *http.Request, under string, from uint64, block time.Duration) {
	ends := time.Now().Add(block)
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		if len(s.log) > 0 && from+1 < s.log[0].epoch && s.log[0].epoch > 1 {
			replyError(w, 410, "too old")
			return
		}
		first := sort.Search(len(s.log), func(i int) bool { return s.log[i].epoch > from })
		changes := []any{}
		for _, change := range s.log[first:] {
			if strings.HasPrefix(change.key, under) {
				changes = append(changes, change.event)
			}
		}
		if !s.unavailable(caller) && (len(changes) > 0 || !time.Now().Before(ends)) {
			reply(w, 200, object{"epoch": s.epoch, "log": changes})
			return
		}
		if r.Context().Err() != nil {
			return
		}
		s.changed.Wait()
	}
}

// leader returns the controller that the state service names as the leader.
func (s *stateService) value(key string) object {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stored := s.keys[key]; stored != nil {
		m, _ := stored.value.(object)
		return m
	}
	return nil
}
