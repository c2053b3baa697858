package loopback

import (
	"net/http"
	"sync"

	"pipitgap/internal/fake"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/transport"
)

// workerHandler serves a fake worker over HTTP. It executes batches of direct commands, and answers any other
// request (a probe) with the worker's heartbeat.
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
		if gone = worker == nil || worker.Machine.Gone || worker.Partitioned; gone || worker.Deaf {
			return
		}
		execute := func() { answered <- executeRequest(worker, request) }
		if worker.Paused {
			worker.DeferCommand(execute)
		} else {
			execute()
		}
	})
	if gone {
		resetConnection(w)
		return
	}
	select { // a command that is lost gets no answer
	case result := <-answered:
		writeMessage(w, result.Status, &result.Heartbeat)
	case <-r.Context().Done():
	}
}

// executeRequest executes a batch of direct commands. For a probe, request is nil and the result is the
// worker's heartbeat.
func executeRequest(worker *fake.Worker, request *protocol.CommandRequest) protocol.CommandResult {
	if request == nil {
		return protocol.CommandResult{Status: http.StatusOK, Heartbeat: *worker.Heartbeat()}
	}
	return worker.Execute(request)
}

// heartbeatSender sends the heartbeats of workers to controllers over HTTP.
type heartbeatSender struct {
	clock   *RealTimeClock
	mu      sync.Mutex
	clients map[string]*transport.Client // by controller
	addr    func(node string) string
	isLost  func(worker *fake.Worker, node string, body []byte) bool // may be nil
}

// Limits of the workers' connections to each controller.
const (
	heartbeatConnections = 32
	maxHeartbeatReply    = 64 << 10
	heartbeatTimeout     = 4 * monotime.Second
)

func (s *heartbeatSender) client(node string) *transport.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.clients[node] == nil {
		s.clients[node] = transport.NewClient(s.addr(node), heartbeatConnections, maxHeartbeatReply)
	}
	return s.clients[node]
}

// send sends a heartbeat without blocking and passes the response to callback, with status 0 if there is
// none. Both send and callback run inside clock.Do.
func (s *heartbeatSender) send(
	worker *fake.Worker,
	node string,
	body []byte,
	callback func(status int, reply []byte),
) {
	if s.isLost == nil || !s.isLost(worker, node, body) {
		s.post(node, body, callback)
	}
}

// post sends a heartbeat, or a copy of one, to a controller.
func (s *heartbeatSender) post(node string, body []byte, callback func(status int, reply []byte)) {
	client := s.client(node)
	go func() {
		message, err := client.Do("POST", protocol.HeartbeatPath, body, heartbeatTimeout)
		s.clock.Do(func() {
			if err != nil {
				callback(0, nil)
				return
			}
			callback(message.Status, message.Body)
		})
	}()
}
