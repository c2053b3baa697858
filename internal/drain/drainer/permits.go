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

// attemptOf is the attempt that a permit lets be stopped.
func attemptOf(permit storage.Permit) agents.AttemptID {
	return agents.AttemptID{
		Task:    mirror.TaskID{Job: permit.Job, Index: permit.Task},
		Attempt: permit.Attempt,
	}
}

// ownMachine is a machine of this controller with its agent.
type ownMachine struct {
	*mirror.Machine
	agent *agents.Agent
}

// ownMachine returns one of this controller's machines; own is false for any other.
func (d *Drainer) ownMachine(id string) (machine ownMachine, own bool) {
	mirrored := d.deps.Mirror.Machines[id]
	if mirrored == nil {
		return ownMachine{}, false
	}
	agent := d.deps.Agents.Of(mirrored)
	return ownMachine{mirrored, agent}, agent != nil
}

// stopReplica uses a permit that stands.
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

// isUnused reports whether a permit surely hasn't been used and can't be by any command that is still on its
// way: this controller hasn't had the replica stopped, and its agent, which still runs it, has seen this
// controller's claim, which outranks every command of earlier owners.
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

// endedPermits lists by team the permits that are to be removed: those that are completed, and revoked ones
// that haven't been used.
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

// writePermits commits what changes of the teams' permits: one commit a team, as far as the rate for permits
// lets it.
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

// hasSpareWrites reports whether the state service has changes to spare. Each move costs several, of the
// shards too, and users and running tasks need the same ones: near the state service's limit, moves would
// keep submissions waiting.
func (d *Drainer) hasSpareWrites(now monotime.Micros) bool {
	return !d.deps.Store.UserCallsWaiting(now) && d.deps.Store.HasSpareWrites(now, spareWriteFraction)
}

// writeTeamPermits changes a team's permits on the condition that they are as they were read. A permit that
// is written after its drain has ended does no harm: whether it may be used is decided anew. The record is
// never deleted, since its version must not come back.
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
