package transport

import (
	"net"
	"time"
)

// Queue length and timeouts of a link to a peer. Statuses are sent often and each supersedes the previous
// one. A slow peer therefore gets fewer statuses instead of outdated ones.
const (
	maxQueuedFrames = 32
	peerDialTimeout = time.Second
	peerSendTimeout = time.Second
)

// PeerLink sends frames to one peer. It is an actor with a small mailbox and one connection. When the mailbox
// is full because the peer is slow, it drops frames, since the statuses that peers exchange are only hints.
type PeerLink struct {
	addr   string
	queue  chan []byte
	closed chan struct{}
}

// NewPeerLink starts the actor, which runs until Close.
func NewPeerLink(addr string) *PeerLink {
	l := &PeerLink{addr: addr, queue: make(chan []byte, maxQueuedFrames), closed: make(chan struct{})}
	go l.run()
	return l
}

// Send queues a frame, or drops it if the mailbox is full.
func (l *PeerLink) Send(frame []byte) {
	select {
	case l.queue <- frame:
	default:
	}
}

// Close stops the actor and closes its connection. The owner of the link must call it exactly once.
func (l *PeerLink) Close() { close(l.closed) }

// run sends the queued frames until the link is closed.
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

// write sends a frame over conn, or over a new connection if conn is nil. It returns the connection for the
// next frame, or nil after a failure.
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
