package daemon

import "pipitgap/internal/transport"

// workerPool keeps a connection to each of the workers that were called last. It belongs to the controller's
// goroutine. A controller that alone carries a fleet of thousands would hold more idle connections than it
// has sockets to spare, and closing all of them at once would have all of them dialled again.
type workerPool struct {
	maxClients int
	clock      uint64
	clients    map[string]*pooledClient
}

// pooledClient is the client of one worker.
type pooledClient struct {
	client   *transport.Client
	lastUsed uint64 // when, in turns of the pool
}

// client returns the client of an endpoint; the one that was used longest ago makes
// room for a new one. What it has in flight ends as usual.
func (p *workerPool) client(endpoint string) *transport.Client {
	if p.clients == nil {
		p.clients = map[string]*pooledClient{}
	}
	p.clock++
	if entry := p.clients[endpoint]; entry != nil {
		entry.lastUsed = p.clock
		return entry.client
	}
	if len(p.clients) >= p.maxClients {
		oldest := ""
		for name, entry := range p.clients {
			if oldest == "" || entry.lastUsed < p.clients[oldest].lastUsed {
				oldest = name
			}
		}
		p.clients[oldest].client.Close()
		delete(p.clients, oldest)
	}
	entry := &pooledClient{client: transport.NewClient(endpoint, 1, transport.MaxBody), lastUsed: p.clock}
	p.clients[endpoint] = entry
	return entry.client
}

// close drops all connections.
func (p *workerPool) close() {
	for _, entry := range p.clients {
		entry.client.Close()
	}
	clear(p.clients)
}
