// Package peers has what controllers tell each other about themselves: the status, its wire form, and a table
// of what each has last said.
package peers

import "pipitgap/internal/cancellation"

// WorkerReach is whether a controller reaches its workers. Its numbers are sent to peers and frozen.
type WorkerReach int

// Values of WorkerReach.
const (
	WorkersUnknown     WorkerReach = iota // it has no workers that could show it
	WorkersReachable                      // it hears most of its workers
	WorkersUnreachable                    // all of them are silent, or nearly all
)

// Status is what a controller sends to the others about itself. It decides nothing: it speeds things up, and
// tells an outage of the state service from the sender's own isolation. See Frame for its wire form.
type Status struct {
	Node        string // the sender
	Incarnation uint64 // of the sender
	// StateServiceReachable says that the sender has lately had an answer from the state service.
	StateServiceReachable bool
	// WaitingUserRequests is the number of users' requests that wait there for the state service.
	WaitingUserRequests int
	WorkerReach         WorkerReach
	FailingJobs         map[string]int // by job that fails there: on how many machines
	// TeamsShortOfQuota are the teams with a pending task that fits neither into the sender's share
	// of the team's quota nor into what is unallocated.
	TeamsShortOfQuota []string

	Cancellations cancellation.RoundMessage
}
