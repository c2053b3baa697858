// Package storeclient makes one controller's calls of the state service: it paces them by priority within the
// controller's part of the service's rate limits, and observes whether the service answers. All methods
// of a Client, and the callbacks of its environment, run on one goroutine.
package storeclient

import (
	"log/slog"

	"pipitgap/internal/logging"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
)

const (
	// callTimeout is the timeout of a call that sets none.
	callTimeout = 2 * monotime.Second
	// maxCallsInFlight bounds how many queued calls wait for an answer at a time.
	maxCallsInFlight = 8
	// maxThrottledAge is how long after it was queued a throttled call is tried again; later its caller gets
	// the outcome Unavailable.
	maxThrottledAge = 3 * monotime.Second
	// minDispatchDelay is the shortest delay of the timer that continues a queue without budget.
	minDispatchDelay = monotime.Millisecond
	// outageDelay is how long the service must not have answered to be logged and treated as unavailable.
	outageDelay = monotime.Second
)

// Environment makes the calls and measures the time.
type Environment interface {
	// Now reads the steady clock.
	Now() monotime.Micros
	// After calls back after a delay.
	After(delay monotime.Micros, callback func())
	// CallStore makes a call of the state service; the callback gets its result once.
	CallStore(call *protocol.StoreCall, callback func(protocol.StoreResult))
}

// Options are what a Client is made of.
type Options struct {
	Limits      Limits
	Controllers int // controllers of the deployment, this one included
	Environment Environment
	Log         *slog.Logger
	// UserCallsWaitAtPeers reports whether another controller has reported lately that calls of its users
	// wait.
	UserCallsWaitAtPeers func(now monotime.Micros) bool
}

// Client makes the calls of one controller.
type Client struct {
	env   Environment
	log   *slog.Logger
	queue *ratelimit.Queue

	timerArmed bool // a timer will continue the queue

	budget               budget
	userCallsWaitAtPeers func(now monotime.Micros) bool
	throttledCalls       int
	lastThrottledAt      monotime.Micros

	lastSuccessAt monotime.Micros // last answer but for those that say that the service is unavailable
	lastFailureAt monotime.Micros // last call without an answer, or with such a one
	unavailable   bool
}

// New makes a client whose budget is one even part of the limits for each controller of the deployment.
func New(options Options) *Client {
	c := &Client{
		env:                  options.Environment,
		log:                  options.Log,
		queue:                ratelimit.NewQueue(maxCallsInFlight),
		budget:               newBudget(options.Limits, options.Controllers),
		userCallsWaitAtPeers: options.UserCallsWaitAtPeers,
	}
	c.UpdateBudget(options.Controllers)
	return c
}

// Call queues a call under its priority and makes it once the budget allows. A call without a timeout gets
// one of two seconds. The callback gets the result once.
func (c *Client) Call(
	priority ratelimit.Priority,
	call *protocol.StoreCall,
	callback func(protocol.StoreResult),
) {
	if call.Timeout == 0 {
		call.Timeout = callTimeout
	}
	c.queue.Add(ratelimit.Call{
		StoreCall: call,
		Priority:  priority,
		QueuedAt:  c.env.Now(),
		OnResult:  callback,
	})
	c.dispatch()
}

// CallAtOnce makes a call beside the queue; its cost is taken from the budget of reads, which may go into
// debt. The caller decides what the result says about the service, see RecordOutcome.
func (c *Client) CallAtOnce(call *protocol.StoreCall, callback func(protocol.StoreResult)) {
	c.queue.TakeRead()
	c.env.CallStore(call, callback)
}

// dispatch makes the calls that the budget allows now.
func (c *Client) dispatch() {
	for {
		queued, ok, delay := c.queue.Next(c.env.Now())
		if !ok {
			c.armDispatchTimer(delay)
			return
		}
		c.env.CallStore(queued.StoreCall, func(result protocol.StoreResult) { c.complete(queued, result) })
	}
}

// armDispatchTimer arms the timer that continues the queue; a delay of 0 means that an answer will do so.
func (c *Client) armDispatchTimer(delay monotime.Micros) {
	if delay <= 0 || c.timerArmed {
		return
	}
	c.timerArmed = true
	c.env.After(max(delay, minDispatchDelay), func() {
		c.timerArmed = false
		c.dispatch()
	})
}

// complete handles the result of a queued call. A throttled call is queued again while it is young.
func (c *Client) complete(queued ratelimit.Call, result protocol.StoreResult) {
	c.queue.CallDone()
	if result.Outcome == protocol.Throttled {
		now := c.env.Now()
		c.throttledCalls++
		c.lastThrottledAt = now
		if now-queued.QueuedAt < maxThrottledAge {
			c.queue.Requeue(queued, now)
			c.dispatch()
			return
		}
		result.Outcome = protocol.Unavailable
	}
	c.RecordOutcome(result.Outcome)
	queued.OnResult(result)
	c.dispatch()
}

// QueuedCalls counts the calls of a priority that wait for budget.
func (c *Client) QueuedCalls(priority ratelimit.Priority) int { return c.queue.Len(priority) }

// OldestWait returns how long the first waiting call of a priority has waited, 0 if none waits.
func (c *Client) OldestWait(priority ratelimit.Priority, now monotime.Micros) monotime.Micros {
	return c.queue.OldestWait(priority, now)
}

// ThrottledCalls counts the queued calls that the service has answered with 429 so far.
func (c *Client) ThrottledCalls() int { return c.throttledCalls }

// ThrottledWithin reports whether a queued call was throttled in the last part of the time given; the start
// of the clock counts as one.
func (c *Client) ThrottledWithin(duration monotime.Micros) bool {
	return c.env.Now()-c.lastThrottledAt < duration
}

// RecordOutcome takes the outcome of a call as a sign whether the service answers. Queued calls are recorded
// without it.
func (c *Client) RecordOutcome(outcome protocol.Outcome) {
	now := c.env.Now()
	switch outcome {
	case protocol.Unavailable, protocol.Unknown:
		c.lastFailureAt = now
	default:
		c.lastSuccessAt = now
	}
}

// UpdateAvailability decides anew whether the service is unavailable, as this controller observes it, and
// logs the beginning and the end of that condition.
func (c *Client) UpdateAvailability(now monotime.Micros) {
	unavailable := c.lastFailureAt > c.lastSuccessAt && now-c.lastSuccessAt > outageDelay
	if unavailable == c.unavailable {
		return
	}
	c.unavailable = unavailable
	if unavailable {
		c.log.Info("state service unavailable", "state", logging.ConditionBegin,
			"duration_ms", (now - c.lastSuccessAt).Milliseconds())
	} else {
		c.log.Info("state service unavailable", "state", logging.ConditionEnd)
	}
}

// Unavailable reports whether the service was unavailable at the last UpdateAvailability.
func (c *Client) Unavailable() bool { return c.unavailable }

// LastSuccessAt is when the service last answered; the start of the clock if it never has.
func (c *Client) LastSuccessAt() monotime.Micros { return c.lastSuccessAt }
