package transport

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"net"
	"time"
)

const maxFrame = 256 << 10

// frameReader splits a byte stream into frames of a four-byte length and a body.
type frameReader struct{ buf []byte }

func (f *frameReader) buffered() int { return len(f.buf) }

func (f *frameReader) feed(input []byte, each func([]byte)) error {
	f.buf = append(f.buf, input...)
	for len(f.buf) >= 4 {
		n := int(binary.BigEndian.Uint32(f.buf))
		if n == 0 || n > maxFrame {
			return errors.New("peer frame out of bounds")
		}
		if len(f.buf) < 4+n {
			return nil
		}
		each(append([]byte(nil), f.buf[4:4+n]...))
		f.buf = append([]byte(nil), f.buf[4+n:]...)
	}
	return nil
}

// EncodeFrame makes a frame of a gob value. Each frame is a gob stream of its
// own, so a lost connection never leaves type information behind.
func EncodeFrame(v any) ([]byte, error) {
	var b bytes.Buffer
	b.Write([]byte{0, 0, 0, 0})
	if err := gob.NewEncoder(&b).Encode(v); err != nil {
		return nil, err
	}
	out := b.Bytes()
	if len(out)-4 > maxFrame {
		return nil, errors.New("peer frame too large")
	}
	binary.BigEndian.PutUint32(out, uint32(len(out)-4))
	return out, nil
}

// DecodeFrame reads the gob value of a frame.
func DecodeFrame(frame []byte, v any) error {
	return gob.NewDecoder(bytes.NewReader(frame)).Decode(v)
}

// PeerLink sends frames to one peer. It is an actor: a small mailbox, one
// connection, and frames are dropped rather than queued when the peer is slow,
// because what peers say are only hints.
type PeerLink struct {
	addr  string
	queue chan []byte
}

// NewPeerLink starts the actor.
func NewPeerLink(addr string) *PeerLink {
	l := &PeerLink{addr: addr, queue: make(chan []byte, 32)}
	go l.run()
	return l
}

// Send queues a frame, or drops it when the mailbox is full.
func (l *PeerLink) Send(frame []byte) {
	select {
	case l.queue <- frame:
	default:
	}
}

func (l *PeerLink) run() {
	var conn net.Conn
	for frame := range l.queue {
		if conn == nil {
			c, err := net.DialTimeout("tcp4", l.addr, time.Second)
			if err != nil {
				continue
			}
			conn = c
		}
		_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
		if _, err := conn.Write(frame); err != nil {
			_ = conn.Close()
			conn = nil
		}
	}
}
