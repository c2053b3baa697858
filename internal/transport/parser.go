// Package transport contains the network code: the evio server with its HTTP parser, the HTTP client with its
// connection pool, and the gob frames between controllers.
package transport

import (
	"bytes"
	"errors"
)

// Maximum sizes of a message's head and body, in bytes.
const (
	MaxHead = 8 << 10
	MaxBody = 64 << 10
)

// lineEnd terminates each line of a head. headEnd, a line end followed by an empty line, terminates the head.
const (
	lineEnd = "\r\n"
	headEnd = lineEnd + lineEnd
)

// Parse errors. StatusOf maps each to the status of the response.
var (
	ErrMalformed                 = errors.New("malformed message")
	ErrBodyTooLarge              = errors.New("body too large")
	ErrHeadTooLarge              = errors.New("head too large")
	ErrURITooLong                = errors.New("request line too long")
	ErrUnsupportedTransferCoding = errors.New("transfer coding not supported")
	ErrUnsupportedVersion        = errors.New("http version not supported")
)

// StatusOf returns the response status for a parse error.
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

// Message is a request, which has Method and Target, or a response, which has Status.
type Message struct {
	Method, Target string
	Status         int
	Close          bool // the sender closes the connection after this message
	RetryAfter     int  // seconds; only in responses
	Body           []byte
}

// Parser is an incremental parser of HTTP/1.1 messages. It is strict: it rejects every message whose end two
// parsers could determine differently.
type Parser struct {
	Response bool // parse responses instead of requests
	MaxBody  int  // maximum size of a body, in bytes; 0: the constant MaxBody
	buf      []byte
	searched int          // number of bytes already searched for the end of the head
	head     *messageHead // of the message whose body is being read
}

// Buffered returns a number above 0 if the parser has received a part of an incomplete message. The number
// counts the buffered bytes, plus 1 if the head is complete and the body isn't.
func (p *Parser) Buffered() int {
	if p.head != nil {
		return len(p.buf) + 1
	}
	return len(p.buf)
}

// Feed adds received bytes.
func (p *Parser) Feed(b []byte) { p.buf = append(p.buf, b...) }

// Next returns the next complete message, or nil if it needs more bytes.
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

// readHead parses the head and removes it from the buffer as soon as it is complete.
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

// checkPartialHead returns an error if an incomplete head can't become valid. It records how many bytes were
// searched for the end of the head.
func (p *Parser) checkPartialHead() error {
	if len(p.buf) > MaxHead {
		if !p.Response && bytes.IndexByte(p.buf, '\n') < 0 {
			return ErrURITooLong
		}
		return ErrHeadTooLarge
	}
	// A line feed without a carriage return would terminate the line for a lenient parser only.
	if hasBareLF(p.buf) {
		return ErrMalformed
	}
	p.searched = max(0, len(p.buf)-len(headEnd)+1)
	return nil
}

// hasBareLF reports whether the bytes contain a line feed without a preceding carriage return.
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
