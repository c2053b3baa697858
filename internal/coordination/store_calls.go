package coordination

import (
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
)

// updateStoreBudgets sets this controller's part of the state service's limits. Load is
// uneven, so each may use somewhat more than its share; a 429 costs only a pause.
// While calls wait and none is refused the part grows: others that have crashed, or
// have little to do, leave theirs, and their memberships end only seconds later.
func (c *Controller) updateStoreBudgets(live int) {
	live = max(1, min(live, len(c.controllers)))
	most := max(1, float64(live)/budgetOversubscription)
	before := c.budgetMultiplier
	switch refused := c.counters.callsThrottled - c.throttledSeen; {
	case refused > 0:
		c.budgetMultiplier = max(1, c.budgetMultiplier*0.6)
	case c.storeQueue.Len(ratelimit.PriorityUserRequest)+c.storeQueue.Len(ratelimit.PriorityShardUpdate)+c.storeQueue.Len(ratelimit.PriorityJobResult) > 1:
		c.budgetMultiplier = min(most, c.budgetMultiplier*1.3)
	default:
		c.budgetMultiplier = max(1, c.budgetMultiplier*0.9)
	}
	c.budgetMultiplier, c.throttledSeen = min(c.budgetMultiplier, most), c.counters.callsThrottled
	if live == c.budgetSharers && c.budgetMultiplier == before {
		return
	}
	c.budgetSharers = live
	st := c.cfg.Facts.State
	share := min(1, budgetOversubscription*c.budgetMultiplier/float64(live))
	c.storeQueue.Reads.Rate, c.storeQueue.Reads.Burst = st.RPS*share, max(2, st.RPS*share/2)
	c.storeQueue.Writes.Rate, c.storeQueue.Writes.Burst = st.WriteRPS*share, max(float64(st.TxnOps), st.WriteRPS*share/2)
	// All watches together use at most a quarter of the store's requests.
	c.minWatchInterval = max(50*monotime.Millisecond, monotime.FromSeconds(float64(live)/(st.RPS*0.25)))
}

// waitingUserCallsThreshold is how many calls of users may wait before shards make room for them.
const waitingUserCallsThreshold = 2

// shardWriteRate is how many shards a second this controller may write: a good half of its
// share of the changes, the rest is the users' and the leader's; less while users wait
// for theirs, here or elsewhere. After a crash of all others every user comes to the
// one that stayed; those that were back wrote 22 shards a second of 50 changes, and it
// accepted four jobs.
func (c *Controller) shardWriteRate() float64 {
	fraction := 0.55
	if c.userCallsWaiting() {
		fraction = 0.1
	} else if c.peerStatuses.userCallsWaiting(c.now()) {
		fraction = 0.25
	}
	return fraction * c.budgetMultiplier * c.cfg.Facts.State.WriteRPS / float64(c.budgetSharers)
}

func (c *Controller) userCallsWaiting() bool {
	return c.storeQueue.Len(ratelimit.PriorityUserRequest) > waitingUserCallsThreshold
}

func (c *Controller) callStore(priority ratelimit.Priority, call *protocol.StoreCall, callback func(protocol.StoreResult)) {
	if call.Timeout == 0 {
		call.Timeout = storeTimeout
	}
	c.storeQueue.Add(ratelimit.Call{StoreCall: call, Priority: priority, QueuedAt: c.now(), OnResult: callback})
	c.dispatchStoreCalls()
}

// dispatchStoreCalls makes the calls that the budget allows now.
func (c *Controller) dispatchStoreCalls() {
	for {
		now := c.now()
		queued, ok, delay := c.storeQueue.Next(now)
		if !ok {
			if delay > 0 && !c.queueTimerArmed {
				c.queueTimerArmed = true
				c.env.After(max(delay, monotime.Millisecond), func() { c.queueTimerArmed = false; c.dispatchStoreCalls() })
			}
			return
		}
		c.env.CallStore(queued.StoreCall, func(result protocol.StoreResult) {
			c.storeQueue.InFlight--
			if result.Outcome == protocol.Throttled {
				c.counters.callsThrottled++
				c.lastThrottledAt = c.now()
				if c.now()-queued.QueuedAt < 3*monotime.Second {
					c.storeQueue.Requeue(queued, c.now())
					c.dispatchStoreCalls()
					return
				}
				result.Outcome = protocol.Unavailable
			}
			c.recordStoreOutcome(result.Outcome)
			queued.OnResult(result)
			c.dispatchStoreCalls()
		})
	}
}

func (c *Controller) recordStoreOutcome(outcome protocol.Outcome) {
	now := c.now()
	switch outcome {
	case protocol.Unavailable, protocol.Unknown:
		c.lastStoreFailureAt = now
	default:
		c.lastStoreSuccessAt = now
	}
}

// logStoreAvailability logs the beginning and the end of an outage, as this node sees it.
func (c *Controller) logStoreAvailability(now monotime.Micros) {
	unavailable := c.lastStoreFailureAt > c.lastStoreSuccessAt && now-c.lastStoreSuccessAt > monotime.Second
	if unavailable == c.storeUnavailable {
		return
	}
	c.storeUnavailable = unavailable
	if unavailable {
		c.log.Info("state service unavailable", "state", conditionBegin,
			"duration_ms", (now - c.lastStoreSuccessAt).Milliseconds())
	} else {
		c.log.Info("state service unavailable", "state", conditionEnd)
	}
}

// storeUnreachableOnlyHere tells whether this node can't use the store while another can:
// then it must hand its users and workers to the others. In an outage that all
// share it goes on answering workers, or every lease would lapse.
func (c *Controller) storeUnreachableOnlyHere(now monotime.Micros) (peer string, alone bool) {
	if !c.storeUnavailable || now-c.lastStoreSuccessAt < 2*monotime.Second {
		return "", false
	}
	for _, node := range sortedKeys(c.peerStatuses.statuses) {
		at := c.peerStatuses.statuses[node].storeReachableAt
		if at != 0 && now-at < 1500*monotime.Millisecond && at > c.lastStoreSuccessAt+1500*monotime.Millisecond {
			return node, true
		}
	}
	return "", false
}

// isIsolated tells whether we reach neither the store nor any other controller:
// then it is we who are cut off, and users are better served elsewhere.
func (c *Controller) isIsolated(now monotime.Micros) bool {
	if !c.storeUnavailable || now-c.lastStoreSuccessAt < 2*monotime.Second || len(c.cfg.Peers) == 0 {
		return false
	}
	for _, peer := range c.cfg.Peers {
		if c.heardFromRecently(peer.Node, now) {
			return false
		}
	}
	return true
}

// shouldRedirectAway tells whether a worker of ours is to look for another controller: we reach
// neither the store nor any other, and our membership has ended for so long that
// whoever does has taken our machines over. One that has been round and comes back
// within its lease has found nobody: it is we who are left, or its zone is cut off with
// us, and it is answered as before.
func (c *Controller) shouldRedirectAway(agent *Agent, now monotime.Micros) bool {
	if !c.isIsolated(now) || now-c.leaseRenewalSentAt < c.durations.membershipTTL+takeoverDuration {
		return false
	}
	back := agent.RedirectedAt != 0 && now-agent.RedirectedAt < c.durations.workerLease
	agent.RedirectedAt = max(now, 1)
	return !back
}

// commitTxn makes a conditional change; on success it is in the mirror before
// back is called.
func (c *Controller) commitTxn(priority ratelimit.Priority, txn protocol.Transaction, callback func(protocol.StoreResult)) {
	c.callStore(priority, &protocol.StoreCall{Op: protocol.StoreCommit, Transaction: txn}, func(result protocol.StoreResult) {
		if result.Outcome == protocol.OK {
			c.mirror.ApplyCommit(&txn, result.Revision)
		} else if result.Outcome == protocol.Conflict {
			c.counters.commitConflicts++
			c.hastenWatch()
		}
		callback(result)
	})
}
