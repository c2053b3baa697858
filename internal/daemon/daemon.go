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
	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
	"pipitgap/internal/transport"
)

// Bounds of the daemon.
const (
	mailbox     = 4096
	mostWorkers = 128     // direct commands in flight, or a twentieth of the sockets
	storeBody   = 8 << 20 // watches have no size limit of their own
	cloudBody   = 2 << 20
)

// world is the core's environment in a running daemon. It belongs to the core's
// goroutine; only its mailbox is spoken to from others.
type world struct {
	clock      func() micros.T
	rnd        *rand.Rand
	box        chan func()
	store      *transport.Client
	cloud      *transport.Client
	peers      map[string]*transport.PeerLink
	workers    workerPool
	flying     int // direct commands
	mostFlying int
	timers     timerHeap
}

func (w *world) Now() micros.T    { return w.clock() }
func (w *world) Wall() int64      { return time.Now().UnixMicro() }
func (w *world) Rand() *rand.Rand { return w.rnd }

func (w *world) After(d micros.T, f func()) { w.timers.add(w.clock()+d, f) }

func (w *world) Store(c *protocol.StoreCall, back func(protocol.StoreResult)) {
	go func() {
		r := protocol.CallStore(w.store, c)
		w.box <- func() { back(r) }
	}()
}

func (w *world) Cloud(c *protocol.CloudCall, back func(protocol.CloudResult)) {
	go func() {
		r := protocol.CallCloud(w.cloud, c)
		w.box <- func() { back(r) }
	}()
}

func (w *world) Command(
	endpoint string, req *protocol.DoRequest, within micros.T, back func(protocol.DoResult),
) {
	if w.flying >= w.mostFlying {
		// Guards the socket limit; the worker's next report brings the commands.
		w.After(micros.Millisecond, func() { back(protocol.DoResult{}) })
		return
	}
	cl := w.workers.client(endpoint)
	w.flying++
	go func() {
		r := protocol.CallWorker(cl, req, within)
		w.box <- func() { w.flying--; back(r) }
	}()
}

func (w *world) Peer(node string, status coordination.PeerStatus) {
	l := w.peers[node]
	if l == nil {
		return
	}
	if frame, err := encodePeerFrame(&status); err == nil {
		l.Send(frame)
	}
}

// Run serves until something ends it, which is always an error.
func Run(cfg *config.Config, set config.Settings, log *slog.Logger) error {
	runtime.GOMAXPROCS(1)
	quota := cfg.Facts.Quota
	debug.SetMemoryLimit(int64(quota.MemoryMB * 0.55 * (1 << 20)))

	clock := micros.Steady()
	w := &world{
		clock: clock,
		rnd:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		box:   make(chan func(), mailbox),
		store: transport.NewClient(cfg.External.State, 10, storeBody),
		cloud: transport.NewClient(cfg.External.Cloud, 2, cloudBody),
		peers: map[string]*transport.PeerLink{},
	}
	for _, p := range cfg.Known {
		w.peers[p.Node] = transport.NewPeerLink(p.Addr)
	}
	core := coordination.NewCore(cfg, set, w, log)

	sockets := quota.MaxConnections
	if set.MaxConnections > 0 {
		sockets = min(sockets, set.MaxConnections)
	}
	// Of the fifth of the sockets that is not for what comes in, half keeps
	// connections to workers, a quarter carries commands to them.
	w.workers.most, w.mostFlying = max(2, sockets/10), max(2, min(mostWorkers, sockets/20))
	srv := &transport.Server{
		Now: clock,
		// A fifth of the sockets is left for outbound calls and for what the
		// loop has accepted but not yet closed.
		MaxConns: max(16, sockets*8/10-32),
		Idle:     60 * micros.Second,
		Partial:  10 * micros.Second,
		OnHTTP: func(r *transport.Request) {
			f := func() {
				core.OnRequest(r.Msg.Method, r.Msg.Target, r.Msg.Body, func(rep coordination.Reply) {
					r.Answer(transport.Reply{Status: rep.Status, RetryAfter: rep.RetryAfter, Body: rep.Body})
				})
			}
			select {
			case w.box <- f:
			default:
				r.Answer(transport.Reply{Status: 503, RetryAfter: 1}) // mailbox full: answered at once
			}
		},
		OnPeer: func(frame []byte) {
			status, err := decodePeerFrame(frame)
			if err != nil {
				return
			}
			select {
			case w.box <- func() { core.OnPeerStatus(status) }:
			default: // a status may be lost: the next one follows soon
			}
		},
	}
	ended := make(chan error, 1)
	go func() { ended <- srv.Serve(cfg.PublicAddr, cfg.PeerBind) }()
	log.Info("listening", "public_addr", cfg.PublicAddr, "peer_addr", cfg.PeerBind, "max_connections", srv.MaxConns)
	core.Start()
	summary := clock()
	timer := time.NewTimer(time.Hour)
	for {
		timer.Reset(w.timers.wait(clock()).Duration())
		select {
		case f := <-w.box:
			f()
		case <-timer.C:
		case err := <-ended:
			return fmt.Errorf("server on %s: %w", cfg.PublicAddr, err)
		}
		w.timers.run(clock())
		if now := clock(); now-summary > 30*micros.Second {
			summary = now
			log.Info("summary", "counts", core.Summary())
			core.LogWaiting()
		}
	}
}
