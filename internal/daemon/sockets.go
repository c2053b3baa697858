package daemon

// Parts of the sockets that the process may open. A fifth is not for what comes in: of it half keeps
// connections to workers, a quarter carries commands to them, and the rest is for other calls and for what
// the server's loop has accepted but not yet closed.
const (
	tenths              = 10
	serverTenths        = 8  // tenths of the sockets that the server has, reservedSockets taken off
	reservedSockets     = 32 // of them
	minServerSockets    = 16
	workerDivisor       = 10 // one socket in so many keeps a connection to a worker
	minWorkerSockets    = 2
	commandDivisor      = 20 // one in so many carries commands
	minCommandsInFlight = 2
	maxCommandsInFlight = 128
)

// socketLimits divides the sockets.
type socketLimits struct {
	server   int // connections of users, workers and peers
	workers  int // kept connections to workers
	commands int // batches of commands in flight
}

// newSocketLimits divides the sockets that the platform allows, or as many of them as the operators' setting
// allows; 0 there sets no limit.
func newSocketLimits(platformLimit, setting int) socketLimits {
	sockets := platformLimit
	if setting > 0 {
		sockets = min(sockets, setting)
	}
	return socketLimits{
		server:   max(minServerSockets, sockets*serverTenths/tenths-reservedSockets),
		workers:  max(minWorkerSockets, sockets/workerDivisor),
		commands: max(minCommandsInFlight, min(maxCommandsInFlight, sockets/commandDivisor)),
	}
}
