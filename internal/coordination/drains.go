package coordination

import (
	"slices"

	"pipitgap/internal/agents"
	"pipitgap/internal/autoscaling"
	"pipitgap/internal/config"
	"pipitgap/internal/drain"
	"pipitgap/internal/durations"
	"pipitgap/internal/membership"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// drains carries out on this controller what package drain decides. A nil *drains is one that
// is turned off: every method then does nothing.
type drains struct {
	core                 *Controller
	settings             *config.DrainSettings
	policy               *drain.Policy
	nextRunAt            monotime.Micros
	nextPermitWriteAt    monotime.Micros // when a change may be spent on permits again
	permitCommitInFlight map[string]bool // teams whose permits have a commit in flight
	// own machines whose array tasks are being stopped, and since when
	evictingSince     map[string]monotime.Micros
	replacementDemand []*autoscaling.Demand // what the leader requests machines for
	unpermittedLosses map[lossCause]int     // replicas lost outside of permits
	lossesLoggedAt    monotime.Micros
}

// Bounds of what drains cost.
const (
	// permitWriteFraction is the part of the state service's changes that all controllers together
	// spend on permits.
	permitWriteFraction = 0.1
	// spareWriteFraction is the part of a controller's burst of changes that must be unused for it to
	// begin moves.
	spareWriteFraction = 0.7
	// drainRetention is how long the record of a drain that has ended is kept.
	drainRetention = 24 * 60 * monotime.Minute
)

func newDrains(c *Controller, settings *config.DrainSettings) *drains {
	if settings == nil {
		return nil
	}
	return &drains{
		core:                 c,
		settings:             settings,
		policy:               drain.NewPolicy(settings),
		permitCommitInFlight: map[string]bool{},
		evictingSince:        map[string]monotime.Micros{},
		unpermittedLosses:    map[lossCause]int{},
	}
}

// tracksStart tells whether it is recorded of a job's attempts whether they run.
func (d *drains) tracksStart(spec *storage.JobSpec) bool { return d != nil && spec.Service }

// protectsFromPreemption tells whether a job's tasks aren't stopped to make room for others.
func (d *drains) protectsFromPreemption(job *mirror.Job) bool {
	return d != nil && job.Record.Spec.Service &&
		d.policy.Budgeted(job.Record.Spec.Team, job.Record.Spec.Class)
}

// drainCovering gives the unfinished drain that a machine belongs to.
func (d *drains) drainCovering(machine *mirror.Machine) (*storage.Drain, bool) {
	if d == nil || machine.Record == nil {
		return nil, false
	}
	for _, name := range sortedmap.Keys(d.core.mirror.Drains) {
		rec := d.core.mirror.Drains[name].Record
		if rec.State.Unfinished() &&
			drain.Covers(&rec, machine.ID, machine.Record.Type, machine.Record.Zone, machine.Record.Spot) {
			return &rec, true
		}
	}
	return nil, false
}

// isCordoned tells whether a machine gets no new tasks because of a drain.
func (d *drains) isCordoned(machine *mirror.Machine) bool {
	_, covered := d.drainCovering(machine)
	return covered
}

// closesOffer tells whether a drain keeps an offer from being requested.
func (d *drains) closesOffer(offer autoscaling.Offer) bool {
	if d == nil {
		return false
	}
	for _, v := range d.core.mirror.Drains {
		if drain.ClosesOffer(&v.Record, offer.MachineType, offer.Zone, offer.Spot) {
			return true
		}
	}
	return false
}

// mayScaleIn tells whether a drained machine that has been empty for so long is to be given back.
func (d *drains) mayScaleIn(machine *mirror.Machine, empty monotime.Micros) bool {
	rec, covered := d.drainCovering(machine)
	if !covered || rec.State == storage.DrainPaused {
		return false
	}
	return rec.RemoveAtOnce || empty >= d.core.emptyMachines.scaleInDelay(machine.Record)
}

// reconcile takes the next steps of all drains. It decides on a fresh mirror only: what has
// been lost since an old one was read would not be counted.
func (d *drains) reconcile(now monotime.Micros) {
	if d == nil || now < d.nextRunAt || !d.hasWork() {
		return
	}
	c := d.core
	if c.store.Unavailable() || c.catalog.machineTypes == nil || !c.membership.HoldsLease(now) ||
		c.replica.WatchOverdue(now) {
		return
	}
	snapshot := c.drainSnapshot()
	decision := d.policy.Decide(snapshot, d.controller())
	for _, permit := range decision.Stop {
		d.stopReplica(permit)
	}
	if !d.hasSpareWrites(now) {
		clear(decision.Granted)
		decision.StopArrays = nil
	}
	d.evictUnpermitted(decision.StopArrays, now)
	d.writePermits(decision, now)
	d.replacementDemand = d.computeReplacementDemand(snapshot)
	if c.membership.IsLeader(now) {
		d.settleDrains(snapshot)
	}
	d.nextRunAt = durations.NextDue(now, c.now(), durations.SlowTickInterval)
}

// hasWork tells whether there is anything to do for drains.
func (d *drains) hasWork() bool {
	for _, v := range d.core.mirror.Drains {
		if v.Record.State.Unfinished() || d.core.env.WallClock()-v.Record.EndedAt > int64(drainRetention) {
			return true
		}
	}
	for _, v := range d.core.mirror.PermitsByTeam {
		if len(v.Record.Permits) > 0 {
			return true
		}
	}
	d.replacementDemand = nil
	clear(d.evictingSince)
	return false
}

// controller is what a decision must know of us.
func (d *drains) controller() *drain.Controller {
	c := d.core
	controllers := c.membership.LiveControllers()
	return &drain.Controller{
		Node: c.node,
		Live: c.membership.IsMember,
		Responsible: func(team string) bool {
			return membership.RendezvousOwner(storage.KindPermits+"/"+team, controllers) == c.node
		},
		RecordBytes: c.scheduler.assignmentShardBytes(),
	}
}

// attemptOfPermit is the attempt that a permit lets be stopped.
func attemptOfPermit(permit storage.Permit) agents.AttemptID {
	return agents.AttemptID{
		Task:    mirror.TaskID{Job: permit.Job, Index: permit.Task},
		Attempt: permit.Attempt,
	}
}

// stopReplica uses a permit that stands.
func (d *drains) stopReplica(permit storage.Permit) {
	machine := d.core.mirror.Machines[permit.From]
	key := attemptOfPermit(permit)
	if machine == nil || d.core.agents.Of(machine) == nil ||
		d.core.agents.Of(machine).IsStopping(key) {
		return
	}
	d.core.agents.Of(machine).StopAttempt(key)
	d.core.log.Info("replica evicted for drain", "drain", permit.Drain, "task", key.Task.String(),
		"from_machine", permit.From, "to_machine", permit.To)
	d.core.agents.SyncCommands(machine)
}

// permitUnused tells whether a permit surely hasn't been used and can't be by anything still on its
// way: we haven't told its worker to stop, and the worker, which still runs the replica, has
// seen our claim, which outranks every command of the owners before us.
func (d *drains) permitUnused(permit storage.Permit) bool {
	machine := d.core.mirror.Machines[permit.From]
	key := attemptOfPermit(permit)
	if machine == nil || d.core.agents.Of(machine) == nil {
		return false
	}
	agent := d.core.agents.Of(machine)
	if agent.IsStopping(key) || agent.HasOutcome(key) || agent.KillSent(key) {
		return false
	}
	return agent.ReportsUnderClaim() && agent.IsRunning(key)
}

// writePermits writes what changes of one team's permits: one commit a team, spaced.
func (d *drains) writePermits(decision *drain.Decision, now monotime.Micros) {
	ended := map[string][]storage.Permit{}
	for team, over := range decision.Completed {
		ended[team] = append(ended[team], over...)
	}
	for _, permit := range decision.Revoked {
		if job := d.core.mirror.Jobs[permit.Job]; job != nil && d.permitUnused(permit) {
			ended[job.Record.Spec.Team] = append(ended[job.Record.Spec.Team], permit)
		}
	}
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
			d.nextPermitWriteAt = d.core.store.NextWriteAllowedAt(permitWriteFraction)
		}
	}
}

// hasSpareWrites tells whether the state service has changes to spare. Each move costs several, of
// the shards too, and they are the same that users and running work need: at 93% of what the
// service takes submissions waited for more than a second.
func (d *drains) hasSpareWrites(now monotime.Micros) bool {
	c := d.core
	if c.store.UserCallsWaiting() || c.peerStatuses.UserCallsWaiting(now) {
		return false
	}
	return c.store.HasSpareWrites(now, spareWriteFraction)
}

// writeTeamPermits changes a team's permits, on the condition that nobody else has. One that is written
// after its drain has ended does no harm: whether it may be used is decided anew. The record is
// never deleted, since its version must not come back.
func (d *drains) writeTeamPermits(team string, ended, granted []storage.Permit) {
	c := d.core
	have := c.mirror.PermitsByTeam[team]
	next := storage.Permits{Permits: []storage.Permit{}}
	for _, permit := range have.Record.Permits {
		if !slices.Contains(ended, permit) {
			next.Permits = append(next.Permits, permit)
		}
	}
	next.Permits = append(next.Permits, granted...)
	key := storage.Key(storage.KindPermits, team)
	txn := protocol.Transaction{
		If:   []protocol.Compare{{Key: key, Version: have.Version}},
		Then: []protocol.Op{{Put: key, Value: protocol.MustMarshal(&next)}},
	}
	d.permitCommitInFlight[team] = true
	c.replica.Commit(ratelimit.PriorityBackground, txn, func(result protocol.StoreResult) {
		delete(d.permitCommitInFlight, team)
		switch result.Outcome {
		case protocol.OK:
			c.counters.permitWrites++
			c.log.Debug(
				"eviction permits committed",
				"team",
				team,
				"granted",
				len(granted),
				"ended",
				len(ended),
			)
		case protocol.Rejected:
			c.log.Error("eviction permits rejected by state service", "team", team)
		}
	})
}

// evictUnpermitted stops the tasks that need no permit on machines whose replicas have been
// seen to: those of arrays, and of services that fail wherever they run. An array task that
// is about to end is waited for.
func (d *drains) evictUnpermitted(machines []string, now monotime.Micros) {
	since := map[string]monotime.Micros{}
	for _, id := range machines {
		startedAt, ok := d.evictingSince[id]
		if !ok {
			startedAt = now
		}
		since[id] = startedAt
		if machine := d.core.mirror.Machines[id]; machine != nil && d.core.agents.Of(machine) != nil {
			d.evictUnpermittedOn(machine, startedAt, now)
		}
	}
	if len(machines) > 0 {
		d.evictingSince = since
	}
}

// evictUnpermittedOn stops what needs no permit on a machine.
func (d *drains) evictUnpermittedOn(machine *mirror.Machine, startedAt, now monotime.Micros) {
	stopped := 0
	for task, attempt := range machine.Attempts {
		key := agents.AttemptID{Task: task, Attempt: attempt}
		job := d.core.mirror.Jobs[task.Job]
		if job == nil || !job.IsOpen() || d.core.agents.Of(machine).IsStopping(key) ||
			d.core.agents.Of(machine).HasOutcome(key) ||
			d.needsPermit(job) ||
			d.endsSoon(machine, key, job, startedAt, now) {
			continue
		}
		d.core.agents.Of(machine).StopAttempt(key)
		stopped++
	}
	if stopped > 0 {
		d.core.log.Info("tasks evicted for drain", "machine", machine.ID, "tasks", stopped)
		d.core.agents.SyncCommands(machine)
	}
}

// needsPermit tells whether a job's tasks are stopped under permits only.
func (d *drains) needsPermit(job *mirror.Job) bool {
	return job.Record.Spec.Service && !d.core.scheduler.isCrashLooping(job)
}

// endsSoon tells whether an array task is expected to end soon. An estimate that was
// wrong is believed for twice the time.
func (d *drains) endsSoon(
	machine *mirror.Machine,
	key agents.AttemptID,
	job *mirror.Job,
	startedAt, now monotime.Micros,
) bool {
	at, running := d.core.agents.Of(machine).RunningSince(key)
	if !running || job.Record.Spec.Service || now-startedAt > 2*d.settings.ArrayWait.Micros() {
		return false
	}
	left := monotime.FromSeconds(d.core.scheduler.expectedRunSeconds(&job.Record.Spec)) - (now - at)
	return left <= d.settings.ArrayWait.Micros()
}

// updateStartingMarks keeps the marks of a machine's replicas true: one that the worker doesn't report
// as running is starting, one that has run for long enough isn't. It tells whether anything
// has changed.
func (d *drains) updateStartingMarks(next *storage.Shard, machine *mirror.Machine, now monotime.Micros) bool {
	if d == nil {
		return false
	}
	agent := d.core.agents.Of(machine)
	if !agent.HasReported() || !agent.ClaimAcknowledged() || !agent.IsReachable() {
		return false
	}
	changed := false
	for task, attempt := range machine.Attempts {
		job := d.core.mirror.Jobs[task.Job]
		if job == nil || !d.tracksStart(&job.Record.Spec) {
			continue
		}
		held, ok := next.FindAttempt(task.Job, task.Index)
		if !ok || held.Number != attempt || held.Machine != machine.ID {
			continue
		}
		if starting := d.countsAsStarting(agent, agents.AttemptID{Task: task, Attempt: attempt}, held.Starting, now); starting != held.Starting &&
			d.markFits(next, starting) {
			next.MarkStarting(task.Job, task.Index, starting)
			changed = true
		}
	}
	return changed
}

// markFits tells whether a mark may change: one more must find room in the record.
func (d *drains) markFits(next *storage.Shard, starting bool) bool {
	return !starting || next.MaxEncodedSize()+storage.MaxStartingBytes <= d.core.maxValueBytes()
}

// countsAsStarting tells whether a replica counts as starting, given whether it did before.
func (d *drains) countsAsStarting(agent *agents.Agent, key agents.AttemptID, before bool, now monotime.Micros) bool {
	if !agent.IsRunning(key) {
		return true
	}
	since, ok := agent.RunningSince(key)
	return before && (!ok || now-since < d.settings.MinReady.Micros())
}

// settleDrains does the leader's share: it ends drains that have come to their end or their deadline.
func (d *drains) settleDrains(s *drain.Snapshot) {
	for _, record := range s.Drains() {
		next, changed := s.NextState(&record, d.expectsMachines(&record.Drain), int64(drainRetention))
		if !changed {
			continue
		}
		key := storage.Key(storage.KindDrain, record.Name)
		operation := protocol.Op{Delete: key}
		if next != nil {
			operation = protocol.Op{Put: key, Value: protocol.MustMarshal(next)}
		}
		d.core.autoscaler.fleet.Commit(ratelimit.PriorityBackground, key, protocol.Transaction{
			If:   []protocol.Compare{{Key: key, Version: record.Version}},
			Then: []protocol.Op{operation},
		}, func(result protocol.StoreResult) {
			if result.Outcome == protocol.OK && next != nil {
				d.core.log.Info(
					"drain state changed",
					"drain",
					record.Name,
					"drain_state",
					string(next.State),
					"reason",
					next.Reason,
				)
			}
		})
	}
}

// expectsMachines tells whether machines that a drain covers may still come up.
func (d *drains) expectsMachines(rec *storage.Drain) bool {
	for _, request := range d.core.mirror.ScaleOuts {
		if request.Record.Phase == storage.ScaleOutNoCapacity {
			continue
		}
		for _, id := range autoscaling.MissingMachines(d.core.mirror, request) {
			if drain.Covers(rec, id, request.Record.MachineType, request.Record.Zone, request.Record.Spot) {
				return true
			}
		}
	}
	return false
}
