package scheduling

import (
	"slices"
	"testing"

	"pipitgap/internal/resources"
)

func taskNames(victims []Victim) []string {
	var names []string
	for i := range victims {
		names = append(names, victims[i].taskName())
	}
	return names
}

// TestSelectVictims checks that Select loses the least work, that a service preempts any task of lower
// priority, and that all other preemption is limited to what a team uses beyond its guarantee.
func TestSelectVictims(t *testing.T) {
	victim := func(task, priority int, cpus, lost float64, team string) Victim {
		return Victim{
			Job:            "j",
			Task:           task,
			Team:           team,
			Priority:       priority,
			Need:           resources.Vector{CPUs: cpus},
			LostCPUSeconds: lost,
		}
	}
	for _, tc := range []struct {
		name       string
		service    bool
		free       float64
		exceeds    float64 // by how many CPUs each team exceeds its guarantee
		candidates []Victim
		want       []string
		loss       float64
		ok         bool
	}{
		{"no candidates", true, 0, 0, nil, nil, 0, false},
		{"enough room without victims", true, 4, 0, []Victim{victim(1, 0, 4, 1, "x")}, nil, 0, false},
		{"least lost work", true, 0, 0, []Victim{victim(1, 0, 4, 9, "x"), victim(2, 0, 4, 1, "x")},
			[]string{"j/2"}, 1, true},
		{"equal losses: first by name", true, 0, 0, []Victim{victim(9, 0, 4, 1, "x"), victim(10, 0, 4, 1, "x")},
			[]string{"j/10"}, 1, true},
		{"victims and free resources add up",
			true, 2, 0, []Victim{victim(1, 0, 1, 1, "x"), victim(2, 0, 2, 2, "x")},
			[]string{"j/1", "j/2"}, 3, true},
		{"candidates make too little room",
			true, 0, 0, []Victim{victim(1, 0, 3, 1, "x")}, []string{"j/1"}, 1, false},
		{"service, equal priority: team within its guarantee",
			true, 0, 0, []Victim{victim(1, 2, 4, 1, "x")}, nil, 0, false},
		{"service, equal priority: team beyond its guarantee",
			true, 0, 1, []Victim{victim(1, 2, 4, 1, "x")}, []string{"j/1"}, 1, true},
		{"array, lower priority: team within its guarantee",
			false, 0, 0, []Victim{victim(1, 0, 4, 1, "x")}, nil, 0, false},
		{"array: no more of each team than is beyond its guarantee", false, 0, 2,
			[]Victim{victim(1, 0, 2, 1, "x"), victim(2, 0, 2, 2, "x"), victim(3, 0, 2, 3, "y")},
			[]string{"j/1", "j/3"}, 4, true},
	} {
		request := VictimRequest{
			Need:     resources.Vector{CPUs: 4},
			Service:  tc.service,
			Priority: 2,
			Free:     resources.Vector{CPUs: tc.free},
			ExceedsGuarantee: func(_ string, less resources.Vector) bool {
				return tc.exceeds-less.CPUs > 0
			},
		}
		got, ok := request.Select(tc.candidates)
		if ok != tc.ok || got.LostCPUSeconds != tc.loss || !slices.Equal(taskNames(got.Victims), tc.want) {
			t.Errorf("%s: got victims %v, %v CPU seconds lost, ok %v; want %v, %v, %v",
				tc.name, taskNames(got.Victims), got.LostCPUSeconds, ok, tc.want, tc.loss, tc.ok)
		}
	}
}

// TestSelectScavengers checks that only as many tasks are stopped as make room for the wanted tasks, the last
// tasks of a job first.
func TestSelectScavengers(t *testing.T) {
	running := func(tasks int, cpus float64) []Victim {
		var victims []Victim
		for i := range tasks {
			victims = append(victims, Victim{
				Job: "j", Task: i, Need: resources.Vector{CPUs: cpus}, SaveSeconds: float64(i),
			})
		}
		return victims
	}
	for _, tc := range []struct {
		name       string
		candidates []Victim
		free       float64
		want       int
		victims    []string
		tasks      int
		save       float64
	}{
		{"no running tasks", nil, 0, 1, nil, 0, 0},
		{"enough room without victims", running(2, 4), 4, 1, nil, 0, 0},
		{"one victim makes room for one task", running(2, 4), 0, 1, []string{"j/1"}, 1, 1},
		{"victims and free resources add up", running(9, 1), 2, 1, []string{"j/8", "j/7"}, 1, 8},
		{"room for several tasks", running(3, 4), 0, 2, []string{"j/2", "j/1"}, 2, 2},
		{"fewer candidates than wanted", running(2, 4), 0, 9, []string{"j/1", "j/0"}, 2, 1},
		{"no victims for room that fits only part of a task",
			running(3, 2), 0, 2, []string{"j/2", "j/1"}, 1, 2},
		{"candidates make too little room", running(1, 2), 0, 1, nil, 0, 0},
		{"leftover room of a larger victim is used", running(1, 6), 2, 2, []string{"j/0"}, 1, 0},
	} {
		got := SelectScavengers(
			tc.candidates,
			resources.Vector{CPUs: 4},
			resources.Vector{CPUs: tc.free},
			tc.want,
		)
		if got.Tasks != tc.tasks || !slices.Equal(taskNames(got.Victims), tc.victims) ||
			got.SaveSeconds() != tc.save {
			t.Errorf(
				"%s: got victims %v, room for %d tasks, %v s to save; want %v, %d, %v",
				tc.name,
				taskNames(got.Victims),
				got.Tasks,
				got.SaveSeconds(),
				tc.victims,
				tc.tasks,
				tc.save,
			)
		}
	}
}
