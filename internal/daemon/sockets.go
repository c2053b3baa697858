package daemon

// Parts of the sockets that the process may open. One fifth is not for inbound connections. Half of this
// fifth is for idle connections to workers, a quarter is for command batches in flight to workers, and the
// rest is for other calls and for connections that the server's loop has accepted but not closed yet.
const (
	tenthsPerWhole      = 10
	serverTenths        = 8  // tenths of the sockets for the server, minus reservedSockets
	reservedSockets     = 32 // sockets subtracted from the server's part
	minServerSockets    = 16
	workerDivisor       = 10 // one socket in 10 is for an idle connection to a worker
	minWorkerSockets    = 2
	commandDivisor      = 20 // one socket in 20 is for a command batch in flight
	minCommandsInFlight = 2
	maxCommandsInFlight = 128
)

// socketLimits contains the socket limits of the process's uses.
type socketLimits struct {
	server   int // connections from users, workers and peers
	workers  int // idle connections to workers
	commands int // command batches in flight
}

// newSocketLimits divides the sockets that the process may open: the platform's limit, or the operators'
// setting if it is lower. A setting of 0 means no limit by the operators.
func newSocketLimits(platformLimit, setting int) socketLimits {
	sockets := platformLimit
	if setting > 0 {
		sockets = min(sockets, setting)
	}
	return socketLimits{
		server:   max(minServerSockets, sockets*serverTenths/tenthsPerWhole-reservedSockets),
		workers:  max(minWorkerSockets, sockets/workerDivisor),
		commands: max(minCommandsInFlight, min(maxCommandsInFlight, sockets/commandDivisor)),
	}
}
