package coordination

import (
	"pipitgap/internal/agents"
	"pipitgap/internal/cancellation"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// newAgentManager creates the manager that handles the workers' heartbeats and sends them commands.
func newAgentManager(c *Controller) *agents.Manager {
	return agents.NewManager(
		agents.Config{Node: c.node, Peers: peerNames(c), Durations: c.durations},
		agents.Dependencies{
			Mirror:        c.mirror,
			Environment:   c.env,
			Store:         c.store,
			Replica:       c.replica,
			RecordWrites:  c.recordWritesInFlight,
			Pauses:        c.pauses,
			Membership:    c.membership,
			Reachability:  c.reachability,
			Peers:         c.peerStatuses,
			Shards:        agentShards{c},
			Scheduler:     agentScheduler{c},
			Cancellations: c.cancellations,
			Invariants:    c.invariants,
			IsCordoned:    func(machine *mirror.Machine) bool { return c.drains.IsCordoned(machine) },
			Log:           c.log,
		},
	)
}

// newCancellations creates the component that exchanges committed cancellations with the other controllers.
func newCancellations(c *Controller) *agents.Cancellations {
	relay := cancellation.NewRelay(c.incarnation, peerNames(c))
	return agents.NewCancellations(c.mirror, relay, c.replica.FreshAt, c.durations.RenewalWindow, c.log)
}

// peerNames returns the names of the other controllers in the order of the configuration.
func peerNames(c *Controller) []string {
	var names []string
	for _, peer := range c.cfg.Peers {
		names = append(names, peer.Node)
	}
	return names
}

// agentShards implements agents.Shards by forwarding to the shard manager. It reads c.shards at each call,
// because the shard manager depends on the agent manager and is created after it.
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

// agentScheduler implements agents.Scheduler by forwarding to the scheduler.
type agentScheduler struct{ c *Controller }

func (s agentScheduler) RequestPass() { s.c.scheduler.RequestPass() }

func (s agentScheduler) RecordExit(machine *mirror.Machine, job *mirror.Job, exit agents.Exit) {
	s.c.scheduler.RecordExit(machine, job, exit)
}

func (s agentScheduler) MachineFault(agent *agents.Agent) (faulty, failureProne bool) {
	fault := s.c.scheduler.MachineFault(agent)
	return fault.Faulty, fault.FailureProne
}

func (s agentScheduler) WithdrawFailuresOn(machine *mirror.Machine) {
	s.c.scheduler.WithdrawFailuresOn(machine)
}

func (s agentScheduler) FinalResultSeenAt(job string) monotime.Micros {
	return s.c.scheduler.FinalResultSeenAt(job)
}
