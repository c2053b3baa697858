package coordination

import (
	"pipitgap/internal/agents"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/reachability"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// machineHealthCheck is one look at all machines that are ours.
type machineHealthCheck struct {
	now                      monotime.Micros
	owned, silent            int // machines, and those of them that are silent
	leasesExpired, tasksLost int // whose leases have ended just now
	interruptionNoticed      int // that the cloud is about to take back
}

// checkMachines looks after the machines that are ours: leases that have ended,
// silence, notices, faults.
func (am *agentManager) checkMachines(now monotime.Micros) {
	am.expireContactsAndClaimRequests(now)
	// Without a fresh mirror a claim may have moved on long ago: after a cut of our
	// own all machines look silent, and are no longer ours.
	if _, alone := am.c.reachability.StoreUnreachableOnlyHere(now); alone || am.c.store.Unavailable() ||
		am.c.replica.WatchOverdue(now) {
		return
	}
	check := &machineHealthCheck{now: now}
	am.countSilentMachines(check)
	for _, id := range sortedmap.Keys(am.c.mirror.Machines) {
		if machine := am.c.mirror.Machines[id]; am.agentOf(machine) != nil && machine.Record != nil {
			am.checkMachine(machine, check)
		}
	}
	am.logMachineCheck(check)
	am.logRemovals()
}

// expireContactsAndClaimRequests forgets workers of other partitions that haven't come for long, and machines
// that have waited for a claim for too long.
func (am *agentManager) expireContactsAndClaimRequests(now monotime.Micros) {
	for id, contact := range am.orphanContacts {
		if now-contact.lastAt > monotime.Minute {
			delete(am.orphanContacts, id)
		}
	}
	am.c.shards.ExpireClaimRequests(now)
}

// agentSilence is how long a machine has been silent; while we stood still nobody could be heard.
func (am *agentManager) agentSilence(agent *agents.Agent, now monotime.Micros) monotime.Micros {
	return now - max(agent.LastReachedAt(), am.c.pauses.ResumedFromPauseAt())
}

// countSilentMachines counts the silent machines, by zone too, and judges from that whether it is
// we, or a zone, that is cut off. A machine that we have claimed but not heard yet may still
// be looking for us: it has until its lease must have ended.
func (am *agentManager) countSilentMachines(check *machineHealthCheck) {
	now := check.now
	zones, overall := map[string]*reachability.SilenceCount{}, reachability.SilenceCount{}
	for _, machine := range am.c.mirror.Machines {
		if am.agentOf(machine) == nil || machine.Record == nil {
			continue
		}
		check.owned++
		silent := am.agentSilence(am.agentOf(machine), now) > 2*am.c.durations.HeartbeatInterval
		if silent {
			check.silent++
		}
		zoneSilence := zones[machine.Record.Zone]
		if zoneSilence == nil {
			zoneSilence = &reachability.SilenceCount{}
			zones[machine.Record.Zone] = zoneSilence
		}
		zoneSilence.Add(silent, !am.agentOf(machine).HasReported())
		overall.Add(silent, !am.agentOf(machine).HasReported())
	}
	if now-am.c.pauses.ResumedFromPauseAt() > am.c.durations.SuspicionTimeout ||
		am.c.pauses.ResumedFromPauseAt() == 0 {
		am.c.reachability.UpdateReachability(overall, now)
	}
	check.silent = max(check.silent, 1) - 1 // one alone may always be the one
	for zone, zoneSilence := range zones {
		if zoneSilence.IsUnreachable() {
			am.zoneUnreachableAt[zone] = now
		}
	}
}

// checkMachine looks after one machine.
func (am *agentManager) checkMachine(machine *mirror.Machine, check *machineHealthCheck) {
	agent, now := am.agentOf(machine), check.now
	if agent.LeaseHasEnded(now, am.c.durations.LeaseExpiryProof) {
		check.leasesExpired++
		check.tasksLost += len(machine.Attempts)
		agent.ExpireLease(machine)
		am.c.scheduler.requestPass()
	}
	fault := am.c.scheduler.machineFault(agent)
	if agent.Failures().SetFailureProne(fault.Doubtful) {
		am.c.scheduler.requestPass()
	}
	if agent.SetSuspect(am.agentSilence(agent, now) > am.c.durations.SuspicionTimeout || fault.Faulty) {
		am.c.scheduler.requestPass()
	}
	reason := am.removalReason(machine, check)
	switch {
	case machine.Record.State == storage.MachineRemoving || agent.RemovalReason() != "":
	case reason != "":
		am.requestRemoval(machine, reason)
	case fault.Faulty:
		am.c.scheduler.clearFailuresOn(machine)
		am.requestRemoval(machine, "faulty")
	case agent.InterruptionNoticed() && machine.Record.State != storage.MachineDraining && !agent.IsStoppingAny():
		check.interruptionNoticed++
		am.vacateInterruptedMachine(machine)
	}
}

// removalReason tells why a silent machine is to be deleted, or "" if it isn't.
func (am *agentManager) removalReason(machine *mirror.Machine, check *machineHealthCheck) string {
	agent, silent := am.agentOf(machine), am.agentSilence(am.agentOf(machine), check.now)
	// A zone that is cut off comes back with its machines, each within a lease: to
	// delete them for their silence would have its room wait for boots then. Not
	// so where services are: a deletion lets them start elsewhere.
	at, cut := am.zoneUnreachableAt[machine.Record.Zone]
	cut = cut && check.now-at < am.c.durations.WorkerLease && !am.holdsService(machine)
	// Cancelled tasks there must be gone in time. Until then its lease may end, or
	// another controller reach it: a machine with all its tasks for one that was
	// cancelled a moment before the trouble is dear.
	giveUp, overdue := am.c.durations.LeaseExpiryProof+2*am.c.durations.HeartbeatInterval, am.c.durations.CancellationDeadline/2
	if cut {
		giveUp, overdue = 3*am.c.durations.LeaseExpiryProof, 3*am.c.durations.CancellationDeadline/4
	}
	switch {
	case silent > giveUp:
		return "unreachable"
	case silent > am.c.durations.SuspicionTimeout && am.holdsCancelled(machine, overdue):
		// Its cancelled tasks must be gone in time, whoever is to blame.
		return "cancelled tasks unreachable"
	case agent.InterruptionNoticed() && silent > am.c.durations.PlacementSilenceLimit:
		return "spot interruption"
	case silent > am.c.durations.SuspicionTimeout && 3*check.silent <= check.owned && agent.ClaimAcknowledged() && !cut:
		// Deleting it proves its tasks gone long before its lease would. Not
		// when many are silent: then it is we who are cut off.
		return "unreachable"
	}
	return ""
}

// logMachineCheck writes one line for each trouble, however many machines share it.
func (am *agentManager) logMachineCheck(check *machineHealthCheck) {
	if check.leasesExpired > 0 {
		am.c.log.Info(
			"machines lost",
			"state",
			conditionBegin,
			"machines",
			check.leasesExpired,
			"tasks",
			check.tasksLost,
		)
	}
	if check.interruptionNoticed > 0 {
		am.c.log.Info("spot interruption notice", "machines", check.interruptionNoticed)
	}
	many := check.silent >= 3
	if many == am.manySilentLogged {
		return
	}
	am.manySilentLogged = many
	if many {
		am.c.log.Info("machines unreachable", "state", conditionBegin,
			"machines", check.silent+1, "machines_owned", check.owned)
	} else {
		am.c.log.Info("machines unreachable", "state", conditionEnd, "machines_owned", check.owned)
	}
}

// desiredMachineState is the state that a machine of ours should stand in.
func (am *agentManager) desiredMachineState(machine *mirror.Machine) storage.MachineState {
	agent := am.agentOf(machine)
	if (agent.RemovalReason() == removalReasonIdle || agent.RemovalReason() == removalReasonDrained) &&
		len(machine.Attempts) > 0 {
		agent.ClearRemovalReason() // the recheck: it got tasks meanwhile
	}
	switch {
	case machine.Record.State == storage.MachineRemoving || agent.RemovalReason() != "":
		return storage.MachineRemoving
	case machine.Record.State == storage.MachineDraining || agent.InterruptionNoticed():
		return storage.MachineDraining
	case agent.Suspect():
		return storage.MachineUnreachable
	case am.c.drains.isCordoned(machine):
		return storage.MachineCordoned
	}
	return storage.MachineOpen
}

// Reasons that hold only while the machine is empty.
const (
	removalReasonIdle    = "idle"
	removalReasonDrained = "drained"
)

// requestRemoval has a machine given back: our shard says so, and the leader deletes it.
func (am *agentManager) requestRemoval(machine *mirror.Machine, reason string) {
	am.agentOf(machine).SetRemovalReason(reason)
	am.c.scheduler.requestPass()
	am.unloggedRemovals[reason] = append(am.unloggedRemovals[reason], machine.ID)
}

// logRemovals writes one line a reason, however many machines share it.
func (am *agentManager) logRemovals() {
	for _, reason := range sortedmap.Keys(am.unloggedRemovals) {
		ids := am.unloggedRemovals[reason]
		tasks := 0
		for _, id := range ids {
			if machine := am.c.mirror.Machines[id]; machine != nil {
				tasks += len(machine.Attempts)
			}
		}
		am.c.log.Info("machines marked for scale-in", "reason", reason, "machines", len(ids),
			"tasks", tasks, "first_machine", ids[0])
	}
	clear(am.unloggedRemovals)
}

// holdsCancelled tells whether the store holds tasks there of jobs that were
// cancelled longer ago than since. What a controller hasn't seen being cancelled
// itself was so for an unknown time: long enough.
func (am *agentManager) holdsCancelled(machine *mirror.Machine, since monotime.Micros) bool {
	for task := range machine.Attempts {
		if job := am.c.mirror.Jobs[task.Job]; job != nil && !job.IsOpen() &&
			am.c.now()-am.c.scheduler.finalSeenAt(task.Job) >= since {
			return true
		}
	}
	return false
}

// holdsService tells whether the store holds replicas of services there.
func (am *agentManager) holdsService(machine *mirror.Machine) bool {
	for task := range machine.Attempts {
		if job := am.c.mirror.Jobs[task.Job]; job != nil && job.Record.Spec.Service {
			return true
		}
	}
	return false
}

// vacateInterruptedMachine stops what gains by it before a noticed machine goes: services start
// elsewhere now rather than later, checkpointed work is saved.
func (am *agentManager) vacateInterruptedMachine(machine *mirror.Machine) {
	agent := am.agentOf(machine)
	for task, attempt := range machine.Attempts {
		job := am.c.mirror.Jobs[task.Job]
		if job != nil && job.IsOpen() && (job.Record.Spec.Service || job.Record.Spec.CheckpointS > 0) {
			agent.StopAttempt(agents.AttemptID{Task: task, Attempt: attempt})
		}
	}
	if agent.IsStoppingAny() {
		am.syncCommands(machine)
	}
}
