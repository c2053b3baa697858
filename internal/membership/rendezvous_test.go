package membership

import (
	"testing"

	"pipitgap/internal/mirror"
)

// TestRendezvousOwnerIsStableAndBalanced: each of three controllers owns at least 60 of 300 keys. After the
// removal of one controller only its keys change their owner.
func TestRendezvousOwnerIsStableAndBalanced(t *testing.T) {
	all := []string{"n-0", "n-1", "n-2"}
	count := map[string]int{}
	for i := 0; i < 300; i++ {
		id := mirror.TaskID{Job: "i", Index: i}.String()
		destination := RendezvousOwner(id, all)
		count[destination]++
		if destination != "n-1" && RendezvousOwner(id, []string{"n-0", "n-2"}) != destination {
			t.Fatalf("%s: got a new owner without n-1, want %s as before", id, destination)
		}
	}
	for _, node := range all {
		if count[node] < 60 {
			t.Errorf("%s: got %d of 300 keys, want at least 60", node, count[node])
		}
	}
}

// TestRendezvousOwnerOfFewControllers: without controllers a key has no owner, and a single controller owns
// every key. The order of the controllers doesn't matter.
func TestRendezvousOwnerOfFewControllers(t *testing.T) {
	cases := []struct {
		name        string
		controllers []string
		want        string
	}{
		{"no controller", nil, ""},
		{"one controller", []string{"n-0"}, "n-0"},
		{"two controllers in reverse order", []string{"n-0", "n-1"}, RendezvousOwner("key", []string{"n-1", "n-0"})},
	}
	for _, tc := range cases {
		if got := RendezvousOwner("key", tc.controllers); got != tc.want {
			t.Errorf("%s: got owner %q, want %q", tc.name, got, tc.want)
		}
	}
}

// TestRendezvousOwnerIsFrozen: the owner of a key must not change between versions, because controllers of
// two versions run side by side during an update.
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
			t.Errorf("%s: got owner %s, want %s", key, got, want)
		}
	}
}
