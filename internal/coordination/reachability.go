package coordination

import (
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/storage"
)

// What a controller holds is worth something only while it reaches it. This file asks
// of oneself: whom do I reach, and how old is what I know? A controller whose workers
// have all fallen silent, while others hear theirs, hands its machines over and takes no
// new ones; one that stood still believes nothing until it has asked again.

// WorkerReach is whether a controller reaches its workers. Its numbers are sent to peers and frozen.
type WorkerReach int

// Values of WorkerReach.
const (
	WorkersUnknown     WorkerReach = iota // it has none that could tell
	WorkersReachable                      // it hears most of its workers
	WorkersUnreachable                    // they have all fallen silent, or nearly so
)

const (
	pauseThreshold            = 3 * monotime.Second / 2 // a tick so late means that the process stood still
	staleAfterPause           = monotime.Second / 2     // after that it waits so long for word from the store
	reachabilityProbeInterval = 2 * monotime.Second
	initialProbeCount         = 3                   // silent machines that are asked before we take ourselves for cut off
	probeValidity             = 3 * monotime.Second // one that answers proves the contrary for so long
)

// detectPause notes that the process stood still since the last tick, or whatever else
// came, while its clocks ran. It is asked before anything that comes in is taken.
func (c *Controller) detectPause(now monotime.Micros) {
	if c.lastActivityAt != 0 && now-c.lastActivityAt > pauseThreshold {
		c.resumedFromPauseAt = now
		c.log.Info("process pause detected", "duration_ms", (now - c.lastActivityAt).Milliseconds())
	}
	c.lastActivityAt = now
}

// mirrorStale tells whether we stood still and haven't heard from the store since: what we
// hold may be others', and what comes in may have waited for long. In an outage the
// wait is short, or the workers' leases would lapse.
func (c *Controller) mirrorStale(now monotime.Micros) bool {
	return c.resumedFromPauseAt > c.mirrorFreshAt && now-c.resumedFromPauseAt < staleAfterPause
}

// workerReach tells whether we reach our workers.
func (c *Controller) workerReach() WorkerReach {
	switch {
	case c.workersUnreachableSince != 0:
		return WorkersUnreachable
	case c.hearsMostWorkers:
		return WorkersReachable
	}
	return WorkersUnknown
}

// updateReachability judges from the silence of our machines whether it is we who are cut off
// from them. Without a fresh mirror, or just after standing still, silence says nothing.
func (c *Controller) updateReachability(overall silenceCount, now monotime.Micros) {
	c.hearsMostWorkers = overall.machines > 0 && 2*overall.silent < overall.machines
	switch {
	case overall.isUnreachable() && c.workersUnreachableSince == 0:
		c.probeSilentMachines(now)
	case c.workersUnreachableSince != 0 && c.hearsMostWorkers:
		c.markWorkersReachable(now)
	}
	if c.workersUnreachableSince == 0 {
		return
	}
	c.handOffShards(now)
	c.probeReachability(now)
}

// probeSilentMachines asks a few of our silent machines themselves. They are silent too while their
// workers go round after a crash of several controllers, each for seconds at one that
// hangs: those that had just claimed them again gave them away once more.
func (c *Controller) probeSilentMachines(now monotime.Micros) {
	if c.reachabilityProbesInFlight > 0 || now-c.lastProbeSuccessAt < probeValidity {
		return
	}
	var machines []*Machine
	for _, id := range sortedKeys(c.mirror.Machines) {
		if machine := c.mirror.Machines[id]; machine.Agent != nil && machine.Record != nil {
			machines = append(machines, machine)
		}
	}
	n := min(len(machines), initialProbeCount)
	c.reachabilityProbesInFlight = n
	answered := false
	for i := 0; i < n; i++ {
		k := i + c.env.Rand().IntN(len(machines)-i)
		machines[i], machines[k] = machines[k], machines[i]
		machine := machines[i]
		c.env.SendCommands(machine.Record.Endpoint, nil, probeTimeout, func(result protocol.CommandResult) {
			c.reachabilityProbesInFlight--
			if result.Status == 200 && result.Heartbeat.Machine == machine.ID {
				answered, c.lastProbeSuccessAt = true, c.now()
			}
			if c.reachabilityProbesInFlight == 0 && !answered && c.workersUnreachableSince == 0 {
				c.workersUnreachableSince = c.now()
				c.log.Info("workers unreachable", "state", conditionBegin, "machines", len(machines))
				c.handOffShards(c.now())
			}
		})
	}
}

func (c *Controller) markWorkersReachable(now monotime.Micros) {
	c.workersUnreachableSince = 0
	c.schedulingNeeded = true
	c.log.Info("workers unreachable", "state", conditionEnd)
}

// probeReachability asks some machine, whosever it is, whether we reach workers again. A report
// that comes in wouldn't do: copies come late.
func (c *Controller) probeReachability(now monotime.Micros) {
	if now < c.nextReachabilityProbeAt {
		return
	}
	c.nextReachabilityProbeAt = now + reachabilityProbeInterval
	ids := sortedKeys(c.mirror.Machines)
	if len(ids) == 0 {
		c.markWorkersReachable(now)
		return
	}
	machine := c.mirror.Machines[ids[c.env.Rand().IntN(len(ids))]]
	if machine.Record == nil {
		c.nextReachabilityProbeAt = now
		return
	}
	since := c.workersUnreachableSince
	c.env.SendCommands(machine.Record.Endpoint, nil, probeTimeout, func(result protocol.CommandResult) {
		if result.Status == 200 && result.Heartbeat.Machine == machine.ID && c.workersUnreachableSince == since && since != 0 {
			c.markWorkersReachable(c.now())
		}
	})
}

// isCutOffFromWorkers tells whether a controller lives, but is known not to reach workers.
func (c *Controller) isCutOffFromWorkers(node string, now monotime.Micros) bool {
	if node == c.node {
		return c.workersUnreachableSince != 0
	}
	return c.heardFromRecently(node, now) && c.peerStatuses.status(node).reachability == WorkersUnreachable
}

// connectedControllers lists the live controllers that are good for machines and waiting tasks.
func (c *Controller) connectedControllers() []string {
	controllers, now := c.liveControllers(), c.now()
	var out []string
	for _, node := range controllers {
		if !c.isCutOffFromWorkers(node, now) {
			out = append(out, node)
		}
	}
	if len(out) == 0 {
		return controllers
	}
	return out
}

// handOffShards gives our shards to controllers that say they hear their workers. Ours
// turn to them when we don't answer; their claims one by one, each against our own
// writes, took longer than the leases of most.
func (c *Controller) handOffShards(now monotime.Micros) {
	if c.quotaWriteInFlight || c.storeUnavailable || !c.holdsLease(now) || now-c.lastWatchSuccessAt > watchLongPoll+monotime.Second {
		return
	}
	var to, others []string
	alone := true
	for _, node := range c.liveControllers() {
		if node == c.node {
			continue
		}
		others = append(others, node)
		if c.heardFromRecently(node, now) {
			alone = false
			if c.peerStatuses.status(node).reachability == WorkersReachable {
				to = append(to, node)
			}
		}
	}
	if alone {
		to = others // neither workers nor controllers: it is we who are cut off
	}
	if len(to) == 0 {
		return // nobody hears any
	}
	successor := ""
	var shards []*Shard
	for _, name := range sortedKeys(c.mirror.Shards) {
		shard := c.mirror.Shards[name]
		if tracker := c.trackerOf(name); !c.ownsShard(shard) || tracker.commitInFlightSince != 0 || len(tracker.updatesInDoubt) > 0 || c.mirror.WatchedRevision < shard.Version {
			continue
		}
		destination := rendezvousOwner(name, to)
		if successor == "" {
			successor = destination
		}
		if destination == successor {
			shards = append(shards, shard)
		}
	}
	if len(shards) == 0 {
		return
	}
	member := c.mirror.Members[successor]
	txn, taken := c.buildShardTransfer(shards, successor, member.Record.Incarnation)
	txn.If = append(txn.If, protocol.Compare{Key: storage.Key(storage.KindMember, successor), Version: member.Version})
	c.quotaWriteInFlight = true
	c.commitTxn(ratelimit.PriorityClaim, txn, func(result protocol.StoreResult) {
		c.quotaWriteInFlight = false
		c.schedulingNeeded = true
		if result.Outcome == protocol.OK {
			c.log.Info("shards transferred", "to_node", successor, "shards", taken)
			c.handOffShards(c.now())
		}
	})
}
