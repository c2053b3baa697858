package drain

import (
	"fmt"

	"pipitgap/internal/bookkeeping"
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
	// Grant are permits to add, by team.
	Grant map[string][]bookkeeping.Permit
	// Stop are permits that stand and may be used now: their replicas are on own machines.
	Stop []bookkeeping.Permit
	// Return are permits of own machines that must not be used. One that its owner has begun to
	// use stays until it is over.
	Return []bookkeeping.Permit
	// Over are permits that are fulfilled or without a purpose, by team.
	Over map[string][]bookkeeping.Permit
	// Emptying are own machines whose other tasks may be stopped now.
	Emptying []string
	// Blocked says what a drain waits for.
	Blocked []Blockage
}

// BlockKind says what a replica's move waits for.
type BlockKind string

// What a move can wait for.
const (
	BlockedByBudget   BlockKind = "budget"
	BlockedByRoom     BlockKind = "room"
	BlockedByStart    BlockKind = "starting"
	BlockedByCordon   BlockKind = "cordon"
	BlockedByPermits  BlockKind = "permits"
	BlockedByOwner    BlockKind = "controller"
	BlockedByDeadline BlockKind = "deadline"
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
func permitBytes(p *bookkeeping.Permit) int {
	return bookkeeping.PermitBytes + len(p.Drain) + len(p.Job) + len(p.From) + len(p.To)
}

// decider works out one decision; its snapshot moves on with every permit that it grants.
type decider struct {
	policy       *Policy
	snapshot     *Snapshot
	controller   *Controller
	availability map[Scope]*Availability
	full         map[needOf]bool // what no machine has room for
	bytes        map[string]int  // by team: the size of its permits
	decision     *Decision
}

// needOf is what decides whether a replica finds room, but for zone rules.
type needOf struct {
	need  Resources
	types string
	zone  string
	spot  bool
	from  string // the machine that it leaves doesn't count
}

// Decide works out what a controller is to do for all drains.
func (p *Policy) Decide(s *Snapshot, c *Controller) *Decision {
	d := &decider{
		policy: p, snapshot: s, controller: c, availability: p.availabilities(s),
		full: map[needOf]bool{}, bytes: map[string]int{},
		decision: &Decision{Grant: map[string][]bookkeeping.Permit{}, Over: map[string][]bookkeeping.Permit{}},
	}
	for _, team := range sortedKeys(s.permits) {
		for i := range s.permits[team].Permits {
			d.standing(team, &s.permits[team].Permits[i])
		}
	}
	for i := range s.drains {
		d.advance(&s.drains[i])
	}
	return d.decision
}

// standing decides what becomes of a permit.
func (d *decider) standing(team string, p *bookkeeping.Permit) {
	d.bytes[team] += permitBytes(p)
	if d.over(p) {
		if d.controller.Responsible(team) {
			d.decision.Over[team] = append(d.decision.Over[team], *p)
		}
		return
	}
	from, ok := d.snapshot.Machine(p.From)
	if !ok || from.Owner != d.controller.Node || !holds(from, p) {
		return // stopped, lost, or another controller's
	}
	if d.usable(p, from) {
		d.decision.Stop = append(d.decision.Stop, *p)
	} else {
		d.decision.Return = append(d.decision.Return, *p)
	}
}

// over tells whether nothing is left to wait for: the service has ended, or the replica runs
// by another attempt.
func (d *decider) over(p *bookkeeping.Permit) bool {
	if _, known := d.snapshot.jobs[p.Job]; !known {
		return true
	}
	m, r, held := d.snapshot.holder(p.Job, p.Task)
	return held && r.Attempt != p.Attempt && !r.Starting && m.reachable()
}

// holds tells whether the attempt that a permit is for is still on a machine.
func holds(m *Machine, p *bookkeeping.Permit) bool {
	for _, r := range m.Replicas {
		if r.Job == p.Job && r.Task == p.Task && r.Attempt == p.Attempt {
			return true
		}
	}
	return false
}

// usable tells whether a permit that stands may be used now. The budget is looked at once
// more: machines may have been lost since the permit was granted, or it was granted late.
func (d *decider) usable(p *bookkeeping.Permit, from *Machine) bool {
	record, ok := d.snapshot.covering(from)
	if !ok || record.Name != p.Drain || !d.stepsAllowed(record) {
		return false
	}
	job := d.snapshot.jobs[p.Job]
	for _, scope := range d.policy.scopesOf(job) {
		if a := d.availability[scope]; a != nil && !a.kept() {
			return false
		}
	}
	return true
}

// stepsAllowed tells whether a drain may begin steps.
func (d *decider) stepsAllowed(record *DrainRecord) bool {
	return record.State == bookkeeping.DrainActive && !d.snapshot.deadlinePassed(record)
}

// deadlinePassed tells whether a drain is past its deadline.
func (s *Snapshot) deadlinePassed(record *DrainRecord) bool {
	return record.DeadlineAt != 0 && s.Wall >= record.DeadlineAt
}

// Settle tells what becomes of a drain by itself: it ends when nothing is left of it, and is
// paused at its deadline. The record of one that ended long ago is dropped: next is nil then.
// expecting: machines that it covers may still come up; kept: how long a record is kept,
// microseconds.
func (s *Snapshot) Settle(record *DrainRecord, expecting bool, kept int64) (next *bookkeeping.Drain, changed bool) {
	rec := record.Drain
	switch rec.State {
	case bookkeeping.DrainDone, bookkeeping.DrainAborted:
		return nil, s.Wall-rec.EndedAt > kept
	case bookkeeping.DrainActive:
	default:
		return nil, false
	}
	switch {
	case !expecting && len(s.Selected(&rec)) == 0:
		rec.State, rec.Reason, rec.EndedAt = bookkeeping.DrainDone, "", s.Wall
		if rec.Closes() {
			rec.State = bookkeeping.DrainDrained
			rec.Reason = "nothing is left; nothing is rented there until the drain is aborted"
		}
	case s.deadlinePassed(record):
		rec.State, rec.Reason = bookkeeping.DrainPaused, "the deadline has passed"
	default:
		return nil, false
	}
	return &rec, true
}

// Step lists the machines of a drain that are being emptied: those that were begun, then the
// others in the order of their ids, as many as may be emptied at a time.
func (s *Snapshot) Step(record *DrainRecord) []string {
	var begun, others []string
	for _, id := range s.Selected(&record.Drain) {
		m, _ := s.Machine(id)
		switch {
		case m.State == bookkeeping.MachineRemoving || len(m.Replicas) == 0 && len(m.Arrays) == 0:
		case m.leaving():
			begun = append(begun, id)
		default:
			others = append(others, id)
		}
	}
	step := append(begun, others...)
	return step[:min(len(step), record.MaxParallel)]
}

// leaving tells whether a replica on a machine is under a permit.
func (m *Machine) leaving() bool {
	for _, r := range m.Replicas {
		if r.Permit {
			return true
		}
	}
	return false
}

// advance decides on the next permits of a drain.
func (d *decider) advance(record *DrainRecord) {
	if record.State != bookkeeping.DrainActive {
		return
	}
	for _, id := range d.snapshot.Step(record) {
		m, _ := d.snapshot.Machine(id)
		if d.snapshot.deadlinePassed(record) {
			d.block(record, m, nil, BlockedByDeadline, "the deadline has passed")
			continue
		}
		d.empty(record, m)
	}
}

// empty decides on a machine of the present step.
func (d *decider) empty(record *DrainRecord, m *Machine) {
	if m.State != bookkeeping.MachineCordoned {
		d.blockMachine(record, m)
		return
	}
	mine := m.Owner == d.controller.Node
	if !mine && !d.controller.Live(m.Owner) {
		d.block(record, m, nil, BlockedByOwner,
			fmt.Sprintf("controller %s is gone, its successor isn't there yet", m.Owner))
	}
	staying := 0
	for i := range m.Replicas {
		r := m.Replicas[i]
		job, known := d.snapshot.jobs[r.Job]
		if !known || job.Failing || r.Permit {
			continue
		}
		permit, kind, reason := d.consider(record, m, &r, job)
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
		d.decision.Emptying = append(d.decision.Emptying, m.ID)
	}
}

// blockMachine says why nothing can be moved off a machine that isn't cordoned.
func (d *decider) blockMachine(record *DrainRecord, m *Machine) {
	switch m.State {
	case bookkeeping.MachineQuiet:
		d.block(record, m, nil, BlockedByCordon, "the machine is out of reach")
	case bookkeeping.MachineOpen:
		d.block(record, m, nil, BlockedByCordon, "the machine isn't cordoned yet")
	}
}

// consider tells whether a replica may be stopped now, with the permit that would allow it,
// or what it waits for.
func (d *decider) consider(
	record *DrainRecord, m *Machine, r *Replica, job *Job,
) (bookkeeping.Permit, BlockKind, string) {
	if r.Starting {
		return bookkeeping.Permit{}, BlockedByStart, "it is still starting"
	}
	for _, scope := range d.policy.scopesOf(job) {
		if reason, ok := d.availability[scope].permits(m.ID); !ok {
			return bookkeeping.Permit{}, BlockedByBudget, reason
		}
	}
	to, ok := d.roomFor(job, m)
	if !ok {
		return bookkeeping.Permit{}, BlockedByRoom,
			fmt.Sprintf("no machine outside the drain has room for %g CPUs, %g accelerators, %g GB",
				job.Need.CPUs, job.Need.GPUs, job.Need.MemoryGB)
	}
	permit := bookkeeping.Permit{
		Drain: record.Name, Job: r.Job, Task: r.Task, Attempt: r.Attempt,
		From: m.ID, To: to.ID, At: d.snapshot.Wall,
	}
	if d.bytes[job.Team]+permitBytes(&permit) > d.controller.RecordBytes {
		return bookkeeping.Permit{}, BlockedByPermits,
			fmt.Sprintf("team %s has as many permits as its record holds", job.Team)
	}
	return permit, "", ""
}

// roomFor finds a machine for a replica, remembering what finds none.
func (d *decider) roomFor(job *Job, from *Machine) (*Machine, bool) {
	key := needOf{job.Need, fmt.Sprint(job.Types), job.Zone, job.Spot, from.ID}
	plain := !job.OneZone && !job.Spread
	if plain && d.full[key] {
		return nil, false
	}
	to, ok := d.snapshot.destination(job, from, d.controller.Live)
	if plain && !ok {
		d.full[key] = true
	}
	return to, ok
}

// grant adds a permit to the decision, and takes it into account for the next ones.
func (d *decider) grant(job *Job, permit bookkeeping.Permit) {
	d.decision.Grant[job.Team] = append(d.decision.Grant[job.Team], permit)
	d.bytes[job.Team] += permitBytes(&permit)
	for _, scope := range d.policy.scopesOf(job) {
		d.availability[scope].stop(permit.From)
	}
	d.snapshot = d.snapshot.permitted(permit)
}

func (d *decider) block(record *DrainRecord, m *Machine, r *Replica, kind BlockKind, reason string) {
	blockage := Blockage{Drain: record.Name, Machine: m.ID, Kind: kind, Reason: reason}
	if r != nil {
		blockage.Task = fmt.Sprintf("%s/%d", r.Job, r.Task)
	}
	d.decision.Blocked = append(d.decision.Blocked, blockage)
}
