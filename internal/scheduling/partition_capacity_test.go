package scheduling

import (
	"testing"

	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

func TestPartitionCapacity(t *testing.T) {
	capacity := NewPartitionCapacity()
	add := func(partition, id string, cpus float64, image string, spot bool) {
		capacity.Add(partition, MachineRoom{
			MachineID:    id,
			Record:       &storage.ShardMachine{Zone: "a", Spot: spot},
			Free:         resources.Vector{CPUs: cpus},
			CachedImages: map[string]bool{image: true},
		})
	}
	add("n-0", "i-1", 8, "x", false)
	add("n-0", "i-2", 3, "y", false)
	add("n-0", "i-3", 8, "x", true)
	add("n-1", "i-4", 1, "x", false)
	add("n-1", "i-5", 0, "y", false)
	need := resources.Vector{CPUs: 2}
	for _, tc := range []struct {
		name                              string
		spec                              storage.JobSpec
		partition                         string
		tasks, tasksWithImage             int
		preemptible, preemptibleWithImage int
	}{
		{"ordinary machines", storage.JobSpec{Image: "x"}, "n-0", 5, 4, 2, 1},
		{"ordinary and spot machines", storage.JobSpec{Image: "x", Spot: true}, "n-0", 9, 8, 3, 2},
		{"room by preemption", storage.JobSpec{Image: "x"}, "n-1", 0, 0, 1, 1},
		{"another zone", storage.JobSpec{Image: "x", Zone: "b"}, "n-0", 0, 0, 0, 0},
		{"unknown partition", storage.JobSpec{Image: "x"}, "n-2", 0, 0, 0, 0},
	} {
		fit := PreemptionFit{
			Spec: &tc.spec, Need: need,
			Freed: func(string) resources.Vector { return resources.Vector{CPUs: 1} },
		}
		withImage := fit
		withImage.RequireCachedImage = true
		got := [4]int{
			capacity.TasksFitting(&tc.spec, need, tc.partition),
			capacity.TasksFittingWithCachedImage(&tc.spec, need, tc.partition),
			capacity.MachinesAfterPreemption(tc.partition, fit),
			capacity.MachinesAfterPreemption(tc.partition, withImage),
		}
		if want := [4]int{tc.tasks, tc.tasksWithImage, tc.preemptible, tc.preemptibleWithImage}; got != want {
			t.Errorf("%s: got [tasks, tasks with image, preemptible machines, those with image] %v, want %v",
				tc.name, got, want)
		}
	}
}

func TestBestPartition(t *testing.T) {
	scoring := func(offers map[string]int) PartitionScore {
		return func(partition string) int { return offers[partition] }
	}
	for _, tc := range []struct {
		name   string
		scores []PartitionScore
		want   string
	}{
		{"highest value, first of equals",
			[]PartitionScore{scoring(map[string]int{"a": 1, "b": 2, "c": 2})}, "b"},
		{"first score with a positive value", []PartitionScore{scoring(nil), scoring(map[string]int{"c": 1}),
			scoring(map[string]int{"a": 9})}, "c"},
		{"no positive value: fallback", []PartitionScore{scoring(nil)}, "self"},
	} {
		if got := BestPartition([]string{"a", "b", "c"}, "self", tc.scores...); got != tc.want {
			t.Errorf("%s: got partition %s, want %s", tc.name, got, tc.want)
		}
	}
}
