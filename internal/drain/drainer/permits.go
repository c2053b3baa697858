package drainer

import (
	"slices"

	"pipitgap/internal/agents"
	"pipitgap/internal/drain"
	"pipitgap/internal/mapentry"
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

// permitRemoval is a commit that removes revoked permits of a team and has no certain outcome. It is conditional
// on the version of the team's record, and on the shards that held the replicas' machines when it was decided.
type permitRemoval struct {
	version uint64 // of the team's record
	permits []storage.Permit
}

// removalsInDoubt returns the permits that a commit of this controller may still remove.
func (d *Drainer) removalsInDoubt() []storage.Permit {
	var permits []storage.Permit
	for team, removals := range d.removals {
		for _, removal := range removals {
			if d.deps.Mirror.PermitsByTeam[team].Version == removal.version {
				permits = append(permits, removal.permits...)
			}
		}
	}
	return permits
}

// usePermits stops the replicas of committed permits. It leaves out a permit that a commit may still remove: the
// other controllers would then count the stopped replica as available.
func (d *Drainer) usePermits(permits []storage.Permit) {
	inDoubt := d.removalsInDoubt()
	for _, permit := range permits {
		if !slices.Contains(inDoubt, permit) {
			d.stopReplica(permit)
		}
	}
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

// permitChange is a change of one team's permits.
type permitChange struct {
	granted   []storage.Permit
	completed []storage.Permit
	unused    []storage.Permit // revoked permits that are certain to be unused
}

// removes reports whether the change removes a permit.
func (c *permitChange) removes(permit storage.Permit) bool {
	return slices.Contains(c.completed, permit) || slices.Contains(c.unused, permit)
}

// permitChanges returns the changes that a decision makes, by team. A team with a removal in doubt has a change in
// any case: the next version of its record resolves the doubt.
func (d *Drainer) permitChanges(decision *drain.Decision) map[string]*permitChange {
	changes := map[string]*permitChange{}
	changeOf := func(team string) *permitChange { return mapentry.GetOrNew(changes, team) }
	for team := range d.removals {
		changeOf(team)
	}
	for team, granted := range decision.Granted {
		changeOf(team).granted = granted
	}
	for team, completed := range decision.Completed {
		changeOf(team).completed = completed
	}
	for _, permit := range decision.Revoked {
		if job := d.deps.Mirror.Jobs[permit.Job]; job != nil && d.isUnused(permit) {
			change := changeOf(job.Record.Spec.Team)
			change.unused = append(change.unused, permit)
		}
	}
	return changes
}

// writePermits commits the changes to the teams' permits, with one commit per team. It stops when the rate
// limit for permits (PermitWriteFraction) is used up.
func (d *Drainer) writePermits(decision *drain.Decision, now monotime.Micros) {
	d.forgetSettledRemovals()
	changes := d.permitChanges(decision)
	for _, team := range sortedmap.Keys(changes) {
		if now < d.nextPermitWriteAt {
			return
		}
		if !d.permitCommitInFlight[team] {
			d.writeTeamPermits(team, changes[team])
			d.nextPermitWriteAt = d.deps.Store.NextWriteAllowedAt(PermitWriteFraction)
		}
	}
}

// forgetSettledRemovals forgets the removals that are conditional on another version than that of the team's
// record: they have been applied or can't be.
func (d *Drainer) forgetSettledRemovals() {
	for team := range d.removals {
		d.retainRemovals(team, func(removal *permitRemoval) bool {
			return d.deps.Mirror.PermitsByTeam[team].Version == removal.version
		})
	}
}

// retainRemovals forgets the removals of a team for which keep returns false.
func (d *Drainer) retainRemovals(team string, keep func(*permitRemoval) bool) {
	d.removals[team] = slices.DeleteFunc(d.removals[team], func(removal *permitRemoval) bool { return !keep(removal) })
	if len(d.removals[team]) == 0 {
		delete(d.removals, team)
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
//
// The removal of an unused permit is also conditional on the shard of the replica's machine. When another
// controller, or a later incarnation, may use the permit, it owns the machine and the shard has another version.
func (d *Drainer) writeTeamPermits(team string, change *permitChange) {
	current := d.deps.Mirror.PermitsByTeam[team]
	next := storage.Permits{Permits: []storage.Permit{}}
	for _, permit := range current.Record.Permits {
		if !change.removes(permit) {
			next.Permits = append(next.Permits, permit)
		}
	}
	next.Permits = append(next.Permits, change.granted...)
	txn := protocol.PutIfUnchanged(storage.PermitsKey(team), current.Version, &next)
	txn.If = append(txn.If, d.compareShards(change.unused)...)
	d.permitCommitInFlight[team] = true
	removal := &permitRemoval{version: current.Version, permits: change.unused}
	if len(change.unused) > 0 {
		d.removals[team] = append(d.removals[team], removal)
	}
	d.deps.Store.Commit(ratelimit.PriorityBackground, txn, func(result protocol.StoreResult) {
		delete(d.permitCommitInFlight, team)
		if result.Outcome != protocol.Unknown {
			d.retainRemovals(team, func(other *permitRemoval) bool { return other != removal })
		}
		switch result.Outcome {
		case protocol.OK:
			d.deps.NotePermitWrite()
			d.deps.Log.Debug("eviction permits committed",
				"team", team, "granted", len(change.granted), "ended", len(change.completed)+len(change.unused))
		case protocol.Rejected:
			d.deps.Log.Error("eviction permits rejected by state service", "team", team)
		}
	})
}

// compareShards returns the conditions that the shards of the machines that the permits' replicas leave are
// unchanged.
func (d *Drainer) compareShards(permits []storage.Permit) []protocol.Compare {
	var compares []protocol.Compare
	for _, permit := range permits {
		shard := d.deps.Mirror.Machines[permit.From].Shard
		compare := protocol.Compare{Key: storage.ShardKey(shard.Name), Version: shard.Version}
		if !slices.Contains(compares, compare) {
			compares = append(compares, compare)
		}
	}
	return compares
}
