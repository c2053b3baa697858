package drain

import (
	"fmt"
	"slices"

	"pipitgap/internal/config"
	"pipitgap/internal/sortedmap"
)

// Policy decides on drains according to the operators' settings.
type Policy struct{ settings *config.DrainSettings }

// NewPolicy returns the policy for settings whose defaults are already filled in.
func NewPolicy(settings *config.DrainSettings) *Policy { return &Policy{settings} }

// Scope is the set of services that a budget counts: all services of a team, or those of one class.
type Scope struct {
	Team  string
	Class string // "": all classes
}

// String returns the team, and the class if the scope has one, as it appears in reasons of blockages.
func (s Scope) String() string {
	if s.Class == "" {
		return "team " + s.Team
	}
	return "team " + s.Team + ", class " + s.Class
}

// budgetFor returns the budget of a scope, or false if the settings have none.
func (p *Policy) budgetFor(scope Scope) (*config.DisruptionBudget, bool) {
	for i := range p.settings.Budgets {
		budget := &p.settings.Budgets[i]
		if budget.Team == scope.Team && budget.Class == scope.Class {
			return budget, true
		}
	}
	return nil, false
}

// Budgeted reports whether a team's services of a class have a budget: that of the class or that of the team.
func (p *Policy) Budgeted(team, class string) bool {
	_, teamBudgeted := p.budgetFor(Scope{Team: team})
	_, classBudgeted := p.budgetFor(Scope{Team: team, Class: class})
	return teamBudgeted || classBudgeted
}

// defaultBudget returns the budget of services without one in the settings: how many replicas may be
// unavailable at a time.
func (p *Policy) defaultBudget() *config.DisruptionBudget {
	return &config.DisruptionBudget{
		MaxUnavailable: &config.CountOrPercent{Value: p.settings.DefaultMaxUnavailable},
	}
}

// scopesOf lists the scopes that a job's replicas count in. These are the scopes of its team and of its class
// that have a budget. If neither has one, it is the scope of the class, with the default budget.
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

// Availability compares the available replicas of a scope with its budget.
type Availability struct {
	Scope           Scope
	Budgeted        bool           // false: the default budget applies
	Desired         int            // replicas that the scope's jobs should have
	Available       int            // replicas that are running, reachable and not under a permit
	MinAvailable    int            // replicas that must stay available
	ReserveMachines int            // sudden loss of that many machines must leave MinAvailable replicas
	onMachine       map[string]int // available replicas by machine
}

// availabilityByScope counts the replicas of all scopes in a snapshot.
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

// countMachine adds the available replicas of a machine to their scopes.
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

// setBounds sets the minimum and the reserve that a scope's budget requires. The default budget has no
// reserve.
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

// worstLoss returns the largest number of replicas that the loss of ReserveMachines machines can take: the
// replicas on the machines that hold most of them.
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

// floorKept reports whether MinAvailable replicas remain even if ReserveMachines machines are lost.
func (a *Availability) floorKept() bool { return a.Available-a.worstLoss() >= a.MinAvailable }

// stop counts one available replica on a machine as stopped.
func (a *Availability) stop(machine string) {
	a.Available--
	a.onMachine[machine]--
}

// restore reverts stop.
func (a *Availability) restore(machine string) {
	a.Available++
	a.onMachine[machine]++
}

// allowsStop reports whether the budget allows stopping one more replica on a machine. If not, reason says
// why.
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
