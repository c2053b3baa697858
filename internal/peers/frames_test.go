package peers

import (
	"reflect"
	"testing"

	"pipitgap/internal/fixtures"
	"pipitgap/internal/peerwire"
)

// TestPeerFrameKeepsAllFields: the conversion from a status to a frame and back loses no field, in either
// direction. The frame fixtures in package daemon check that each value is in the correct field.
func TestPeerFrameKeepsAllFields(t *testing.T) {
	var status Status
	fixtures.Fill(&status)
	fixtures.AllSet(t, "status", status)
	frame := ToFrame(&status)
	fixtures.AllSet(t, "frame of the status", frame)
	if back := StatusFromFrame(&frame); !reflect.DeepEqual(back, status) {
		t.Errorf("status after conversion to a frame and back: got %+v, want %+v", back, status)
	}

	var received peerwire.Hint
	fixtures.Fill(&received)
	fixtures.AllSet(t, "received frame", received)
	status = StatusFromFrame(&received)
	fixtures.AllSet(t, "status of the received frame", status)
	if again := ToFrame(&status); !reflect.DeepEqual(again, received) {
		t.Errorf("frame after conversion to a status and back: got %+v, want %+v", again, received)
	}
}
