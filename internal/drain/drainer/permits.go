package drainer

import (
	"slices"

	"pipitgap/internal/agents"
	"pipitgap/internal/drain"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// attemptOf returns the attempt that may be stopped under a permit.
func attemptOf(permit storage.Permit) agents.AttemptID {
	return agents.AttemptID{
		Task:    mirror.TaskID{Job: permit.Job, Index: permit.Task},
		Attempt: permit.Attempt,
	}
}

// ownMachine is a machine of this controller and its agent.
type ownMachine struct {
	*mirror.Machine
	agent *agents.Agent
}

// ownMachine returns a machine of this controller and its agent. own is false for any other machine.
func (d *Drainer) ownMachine(id string) (machine ownMachine, own bool) {
	mirrored := d.deps.Mirror.Machines[id]
	if mirrored == nil {
		return ownMachine{}, false
	}
	agent := d.deps.Agents.Of(mirrored)
	return ownMachine{mirrored, agent}, agent != nil
}

// stopReplica uses a committed permit: it sends the agent the command to stop the replica.
func (d *Drainer) stopReplica(permit storage.Permit) {
	attempt := attemptOf(permit)
	machine, own := d.ownMachine(permit.From)
	if !own || machine.agent.IsStopping(attempt) {
		return
	}
	machine.agent.StopAttempt(attempt)
	d.deps.Log.Info("replica evicted for drain", "drain", permit.Drain, "task", attempt.Task.String(),
		"from_machine", permit.From, "to_machine", permit.To)
	d.deps.Agents.SyncCommands(machine.Machine)
}

// isUnused reports whether it is certain that a permit hasn't been used and that no command in flight can use
// it. The conditions are that this controller has requested no stop or kill and knows no outcome of the
// attempt, that the agent still runs the replica, and that the agent has seen the fencing token of this
// controller's claim, which is higher than those of all commands of earlier owners.
func (d *Drainer) isUnused(permit storage.Permit) bool {
	attempt := attemptOf(permit)
	machine, own := d.ownMachine(permit.From)
	if !own {
		return false
	}
	agent := machine.agent
	if agent.IsStopping(attempt) || agent.HasOutcome(attempt) || agent.KillSent(attempt) {
		return false
	}
	return agent.ReportsUnderClaim() && agent.IsRunning(attempt)
}

// endedPermits lists the permits to remove, by team: completed permits, and revoked permits that are certain
// to be unused.
func (d *Drainer) endedPermits(decision *drain.Decision) map[string][]storage.Permit {
	ended := map[string][]storage.Permit{}
	for team, completed := range decision.Completed {
		ended[team] = append(ended[team], completed...)
	}
	for _, permit := range decision.Revoked {
		if job := d.deps.Mirror.Jobs[permit.Job]; job != nil && d.isUnused(permit) {
			team := job.Record.Spec.Team
			ended[team] = append(ended[team], permit)
		}
	}
	return ended
}

// writePermits commits the changes to the teams' permits, with one commit per team. It stops when the rate
// limit for permits (PermitWriteFraction) is used up.
func (d *Drainer) writePermits(decision *drain.Decision, now monotime.Micros) {
	ended := d.endedPermits(decision)
	changed := map[string]bool{}
	for team := range decision.Granted {
		changed[team] = true
	}
	for team := range ended {
		changed[team] = true
	}
	for _, team := range sortedmap.Keys(changed) {
		if now < d.nextPermitWriteAt {
			return
		}
		if !d.permitCommitInFlight[team] {
			d.writeTeamPermits(team, ended[team], decision.Granted[team])
			d.nextPermitWriteAt = d.deps.Store.NextWriteAllowedAt(PermitWriteFraction)
		}
	}
}

// hasSpareWrites reports whether enough writes to the state service are unused to begin moves. Each move
// costs several writes, also to shards. Users and running tasks need writes under the same limit, so near
// that limit moves would delay submissions.
func (d *Drainer) hasSpareWrites(now monotime.Micros) bool {
	return !d.deps.Store.UserCallsWaiting(now) && d.deps.Store.HasSpareWrites(now, spareWriteFraction)
}

// writeTeamPermits changes a team's permits with a compare-and-swap on the version of their record. A permit
// that is committed after its drain has ended does no harm, because each use of a permit is decided again.
// The record is never deleted, so that none of its versions can occur a second time.
func (d *Drainer) writeTeamPermits(team string, ended, granted []storage.Permit) {
	current := d.deps.Mirror.PermitsByTeam[team]
	next := storage.Permits{Permits: []storage.Permit{}}
	for _, permit := range current.Record.Permits {
		if !slices.Contains(ended, permit) {
			next.Permits = append(next.Permits, permit)
		}
	}
	next.Permits = append(next.Permits, granted...)
	key := storage.PermitsKey(team)
	txn := protocol.PutIfUnchanged(key, current.Version, &next)
	d.permitCommitInFlight[team] = true
	d.deps.Store.Commit(ratelimit.PriorityBackground, txn, func(result protocol.StoreResult) {
		delete(d.permitCommitInFlight, team)
		switch result.Outcome {
		case protocol.OK:
			d.deps.NotePermitWrite()
			d.deps.Log.Debug("eviction permits committed",
				"team", team, "granted", len(granted), "ended", len(ended))
		case protocol.Rejected:
			d.deps.Log.Error("eviction permits rejected by state service", "team", team)
		}
	})
}
