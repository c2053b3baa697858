package drain

import (
	"math"

	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// Progress is where a drain stands.
type Progress struct {
	Name      string             `json:"name"`
	State     storage.DrainState `json:"state"`
	Reason    string             `json:"reason,omitempty"`
	Revision  uint64             `json:"revision"`
	Machines  []MachineProgress  `json:"machines"`
	Permits   int                `json:"permits"` // moves under way
	Blocked   []Blockage         `json:"blocked,omitempty"`
	StartedAt int64              `json:"started_at_us"`
	EndedAt   int64              `json:"ended_at_us,omitempty"`
}

// MachineProgress is a machine of a drain that hasn't been given back.
type MachineProgress struct {
	ID           string `json:"id"`
	State        string `json:"state"`
	Replicas     int    `json:"replicas"`
	ArrayTasks   int    `json:"array_tasks"`
	BeingEmptied bool   `json:"being_emptied"`
}

// stateNames are the words for the states of a machine.
var stateNames = map[storage.MachineState]string{
	storage.MachineOpen:        "open",
	storage.MachineUnreachable: "out of reach",
	storage.MachineCordoned:    "cordoned",
	storage.MachineDraining:    "about to be taken by the cloud",
	storage.MachineRemoving:    "being given back",
}

// Progress tells where a drain stands, and what it waits for.
func (p *Policy) Progress(s *Snapshot, record *DrainRecord, live func(string) bool) *Progress {
	progress := &Progress{Name: record.Name, State: record.State, Reason: record.Reason, Revision: s.Revision,
		Machines: []MachineProgress{}, StartedAt: record.StartedAt, EndedAt: record.EndedAt}
	if !record.State.Unfinished() {
		return progress
	}
	step := map[string]bool{}
	if record.State == storage.DrainActive {
		for _, id := range s.MachinesInStep(record) {
			step[id] = true
		}
	}
	for _, id := range s.Selected(&record.Drain) {
		m, _ := s.Machine(id)
		progress.Machines = append(progress.Machines, MachineProgress{ID: id, State: stateNames[m.State],
			Replicas: len(m.Replicas), ArrayTasks: m.arrayTasks(), BeingEmptied: step[id]})
	}
	for _, team := range sortedmap.Keys(s.permits) {
		for _, permit := range s.permits[team].Permits {
			if permit.Drain == record.Name {
				progress.Permits++
			}
		}
	}
	nobody := &Controller{
		Live:        live,
		Responsible: func(string) bool { return false },
		RecordBytes: math.MaxInt,
	}
	for _, b := range p.Decide(s, nobody).Blocked {
		if b.Drain == record.Name {
			progress.Blocked = append(progress.Blocked, b)
		}
	}
	return progress
}

func (m *Machine) arrayTasks() int {
	n := 0
	for _, work := range m.ArrayUsage {
		n += work.Tasks
	}
	return n
}

// TeamStatus is how a scope stands against its budget.
type TeamStatus struct {
	Team            string `json:"team"`
	Class           string `json:"class,omitempty"`
	Budgeted        bool   `json:"budgeted"`
	Desired         int    `json:"desired"`
	Available       int    `json:"available"`
	MinAvailable    int    `json:"must_stay"`
	ReserveMachines int    `json:"reserve_machines"`
	WorstLoss       int    `json:"lost_with_reserve"`
}

// Teams lists how all scopes with services stand against their budgets.
func (p *Policy) Teams(s *Snapshot) []TeamStatus {
	counted := p.availabilityByScope(s)
	byName := map[string]*Availability{}
	for scope, a := range counted {
		byName[scope.String()] = a
	}
	var out []TeamStatus
	for _, name := range sortedmap.Keys(byName) {
		a := byName[name]
		out = append(out, TeamStatus{
			Team: a.Scope.Team, Class: a.Scope.Class, Budgeted: a.Budgeted, Desired: a.Desired,
			Available:    a.Available,
			MinAvailable: a.MinAvailable, ReserveMachines: a.ReserveMachines, WorstLoss: a.worstLoss()})
	}
	return out
}
