package daemon

import (
	"pipitgap/internal/peers"
	"pipitgap/internal/peerwire"
	"pipitgap/internal/transport"
)

// encodePeerFrame returns the frame that sends a status to another controller.
func encodePeerFrame(status *peers.Status) ([]byte, error) {
	frame := peers.Frame(status)
	return transport.EncodeFrame(&frame)
}

// decodePeerFrame reads what encodePeerFrame has written, without the frame's length.
func decodePeerFrame(encoded []byte) (peers.Status, error) {
	var frame peerwire.Hint
	if err := transport.DecodeFrame(encoded, &frame); err != nil {
		return peers.Status{}, err
	}
	return peers.FromFrame(&frame), nil
}
