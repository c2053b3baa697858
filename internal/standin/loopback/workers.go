package loopback

import (
	"net/http"
	"sync"

	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
	"pipitgap/internal/standin"
	"pipitgap/internal/transport"
)

// workerHandler answers direct commands as a machine's worker does.
type workerHandler struct {
	clock    *Clock
	fleet    *standin.Fleet
	endpoint func() string
}

func (h *workerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var request *protocol.DoRequest
	if r.URL.Path == "/do" {
		request = &protocol.DoRequest{}
		if !read(r, request) || request.Token == 0 || request.Session == 0 {
			write(w, http.StatusBadRequest, nil)
			return
		}
	}
	answered := make(chan protocol.DoResult, 1)
	gone := false
	h.clock.Do(func() {
		worker := h.fleet.At[h.endpoint()]
		if gone = worker == nil || worker.Machine.Gone || worker.Silent; gone {
			return
		}
		execute := func() { answered <- execute(worker, request) }
		if worker.Hanging {
			worker.Hold(execute)
		} else {
			execute()
		}
	})
	if gone {
		reset(w)
		return
	}
	select {
	case result := <-answered:
		write(w, result.Status, &result.Report)
	case <-r.Context().Done():
	}
}

// execute carries a batch out, or without one gives the worker's report.
func execute(worker *standin.Worker, request *protocol.DoRequest) protocol.DoResult {
	if request == nil {
		return protocol.DoResult{Status: http.StatusOK, Report: *worker.Body()}
	}
	return worker.Do(request)
}

// reporter carries workers' reports to the controllers.
type reporter struct {
	clock   *Clock
	mu      sync.Mutex
	clients map[string]*transport.Client // by controller
	addr    func(node string) string
}

// Bounds of the workers' connections.
const (
	reportConnections = 32
	reportAnswer      = 64 << 10
	reportTimeout     = 4 * micros.Second
)

func (p *reporter) client(node string) *transport.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients[node] == nil {
		p.clients[node] = transport.NewClient(p.addr(node), reportConnections, reportAnswer)
	}
	return p.clients[node]
}

// send carries one report; it is called on the simulation.
func (p *reporter) send(_ *standin.Worker, node string, body []byte, back func(status int, reply []byte)) {
	client := p.client(node)
	go func() {
		message, err := client.Do("POST", protocol.HeartbeatPath, body, reportTimeout)
		p.clock.Do(func() {
			if err != nil {
				back(0, nil)
				return
			}
			back(message.Status, message.Body)
		})
	}()
}
