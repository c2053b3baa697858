package scheduling

import (
	"sort"
	"strconv"

	"pipitgap/internal/resources"
)

// Victim is a running task that may be stopped for another.
type Victim struct {
	Job            string
	Task           int // its index
	Attempt        uint64
	Team           string
	Priority       int
	Need           resources.Vector
	LostCPUSeconds float64 // work that stopping it throws away
	SaveSeconds    float64 // how long it may take to save its work
}

// taskName names the task as messages to workers do.
func (v *Victim) taskName() string { return v.Job + "/" + strconv.Itoa(v.Task) }

// VictimRequest is a task that room is to be made for on one machine.
type VictimRequest struct {
	Need     resources.Vector
	Service  bool
	Priority int
	Free     resources.Vector // on the machine
	// ExceedsGuarantee reports whether a team uses more than its guarantee, less what is to be stopped of it.
	ExceedsGuarantee func(team string, less resources.Vector) bool
}

// VictimSelection is which tasks make the room, and what that costs.
type VictimSelection struct {
	Victims        []Victim
	LostCPUSeconds float64
}

// Select picks the tasks whose stop makes room for one task with the least work lost, and reports whether any
// do. It sorts candidates. A service preempts what has a lower priority; all else only takes back what a team
// has beyond its guarantee.
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

// sortByLoss puts the tasks first whose stop throws away the least work.
func sortByLoss(victims []Victim) {
	sort.Slice(victims, func(a, b int) bool {
		if victims[a].LostCPUSeconds != victims[b].LostCPUSeconds {
			return victims[a].LostCPUSeconds < victims[b].LostCPUSeconds
		}
		return victims[a].taskName() < victims[b].taskName()
	})
}

// ScavengerSelection is which tasks of the scavenger class are stopped, and for how many tasks that makes
// room.
type ScavengerSelection struct {
	Victims []Victim
	Tasks   int
}

// SaveSeconds is how long the slowest of them may take to save its work.
func (s *ScavengerSelection) SaveSeconds() float64 {
	longest := 0.0
	for _, victim := range s.Victims {
		longest = max(longest, victim.SaveSeconds)
	}
	return longest
}

// SelectScavengers stops as many of the candidates tasks, which it sorts, the last tasks of a job first, as
// make room beside what is free for up to want tasks of a need.
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
