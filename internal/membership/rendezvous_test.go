package membership

import (
	"testing"

	"pipitgap/internal/mirror"
)

// TestRendezvousOwnerIsStableAndBalanced: machines spread over the live controllers, and only those of one
// that has gone move.
func TestRendezvousOwnerIsStableAndBalanced(t *testing.T) {
	all := []string{"n-0", "n-1", "n-2"}
	count := map[string]int{}
	for i := 0; i < 300; i++ {
		id := mirror.TaskID{Job: "i", Index: i}.String()
		destination := RendezvousOwner(id, all)
		count[destination]++
		if destination != "n-1" && RendezvousOwner(id, []string{"n-0", "n-2"}) != destination {
			t.Fatalf("%s moved from %s", id, destination)
		}
	}
	for _, node := range all {
		if count[node] < 60 {
			t.Errorf("%s is home to %d of 300", node, count[node])
		}
	}
}

// TestRendezvousOwnerOfFewControllers: one controller owns all keys, without any a key has no owner, and the
// order of controllers doesn't matter.
func TestRendezvousOwnerOfFewControllers(t *testing.T) {
	cases := []struct {
		name        string
		controllers []string
		want        string
	}{
		{"none", nil, ""},
		{"one", []string{"n-0"}, "n-0"},
		{"two", []string{"n-0", "n-1"}, RendezvousOwner("key", []string{"n-1", "n-0"})},
	}
	for _, tc := range cases {
		if got := RendezvousOwner("key", tc.controllers); got != tc.want {
			t.Errorf("%s: %q, want %q", tc.name, got, tc.want)
		}
	}
}

// TestRendezvousOwnerIsFrozen: controllers of two versions must agree on the owner of a key while they run side
// by side.
func TestRendezvousOwnerIsFrozen(t *testing.T) {
	controllers := []string{"n-0", "n-1", "n-2"}
	owners := map[string]string{
		"i-000001":     "n-0",
		"i-000002":     "n-1",
		"i-000003":     "n-1",
		"j-1":          "n-2",
		"p0":           "n-0",
		"permits/free": "n-0",
	}
	for key, want := range owners {
		if got := RendezvousOwner(key, controllers); got != want {
			t.Errorf("%s belongs to %s, want %s", key, got, want)
		}
	}
}
