package loopback

import (
	"net/http"
	"sync"

	"pipitgap/internal/fake"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/transport"
)

// workerHandler answers direct commands as a machine's worker does.
type workerHandler struct {
	clock    *RealTimeClock
	fleet    *fake.WorkerFleet
	endpoint func() string
}

func (h *workerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var request *protocol.CommandRequest
	if r.URL.Path == protocol.WorkerCommandsPath {
		request = &protocol.CommandRequest{}
		if !readMessage(r, request) || request.FencingToken == 0 || request.Incarnation == 0 {
			writeMessage(w, http.StatusBadRequest, nil)
			return
		}
	}
	answered := make(chan protocol.CommandResult, 1)
	gone := false
	h.clock.Do(func() {
		worker := h.fleet.ByEndpoint[h.endpoint()]
		if gone = worker == nil || worker.Machine.Gone || worker.Partitioned; gone {
			return
		}
		execute := func() { answered <- executeRequest(worker, request) }
		if worker.Paused {
			worker.Defer(execute)
		} else {
			execute()
		}
	})
	if gone {
		resetConnection(w)
		return
	}
	select {
	case result := <-answered:
		writeMessage(w, result.Status, &result.Heartbeat)
	case <-r.Context().Done():
	}
}

// executeRequest carries a batch out, or without one gives the worker's report.
func executeRequest(worker *fake.Worker, request *protocol.CommandRequest) protocol.CommandResult {
	if request == nil {
		return protocol.CommandResult{Status: http.StatusOK, Heartbeat: *worker.Heartbeat()}
	}
	return worker.Execute(request)
}

// heartbeatSender carries workers' reports to the controllers.
type heartbeatSender struct {
	clock   *RealTimeClock
	mu      sync.Mutex
	clients map[string]*transport.Client // by controller
	addr    func(node string) string
}

// Bounds of the workers' connections.
const (
	heartbeatConnections = 32
	maxHeartbeatReply    = 64 << 10
	heartbeatTimeout     = 4 * monotime.Second
)

func (p *heartbeatSender) client(node string) *transport.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients[node] == nil {
		p.clients[node] = transport.NewClient(p.addr(node), heartbeatConnections, maxHeartbeatReply)
	}
	return p.clients[node]
}

// send carries one report; it is called on the simulation.
func (p *heartbeatSender) send(
	_ *fake.Worker,
	node string,
	body []byte,
	back func(status int, reply []byte),
) {
	client := p.client(node)
	go func() {
		message, err := client.Do("POST", protocol.HeartbeatPath, body, heartbeatTimeout)
		p.clock.Do(func() {
			if err != nil {
				back(0, nil)
				return
			}
			back(message.Status, message.Body)
		})
	}()
}
