// Package api handles the requests of users: it accepts job submissions, reports the status of jobs and
// cancels jobs. Submit decodes, validates, admits and commits a submission, and then responds
// (submission.go). Status reads the mirror, the result cache and then the state service (status.go,
// lookup.go). Cancel commits the result "cancelled" (cancellation.go). Each request gets its response
// immediately or as soon as the state service has answered. A request that can't be handled at present is
// rejected with a delay after which to retry.
//
// A Handler is not safe for concurrent use: one goroutine uses it. It owns the submission rates and its
// counters. All other state belongs to its dependencies.
package api

import (
	"log/slog"
	"math/rand/v2"

	"pipitgap/internal/cancellation"
	"pipitgap/internal/invariant"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/quota"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/storage"
	"pipitgap/internal/transport"
)

// Environment provides the clocks and a source of randomness.
type Environment interface {
	Now() monotime.Micros // monotonic clock
	WallClock() int64     // time of day, microseconds
	// Rand returns the source of random numbers.
	Rand() *rand.Rand
}

// StateService is this controller's queue of calls to the state service.
type StateService interface {
	// Call queues a call with a priority and passes its result to the callback exactly once.
	Call(ratelimit.Priority, *protocol.StoreCall, func(protocol.StoreResult))
	// Unavailable reports whether the state service is unavailable from this controller's point of view.
	Unavailable() bool
	// QueuedCalls returns the number of calls of a priority class that wait to be sent.
	QueuedCalls(ratelimit.Priority) int
	// OldestWait returns how long the first queued call of a priority class has waited.
	OldestWait(ratelimit.Priority, monotime.Micros) monotime.Micros
	// WritesPerSecond returns this controller's share of the state service's write rate.
	WritesPerSecond() float64
	// UserCallsWaiting reports whether more user calls are queued than momentary load explains.
	UserCallsWaiting() bool
}

// Replica keeps the mirror up to date.
type Replica interface {
	// Ready reports whether the mirror has loaded all records.
	Ready() bool
	// PendingReads returns the number of WhenCurrent callbacks that are still pending.
	PendingReads() int
	// WhenCurrent calls the callback when the mirror holds everything that the state service held at the
	// time of the call; ok is false if the state service doesn't answer.
	WhenCurrent(callback func(ok bool))
	// Commit executes a conditional transaction. If it succeeds, it applies the change to the mirror before
	// it calls the callback.
	Commit(ratelimit.Priority, protocol.Transaction, func(protocol.StoreResult))
}

// Reachability reports which parts of the deployment this controller can reach.
type Reachability interface {
	// StoreUnreachableOnlyHere reports whether a peer can use the state service while this controller can't.
	StoreUnreachableOnlyHere(monotime.Micros) (peer string, onlyHere bool)
	// IsIsolated reports whether this controller reaches neither the state service nor any other controller.
	IsIsolated(monotime.Micros) bool
}

// Catalog provides the machine types that the cloud offers.
type Catalog interface {
	// MachineTypes returns the machine types by name, or nil until they are known.
	MachineTypes() map[string]protocol.MachineType
}

// Quota provides the teams' resource limits.
type Quota interface {
	// Limits returns a team's limits; the second result is false if the team isn't configured.
	Limits(team string) (quota.Limits, bool)
}

// Scheduler places the tasks of accepted jobs.
type Scheduler interface {
	// AssignTaskRanges divides the tasks of a new job among the partitions.
	AssignTaskRanges(*storage.JobSpec) []storage.TaskRange
	// JobAccepted tells the scheduler at which revision this controller committed a new job.
	JobAccepted(job string, revision uint64)
}

// Cancellations knows the committed cancellations and forwards them to the other controllers.
type Cancellations interface {
	// Learn takes in a committed cancellation. The handler calls it before it responds to any user.
	Learn(cancellation.Committed, cancellation.Source)
	// MayConfirm reports whether a user may be told that a job is cancelled.
	MayConfirm(job string) bool
}

// Config holds the dependencies and settings of a Handler.
type Config struct {
	Log           *slog.Logger
	Environment   Environment
	Mirror        *mirror.Mirror
	StateService  StateService
	Replica       Replica
	Reachability  Reachability
	Catalog       Catalog
	Quota         Quota
	Scheduler     Scheduler
	Cancellations Cancellations
	Invariants    *invariant.Recorder
	// PlaceNow places pending tasks. The handler calls it after the response to an accepted submission, so
	// that the job's tasks don't wait for the next tick.
	PlaceNow      func()
	MaxValueBytes int // limit on the size of a stored value in bytes, as the state service counts it
}

// Counters holds event counts since the start of the controller.
type Counters struct {
	JobsAccepted           int // committed submissions
	RequestsDeferred       int // requests rejected with a delay after which to retry
	CancellationsConfirmed int // answers that a job is cancelled
}

// Handler handles the requests of users.
type Handler struct {
	log           *slog.Logger
	environment   Environment
	mirror        *mirror.Mirror
	store         StateService
	replica       Replica
	reachability  Reachability
	catalog       Catalog
	quota         Quota
	scheduler     Scheduler
	cancellations Cancellations
	invariants    *invariant.Recorder
	placeNow      func()
	maxValueBytes int

	bursts   burstLimiter
	counters Counters
}

// NewHandler returns a handler that has not counted any submissions yet.
func NewHandler(config Config) *Handler {
	return &Handler{
		log:           config.Log,
		environment:   config.Environment,
		mirror:        config.Mirror,
		store:         config.StateService,
		replica:       config.Replica,
		reachability:  config.Reachability,
		catalog:       config.Catalog,
		quota:         config.Quota,
		scheduler:     config.Scheduler,
		cancellations: config.Cancellations,
		invariants:    config.Invariants,
		placeNow:      config.PlaceNow,
		maxValueBytes: config.MaxValueBytes,
		bursts:        newBurstLimiter(config.Environment, config.StateService),
	}
}

// Counters returns the current counts.
func (h *Handler) Counters() Counters { return h.counters }

// PriorityClass returns the priority class for calls that change a job's records: PriorityBurst if the job is
// limited as part of a burst, and defaultClass otherwise.
func (h *Handler) PriorityClass(spec *storage.JobSpec, defaultClass ratelimit.Priority) ratelimit.Priority {
	return h.bursts.priorityClass(spec, defaultClass)
}

// Respond sends the response to a request. The handler calls it exactly once per request.
type Respond func(transport.Response)
