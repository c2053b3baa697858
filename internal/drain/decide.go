package drain

import (
	"fmt"

	"pipitgap/internal/resources"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// Controller is the controller that decides, and what it knows about the other controllers.
type Controller struct {
	Node string
	// Live reports whether a controller is a member of the cluster.
	Live func(node string) bool
	// Responsible reports whether it is this controller that removes a team's completed permits.
	Responsible func(team string) bool
	// MaxRecordBytes is the maximum size of a record of permits.
	MaxRecordBytes int
}

// Decision is what a controller should do now. It has not been carried out yet.
type Decision struct {
	// Granted are the permits to add, by team.
	Granted map[string][]storage.Permit
	// Stop are committed permits that may be used now. Their replicas are on machines of this controller.
	Stop []storage.Permit
	// Revoked are committed permits for replicas on machines of this controller that must not be used any
	// more. A revoked permit whose replica is already being stopped stays in its record until it is
	// completed.
	Revoked []storage.Permit
	// Completed are the permits to remove because they are no longer needed, by team, see isCompleted.
	Completed map[string][]storage.Permit
	// EvictWithoutPermits are the machines of this controller on which the tasks that need no permit may be
	// stopped now.
	EvictWithoutPermits []string
	// Blocked lists what the drains wait for.
	Blocked []Blockage
}

// BlockKind is the kind of condition that the move of a replica waits for.
type BlockKind string

// Kinds of conditions that block moves. docs/operators/drains.md says how to resolve each. Progress, which
// the operators' command shows, never contains BlockedByPermits. It contains BlockedByDeadline only until the
// leader has paused the drain.
const (
	BlockedByBudget     BlockKind = "budget"
	BlockedByCapacity   BlockKind = "room"
	BlockedByStarting   BlockKind = "starting"
	BlockedByCordon     BlockKind = "cordon"
	BlockedByPermits    BlockKind = "permits"
	BlockedByController BlockKind = "controller"
	BlockedByDeadline   BlockKind = "deadline"
)

// Blockage is a machine or replica that waits for a condition, and the reason.
type Blockage struct {
	Drain   string    `json:"drain"`
	Machine string    `json:"machine"`
	Task    string    `json:"task,omitempty"` // "": the machine as a whole is blocked
	Kind    BlockKind `json:"kind"`
	Reason  string    `json:"reason"` // for operators
}

// permitBytes returns the maximum size of a permit in its record.
func permitBytes(permit *storage.Permit) int {
	return storage.PermitBytes + len(permit.Drain) + len(permit.Job) + len(permit.From) + len(permit.To)
}

// decider computes one decision. It applies each permit that it grants to its snapshot, so that the following
// grants take that permit into account.
type decider struct {
	policy       *Policy
	snapshot     *Snapshot
	controller   *Controller
	availability map[Scope]*Availability
	unplaceable  map[placementKey]bool // replicas that fit on no machine
	recordBytes  map[string]int        // size of a team's permits, by team
	decision     *Decision
}

// placementKey contains what determines whether any machine can take a replica, except two properties of its
// job: zone rules, with which nothing is cached, and the priority, which determines the room that preemption can
// provide. Replicas with the same key and different priorities share a result.
type placementKey struct {
	need  resources.Vector
	types string
	zone  string
	spot  bool
	from  string // the machine that the replica leaves; it can't be the destination
}

// Decide computes what a controller should do now for all drains.
func (p *Policy) Decide(s *Snapshot, controller *Controller) *Decision {
	d := &decider{
		policy: p, snapshot: s, controller: controller, availability: p.availabilityByScope(s),
		unplaceable: map[placementKey]bool{}, recordBytes: map[string]int{},
		decision: &Decision{Granted: map[string][]storage.Permit{}, Completed: map[string][]storage.Permit{}},
	}
	for _, team := range sortedmap.Keys(s.permits) {
		for i := range s.permits[team].Permits {
			d.reviewPermit(team, &s.permits[team].Permits[i])
		}
	}
	for i := range s.drains {
		d.decideDrain(&s.drains[i])
	}
	return d.decision
}

// reviewPermit decides whether a committed permit is completed, may be used, is revoked, or is left alone.
func (d *decider) reviewPermit(team string, permit *storage.Permit) {
	d.recordBytes[team] += permitBytes(permit)
	if d.isCompleted(permit) {
		if d.controller.Responsible(team) {
			d.decision.Completed[team] = append(d.decision.Completed[team], *permit)
		}
		return
	}
	from, ok := d.snapshot.Machine(permit.From)
	if !ok || from.Owner != d.controller.Node || !holdsAttempt(from, permit) {
		return // the attempt has ended, or it is on a machine of another controller
	}
	if d.stillAllowed(permit, from) {
		d.decision.Stop = append(d.decision.Stop, *permit)
	} else {
		d.decision.Revoked = append(d.decision.Revoked, *permit)
	}
}

// isCompleted reports whether a permit is no longer needed: the service has ended, or another attempt of the
// replica is running on a reachable machine.
func (d *decider) isCompleted(permit *storage.Permit) bool {
	if _, known := d.snapshot.jobs[permit.Job]; !known {
		return true
	}
	machine, replica, found := d.snapshot.replicaOf(permit.Job, permit.Task)
	return found && replica.Attempt != permit.Attempt && !replica.Starting && machine.reachable()
}

// holdsAttempt reports whether the attempt that a permit names is still on a machine.
func holdsAttempt(machine *Machine, permit *storage.Permit) bool {
	for _, replica := range machine.Replicas {
		if replica.Job == permit.Job && replica.Task == permit.Task && replica.Attempt == permit.Attempt {
			return true
		}
	}
	return false
}

// stillAllowed reports whether a committed permit may be used now. It checks the budget again, because
// machines may have been lost since the permit was granted, or because the commit may have been applied late.
func (d *decider) stillAllowed(permit *storage.Permit, from *Machine) bool {
	record, ok := d.snapshot.drainCovering(from)
	if !ok || record.Name != permit.Drain || !d.mayStopReplicas(record) {
		return false
	}
	job := d.snapshot.jobs[permit.Job]
	for _, scope := range d.policy.scopesOf(job) {
		if availability := d.availability[scope]; availability != nil && !availability.floorKept() {
			return false
		}
	}
	return true
}

// mayStopReplicas reports whether a drain may stop replicas now: it is active and its deadline hasn't passed.
func (d *decider) mayStopReplicas(record *DrainRecord) bool {
	return record.State == storage.DrainActive && !d.snapshot.deadlinePassed(record)
}

// deadlinePassed reports whether a drain has a deadline that has passed.
func (s *Snapshot) deadlinePassed(record *DrainRecord) bool {
	return record.DeadlineAt != 0 && s.WallMicros >= record.DeadlineAt
}

// NextState returns the next state that a drain takes without an operator's command. An active drain ends
// when it has no machines left, and it is paused at its deadline. It doesn't end while machines that it
// covers may still come up (expectsMachines). If next is nil and changed is true, its record must be deleted,
// because it ended more than retention microseconds ago.
func (s *Snapshot) NextState(
	record *DrainRecord,
	expectsMachines bool,
	retention int64,
) (next *storage.Drain, changed bool) {
	updated := record.Drain
	switch updated.State {
	case storage.DrainDone, storage.DrainAborted:
		return nil, s.WallMicros-updated.EndedAt > retention
	case storage.DrainActive:
	default:
		return nil, false
	}
	switch {
	case !expectsMachines && len(s.Selected(&updated)) == 0:
		updated.State, updated.Reason, updated.EndedAt = storage.DrainDone, "", s.WallMicros
		if updated.ClosesOffers() {
			updated.State = storage.DrainDrained
			updated.Reason = "nothing is left; nothing is rented there until the drain is aborted"
		}
	case s.deadlinePassed(record):
		updated.State, updated.Reason = storage.DrainPaused, "the deadline has passed"
	default:
		return nil, false
	}
	return &updated, true
}

// MachinesBeingEmptied lists the machines that a drain empties now, at most MaxParallel: first those with
// replicas under permits, then others, each group in ascending order of ids. Machines that are empty or being
// removed don't count.
func (s *Snapshot) MachinesBeingEmptied(record *DrainRecord) []string {
	var withPermits, withoutPermits []string
	for _, id := range s.Selected(&record.Drain) {
		machine, _ := s.Machine(id)
		switch {
		case machine.State == storage.MachineRemoving || machine.isEmpty():
		case machine.hasPermits():
			withPermits = append(withPermits, id)
		default:
			withoutPermits = append(withoutPermits, id)
		}
	}
	ordered := append(withPermits, withoutPermits...)
	return ordered[:min(len(ordered), record.MaxParallel)]
}

// isEmpty reports whether a machine has no tasks.
func (m *Machine) isEmpty() bool { return len(m.Replicas) == 0 && len(m.ArrayUsage) == 0 }

// hasPermits reports whether any replica on a machine is under a permit.
func (m *Machine) hasPermits() bool {
	for _, replica := range m.Replicas {
		if replica.UnderPermit {
			return true
		}
	}
	return false
}

// decideDrain decides on the next permits of an active drain.
func (d *decider) decideDrain(record *DrainRecord) {
	if record.State != storage.DrainActive {
		return
	}
	for _, id := range d.snapshot.MachinesBeingEmptied(record) {
		machine, _ := d.snapshot.Machine(id)
		if d.snapshot.deadlinePassed(record) {
			d.block(record, machine, nil, BlockedByDeadline, "the deadline has passed")
			continue
		}
		d.decideMachine(record, machine)
	}
}

// decideMachine decides which replicas of a machine may be stopped. If none of its replicas is blocked, the
// tasks that need no permit may be stopped as well.
func (d *decider) decideMachine(record *DrainRecord, machine *Machine) {
	if machine.State != storage.MachineCordoned {
		d.blockUncordonedMachine(record, machine)
		return
	}
	owned := machine.Owner == d.controller.Node
	if !owned && !d.controller.Live(machine.Owner) {
		d.block(record, machine, nil, BlockedByController,
			fmt.Sprintf("controller %s is gone, its successor isn't there yet", machine.Owner))
	}
	blockedReplicas := 0
	for i := range machine.Replicas {
		replica := machine.Replicas[i]
		job, known := d.snapshot.jobs[replica.Job]
		if !known || job.Failing || replica.UnderPermit {
			continue
		}
		move := d.evaluateReplica(record, machine, &replica, job)
		if move.blockedBy != "" {
			blockedReplicas++
			d.block(record, machine, &replica, move.blockedBy, move.reason)
			continue
		}
		if owned {
			d.grant(job, move.permit)
		}
	}
	if owned && blockedReplicas == 0 {
		d.decision.EvictWithoutPermits = append(d.decision.EvictWithoutPermits, machine.ID)
	}
}

// blockUncordonedMachine adds the reason why no replica can be moved off a machine that isn't cordoned.
func (d *decider) blockUncordonedMachine(record *DrainRecord, machine *Machine) {
	switch machine.State {
	case storage.MachineUnreachable:
		d.block(record, machine, nil, BlockedByCordon, "the machine is out of reach")
	case storage.MachineOpen:
		d.block(record, machine, nil, BlockedByCordon, "the machine isn't cordoned yet")
	}
}

// possibleMove is the permit for stopping a replica now, or the reason why it can't be granted.
type possibleMove struct {
	permit    storage.Permit
	blockedBy BlockKind // "": the permit may be granted
	reason    string
}

// evaluateReplica returns the permit for stopping a replica now, or what blocks it.
func (d *decider) evaluateReplica(
	record *DrainRecord, machine *Machine, replica *Replica, job *Job,
) possibleMove {
	if replica.Starting {
		return possibleMove{blockedBy: BlockedByStarting, reason: "it is still starting"}
	}
	for _, scope := range d.policy.scopesOf(job) {
		if reason, ok := d.availability[scope].allowsStop(machine.ID); !ok {
			return possibleMove{blockedBy: BlockedByBudget, reason: reason}
		}
	}
	to, ok := d.destinationFor(job, machine)
	if !ok {
		return possibleMove{
			blockedBy: BlockedByCapacity,
			reason: fmt.Sprintf("no machine outside the drain has room for %g CPUs, %g accelerators, %g GB",
				job.PerTask.CPUs, job.PerTask.GPUs, job.PerTask.MemoryGB),
		}
	}
	permit := storage.Permit{
		Drain: record.Name, Job: replica.Job, Task: replica.Task, Attempt: replica.Attempt,
		From: machine.ID, To: to.ID, GrantedAt: d.snapshot.WallMicros,
	}
	if d.recordBytes[job.Team]+permitBytes(&permit) > d.controller.MaxRecordBytes {
		return possibleMove{
			blockedBy: BlockedByPermits,
			reason:    fmt.Sprintf("team %s has as many permits as its record holds", job.Team),
		}
	}
	return possibleMove{permit: permit}
}

// destinationFor chooses a machine for a replica. It caches which replicas fit on no machine, because many
// replicas have the same needs.
func (d *decider) destinationFor(job *Job, from *Machine) (*Machine, bool) {
	key := placementKey{job.PerTask, fmt.Sprint(job.Types), job.Zone, job.Spot, from.ID}
	withoutZoneRules := !job.OneZone && !job.Spread
	if withoutZoneRules && d.unplaceable[key] {
		return nil, false
	}
	to, ok := d.snapshot.destination(job, from, d.controller.Live)
	if withoutZoneRules && !ok {
		d.unplaceable[key] = true
	}
	return to, ok
}

// grant adds a permit to the decision and counts its replica as stopped in the rest of the decision.
func (d *decider) grant(job *Job, permit storage.Permit) {
	d.decision.Granted[job.Team] = append(d.decision.Granted[job.Team], permit)
	d.recordBytes[job.Team] += permitBytes(&permit)
	for _, scope := range d.policy.scopesOf(job) {
		d.availability[scope].stop(permit.From)
	}
	d.snapshot = d.snapshot.withPermit(permit)
}

// block adds to the decision what a machine waits for, or what one of its replicas waits for if replica is
// set.
func (d *decider) block(
	record *DrainRecord,
	machine *Machine,
	replica *Replica,
	kind BlockKind,
	reason string,
) {
	blockage := Blockage{Drain: record.Name, Machine: machine.ID, Kind: kind, Reason: reason}
	if replica != nil {
		blockage.Task = fmt.Sprintf("%s/%d", replica.Job, replica.Task)
	}
	d.decision.Blocked = append(d.decision.Blocked, blockage)
}
