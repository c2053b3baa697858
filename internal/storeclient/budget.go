package storeclient

import (
	"pipitgap/internal/monotime"
	"pipitgap/internal/ratelimit"
)

const (
	// oversubscription is the ratio of a controller's budget, at a multiplier of 1, to its equal share of the
	// limits. It is above 1 because load is uneven between controllers and a 429 costs only a pause.
	oversubscription = 1.2
	// Each UpdateBudget multiplies the multiplier of the equal share by one of these factors.
	throttledFactor = 0.6 // calls were throttled since the last UpdateBudget
	growthFactor    = 1.3 // more than waitingCallsForGrowth calls wait and none was throttled
	decayFactor     = 0.9 // at most waitingCallsForGrowth calls wait and none was throttled
	// waitingCallsForGrowth is the maximum number of waiting calls at which the multiplier doesn't grow.
	waitingCallsForGrowth = 1
	// The burst is half of a second's budget. The minimum is minReadBurst reads, and for writes one
	// transaction of the maximum size.
	burstDivisor = 2
	minReadBurst = 2
	// watchFraction is the maximum fraction of the service's request limit that the watches of all
	// controllers use together.
	watchFraction = 0.25
	// minWatchInterval is the minimum interval between two watches of a controller.
	minWatchInterval = 50 * monotime.Millisecond
)

// WaitingUserCallsThreshold is the number of waiting user calls above which shard updates get a smaller
// fraction of the writes.
const WaitingUserCallsThreshold = 2

// Fractions of this controller's writes, counted without oversubscription, that shard updates may use. User
// calls and the leader need the remaining writes. They need more while user calls wait, here or at another
// controller: if all controllers but one crash, all users connect to the remaining one.
const (
	shardWriteFraction                = 0.55
	shardWriteFractionUsersWaitAtPeer = 0.25
	shardWriteFractionUsersWaitHere   = 0.1
)

// Limits are the limits of the state service for all its clients together.
type Limits struct {
	RequestsPerSecond float64
	WritesPerSecond   float64
	TransactionOps    int // maximum number of operations in a transaction
}

// budget is this controller's share of the limits.
type budget struct {
	limits              Limits
	controllers         int     // controllers of the deployment
	sharers             int     // live controllers that share the limits
	multiplier          float64 // factor applied to this controller's equal share
	throttledAtLastStep int     // value of Client.throttledCalls at the last UpdateBudget
}

// newBudget returns a budget that starts with a multiplier of 1: an equal share for each controller.
func newBudget(limits Limits, controllers int) budget {
	return budget{limits: limits, controllers: controllers, multiplier: 1}
}

// UpdateBudget recomputes this controller's share of the service's limits for the given number of live
// controllers. The share grows while calls wait and none is throttled: controllers that have crashed or are
// idle don't use their shares, and the membership of a crashed controller ends only seconds later.
func (c *Client) UpdateBudget(live int) {
	b := &c.budget
	live = max(1, min(live, b.controllers))
	multiplier := c.nextMultiplier(live)
	b.throttledAtLastStep = c.throttledCalls
	if live == b.sharers && multiplier == b.multiplier {
		return
	}
	b.sharers, b.multiplier = live, multiplier
	share := min(1, oversubscription*multiplier/float64(live))
	reads, writes := b.limits.RequestsPerSecond*share, b.limits.WritesPerSecond*share
	c.queue.SetRates(
		ratelimit.Rates{PerSecond: reads, Burst: max(minReadBurst, reads/burstDivisor)},
		ratelimit.Rates{PerSecond: writes, Burst: max(float64(b.limits.TransactionOps), writes/burstDivisor)},
	)
}

// nextMultiplier returns the multiplier for the next step. It is capped where the budget reaches the whole
// limit.
func (c *Client) nextMultiplier(live int) float64 {
	multiplier := c.budget.multiplier
	switch {
	case c.throttledCalls > c.budget.throttledAtLastStep:
		multiplier = max(1, multiplier*throttledFactor)
	case c.callsCountedForGrowth() > waitingCallsForGrowth:
		multiplier *= growthFactor
	default:
		multiplier = max(1, multiplier*decayFactor)
	}
	return min(multiplier, max(1, float64(live)/oversubscription))
}

// callsCountedForGrowth returns the number of waiting calls that count for the growth of the budget: user
// requests, shard updates and job results.
func (c *Client) callsCountedForGrowth() int {
	return c.queue.Len(ratelimit.PriorityUserRequest) + c.queue.Len(ratelimit.PriorityShardUpdate) +
		c.queue.Len(ratelimit.PriorityJobResult)
}

// LiveControllerCount returns the number of live controllers that shared the service's limits at the last
// UpdateBudget.
func (c *Client) LiveControllerCount() int { return c.budget.sharers }

// WritesPerSecond returns this controller's write budget.
func (c *Client) WritesPerSecond() float64 { return c.queue.WritesPerSecond() }

// HasSpareWrites reports whether at least the given fraction of the write burst is available.
func (c *Client) HasSpareWrites(now monotime.Micros, fraction float64) bool {
	return c.queue.HasSpareWrites(now, fraction)
}

// WatchInterval returns the minimum interval between two watches of this controller. It limits the watches of
// all controllers together to watchFraction of the service's request limit.
func (c *Client) WatchInterval() monotime.Micros {
	perSecond := c.budget.limits.RequestsPerSecond * watchFraction
	return max(minWatchInterval, monotime.FromSeconds(float64(c.budget.sharers)/perSecond))
}

// ShardWritesPerSecond returns the number of shard updates that this controller may write per second.
func (c *Client) ShardWritesPerSecond() float64 {
	fraction := shardWriteFraction
	if c.UserCallsWaiting() {
		fraction = shardWriteFractionUsersWaitHere
	} else if c.userCallsWaitAtPeers(c.env.Now()) {
		fraction = shardWriteFractionUsersWaitAtPeer
	}
	return fraction * c.budget.multiplier * c.budget.limits.WritesPerSecond / float64(c.budget.sharers)
}

// UserCallsWaiting reports whether more than WaitingUserCallsThreshold user calls wait at this controller, so
// that other work must leave writes to them.
func (c *Client) UserCallsWaiting() bool {
	return c.queue.Len(ratelimit.PriorityUserRequest) > WaitingUserCallsThreshold
}

// NextWriteAllowedAt returns the earliest time at which this controller may repeat a kind of work that costs
// one write, if all live controllers together may use the given fraction of the service's write limit for
// that work.
func (c *Client) NextWriteAllowedAt(fraction float64) monotime.Micros {
	perSecond := fraction * c.budget.limits.WritesPerSecond
	return c.env.Now() + monotime.FromSeconds(float64(c.budget.sharers)/perSecond)
}
