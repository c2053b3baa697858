// Package daemon runs a controller as a process: the controller's goroutine with its mailbox and timers, the
// server, and the clients of the other services.
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
	// memoryFraction is the part of the process's memory quota that the heap may grow to before it is
	// collected more often.
	memoryFraction = 0.55
	mebibyte       = 1 << 20
	// idleTimeout is after how long without traffic a connection is closed.
	idleTimeout = 60 * monotime.Second
	// requestTimeout is within what time a request must be complete.
	requestTimeout = 10 * monotime.Second
	// summaryInterval is how often the log has a summary.
	summaryInterval = 30 * monotime.Second
	// retryAfterFullMailbox is when a user is to retry a request that the mailbox had no room for, in
	// seconds.
	retryAfterFullMailbox = 1
)

// Run serves until something ends it, which is always an error.
func Run(cfg *config.Config, settings config.Settings, log *slog.Logger) error {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(cfg.Facts.Quota.MemoryMB * memoryFraction * mebibyte))

	limits := newSocketLimits(cfg.Facts.Quota.MaxConnections, settings.MaxConnections)
	e := newEnvironment(cfg, limits)
	defer e.close()
	controller := coordination.NewController(cfg, settings, e, log)
	server := newServer(e, controller, limits)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(cfg.PublicAddr, cfg.PeerBind) }() // ends with the process
	log.Info("listening", "public_addr", cfg.PublicAddr, "peer_addr", cfg.PeerBind,
		"max_connections", server.MaxConns)
	controller.Start()
	return fmt.Errorf("server on %s: %w", cfg.PublicAddr, e.loop(controller, ended, log))
}

// newServer makes the server, which passes requests and peers' statuses on to the controller. A full mailbox
// is answered at once.
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
			// A status may be lost: the next one follows soon.
			e.tryDeliver(func() { controller.OnPeerStatus(status) })
		},
	}
}

// loop is the controller's goroutine: it runs what is in the mailbox and the timers that are due, until the
// server ends.
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
