package protocol

import (
	"pipitgap/internal/monotime"
	"pipitgap/internal/transport"
)

// Outcome is the outcome of a call to the state service or the cloud.
type Outcome int

// Outcomes. Unknown means that the called service may have executed the call or may still execute it.
const (
	Unknown     Outcome = iota
	OK                  // 200
	Conflict            // 409: a condition failed and nothing changed
	NotFound            // 404
	Compacted           // 410: the watch starts at a revision that is no longer available
	Rejected            // 400
	NoCapacity          // 503 with "no capacity"
	Throttled           // 429: not executed
	Unavailable         // 503, or never sent: not executed
)

// String names the outcome for log lines and errors.
func (o Outcome) String() string {
	return [...]string{
		"unknown", "ok", "conflict", "not found", "too old", "rejected",
		"no capacity", "throttled", "unavailable",
	}[o]
}

// outcomeOf derives the outcome from a response. A call that failed without a response has the outcome
// Unknown.
func outcomeOf(message *transport.Message, err error) Outcome {
	if err != nil {
		return Unknown
	}
	switch message.Status {
	case transport.StatusOK, transport.StatusCreated, transport.StatusNoContent:
		return OK
	case transport.StatusBadRequest:
		return Rejected
	case transport.StatusNotFound:
		return NotFound
	case transport.StatusConflict:
		return Conflict
	case transport.StatusGone:
		return Compacted
	case transport.StatusTooManyRequests:
		return Throttled
	case transport.StatusUnavailable:
		return Unavailable
	}
	return Unknown
}

// wireRequest is an HTTP request to another service. A nil body means a request without a body.
type wireRequest struct {
	method, target string
	body           []byte
	timeout        monotime.Micros
}

// send sends a request and waits for the response. The response is nil if there was none.
func send(client *transport.Client, request wireRequest) (*transport.Message, Outcome) {
	message, err := client.Do(request.method, request.target, request.body, request.timeout)
	return message, outcomeOf(message, err)
}
