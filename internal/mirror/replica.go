package mirror

import (
	"log/slog"
	"math/rand/v2"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
)

// Store makes the calls to the state service, see package storeclient.
type Store interface {
	// Call queues a call at a priority. It calls callback once, with the result.
	Call(priority ratelimit.Priority, call *protocol.StoreCall, callback func(protocol.StoreResult))
	// CallUnqueued bypasses the queue. It doesn't record the outcome, see RecordOutcome.
	CallUnqueued(call *protocol.StoreCall, callback func(protocol.StoreResult))
	// RecordOutcome uses the outcome of a CallUnqueued to judge whether the service is available.
	RecordOutcome(outcome protocol.Outcome)
	// WatchInterval returns the minimum interval between two watches.
	WatchInterval() monotime.Micros
}

// Environment provides the clock, timers and random numbers.
type Environment interface {
	// Now reads the monotonic clock.
	Now() monotime.Micros
	// After calls callback after a delay.
	After(delay monotime.Micros, callback func())
	// Rand returns the random number generator for the jitter of retries.
	Rand() *rand.Rand
}

// Observer receives the state changes of a Replica, on the Replica's goroutine.
type Observer interface {
	// BeforeReplace is called after a load, before the loaded records replace those of the mirror.
	BeforeReplace(loaded *Mirror)
	// Replaced is called after the loaded records have replaced those of the mirror. The mirror may not be
	// complete yet.
	Replaced()
	// Ready is called after each load, when the mirror is complete.
	Ready()
	// Changed is called after a watch has changed a complete mirror.
	Changed()
}

// PauseDetector detects pauses of the process during which its clocks continue.
type PauseDetector interface {
	// DetectPause records activity at time now. A Replica calls it before it uses the response of a watch.
	DetectPause(now monotime.Micros)
	// LastPauseEndedAt returns when the last pause ended; 0 if there was none.
	LastPauseEndedAt() monotime.Micros
}

// ReplicaOptions configures a Replica.
type ReplicaOptions struct {
	Mirror      *Mirror
	Store       Store
	Environment Environment
	Observer    Observer
	Pauses      PauseDetector
	Log         *slog.Logger

	Drains          bool    // drains are enabled: their records are loaded as well
	WritesPerSecond float64 // write limit of the state service, for all its clients together
	MaxValueBytes   int     // maximum size of a value in the state service
	TransactionOps  int     // maximum number of operations in a transaction of the state service
}

// Replica keeps a Mirror up to date. It loads all records, applies later changes through a watch, and
// notifies readers when the mirror holds everything that the state service held at the time of their request.
// All methods and callbacks run on one goroutine.
type Replica struct {
	options  ReplicaOptions
	mirror   *Mirror
	store    Store
	env      Environment
	observer Observer
	pauses   PauseDetector
	log      *slog.Logger

	loading        bool
	loaded         bool   // a load has succeeded; the watch may continue from it
	loadedRevision uint64 // the mirror is complete once the watch reaches this revision
	ready          bool   // the mirror is complete

	watch watchState

	pendingReads    []pendingRead
	catchUpInFlight bool // a non-blocking watch for the pending reads is in flight
	nextCatchUpAt   monotime.Micros

	commitConflicts int
}

// NewReplica returns a replica that sends no requests until Load is called.
func NewReplica(options ReplicaOptions) *Replica {
	return &Replica{
		options:  options,
		mirror:   options.Mirror,
		store:    options.Store,
		env:      options.Environment,
		observer: options.Observer,
		pauses:   options.Pauses,
		log:      options.Log,
	}
}

// Ready reports whether the mirror is complete: it has held all records of one revision of the state service,
// but may be behind the current revision.
func (r *Replica) Ready() bool { return r.ready }

// Loaded reports whether a load has succeeded; the mirror may be incomplete.
func (r *Replica) Loaded() bool { return r.loaded }

// FreshAt returns the time up to which the mirror is known to hold all changes of the state service: the send
// time of the latest watch or load that succeeded.
func (r *Replica) FreshAt() monotime.Micros { return r.watch.freshAt }

// WatchOverdue reports whether no watch has succeeded for longer than the long poll and its margin.
func (r *Replica) WatchOverdue(now monotime.Micros) bool {
	return now-r.watch.lastSuccessAt > watchLongPoll+watchOverdueMargin
}

// PendingReads returns the number of reads that wait for a current mirror.
func (r *Replica) PendingReads() int { return len(r.pendingReads) }

// CommitConflicts returns the number of commits so far that failed because a condition was not met.
func (r *Replica) CommitConflicts() int { return r.commitConflicts }

// Commit requests a conditional transaction. After a success it applies the change to the mirror before it
// calls callback. After a conflict it expedites the next watch, so that the mirror soon holds the conflicting
// changes.
func (r *Replica) Commit(
	priority ratelimit.Priority,
	txn protocol.Transaction,
	callback func(protocol.StoreResult),
) {
	call := &protocol.StoreCall{Op: protocol.StoreCommit, Transaction: txn}
	r.store.Call(priority, call, func(result protocol.StoreResult) {
		switch result.Outcome {
		case protocol.OK:
			r.mirror.ApplyCommit(&txn, result.Revision)
		case protocol.Conflict:
			r.commitConflicts++
			r.expediteWatch()
		}
		callback(result)
	})
}

// markReady marks the mirror as complete and notifies the observer.
func (r *Replica) markReady() {
	r.watch.lastSuccessAt = r.env.Now()
	r.ready = true
	r.log.Info("mirror ready", "revision", r.mirror.WatchedRevision)
	r.observer.Ready()
}

// jittered returns a random delay of at least base and less than base plus spread.
func (r *Replica) jittered(base, spread monotime.Micros) monotime.Micros {
	return base + monotime.RandomBelow(r.env.Rand(), spread)
}
