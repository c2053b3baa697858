package daemon

import (
	"math/rand/v2"
	"time"

	"pipitgap/internal/config"
	"pipitgap/internal/monotime"
	"pipitgap/internal/peers"
	"pipitgap/internal/protocol"
	"pipitgap/internal/transport"
)

// Sizes of the mailbox and limits of the connections to other services.
const (
	mailboxSize      = 4096    // functions
	storeConnections = 10      // idle connections kept open
	cloudConnections = 2       // idle connections kept open
	maxStoreBody     = 8 << 20 // bytes per response body; the protocol has no size limit for watch responses
	maxCloudBody     = 2 << 20 // bytes per response body
)

// environment is the controller's environment in a running daemon. Only the controller's goroutine uses it,
// except for the mailbox, which other goroutines use too. Each call to a service runs in its own goroutine,
// which ends at the call's timeout at the latest.
type environment struct {
	clock               func() monotime.Micros
	random              *rand.Rand
	mailbox             chan func()
	closed              chan struct{} // closed when the mailbox is no longer read
	store               *transport.Client
	cloud               *transport.Client
	peers               map[string]*transport.PeerLink
	workers             workerPool
	commandsInFlight    int // number of command batches in flight to workers
	maxCommandsInFlight int
	timers              timerHeap
}

// newEnvironment returns an environment with its clients. The caller must call close to release them.
func newEnvironment(cfg *config.Config, limits socketLimits) *environment {
	e := &environment{
		clock:               monotime.NewClock(),
		random:              rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		mailbox:             make(chan func(), mailboxSize),
		closed:              make(chan struct{}),
		store:               transport.NewClient(cfg.External.State, storeConnections, maxStoreBody),
		cloud:               transport.NewClient(cfg.External.Cloud, cloudConnections, maxCloudBody),
		peers:               map[string]*transport.PeerLink{},
		workers:             workerPool{maxClients: limits.workers},
		maxCommandsInFlight: limits.commands,
	}
	for _, peer := range cfg.Peers {
		e.peers[peer.Node] = transport.NewPeerLink(peer.Addr)
	}
	return e
}

// close closes all clients. Calls in flight continue to their end, and their results are dropped.
func (e *environment) close() {
	close(e.closed)
	e.store.Close()
	e.cloud.Close()
	for _, link := range e.peers {
		link.Close()
	}
	e.workers.close()
}

// deliver queues a function that the controller's goroutine calls. It blocks while the mailbox is full.
func (e *environment) deliver(f func()) {
	select {
	case e.mailbox <- f:
	case <-e.closed:
	}
}

// tryDeliver is like deliver, but returns false instead of blocking if the mailbox is full.
func (e *environment) tryDeliver(f func()) bool {
	select {
	case e.mailbox <- f:
		return true
	default:
		return false
	}
}

// Now returns the time of the monotonic clock.
func (e *environment) Now() monotime.Micros { return e.clock() }

// WallClock returns the time of day in microseconds.
func (e *environment) WallClock() int64 { return time.Now().UnixMicro() }

// Rand returns the random number generator.
func (e *environment) Rand() *rand.Rand { return e.random }

// After calls f on the controller's goroutine after a delay.
func (e *environment) After(delay monotime.Micros, f func()) { e.timers.schedule(e.clock()+delay, f) }

// CallStore calls the state service. The callback receives the result on the controller's goroutine.
func (e *environment) CallStore(call *protocol.StoreCall, callback func(protocol.StoreResult)) {
	go func() {
		result := protocol.CallStore(e.store, call)
		e.deliver(func() { callback(result) })
	}()
}

// CallCloud calls the cloud. The callback receives the result on the controller's goroutine.
func (e *environment) CallCloud(call *protocol.CloudCall, callback func(protocol.CloudResult)) {
	go func() {
		result := protocol.CallCloud(e.cloud, call)
		e.deliver(func() { callback(result) })
	}()
}

// SendCommands sends commands to a worker. A nil request only polls the worker for its heartbeat. The
// callback receives the result on the controller's goroutine.
func (e *environment) SendCommands(
	endpoint string,
	request *protocol.CommandRequest,
	timeout monotime.Micros,
	callback func(protocol.CommandResult),
) {
	if e.commandsInFlight >= e.maxCommandsInFlight {
		// One more batch could exceed the socket limit. The reply to the worker's next heartbeat contains the
		// commands instead.
		e.After(monotime.Millisecond, func() { callback(protocol.CommandResult{}) })
		return
	}
	client := e.workers.client(endpoint)
	e.commandsInFlight++
	go func() {
		result := protocol.CallWorker(client, request, timeout)
		e.deliver(func() { e.commandsInFlight--; callback(result) })
	}()
}

// SendPeerStatus sends a status to another controller. Delivery is not guaranteed.
func (e *environment) SendPeerStatus(node string, status peers.Status) {
	link := e.peers[node]
	if link == nil {
		return
	}
	if frame, err := encodePeerFrame(&status); err == nil {
		link.Send(frame)
	}
}
