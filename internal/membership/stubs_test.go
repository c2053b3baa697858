package membership

import (
	"log/slog"
	"math/rand/v2"
	"testing"

	"pipitgap/internal/fake/stubs"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/storage"
)

const (
	testNode        = "n-1"
	testIncarnation = 7
	testTTL         = 8 * monotime.Second
	testStart       = 100 * monotime.Second
)

// storeCall is a call that a stub has taken and not answered yet.
type storeCall struct {
	call     *protocol.StoreCall
	callback func(protocol.StoreResult)
}

// world stands for all that a Membership depends on. Calls wait until the test answers them.
type world struct {
	stubs.HeldCommits
	t           *testing.T
	now         monotime.Micros
	random      *rand.Rand
	timers      []func()
	delays      []monotime.Micros
	unavailable bool
	calls       []storeCall
	ready       bool
	freshAt     monotime.Micros
	catchUps    int

	mirror     *mirror.Mirror
	membership *Membership
}

func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{t: t, now: testStart, random: rand.New(rand.NewPCG(1, 2)), ready: true, mirror: mirror.New()}
	w.membership = New(Options{
		Node: testNode, Incarnation: testIncarnation, Zone: "a",
		Controllers: []string{"n-0", testNode, "n-2"}, TTL: testTTL,
		Mirror: w.mirror, Store: w, Replica: w, Environment: w, Log: slog.New(slog.DiscardHandler),
	})
	return w
}

func (w *world) Now() monotime.Micros { return w.now }
func (w *world) Rand() *rand.Rand     { return w.random }
func (w *world) After(delay monotime.Micros, callback func()) {
	w.delays, w.timers = append(w.delays, delay), append(w.timers, callback)
}

func (w *world) Call(_ ratelimit.Priority, call *protocol.StoreCall, callback func(protocol.StoreResult)) {
	w.calls = append(w.calls, storeCall{call, callback})
}

func (w *world) Unavailable() bool        { return w.unavailable }
func (w *world) Ready() bool              { return w.ready }
func (w *world) FreshAt() monotime.Micros { return w.freshAt }
func (w *world) WhenCurrent(func(bool))   { w.catchUps++ }

// answerCall answers the oldest call.
func (w *world) answerCall(result protocol.StoreResult) {
	call := w.calls[0]
	w.calls = w.calls[1:]
	call.callback(result)
}

// answerCommit answers the oldest conditional change.
func (w *world) answerCommit(outcome protocol.Outcome) {
	w.t.Helper()
	w.TakeOldest(w.t).Callback(protocol.StoreResult{Outcome: outcome, Revision: 50})
}

// holdLease has a lease granted at once.
func (w *world) holdLease(id uint64) {
	w.membership.RequestLease()
	w.answerCall(protocol.StoreResult{Outcome: protocol.OK, Lease: id})
}

// member puts a member record into the mirror.
func (w *world) member(node string, incarnation, version uint64) {
	w.mirror.Members[node] = mirror.MemberEntry{
		Record: storage.Member{Incarnation: incarnation}, Version: version,
	}
}
