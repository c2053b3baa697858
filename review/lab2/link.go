package main

import (
	"net"
	"sync"
	"time"
)

// link is a proxy in front of an address. While it is held, connections stay open and nothing passes; what was sent
// arrives later. While it is reset, connections end at once.
type link struct {
	mu    sync.Mutex
	held  bool
	reset bool
	conns map[net.Conn]bool
}

// newLink starts a proxy in front of an address and returns its own.
func newLink(target string) (*link, string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("%v", err)
	}
	l := &link{conns: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(conn, target)
		}
	}()
	return l, listener.Addr().String()
}

// set holds, resets or opens the link.
func (l *link) set(held, reset bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held, l.reset = held, reset
	if reset {
		for conn := range l.conns {
			_ = conn.Close()
		}
	}
}

// pass waits until the link is open, and returns false if it is reset.
func (l *link) pass() bool {
	for {
		l.mu.Lock()
		held, reset := l.held, l.reset
		l.mu.Unlock()
		if reset {
			return false
		}
		if !held {
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (l *link) serve(conn net.Conn, target string) {
	defer conn.Close()
	if !l.pass() {
		return
	}
	onward, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		return
	}
	defer onward.Close()
	l.mu.Lock()
	l.conns[conn], l.conns[onward] = true, true
	l.mu.Unlock()
	ended := make(chan struct{}, 2)
	carry := func(to, from net.Conn) {
		buffer := make([]byte, 64<<10)
		for {
			n, err := from.Read(buffer)
			if n > 0 {
				if !l.pass() {
					break
				}
				if _, err := to.Write(buffer[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		ended <- struct{}{}
	}
	go carry(onward, conn)
	go carry(conn, onward)
	<-ended
	l.mu.Lock()
	delete(l.conns, conn)
	delete(l.conns, onward)
	l.mu.Unlock()
}

// links are the proxies of the soak round each controller: to the state service, from its workers, and between peers.
type links struct {
	state, workers map[string]*link
	peers          map[string][]*link // of both directions
	peerAt         map[string]string  // by controller and peer
	workersAt      map[string]string
}

// addLinks puts proxies in front of the addresses of a deployment that hasn't started yet.
func (r *rig) addLinks() {
	r.links = &links{
		state: map[string]*link{}, workers: map[string]*link{}, peers: map[string][]*link{},
		peerAt: map[string]string{}, workersAt: map[string]string{},
	}
	for _, node := range r.settings.nodes {
		r.links.state[node], r.stateAt[node] = newLink(r.stateAt[node])
		r.links.workers[node], r.links.workersAt[node] = newLink(r.public[node])
		for _, other := range r.settings.nodes {
			if other != node {
				peer, at := newLink(r.peer[other])
				r.links.peerAt[node+" "+other] = at
				r.links.peers[node] = append(r.links.peers[node], peer)
				r.links.peers[other] = append(r.links.peers[other], peer)
			}
		}
	}
}

// cut cuts a controller off for a while: from the state service, from the reports of workers, from its peers.
func (r *rig) cut(node string, state, workers, peers, reset bool, wait time.Duration) {
	var cut []*link
	if state {
		cut = append(cut, r.links.state[node])
	}
	if workers {
		cut = append(cut, r.links.workers[node])
	}
	if peers {
		cut = append(cut, r.links.peers[node]...)
	}
	for _, l := range cut {
		l.set(!reset, reset)
	}
	time.Sleep(wait)
	for _, l := range cut {
		l.set(false, false)
	}
}
