package coordination

import (
	"strings"

	"pipitgap/internal/protocol"
	"pipitgap/internal/transport"
)

// Response is the response to a request of a user or a worker.
type Response = transport.Response

// healthPath is the path of health checks.
const healthPath = "/healthz"

// route is the method and the handler of a path.
type route struct {
	method string // the only method that the path accepts
	handle func(body []byte, respond func(Response))
}

// HandleRequest answers a request of a user or a worker. respond may be called after HandleRequest has returned:
// a user's request can wait for the state service, and a heartbeat also for the claim of the machine and for the
// checks before that claim.
func (c *Controller) HandleRequest(method, target string, body []byte, respond func(Response)) {
	c.pauses.DetectPause(c.now())
	path, query, _ := strings.Cut(target, "?")
	if query != "" && path != healthPath {
		respond(protocol.ErrorResponse(transport.StatusBadRequest, "no parameters are known here"))
		return
	}
	route, ok := c.routeOf(path)
	if !ok {
		respond(protocol.ErrorResponse(transport.StatusNotFound, "no such path"))
		return
	}
	if method != route.method {
		respond(protocol.ErrorResponse(transport.StatusMethodNotAllowed, "use "+route.method))
		return
	}
	route.handle(body, respond)
}

// routeOf returns the route of a path. ok is false for an unknown path.
func (c *Controller) routeOf(path string) (r route, ok bool) {
	switch path {
	case healthPath:
		return route{"GET", func(_ []byte, respond func(Response)) { respond(c.api.Health()) }}, true
	case protocol.HeartbeatPath:
		return route{"POST", c.agents.HandleHeartbeat}, true
	case protocol.JobsPath:
		return route{"POST", func(body []byte, respond func(Response)) { c.api.Submit(body, respond) }}, true
	}
	id, cancel, ok := protocol.ParseJobPath(path)
	switch {
	case !ok:
		return route{}, false
	case cancel:
		return route{"POST", func(_ []byte, respond func(Response)) { c.api.Cancel(id, respond) }}, true
	case strings.Contains(id, "/"):
		return route{}, false
	default:
		return route{"GET", func(_ []byte, respond func(Response)) { c.api.Status(id, respond) }}, true
	}
}
