package coordination

import (
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/sortedmap"
)

// storeClient paces the calls of the state service: a queue by priority, this controller's part of the
// limits, and whether the service answers.
type storeClient struct {
	c *Controller

	queue            ratelimit.Queue
	timerArmed       bool            // a timer will run the queue
	lastSuccessAt    monotime.Micros // last answer of the store other than 503 or silence
	lastFailureAt    monotime.Micros // last failure
	unavailable      bool
	budgetSharers    int             // live controllers that the budgets are shared by
	budgetMultiplier float64         // how much more than its even part of them this one uses
	lastThrottledAt  monotime.Micros // when a call was last throttled
	throttledSeen    int             // calls that were throttled when that was last looked at
}

// updateStoreBudgets sets this controller's part of the state service's limits. Load is
// uneven, so each may use somewhat more than its share; a 429 costs only a pause.
// While calls wait and none is refused the part grows: others that have crashed, or
// have little to do, leave theirs, and their memberships end only seconds later.
func (cl *storeClient) updateBudgets(live int) {
	live = max(1, min(live, len(cl.c.controllers)))
	most := max(1, float64(live)/budgetOversubscription)
	before := cl.budgetMultiplier
	switch refused := cl.c.counters.callsThrottled - cl.throttledSeen; {
	case refused > 0:
		cl.budgetMultiplier = max(1, cl.budgetMultiplier*0.6)
	case cl.queue.Len(ratelimit.PriorityUserRequest)+cl.queue.Len(ratelimit.PriorityShardUpdate)+cl.queue.Len(ratelimit.PriorityJobResult) > 1:
		cl.budgetMultiplier = min(most, cl.budgetMultiplier*1.3)
	default:
		cl.budgetMultiplier = max(1, cl.budgetMultiplier*0.9)
	}
	cl.budgetMultiplier, cl.throttledSeen = min(cl.budgetMultiplier, most), cl.c.counters.callsThrottled
	if live == cl.budgetSharers && cl.budgetMultiplier == before {
		return
	}
	cl.budgetSharers = live
	st := cl.c.cfg.Facts.State
	share := min(1, budgetOversubscription*cl.budgetMultiplier/float64(live))
	cl.queue.Reads.Rate, cl.queue.Reads.Burst = st.RPS*share, max(2, st.RPS*share/2)
	cl.queue.Writes.Rate, cl.queue.Writes.Burst = st.WriteRPS*share, max(
		float64(st.TxnOps),
		st.WriteRPS*share/2,
	)
	// All watches together use at most a quarter of the store's requests.
	cl.c.replica.minWatchInterval = max(
		50*monotime.Millisecond,
		monotime.FromSeconds(float64(live)/(st.RPS*0.25)),
	)
}

// waitingUserCallsThreshold is how many calls of users may wait before shards make room for them.
const waitingUserCallsThreshold = 2

// shardWriteRate is how many shards a second this controller may write: a good half of its
// share of the changes, the rest is the users' and the leader's; less while users wait
// for theirs, here or elsewhere. After a crash of all others every user comes to the
// one that stayed; those that were back wrote 22 shards a second of 50 changes, and it
// accepted four jobs.
func (cl *storeClient) shardWriteRate() float64 {
	fraction := 0.55
	if cl.userCallsWaiting() {
		fraction = 0.1
	} else if cl.c.peerStatuses.userCallsWaiting(cl.c.now()) {
		fraction = 0.25
	}
	return fraction * cl.budgetMultiplier * cl.c.cfg.Facts.State.WriteRPS / float64(cl.budgetSharers)
}

func (cl *storeClient) userCallsWaiting() bool {
	return cl.queue.Len(ratelimit.PriorityUserRequest) > waitingUserCallsThreshold
}

func (cl *storeClient) call(
	priority ratelimit.Priority,
	call *protocol.StoreCall,
	callback func(protocol.StoreResult),
) {
	if call.Timeout == 0 {
		call.Timeout = storeTimeout
	}
	cl.queue.Add(
		ratelimit.Call{StoreCall: call, Priority: priority, QueuedAt: cl.c.now(), OnResult: callback},
	)
	cl.dispatch()
}

// dispatchStoreCalls makes the calls that the budget allows now.
func (cl *storeClient) dispatch() {
	for {
		now := cl.c.now()
		queued, ok, delay := cl.queue.Next(now)
		if !ok {
			if delay > 0 && !cl.timerArmed {
				cl.timerArmed = true
				cl.c.env.After(
					max(delay, monotime.Millisecond),
					func() { cl.timerArmed = false; cl.dispatch() },
				)
			}
			return
		}
		cl.c.env.CallStore(queued.StoreCall, func(result protocol.StoreResult) {
			cl.queue.InFlight--
			if result.Outcome == protocol.Throttled {
				cl.c.counters.callsThrottled++
				cl.lastThrottledAt = cl.c.now()
				if cl.c.now()-queued.QueuedAt < 3*monotime.Second {
					cl.queue.Requeue(queued, cl.c.now())
					cl.dispatch()
					return
				}
				result.Outcome = protocol.Unavailable
			}
			cl.recordOutcome(result.Outcome)
			queued.OnResult(result)
			cl.dispatch()
		})
	}
}

func (cl *storeClient) recordOutcome(outcome protocol.Outcome) {
	now := cl.c.now()
	switch outcome {
	case protocol.Unavailable, protocol.Unknown:
		cl.lastFailureAt = now
	default:
		cl.lastSuccessAt = now
	}
}

// logStoreAvailability logs the beginning and the end of an outage, as this node sees it.
func (cl *storeClient) logAvailability(now monotime.Micros) {
	unavailable := cl.lastFailureAt > cl.lastSuccessAt && now-cl.lastSuccessAt > monotime.Second
	if unavailable == cl.unavailable {
		return
	}
	cl.unavailable = unavailable
	if unavailable {
		cl.c.log.Info("state service unavailable", "state", conditionBegin,
			"duration_ms", (now - cl.lastSuccessAt).Milliseconds())
	} else {
		cl.c.log.Info("state service unavailable", "state", conditionEnd)
	}
}

// storeUnreachableOnlyHere tells whether this node can't use the store while another can:
// then it must hand its users and workers to the others. In an outage that all
// share it goes on answering workers, or every lease would lapse.
func (rc *reachability) storeUnreachableOnlyHere(now monotime.Micros) (peer string, alone bool) {
	if !rc.c.store.unavailable || now-rc.c.store.lastSuccessAt < 2*monotime.Second {
		return "", false
	}
	for _, node := range sortedmap.Keys(rc.c.peerStatuses.statuses) {
		at := rc.c.peerStatuses.statuses[node].storeReachableAt
		if at != 0 && now-at < 1500*monotime.Millisecond &&
			at > rc.c.store.lastSuccessAt+1500*monotime.Millisecond {
			return node, true
		}
	}
	return "", false
}

// isIsolated tells whether we reach neither the store nor any other controller:
// then it is we who are cut off, and users are better served elsewhere.
func (rc *reachability) isIsolated(now monotime.Micros) bool {
	if !rc.c.store.unavailable || now-rc.c.store.lastSuccessAt < 2*monotime.Second ||
		len(rc.c.cfg.Peers) == 0 {
		return false
	}
	for _, peer := range rc.c.cfg.Peers {
		if rc.heardFromRecently(peer.Node, now) {
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
func (rc *reachability) shouldRedirectAway(agent *Agent, now monotime.Micros) bool {
	if !rc.isIsolated(now) ||
		now-rc.c.membership.leaseRenewalSentAt < rc.c.durations.membershipTTL+takeoverDuration {
		return false
	}
	back := agent.RedirectedAt != 0 && now-agent.RedirectedAt < rc.c.durations.workerLease
	agent.RedirectedAt = max(now, 1)
	return !back
}

// commitTxn makes a conditional change; on success it is in the mirror before
// back is called.
func (r *mirrorReplica) commit(
	priority ratelimit.Priority,
	txn protocol.Transaction,
	callback func(protocol.StoreResult),
) {
	r.c.store.call(
		priority,
		&protocol.StoreCall{Op: protocol.StoreCommit, Transaction: txn},
		func(result protocol.StoreResult) {
			if result.Outcome == protocol.OK {
				r.c.mirror.ApplyCommit(&txn, result.Revision)
			} else if result.Outcome == protocol.Conflict {
				r.c.counters.commitConflicts++
				r.hastenWatch()
			}
			callback(result)
		},
	)
}

// maxStoreCallsInFlight bounds how many calls of the state service wait for an answer at a time.
const maxStoreCallsInFlight = 8

func newStoreClient(c *Controller) *storeClient {
	return &storeClient{c: c, queue: ratelimit.Queue{MaxInFlight: maxStoreCallsInFlight}, budgetMultiplier: 1}
}
