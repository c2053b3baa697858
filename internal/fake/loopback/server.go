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

// Fault is a network fault that affects a call to a fake.
type Fault struct {
	Delay time.Duration // delay before the fake receives the call
	Reset bool          // the connection is reset and the fake never receives the call
}

// FaultFunc returns the fault for a call; the zero Fault means none.
type FaultFunc func(caller string, r *http.Request) Fault

// Server is an HTTP server on a free port of 127.0.0.1.
type Server struct {
	Addr     string
	caller   string // the caller whose calls this server receives
	server   *http.Server
	injector *faultInjector
}

// faultInjector holds the current FaultFunc, which all servers of a deployment share.
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

// newServer starts a server on a free port.
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

// Close stops the server and closes its connections.
func (s *Server) Close() { _ = s.server.Close() }

// withFaults wraps a handler so that injected faults apply before the handler runs.
func (s *Server) withFaults(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fault := s.injector.faultFor(s.caller, r)
		if fault.Reset {
			resetConnection(w)
			return
		}
		if fault.Delay > 0 {
			// A delayed message is still in transit: the handler receives it even if the sender stops
			// waiting.
			body, _ := io.ReadAll(io.LimitReader(r.Body, maxBody))
			time.Sleep(fault.Delay)
			r = r.Clone(context.WithoutCancel(r.Context()))
			r.Body = io.NopCloser(bytes.NewReader(body))
		}
		handler.ServeHTTP(w, r)
	})
}

// maxBody is the maximum number of bytes read from the body of a request.
const maxBody = 1 << 20

// resetConnection closes a connection with a TCP reset instead of a normal close.
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

// readMessage decodes the body of a request into v and reports whether that succeeds.
func readMessage(r *http.Request, v any) bool {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	return err == nil && protocol.Unmarshal(body, v) == nil
}

// writeMessage writes a response with a status and an encoded message. If v is nil, the body is empty.
func writeMessage(w http.ResponseWriter, status int, v any) {
	var body []byte
	if v != nil {
		body = protocol.MustMarshal(v)
	}
	w.Header().Set("Content-Type", "application/msgpack")
	w.Header().Set("Content-Length", strconv.Itoa(len(body))) // the protocol does not allow chunked encoding
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// asyncCall starts a call to a fake, which invokes the callback from the simulation.
type asyncCall[Result any] func(callback func(Result))

// answerCall executes a call on the simulation and writes the response, unless the client disconnects first.
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

// pendingAnswer passes the result of a call from the simulation to the HTTP handler. Its buffer of one keeps
// the simulation from blocking.
type pendingAnswer[Result any] chan Result

func newPendingAnswer[Result any]() pendingAnswer[Result] { return make(pendingAnswer[Result], 1) }

func (a pendingAnswer[Result]) put(r Result) { a <- r }
