// Package scheduling orders the queue of waiting jobs, chooses machines for their tasks and selects running
// tasks to preempt for them.
//
// The package reads no clock, performs no I/O and doesn't depend on the mirror or the actor. The caller
// passes the current time and a snapshot of the relevant state, and carries out the returned decisions. The
// state of RuntimeEstimates, JobFailures and StartProgress is modified by their methods only. These types
// aren't safe for concurrent use.
package scheduling
