package daemon

import (
	"reflect"
	"testing"

	"pipitgap/internal/cancellation"
	"pipitgap/internal/coordination"
	"pipitgap/internal/fixtures"
)

// frameHead is the length that stands before a frame's gob stream.
const frameHead = 4

// TestPeerFrames: frames that a controller of an earlier version has sent read as the same values,
// and are sent as the same bytes. Maps have one entry: gob sends them in any order.
func TestPeerFrames(t *testing.T) {
	full := coordination.Hint{
		Node: "n-0", Incarnation: 1 << 47, StoreOK: true, Users: 12, Reach: coordination.ReachLost,
		Failing: map[string]int{"j-000017": 3}, LackLimit: []string{"wren", "pipit"},
		Cancellations: cancellation.Message{
			Incarnation: 1<<47 + 1, Clock: 60_000_001, EchoIncarnation: 1<<46 + 2, EchoClock: 59_000_002, Watched: 40_001,
			Complete: true, Round: 77, Parts: 2,
			Committed: []cancellation.Committed{{Job: "j-000018", Revision: 40_002}, {Job: "j-000019", Revision: 40_003}},
		},
	}
	hints := map[string]coordination.Hint{
		"hint":         full,
		"hint-sparse":  {Node: "n-1", Incarnation: 5, Reach: coordination.ReachHeard},
		"hint-unknown": {Node: "n-1", Incarnation: 5, Reach: coordination.ReachUnknown, Cancellations: cancellation.Message{Parts: 1}},
	}
	for file, hint := range hints {
		t.Run(file, func(t *testing.T) {
			encoded, err := encodePeerFrame(&hint)
			if err != nil {
				t.Fatal(err)
			}
			sent := fixtures.Bytes(t, "frames/"+file+".hex", encoded)
			decoded, err := decodePeerFrame(sent[frameHead:])
			if err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(decoded, hint) {
				t.Errorf("reads as %+v, want %+v", decoded, hint)
			}
			if file == "hint" {
				fixtures.AllSet(t, file, decoded)
			}
			again, err := encodePeerFrame(&decoded)
			if err != nil {
				t.Fatal(err)
			}
			fixtures.Equal(t, file, sent, again)
		})
	}
}
