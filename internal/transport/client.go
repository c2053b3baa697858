package transport

import (
	"errors"
	"net"
	"time"

	"pipitgap/internal/micros"
)

// Client makes HTTP requests to one address over a bounded pool of kept
// connections. evio can't dial, so outbound traffic uses net. The pool is a
// channel: whoever holds a connection owns it.
type Client struct {
	addr    string
	idle    chan *clientConn
	closed  chan struct{}
	maxBody int
}

type clientConn struct {
	c      net.Conn
	parser Parser
}

// NewClient keeps up to idle connections open.
func NewClient(addr string, idle, maxBody int) *Client {
	return &Client{
		addr: addr, idle: make(chan *clientConn, idle), closed: make(chan struct{}), maxBody: maxBody,
	}
}

// ErrNotSent marks failures that happened before any byte went out.
var ErrNotSent = errors.New("not sent")

// Do sends a request and waits for the whole response, at most timeout. After
// an error other than ErrNotSent the request may have been executed, or may
// yet be.
func (cl *Client) Do(method, target string, body []byte, timeout micros.T) (*Message, error) {
	deadline := time.Now().Add(timeout.Duration())
	var cc *clientConn
	select {
	case cc = <-cl.idle:
	default:
		c, err := net.DialTimeout("tcp4", cl.addr, timeout.Duration())
		if err != nil {
			return nil, errors.Join(ErrNotSent, err)
		}
		cc = &clientConn{c: c, parser: Parser{Response: true, MaxBody: cl.maxBody}}
	}
	m, err := cc.exchange(AppendRequest(nil, method, target, cl.addr, body), deadline)
	if err != nil || m.Close || cc.parser.Buffered() > 0 {
		_ = cc.c.Close()
		return m, err
	}
	select {
	case cl.idle <- cc:
	default:
		_ = cc.c.Close()
	}
	select {
	case <-cl.closed: // meanwhile: nobody would come for it
		cl.drain()
	default:
	}
	return m, nil
}

// Close drops the kept connections, and those of requests in flight as they end. It
// is called once, by the client's owner.
func (cl *Client) Close() {
	close(cl.closed)
	cl.drain()
}

func (cl *Client) drain() {
	for {
		select {
		case cc := <-cl.idle:
			_ = cc.c.Close()
		default:
			return
		}
	}
}

func (cc *clientConn) exchange(req []byte, deadline time.Time) (*Message, error) {
	if err := cc.c.SetDeadline(deadline); err != nil {
		return nil, err
	}
	if _, err := cc.c.Write(req); err != nil {
		return nil, err
	}
	buf := make([]byte, 8<<10)
	for {
		m, err := cc.parser.Next()
		if m != nil || err != nil {
			return m, err
		}
		n, err := cc.c.Read(buf)
		if n > 0 {
			cc.parser.Feed(buf[:n])
			continue
		}
		if err != nil {
			return nil, err
		}
	}
}
