package daemon

import (
	"reflect"
	"testing"

	"pipitgap/internal/cancellation"
	"pipitgap/internal/fixtures"
	"pipitgap/internal/peers"
)

// frameLengthSize is the size of a frame's length field in bytes.
const frameLengthSize = 4

// TestPeerFrames checks that frames sent by an earlier version decode to the same values, and that these
// values encode to the same bytes. Maps have only one entry, because gob encodes map entries in random order.
func TestPeerFrames(t *testing.T) {
	full := peers.Status{
		Node: "n-0", Incarnation: 1 << 47, StateServiceReachable: true, WaitingUserRequests: 12,
		WorkerReach: peers.WorkersUnreachable,
		FailingJobs: map[string]int{"j-000017": 3}, TeamsShortOfQuota: []string{"wren", "pipit"},
		Cancellations: cancellation.RoundMessage{
			Incarnation: 1<<47 + 1, Clock: 60_000_001, EchoedIncarnation: 1<<46 + 2, EchoedClock: 59_000_002,
			MirrorRevision: 40_001, RecordsLoaded: true, Round: 77, MessagesInRound: 2,
			Committed: []cancellation.Committed{
				{Job: "j-000018", Revision: 40_002}, {Job: "j-000019", Revision: 40_003},
			},
		},
	}
	statuses := map[string]peers.Status{
		"hint":        full,
		"hint-sparse": {Node: "n-1", Incarnation: 5, WorkerReach: peers.WorkersReachable},
		"hint-unknown": {Node: "n-1", Incarnation: 5, WorkerReach: peers.WorkersUnknown,
			Cancellations: cancellation.RoundMessage{MessagesInRound: 1}},
	}
	for file, status := range statuses {
		t.Run(file, func(t *testing.T) {
			encoded, err := encodePeerFrame(&status)
			if err != nil {
				t.Fatal(err)
			}
			sent := fixtures.Bytes(t, "frames/"+file+".hex", encoded)
			decoded, err := decodePeerFrame(sent[frameLengthSize:])
			if err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(decoded, status) {
				t.Errorf("got %+v decoded, want %+v", decoded, status)
			}
			if file == "hint" {
				fixtures.AllSet(t, file, decoded)
			}
			reencoded, err := encodePeerFrame(&decoded)
			if err != nil {
				t.Fatal(err)
			}
			fixtures.Equal(t, file, sent, reencoded)
		})
	}
}
