package loopback

import (
	"net"
	"sync"
)

// peerProxy forwards the connections from one controller to another. While it is cut, it holds back the data;
// when the cut ends, it delivers it in order.
type peerProxy struct {
	listener net.Listener
	target   func() string // address of the receiving controller

	mu     sync.Mutex
	change *sync.Cond
	cut    bool
	closed bool
	conns  map[net.Conn]bool
}

// newPeerProxy starts a proxy on a free port.
func newPeerProxy(target func() string) (*peerProxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &peerProxy{listener: listener, target: target, conns: map[net.Conn]bool{}}
	p.change = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

// addr returns the address on which the proxy accepts connections.
func (p *peerProxy) addr() string { return p.listener.Addr().String() }

// setCut begins or ends a cut.
func (p *peerProxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	p.change.Broadcast()
}

// close ends the proxy and its connections.
func (p *peerProxy) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	_ = p.listener.Close()
	for conn := range p.conns {
		_ = conn.Close()
	}
	p.change.Broadcast()
}

func (p *peerProxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn)
	}
}

// forward copies what a sender sends to the receiver. Controllers send nothing back on these connections.
func (p *peerProxy) forward(from net.Conn) {
	defer p.release(from)
	if !p.register(from) {
		return
	}
	to, err := net.Dial("tcp4", p.target())
	if err != nil {
		return
	}
	defer p.release(to)
	if !p.register(to) {
		return
	}
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil || !p.waitWhileCut() {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// register adds a connection; it returns false if the proxy is closed.
func (p *peerProxy) register(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[conn] = true
	return !p.closed
}

func (p *peerProxy) release(conn net.Conn) {
	_ = conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}

// waitWhileCut waits until there is no cut; it returns false if the proxy is closed.
func (p *peerProxy) waitWhileCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.cut && !p.closed {
		p.change.Wait()
	}
	return !p.closed
}
