package agents

import (
	"log/slog"

	"pipitgap/internal/durations"
	"pipitgap/internal/logging"
	"pipitgap/internal/membership"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// commandTimeout bounds a request to a worker that may carry commands.
const commandTimeout = 3 * monotime.Second

// Manager holds the Agents of the machines that a controller has claimed, answers the heartbeats of all
// workers, and sends commands. Its methods run on the controller's goroutine.
type Manager struct {
	node          string
	peerNames     []string
	durations     durations.Platform
	mirror        *mirror.Mirror
	env           Environment
	store         Store
	replica       Replica
	recordWrites  RecordWrites
	pauses        Pauses
	membership    Membership
	reachability  Reachability
	peers         Peers
	shards        Shards
	scheduler     Scheduler
	cancellations LeasePolicy
	isCordoned    func(machine *mirror.Machine) bool
	log           *slog.Logger

	byMachine map[string]*Agent
	// when the controller that may claim a machine may change again
	nextDesignationChangeAt monotime.Micros
	// by machine, workers of other controllers that came here
	orphanContacts    map[string]*orphanContact
	zoneUnreachableAt map[string]monotime.Micros // when a zone's machines were last silent as a whole
	// the condition of many silent machines is logged as begun
	manySilentLogged bool
	unloggedRemovals map[RemovalReason][]string // machines to be removed, by reason
}

// NewManager makes a Manager without Agents.
func NewManager(config Config, dependencies Dependencies) *Manager {
	return &Manager{
		node:              config.Node,
		peerNames:         config.Peers,
		durations:         config.Durations,
		mirror:            dependencies.Mirror,
		env:               dependencies.Environment,
		store:             dependencies.Store,
		replica:           dependencies.Replica,
		recordWrites:      dependencies.RecordWrites,
		pauses:            dependencies.Pauses,
		membership:        dependencies.Membership,
		reachability:      dependencies.Reachability,
		peers:             dependencies.Peers,
		shards:            dependencies.Shards,
		scheduler:         dependencies.Scheduler,
		cancellations:     dependencies.Cancellations,
		isCordoned:        dependencies.IsCordoned,
		log:               dependencies.Log,
		byMachine:         map[string]*Agent{},
		orphanContacts:    map[string]*orphanContact{},
		zoneUnreachableAt: map[string]monotime.Micros{},
		unloggedRemovals:  map[RemovalReason][]string{},
	}
}

// Of returns the Agent of a machine, or nil if the machine isn't claimed by this controller.
func (m *Manager) Of(machine *mirror.Machine) *Agent { return m.byMachine[machine.ID] }

// Has reports whether a machine is claimed by this controller.
func (m *Manager) Has(machine *mirror.Machine) bool { return m.Of(machine) != nil }

// UpdateOwnership follows a change of the shard that a machine is in.
func (m *Manager) UpdateOwnership(machine *mirror.Machine) {
	if machine.Shard == nil || !m.shards.Owns(machine.Shard) {
		delete(m.byMachine, machine.ID)
		return
	}
	if agent := m.Of(machine); agent == nil || agent.ClaimNumber() != machine.Claim() {
		m.byMachine[machine.ID] = New(machine.Claim(), m.env.Now())
	}
}

// Release forgets the Agent of a machine that no longer is in a shard.
func (m *Manager) Release(machine string) { delete(m.byMachine, machine) }

// KeepOnly forgets the Agents of machines that a newly loaded mirror hasn't.
func (m *Manager) KeepOnly(loaded *mirror.Mirror) {
	for id := range m.byMachine {
		if loaded.Machines[id] == nil {
			delete(m.byMachine, id)
		}
	}
}

// EachEndedAttempt calls release for each task whose attempt on an own machine has ended. Outcomes of
// attempts that the machine's shard doesn't hold are dropped.
func (m *Manager) EachEndedAttempt(
	machine *mirror.Machine,
	release func(task mirror.TaskID, completed bool),
) {
	m.Of(machine).EachEndedAttempt(machine, release)
}

// DesignatedController names the controller that may claim a machine of a scale-out request.
func (m *Manager) DesignatedController(request *mirror.ScaleOutEntry, machine string) string {
	if designated := request.Record.Own[machine]; designated != "" {
		return designated
	}
	return membership.RendezvousOwner(machine, request.Record.Live)
}

// applyReport takes over a report of a worker that is newer than what is known.
func (m *Manager) applyReport(machine *mirror.Machine, report *protocol.Heartbeat) {
	result := m.Of(machine).ApplyReport(machine, m.mirror.Jobs, report, m.env.Now(), m.durations.WorkerLease)
	if result.LeaseRegained {
		m.log.Info("machines lost", "state", logging.ConditionEnd, "machine", machine.ID)
	}
	for _, exit := range result.Exits {
		m.scheduler.RecordExit(machine, m.mirror.Jobs[exit.Task.Job], exit)
	}
	if result.HasPendingOutcomes {
		m.scheduler.RequestPass()
	}
}

// SyncCommandsOfJob sends commands to every own machine that has tasks of a job.
func (m *Manager) SyncCommandsOfJob(job *mirror.Job) {
	synced := map[string]bool{}
	for _, name := range sortedmap.Keys(m.mirror.Shards) {
		shard := m.mirror.Shards[name]
		entry := shard.Record.Jobs[job.ID]
		if entry == nil || !m.shards.Owns(shard) {
			continue
		}
		for _, attempt := range entry.Attempts {
			machine := m.mirror.Machines[attempt.Machine]
			if !synced[attempt.Machine] && machine != nil && m.Has(machine) {
				synced[attempt.Machine] = true
				m.SyncCommands(machine)
			}
		}
	}
}

// SyncCommands sends a worker directly what the answer to its next heartbeat would bring.
func (m *Manager) SyncCommands(machine *mirror.Machine) {
	agent := m.Of(machine)
	if agent == nil || machine.Record == nil {
		return
	}
	request := agent.BeginCommandRequest(machine, m.mirror.Jobs, m.env.Now())
	if request == nil {
		return
	}
	m.env.SendCommands(machine.Record.Endpoint, request, commandTimeout, func(result protocol.CommandResult) {
		agent.EndCommandRequest()
		if m.Of(machine) != agent {
			return // the claim has moved on
		}
		if !result.OK() {
			agent.RepeatCommands(request.Commands)
		}
		report := &result.Heartbeat
		if result.Status != 0 && report.Machine == machine.ID && report.Valid() && agent.IsNewer(report) {
			m.applyReport(machine, report)
		}
		if result.OK() && agent.ConsumeResync() {
			m.SyncCommands(machine)
		}
	})
}

// Probe requests the report of a worker, which is taken like any other: it proves nothing before the
// worker has seen a token of this claim. syncAfterwards sends commands at once; it must be false if the
// machine was another controller's, who may still be answering it: a higher token would have the worker drop
// those answers, and its lease would end.
func (m *Manager) Probe(machine *mirror.Machine, syncAfterwards bool) {
	if machine == nil || !m.Has(machine) || machine.Record == nil {
		return
	}
	agent := m.Of(machine)
	m.env.SendCommands(machine.Record.Endpoint, nil, commandTimeout, func(result protocol.CommandResult) {
		report := &result.Heartbeat
		if m.Of(machine) != agent || !result.OK() || report.Machine != machine.ID ||
			!report.Valid() ||
			!agent.IsNewer(report) {
			return
		}
		m.applyReport(machine, report)
		if syncAfterwards {
			m.SyncCommands(machine)
		}
		m.scheduler.RequestPass()
	})
}

// DesiredState is the state that an own machine's record should have.
func (m *Manager) DesiredState(machine *mirror.Machine) storage.MachineState {
	agent := m.Of(machine)
	agent.cancelRemovalIfOccupied(machine)
	switch {
	case machine.Record.State == storage.MachineRemoving || agent.RemovalReason() != "":
		return storage.MachineRemoving
	case machine.Record.State == storage.MachineDraining || agent.InterruptionNoticed():
		return storage.MachineDraining
	case agent.Suspect():
		return storage.MachineUnreachable
	case m.isCordoned(machine):
		return storage.MachineCordoned
	}
	return storage.MachineOpen
}
