// Package invariant reports violations of a controller's invariants while it runs. A violation is an error
// line with its evidence and is counted; the process goes on.
package invariant

import "log/slog"

// Rule names an invariant, as logged.
type Rule string

// The invariants that are checked while a controller runs.
const (
	// ConfirmedIsExchanged: a cancellation that a user is told of is part of the exchange between controllers,
	// unless nothing of the job is left on any machine.
	ConfirmedIsExchanged Rule = "confirmed cancellation is exchanged"
	// RenewalKillsCancelled: an answer that renews a lease contains a kill for each task of a cancelled job
	// that is not known to have ended.
	RenewalKillsCancelled Rule = "lease renewal kills cancelled tasks"
	// RenewalIsFresh: a lease is renewed only on recent knowledge of cancellations.
	RenewalIsFresh Rule = "lease renewal on recent knowledge"
	// CancelledNotRun: no command runs a task of a job that is known to be cancelled.
	CancelledNotRun Rule = "cancelled task is not run"
	// SingleAttempt: the shards record at most one attempt of each task.
	SingleAttempt Rule = "task has one attempt"
)

// Recorder logs and counts violations. It is not safe for concurrent use.
type Recorder struct {
	log        *slog.Logger
	violations int
}

// NewRecorder returns a recorder without violations.
func NewRecorder(log *slog.Logger) *Recorder { return &Recorder{log: log} }

// Violated records a violation of a rule. evidence is key-value pairs for the log.
func (r *Recorder) Violated(rule Rule, evidence ...any) {
	r.violations++
	r.log.Error("invariant violated", append([]any{"rule", string(rule)}, evidence...)...)
}

// Violations returns the number of violations so far.
func (r *Recorder) Violations() int { return r.violations }
