package transport

import (
	"net"
	"time"
)

// Bounds of a link to a peer. Statuses are sent often and are superseded by the next one, so that a peer that
// is slow gets fewer of them rather than old ones.
const (
	maxQueuedFrames = 32
	peerDialTimeout = time.Second
	peerSendTimeout = time.Second
)

// PeerLink sends frames to one peer. It is an actor: a small mailbox, one connection, and frames are dropped
// rather than queued when the peer is slow, because what peers tell each other is only a hint.
type PeerLink struct {
	addr   string
	queue  chan []byte
	closed chan struct{}
}

// NewPeerLink starts the actor, which ends with Close.
func NewPeerLink(addr string) *PeerLink {
	l := &PeerLink{addr: addr, queue: make(chan []byte, maxQueuedFrames), closed: make(chan struct{})}
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

// Close ends the actor and its connection. It is called once, by the link's owner.
func (l *PeerLink) Close() { close(l.closed) }

// run sends what is queued until the link is closed.
func (l *PeerLink) run() {
	var conn net.Conn
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	for {
		select {
		case frame := <-l.queue:
			conn = l.write(conn, frame)
		case <-l.closed:
			return
		}
	}
}

// write sends a frame over a connection, or over a new one if there is none. It returns the connection for
// the next frame, nil after a failure.
func (l *PeerLink) write(conn net.Conn, frame []byte) net.Conn {
	if conn == nil {
		dialled, err := net.DialTimeout("tcp4", l.addr, peerDialTimeout)
		if err != nil {
			return nil
		}
		conn = dialled
	}
	_ = conn.SetWriteDeadline(time.Now().Add(peerSendTimeout))
	if _, err := conn.Write(frame); err != nil {
		_ = conn.Close()
		return nil
	}
	return conn
}
