package transport

import (
	"strconv"
	"strings"
)

// maxLengthDigits is the maximum number of digits of a content length. 12 digits are far below an int64
// overflow.
const maxLengthDigits = 12

// messageHead is a parsed message whose body hasn't been read yet.
type messageHead struct {
	message    *Message
	bodyLength int
}

// parseHead parses a head: the first line and the header fields.
func (p *Parser) parseHead(text string) (*messageHead, error) {
	line, fields, _ := strings.Cut(text, lineEnd)
	message, version, err := p.parseFirstLine(line)
	if err != nil {
		return nil, err
	}
	switch {
	case version == "HTTP/1.1":
	case version == "HTTP/1.0":
		message.Close = true
	case strings.HasPrefix(version, "HTTP/"):
		return nil, ErrUnsupportedVersion
	default:
		return nil, ErrMalformed
	}
	length, err := parseFields(message, fields)
	if err != nil {
		return nil, err
	}
	if length > p.maxBody() {
		return nil, ErrBodyTooLarge
	}
	return &messageHead{message, length}, nil
}

// maxBody returns the maximum size of a message body, in bytes.
func (p *Parser) maxBody() int {
	if p.MaxBody == 0 {
		return MaxBody
	}
	return p.MaxBody
}

// parseFirstLine parses a request line or a status line.
func (p *Parser) parseFirstLine(line string) (message *Message, version string, err error) {
	if p.Response {
		return parseStatusLine(line)
	}
	return parseRequestLine(line)
}

// parseStatusLine parses the first line of a response.
func parseStatusLine(line string) (message *Message, version string, err error) {
	parts := strings.SplitN(line, " ", 3)
	if len(parts) < 2 || len(parts[1]) != 3 {
		return nil, "", ErrMalformed
	}
	status, err := strconv.Atoi(parts[1])
	if err != nil || status < 100 || status > 599 {
		return nil, "", ErrMalformed
	}
	return &Message{Status: status}, parts[0], nil
}

// parseRequestLine parses the first line of a request.
func parseRequestLine(line string) (message *Message, version string, err error) {
	parts := strings.Split(line, " ")
	if len(parts) != 3 {
		return nil, "", ErrMalformed
	}
	method, target := parts[0], parts[1]
	if !isToken(method) || target == "" || target[0] != '/' || !isPrintable(target) {
		return nil, "", ErrMalformed
	}
	return &Message{Method: method, Target: target}, parts[2], nil
}

// parseFields parses the header fields into the message. It returns the length of the body, which is 0
// without a Content-Length field.
func parseFields(message *Message, fields string) (bodyLength int, err error) {
	const unknown = -1
	bodyLength = unknown
	for fields != "" {
		var line string
		line, fields, _ = strings.Cut(fields, lineEnd)
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) {
			return 0, ErrMalformed
		}
		value = strings.Trim(value, " \t")
		if !isFieldValue(value) {
			return 0, ErrMalformed
		}
		switch strings.ToLower(name) {
		case "content-length":
			length, err := parseLength(value)
			if err != nil || bodyLength != unknown && length != bodyLength {
				return 0, ErrMalformed
			}
			bodyLength = length
		case "transfer-encoding":
			return 0, ErrUnsupportedTransferCoding
		case "connection":
			message.Close = message.Close || hasOption(value, "close")
		case "retry-after":
			message.RetryAfter, _ = strconv.Atoi(value)
		}
	}
	return max(0, bodyLength), nil
}

// parseLength parses a content length, which may contain only digits.
func parseLength(value string) (int, error) {
	if value == "" || len(value) > maxLengthDigits || strings.Trim(value, "0123456789") != "" {
		return 0, ErrMalformed
	}
	return strconv.Atoi(value)
}

// hasOption reports whether a comma-separated list contains an option, ignoring case.
func hasOption(list, option string) bool {
	for _, o := range strings.Split(list, ",") {
		if strings.EqualFold(strings.TrimSpace(o), option) {
			return true
		}
	}
	return false
}

// isToken reports whether a text is an HTTP token, which is the syntax of method and field names.
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

// isPrintable reports whether a text contains only printable ASCII characters and no spaces.
func isPrintable(s string) bool {
	for i := 0; i < len(s); i++ {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return true
}

// isFieldValue reports whether a text contains no control characters other than tabs.
func isFieldValue(s string) bool {
	for i := 0; i < len(s); i++ {
		if s[i] < ' ' && s[i] != '\t' || s[i] == 0x7f {
			return false
		}
	}
	return true
}
