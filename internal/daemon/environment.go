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

// Bounds of the connections to other services.
const (
	mailboxSize      = 4096
	storeConnections = 10 // that are kept open
	cloudConnections = 2
	maxStoreBody     = 8 << 20 // bytes; watches have no size limit of their own
	maxCloudBody     = 2 << 20
)

// environment is the controller's environment in a running daemon. It belongs to the controller's goroutine;
// only its mailbox is used from others. Each call of a service has a goroutine, which ends with the call's
// timeout.
type environment struct {
	clock               func() monotime.Micros
	random              *rand.Rand
	mailbox             chan func()
	closed              chan struct{} // the mailbox is no longer read
	store               *transport.Client
	cloud               *transport.Client
	peers               map[string]*transport.PeerLink
	workers             workerPool
	commandsInFlight    int // batches of commands that are sent to workers
	maxCommandsInFlight int
	timers              timerHeap
}

// newEnvironment makes the environment with its clients, which end with close.
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

// close ends all connections; what is in flight ends as it would, and its result is dropped.
func (e *environment) close() {
	close(e.closed)
	e.store.Close()
	e.cloud.Close()
	for _, link := range e.peers {
		link.Close()
	}
	e.workers.close()
}

// deliver has a function called on the controller's goroutine.
func (e *environment) deliver(f func()) {
	select {
	case e.mailbox <- f:
	case <-e.closed:
	}
}

// tryDeliver is deliver if the mailbox has room.
func (e *environment) tryDeliver(f func()) bool {
	select {
	case e.mailbox <- f:
		return true
	default:
		return false
	}
}

// Now reads the steady clock.
func (e *environment) Now() monotime.Micros { return e.clock() }

// WallClock reads the time of day, in microseconds.
func (e *environment) WallClock() int64 { return time.Now().UnixMicro() }

// Rand is the source of randomness.
func (e *environment) Rand() *rand.Rand { return e.random }

// After has a function called after a delay.
func (e *environment) After(delay monotime.Micros, f func()) { e.timers.schedule(e.clock()+delay, f) }

// CallStore calls the state service.
func (e *environment) CallStore(call *protocol.StoreCall, callback func(protocol.StoreResult)) {
	go func() {
		result := protocol.CallStore(e.store, call)
		e.deliver(func() { callback(result) })
	}()
}

// CallCloud calls the cloud.
func (e *environment) CallCloud(call *protocol.CloudCall, callback func(protocol.CloudResult)) {
	go func() {
		result := protocol.CallCloud(e.cloud, call)
		e.deliver(func() { callback(result) })
	}()
}

// SendCommands sends commands to a worker, or requests its report where there are none.
func (e *environment) SendCommands(
	endpoint string,
	request *protocol.CommandRequest,
	within monotime.Micros,
	callback func(protocol.CommandResult),
) {
	if e.commandsInFlight >= e.maxCommandsInFlight {
		// Keeps within the socket limit; the answer to the worker's next heartbeat carries the commands.
		e.After(monotime.Millisecond, func() { callback(protocol.CommandResult{}) })
		return
	}
	client := e.workers.client(endpoint)
	e.commandsInFlight++
	go func() {
		result := protocol.CallWorker(client, request, within)
		e.deliver(func() { e.commandsInFlight--; callback(result) })
	}()
}

// SendPeerStatus sends a status to another controller; it may be lost.
func (e *environment) SendPeerStatus(node string, status peers.Status) {
	link := e.peers[node]
	if link == nil {
		return
	}
	if frame, err := encodePeerFrame(&status); err == nil {
		link.Send(frame)
	}
}
