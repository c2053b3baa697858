// Package daemon runs a controller as a process. It contains the controller's goroutine with its mailbox and
// timers, the server, and the clients of the other services.
package daemon

import (
	"fmt"
	"log/slog"
	"runtime"
	"runtime/debug"
	"time"

	"pipitgap/internal/config"
	"pipitgap/internal/coordination"
	"pipitgap/internal/monotime"
	"pipitgap/internal/transport"
)

const (
	// memoryFraction is the fraction of the process's memory quota that is the soft memory limit of the Go
	// runtime. Near this limit the garbage collector runs more often.
	memoryFraction = 0.55
	mebibyte       = 1 << 20
	// idleTimeout is the time without traffic after which a connection is closed.
	idleTimeout = 60 * monotime.Second
	// requestTimeout is the time within which a request must be complete, from its first byte.
	requestTimeout = 10 * monotime.Second
	// summaryInterval is the interval between two summaries in the log.
	summaryInterval = 30 * monotime.Second
	// retryAfterFullMailbox is the Retry-After value, in seconds, of the response to a request that is
	// rejected because the mailbox is full.
	retryAfterFullMailbox = 1
)

// Run runs the controller until its server ends. The server ends only with an error, so Run always returns
// one.
func Run(cfg *config.Config, settings config.Settings, log *slog.Logger) error {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(cfg.Facts.Quota.MemoryMB * memoryFraction * mebibyte))

	limits := newSocketLimits(cfg.Facts.Quota.MaxConnections, settings.MaxConnections)
	e := newEnvironment(cfg, limits)
	defer e.close()
	controller := coordination.NewController(cfg, settings, e, log)
	server := newServer(e, controller, limits)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(cfg.PublicAddr, cfg.PeerBind) }() // runs until the process exits
	log.Info("listening", "public_addr", cfg.PublicAddr, "peer_addr", cfg.PeerBind,
		"max_connections", server.MaxConns)
	controller.Start()
	return fmt.Errorf("server on %s: %w", cfg.PublicAddr, e.loop(controller, ended, log))
}

// newServer returns the server, which passes requests and peer statuses to the controller. If the mailbox is
// full, the server immediately rejects a request and drops a peer status.
func newServer(e *environment, controller *coordination.Controller, limits socketLimits) *transport.Server {
	return &transport.Server{
		Now:            e.clock,
		MaxConns:       limits.server,
		IdleTimeout:    idleTimeout,
		RequestTimeout: requestTimeout,
		OnRequest: func(r *transport.Request) {
			message := r.Message
			delivered := e.tryDeliver(func() {
				controller.HandleRequest(message.Method, message.Target, message.Body, r.Respond)
			})
			if !delivered {
				r.Respond(transport.Response{
					Status:     transport.StatusUnavailable,
					RetryAfter: retryAfterFullMailbox,
				})
			}
		},
		OnPeerFrame: func(frame []byte) {
			status, err := decodePeerFrame(frame)
			if err != nil {
				return
			}
			// If the mailbox is full, the status is dropped: the peer sends the next one soon.
			e.tryDeliver(func() { controller.OnPeerStatus(status) })
		},
	}
}

// loop is the main loop of the controller's goroutine. It runs the functions in the mailbox and the timers
// that are due until the server ends, and returns the server's error.
func (e *environment) loop(controller *coordination.Controller, ended <-chan error, log *slog.Logger) error {
	lastSummary := e.clock()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		timer.Reset(e.timers.untilNext(e.clock()).Duration())
		select {
		case f := <-e.mailbox:
			f()
		case <-timer.C:
		case err := <-ended:
			return err
		}
		e.timers.runDue(e.clock())
		if now := e.clock(); now-lastSummary > summaryInterval {
			lastSummary = now
			log.Info("summary", "counts", controller.Summary())
			controller.LogQueue()
		}
	}
}
