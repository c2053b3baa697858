package transport

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/tidwall/evio"

	"pipitgap/internal/monotime"
)

// Response is an answer on its way to a connection.
type Response struct {
	Status     int
	RetryAfter int // seconds; 0: not named
	Body       []byte
}

// Request is a parsed request with its way back. Respond may be called once,
// from any goroutine; a request whose connection has gone is simply dropped.
type Request struct {
	Message *Message
	conn    *serverConn
}

// Server accepts users, workers and peers on evio's loop. The loop's goroutine owns all connections;
// responses come to it as messages, carried by Wake.
type Server struct {
	Now            func() monotime.Micros
	MaxConns       int // connections beyond are closed at once
	OnRequest      func(*Request)
	OnPeerFrame    func(frame []byte)
	IdleTimeout    monotime.Micros // a connection without traffic is closed after this
	RequestTimeout monotime.Micros // a request must be complete within this

	conns map[evio.Conn]*serverConn
}

// serverConn is a connection of a user, a worker or a peer. It has one request at a time.
type serverConn struct {
	server             *Server
	eventConn          evio.Conn
	parser             Parser
	frames             frameReader
	lastTraffic        monotime.Micros // when bytes last went either way
	partialSince       monotime.Micros // when the first byte of an incomplete message came
	busy               bool            // a request is being worked on
	closing            bool
	closeAfterResponse bool // close after the answer under way
	responses          chan Response
}

// Respond sends the response.
func (r *Request) Respond(response Response) {
	// The channel holds one answer and a request has only one, so this never blocks.
	select {
	case r.conn.responses <- response:
		r.conn.eventConn.Wake()
	default:
	}
}

// ErrLoopEnded says that the server's loop has ended by itself, as it does when a connection can't be
// accepted.
var ErrLoopEnded = errors.New("accept failed, the loop has ended")

// tickInterval is how often connections are checked for timeouts.
const tickInterval = time.Second

// Index of the peers' address among those served.
const peerAddrIndex = 1

// Serve serves users and workers on one address and peers on the other. It runs until the loop ends; evio's
// loop ends on an accept error, so its end is always an error.
func (s *Server) Serve(public, peer string) error {
	s.conns = map[evio.Conn]*serverConn{}
	events := evio.Events{NumLoops: 1, Opened: s.opened, Closed: s.connClosed, Data: s.received, Tick: s.tick}
	if err := evio.Serve(events, "tcp://"+public, "tcp://"+peer); err != nil {
		return fmt.Errorf("event loop: %w", err)
	}
	return ErrLoopEnded
}

// opened takes a new connection, or closes it where there are too many.
func (s *Server) opened(c evio.Conn) ([]byte, evio.Options, evio.Action) {
	sc := &serverConn{server: s, eventConn: c, lastTraffic: s.Now(), responses: make(chan Response, 1)}
	c.SetContext(sc)
	s.conns[c] = sc
	options := evio.Options{ReuseInputBuffer: true}
	// Guards against the socket limit: an accept error would end evio's loop.
	if len(s.conns) > s.MaxConns {
		sc.closing = true
		return nil, options, evio.Close
	}
	return nil, options, evio.None
}

// connClosed forgets a connection.
func (s *Server) connClosed(c evio.Conn, _ error) evio.Action {
	delete(s.conns, c)
	return evio.None
}

// received passes bytes or a wake-up to their connection.
func (s *Server) received(c evio.Conn, input []byte) ([]byte, evio.Action) {
	sc, ok := c.Context().(*serverConn)
	if !ok {
		return nil, evio.Close
	}
	return sc.handleInput(input)
}

// tick has the connections closed that have timed out.
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

// timedOut reports that the connection has been silent or in the middle of a message for too long (evio has
// no timeouts of its own).
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

// handleInput handles bytes of the connection, or a wake-up, which has none.
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

// writeResponse writes the response that has come for the request under way, if one has.
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

// readFrames passes the frames of a peer on.
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

// readRequest passes a request on once it is whole.
func (sc *serverConn) readRequest(input []byte, now monotime.Micros) ([]byte, evio.Action) {
	if sc.busy {
		// Pipelining is not part of the protocol. The request under way is
		// answered and the connection closed; what follows is not read, so a
		// second answer can never overwrite the first in evio's one buffer.
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
