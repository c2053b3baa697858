package transport

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
)

// Sizes of the frames between controllers. A frame is a length field followed by a body.
const (
	maxFrame        = 256 << 10 // maximum size of a body, in bytes
	frameLengthSize = 4         // size of the length field, in bytes; big-endian
)

// Errors about the size of a frame.
var (
	ErrFrameOutOfBounds = errors.New("peer frame length out of bounds")
	ErrFrameTooLarge    = errors.New("peer frame too large")
)

// frameReader splits a byte stream into frames, each a four-byte length field and a body.
type frameReader struct{ buf []byte }

// buffered returns the number of bytes received of an incomplete frame.
func (f *frameReader) buffered() int { return len(f.buf) }

// feed adds received bytes and calls onFrame with the body of each complete frame.
func (f *frameReader) feed(input []byte, onFrame func([]byte)) error {
	f.buf = append(f.buf, input...)
	for len(f.buf) >= frameLengthSize {
		n := int(binary.BigEndian.Uint32(f.buf))
		if n == 0 || n > maxFrame {
			return ErrFrameOutOfBounds
		}
		if len(f.buf) < frameLengthSize+n {
			return nil
		}
		onFrame(append([]byte(nil), f.buf[frameLengthSize:frameLengthSize+n]...))
		f.buf = append([]byte(nil), f.buf[frameLengthSize+n:]...)
	}
	return nil
}

// EncodeFrame encodes a value as a frame with a gob stream as its body. Every frame is a separate gob stream
// that includes its type information, so a frame can be decoded even if earlier frames were lost with a
// connection.
func EncodeFrame(v any) ([]byte, error) {
	var b bytes.Buffer
	b.Write(make([]byte, frameLengthSize))
	if err := gob.NewEncoder(&b).Encode(v); err != nil {
		return nil, err
	}
	out := b.Bytes()
	if len(out)-frameLengthSize > maxFrame {
		return nil, ErrFrameTooLarge
	}
	binary.BigEndian.PutUint32(out, uint32(len(out)-frameLengthSize))
	return out, nil
}

// DecodeFrame decodes the gob value in the body of a frame.
func DecodeFrame(frame []byte, v any) error {
	return gob.NewDecoder(bytes.NewReader(frame)).Decode(v)
}
