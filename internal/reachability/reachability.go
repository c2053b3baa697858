// Package reachability judges whether this controller reaches its workers, the state service and the other
// controllers, which of those are fit for machines and tasks, and whether its process was paused.
//
// What a controller holds counts only while it reaches it. One whose workers have all fallen silent, while
// others hear theirs, hands its shards over and takes no new machines; one that was paused trusts nothing
// until it has heard from the state service again.
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

// Membership tells which controllers are members.
type Membership interface {
	// LiveControllers lists the controllers that are members, in order.
	LiveControllers() []string
	// LeaseRenewedAt returns when this controller's lease was last renewed.
	LeaseRenewedAt() monotime.Micros
}

// Store tells of the calls of the state service.
type Store interface {
	// Unavailable reports whether the state service has lately not answered.
	Unavailable() bool
	// LastSuccessAt returns when it last answered.
	LastSuccessAt() monotime.Micros
}

// Environment is the clock, randomness and the connection to the workers. Callbacks come on the caller's
// goroutine, never before SendCommands returns.
type Environment interface {
	// Now reads the steady clock.
	Now() monotime.Micros
	// Rand is the source of randomness.
	Rand() *rand.Rand
	// SendCommands sends a request to the worker at an endpoint; nil only requests its heartbeat.
	SendCommands(
		endpoint string,
		request *protocol.CommandRequest,
		within monotime.Micros,
		callback func(protocol.CommandResult),
	)
}

// Options is what a Reachability is made of.
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

	// HasAgent reports whether a machine is claimed by this controller.
	HasAgent func(machine *mirror.Machine) bool
	// HandOffShards transfers this controller's shards to others.
	HandOffShards func(now monotime.Micros)
	// RequestPass requests a scheduling pass.
	RequestPass func()
}

// Reachability judges what this controller reaches. Its methods are called on one goroutine.
type Reachability struct {
	options      Options
	node         string
	mirror       *mirror.Mirror
	peerStatuses *peers.Table
	membership   Membership
	store        Store
	env          Environment
	log          *slog.Logger

	workersUnreachableSince monotime.Micros // 0: they are reached, as far as is known
	mostWorkersResponsive   bool
	silenceProbesInFlight   int
	lastProbeSuccessAt      monotime.Micros // when a silent machine last answered a probe
	nextProbeAt             monotime.Micros // while the workers are unreachable
}

// New makes the reachability of a controller that has workers yet to hear.
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
