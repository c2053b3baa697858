// Package storeclient makes one controller's calls to the state service. It queues calls by priority, limits
// their rate to the controller's share of the service's limits, and tracks whether the service is available.
// All methods of a Client, and the callbacks of its environment, run on one goroutine.
package storeclient

import (
	"log/slog"

	"pipitgap/internal/logging"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
)

const (
	// callTimeout is the default timeout of a queued call.
	callTimeout = 2 * monotime.Second
	// maxCallsInFlight is the maximum number of queued calls in flight at a time.
	maxCallsInFlight = 8
	// maxThrottledAge is the age, counted from queuing, at which a throttled call is no longer retried. Its
	// caller then gets the outcome Unavailable.
	maxThrottledAge = 3 * monotime.Second
	// minDispatchDelay is the minimum delay of the timer that dispatches calls once there is budget again.
	minDispatchDelay = monotime.Millisecond
	// outageDelay is the time without an answer after which the service counts as unavailable and the outage
	// is logged.
	outageDelay = monotime.Second
)

// Environment makes the calls and provides the clock and timers.
type Environment interface {
	// Now reads the monotonic clock.
	Now() monotime.Micros
	// After calls callback after a delay.
	After(delay monotime.Micros, callback func())
	// CallStore makes a call to the state service. It calls callback once, with the result.
	CallStore(call *protocol.StoreCall, callback func(protocol.StoreResult))
}

// Options configures a Client.
type Options struct {
	Limits      Limits
	Controllers int // controllers of the deployment, including this one
	Environment Environment
	Log         *slog.Logger
	// UserCallsWaitAtPeers reports whether another controller has recently reported that calls of its users
	// wait.
	UserCallsWaitAtPeers func(now monotime.Micros) bool
}

// Client makes the calls of one controller to the state service.
type Client struct {
	env   Environment
	log   *slog.Logger
	queue *ratelimit.Queue

	timerArmed bool // a timer that calls dispatch is pending

	budget               budget
	userCallsWaitAtPeers func(now monotime.Micros) bool
	throttledCalls       int
	lastThrottledAt      monotime.Micros

	lastSuccessAt monotime.Micros // last outcome other than Unavailable and Unknown
	lastFailureAt monotime.Micros // last outcome Unavailable or Unknown (no usable response)
	unavailable   bool
}

// New returns a client with the budget for the case that all controllers of the deployment are live.
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

// Call queues a call at a priority and makes it once the budget allows. A call without a timeout gets the
// default of 2 seconds. Call calls callback once, with the result.
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

// CallUnqueued makes a call immediately and bypasses the queue. The call takes one token from the read budget,
// which may go negative. The caller decides whether the outcome counts for the availability of the service,
// see RecordOutcome.
func (c *Client) CallUnqueued(call *protocol.StoreCall, callback func(protocol.StoreResult)) {
	c.queue.TakeRead()
	c.env.CallStore(call, callback)
}

// dispatch makes the queued calls that the budgets and the limit on calls in flight allow now.
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

// armDispatchTimer schedules the next dispatch after a delay. A delay of 0 needs no timer: the queue is empty
// or the response of a call in flight triggers the next dispatch.
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

// complete handles the result of a queued call. It requeues a throttled call that is younger than
// maxThrottledAge.
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

// QueuedCalls returns the number of waiting calls of a priority.
func (c *Client) QueuedCalls(priority ratelimit.Priority) int { return c.queue.Len(priority) }

// OldestWait returns how long the first waiting call of a priority has waited; 0 if none waits.
func (c *Client) OldestWait(priority ratelimit.Priority, now monotime.Micros) monotime.Micros {
	return c.queue.OldestWait(priority, now)
}

// ThrottledCalls returns the number of queued calls so far that the service answered with 429.
func (c *Client) ThrottledCalls() int { return c.throttledCalls }

// ThrottledWithin reports whether a queued call was throttled within the given duration before now. The start
// of the clock counts as a throttled call, so the result is also true during the first such duration of the
// process.
func (c *Client) ThrottledWithin(duration monotime.Micros) bool {
	return c.env.Now()-c.lastThrottledAt < duration
}

// RecordOutcome uses the outcome of a call to judge whether the service is available. The client records the
// outcomes of queued calls itself.
func (c *Client) RecordOutcome(outcome protocol.Outcome) {
	now := c.env.Now()
	switch outcome {
	case protocol.Unavailable, protocol.Unknown:
		c.lastFailureAt = now
	default:
		c.lastSuccessAt = now
	}
}

// UpdateAvailability updates whether the service is unavailable, as observed by this controller. It logs the
// beginning and the end of an outage.
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

// LastSuccessAt returns when the service last answered; 0, the start of the clock, if it never has.
func (c *Client) LastSuccessAt() monotime.Micros { return c.lastSuccessAt }
