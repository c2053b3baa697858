package daemon

import (
	"pipitgap/internal/coordination"
	"pipitgap/internal/peerwire"
	"pipitgap/internal/transport"
)

// encodePeerFrame returns the frame that sends a status to another controller.
func encodePeerFrame(status *coordination.Hint) ([]byte, error) {
	frame := coordination.PeerFrame(status)
	return transport.EncodeFrame(&frame)
}

// decodePeerFrame reads what encodePeerFrame has written, without the frame's length.
func decodePeerFrame(encoded []byte) (coordination.Hint, error) {
	var frame peerwire.Hint
	if err := transport.DecodeFrame(encoded, &frame); err != nil {
		return coordination.Hint{}, err
	}
	return coordination.FromPeerFrame(&frame), nil
}
