package drain

import (
	"math"

	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// Progress is the state of a drain, with the machines that it still has to empty and what blocks it.
type Progress struct {
	Name      string             `json:"name"`
	State     storage.DrainState `json:"state"`
	Reason    string             `json:"reason,omitempty"`
	Revision  uint64             `json:"revision"` // of the state service
	Machines  []MachineProgress  `json:"machines"`
	Permits   int                `json:"permits"` // moves in progress
	Blocked   []Blockage         `json:"blocked,omitempty"`
	StartedAt int64              `json:"started_at_us"`         // wall clock
	EndedAt   int64              `json:"ended_at_us,omitempty"` // wall clock; 0: not ended
}

// MachineProgress is a machine of a drain that hasn't been deleted yet.
type MachineProgress struct {
	ID           string `json:"id"`
	State        string `json:"state"`
	Replicas     int    `json:"replicas"`
	ArrayTasks   int    `json:"array_tasks"`
	BeingEmptied bool   `json:"being_emptied"`
}

// stateNames maps each machine state to the name that operators see.
var stateNames = map[storage.MachineState]string{
	storage.MachineOpen:        "open",
	storage.MachineUnreachable: "out of reach",
	storage.MachineCordoned:    "cordoned",
	storage.MachineDraining:    "about to be taken by the cloud",
	storage.MachineRemoving:    "being given back",
}

// Progress returns the progress of a drain. live reports whether a controller is a member of the cluster.
func (p *Policy) Progress(s *Snapshot, record *DrainRecord, live func(string) bool) *Progress {
	progress := &Progress{Name: record.Name, State: record.State, Reason: record.Reason, Revision: s.Revision,
		Machines: []MachineProgress{}, StartedAt: record.StartedAt, EndedAt: record.EndedAt}
	if !record.State.Unfinished() {
		return progress
	}
	progress.Machines = s.machineProgress(record)
	progress.Permits = s.countPermits(record.Name)
	observer := &Controller{
		Live:           live,
		Responsible:    func(string) bool { return false },
		MaxRecordBytes: math.MaxInt,
	}
	for _, blockage := range p.Decide(s, observer).Blocked {
		if blockage.Drain == record.Name {
			progress.Blocked = append(progress.Blocked, blockage)
		}
	}
	return progress
}

// machineProgress lists the machines of a drain that haven't been deleted yet.
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

// countPermits returns the number of permits of a drain, over all teams.
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

// arrayTasks returns the number of array tasks on a machine.
func (m *Machine) arrayTasks() int {
	count := 0
	for _, usage := range m.ArrayUsage {
		count += usage.Tasks
	}
	return count
}

// ScopeStatus compares the available replicas of a scope with its budget, for operators.
type ScopeStatus struct {
	Team            string `json:"team"`
	Class           string `json:"class,omitempty"`
	Budgeted        bool   `json:"budgeted"`          // false: the default budget applies
	Desired         int    `json:"desired"`           // replicas that the scope's jobs should have
	Available       int    `json:"available"`         // replicas
	MinAvailable    int    `json:"must_stay"`         // replicas that must stay available
	ReserveMachines int    `json:"reserve_machines"`  // machines whose sudden loss the budget must survive
	WorstLoss       int    `json:"lost_with_reserve"` // replicas on the ReserveMachines machines that hold most
}

// ScopeStatuses returns the status of every scope that has services, sorted by the scope's name.
func (p *Policy) ScopeStatuses(s *Snapshot) []ScopeStatus {
	byScope := p.availabilityByScope(s)
	byName := map[string]*Availability{}
	for scope, availability := range byScope {
		byName[scope.String()] = availability
	}
	var statuses []ScopeStatus
	for _, name := range sortedmap.Keys(byName) {
		availability := byName[name]
		statuses = append(statuses, ScopeStatus{
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
