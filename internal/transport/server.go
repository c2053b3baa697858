package transport

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/tidwall/evio"

	"pipitgap/internal/monotime"
)

// Response is the response to a Request.
type Response struct {
	Status     int
	RetryAfter int // value of the Retry-After header, in seconds; 0: no header
	Body       []byte
}

// Request is a parsed request with the connection for its response. Respond may be called once, from any
// goroutine. If the connection is closed by then, the response is dropped.
type Request struct {
	Message *Message
	conn    *serverConn
}

// Server serves users, workers and peers on evio's event loop. The goroutine of the loop owns all
// connections. Other goroutines pass a response to the loop through the connection's channel and wake the
// loop.
type Server struct {
	Now            func() monotime.Micros
	MaxConns       int // additional connections are closed immediately
	OnRequest      func(*Request)
	OnPeerFrame    func(frame []byte)
	IdleTimeout    monotime.Micros // a connection without traffic for this long is closed
	RequestTimeout monotime.Micros // a message must be complete within this time of its first byte

	conns map[evio.Conn]*serverConn
}

// serverConn is a connection from a user, a worker or a peer. It processes one request at a time.
type serverConn struct {
	server             *Server
	eventConn          evio.Conn
	parser             Parser
	frames             frameReader
	lastTraffic        monotime.Micros // time of the last received or sent bytes
	partialSince       monotime.Micros // time of the first byte of an incomplete message
	busy               bool            // a request is in progress
	closing            bool
	closeAfterResponse bool // close the connection after the response to the request in progress
	responses          chan Response
}

// Respond passes the response to the event loop, which writes it to the connection.
func (r *Request) Respond(response Response) {
	// The channel buffers one response and Respond is called once per request, so the send never blocks.
	select {
	case r.conn.responses <- response:
		r.conn.eventConn.Wake()
	default:
	}
}

// ErrLoopEnded means that the event loop ended without an error of its own, as it does after a failed accept.
var ErrLoopEnded = errors.New("event loop ended after a failed accept")

// tickInterval is the interval between two checks of the connections for timeouts.
const tickInterval = time.Second

// peerAddrIndex is the index of the peers' address among the addresses that Serve passes to evio.
const peerAddrIndex = 1

// Serve serves users and workers on the public address and peers on the peer address. It runs until evio's
// event loop ends, which happens on an accept error. It therefore always returns an error.
func (s *Server) Serve(public, peer string) error {
	s.conns = map[evio.Conn]*serverConn{}
	events := evio.Events{NumLoops: 1, Opened: s.connOpened, Closed: s.connClosed, Data: s.dataReceived, Tick: s.tick}
	if err := evio.Serve(events, "tcp://"+public, "tcp://"+peer); err != nil {
		return fmt.Errorf("event loop: %w", err)
	}
	return ErrLoopEnded
}

// connOpened registers a new connection, or closes it if MaxConns is exceeded.
func (s *Server) connOpened(c evio.Conn) ([]byte, evio.Options, evio.Action) {
	sc := &serverConn{server: s, eventConn: c, lastTraffic: s.Now(), responses: make(chan Response, 1)}
	c.SetContext(sc)
	s.conns[c] = sc
	options := evio.Options{ReuseInputBuffer: true}
	// Keeps the process below its socket limit: at the limit, accept fails, which would end evio's event
	// loop.
	if len(s.conns) > s.MaxConns {
		sc.closing = true
		return nil, options, evio.Close
	}
	return nil, options, evio.None
}

// connClosed removes a closed connection.
func (s *Server) connClosed(c evio.Conn, _ error) evio.Action {
	delete(s.conns, c)
	return evio.None
}

// dataReceived passes received bytes or a wake-up to the connection's handler.
func (s *Server) dataReceived(c evio.Conn, input []byte) ([]byte, evio.Action) {
	sc, ok := c.Context().(*serverConn)
	if !ok {
		return nil, evio.Close
	}
	return sc.handleInput(input)
}

// tick marks the connections that have timed out and wakes them, so that their handlers close them.
func (s *Server) tick() (time.Duration, evio.Action) {
	now := s.Now()
	for c, sc := range s.conns {
		if sc.timedOut(now) {
			sc.closing = true
			c.Wake()
		}
	}
	return tickInterval, evio.None
}

// timedOut reports whether the connection has been idle for longer than IdleTimeout, or has an incomplete
// message that is older than RequestTimeout. evio itself has no timeouts.
func (sc *serverConn) timedOut(now monotime.Micros) bool {
	if sc.busy {
		return now-sc.lastTraffic > sc.server.IdleTimeout
	}
	partial := sc.parser.Buffered() > 0 || sc.frames.buffered() > 0
	if partial && now-sc.partialSince > sc.server.RequestTimeout {
		return true
	}
	return now-sc.lastTraffic > sc.server.IdleTimeout
}

// handleInput handles received bytes, or a wake-up, which has nil input.
func (sc *serverConn) handleInput(input []byte) ([]byte, evio.Action) {
	if sc.closing {
		return nil, evio.Close
	}
	now := sc.server.Now()
	if input == nil {
		return sc.writeResponse(now)
	}
	sc.lastTraffic = now
	if sc.eventConn.AddrIndex() == peerAddrIndex {
		return sc.readFrames(input, now)
	}
	return sc.readRequest(input, now)
}

// writeResponse writes the response to the request in progress, if there is one yet.
func (sc *serverConn) writeResponse(now monotime.Micros) ([]byte, evio.Action) {
	select {
	case response := <-sc.responses:
		sc.busy, sc.lastTraffic = false, now
		out := AppendResponse(nil, response.Status, response.RetryAfter, sc.closeAfterResponse, response.Body)
		if sc.closeAfterResponse {
			sc.closing = true
			return out, evio.Close
		}
		return out, evio.None
	default:
		return nil, evio.None
	}
}

// readFrames passes the complete frames of a peer to OnPeerFrame.
func (sc *serverConn) readFrames(input []byte, now monotime.Micros) ([]byte, evio.Action) {
	if sc.frames.buffered() == 0 {
		sc.partialSince = now
	}
	if err := sc.frames.feed(input, sc.server.OnPeerFrame); err != nil {
		sc.closing = true
		return nil, evio.Close
	}
	return nil, evio.None
}

// readRequest passes a request to OnRequest once it is complete.
func (sc *serverConn) readRequest(input []byte, now monotime.Micros) ([]byte, evio.Action) {
	if sc.busy {
		// Pipelining is not part of the protocol. The server responds to the request in progress, closes the
		// connection and discards the pipelined bytes. A second response could overwrite the first one in
		// evio's single output buffer.
		sc.closeAfterResponse = true
		return nil, evio.None
	}
	if sc.parser.Buffered() == 0 {
		sc.partialSince = now
	}
	sc.parser.Feed(input)
	message, err := sc.parser.Next()
	if err != nil {
		slog.Debug("malformed request", "remote_addr", sc.eventConn.RemoteAddr().String(), "error", err)
		sc.closing = true
		return AppendResponse(nil, StatusOf(err), 0, true, nil), evio.Close
	}
	if message == nil {
		return nil, evio.None
	}
	sc.busy = true
	sc.closeAfterResponse = message.Close || sc.parser.Buffered() > 0
	sc.server.OnRequest(&Request{Message: message, conn: sc})
	return nil, evio.None
}
