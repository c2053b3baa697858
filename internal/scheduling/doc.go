// Package scheduling decides which jobs go first, which machines their tasks may use and which running tasks
// are preempted for them.
//
// It holds no clock, makes no calls and knows neither the mirror nor the actor: the caller passes instants
// and a snapshot of what decides, and carries out what it gets back. Types with state of their own
// (RuntimeEstimates, JobFailures, StartProgress) are written by their methods only and aren't safe for
// concurrent use.
package scheduling
