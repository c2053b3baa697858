// Package transport moves bytes: the evio server with its HTTP parser, outbound
// HTTP over pooled connections, and the gob frames between controllers.
package transport

import (
	"bytes"
	"errors"
)

// Bounds of a message, in bytes.
const (
	MaxHead = 8 << 10
	MaxBody = 64 << 10
)

// lineEnd ends a line of the head; headEnd, an empty line, ends the head.
const (
	lineEnd = "\r\n"
	headEnd = lineEnd + lineEnd
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

// StatusOf returns the answer to a parse error.
func StatusOf(err error) int {
	switch {
	case errors.Is(err, ErrBodyTooLarge):
		return StatusContentTooLarge
	case errors.Is(err, ErrHeadTooLarge):
		return StatusHeaderTooLarge
	case errors.Is(err, ErrURITooLong):
		return StatusURITooLong
	case errors.Is(err, ErrUnsupportedTransferCoding):
		return StatusNotImplemented
	case errors.Is(err, ErrUnsupportedVersion):
		return StatusVersionUnsupported
	}
	return StatusBadRequest
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
	Response bool // reads responses instead of requests
	MaxBody  int  // 0: MaxBody
	buf      []byte
	searched int          // bytes already searched for the end of the head
	head     *messageHead // of the message whose body is being read
}

// Buffered returns how many bytes wait for the rest of their message; it is above 0 too where only the head
// has come.
func (p *Parser) Buffered() int {
	if p.head != nil {
		return len(p.buf) + 1
	}
	return len(p.buf)
}

// Feed adds bytes.
func (p *Parser) Feed(b []byte) { p.buf = append(p.buf, b...) }

// Next returns the next whole message, or nil when more bytes are needed.
func (p *Parser) Next() (*Message, error) {
	if p.head == nil {
		if err := p.readHead(); err != nil || p.head == nil {
			return nil, err
		}
	}
	length := p.head.bodyLength
	if len(p.buf) < length {
		return nil, nil
	}
	message := p.head.message
	message.Body = append([]byte(nil), p.buf[:length]...)
	p.buf = append([]byte(nil), p.buf[length:]...)
	p.head = nil
	return message, nil
}

// readHead takes a head off the bytes once it is whole.
func (p *Parser) readHead() error {
	if len(p.buf) == 0 {
		return nil
	}
	found := bytes.Index(p.buf[p.searched:], []byte(headEnd))
	if found < 0 {
		return p.checkPartialHead()
	}
	end := p.searched + found
	if end > MaxHead {
		return ErrHeadTooLarge
	}
	if hasBareLF(p.buf[:end]) {
		return ErrMalformed
	}
	head, err := p.parseHead(string(p.buf[:end]))
	if err != nil {
		return err
	}
	p.buf = p.buf[end+len(headEnd):]
	p.searched, p.head = 0, head
	return nil
}

// checkPartialHead refuses a head that can't become a valid one, and notes how much of it was searched.
func (p *Parser) checkPartialHead() error {
	if len(p.buf) > MaxHead {
		if !p.Response && bytes.IndexByte(p.buf, '\n') < 0 {
			return ErrURITooLong
		}
		return ErrHeadTooLarge
	}
	// A lone line feed would end a line for a lenient reader only.
	if hasBareLF(p.buf) {
		return ErrMalformed
	}
	p.searched = max(0, len(p.buf)-len(headEnd)+1)
	return nil
}

// hasBareLF reports a line feed without a carriage return before it.
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
