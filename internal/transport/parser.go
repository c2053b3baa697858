// Package transport moves bytes: the evio server with its HTTP parser, outbound
// HTTP over pooled connections, and the gob frames between controllers.
package transport

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// Bounds of a message.
const (
	MaxHead = 8 << 10
	MaxBody = 64 << 10
)

// Parse errors. Each has a definite status, see StatusOf.
var (
	ErrMalformed                 = errors.New("malformed message")
	ErrBodyTooLarge              = errors.New("body too large")
	ErrHeadTooLarge              = errors.New("head too large")
	ErrURITooLong                = errors.New("request line too long")
	ErrUnsupportedTransferCoding = errors.New("transfer coding not supported")
	ErrUnsupportedVersion        = errors.New("http version not supported")
)

// StatusOf gives the answer to a parse error.
func StatusOf(err error) int {
	switch err {
	case ErrBodyTooLarge:
		return 413
	case ErrHeadTooLarge:
		return 431
	case ErrURITooLong:
		return 414
	case ErrUnsupportedTransferCoding:
		return 501
	case ErrUnsupportedVersion:
		return 505
	}
	return 400
}

// Message is one request (Method, Target) or response (Status).
type Message struct {
	Method, Target string
	Status         int
	Close          bool // the sender closes after this message
	RetryAfter     int  // seconds, responses only
	Body           []byte
}

// Parser is an incremental reader of HTTP/1.1 messages. It is strict: anything
// two readers could frame differently is an error, never a guess.
type Parser struct {
	Response   bool // reads responses instead of requests
	MaxBody    int  // 0: MaxBody
	buf        []byte
	searched   int // bytes already searched for the end of the head
	msg        *Message
	bodyLength int
}

// Buffered tells how many bytes wait for the rest of their message.
func (p *Parser) Buffered() int {
	if p.msg != nil {
		return len(p.buf) + 1
	}
	return len(p.buf)
}

// Feed adds bytes.
func (p *Parser) Feed(b []byte) { p.buf = append(p.buf, b...) }

// Next gives the next whole message, or nil when more bytes are needed.
func (p *Parser) Next() (*Message, error) {
	if p.msg == nil {
		if len(p.buf) == 0 {
			return nil, nil
		}
		i := bytes.Index(p.buf[p.searched:], []byte("\r\n\r\n"))
		if i < 0 {
			if len(p.buf) > MaxHead {
				if !p.Response && bytes.IndexByte(p.buf, '\n') < 0 {
					return nil, ErrURITooLong
				}
				return nil, ErrHeadTooLarge
			}
			// A lone line feed would end a line for a lenient reader only.
			if hasBareLF(p.buf) {
				return nil, ErrMalformed
			}
			p.searched = max(0, len(p.buf)-3)
			return nil, nil
		}
		end := p.searched + i
		if end > MaxHead {
			return nil, ErrHeadTooLarge
		}
		if hasBareLF(p.buf[:end]) {
			return nil, ErrMalformed
		}
		message, n, err := p.parseHead(string(p.buf[:end]))
		if err != nil {
			return nil, err
		}
		p.buf = p.buf[end+4:]
		p.searched, p.msg, p.bodyLength = 0, message, n
	}
	if len(p.buf) < p.bodyLength {
		return nil, nil
	}
	message := p.msg
	message.Body = append([]byte(nil), p.buf[:p.bodyLength]...)
	rest := p.buf[p.bodyLength:]
	p.buf = append([]byte(nil), rest...)
	p.msg, p.bodyLength = nil, 0
	return message, nil
}

func hasBareLF(b []byte) bool {
	for off := 0; ; {
		i := bytes.IndexByte(b[off:], '\n')
		if i < 0 {
			return false
		}
		if off+i == 0 || b[off+i-1] != '\r' {
			return true
		}
		off += i + 1
	}
}

func (p *Parser) parseHead(head string) (*Message, int, error) {
	line, rest, _ := strings.Cut(head, "\r\n")
	message := &Message{}
	var version string
	if p.Response {
		parts := strings.SplitN(line, " ", 3)
		if len(parts) < 2 || len(parts[1]) != 3 {
			return nil, 0, ErrMalformed
		}
		version = parts[0]
		status, err := strconv.Atoi(parts[1])
		if err != nil || status < 100 || status > 599 {
			return nil, 0, ErrMalformed
		}
		message.Status = status
	} else {
		parts := strings.Split(line, " ")
		if len(parts) != 3 || !isToken(parts[0]) ||
			parts[1] == "" || parts[1][0] != '/' || !isPrintable(parts[1]) {
			return nil, 0, ErrMalformed
		}
		message.Method, message.Target, version = parts[0], parts[1], parts[2]
	}
	switch {
	case version == "HTTP/1.1":
	case version == "HTTP/1.0":
		message.Close = true
	case strings.HasPrefix(version, "HTTP/"):
		return nil, 0, ErrUnsupportedVersion
	default:
		return nil, 0, ErrMalformed
	}
	length := -1
	for rest != "" {
		line, rest, _ = strings.Cut(rest, "\r\n")
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) {
			return nil, 0, ErrMalformed
		}
		value = strings.Trim(value, " \t")
		if !isVisible(value) {
			return nil, 0, ErrMalformed
		}
		switch strings.ToLower(name) {
		case "content-length":
			if value == "" || len(value) > 12 || strings.Trim(value, "0123456789") != "" {
				return nil, 0, ErrMalformed
			}
			n, _ := strconv.Atoi(value)
			if length >= 0 && n != length {
				return nil, 0, ErrMalformed
			}
			length = n
		case "transfer-encoding":
			return nil, 0, ErrUnsupportedTransferCoding
		case "connection":
			for _, o := range strings.Split(value, ",") {
				if strings.EqualFold(strings.TrimSpace(o), "close") {
					message.Close = true
				}
			}
		case "retry-after":
			message.RetryAfter, _ = strconv.Atoi(value)
		}
	}
	if length < 0 {
		length = 0
	}
	most := p.MaxBody
	if most == 0 {
		most = MaxBody
	}
	if length > most {
		return nil, 0, ErrBodyTooLarge
	}
	return message, length, nil
}

func isToken(s string) bool {
	if s == "" {
		return false
	}
	for i := 0; i < len(s); i++ {
		c := s[i]
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		case strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0:
		default:
			return false
		}
	}
	return true
}

func isPrintable(s string) bool {
	for i := 0; i < len(s); i++ {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return true
}

func isVisible(s string) bool {
	for i := 0; i < len(s); i++ {
		if s[i] < ' ' && s[i] != '\t' || s[i] == 0x7f {
			return false
		}
	}
	return true
}

var reasonPhrases = map[int]string{
	200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 413: "Content Too Large", 414: "URI Too Long", 421: "Misdirected Request",
	422: "Unprocessable Content", 429: "Too Many Requests", 431: "Request Header Fields Too Large",
	500: "Internal Server Error", 501: "Not Implemented", 503: "Service Unavailable",
	505: "HTTP Version Not Supported",
}

// AppendResponse writes a response.
func AppendResponse(b []byte, status, retryAfter int, closing bool, body []byte) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, reasonPhrases[status]...)
	b = append(b, "\r\nContent-Type: application/msgpack\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	if retryAfter > 0 {
		b = append(b, "\r\nRetry-After: "...)
		b = strconv.AppendInt(b, int64(retryAfter), 10)
	}
	if closing {
		b = append(b, "\r\nConnection: close"...)
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, body...)
}

// AppendRequest writes a request.
func AppendRequest(b []byte, method, target, host string, body []byte) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, host...)
	if body != nil {
		b = append(b, "\r\nContent-Type: application/msgpack"...)
	}
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, body...)
}
