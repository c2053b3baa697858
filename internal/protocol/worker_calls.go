package protocol

import (
	"pipitgap/internal/monotime"
	"pipitgap/internal/transport"
)

// CommandResult answers a direct command batch. With Status 200 or 409 it carries
// the worker's report; 0 means that there was no usable response.
type CommandResult struct {
	Status    int // of the HTTP response
	Heartbeat Heartbeat
}

// OK reports whether the worker has carried the request out.
func (r *CommandResult) OK() bool { return r.Status == transport.StatusOK }

// CallWorker sends a command batch to a worker; without one it only requests the
// worker's report.
func CallWorker(client *transport.Client, req *CommandRequest, within monotime.Micros) CommandResult {
	request := wireRequest{method: "GET", target: WorkerReportPath, timeout: within}
	if req != nil {
		request = wireRequest{
			method: "POST", target: WorkerCommandsPath, body: MustMarshal(req), timeout: within,
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
