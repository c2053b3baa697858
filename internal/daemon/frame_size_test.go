package daemon

import (
	"fmt"
	"strings"
	"testing"

	"pipitgap/internal/cancellation"
	"pipitgap/internal/monotime"
	"pipitgap/internal/peers"
)

// TestPeerStatusFitsFrame: whatever has been cancelled, each status fits into a frame between
// controllers. One that doesn't is dropped, and the receiver's leases would end for it.
func TestPeerStatusFitsFrame(t *testing.T) {
	relay := cancellation.NewRelay(1, []string{"n-1"})
	failing := map[string]int{}
	for i := range 5000 {
		id := fmt.Sprintf("j-%s-%06d", strings.Repeat("x", 90), i)
		relay.Add(cancellation.Committed{Job: id, Revision: uint64(1_000_000_000 + i)})
		if i < 100 {
			failing[id] = i
		}
	}
	messages := relay.MessagesFor("n-1", monotime.Minute, 1, true)
	if len(messages) < 5 {
		t.Fatalf("%d messages", len(messages))
	}
	total := 0
	for _, m := range messages {
		status := peers.Status{Node: "n-0", Incarnation: 1, FailingJobs: failing,
			TeamsShortOfQuota: []string{"a", "b"}, Cancellations: m}
		frame, err := encodePeerFrame(&status)
		if err != nil {
			t.Fatal(err)
		}
		back, err := decodePeerFrame(frame[frameHead:])
		if err != nil {
			t.Fatal(err)
		}
		total += len(back.Cancellations.Committed)
	}
	if total != 5000 {
		t.Errorf("%d of 5000 cancellations arrive", total)
	}
}
