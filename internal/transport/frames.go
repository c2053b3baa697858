package transport

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
)

// Frames between controllers: a length and a body.
const (
	maxFrame        = 256 << 10 // bytes of a body
	frameLengthSize = 4         // bytes of the length, big-endian
)

// Errors of frames.
var (
	ErrFrameOutOfBounds = errors.New("peer frame out of bounds")
	ErrFrameTooLarge    = errors.New("peer frame too large")
)

// frameReader splits a byte stream into frames of a four-byte length and a body.
type frameReader struct{ buf []byte }

// buffered counts the bytes that wait for the rest of their frame.
func (f *frameReader) buffered() int { return len(f.buf) }

// feed adds bytes and calls back with each frame that is whole.
func (f *frameReader) feed(input []byte, each func([]byte)) error {
	f.buf = append(f.buf, input...)
	for len(f.buf) >= frameLengthSize {
		n := int(binary.BigEndian.Uint32(f.buf))
		if n == 0 || n > maxFrame {
			return ErrFrameOutOfBounds
		}
		if len(f.buf) < frameLengthSize+n {
			return nil
		}
		each(append([]byte(nil), f.buf[frameLengthSize:frameLengthSize+n]...))
		f.buf = append([]byte(nil), f.buf[frameLengthSize+n:]...)
	}
	return nil
}

// EncodeFrame makes a frame of a gob value. Each frame is a gob stream of its
// own, so a lost connection never leaves type information behind.
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

// DecodeFrame reads the gob value of a frame.
func DecodeFrame(frame []byte, v any) error {
	return gob.NewDecoder(bytes.NewReader(frame)).Decode(v)
}
