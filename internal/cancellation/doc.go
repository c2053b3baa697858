// Package cancellation lets controllers tell each other which cancellations have been
// committed, and tells up to which moment a controller knows of all of them.
//
// A controller that loses the state service keeps the leases of its workers alive. It
// must not do so for a task that was cancelled elsewhere longer ago than the tasks of a
// cancelled job may stay. The package holds the evidence for that decision; it performs
// no input or output and is driven by the coordination actor.
package cancellation
