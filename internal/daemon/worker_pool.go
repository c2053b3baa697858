package daemon

import "pipitgap/internal/transport"

// workerPool is a least recently used (LRU) cache of clients, each with one idle connection to a worker. Only
// the controller's goroutine uses it. Without the limit, the only live controller of a fleet of thousands of
// machines would hold more idle connections than it has spare sockets. Closing all connections at once would
// force it to redial all of them, so the pool evicts one client at a time.
type workerPool struct {
	maxClients int
	clock      uint64 // counts the uses of the pool
	clients    map[string]*pooledClient
}

// pooledClient is the client for one worker.
type pooledClient struct {
	client   *transport.Client
	lastUsed uint64 // value of the pool's clock at the last use
}

// client returns the client for an endpoint. If the pool is full and has no client for the endpoint, the
// least recently used client is evicted. Requests that the evicted client has in flight continue.
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
		leastRecent := ""
		for name, entry := range p.clients {
			if leastRecent == "" || entry.lastUsed < p.clients[leastRecent].lastUsed {
				leastRecent = name
			}
		}
		p.clients[leastRecent].client.Close()
		delete(p.clients, leastRecent)
	}
	entry := &pooledClient{client: transport.NewClient(endpoint, 1, transport.MaxBody), lastUsed: p.clock}
	p.clients[endpoint] = entry
	return entry.client
}

// close closes all clients.
func (p *workerPool) close() {
	for _, entry := range p.clients {
		entry.client.Close()
	}
	clear(p.clients)
}
