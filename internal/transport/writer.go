package transport

import "strconv"

// reasonPhrases maps statuses to the reason phrases of the status line.
var reasonPhrases = map[int]string{
	StatusOK:                 "OK",
	StatusCreated:            "Created",
	StatusBadRequest:         "Bad Request",
	StatusNotFound:           "Not Found",
	StatusMethodNotAllowed:   "Method Not Allowed",
	StatusTimeout:            "Request Timeout",
	StatusContentTooLarge:    "Content Too Large",
	StatusURITooLong:         "URI Too Long",
	StatusMisdirected:        "Misdirected Request",
	StatusUnprocessable:      "Unprocessable Content",
	StatusTooManyRequests:    "Too Many Requests",
	StatusHeaderTooLarge:     "Request Header Fields Too Large",
	StatusInternalError:      "Internal Server Error",
	StatusNotImplemented:     "Not Implemented",
	StatusUnavailable:        "Service Unavailable",
	StatusVersionUnsupported: "HTTP Version Not Supported",
}

// AppendResponse appends an encoded response to b. With closing set, the response announces that the server
// closes the connection.
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

// AppendRequest appends an encoded request to b.
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
