package transport

import (
	"bytes"
	"strings"
	"testing"
)

func TestParserRequests(t *testing.T) {
	long := strings.Repeat("a", MaxHead)
	cases := []struct {
		name, in string
		err      error
		body     string
		more     bool // the message is incomplete
		closing  bool
	}{
		{name: "get", in: "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"},
		{name: "post", in: "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", body: "abc"},
		{
			name: "same length twice",
			in:   "POST /a HTTP/1.1\r\nContent-Length: 3\r\ncontent-length: 3\r\n\r\nabc",
			body: "abc",
		},
		{name: "close", in: "GET / HTTP/1.1\r\nConnection: keep, Close\r\n\r\n", closing: true},
		{name: "HTTP/1.0", in: "GET / HTTP/1.0\r\n\r\n", closing: true},
		{name: "incomplete head", in: "GET / HT", more: true},
		{name: "incomplete body", in: "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab", more: true},
		{
			name: "conflicting lengths",
			in:   "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
			err:  ErrMalformed,
		},
		{
			name: "length with a sign",
			in:   "POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\nabc",
			err:  ErrMalformed,
		},
		{name: "empty length", in: "POST / HTTP/1.1\r\nContent-Length:\r\n\r\n", err: ErrMalformed},
		{
			name: "length and coding",
			in:   "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc",
			err:  ErrUnsupportedTransferCoding,
		},
		{name: "bare line feeds", in: "GET / HTTP/1.1\nHost: x\n\n", err: ErrMalformed},
		{name: "bare line feed in the head", in: "GET / HTTP/1.1\r\nA: b\nC: d\r\n\r\n", err: ErrMalformed},
		{name: "space before the colon", in: "GET / HTTP/1.1\r\nHost : x\r\n\r\n", err: ErrMalformed},
		{name: "folded header", in: "GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", err: ErrMalformed},
		{name: "no colon", in: "GET / HTTP/1.1\r\nHost\r\n\r\n", err: ErrMalformed},
		{name: "control character", in: "GET / HTTP/1.1\r\nA: \x00\r\n\r\n", err: ErrMalformed},
		{name: "absolute target", in: "GET http://x/ HTTP/1.1\r\n\r\n", err: ErrMalformed},
		{name: "two spaces", in: "GET  / HTTP/1.1\r\n\r\n", err: ErrMalformed},
		{name: "unsupported version", in: "GET / HTTP/2.0\r\n\r\n", err: ErrUnsupportedVersion},
		{name: "not HTTP", in: "hello\r\n\r\n", err: ErrMalformed},
		{
			name: "body too large",
			in:   "POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n",
			err:  ErrBodyTooLarge,
		},
		{
			name: "huge length",
			in:   "POST / HTTP/1.1\r\nContent-Length: 999999999999\r\n\r\n",
			err:  ErrBodyTooLarge,
		},
		{name: "request line too long", in: "GET /" + long + long, err: ErrURITooLong},
		{name: "head too long", in: "GET / HTTP/1.1\r\nA: " + long + long, err: ErrHeadTooLarge},
		{name: "complete head too long", in: "GET / HTTP/1.1\r\nA: " + long + "\r\n\r\n", err: ErrHeadTooLarge},
	}
	for _, tc := range cases {
		// Feed the input in one piece and byte by byte: the result must not depend on packet boundaries.
		for _, step := range []int{len(tc.in), 1} {
			p := &Parser{}
			var message *Message
			var err error
			for i := 0; i < len(tc.in) && message == nil && err == nil; i += step {
				p.Feed([]byte(tc.in[i:min(len(tc.in), i+step)]))
				message, err = p.Next()
			}
			switch {
			case err != tc.err:
				t.Errorf("%s (step %d): got error %v, want %v", tc.name, step, err, tc.err)
			case tc.err != nil:
			case tc.more != (message == nil):
				t.Errorf("%s (step %d): got complete message %v, want %v", tc.name, step, message != nil, !tc.more)
			case message != nil && (string(message.Body) != tc.body || message.Close != tc.closing):
				t.Errorf("%s (step %d): got message %+v, want body %q and close %v",
					tc.name, step, message, tc.body, tc.closing)
			}
		}
	}
}

func TestParserResponses(t *testing.T) {
	p := &Parser{Response: true}
	p.Feed(AppendResponse(nil, 503, 7, true, []byte("no")))
	message, err := p.Next()
	if err != nil || message.Status != 503 || message.RetryAfter != 7 || !message.Close ||
		string(message.Body) != "no" {
		t.Fatalf("got message %+v, error %v, want status 503, Retry-After 7, close and body no", message, err)
	}
}

// FuzzParser checks that any bytes give the same messages, and an error or none, whether the parser gets them in
// one piece or in pieces of a fixed size.
func FuzzParser(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\nContent-Length: 1\r\n\r\nx"), 3)
	f.Add([]byte("POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"), 1)
	f.Add([]byte("\n\r\n\r\n"), 2)
	f.Fuzz(func(t *testing.T, input []byte, step int) {
		if step < 1 || len(input) > 1<<16 {
			return
		}
		read := func(step int) (out []string, bad bool) {
			p := &Parser{}
			for i := 0; i < len(input); i += step {
				p.Feed(input[i:min(len(input), i+step)])
				for {
					message, err := p.Next()
					if err != nil {
						return out, true
					}
					if message == nil {
						break
					}
					out = append(out, message.Method+" "+message.Target+" "+string(message.Body))
				}
			}
			return out, false
		}
		a, badA := read(len(input) + 1)
		b, badB := read(step)
		if badA != badB || strings.Join(a, "|") != strings.Join(b, "|") {
			t.Fatalf("in one piece: got messages %q, error %v; in steps of %d: got messages %q, error %v; want the same",
				a, badA, step, b, badB)
		}
	})
}

func TestFrameReaderReassemblesFrames(t *testing.T) {
	type payload struct{ A string }
	first, err := EncodeFrame(&payload{"x"})
	if err != nil {
		t.Fatal(err)
	}
	second, _ := EncodeFrame(&payload{"y"})
	var got []string
	var f frameReader
	for _, b := range bytes.Join([][]byte{first, second}, nil) {
		if err := f.feed([]byte{b}, func(frame []byte) {
			var h payload
			if DecodeFrame(frame, &h) == nil {
				got = append(got, h.A)
			}
		}); err != nil {
			t.Fatal(err)
		}
	}
	if strings.Join(got, "") != "xy" {
		t.Errorf("got bodies %q, want x and y", got)
	}
	for _, bad := range [][]byte{{0, 0, 0, 0}, {0xff, 0, 0, 0}} {
		if (&frameReader{}).feed(bad, func([]byte) {}) == nil {
			t.Errorf("frame length %v: got no error, want one", bad)
		}
	}
}
