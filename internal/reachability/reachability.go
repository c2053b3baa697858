// Package reachability determines whether this controller reaches its workers, the state service and the
// other controllers, which controllers may be assigned machines and tasks, and whether the process was
// paused.
//
// Ownership of a machine is useful only while the owner reaches the machine's worker. A controller whose
// workers are all silent, while other controllers reach theirs, transfers its shards and claims no new
// machines. A controller whose process was paused distrusts its mirror for a short time,
// until the state service has responded again, see PauseDetector.
package reachability

import (
	"log/slog"
	"math/rand/v2"

	"pipitgap/internal/durations"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/peers"
	"pipitgap/internal/protocol"
)

// Membership provides the live controllers and this controller's lease.
type Membership interface {
	// LiveControllers returns the names of the controllers that are members, in ascending order.
	LiveControllers() []string
	// LeaseRenewedAt returns when this controller's lease was last renewed.
	LeaseRenewedAt() monotime.Micros
}

// Store reports the outcome of recent calls to the state service.
type Store interface {
	// Unavailable reports whether recent calls to the state service got no response.
	Unavailable() bool
	// LastSuccessAt returns when the state service last responded.
	LastSuccessAt() monotime.Micros
}

// Environment provides the clock, randomness and the connection to the workers. Callbacks run on the caller's
// goroutine, never before SendCommands returns.
type Environment interface {
	// Now reads the monotonic clock.
	Now() monotime.Micros
	// Rand returns the random number generator.
	Rand() *rand.Rand
	// SendCommands sends a request to the worker at an endpoint. A nil request only polls the worker for its
	// heartbeat.
	SendCommands(
		endpoint string,
		request *protocol.CommandRequest,
		timeout monotime.Micros,
		callback func(protocol.CommandResult),
	)
}

// Options configures a Reachability and provides its dependencies.
type Options struct {
	Node      string
	Peers     []string // names of the other controllers
	Durations durations.Platform

	Mirror       *mirror.Mirror
	PeerStatuses *peers.Table
	Membership   Membership
	Store        Store
	Environment  Environment
	Log          *slog.Logger

	// HasAgent reports whether this controller has claimed a machine.
	HasAgent func(machine *mirror.Machine) bool
	// HandOffShards transfers this controller's shards to other controllers.
	HandOffShards func(now monotime.Micros)
	// RequestPass requests a scheduling pass.
	RequestPass func()
}

// Reachability determines which workers, peers and services this controller reaches. It is not safe for
// concurrent use.
type Reachability struct {
	options      Options
	node         string
	mirror       *mirror.Mirror
	peerStatuses *peers.Table
	membership   Membership
	store        Store
	env          Environment
	log          *slog.Logger

	workersUnreachableSince monotime.Micros // 0: the workers are not known to be unreachable
	mostWorkersResponsive   bool
	silenceProbesInFlight   int
	lastProbeSuccessAt      monotime.Micros // when a silent machine last responded to a probe
	nextProbeAt             monotime.Micros // when to send the next probe while the workers are unreachable
}

// New creates a Reachability. Whether the workers are reachable is unknown at first.
func New(options Options) *Reachability {
	return &Reachability{
		options:      options,
		node:         options.Node,
		mirror:       options.Mirror,
		peerStatuses: options.PeerStatuses,
		membership:   options.Membership,
		store:        options.Store,
		env:          options.Environment,
		log:          options.Log,
	}
}
