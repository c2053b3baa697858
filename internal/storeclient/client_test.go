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

// testEnvironment keeps pending calls until a test answers them. It records the delays of timers and never
// fires them.
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

// answerFirst answers the oldest pending call.
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

// newFixture returns a client in a deployment of three controllers. The service allows 400 requests and 100
// writes per second.
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

// queueRead queues a call without writes. It returns a pointer to the result, which is set when the call
// completes.
func (f *fixture) queueRead(priority ratelimit.Priority) *protocol.StoreResult {
	result := &protocol.StoreResult{Outcome: protocol.Unknown}
	f.Call(priority, &protocol.StoreCall{Op: protocol.StoreGet},
		func(r protocol.StoreResult) { *result = r })
	return result
}

// queueCalls queues calls of a priority until the given number of them wait.
func (f *fixture) queueCalls(priority ratelimit.Priority, calls int) {
	for f.QueuedCalls(priority) < calls {
		f.queueRead(priority)
	}
}

func almostEqual(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// TestThrottledCall checks that the client retries a throttled call after a pause if the call is younger than
// maxThrottledAge. An older call must complete with the outcome Unavailable.
func TestThrottledCall(t *testing.T) {
	cases := []struct {
		name    string
		age     monotime.Micros
		queued  int
		outcome protocol.Outcome
	}{
		{"younger than the maximum age", maxThrottledAge - 1, 1, protocol.Unknown},
		{"at the maximum age", maxThrottledAge, 0, protocol.Unavailable},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture()
			result := f.queueRead(ratelimit.PriorityUserRequest)
			f.env.now += tc.age
			f.env.answerFirst(protocol.Throttled)
			if got := f.QueuedCalls(ratelimit.PriorityUserRequest); got != tc.queued {
				t.Errorf("age %d us: got %d waiting calls, want %d", tc.age, got, tc.queued)
			}
			if result.Outcome != tc.outcome {
				t.Errorf("age %d us: got outcome %v, want %v", tc.age, result.Outcome, tc.outcome)
			}
			if f.ThrottledCalls() != 1 || !f.ThrottledWithin(monotime.Second) {
				t.Errorf("age %d us: got %d throttled calls, throttled within 1 s %v, want 1 and true",
					tc.age, f.ThrottledCalls(), f.ThrottledWithin(monotime.Second))
			}
			if len(f.env.timers) != tc.queued {
				t.Errorf("age %d us: got %d timers, want %d", tc.age, len(f.env.timers), tc.queued)
			}
		})
	}
}

// TestCallsInFlight checks that at most maxCallsInFlight queued calls are in flight at a time. Lease calls
// and CallUnqueued ignore this limit, but a lease call in flight counts against it.
func TestCallsInFlight(t *testing.T) {
	f := newFixture()
	f.queueCalls(ratelimit.PriorityUserRequest, 2)
	if got := len(f.env.calls); got != maxCallsInFlight {
		t.Fatalf("user calls: got %d calls in flight, want %d", got, maxCallsInFlight)
	}
	f.queueRead(ratelimit.PriorityLease)
	f.CallUnqueued(&protocol.StoreCall{}, func(protocol.StoreResult) {})
	if got := len(f.env.calls); got != maxCallsInFlight+2 {
		t.Errorf("with a lease request and one made at once: got %d calls in flight, want %d",
			got, maxCallsInFlight+2)
	}
	f.env.answerFirst(protocol.OK)
	f.env.answerFirst(protocol.OK)
	if got := f.QueuedCalls(ratelimit.PriorityUserRequest); got != 1 {
		t.Errorf("after two responses, one of which frees the lease request's slot: got %d waiting calls, want 1",
			got)
	}
}

// TestCallTimeout checks that a call without a timeout gets the default one.
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
			t.Errorf("request %d: got timeout %d us, want %d us", i, got, want)
		}
	}
}

// TestAvailability checks that the service counts as unavailable only if its last call failed and it hasn't
// answered for more than outageDelay.
func TestAvailability(t *testing.T) {
	cases := []struct {
		name     string
		outcomes []protocol.Outcome // 1 ms apart
		silence  monotime.Micros    // time without a call after the last outcome
		want     bool
	}{
		{"no failure", []protocol.Outcome{protocol.OK}, 5 * monotime.Second, false},
		{
			"conflict counts as a response",
			[]protocol.Outcome{protocol.Unavailable, protocol.Conflict},
			5 * monotime.Second,
			false,
		},
		{"failure", []protocol.Outcome{protocol.OK, protocol.Unavailable}, outageDelay, true},
		{"no response", []protocol.Outcome{protocol.OK, protocol.Unknown}, outageDelay, true},
		{
			"failure shorter than the outage delay",
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
				t.Errorf("outcomes %v, then silence for %d us: got unavailable %v, want %v",
					tc.outcomes, tc.silence, got, tc.want)
			}
		})
	}
}

// TestUpdateBudget checks the write budget. It starts as the oversubscribed equal share, grows up to the
// whole limit while calls wait, and shrinks when calls are throttled.
func TestUpdateBudget(t *testing.T) {
	f := newFixture()
	if got := f.WritesPerSecond(); !almostEqual(got, 40) {
		t.Errorf("three live controllers: got %v writes/s, want 40", got)
	}
	f.UpdateBudget(1)
	if got := f.WritesPerSecond(); !almostEqual(got, 100) {
		t.Errorf("one live controller: got %v writes/s, want 100", got)
	}
	f.UpdateBudget(9)
	if got := f.LiveControllerCount(); got != 3 {
		t.Errorf("nine live controllers in a deployment of three: got %d sharers, want 3", got)
	}
	f.queueCalls(ratelimit.PriorityUserRequest, waitingCallsForGrowth)
	f.UpdateBudget(3)
	if got := f.WritesPerSecond(); !almostEqual(got, 40) {
		t.Errorf("%d waiting calls: got %v writes/s, want 40", waitingCallsForGrowth, got)
	}
	f.queueCalls(ratelimit.PriorityUserRequest, waitingCallsForGrowth+1)
	f.UpdateBudget(3)
	if got := f.WritesPerSecond(); !almostEqual(got, 52) {
		t.Errorf("%d waiting calls: got %v writes/s, want 52", waitingCallsForGrowth+1, got)
	}
	for range 20 {
		f.UpdateBudget(3)
	}
	if got := f.WritesPerSecond(); !almostEqual(got, 100) {
		t.Errorf("calls wait during 20 more updates: got %v writes/s, want 100", got)
	}
	f.env.answerFirst(protocol.Throttled)
	f.UpdateBudget(3)
	if got := f.WritesPerSecond(); !almostEqual(got, 60) {
		t.Errorf("after a throttled request: got %v writes/s, want 60", got)
	}
}

// TestShardWritesPerSecond checks that shard updates get a smaller fraction of the writes while user calls
// wait. The fraction is smallest if the user calls wait at this controller.
func TestShardWritesPerSecond(t *testing.T) {
	cases := []struct {
		name    string
		here    int  // user calls that wait at this controller
		atPeers bool // user calls wait at another controller
		want    float64
	}{
		{"no user calls wait", 0, false, shardWriteFraction},
		{"as many wait here as the threshold", WaitingUserCallsThreshold, false, shardWriteFraction},
		{"user calls wait at a peer", 0, true, shardWriteFractionUsersWaitAtPeer},
		{"user calls wait here", WaitingUserCallsThreshold + 1, false, shardWriteFractionUsersWaitHere},
		{"user calls wait here and at a peer", WaitingUserCallsThreshold + 1, true, shardWriteFractionUsersWaitHere},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture()
			f.queueCalls(ratelimit.PriorityUserRequest, tc.here)
			f.usersWaitAtPeers = tc.atPeers
			if got, want := f.ShardWritesPerSecond(), tc.want*100/3; !almostEqual(got, want) {
				t.Errorf("%d calls wait here, calls wait at peers %v: got %v shard writes/s, want %v",
					tc.here, tc.atPeers, got, want)
			}
		})
	}
}

// TestIntervals checks that the intervals between a controller's watches, and between its writes for one kind
// of work, keep all controllers together within their fractions of the limits.
func TestIntervals(t *testing.T) {
	f := newFixture()
	if got := f.NextWriteAllowedAt(0.1) - f.env.now; got != 300*monotime.Millisecond {
		t.Errorf("a tenth of the writes: got next write after %d us, want 300 ms", got)
	}
	if got := f.WatchInterval(); got != minWatchInterval {
		t.Errorf("400 requests/s: got watch interval %d us, want %d us", got, minWatchInterval)
	}
	f.budget.limits.RequestsPerSecond = 60
	if got := f.WatchInterval(); got != 200*monotime.Millisecond {
		t.Errorf("60 requests/s: got watch interval %d us, want 200 ms", got)
	}
	if !f.HasSpareWrites(f.env.now, 1) {
		t.Error("before the first request: got no spare writes, want the whole burst")
	}
	f.Call(
		ratelimit.PriorityClaim,
		&protocol.StoreCall{Transaction: protocol.Transaction{Then: make([]protocol.Op, 15)}},
		func(protocol.StoreResult) {},
	)
	if f.HasSpareWrites(f.env.now, 0.5) {
		t.Error("after 15 writes of a burst of 20: got half of the burst spare, want less")
	}
}
