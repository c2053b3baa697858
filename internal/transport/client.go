package transport

import (
	"errors"
	"net"
	"time"

	"pipitgap/internal/monotime"
)

// Client makes HTTP requests to one address over a bounded pool of kept
// connections. evio can't dial, so outbound traffic uses net. The pool is a
// channel: whoever holds a connection owns it.
type Client struct {
	addr      string
	idleConns chan *clientConn
	closed    chan struct{}
	maxBody   int
}

// clientConn is a kept connection, with what is left of the response being read.
type clientConn struct {
	conn   net.Conn
	parser Parser
}

// NewClient keeps up to idle connections open.
func NewClient(addr string, idle, maxBody int) *Client {
	return &Client{
		addr: addr, idleConns: make(chan *clientConn, idle), closed: make(chan struct{}), maxBody: maxBody,
	}
}

// ErrNotSent marks failures that happened before any byte went out.
var ErrNotSent = errors.New("not sent")

// Do sends a request and waits for the whole response, at most timeout. After
// an error other than ErrNotSent the request may have been executed, or may
// yet be.
func (c *Client) Do(method, target string, body []byte, timeout monotime.Micros) (*Message, error) {
	deadline := time.Now().Add(timeout.Duration())
	cc, err := c.connect(timeout)
	if err != nil {
		return nil, err
	}
	message, err := cc.exchange(AppendRequest(nil, method, target, c.addr, body), deadline)
	if err != nil || message.Close || cc.parser.Buffered() > 0 {
		_ = cc.conn.Close()
		return message, err
	}
	c.keep(cc)
	return message, nil
}

// connect takes a kept connection or dials a new one.
func (c *Client) connect(timeout monotime.Micros) (*clientConn, error) {
	select {
	case cc := <-c.idleConns:
		return cc, nil
	default:
	}
	conn, err := net.DialTimeout("tcp4", c.addr, timeout.Duration())
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	return &clientConn{conn: conn, parser: Parser{Response: true, MaxBody: c.maxBody}}, nil
}

// keep keeps a connection for the next request, unless enough are kept already or the client is closed.
func (c *Client) keep(cc *clientConn) {
	select {
	case c.idleConns <- cc:
	default:
		_ = cc.conn.Close()
	}
	select {
	case <-c.closed: // meanwhile: the kept connection would never be closed
		c.closeIdle()
	default:
	}
}

// Close drops the kept connections, and those of requests in flight as they end. It
// is called once, by the client's owner.
func (c *Client) Close() {
	close(c.closed)
	c.closeIdle()
}

// closeIdle closes the connections that are kept now.
func (c *Client) closeIdle() {
	for {
		select {
		case cc := <-c.idleConns:
			_ = cc.conn.Close()
		default:
			return
		}
	}
}

// readBufferSize is how many bytes of a response are read at a time.
const readBufferSize = 8 << 10

// exchange writes a request and reads its response until the deadline.
func (cc *clientConn) exchange(req []byte, deadline time.Time) (*Message, error) {
	if err := cc.conn.SetDeadline(deadline); err != nil {
		return nil, err
	}
	if _, err := cc.conn.Write(req); err != nil {
		return nil, err
	}
	buf := make([]byte, readBufferSize)
	for {
		message, err := cc.parser.Next()
		if message != nil || err != nil {
			return message, err
		}
		n, err := cc.conn.Read(buf)
		if n > 0 {
			cc.parser.Feed(buf[:n])
			continue
		}
		if err != nil {
			return nil, err
		}
	}
}
