package agents

import (
	"log/slog"

	"pipitgap/internal/durations"
	"pipitgap/internal/invariant"
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
	pauses        PauseDetector
	membership    Membership
	reachability  Reachability
	peers         Peers
	shards        Shards
	scheduler     Scheduler
	cancellations LeasePolicy
	invariants    *invariant.Recorder
	isCordoned    func(machine *mirror.Machine) bool
	log           *slog.Logger

	byMachine map[string]*Agent
	counters  Counters
	// the earliest time of the next change of a machine's designated controller
	nextDesignationChangeAt monotime.Micros
	// by machine: contacts by workers whose machines other controllers own
	orphanContacts    map[string]*orphanContact
	zoneUnreachableAt map[string]monotime.Micros // when a zone's machines were last silent as a whole
	// whether the beginning of the condition "machines unreachable" is logged
	manySilentLogged bool
	unloggedRemovals map[RemovalReason][]string // by reason: machines marked for removal since the last log line
}

// NewManager returns a Manager without Agents.
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
		invariants:        dependencies.Invariants,
		isCordoned:        dependencies.IsCordoned,
		log:               dependencies.Log,
		byMachine:         map[string]*Agent{},
		orphanContacts:    map[string]*orphanContact{},
		zoneUnreachableAt: map[string]monotime.Micros{},
		unloggedRemovals:  map[RemovalReason][]string{},
	}
}

// Of returns the Agent of a machine, or nil if this controller has not claimed the machine.
func (m *Manager) Of(machine *mirror.Machine) *Agent { return m.byMachine[machine.ID] }

// Has reports whether this controller has claimed a machine.
func (m *Manager) Has(machine *mirror.Machine) bool { return m.Of(machine) != nil }

// UpdateOwnership creates, replaces or deletes the Agent of a machine after a change of the machine's shard.
func (m *Manager) UpdateOwnership(machine *mirror.Machine) {
	if machine.Shard == nil || !m.shards.Owns(machine.Shard) {
		delete(m.byMachine, machine.ID)
		return
	}
	if agent := m.Of(machine); agent == nil || agent.ClaimNumber() != machine.Claim() {
		m.byMachine[machine.ID] = New(machine.Claim(), m.env.Now())
	}
}

// RemoveAgent deletes the Agent of a machine that no longer belongs to a shard.
func (m *Manager) RemoveAgent(machine string) { delete(m.byMachine, machine) }

// RetainMachinesOf deletes the Agents of machines that a newly loaded mirror does not contain.
func (m *Manager) RetainMachinesOf(loaded *mirror.Mirror) {
	for id := range m.byMachine {
		if loaded.Machines[id] == nil {
			delete(m.byMachine, id)
		}
	}
}

// ForEachEndedAttempt calls release for each task whose attempt on a machine of this controller has ended. It
// drops outcomes of attempts that the machine's shard does not contain.
func (m *Manager) ForEachEndedAttempt(
	machine *mirror.Machine,
	release func(task mirror.TaskID, completed bool),
) {
	m.Of(machine).ForEachEndedAttempt(machine, release)
}

// DesignatedController returns the controller that may claim a machine of a scale-out request.
func (m *Manager) DesignatedController(request *mirror.ScaleOutEntry, machine string) string {
	if designated := request.Record.DesignatedControllers[machine]; designated != "" {
		return designated
	}
	return membership.RendezvousOwner(machine, request.Record.LiveControllers)
}

// applyReport applies a worker's report that is newer than the last applied one.
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

// SyncCommandsOfJob sends commands to every machine of this controller that has tasks of a job.
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

// SyncCommands directly sends a worker the commands that the answer to its next heartbeat would carry.
func (m *Manager) SyncCommands(machine *mirror.Machine) {
	agent := m.Of(machine)
	if agent == nil || machine.Record == nil {
		return
	}
	request := agent.BeginCommandRequest(machine, m.mirror.Jobs, m.env.Now())
	if request == nil {
		return
	}
	m.recordCommands(machine.ID, request.FencingToken, request.Commands, routeDirect)
	m.env.SendCommands(machine.Record.Endpoint, request, commandTimeout, func(result protocol.CommandResult) {
		agent.EndCommandRequest()
		if !result.OK() {
			m.counters.DirectFailures++
		}
		if m.Of(machine) != agent {
			return // the machine has been claimed again or released
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

// Probe requests a worker's report and applies it like any other report: it proves nothing until the worker
// has acknowledged a token of this claim. If syncAfterwards is true, Probe also sends commands at once. It
// must be false if another controller owned the machine before, because that controller may still be
// answering the worker: a higher token would make the worker reject those answers, and its lease would
// expire.
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

// DesiredState returns the state that the record of a machine of this controller should have.
func (m *Manager) DesiredState(machine *mirror.Machine) storage.MachineState {
	agent := m.Of(machine)
	agent.cancelRemovalIfOccupied(machine)
	switch {
	case machine.Record.State == storage.MachineRemoving || agent.RemovalReason() != "":
		return storage.MachineRemoving
	case machine.Record.State == storage.MachineDraining || agent.InterruptionNoticed():
		return storage.MachineDraining
	case agent.IsSuspect():
		return storage.MachineUnreachable
	case m.isCordoned(machine):
		return storage.MachineCordoned
	}
	return storage.MachineOpen
}
