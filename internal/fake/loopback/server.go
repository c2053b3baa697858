package loopback

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"pipitgap/internal/protocol"
)

// Fault is what happens to a call on its way to a fake.
type Fault struct {
	Delay time.Duration // it arrives so much later
	Reset bool          // its connection is reset instead
}

// FaultFunc decides on the fault of a caller's call; the zero Fault is none.
type FaultFunc func(caller string, r *http.Request) Fault

// Server is an HTTP server on a free port of 127.0.0.1.
type Server struct {
	Addr     string
	caller   string // whose calls it serves
	server   *http.Server
	injector *faultInjector
}

// faultInjector holds the present fault function of all servers of a deployment.
type faultInjector struct {
	mu     sync.Mutex
	decide FaultFunc
}

func (f *faultInjector) set(decide FaultFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.decide = decide
}

func (f *faultInjector) faultFor(caller string, r *http.Request) Fault {
	f.mu.Lock()
	decide := f.decide
	f.mu.Unlock()
	if decide == nil {
		return Fault{}
	}
	return decide(caller, r)
}

// newServer serves on a free port.
func newServer(caller string, handler http.Handler, f *faultInjector) (*Server, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{Addr: listener.Addr().String(), caller: caller, injector: f}
	s.server = &http.Server{Handler: s.withFaults(handler), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// Close ends the server and its connections.
func (s *Server) Close() { _ = s.server.Close() }

// withFaults applies the injected fault to a call before it is handled.
func (s *Server) withFaults(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fault := s.injector.faultFor(s.caller, r)
		if fault.Reset {
			resetConnection(w)
			return
		}
		if fault.Delay > 0 {
			// The message is on its way: it arrives even if its sender gives up waiting.
			body, _ := io.ReadAll(io.LimitReader(r.Body, maxBody))
			time.Sleep(fault.Delay)
			r = r.Clone(context.WithoutCancel(r.Context()))
			r.Body = io.NopCloser(bytes.NewReader(body))
		}
		handler.ServeHTTP(w, r)
	})
}

// maxBody bounds what is read of a request.
const maxBody = 1 << 20

// resetConnection closes a connection so that its peer sees a reset.
func resetConnection(w http.ResponseWriter) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// readMessage decodes a request's body.
func readMessage(r *http.Request, v any) bool {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	return err == nil && protocol.Unmarshal(body, v) == nil
}

// writeMessage answers with a status and a message; nil: without a body.
func writeMessage(w http.ResponseWriter, status int, v any) {
	var body []byte
	if v != nil {
		body = protocol.MustMarshal(v)
	}
	w.Header().Set("Content-Type", "application/msgpack")
	w.Header().Set("Content-Length", strconv.Itoa(len(body))) // the protocol has no chunks
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// asyncCall is a call of a fake that answers by calling back on the simulation.
type asyncCall[Result any] func(callback func(Result))

// answerCall makes a call on the simulation and writes its answer, unless the client has gone.
func answerCall[Result any](
	clock *RealTimeClock, w http.ResponseWriter, r *http.Request,
	start asyncCall[Result], toResponse func(*Result) (status int, body any),
) {
	answered := newPendingAnswer[Result]()
	clock.Do(func() { start(answered.put) })
	select {
	case result := <-answered:
		status, body := toResponse(&result)
		writeMessage(w, status, body)
	case <-r.Context().Done():
	}
}

// pendingAnswer holds the answer of a call until it is written.
type pendingAnswer[Result any] chan Result

func newPendingAnswer[Result any]() pendingAnswer[Result] { return make(pendingAnswer[Result], 1) }

func (a pendingAnswer[Result]) put(r Result) { a <- r }
