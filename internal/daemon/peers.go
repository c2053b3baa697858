package daemon

import (
	"pipitgap/internal/peers"
	"pipitgap/internal/peerwire"
	"pipitgap/internal/transport"
)

// encodePeerFrame encodes a status as a frame, including the frame's length field.
func encodePeerFrame(status *peers.Status) ([]byte, error) {
	frame := peers.ToFrame(status)
	return transport.EncodeFrame(&frame)
}

// decodePeerFrame decodes a status from a frame of encodePeerFrame without its length field.
func decodePeerFrame(encoded []byte) (peers.Status, error) {
	var frame peerwire.Hint
	if err := transport.DecodeFrame(encoded, &frame); err != nil {
		return peers.Status{}, err
	}
	return peers.StatusFromFrame(&frame), nil
}
