package transport

import (
	"errors"
	"net"
	"time"

	"pipitgap/internal/monotime"
)

// Client makes HTTP requests to one address over a bounded pool of keep-alive connections. It uses the net
// package because evio can't dial. The pool is a channel, so each connection is either in the pool or owned
// by exactly one request.
type Client struct {
	addr      string
	idleConns chan *clientConn
	closed    chan struct{}
	maxBody   int // maximum size of a response body, in bytes; 0: MaxBody
}

// clientConn is a keep-alive connection with the parser of its responses.
type clientConn struct {
	conn   net.Conn
	parser Parser
}

// NewClient returns a client for one address. The client keeps up to idle connections open between requests
// and rejects response bodies of more than maxBody bytes.
func NewClient(addr string, idle, maxBody int) *Client {
	return &Client{
		addr: addr, idleConns: make(chan *clientConn, idle), closed: make(chan struct{}), maxBody: maxBody,
	}
}

// ErrNotSent marks an error that occurred before any byte of the request was sent.
var ErrNotSent = errors.New("request not sent")

// Do sends a request and waits up to timeout for the complete response. After an error other than ErrNotSent,
// the server may have executed the request or may still execute it.
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
	c.release(cc)
	return message, nil
}

// connect takes an idle connection from the pool or dials a new one.
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

// release returns a connection to the pool for the next request. It closes the connection if the pool is full
// or the client is closed.
func (c *Client) release(cc *clientConn) {
	select {
	case c.idleConns <- cc:
	default:
		_ = cc.conn.Close()
	}
	select {
	case <-c.closed:
		// Close may have emptied the pool before this connection was added. Nothing else would close it.
		c.closeIdle()
	default:
	}
}

// Close closes the idle connections. Connections of requests in flight are closed when their requests end.
// The owner of the client must call Close exactly once.
func (c *Client) Close() {
	close(c.closed)
	c.closeIdle()
}

// closeIdle closes all connections that are in the pool.
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

// readBufferSize is the maximum number of bytes per read of a response.
const readBufferSize = 8 << 10

// exchange writes a request and reads its response. Both must end before the deadline.
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
