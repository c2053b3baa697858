package protocol

import (
	"pipitgap/internal/monotime"
	"pipitgap/internal/transport"
)

// CommandResult is the result of a CommandRequest. With status 200 or 409 it contains the worker's heartbeat.
// Status 0 means that there was no usable response.
type CommandResult struct {
	Status    int // HTTP status
	Heartbeat Heartbeat
}

// OK reports whether the worker executed the request.
func (r *CommandResult) OK() bool { return r.Status == transport.StatusOK }

// CallWorker sends a batch of commands to a worker and waits for the result. A nil request only polls the
// worker for its heartbeat.
func CallWorker(client *transport.Client, req *CommandRequest, timeout monotime.Micros) CommandResult {
	request := wireRequest{method: "GET", target: WorkerReportPath, timeout: timeout}
	if req != nil {
		request = wireRequest{
			method: "POST", target: WorkerCommandsPath, body: MustMarshal(req), timeout: timeout,
		}
	}
	message, outcome := send(client, request)
	if outcome == Unknown ||
		message.Status != transport.StatusOK && message.Status != transport.StatusConflict {
		return CommandResult{}
	}
	result := CommandResult{Status: message.Status}
	if Unmarshal(message.Body, &result.Heartbeat) != nil {
		return CommandResult{}
	}
	return result
}
