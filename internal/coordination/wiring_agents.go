package coordination

import (
	"pipitgap/internal/agents"
	"pipitgap/internal/cancellation"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/reachability"
)

// newAgentManager makes what answers the workers.
func newAgentManager(c *Controller) *agents.Manager {
	return agents.NewManager(
		agents.Config{Node: c.node, Peers: peerNames(c), Durations: c.durations},
		agents.Dependencies{
			Mirror:        c.mirror,
			Environment:   c.env,
			Store:         agentStore{c},
			Peers:         agentPeers{c},
			Shards:        agentShards{c},
			Scheduler:     agentScheduler{c},
			Cancellations: c.cancellations,
			IsCordoned:    func(machine *mirror.Machine) bool { return c.drains.IsCordoned(machine) },
			Log:           c.log,
		},
	)
}

// newCancellations begins the exchange of committed cancellations with the other controllers.
func newCancellations(c *Controller) *agents.Cancellations {
	relay := cancellation.NewRelay(c.incarnation, peerNames(c))
	return agents.NewCancellations(c.mirror, relay, c.replica.FreshAt, c.durations.RenewalWindow, c.log)
}

// peerNames lists the other controllers in the order of the settings.
func peerNames(c *Controller) []string {
	var names []string
	for _, peer := range c.cfg.Peers {
		names = append(names, peer.Node)
	}
	return names
}

// agentStore gives package agents the state service and the replica of its records.
type agentStore struct{ c *Controller }

func (s agentStore) Ready() bool { return s.c.replica.Ready() }

func (s agentStore) MirrorStale(now monotime.Micros) bool { return s.c.mirrorStale(now) }

func (s agentStore) WatchOverdue(now monotime.Micros) bool { return s.c.replica.WatchOverdue(now) }

func (s agentStore) Unavailable() bool { return s.c.store.Unavailable() }

func (s agentStore) UnavailableOnlyHere(now monotime.Micros) (peer string, only bool) {
	return s.c.reachability.StoreUnreachableOnlyHere(now)
}

func (s agentStore) BeginRecordWrite(key string) bool {
	if s.c.recordWritesInFlight.Contains(key) {
		return false
	}
	s.c.recordWritesInFlight.Begin(key)
	return true
}

func (s agentStore) EndRecordWrite(key string) { s.c.recordWritesInFlight.End(key) }

func (s agentStore) Commit(
	priority ratelimit.Priority,
	txn protocol.Transaction,
	callback func(protocol.StoreResult),
) {
	s.c.replica.Commit(priority, txn, callback)
}

// agentPeers gives package agents the other controllers and what this one reaches.
type agentPeers struct{ c *Controller }

func (p agentPeers) IsMember(node string) bool { return p.c.membership.IsMember(node) }

func (p agentPeers) ConnectedControllers() []string { return p.c.reachability.ConnectedControllers() }

func (p agentPeers) IsCutOffFromWorkers(node string, now monotime.Micros) bool {
	return p.c.reachability.IsCutOffFromWorkers(node, now)
}

func (p agentPeers) HeardRecently(node string, now monotime.Micros) bool {
	return p.c.peerStatuses.HeardRecently(node, now)
}

func (p agentPeers) LastHeardAt(node string) monotime.Micros {
	return p.c.peerStatuses.LastHeardAt(node)
}

func (p agentPeers) IsSuperseded(now monotime.Micros) bool { return p.c.reachability.IsSuperseded(now) }

func (p agentPeers) ResumedFromPauseAt() monotime.Micros { return p.c.pauses.ResumedFromPauseAt() }

func (p agentPeers) UpdateReachability(overall reachability.SilenceCount, now monotime.Micros) {
	p.c.reachability.UpdateReachability(overall, now)
}

// agentShards gives package agents the claims on machines.
type agentShards struct{ c *Controller }

func (s agentShards) Owns(shard *mirror.Shard) bool { return s.c.shards.Owns(shard) }

func (s agentShards) ClaimObservedAt(shard string) monotime.Micros {
	return s.c.shards.ClaimObservedAt(shard)
}

func (s agentShards) ClaimOrphaned(now monotime.Micros) { s.c.shards.ClaimOrphaned(now) }

func (s agentShards) RequestClaim(
	report *protocol.Heartbeat,
	fromShard *mirror.Shard,
	callback func(claimed bool),
) {
	s.c.shards.RequestClaim(report, fromShard, callback)
}

func (s agentShards) ExpireClaimRequests(now monotime.Micros) { s.c.shards.ExpireClaimRequests(now) }

// agentScheduler gives package agents the placement of tasks.
type agentScheduler struct{ c *Controller }

func (s agentScheduler) RequestPass() { s.c.scheduler.requestPass() }

func (s agentScheduler) RecordExit(machine *mirror.Machine, job *mirror.Job, exit agents.Exit) {
	s.c.scheduler.recordExit(machine, job, exit)
}

func (s agentScheduler) MachineFault(agent *agents.Agent) (faulty, failureProne bool) {
	fault := s.c.scheduler.machineFault(agent)
	return fault.Faulty, fault.Doubtful
}

func (s agentScheduler) ClearFailuresOn(machine *mirror.Machine) {
	s.c.scheduler.clearFailuresOn(machine)
}

func (s agentScheduler) FinalSeenAt(job string) monotime.Micros {
	return s.c.scheduler.finalSeenAt(job)
}
