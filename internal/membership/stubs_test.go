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

// storeCall is a call to the state service that awaits its result from the test.
type storeCall struct {
	call     *protocol.StoreCall
	callback func(protocol.StoreResult)
}

// harness contains a Membership and stubs of all its dependencies. Calls stay pending until the test answers
// them.
type harness struct {
	stubs.HeldCommits
	t              *testing.T
	now            monotime.Micros
	random         *rand.Rand
	timers         []func()
	delays         []monotime.Micros
	unavailable    bool
	calls          []storeCall
	ready          bool
	freshAt        monotime.Micros
	mirrorCatchUps int

	mirror     *mirror.Mirror
	membership *Membership
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{t: t, now: testStart, random: rand.New(rand.NewPCG(1, 2)), ready: true, mirror: mirror.New()}
	h.membership = New(Options{
		Node: testNode, Incarnation: testIncarnation, Zone: "a",
		Controllers: []string{"n-0", testNode, "n-2"}, TTL: testTTL,
		Mirror: h.mirror, Store: h, Replica: h, Environment: h, Log: slog.New(slog.DiscardHandler),
	})
	return h
}

func (h *harness) Now() monotime.Micros { return h.now }
func (h *harness) Rand() *rand.Rand     { return h.random }
func (h *harness) After(delay monotime.Micros, callback func()) {
	h.delays, h.timers = append(h.delays, delay), append(h.timers, callback)
}

func (h *harness) Call(_ ratelimit.Priority, call *protocol.StoreCall, callback func(protocol.StoreResult)) {
	h.calls = append(h.calls, storeCall{call, callback})
}

func (h *harness) Unavailable() bool        { return h.unavailable }
func (h *harness) Ready() bool              { return h.ready }
func (h *harness) FreshAt() monotime.Micros { return h.freshAt }
func (h *harness) WhenCurrent(func(bool))   { h.mirrorCatchUps++ }

// answerCall removes the oldest pending call and calls it back with a result.
func (h *harness) answerCall(result protocol.StoreResult) {
	call := h.calls[0]
	h.calls = h.calls[1:]
	call.callback(result)
}

// answerCommit removes the oldest pending commit and calls it back with an outcome.
func (h *harness) answerCommit(outcome protocol.Outcome) {
	h.t.Helper()
	h.TakeOldest(h.t).Callback(protocol.StoreResult{Outcome: outcome, Revision: 50})
}

// grantLease requests a lease and answers the request at once.
func (h *harness) grantLease(id uint64) {
	h.membership.RequestLease()
	h.answerCall(protocol.StoreResult{Outcome: protocol.OK, Lease: id})
}

// putMember puts a member record into the mirror.
func (h *harness) putMember(node string, incarnation, version uint64) {
	h.mirror.Members[node] = mirror.MemberEntry{
		Record: storage.Member{Incarnation: incarnation}, Version: version,
	}
}
