package protocol

import "pipitgap/internal/transport"

// ErrorResponse returns a response that rejects a request with a reason.
func ErrorResponse(status int, reason string) transport.Response {
	return transport.Response{Status: status, Body: MustMarshal(&ErrorBody{Error: reason})}
}
