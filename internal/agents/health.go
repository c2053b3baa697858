package agents

import (
	"pipitgap/internal/logging"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/reachability"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// RemovalReason is why a machine must be deleted, as logged; "": it stays.
type RemovalReason string

// Reasons for the deletion of a machine.
const (
	// RemovalIdle and RemovalDrained are valid only while the machine is empty.
	RemovalIdle    RemovalReason = "idle"
	RemovalDrained RemovalReason = "drained"

	removalFaulty               RemovalReason = "faulty"
	removalUnreachable          RemovalReason = "unreachable"
	removalCancelledUnreachable RemovalReason = "cancelled tasks unreachable"
	removalInterrupted          RemovalReason = "spot interruption"
)

// manySilentMachines is how many machines must be silent, in addition to the first, before that is logged.
const manySilentMachines = 3

// healthCheck holds the counts of one check of all machines of this controller.
type healthCheck struct {
	now                      monotime.Micros
	owned, silent            int // machines of this controller, and silent ones beyond the first
	leasesExpired, tasksLost int // machines whose leases have just expired, and their tasks
	interruptionNoticed      int // machines that the cloud is about to reclaim
}

// CheckMachines checks this controller's machines for expired leases, silence, interruption notices and
// faults, and requests the removal of machines that are no longer usable.
func (m *Manager) CheckMachines(now monotime.Micros) {
	m.expireOrphanContacts(now)
	m.shards.ExpireClaimRequests(now)
	// If the mirror is outdated, other controllers may have claimed the machines: after this controller was
	// cut off, all of them look silent.
	if _, onlyHere := m.reachability.StoreUnreachableOnlyHere(now); onlyHere || m.store.Unavailable() ||
		m.replica.WatchOverdue(now) {
		return
	}
	check := &healthCheck{now: now}
	m.countSilentMachines(check)
	for _, id := range sortedmap.Keys(m.mirror.Machines) {
		if machine := m.mirror.Machines[id]; m.Has(machine) && machine.Record != nil {
			m.checkMachine(machine, check)
		}
	}
	m.logCheck(check)
	m.logRemovals()
}

// silenceOf returns how long the agent has not proved that answers reach it. The time of a process pause does
// not count, because no agent can prove it then.
func (m *Manager) silenceOf(agent *Agent, now monotime.Micros) monotime.Micros {
	return now - max(agent.LastReachedAt(), m.pauses.LastPauseEndedAt())
}

// countSilentMachines counts the silent machines, in total and by zone, and determines from the counts
// whether this controller or a zone is cut off. A claimed machine that has not yet reported may still be
// looking for this controller. It has until its lease must have expired.
func (m *Manager) countSilentMachines(check *healthCheck) {
	zones, overall := map[string]*reachability.SilenceCount{}, reachability.SilenceCount{}
	for _, machine := range m.mirror.Machines {
		agent := m.Of(machine)
		if agent == nil || machine.Record == nil {
			continue
		}
		check.owned++
		silent := m.silenceOf(agent, check.now) > 2*m.durations.HeartbeatInterval
		if silent {
			check.silent++
		}
		zone := zones[machine.Record.Zone]
		if zone == nil {
			zone = &reachability.SilenceCount{}
			zones[machine.Record.Zone] = zone
		}
		zone.Add(silent, !agent.HasReported())
		overall.Add(silent, !agent.HasReported())
	}
	resumedAt := m.pauses.LastPauseEndedAt()
	if check.now-resumedAt > m.durations.SuspicionTimeout || resumedAt == 0 {
		m.reachability.UpdateReachability(overall, check.now)
	}
	check.silent = max(check.silent, 1) - 1 // one silent machine alone does not indicate a wider failure
	for zone, silence := range zones {
		if silence.IsUnreachable() {
			m.zoneUnreachableAt[zone] = check.now
		}
	}
}

// checkMachine checks one machine; see CheckMachines.
func (m *Manager) checkMachine(machine *mirror.Machine, check *healthCheck) {
	agent := m.Of(machine)
	if agent.LeaseNewlyExpired(check.now, m.durations.LeaseExpiryBound) {
		check.leasesExpired++
		check.tasksLost += len(machine.Attempts)
		agent.ExpireLease(machine)
		m.scheduler.RequestPass()
	}
	faulty, failureProne := m.scheduler.MachineFault(agent)
	if agent.Failures().SetFailureProne(failureProne) {
		m.scheduler.RequestPass()
	}
	if agent.SetSuspect(m.silenceOf(agent, check.now) > m.durations.SuspicionTimeout || faulty) {
		m.scheduler.RequestPass()
	}
	reason := m.silenceRemovalReason(machine, check)
	switch {
	case machine.Record.State == storage.MachineRemoving || agent.RemovalReason() != "":
	case reason != "":
		m.RequestRemoval(machine, reason)
	case faulty:
		m.scheduler.WithdrawFailuresOn(machine)
		m.RequestRemoval(machine, removalFaulty)
	case agent.InterruptionNoticed() && machine.Record.State != storage.MachineDraining &&
		!agent.IsStoppingAny():
		check.interruptionNoticed++
		m.vacateInterruptedMachine(machine)
	}
}

// silenceRemovalReason returns why a silent machine must be removed, or "" if it stays.
func (m *Manager) silenceRemovalReason(machine *mirror.Machine, check *healthCheck) RemovalReason {
	agent := m.Of(machine)
	silence := m.silenceOf(agent, check.now)
	keepForZone := m.keepsForUnreachableZone(machine, check.now)
	// The tasks of a cancelled job must end before the cancellation deadline, if necessary by the deletion of
	// their machine. A deletion also ends all other tasks on the machine, so it is delayed: the lease may
	// expire first, or another controller may reach the machine.
	unreachableTimeout := m.durations.LeaseExpiryBound + 2*m.durations.HeartbeatInterval
	cancelledTimeout := m.durations.CancellationDeadline / 2
	if keepForZone {
		unreachableTimeout, cancelledTimeout = 3*m.durations.LeaseExpiryBound, 3*m.durations.CancellationDeadline/4
	}
	fewSilent := 3*check.silent <= check.owned
	switch {
	case silence > unreachableTimeout:
		return removalUnreachable
	case silence > m.durations.SuspicionTimeout && m.holdsCancelled(machine, cancelledTimeout):
		return removalCancelledUnreachable
	case agent.InterruptionNoticed() && silence > m.durations.PlacementSilenceLimit:
		return removalInterrupted
	case silence > m.durations.SuspicionTimeout && fewSilent && agent.ClaimAcknowledged() && !keepForZone:
		// Deleting the machine proves that its tasks have ended long before lease expiry would. This does not
		// apply when many machines are silent: then this controller is the one that is cut off.
		return removalUnreachable
	}
	return ""
}

// keepsForUnreachableZone reports whether a machine must be kept because its whole zone is unreachable,
// judged by this controller's own machines there. (The log message "zone unreachable" is the leader's
// judgment by all machines; see fleet.Reconciler.) After a network partition of a zone its machines are
// reachable again, each within a lease. If they were deleted for their silence, the zone would lack capacity
// until new machines have booted. Machines that run services are an exception: their deletion lets the
// services start elsewhere.
func (m *Manager) keepsForUnreachableZone(machine *mirror.Machine, now monotime.Micros) bool {
	observedAt, unreachable := m.zoneUnreachableAt[machine.Record.Zone]
	return unreachable && now-observedAt < m.durations.WorkerLease && !m.holdsService(machine)
}

// RequestRemoval requests the removal of a machine: the machine's shard records the request, and the leader
// deletes the machine.
func (m *Manager) RequestRemoval(machine *mirror.Machine, reason RemovalReason) {
	m.Of(machine).SetRemovalReason(reason)
	m.scheduler.RequestPass()
	m.unloggedRemovals[reason] = append(m.unloggedRemovals[reason], machine.ID)
}

// holdsCancelled reports whether the records assign tasks to the machine whose jobs were cancelled at least
// minAge ago. If this controller did not observe the cancellation, its age is unknown and counts as
// sufficient.
func (m *Manager) holdsCancelled(machine *mirror.Machine, minAge monotime.Micros) bool {
	for task := range machine.Attempts {
		if job := m.mirror.Jobs[task.Job]; job != nil && !job.IsOpen() &&
			m.env.Now()-m.scheduler.FinalResultSeenAt(task.Job) >= minAge {
			return true
		}
	}
	return false
}

// holdsService reports whether the records assign replicas of services to the machine.
func (m *Manager) holdsService(machine *mirror.Machine) bool {
	for task := range machine.Attempts {
		if job := m.mirror.Jobs[task.Job]; job != nil && job.Record.Spec.Service {
			return true
		}
	}
	return false
}

// vacateInterruptedMachine stops tasks before the cloud reclaims a machine, if that helps: services start
// elsewhere sooner, and arrays with checkpoints save their progress.
func (m *Manager) vacateInterruptedMachine(machine *mirror.Machine) {
	agent := m.Of(machine)
	for task, attempt := range machine.Attempts {
		job := m.mirror.Jobs[task.Job]
		if job != nil && job.IsOpen() && (job.Record.Spec.Service || job.Record.Spec.CheckpointS > 0) {
			agent.StopAttempt(AttemptID{task, attempt})
		}
	}
	if agent.IsStoppingAny() {
		m.SyncCommands(machine)
	}
}

// logCheck logs one line for each kind of failure, regardless of the number of machines.
func (m *Manager) logCheck(check *healthCheck) {
	if check.leasesExpired > 0 {
		m.log.Info("machines lost", "state", logging.ConditionBegin,
			"machines", check.leasesExpired, "tasks", check.tasksLost)
	}
	if check.interruptionNoticed > 0 {
		m.log.Info("spot interruption notice", "machines", check.interruptionNoticed)
	}
	manySilent := check.silent >= manySilentMachines
	if manySilent == m.manySilentLogged {
		return
	}
	m.manySilentLogged = manySilent
	if manySilent {
		m.log.Info("machines unreachable", "state", logging.ConditionBegin,
			"machines", check.silent+1, "machines_owned", check.owned)
	} else {
		m.log.Info("machines unreachable", "state", logging.ConditionEnd, "machines_owned", check.owned)
	}
}

// logRemovals logs one line for each reason, regardless of the number of machines.
func (m *Manager) logRemovals() {
	for _, reason := range sortedmap.Keys(m.unloggedRemovals) {
		ids := m.unloggedRemovals[reason]
		tasks := 0
		for _, id := range ids {
			if machine := m.mirror.Machines[id]; machine != nil {
				tasks += len(machine.Attempts)
			}
		}
		m.log.Info("machines marked for scale-in", "reason", string(reason), "machines", len(ids),
			"tasks", tasks, "first_machine", ids[0])
	}
	clear(m.unloggedRemovals)
}
