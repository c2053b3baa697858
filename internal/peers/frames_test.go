package peers

import (
	"reflect"
	"testing"

	"pipitgap/internal/fixtures"
	"pipitgap/internal/peerwire"
)

// TestPeerFrameKeepsAllFields: every field of a status is sent, and every field of a frame is
// received. That each goes into the right field is shown by the frames' fixtures in package daemon.
func TestPeerFrameKeepsAllFields(t *testing.T) {
	var status Status
	fixtures.Fill(&status)
	fixtures.AllSet(t, "status", status)
	frame := Frame(&status)
	fixtures.AllSet(t, "frame of the status", frame)
	if back := FromFrame(&frame); !reflect.DeepEqual(back, status) {
		t.Errorf("%+v comes back as %+v", status, back)
	}

	var received peerwire.Hint
	fixtures.Fill(&received)
	fixtures.AllSet(t, "received frame", received)
	status = FromFrame(&received)
	fixtures.AllSet(t, "status of the received frame", status)
	if again := Frame(&status); !reflect.DeepEqual(again, received) {
		t.Errorf("%+v is sent again as %+v", received, again)
	}
}
