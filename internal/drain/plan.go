package drain

import (
	"fmt"
	"slices"

	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// Move is the planned move of a replica from one machine to another.
type Move struct {
	Task string `json:"task"` // job id, slash, task index
	Team string `json:"team"`
	From string `json:"from"` // machine
	To   string `json:"to"`   // machine
}

// Step is a set of changes that a plan makes at the same time.
type Step struct {
	ScaleOut []string `json:"rent,omitempty"` // machines that would be requested before the moves
	Moves    []Move   `json:"moves"`
	Stopped  int      `json:"array_tasks_stopped"` // number of array tasks that would be stopped
	Emptied  []string `json:"emptied"`             // machines that are empty after the step
}

// Plan is the simulated course of a drain if nothing else happens, and what blocks the drain at its end.
type Plan struct {
	Machines []string   `json:"machines"`
	Steps    []Step     `json:"steps"`
	Blocked  []Blockage `json:"blocked,omitempty"`
}

const (
	// maxPlanSteps is the maximum number of steps of a plan.
	maxPlanSteps = 10000

	// planRecordBytes is the maximum size of a record of permits in a plan. It is so large that no permit in
	// a plan waits for space in a record.
	planRecordBytes = 1 << 20
)

// planner simulates a drain on snapshots. Each step takes the decisions of all controllers and carries them
// out at once.
type planner struct {
	policy        *Policy
	snapshot      *Snapshot
	record        DrainRecord
	addedMachines int // number of simulated machines
}

// Plan computes the steps of a drain. It changes nothing.
func (p *Policy) Plan(s *Snapshot, name string, record storage.Drain) *Plan {
	simulation := &planner{
		policy:   p,
		snapshot: s.withDrain(name, record),
		record:   DrainRecord{Drain: record, Name: name},
	}
	plan := &Plan{Machines: s.Selected(&record)}
	simulation.cordon(plan.Machines)
	for len(plan.Steps) < maxPlanSteps {
		step, blocked := simulation.nextStep()
		if len(step.Moves) == 0 && len(step.Emptied) == 0 && len(step.ScaleOut) == 0 {
			plan.Blocked = blocked
			break
		}
		plan.Steps = append(plan.Steps, step)
	}
	return plan
}

// withDrain returns a snapshot with one drain added or replaced. The receiver stays unchanged.
func (s *Snapshot) withDrain(name string, record storage.Drain) *Snapshot {
	next := *s
	next.drains = slices.DeleteFunc(
		slices.Clone(s.drains),
		func(other DrainRecord) bool { return other.Name == name },
	)
	next.drains = append(next.drains, DrainRecord{Drain: record, Name: name})
	return &next
}

// cordon cordons the listed machines that are open.
func (p *planner) cordon(machines []string) {
	for _, id := range machines {
		machine, _ := p.snapshot.Machine(id)
		if machine.State == storage.MachineOpen {
			cordoned := *machine
			cordoned.State = storage.MachineCordoned
			p.snapshot = p.snapshot.withMachine(&cordoned)
		}
	}
}

// nextStep simulates one step. It also returns what was still blocked in that step.
func (p *planner) nextStep() (step Step, blocked []Blockage) {
	decision := p.decide()
	if p.record.Replace && p.scaleOutForBlocked(decision.Blocked, &step) {
		decision = p.decide()
	}
	for _, team := range sortedmap.Keys(decision.Granted) {
		for _, permit := range decision.Granted[team] {
			step.Moves = append(step.Moves, p.applyPermit(team, permit))
		}
	}
	for _, id := range p.snapshot.Selected(&p.record.Drain) {
		machine, _ := p.snapshot.Machine(id)
		if machine.State == storage.MachineCordoned && len(machine.Replicas) == 0 {
			step.Stopped += machine.arrayTasks()
			step.Emptied = append(step.Emptied, id)
			p.snapshot = p.snapshot.withoutMachine(id)
		}
	}
	return step, decision.Blocked
}

// decide combines the decisions of all controllers. Each controller takes into account the permits that the
// controllers before it granted.
func (p *planner) decide() *Decision {
	combined := &Decision{Granted: map[string][]storage.Permit{}}
	always := func(string) bool { return true }
	simulated := p.snapshot
	for _, node := range p.owners() {
		controller := &Controller{
			Node:           node,
			Live:           always,
			Responsible:    always,
			MaxRecordBytes: planRecordBytes,
		}
		decision := p.policy.Decide(simulated, controller)
		for team, permits := range decision.Granted {
			combined.Granted[team] = append(combined.Granted[team], permits...)
			for _, permit := range permits {
				simulated = simulated.withPermit(permit)
			}
		}
		combined.Blocked = decision.Blocked
	}
	return combined
}

// owners lists the controllers that own machines.
func (p *planner) owners() []string {
	owners := map[string]bool{}
	p.snapshot.ForEachMachine(func(machine *Machine) bool {
		owners[machine.Owner] = true
		return true
	})
	return sortedmap.Keys(owners)
}

// applyPermit simulates the use of a permit: the replica is stopped, and its next attempt runs on the
// destination.
func (p *planner) applyPermit(team string, permit storage.Permit) Move {
	job := p.snapshot.jobs[permit.Job]
	from, _ := p.snapshot.Machine(permit.From)
	source := *from
	source.Replicas = slices.DeleteFunc(slices.Clone(from.Replicas), func(replica Replica) bool {
		return replica.Job == permit.Job && replica.Task == permit.Task
	})
	source.Free = from.Free.Plus(job.PerTask)
	p.snapshot = p.snapshot.withMachine(&source)
	to, _ := p.snapshot.Machine(permit.To)
	destination := *to
	destination.Replicas = append(slices.Clone(to.Replicas),
		Replica{Job: permit.Job, Task: permit.Task, Attempt: permit.Attempt + 1})
	destination.Free = to.Free.Minus(job.PerTask)
	p.snapshot = p.snapshot.withMachine(&destination)
	return Move{
		Task: fmt.Sprintf("%s/%d", permit.Job, permit.Task),
		Team: team, From: permit.From, To: permit.To,
	}
}

// scaleOutForBlocked adds a machine for the first replica that fits on no machine, like the machine that the
// replica leaves. It reports whether it added one.
func (p *planner) scaleOutForBlocked(blocked []Blockage, step *Step) bool {
	for _, blockage := range blocked {
		if blockage.Kind != BlockedByCapacity {
			continue
		}
		template, _ := p.snapshot.Machine(blockage.Machine)
		if machine, ok := p.simulateScaleOut(template); ok {
			step.ScaleOut = append(step.ScaleOut, fmt.Sprintf("%s in zone %s", machine.Type, machine.Zone))
			p.snapshot = p.snapshot.withMachine(machine)
			return true
		}
	}
	return false
}

// simulateScaleOut returns a new machine of the same type as template, in the first zone where the drain
// doesn't close the offer.
func (p *planner) simulateScaleOut(template *Machine) (*Machine, bool) {
	machineType, known := p.snapshot.types[template.Type]
	if !known {
		return nil, false
	}
	zones := append([]string{template.Zone}, machineType.Zones...)
	for _, zone := range zones {
		if !ClosesOffer(&p.record.Drain, template.Type, zone, template.Spot) {
			p.addedMachines++
			return &Machine{ID: fmt.Sprintf("new-%d", p.addedMachines), Type: template.Type, Zone: zone,
				Spot: template.Spot, State: storage.MachineOpen, Owner: template.Owner,
				Free: machineType.Capacity}, true
		}
	}
	return nil, false
}
