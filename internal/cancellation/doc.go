// Package cancellation exchanges committed cancellations between controllers, and computes up to which time
// a controller knows every cancellation that any controller has confirmed to a user.
//
// A controller that loses the state service continues to renew the leases of its workers. It must not renew
// them for a task that was cancelled through another controller longer ago than the tasks of a cancelled job
// may keep running. The package provides the evidence for that decision. It performs no input or output; the
// actor in package coordination calls it.
package cancellation
