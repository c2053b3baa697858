package protocol

import "pipitgap/internal/transport"

// ErrorResponse answers a request that isn't carried out with the reason.
func ErrorResponse(status int, reason string) transport.Response {
	return transport.Response{Status: status, Body: MustMarshal(&ErrorBody{Error: reason})}
}
