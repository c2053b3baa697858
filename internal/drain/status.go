package drain

import (
	"math"

	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// Progress is how far a drain has come.
type Progress struct {
	Name      string             `json:"name"`
	State     storage.DrainState `json:"state"`
	Reason    string             `json:"reason,omitempty"`
	Revision  uint64             `json:"revision"` // of the state service
	Machines  []MachineProgress  `json:"machines"`
	Permits   int                `json:"permits"` // moves in progress
	Blocked   []Blockage         `json:"blocked,omitempty"`
	StartedAt int64              `json:"started_at_us"`         // time of day
	EndedAt   int64              `json:"ended_at_us,omitempty"` // time of day; 0: not yet
}

// MachineProgress is a machine of a drain that isn't terminated yet.
type MachineProgress struct {
	ID           string `json:"id"`
	State        string `json:"state"`
	Replicas     int    `json:"replicas"`
	ArrayTasks   int    `json:"array_tasks"`
	BeingEmptied bool   `json:"being_emptied"`
}

// stateNames are the states of a machine as operators read them.
var stateNames = map[storage.MachineState]string{
	storage.MachineOpen:        "open",
	storage.MachineUnreachable: "out of reach",
	storage.MachineCordoned:    "cordoned",
	storage.MachineDraining:    "about to be taken by the cloud",
	storage.MachineRemoving:    "being given back",
}

// Progress returns how far a drain has come, and what it waits for.
func (p *Policy) Progress(s *Snapshot, record *DrainRecord, live func(string) bool) *Progress {
	progress := &Progress{Name: record.Name, State: record.State, Reason: record.Reason, Revision: s.Revision,
		Machines: []MachineProgress{}, StartedAt: record.StartedAt, EndedAt: record.EndedAt}
	if !record.State.Unfinished() {
		return progress
	}
	progress.Machines = s.machineProgress(record)
	progress.Permits = s.countPermits(record.Name)
	observer := &Controller{
		Live:        live,
		Responsible: func(string) bool { return false },
		RecordBytes: math.MaxInt,
	}
	for _, blockage := range p.Decide(s, observer).Blocked {
		if blockage.Drain == record.Name {
			progress.Blocked = append(progress.Blocked, blockage)
		}
	}
	return progress
}

// machineProgress lists the machines of a drain that aren't terminated yet.
func (s *Snapshot) machineProgress(record *DrainRecord) []MachineProgress {
	beingEmptied := map[string]bool{}
	if record.State == storage.DrainActive {
		for _, id := range s.MachinesBeingEmptied(record) {
			beingEmptied[id] = true
		}
	}
	machines := []MachineProgress{}
	for _, id := range s.Selected(&record.Drain) {
		machine, _ := s.Machine(id)
		machines = append(machines, MachineProgress{
			ID:           id,
			State:        stateNames[machine.State],
			Replicas:     len(machine.Replicas),
			ArrayTasks:   machine.arrayTasks(),
			BeingEmptied: beingEmptied[id],
		})
	}
	return machines
}

// countPermits counts the permits of a drain.
func (s *Snapshot) countPermits(drain string) int {
	count := 0
	for _, team := range s.permits {
		for _, permit := range team.Permits {
			if permit.Drain == drain {
				count++
			}
		}
	}
	return count
}

// arrayTasks counts the array tasks on a machine.
func (m *Machine) arrayTasks() int {
	count := 0
	for _, usage := range m.ArrayUsage {
		count += usage.Tasks
	}
	return count
}

// TeamStatus is a scope's availability against its budget.
type TeamStatus struct {
	Team            string `json:"team"`
	Class           string `json:"class,omitempty"`
	Budgeted        bool   `json:"budgeted"`  // false: the default pace
	Desired         int    `json:"desired"`   // replicas that its jobs should have
	Available       int    `json:"available"` // replicas
	MinAvailable    int    `json:"must_stay"` // replicas
	ReserveMachines int    `json:"reserve_machines"`
	WorstLoss       int    `json:"lost_with_reserve"` // replicas on as many of its fullest machines
}

// Teams lists the availability of all scopes with services, by their names.
func (p *Policy) Teams(s *Snapshot) []TeamStatus {
	byScope := p.availabilityByScope(s)
	byName := map[string]*Availability{}
	for scope, availability := range byScope {
		byName[scope.String()] = availability
	}
	var statuses []TeamStatus
	for _, name := range sortedmap.Keys(byName) {
		availability := byName[name]
		statuses = append(statuses, TeamStatus{
			Team:            availability.Scope.Team,
			Class:           availability.Scope.Class,
			Budgeted:        availability.Budgeted,
			Desired:         availability.Desired,
			Available:       availability.Available,
			MinAvailable:    availability.MinAvailable,
			ReserveMachines: availability.ReserveMachines,
			WorstLoss:       availability.worstLoss(),
		})
	}
	return statuses
}
