// Package daemon puts a controller together: the core actor, its mailbox, the
// evio server and the outbound clients.
package daemon

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"runtime"
	"runtime/debug"
	"time"

	"pipitgap/internal/config"
	"pipitgap/internal/coordination"
	"pipitgap/internal/monotime"
	"pipitgap/internal/peers"
	"pipitgap/internal/protocol"
	"pipitgap/internal/transport"
)

// Bounds of the daemon.
const (
	mailboxSize       = 4096
	maxWorkerCommands = 128     // direct commands in flight, or a twentieth of the sockets
	maxStoreBody      = 8 << 20 // watches have no size limit of their own
	maxCloudBody      = 2 << 20
)

// environment is the core's environment in a running daemon. It belongs to the core's
// goroutine; only its mailbox is spoken to from others.
type environment struct {
	clock               func() monotime.Micros
	random              *rand.Rand
	mailbox             chan func()
	store               *transport.Client
	cloud               *transport.Client
	peers               map[string]*transport.PeerLink
	workers             workerPool
	commandsInFlight    int // direct commands
	maxCommandsInFlight int
	timers              timerHeap
}

func (w *environment) Now() monotime.Micros { return w.clock() }
func (w *environment) WallClock() int64     { return time.Now().UnixMicro() }
func (w *environment) Rand() *rand.Rand     { return w.random }

func (w *environment) After(d monotime.Micros, f func()) { w.timers.schedule(w.clock()+d, f) }

func (w *environment) CallStore(c *protocol.StoreCall, back func(protocol.StoreResult)) {
	go func() {
		r := protocol.CallStore(w.store, c)
		w.mailbox <- func() { back(r) }
	}()
}

func (w *environment) CallCloud(c *protocol.CloudCall, back func(protocol.CloudResult)) {
	go func() {
		r := protocol.CallCloud(w.cloud, c)
		w.mailbox <- func() { back(r) }
	}()
}

func (w *environment) SendCommands(
	endpoint string, req *protocol.CommandRequest, within monotime.Micros, back func(protocol.CommandResult),
) {
	if w.commandsInFlight >= w.maxCommandsInFlight {
		// Guards the socket limit; the worker's next report brings the commands.
		w.After(monotime.Millisecond, func() { back(protocol.CommandResult{}) })
		return
	}
	client := w.workers.client(endpoint)
	w.commandsInFlight++
	go func() {
		r := protocol.CallWorker(client, req, within)
		w.mailbox <- func() { w.commandsInFlight--; back(r) }
	}()
}

func (w *environment) SendPeerStatus(node string, status peers.Status) {
	l := w.peers[node]
	if l == nil {
		return
	}
	if frame, err := encodePeerFrame(&status); err == nil {
		l.Send(frame)
	}
}

// Run serves until something ends it, which is always an error.
func Run(cfg *config.Config, settings config.Settings, log *slog.Logger) error {
	runtime.GOMAXPROCS(1)
	quota := cfg.Facts.Quota
	debug.SetMemoryLimit(int64(quota.MemoryMB * 0.55 * (1 << 20)))

	clock := monotime.NewClock()
	e := &environment{
		clock:   clock,
		random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		mailbox: make(chan func(), mailboxSize),
		store:   transport.NewClient(cfg.External.State, 10, maxStoreBody),
		cloud:   transport.NewClient(cfg.External.Cloud, 2, maxCloudBody),
		peers:   map[string]*transport.PeerLink{},
	}
	for _, p := range cfg.Peers {
		e.peers[p.Node] = transport.NewPeerLink(p.Addr)
	}
	core := coordination.NewController(cfg, settings, e, log)

	sockets := quota.MaxConnections
	if settings.MaxConnections > 0 {
		sockets = min(sockets, settings.MaxConnections)
	}
	// Of the fifth of the sockets that is not for what comes in, half keeps
	// connections to workers, a quarter carries commands to them.
	e.workers.maxClients, e.maxCommandsInFlight = max(
		2,
		sockets/10,
	), max(
		2,
		min(maxWorkerCommands, sockets/20),
	)
	server := &transport.Server{
		Now: clock,
		// A fifth of the sockets is left for outbound calls and for what the
		// loop has accepted but not yet closed.
		MaxConns:       max(16, sockets*8/10-32),
		IdleTimeout:    60 * monotime.Second,
		RequestTimeout: 10 * monotime.Second,
		OnRequest: func(r *transport.Request) {
			f := func() {
				core.HandleRequest(
					r.Message.Method,
					r.Message.Target,
					r.Message.Body,
					r.Respond,
				)
			}
			select {
			case e.mailbox <- f:
			default:
				r.Respond(transport.Response{Status: 503, RetryAfter: 1}) // mailbox full: answered at once
			}
		},
		OnPeerFrame: func(frame []byte) {
			status, err := decodePeerFrame(frame)
			if err != nil {
				return
			}
			select {
			case e.mailbox <- func() { core.OnPeerStatus(status) }:
			default: // a status may be lost: the next one follows soon
			}
		},
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(cfg.PublicAddr, cfg.PeerBind) }()
	log.Info(
		"listening",
		"public_addr",
		cfg.PublicAddr,
		"peer_addr",
		cfg.PeerBind,
		"max_connections",
		server.MaxConns,
	)
	core.Start()
	summary := clock()
	timer := time.NewTimer(time.Hour)
	for {
		timer.Reset(e.timers.untilNext(clock()).Duration())
		select {
		case f := <-e.mailbox:
			f()
		case <-timer.C:
		case err := <-ended:
			return fmt.Errorf("server on %s: %w", cfg.PublicAddr, err)
		}
		e.timers.runDue(clock())
		if now := clock(); now-summary > 30*monotime.Second {
			summary = now
			log.Info("summary", "counts", core.Summary())
			core.LogQueue()
		}
	}
}
