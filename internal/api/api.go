// Package api answers users: it admits submissions, reports the status of jobs and cancels them. A submission
// is decoded, validated, admitted, committed and answered (submission.go); a status request reads the mirror,
// the result cache and then the state service (status.go, lookup.go); a cancellation commits the result
// "cancelled" (cancellation.go). Every request is answered at once or as soon as the state service has
// answered; what can't be taken now is rejected with the time after which to retry.
//
// A Handler is used by one goroutine. It owns the rates of submissions and its counters, nothing else.
package api

import (
	"log/slog"
	"math/rand/v2"

	"pipitgap/internal/cancellation"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/quota"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/storage"
	"pipitgap/internal/transport"
)

// Environment is the clocks and the randomness.
type Environment interface {
	Now() monotime.Micros // the steady clock
	WallClock() int64     // time of day, microseconds
	// Rand is the source of randomness.
	Rand() *rand.Rand
}

// StateService is the queue of calls to the state service.
type StateService interface {
	// Call queues a call under its priority; the callback gets its result once.
	Call(ratelimit.Priority, *protocol.StoreCall, func(protocol.StoreResult))
	// Unavailable reports an outage, as this controller sees it.
	Unavailable() bool
	// QueuedCalls counts the calls of a priority class that wait to be sent.
	QueuedCalls(ratelimit.Priority) int
	// OldestWait is how long the first of them has waited.
	OldestWait(ratelimit.Priority, monotime.Micros) monotime.Micros
	// WritesPerSecond is this controller's part of the writes.
	WritesPerSecond() float64
	// UserCallsWaiting reports that more calls of users wait than a moment's.
	UserCallsWaiting() bool
}

// Replica keeps the mirror up to date.
type Replica interface {
	// Ready reports that the mirror is complete.
	Ready() bool
	// PendingReads counts the callbacks that wait for WhenCurrent.
	PendingReads() int
	// WhenCurrent calls back once the mirror is as new as the call; ok is false if that can't be had.
	WhenCurrent(callback func(ok bool))
	// Commit makes a conditional change; one that succeeds is in the mirror before the callback.
	Commit(ratelimit.Priority, protocol.Transaction, func(protocol.StoreResult))
}

// Reachability knows which parts of the deployment this controller reaches.
type Reachability interface {
	// StoreUnreachableOnlyHere reports that another controller uses the state service and this one can't.
	StoreUnreachableOnlyHere(monotime.Micros) (peer string, onlyHere bool)
	// IsIsolated reports that neither the state service nor another controller is reached.
	IsIsolated(monotime.Micros) bool
}

// Catalog has the machine types that the cloud offers.
type Catalog interface {
	// MachineTypes is nil as long as the types aren't known.
	MachineTypes() map[string]protocol.MachineType
}

// Quota has the teams' limits.
type Quota interface {
	// Limits returns false for a team that isn't configured.
	Limits(team string) (quota.Limits, bool)
}

// Scheduler places the tasks of accepted jobs.
type Scheduler interface {
	// AssignTaskRanges divides a new job among the partitions.
	AssignTaskRanges(*storage.JobSpec) []storage.TaskRange
	// JobAccepted reports the revision at which this controller committed a new job.
	JobAccepted(job string, revision uint64)
}

// Cancellations passes committed cancellations on to the other controllers.
type Cancellations interface {
	// Add keeps a cancellation for the other controllers. It is called before any user gets the answer.
	Add(cancellation.Committed)
}

// Config has what a Handler needs.
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
	// PlaceNow is called after the answer to an accepted submission, so that its tasks don't wait for the
	// next tick.
	PlaceNow      func()
	MaxValueBytes int // bytes of a stored value, as the state service counts them
}

// Counters counts since the start.
type Counters struct {
	JobsAccepted     int // submissions committed
	RequestsDeferred int // rejected for now, to be retried
}

// Handler answers the requests of users.
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
	placeNow      func()
	maxValueBytes int

	bursts   burstLimiter
	counters Counters
}

// NewHandler makes a handler without any submission counted.
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
		placeNow:      config.PlaceNow,
		maxValueBytes: config.MaxValueBytes,
		bursts:        newBurstLimiter(config.Environment, config.StateService),
	}
}

// Counters returns the present counts.
func (h *Handler) Counters() Counters { return h.counters }

// PriorityClass is the class in which changes of a job's records are queued: otherwise, or the last one for
// jobs of a burst.
func (h *Handler) PriorityClass(spec *storage.JobSpec, defaultClass ratelimit.Priority) ratelimit.Priority {
	return h.bursts.priorityClass(spec, defaultClass)
}

// Respond sends the answer of a request. It is called once.
type Respond func(transport.Response)
