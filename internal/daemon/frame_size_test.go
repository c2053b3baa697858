package daemon

import (
	"fmt"
	"strings"
	"testing"

	"pipitgap/internal/cancellation"
	"pipitgap/internal/monotime"
	"pipitgap/internal/peers"
)

// TestPeerStatusFitsFrame checks that each status fits into a frame between controllers, however many jobs
// were cancelled. A status that doesn't fit is dropped, and the worker leases of the receiver would expire as
// a result.
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
		t.Fatalf("got %d messages, want at least 5", len(messages))
	}
	total := 0
	for _, m := range messages {
		status := peers.Status{Node: "n-0", Incarnation: 1, FailingJobs: failing,
			TeamsShortOfQuota: []string{"a", "b"}, Cancellations: m}
		frame, err := encodePeerFrame(&status)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := decodePeerFrame(frame[frameLengthSize:])
		if err != nil {
			t.Fatal(err)
		}
		total += len(decoded.Cancellations.Committed)
	}
	if total != 5000 {
		t.Errorf("got %d cancellations, want 5000", total)
	}
}
