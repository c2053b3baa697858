package storeclient

import (
	"pipitgap/internal/monotime"
	"pipitgap/internal/ratelimit"
)

const (
	// oversubscription is how much of the even part of the limits each controller may use: load is uneven,
	// and a 429 costs only a pause.
	oversubscription = 1.2
	// The multiplier of the even part changes by these factors, in steps of an UpdateBudget.
	throttledFactor = 0.6 // calls were throttled since the last step
	growthFactor    = 1.3 // calls wait and none was throttled
	decayFactor     = 0.9 // neither
	// waitingCallsForGrowth is how many calls may wait without the multiplier growing.
	waitingCallsForGrowth = 1
	// Bursts are half of a second's budget, but at least minReadBurst.
	burstDivisor = 2
	minReadBurst = 2
	// watchFraction is the part of the service's requests that all controllers' watches use at most.
	watchFraction = 0.25
	// minWatchInterval is the shortest interval between two watches of a controller.
	minWatchInterval = 50 * monotime.Millisecond
)

// WaitingUserCallsThreshold is how many calls of users may wait before shards make room for them.
const WaitingUserCallsThreshold = 2

// Parts of this controller's writes that shards may use. Users and the leader need the rest; more of it while
// users wait for theirs, here or at another controller: after a crash of all the others every user turns to
// the one that stayed.
const (
	shardWriteFraction                = 0.55
	shardWriteFractionUsersWaitAtPeer = 0.25
	shardWriteFractionUsersWaitHere   = 0.1
)

// Limits are the state service's, for all its users together.
type Limits struct {
	RequestsPerSecond float64
	WritesPerSecond   float64
	TransactionOps    int // operations of a transaction
}

// budget is this controller's part of the limits.
type budget struct {
	limits              Limits
	controllers         int
	sharers             int     // live controllers that share the limits
	multiplier          float64 // how much more than its even part this one uses
	throttledAtLastStep int     // throttled calls at the last step
}

// newBudget makes the budget of one even part of the limits for each controller.
func newBudget(limits Limits, controllers int) budget {
	return budget{limits: limits, controllers: controllers, multiplier: 1}
}

// UpdateBudget sets this controller's part of the service's limits, with so many live controllers. While
// calls wait and none is throttled the part grows: others that have crashed, or have little to do, leave
// theirs, and their memberships end only seconds later.
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

// nextMultiplier returns the multiplier of the next step, at most so large that the budget is the whole
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

// callsCountedForGrowth counts the waiting calls that a larger budget is for.
func (c *Client) callsCountedForGrowth() int {
	return c.queue.Len(ratelimit.PriorityUserRequest) + c.queue.Len(ratelimit.PriorityShardUpdate) +
		c.queue.Len(ratelimit.PriorityJobResult)
}

// BudgetSharers counts the live controllers that share the service's limits, at the last UpdateBudget.
func (c *Client) BudgetSharers() int { return c.budget.sharers }

// WritesPerSecond is this controller's budget of writes.
func (c *Client) WritesPerSecond() float64 { return c.queue.WritesPerSecond() }

// HasSpareWrites reports whether a fraction of the burst of writes is left.
func (c *Client) HasSpareWrites(now monotime.Micros, fraction float64) bool {
	return c.queue.HasSpareWrites(now, fraction)
}

// WatchInterval is the shortest interval between two watches of this controller, so that those of all
// controllers together use at most a quarter of the service's requests.
func (c *Client) WatchInterval() monotime.Micros {
	perSecond := c.budget.limits.RequestsPerSecond * watchFraction
	return max(minWatchInterval, monotime.FromSeconds(float64(c.budget.sharers)/perSecond))
}

// ShardWritesPerSecond is how many shards a second this controller may write.
func (c *Client) ShardWritesPerSecond() float64 {
	fraction := shardWriteFraction
	if c.UserCallsWaiting() {
		fraction = shardWriteFractionUsersWaitHere
	} else if c.userCallsWaitAtPeers(c.env.Now()) {
		fraction = shardWriteFractionUsersWaitAtPeer
	}
	return fraction * c.budget.multiplier * c.budget.limits.WritesPerSecond / float64(c.budget.sharers)
}

// UserCallsWaiting reports whether so many calls of users wait here that other work makes room for them.
func (c *Client) UserCallsWaiting() bool {
	return c.queue.Len(ratelimit.PriorityUserRequest) > WaitingUserCallsThreshold
}

// NextWriteAllowedAt returns when work that costs a write may be done again, if all live controllers together
// are to use that fraction of the service's writes for it.
func (c *Client) NextWriteAllowedAt(fraction float64) monotime.Micros {
	perSecond := fraction * c.budget.limits.WritesPerSecond
	return c.env.Now() + monotime.FromSeconds(float64(c.budget.sharers)/perSecond)
}
