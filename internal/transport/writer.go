package transport

import "strconv"

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
