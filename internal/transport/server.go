package transport

import (
	"errors"
	"log/slog"
	"time"

	"github.com/tidwall/evio"

	"pipitgap/internal/micros"
)

// Reply is an answer on its way to a connection.
type Reply struct {
	Status     int
	RetryAfter int
	Body       []byte
}

// Request is a parsed request with its way back. Answer may be called once,
// from any goroutine; a request whose connection has gone is simply dropped.
type Request struct {
	Msg  *Message
	conn *serverConn
}

// Server accepts users, workers and peers on evio's loop. The loop's goroutine
// owns all connections; answers come to it as messages, carried by Wake.
type Server struct {
	Now      func() micros.T
	MaxConns int
	OnHTTP   func(*Request)
	OnPeer   func(frame []byte)
	Idle     micros.T // a connection without traffic is closed after this
	Partial  micros.T // a request must be complete within this

	conns map[evio.Conn]*serverConn
}

type serverConn struct {
	srv     *Server
	evc     evio.Conn
	parser  Parser
	frames  frameReader
	last    micros.T // last traffic
	began   micros.T // when the first byte of a half request came
	busy    bool     // a request is being worked on
	closing bool
	last1   bool // close after the answer under way
	answer  chan Reply
}

// Answer sends the response.
func (r *Request) Answer(rep Reply) {
	// The channel holds one answer and a request has one: this never blocks.
	select {
	case r.conn.answer <- rep:
		r.conn.evc.Wake()
	default:
	}
}

// Serve runs until the loop ends; evio's loop ends on an accept error, so its
// end is always an error.
func (s *Server) Serve(public, peer string) error {
	s.conns = map[evio.Conn]*serverConn{}
	var ev evio.Events
	ev.NumLoops = 1
	ev.Opened = func(c evio.Conn) ([]byte, evio.Options, evio.Action) {
		sc := &serverConn{srv: s, evc: c, last: s.Now(), answer: make(chan Reply, 1)}
		c.SetContext(sc)
		s.conns[c] = sc
		// Guards against the socket limit: an accept error would end evio's loop.
		if len(s.conns) > s.MaxConns {
			sc.closing = true
			return nil, evio.Options{ReuseInputBuffer: true}, evio.Close
		}
		return nil, evio.Options{ReuseInputBuffer: true}, evio.None
	}
	ev.Closed = func(c evio.Conn, _ error) evio.Action {
		delete(s.conns, c)
		return evio.None
	}
	ev.Data = func(c evio.Conn, in []byte) ([]byte, evio.Action) {
		sc, ok := c.Context().(*serverConn)
		if !ok {
			return nil, evio.Close
		}
		return sc.data(in)
	}
	ev.Tick = func() (time.Duration, evio.Action) {
		now := s.Now()
		for c, sc := range s.conns {
			if sc.stale(now) {
				sc.closing = true
				c.Wake()
			}
		}
		return time.Second, evio.None
	}
	err := evio.Serve(ev, "tcp://"+public, "tcp://"+peer)
	if err == nil {
		err = errors.New("accept failed, the loop has ended")
	}
	return err
}

// stale tells whether the connection has been silent or half done for too long
// (evio has no timeouts of its own).
func (sc *serverConn) stale(now micros.T) bool {
	if sc.busy {
		return now-sc.last > sc.srv.Idle
	}
	half := sc.parser.Buffered() > 0 || sc.frames.buffered() > 0
	if half && now-sc.began > sc.srv.Partial {
		return true
	}
	return now-sc.last > sc.srv.Idle
}

func (sc *serverConn) data(in []byte) ([]byte, evio.Action) {
	if sc.closing {
		return nil, evio.Close
	}
	now := sc.srv.Now()
	if in == nil {
		select {
		case rep := <-sc.answer:
			sc.busy, sc.last = false, now
			out := AppendResponse(nil, rep.Status, rep.RetryAfter, sc.last1, rep.Body)
			if sc.last1 {
				sc.closing = true
				return out, evio.Close
			}
			return out, evio.None
		default:
			return nil, evio.None
		}
	}
	sc.last = now
	if sc.evc.AddrIndex() == 1 {
		if sc.frames.buffered() == 0 {
			sc.began = now
		}
		if err := sc.frames.feed(in, sc.srv.OnPeer); err != nil {
			sc.closing = true
			return nil, evio.Close
		}
		return nil, evio.None
	}
	if sc.busy {
		// Pipelining is not part of the protocol. The request under way is
		// answered and the connection closed; what follows is not read, so a
		// second answer can never overwrite the first in evio's one buffer.
		sc.last1 = true
		return nil, evio.None
	}
	if sc.parser.Buffered() == 0 {
		sc.began = now
	}
	sc.parser.Feed(in)
	msg, err := sc.parser.Next()
	if err != nil {
		slog.Debug("malformed request", "remote_addr", sc.evc.RemoteAddr().String(), "error", err)
		sc.closing = true
		return AppendResponse(nil, StatusOf(err), 0, true, nil), evio.Close
	}
	if msg == nil {
		return nil, evio.None
	}
	sc.busy = true
	sc.last1 = msg.Close || sc.parser.Buffered() > 0
	sc.srv.OnHTTP(&Request{Msg: msg, conn: sc})
	return nil, evio.None
}
