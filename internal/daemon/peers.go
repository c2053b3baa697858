package daemon

import (
	"pipitgap/internal/coordination"
	"pipitgap/internal/peerwire"
	"pipitgap/internal/transport"
)

// encodePeerFrame returns the frame that sends a status to another controller.
func encodePeerFrame(status *coordination.PeerStatus) ([]byte, error) {
	frame := coordination.PeerFrame(status)
	return transport.EncodeFrame(&frame)
}

// decodePeerFrame reads what encodePeerFrame has written, without the frame's length.
func decodePeerFrame(encoded []byte) (coordination.PeerStatus, error) {
	var frame peerwire.Hint
	if err := transport.DecodeFrame(encoded, &frame); err != nil {
		return coordination.PeerStatus{}, err
	}
	return coordination.FromPeerFrame(&frame), nil
}
