package mirror

import (
	"log/slog"
	"math/rand/v2"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
)

// Store makes the calls of the state service, see package storeclient.
type Store interface {
	// Call queues a call under its priority; the callback gets its result once.
	Call(priority ratelimit.Priority, call *protocol.StoreCall, callback func(protocol.StoreResult))
	// CallAtOnce makes a call beside the queue and records nothing about its outcome.
	CallAtOnce(call *protocol.StoreCall, callback func(protocol.StoreResult))
	// RecordOutcome takes the outcome of a call at once as a sign whether the service answers.
	RecordOutcome(outcome protocol.Outcome)
	// WatchInterval is the shortest interval between two watches.
	WatchInterval() monotime.Micros
}

// Environment measures the time and draws random numbers.
type Environment interface {
	// Now reads the steady clock.
	Now() monotime.Micros
	// After calls back after a delay.
	After(delay monotime.Micros, callback func())
	// Rand is the source of the jitter of repeated calls.
	Rand() *rand.Rand
}

// Observer is called by a Replica at the changes of its state, on the same goroutine.
type Observer interface {
	// BeforeReplace is called with a mirror loaded anew before its records replace those of the mirror.
	BeforeReplace(loaded *Mirror)
	// Replaced is called once they have. The mirror may not be complete yet.
	Replaced()
	// Ready is called when the mirror is complete, after each load.
	Ready()
	// Changed is called when a watch has brought changes to a complete mirror.
	Changed()
}

// PauseDetector tells when the process was paused while its clocks ran.
type PauseDetector interface {
	// DetectPause is called before the answer of a watch is used.
	DetectPause(now monotime.Micros)
	// ResumedFromPauseAt is when the last pause ended, 0 if there was none.
	ResumedFromPauseAt() monotime.Micros
}

// ReplicaOptions are what a Replica is made of.
type ReplicaOptions struct {
	Mirror      *Mirror
	Store       Store
	Environment Environment
	Observer    Observer
	Pauses      PauseDetector
	Log         *slog.Logger

	Drains          bool    // drains are turned on: their records are loaded as well
	WritesPerSecond float64 // of the state service, for all its users together
	MaxValueBytes   int     // the largest value that the state service takes
	TransactionOps  int     // operations of a transaction
}

// Replica keeps a Mirror up to date. It loads all records, follows the changes by a watch, and
// tells readers when the mirror holds all that the state service held at their request. All methods and
// callbacks run on one goroutine.
type Replica struct {
	options  ReplicaOptions
	mirror   *Mirror
	store    Store
	env      Environment
	observer Observer
	pauses   PauseDetector
	log      *slog.Logger

	loading        bool
	loaded         bool   // a first load is done, the watch may continue from it
	loadedRevision uint64 // the watch must reach this before the mirror is complete
	ready          bool   // the mirror is complete

	watch watchState

	pendingReads    []pendingRead
	catchUpInFlight bool // a watch that doesn't wait for changes is in flight for the pending reads
	nextCatchUpAt   monotime.Micros

	commitConflicts int
}

// NewReplica makes a replica; nothing is loaded before Load.
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

// Ready reports whether the mirror is complete: it may be behind the state service, but held all of its
// records at one revision.
func (r *Replica) Ready() bool { return r.ready }

// Loaded reports whether the records have been read once; the mirror may be incomplete.
func (r *Replica) Loaded() bool { return r.loaded }

// FreshAt is a time at which the state service held no change that the mirror lacks: when the last watch or
// load that was answered was sent.
func (r *Replica) FreshAt() monotime.Micros { return r.watch.freshAt }

// WatchOverdue reports whether the watch has had no answer for longer than an undisturbed one takes.
func (r *Replica) WatchOverdue(now monotime.Micros) bool {
	return now-r.watch.lastSuccessAt > watchLongPoll+watchOverdueMargin
}

// PendingReads counts the readers that wait for a current mirror.
func (r *Replica) PendingReads() int { return len(r.pendingReads) }

// CommitConflicts counts the commits that failed on their conditions so far.
func (r *Replica) CommitConflicts() int { return r.commitConflicts }

// Commit makes a conditional change. On success it is in the mirror before the callback is called; after a
// conflict the watch is hastened, so that the mirror soon holds what the commit conflicted with.
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

// markReady notes that the mirror is complete.
func (r *Replica) markReady() {
	r.watch.lastSuccessAt = r.env.Now()
	r.ready = true
	r.log.Info("mirror ready", "revision", r.mirror.WatchedRevision)
	r.observer.Ready()
}

// jittered draws a delay between base and base plus spread.
func (r *Replica) jittered(base, spread monotime.Micros) monotime.Micros {
	return base + monotime.RandomBelow(r.env.Rand(), spread)
}
