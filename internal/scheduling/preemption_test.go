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

// TestSelectVictims: the least loss that makes room; a service takes any lower priority, all else only what a
// team has beyond its guarantee.
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
		{"nothing to stop", true, 0, 0, nil, nil, 0, false},
		{"room is there: no victim", true, 4, 0, []Victim{victim(1, 0, 4, 1, "x")}, nil, 0, false},
		{"the least loss", true, 0, 0, []Victim{victim(1, 0, 4, 9, "x"), victim(2, 0, 4, 1, "x")},
			[]string{"j/2"}, 1, true},
		{"equal losses by name", true, 0, 0, []Victim{victim(9, 0, 4, 1, "x"), victim(10, 0, 4, 1, "x")},
			[]string{"j/10"}, 1, true},
		{"with what is free", true, 2, 0, []Victim{victim(1, 0, 1, 1, "x"), victim(2, 0, 2, 2, "x")},
			[]string{"j/1", "j/2"}, 3, true},
		{"not enough", true, 0, 0, []Victim{victim(1, 0, 3, 1, "x")}, []string{"j/1"}, 1, false},
		{"its like only beyond the guarantee", true, 0, 0, []Victim{victim(1, 2, 4, 1, "x")}, nil, 0, false},
		{"beyond the guarantee", true, 0, 1, []Victim{victim(1, 2, 4, 1, "x")}, []string{"j/1"}, 1, true},
		{"an array: lower priority isn't enough", false, 0, 0, []Victim{victim(1, 0, 4, 1, "x")}, nil, 0, false},
		{"no more of a team than is beyond", false, 0, 2,
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
			t.Errorf("%s: %v, %v lost, %v", tc.name, taskNames(got.Victims), got.LostCPUSeconds, ok)
		}
	}
}

// TestSelectScavengers: as few as make room, the last tasks of a job first, for no more tasks than are
// wanted.
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
		{"nothing runs", nil, 0, 1, nil, 0, 0},
		{"room is there", running(2, 4), 4, 1, nil, 0, 0},
		{"one for one", running(2, 4), 0, 1, []string{"j/1"}, 1, 1},
		{"with what is free", running(9, 1), 2, 1, []string{"j/8", "j/7"}, 1, 8},
		{"for several", running(3, 4), 0, 2, []string{"j/2", "j/1"}, 2, 2},
		{"as many as there are", running(2, 4), 0, 9, []string{"j/1", "j/0"}, 2, 1},
		{"no half room", running(3, 2), 0, 2, []string{"j/2", "j/1"}, 1, 2},
		{"too little", running(1, 2), 0, 1, nil, 0, 0},
		{"what is left of a larger one is used", running(1, 6), 2, 2, []string{"j/0"}, 1, 0},
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
				"%s: %v for %d tasks, %v s",
				tc.name,
				taskNames(got.Victims),
				got.Tasks,
				got.SaveSeconds(),
			)
		}
	}
}
