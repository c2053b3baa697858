package drain

import (
	"fmt"
	"slices"

	"pipitgap/internal/config"
	"pipitgap/internal/sortedmap"
)

// Policy has the operators' settings for drains.
type Policy struct{ settings *config.DrainSettings }

// NewPolicy takes the settings, whose defaults are filled in.
func NewPolicy(settings *config.DrainSettings) *Policy { return &Policy{settings} }

// Scope is what a budget counts: a team's services, or those of one class.
type Scope struct {
	Team  string
	Class string // "": all classes
}

// String names the team, and the class if the scope is of one, as refusals and the drain commands show it.
func (s Scope) String() string {
	if s.Class == "" {
		return "team " + s.Team
	}
	return "team " + s.Team + ", class " + s.Class
}

// budgetFor returns the budget of a scope that has one.
func (p *Policy) budgetFor(scope Scope) (*config.DisruptionBudget, bool) {
	for i := range p.settings.Budgets {
		budget := &p.settings.Budgets[i]
		if budget.Team == scope.Team && budget.Class == scope.Class {
			return budget, true
		}
	}
	return nil, false
}

// Budgeted reports whether a team's services of a class have a budget of their own or of their team.
func (p *Policy) Budgeted(team, class string) bool {
	_, teamBudgeted := p.budgetFor(Scope{Team: team})
	_, classBudgeted := p.budgetFor(Scope{Team: team, Class: class})
	return teamBudgeted || classBudgeted
}

// defaultBudget is the pace at which services without a budget are moved.
func (p *Policy) defaultBudget() *config.DisruptionBudget {
	return &config.DisruptionBudget{
		MaxUnavailable: &config.CountOrPercent{Value: p.settings.DefaultMaxUnavailable},
	}
}

// scopesOf lists the scopes that a job's replicas count in: its team's and its class's, as far as they have a
// budget; its class's, with the default budget, if neither has one.
func (p *Policy) scopesOf(job *Job) []Scope {
	var scopes []Scope
	for _, scope := range []Scope{{Team: job.Team}, {Team: job.Team, Class: job.Class}} {
		if _, ok := p.budgetFor(scope); ok {
			scopes = append(scopes, scope)
		}
	}
	if len(scopes) == 0 {
		scopes = append(scopes, Scope{Team: job.Team, Class: job.Class})
	}
	return scopes
}

// Availability is a scope's replicas against its budget.
type Availability struct {
	Scope           Scope
	Budgeted        bool // false: the default pace
	Desired         int  // replicas that its jobs should have
	Available       int  // replicas that run, are reachable, and are under no permit
	MinAvailable    int  // replicas that must stay available
	ReserveMachines int  // machines whose sudden loss must leave the floor intact
	onMachine       map[string]int
}

// availabilityByScope counts the replicas of all scopes of a snapshot.
func (p *Policy) availabilityByScope(s *Snapshot) map[Scope]*Availability {
	byScope := map[Scope]*Availability{}
	for _, id := range sortedmap.Keys(s.jobs) {
		job := s.jobs[id]
		if job.Failing {
			continue
		}
		for _, scope := range p.scopesOf(job) {
			if byScope[scope] == nil {
				byScope[scope] = &Availability{Scope: scope, onMachine: map[string]int{}}
			}
			byScope[scope].Desired += job.Replicas
		}
	}
	s.ForEachMachine(func(machine *Machine) bool {
		p.countMachine(s, machine, byScope)
		return true
	})
	for _, availability := range byScope {
		p.setBounds(availability)
	}
	return byScope
}

// countMachine counts a machine's available replicas.
func (p *Policy) countMachine(s *Snapshot, machine *Machine, byScope map[Scope]*Availability) {
	if !machine.reachable() {
		return
	}
	for _, replica := range machine.Replicas {
		job, known := s.jobs[replica.Job]
		if !known || job.Failing || replica.Starting || replica.UnderPermit {
			continue
		}
		for _, scope := range p.scopesOf(job) {
			byScope[scope].Available++
			byScope[scope].onMachine[machine.ID]++
		}
	}
}

// setBounds works out what a scope's budget requires.
func (p *Policy) setBounds(availability *Availability) {
	budget, budgeted := p.budgetFor(availability.Scope)
	availability.Budgeted = budgeted
	if !budgeted {
		budget = p.defaultBudget()
	}
	availability.MinAvailable = max(0, budget.MinAvailableOf(availability.Desired))
	availability.ReserveMachines = *p.settings.DefaultReserveMachines
	if budget.ReserveMachines != nil {
		availability.ReserveMachines = *budget.ReserveMachines
	}
	if !budgeted {
		availability.ReserveMachines = 0
	}
}

// worstLoss is how many replicas are lost at most if as many machines are lost as the reserve covers.
func (a *Availability) worstLoss() int {
	if a.ReserveMachines == 0 {
		return 0
	}
	counts := make([]int, 0, len(a.onMachine))
	for _, n := range a.onMachine {
		counts = append(counts, n)
	}
	slices.SortFunc(counts, func(x, y int) int { return y - x })
	lost := 0
	for _, n := range counts[:min(a.ReserveMachines, len(counts))] {
		lost += n
	}
	return lost
}

// floorKept reports whether the budget is kept even if the reserve's machines are lost.
func (a *Availability) floorKept() bool { return a.Available-a.worstLoss() >= a.MinAvailable }

// stop counts a replica on a machine as stopped.
func (a *Availability) stop(machine string) {
	a.Available--
	a.onMachine[machine]--
}

// restore counts it as available again.
func (a *Availability) restore(machine string) {
	a.Available++
	a.onMachine[machine]++
}

// allowsStop reports whether a further replica on a machine may be stopped, and if not, why.
func (a *Availability) allowsStop(machine string) (reason string, ok bool) {
	if a.Available <= a.MinAvailable {
		return fmt.Sprintf("%s: %d of %d replicas are available, %d must stay",
			a.Scope, a.Available, a.Desired, a.MinAvailable), false
	}
	a.stop(machine)
	defer a.restore(machine)
	if a.floorKept() {
		return "", true
	}
	return fmt.Sprintf("%s: %d of %d replicas would be available, "+
		"and %d without the %d fullest of its machines (reserve); %d must stay",
		a.Scope, a.Available, a.Desired, a.Available-a.worstLoss(), a.ReserveMachines, a.MinAvailable), false
}
