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
