package transport

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"pipitgap/internal/fixtures"
	"pipitgap/internal/monotime"
)

// TestServerResponsesAndConnectionLimit runs the evio server on the loopback interface. It checks the
// responses to malformed requests, that only the first of two pipelined requests gets a response, and that
// connections above MaxConns are closed.
func TestServerResponsesAndConnectionLimit(t *testing.T) {
	freeAddress := func() string { return fixtures.FreeAddress(t) }
	public, peer := freeAddress(), freeAddress()
	s := &Server{
		Now:            monotime.NewClock(),
		MaxConns:       4,
		IdleTimeout:    monotime.Minute,
		RequestTimeout: 300 * monotime.Millisecond,
		OnRequest:      func(r *Request) { r.Respond(Response{Status: 200, Body: []byte(r.Message.Target)}) },
		OnPeerFrame:    func([]byte) {},
	}
	go func() { _ = s.Serve(public, peer) }()
	dial := func() net.Conn {
		for i := 0; ; i++ {
			c, err := net.Dial("tcp4", public)
			if err == nil {
				_ = c.SetDeadline(time.Now().Add(20 * time.Second))
				return c
			}
			if i == 200 {
				t.Fatal(err)
			}
			time.Sleep(10 * time.Millisecond) // until the server listens
		}
	}
	sendAndReadAll := func(in string) string {
		c := dial()
		defer c.Close()
		_, _ = io.WriteString(c, in)
		b, _ := io.ReadAll(c)
		return string(b)
	}
	cases := []struct{ name, in, want string }{
		{"valid request", "GET /a HTTP/1.1\r\nConnection: close\r\n\r\n", "200 OK"},
		{"malformed", "GET /a\r\n\r\n", "400 Bad"},
		{"chunked", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", "501 "},
		{"incomplete request", "GET /a HT", ""},
	}
	for _, tc := range cases {
		got := sendAndReadAll(tc.in)
		if tc.want == "" && got != "" || !strings.Contains(got, tc.want) {
			t.Errorf("%s: got response %q, want %q in it (empty: no response)", tc.name, got, tc.want)
		}
	}
	// Pipelining is not part of the protocol: the server responds to the first request and closes the
	// connection.
	if got := sendAndReadAll("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n"); strings.Count(got, "HTTP/1.1 ") != 1 ||
		!strings.HasSuffix(got, "/a") {
		t.Errorf("pipelined requests: got %q, want one response, to /a", got)
	}
	var openConns []net.Conn
	for i := 0; i < 4; i++ {
		c := dial()
		defer c.Close()
		if _, err := io.WriteString(c, "GET /k HTTP/1.1\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Read(make([]byte, 512)); err != nil {
			t.Fatal(err)
		}
		openConns = append(openConns, c)
	}
	if got := sendAndReadAll("GET /a HTTP/1.1\r\n\r\n"); got != "" {
		t.Errorf("connection above MaxConns: got response %q, want none", got)
	}
	if _, err := io.WriteString(openConns[0], "GET /still HTTP/1.1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	b := make([]byte, 512)
	if n, _ := openConns[0].Read(b); !strings.Contains(string(b[:n]), "/still") {
		t.Errorf("open connection at MaxConns: got %q, want a response to /still", b[:n])
	}
}

// TestClientResponsesAndFailures checks a response that arrives byte by byte, a server that doesn't respond,
// and a refused connection.
func TestClientResponsesAndFailures(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				b := make([]byte, 4096)
				n, _ := c.Read(b)
				if strings.HasPrefix(string(b[:n]), "GET /silent") {
					_, _ = c.Read(b) // until the client times out
					return
				}
				for _, x := range AppendResponse(nil, 200, 0, true, []byte("hello")) {
					_, _ = c.Write([]byte{x})
				}
			}()
		}
	}()
	client := NewClient(listener.Addr().String(), 1, 1024)
	if message, err := client.Do("GET", "/x", nil, 10*monotime.Second); err != nil ||
		string(message.Body) != "hello" {
		t.Errorf("response byte by byte: got message %+v, error %v, want body hello", message, err)
	}
	if _, err := client.Do("GET", "/silent", nil, 200*monotime.Millisecond); err == nil {
		t.Error("server that doesn't respond: got no error, want a timeout")
	}
	refusedClient := NewClient("127.0.0.1:1", 1, 1024)
	if _, err := refusedClient.Do("GET", "/", nil, monotime.Second); err == nil {
		t.Error("refused connection: got no error, want one")
	}
}
