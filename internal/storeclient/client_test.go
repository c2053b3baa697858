package storeclient

import (
	"io"
	"log/slog"
	"math"
	"testing"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
)

// testEnvironment keeps the calls that were made until a test answers them.
type testEnvironment struct {
	now    monotime.Micros
	timers []monotime.Micros
	calls  []pendingCall
}

type pendingCall struct {
	call     *protocol.StoreCall
	callback func(protocol.StoreResult)
}

func (e *testEnvironment) Now() monotime.Micros { return e.now }

func (e *testEnvironment) After(delay monotime.Micros, _ func()) { e.timers = append(e.timers, delay) }

func (e *testEnvironment) CallStore(call *protocol.StoreCall, callback func(protocol.StoreResult)) {
	e.calls = append(e.calls, pendingCall{call, callback})
}

// answerFirst answers the first call that has none yet.
func (e *testEnvironment) answerFirst(outcome protocol.Outcome) {
	pending := e.calls[0]
	e.calls = e.calls[1:]
	pending.callback(protocol.StoreResult{Outcome: outcome})
}

type fixture struct {
	*Client
	env              *testEnvironment
	usersWaitAtPeers bool
}

// newFixture is a client of a deployment of three controllers, on a service of 400 requests and 100 writes.
func newFixture() *fixture {
	f := &fixture{env: &testEnvironment{now: 10 * monotime.Second}}
	f.Client = New(Options{
		Limits:               Limits{RequestsPerSecond: 400, WritesPerSecond: 100, TransactionOps: 16},
		Controllers:          3,
		Environment:          f.env,
		Log:                  slog.New(slog.NewTextHandler(io.Discard, nil)),
		UserCallsWaitAtPeers: func(monotime.Micros) bool { return f.usersWaitAtPeers },
	})
	return f
}

// queueRead queues a call without writes and gives where its result will stand.
func (f *fixture) queueRead(priority ratelimit.Priority) *protocol.StoreResult {
	result := &protocol.StoreResult{Outcome: protocol.Unknown}
	f.Call(priority, &protocol.StoreCall{Op: protocol.StoreGet},
		func(r protocol.StoreResult) { *result = r })
	return result
}

// queue has so many calls of a priority wait.
func (f *fixture) queueCalls(priority ratelimit.Priority, calls int) {
	for f.QueuedCalls(priority) < calls {
		f.queueRead(priority)
	}
}

func almostEqual(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// TestThrottledCall: a young call that is throttled is tried again after a pause; an old one is answered as
// unavailable.
func TestThrottledCall(t *testing.T) {
	cases := []struct {
		name    string
		age     monotime.Micros
		queued  int
		outcome protocol.Outcome
	}{
		{"young", maxThrottledAge - 1, 1, protocol.Unknown},
		{"old", maxThrottledAge, 0, protocol.Unavailable},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture()
			result := f.queueRead(ratelimit.PriorityUserRequest)
			f.env.now += tc.age
			f.env.answerFirst(protocol.Throttled)
			if got := f.QueuedCalls(ratelimit.PriorityUserRequest); got != tc.queued {
				t.Errorf("%d calls wait, want %d", got, tc.queued)
			}
			if result.Outcome != tc.outcome {
				t.Errorf("outcome %v, want %v", result.Outcome, tc.outcome)
			}
			if f.ThrottledCalls() != 1 || !f.ThrottledWithin(monotime.Second) {
				t.Error("not counted as throttled")
			}
			if len(f.env.timers) != tc.queued {
				t.Errorf("%d timers, want %d", len(f.env.timers), tc.queued)
			}
		})
	}
}

// TestCallsInFlight: so many queued calls wait for an answer at a time; leases and calls at once go beside.
func TestCallsInFlight(t *testing.T) {
	f := newFixture()
	f.queueCalls(ratelimit.PriorityUserRequest, 2)
	if got := len(f.env.calls); got != maxCallsInFlight {
		t.Fatalf("%d calls in flight, want %d", got, maxCallsInFlight)
	}
	f.queueRead(ratelimit.PriorityLease)
	f.CallAtOnce(&protocol.StoreCall{}, func(protocol.StoreResult) {})
	if got := len(f.env.calls); got != maxCallsInFlight+2 {
		t.Errorf("%d calls in flight, want %d", got, maxCallsInFlight+2)
	}
	f.env.answerFirst(protocol.OK)
	f.env.answerFirst(protocol.OK)
	if got := f.QueuedCalls(ratelimit.PriorityUserRequest); got != 1 {
		t.Errorf("%d calls wait after two answers, one of which the lease has used, want 1", got)
	}
}

// TestCallTimeout: a call that sets no timeout gets the usual one.
func TestCallTimeout(t *testing.T) {
	f := newFixture()
	f.queueRead(ratelimit.PriorityClaim)
	f.Call(
		ratelimit.PriorityClaim,
		&protocol.StoreCall{Timeout: monotime.Second},
		func(protocol.StoreResult) {},
	)
	for i, want := range []monotime.Micros{callTimeout, monotime.Second} {
		if got := f.env.calls[i].call.Timeout; got != want {
			t.Errorf("request %d has timeout %d, want %d", i, got, want)
		}
	}
}

// TestAvailability: the service is unavailable once it has failed and hasn't answered for a second.
func TestAvailability(t *testing.T) {
	cases := []struct {
		name     string
		outcomes []protocol.Outcome // a millisecond apart
		silence  monotime.Micros
		want     bool
	}{
		{"answers", []protocol.Outcome{protocol.OK}, 5 * monotime.Second, false},
		{
			"a conflict is an answer",
			[]protocol.Outcome{protocol.Unavailable, protocol.Conflict},
			5 * monotime.Second,
			false,
		},
		{"failure", []protocol.Outcome{protocol.OK, protocol.Unavailable}, outageDelay, true},
		{"no answer", []protocol.Outcome{protocol.OK, protocol.Unknown}, outageDelay, true},
		{
			"failure for a short time",
			[]protocol.Outcome{protocol.OK, protocol.Unavailable},
			outageDelay / 2,
			false,
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture()
			for _, outcome := range tc.outcomes {
				f.env.now += monotime.Millisecond
				f.RecordOutcome(outcome)
			}
			f.UpdateAvailability(f.env.now + tc.silence)
			if got := f.Unavailable(); got != tc.want {
				t.Errorf("unavailable: %v, want %v", got, tc.want)
			}
		})
	}
}

// TestUpdateBudget: the budget is the oversubscribed even part, grows while calls wait up to the whole limit,
// and shrinks when calls are throttled.
func TestUpdateBudget(t *testing.T) {
	f := newFixture()
	if got := f.WritesPerSecond(); !almostEqual(got, 40) {
		t.Errorf("%v writes a second of three controllers, want 40", got)
	}
	f.UpdateBudget(1)
	if got := f.WritesPerSecond(); !almostEqual(got, 100) {
		t.Errorf("%v writes a second alone, want 100", got)
	}
	f.UpdateBudget(9)
	if got := f.BudgetSharers(); got != 3 {
		t.Errorf("%d sharers of three controllers", got)
	}
	f.queueCalls(ratelimit.PriorityUserRequest, waitingCallsForGrowth)
	f.UpdateBudget(3)
	if got := f.WritesPerSecond(); !almostEqual(got, 40) {
		t.Errorf("%v writes a second while few calls wait, want 40", got)
	}
	f.queueCalls(ratelimit.PriorityUserRequest, waitingCallsForGrowth+1)
	f.UpdateBudget(3)
	if got := f.WritesPerSecond(); !almostEqual(got, 52) {
		t.Errorf("%v writes a second while calls wait, want 52", got)
	}
	for range 20 {
		f.UpdateBudget(3)
	}
	if got := f.WritesPerSecond(); !almostEqual(got, 100) {
		t.Errorf("%v writes a second at most, want 100", got)
	}
	f.env.answerFirst(protocol.Throttled)
	f.UpdateBudget(3)
	if got := f.WritesPerSecond(); !almostEqual(got, 60) {
		t.Errorf("%v writes a second after a throttled request, want 60", got)
	}
}

// TestShardWritesPerSecond: shards make room for users, here more than for those of other controllers.
func TestShardWritesPerSecond(t *testing.T) {
	cases := []struct {
		name    string
		here    int
		atPeers bool
		want    float64
	}{
		{"no users wait", 0, false, shardWriteFraction},
		{"a few wait here", WaitingUserCallsThreshold, false, shardWriteFraction},
		{"users wait at a peer", 0, true, shardWriteFractionUsersWaitAtPeer},
		{"users wait here", WaitingUserCallsThreshold + 1, false, shardWriteFractionUsersWaitHere},
		{"users wait everywhere", WaitingUserCallsThreshold + 1, true, shardWriteFractionUsersWaitHere},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture()
			f.queueCalls(ratelimit.PriorityUserRequest, tc.here)
			f.usersWaitAtPeers = tc.atPeers
			if got, want := f.ShardWritesPerSecond(), tc.want*100/3; !almostEqual(got, want) {
				t.Errorf("%v, want %v", got, want)
			}
		})
	}
}

// TestIntervals: writes that all controllers make for one purpose, and their watches, stay in their part of
// the limits.
func TestIntervals(t *testing.T) {
	f := newFixture()
	if got := f.NextWriteAllowedAt(0.1) - f.env.now; got != 300*monotime.Millisecond {
		t.Errorf("a tenth of the writes: again after %d, want 300 ms", got)
	}
	if got := f.WatchInterval(); got != minWatchInterval {
		t.Errorf("watch interval %d, want %d", got, minWatchInterval)
	}
	f.budget.limits.RequestsPerSecond = 60
	if got := f.WatchInterval(); got != 200*monotime.Millisecond {
		t.Errorf("watch interval %d, want 200 ms", got)
	}
	if !f.HasSpareWrites(f.env.now, 1) {
		t.Error("no spare writes before the first request")
	}
	f.Call(
		ratelimit.PriorityClaim,
		&protocol.StoreCall{Transaction: protocol.Transaction{Then: make([]protocol.Op, 15)}},
		func(protocol.StoreResult) {},
	)
	if f.HasSpareWrites(f.env.now, 0.5) {
		t.Error("half of the burst is spare after 15 of 20 writes")
	}
}
