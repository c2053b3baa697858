package coordination

import (
	"pipitgap/internal/durations"
	"pipitgap/internal/membership"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/peers"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// reachability judges whether this controller reaches its workers, the state service and the other
// controllers, and whether its process was paused.
type reachability struct {
	c *Controller

	workersUnreachableSince monotime.Micros // since when our workers are out of reach; 0: they aren't
	hearsMostWorkers        bool            // most of them were heard lately
	probesInFlight          int             // questions to silent machines in flight, see suspect
	lastProbeSuccessAt      monotime.Micros // when one last answered
	nextProbeAt             monotime.Micros
	lastActivityAt          monotime.Micros // when it was last seen to run
	resumedFromPauseAt      monotime.Micros // when we last went on after standing still
}

// What a controller holds is worth something only while it reaches it. This file asks
// of oneself: whom do I reach, and how old is what I know? A controller whose workers
// have all fallen silent, while others hear theirs, hands its machines over and takes no
// new ones; one that stood still believes nothing until it has asked again.

const (
	pauseThreshold            = 3 * monotime.Second / 2 // a tick so late means that the process stood still
	staleAfterPause           = monotime.Second / 2     // after that it waits so long for word from the store
	reachabilityProbeInterval = 2 * monotime.Second
	// silent machines that are asked before we take ourselves for cut off
	initialProbeCount = 3
	probeValidity     = 3 * monotime.Second // one that answers proves the contrary for so long
)

// detectPause notes that the process stood still since the last tick, or whatever else
// came, while its clocks ran. It is asked before anything that comes in is taken.
func (rc *reachability) detectPause(now monotime.Micros) {
	if rc.lastActivityAt != 0 && now-rc.lastActivityAt > pauseThreshold {
		rc.resumedFromPauseAt = now
		rc.c.log.Info("process pause detected", "duration_ms", (now - rc.lastActivityAt).Milliseconds())
	}
	rc.lastActivityAt = now
}

// mirrorStale tells whether we stood still and haven't heard from the store since: what we
// hold may be others', and what comes in may have waited for long. In an outage the
// wait is short, or the workers' leases would lapse.
func (rc *reachability) mirrorStale(now monotime.Micros) bool {
	return rc.resumedFromPauseAt > rc.c.replica.FreshAt() && now-rc.resumedFromPauseAt < staleAfterPause
}

// WorkerReach tells whether we reach our workers.
func (rc *reachability) workerReach() peers.WorkerReach {
	switch {
	case rc.workersUnreachableSince != 0:
		return peers.WorkersUnreachable
	case rc.hearsMostWorkers:
		return peers.WorkersReachable
	}
	return peers.WorkersUnknown
}

// updateReachability judges from the silence of our machines whether it is we who are cut off
// from them. Without a fresh mirror, or just after standing still, silence says nothing.
func (rc *reachability) updateReachability(overall silenceCount, now monotime.Micros) {
	rc.hearsMostWorkers = overall.machines > 0 && 2*overall.silent < overall.machines
	switch {
	case overall.isUnreachable() && rc.workersUnreachableSince == 0:
		rc.probeSilentMachines(now)
	case rc.workersUnreachableSince != 0 && rc.hearsMostWorkers:
		rc.markWorkersReachable(now)
	}
	if rc.workersUnreachableSince == 0 {
		return
	}
	rc.c.shards.handOffShards(now)
	rc.probeReachability(now)
}

// probeSilentMachines asks a few of our silent machines themselves. They are silent too while their
// workers go round after a crash of several controllers, each for seconds at one that
// hangs: those that had just claimed them again gave them away once more.
func (rc *reachability) probeSilentMachines(now monotime.Micros) {
	if rc.probesInFlight > 0 || now-rc.lastProbeSuccessAt < probeValidity {
		return
	}
	var machines []*mirror.Machine
	for _, id := range sortedmap.Keys(rc.c.mirror.Machines) {
		if machine := rc.c.mirror.Machines[id]; rc.c.agents.agentOf(machine) != nil && machine.Record != nil {
			machines = append(machines, machine)
		}
	}
	n := min(len(machines), initialProbeCount)
	rc.probesInFlight = n
	answered := false
	for i := 0; i < n; i++ {
		k := i + rc.c.env.Rand().IntN(len(machines)-i)
		machines[i], machines[k] = machines[k], machines[i]
		machine := machines[i]
		rc.c.env.SendCommands(
			machine.Record.Endpoint,
			nil,
			durations.WorkerProbeTimeout,
			func(result protocol.CommandResult) {
				rc.probesInFlight--
				if result.Status == 200 && result.Heartbeat.Machine == machine.ID {
					answered, rc.lastProbeSuccessAt = true, rc.c.now()
				}
				if rc.probesInFlight == 0 && !answered && rc.workersUnreachableSince == 0 {
					rc.workersUnreachableSince = rc.c.now()
					rc.c.log.Info("workers unreachable", "state", conditionBegin, "machines", len(machines))
					rc.c.shards.handOffShards(rc.c.now())
				}
			},
		)
	}
}

func (rc *reachability) markWorkersReachable(now monotime.Micros) {
	rc.workersUnreachableSince = 0
	rc.c.scheduler.requestPass()
	rc.c.log.Info("workers unreachable", "state", conditionEnd)
}

// probeReachability asks some machine, whosever it is, whether we reach workers again. A report
// that comes in wouldn't do: copies come late.
func (rc *reachability) probeReachability(now monotime.Micros) {
	if now < rc.nextProbeAt {
		return
	}
	rc.nextProbeAt = now + reachabilityProbeInterval
	ids := sortedmap.Keys(rc.c.mirror.Machines)
	if len(ids) == 0 {
		rc.markWorkersReachable(now)
		return
	}
	machine := rc.c.mirror.Machines[ids[rc.c.env.Rand().IntN(len(ids))]]
	if machine.Record == nil {
		rc.nextProbeAt = now
		return
	}
	since := rc.workersUnreachableSince
	rc.c.env.SendCommands(machine.Record.Endpoint, nil, durations.WorkerProbeTimeout, func(result protocol.CommandResult) {
		if result.Status == 200 && result.Heartbeat.Machine == machine.ID &&
			rc.workersUnreachableSince == since &&
			since != 0 {
			rc.markWorkersReachable(rc.c.now())
		}
	})
}

// isCutOffFromWorkers tells whether a controller lives, but is known not to reach workers.
func (rc *reachability) isCutOffFromWorkers(node string, now monotime.Micros) bool {
	if node == rc.c.node {
		return rc.workersUnreachableSince != 0
	}
	return rc.c.peerStatuses.HeardRecently(node, now) &&
		rc.c.peerStatuses.WorkerReach(node) == peers.WorkersUnreachable
}

// connectedControllers lists the live controllers that are good for machines and waiting tasks.
func (rc *reachability) connectedControllers() []string {
	controllers, now := rc.c.membership.LiveControllers(), rc.c.now()
	var out []string
	for _, node := range controllers {
		if !rc.isCutOffFromWorkers(node, now) {
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
func (sm *shardManager) handOffShards(now monotime.Micros) {
	if sm.c.quota.WriteInFlight() || sm.c.store.Unavailable() || !sm.c.membership.HoldsLease(now) ||
		sm.c.replica.WatchOverdue(now) {
		return
	}
	var to, others []string
	alone := true
	for _, node := range sm.c.membership.LiveControllers() {
		if node == sm.c.node {
			continue
		}
		others = append(others, node)
		if sm.c.peerStatuses.HeardRecently(node, now) {
			alone = false
			if sm.c.peerStatuses.WorkerReach(node) == peers.WorkersReachable {
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
	var shards []*mirror.Shard
	for _, name := range sortedmap.Keys(sm.c.mirror.Shards) {
		shard := sm.c.mirror.Shards[name]
		if tracker := sm.trackerOf(name); !sm.ownsShard(shard) || tracker.commitInFlightSince != 0 ||
			len(tracker.updatesInDoubt) > 0 ||
			sm.c.mirror.WatchedRevision < shard.Version {
			continue
		}
		destination := membership.RendezvousOwner(name, to)
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
	member := sm.c.mirror.Members[successor]
	txn, taken := sm.buildShardTransfer(shards, successor, member.Record.Incarnation)
	txn.If = append(
		txn.If,
		protocol.Compare{Key: storage.Key(storage.KindMember, successor), Version: member.Version},
	)
	sm.c.quota.BeginWrite()
	sm.c.replica.Commit(ratelimit.PriorityClaim, txn, func(result protocol.StoreResult) {
		sm.c.quota.EndWrite()
		sm.c.scheduler.requestPass()
		if result.Outcome == protocol.OK {
			sm.c.log.Info("shards transferred", "to_node", successor, "shards", taken)
			sm.handOffShards(sm.c.now())
		}
	})
}
