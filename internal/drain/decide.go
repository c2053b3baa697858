package drain

import (
	"fmt"

	"pipitgap/internal/resources"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// Controller is who decides: what it owns, and what it knows of the others.
type Controller struct {
	Node string
	// Live tells whether a controller is a member.
	Live func(node string) bool
	// Responsible tells whether this controller is the one to remove a team's permits that are over.
	Responsible func(team string) bool
	// RecordBytes is how large a record may get.
	RecordBytes int
}

// Decision is what a controller is to do now. Nothing of it has been done.
type Decision struct {
	// Granted are permits to add, by team.
	Granted map[string][]storage.Permit
	// Stop are permits that stand and may be used now: their replicas are on own machines.
	Stop []storage.Permit
	// Revoked are permits of own machines that must not be used. One that its owner has begun to
	// use stays until it is over.
	Revoked []storage.Permit
	// Completed are permits that are fulfilled or without a purpose, by team.
	Completed map[string][]storage.Permit
	// StopArrays are own machines whose other tasks may be stopped now.
	StopArrays []string
	// Blocked says what a drain waits for.
	Blocked []Blockage
}

// BlockKind says what a replica's move waits for.
type BlockKind string

// What a move can wait for.
const (
	BlockedByBudget     BlockKind = "budget"
	BlockedByCapacity   BlockKind = "room"
	BlockedByStarting   BlockKind = "starting"
	BlockedByCordon     BlockKind = "cordon"
	BlockedByPermits    BlockKind = "permits"
	BlockedByController BlockKind = "controller"
	BlockedByDeadline   BlockKind = "deadline"
)

// Blockage is a replica that can't be moved yet, and why.
type Blockage struct {
	Drain   string    `json:"drain"`
	Machine string    `json:"machine"`
	Task    string    `json:"task,omitempty"`
	Kind    BlockKind `json:"kind"`
	Reason  string    `json:"reason"`
}

// permitBytes is what a permit takes in a record at most.
func permitBytes(permit *storage.Permit) int {
	return storage.PermitBytes + len(permit.Drain) + len(permit.Job) + len(permit.From) + len(permit.To)
}

// decider works out one decision; its snapshot moves on with every permit that it grants.
type decider struct {
	policy       *Policy
	snapshot     *Snapshot
	controller   *Controller
	availability map[Scope]*Availability
	noRoom       map[placementKey]bool // what no machine has room for
	recordBytes  map[string]int        // by team: the size of its permits
	decision     *Decision
}

// placementKey is what decides whether a replica finds room, but for zone rules.
type placementKey struct {
	need  resources.Vector
	types string
	zone  string
	spot  bool
	from  string // the machine that it leaves doesn't count
}

// Decide works out what a controller is to do for all drains.
func (p *Policy) Decide(s *Snapshot, c *Controller) *Decision {
	d := &decider{
		policy: p, snapshot: s, controller: c, availability: p.availabilityByScope(s),
		noRoom: map[placementKey]bool{}, recordBytes: map[string]int{},
		decision: &Decision{Granted: map[string][]storage.Permit{}, Completed: map[string][]storage.Permit{}},
	}
	for _, team := range sortedmap.Keys(s.permits) {
		for i := range s.permits[team].Permits {
			d.reviewPermit(team, &s.permits[team].Permits[i])
		}
	}
	for i := range s.drains {
		d.advance(&s.drains[i])
	}
	return d.decision
}

// reviewPermit decides what becomes of a permit.
func (d *decider) reviewPermit(team string, permit *storage.Permit) {
	d.recordBytes[team] += permitBytes(permit)
	if d.completed(permit) {
		if d.controller.Responsible(team) {
			d.decision.Completed[team] = append(d.decision.Completed[team], *permit)
		}
		return
	}
	from, ok := d.snapshot.Machine(permit.From)
	if !ok || from.Owner != d.controller.Node || !holdsAttempt(from, permit) {
		return // stopped, lost, or another controller's
	}
	if d.stillAllowed(permit, from) {
		d.decision.Stop = append(d.decision.Stop, *permit)
	} else {
		d.decision.Revoked = append(d.decision.Revoked, *permit)
	}
}

// completed tells whether nothing is left to wait for: the service has ended, or the replica runs
// by another attempt.
func (d *decider) completed(permit *storage.Permit) bool {
	if _, known := d.snapshot.jobs[permit.Job]; !known {
		return true
	}
	m, r, held := d.snapshot.replicaOf(permit.Job, permit.Task)
	return held && r.Attempt != permit.Attempt && !r.Starting && m.reachable()
}

// holdsAttempt tells whether the attempt that a permit is for is still on a machine.
func holdsAttempt(m *Machine, permit *storage.Permit) bool {
	for _, r := range m.Replicas {
		if r.Job == permit.Job && r.Task == permit.Task && r.Attempt == permit.Attempt {
			return true
		}
	}
	return false
}

// stillAllowed tells whether a permit that stands may be used now. The budget is looked at once
// more: machines may have been lost since the permit was granted, or it was granted late.
func (d *decider) stillAllowed(permit *storage.Permit, from *Machine) bool {
	record, ok := d.snapshot.drainCovering(from)
	if !ok || record.Name != permit.Drain || !d.stepsAllowed(record) {
		return false
	}
	job := d.snapshot.jobs[permit.Job]
	for _, scope := range d.policy.scopesOf(job) {
		if a := d.availability[scope]; a != nil && !a.floorKept() {
			return false
		}
	}
	return true
}

// stepsAllowed tells whether a drain may begin steps.
func (d *decider) stepsAllowed(record *DrainRecord) bool {
	return record.State == storage.DrainActive && !d.snapshot.deadlinePassed(record)
}

// deadlinePassed tells whether a drain is past its deadline.
func (s *Snapshot) deadlinePassed(record *DrainRecord) bool {
	return record.DeadlineAt != 0 && s.Wall >= record.DeadlineAt
}

// NextState tells what becomes of a drain by itself: it ends when nothing is left of it, and is
// paused at its deadline. The record of one that ended long ago is dropped: next is nil then.
// expecting: machines that it covers may still come up; kept: how long a record is kept,
// microseconds.
func (s *Snapshot) NextState(
	record *DrainRecord,
	expecting bool,
	kept int64,
) (next *storage.Drain, changed bool) {
	rec := record.Drain
	switch rec.State {
	case storage.DrainDone, storage.DrainAborted:
		return nil, s.Wall-rec.EndedAt > kept
	case storage.DrainActive:
	default:
		return nil, false
	}
	switch {
	case !expecting && len(s.Selected(&rec)) == 0:
		rec.State, rec.Reason, rec.EndedAt = storage.DrainDone, "", s.Wall
		if rec.ClosesOffers() {
			rec.State = storage.DrainDrained
			rec.Reason = "nothing is left; nothing is rented there until the drain is aborted"
		}
	case s.deadlinePassed(record):
		rec.State, rec.Reason = storage.DrainPaused, "the deadline has passed"
	default:
		return nil, false
	}
	return &rec, true
}

// MachinesInStep lists the machines of a drain that are being emptied: those that were begun, then the
// others in the order of their ids, as many as may be emptied at a time.
func (s *Snapshot) MachinesInStep(record *DrainRecord) []string {
	var begun, others []string
	for _, id := range s.Selected(&record.Drain) {
		m, _ := s.Machine(id)
		switch {
		case m.State == storage.MachineRemoving || len(m.Replicas) == 0 && len(m.ArrayUsage) == 0:
		case m.hasPermits():
			begun = append(begun, id)
		default:
			others = append(others, id)
		}
	}
	step := append(begun, others...)
	return step[:min(len(step), record.MaxParallel)]
}

// hasPermits tells whether a replica on a machine is under a permit.
func (m *Machine) hasPermits() bool {
	for _, r := range m.Replicas {
		if r.UnderPermit {
			return true
		}
	}
	return false
}

// advance decides on the next permits of a drain.
func (d *decider) advance(record *DrainRecord) {
	if record.State != storage.DrainActive {
		return
	}
	for _, id := range d.snapshot.MachinesInStep(record) {
		m, _ := d.snapshot.Machine(id)
		if d.snapshot.deadlinePassed(record) {
			d.block(record, m, nil, BlockedByDeadline, "the deadline has passed")
			continue
		}
		d.emptyMachine(record, m)
	}
}

// emptyMachine decides on a machine of the present step.
func (d *decider) emptyMachine(record *DrainRecord, m *Machine) {
	if m.State != storage.MachineCordoned {
		d.blockMachine(record, m)
		return
	}
	mine := m.Owner == d.controller.Node
	if !mine && !d.controller.Live(m.Owner) {
		d.block(record, m, nil, BlockedByController,
			fmt.Sprintf("controller %s is gone, its successor isn't there yet", m.Owner))
	}
	staying := 0
	for i := range m.Replicas {
		r := m.Replicas[i]
		job, known := d.snapshot.jobs[r.Job]
		if !known || job.Failing || r.UnderPermit {
			continue
		}
		permit, kind, reason := d.evaluateReplica(record, m, &r, job)
		if kind != "" {
			staying++
			d.block(record, m, &r, kind, reason)
			continue
		}
		if mine {
			d.grant(job, permit)
		}
	}
	if mine && staying == 0 {
		d.decision.StopArrays = append(d.decision.StopArrays, m.ID)
	}
}

// blockMachine says why nothing can be moved off a machine that isn't cordoned.
func (d *decider) blockMachine(record *DrainRecord, m *Machine) {
	switch m.State {
	case storage.MachineUnreachable:
		d.block(record, m, nil, BlockedByCordon, "the machine is out of reach")
	case storage.MachineOpen:
		d.block(record, m, nil, BlockedByCordon, "the machine isn't cordoned yet")
	}
}

// evaluateReplica tells whether a replica may be stopped now, with the permit that would allow it,
// or what it waits for.
func (d *decider) evaluateReplica(
	record *DrainRecord, m *Machine, replica *Replica, job *Job,
) (storage.Permit, BlockKind, string) {
	if replica.Starting {
		return storage.Permit{}, BlockedByStarting, "it is still starting"
	}
	for _, scope := range d.policy.scopesOf(job) {
		if reason, ok := d.availability[scope].allowsStop(m.ID); !ok {
			return storage.Permit{}, BlockedByBudget, reason
		}
	}
	to, ok := d.roomFor(job, m)
	if !ok {
		return storage.Permit{}, BlockedByCapacity,
			fmt.Sprintf("no machine outside the drain has room for %g CPUs, %g accelerators, %g GB",
				job.PerTask.CPUs, job.PerTask.GPUs, job.PerTask.MemoryGB)
	}
	permit := storage.Permit{
		Drain: record.Name, Job: replica.Job, Task: replica.Task, Attempt: replica.Attempt,
		From: m.ID, To: to.ID, GrantedAt: d.snapshot.Wall,
	}
	if d.recordBytes[job.Team]+permitBytes(&permit) > d.controller.RecordBytes {
		return storage.Permit{}, BlockedByPermits,
			fmt.Sprintf("team %s has as many permits as its record holds", job.Team)
	}
	return permit, "", ""
}

// tasksThatFit finds a machine for a replica, remembering what finds none.
func (d *decider) roomFor(job *Job, from *Machine) (*Machine, bool) {
	key := placementKey{job.PerTask, fmt.Sprint(job.Types), job.Zone, job.Spot, from.ID}
	plain := !job.OneZone && !job.Spread
	if plain && d.noRoom[key] {
		return nil, false
	}
	to, ok := d.snapshot.destination(job, from, d.controller.Live)
	if plain && !ok {
		d.noRoom[key] = true
	}
	return to, ok
}

// grant adds a permit to the decision, and takes it into account for the next ones.
func (d *decider) grant(job *Job, permit storage.Permit) {
	d.decision.Granted[job.Team] = append(d.decision.Granted[job.Team], permit)
	d.recordBytes[job.Team] += permitBytes(&permit)
	for _, scope := range d.policy.scopesOf(job) {
		d.availability[scope].stop(permit.From)
	}
	d.snapshot = d.snapshot.withPermit(permit)
}

func (d *decider) block(record *DrainRecord, m *Machine, replica *Replica, kind BlockKind, reason string) {
	blockage := Blockage{Drain: record.Name, Machine: m.ID, Kind: kind, Reason: reason}
	if replica != nil {
		blockage.Task = fmt.Sprintf("%s/%d", replica.Job, replica.Task)
	}
	d.decision.Blocked = append(d.decision.Blocked, blockage)
}
