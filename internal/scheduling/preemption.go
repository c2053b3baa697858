package scheduling

import (
	"sort"
	"strconv"

	"pipitgap/internal/resources"
)

// Victim is a running task that may be preempted for another task.
type Victim struct {
	Job            string
	Task           int // index of the task in its job
	Attempt        uint64
	Team           string
	Priority       int
	Need           resources.Vector
	LostCPUSeconds float64 // work that is lost if the task is stopped
	SaveSeconds    float64 // maximum time that the task takes to save its work
}

// taskName returns the task's name in the format that messages to workers use.
func (v *Victim) taskName() string { return v.Job + "/" + strconv.Itoa(v.Task) }

// VictimRequest describes a task for which tasks on one machine are to be preempted.
type VictimRequest struct {
	Need     resources.Vector
	Service  bool
	Priority int
	Free     resources.Vector // free resources of the machine
	// ExceedsGuarantee reports whether a team's usage, after deducting less, exceeds the team's guarantee.
	ExceedsGuarantee func(team string, less resources.Vector) bool
}

// VictimSelection holds the tasks to preempt and the CPU seconds of work that this loses.
type VictimSelection struct {
	Victims        []Victim
	LostCPUSeconds float64
}

// Select selects candidates to preempt for one task, those with the least lost work first. ok is true if any
// task is selected and the selected tasks make enough room. Select sorts candidates. A service may preempt
// any task of lower priority. All other preemption is limited to what a team uses beyond its guarantee.
func (r *VictimRequest) Select(candidates []Victim) (selection VictimSelection, ok bool) {
	sortByLoss(candidates)
	free, stoppedByTeam := r.Free, map[string]resources.Vector{}
	for _, victim := range candidates {
		if r.Need.FitsIn(free) {
			break
		}
		if !r.Service || victim.Priority >= r.Priority {
			if !r.ExceedsGuarantee(victim.Team, stoppedByTeam[victim.Team]) {
				continue
			}
			stoppedByTeam[victim.Team] = stoppedByTeam[victim.Team].Plus(victim.Need)
		}
		free = free.Plus(victim.Need)
		selection.LostCPUSeconds += victim.LostCPUSeconds
		selection.Victims = append(selection.Victims, victim)
	}
	return selection, r.Need.FitsIn(free) && len(selection.Victims) > 0
}

// sortByLoss sorts tasks by the work that is lost if they are stopped, least first.
func sortByLoss(victims []Victim) {
	sort.Slice(victims, func(a, b int) bool {
		if victims[a].LostCPUSeconds != victims[b].LostCPUSeconds {
			return victims[a].LostCPUSeconds < victims[b].LostCPUSeconds
		}
		return victims[a].taskName() < victims[b].taskName()
	})
}

// ScavengerSelection holds the scavenger tasks to stop and the number of tasks that get room.
type ScavengerSelection struct {
	Victims []Victim
	Tasks   int
}

// SaveSeconds returns the maximum time that any of the victims takes to save its work.
func (s *ScavengerSelection) SaveSeconds() float64 {
	longest := 0.0
	for _, victim := range s.Victims {
		longest = max(longest, victim.SaveSeconds)
	}
	return longest
}

// SelectScavengers selects candidates to stop until the resources that they hold and the free resources have
// room for wantTasks tasks. need is the resources of each of these tasks. If the candidates don't suffice,
// fewer tasks get room. SelectScavengers sorts candidates and selects the last tasks of a job first.
func SelectScavengers(candidates []Victim, need, free resources.Vector, wantTasks int) ScavengerSelection {
	sort.Slice(candidates, func(a, b int) bool {
		x, y := &candidates[a], &candidates[b]
		return x.Job < y.Job || x.Job == y.Job && x.Task > y.Task
	})
	victimCount, tasks := 0, 0
	for tasks < wantTasks {
		nextCount, available := victimCount, free
		for nextCount < len(candidates) && !need.FitsIn(available) {
			available = available.Plus(candidates[nextCount].Need)
			nextCount++
		}
		if nextCount == victimCount || !need.FitsIn(available) {
			break
		}
		victimCount, free = nextCount, available.Minus(need)
		tasks++
	}
	return ScavengerSelection{Victims: candidates[:victimCount], Tasks: tasks}
}
