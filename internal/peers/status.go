// Package peers contains the status messages that controllers exchange about themselves, their conversion to
// the wire form, and a table of the latest status of each peer.
package peers

import "pipitgap/internal/cancellation"

// WorkerReach is a controller's report whether it reaches its workers. The numeric values are part of the wire
// format and must not change.
type WorkerReach int

// Values of WorkerReach.
const (
	WorkersUnknown     WorkerReach = iota // neither of the others, for example because it has no workers
	WorkersReachable                      // more than half of its workers aren't silent
	WorkersUnreachable                    // most of its workers were silent, and none that it probed responded
)

// Status is a controller's report about itself to the other controllers. Status messages are hints: the
// records in the state service decide. A status speeds up reactions, and distinguishes an outage of the state
// service from the sender's own isolation. See ToFrame for the wire form.
type Status struct {
	Node        string // name of the sender
	Incarnation uint64 // incarnation of the sender
	// StateServiceReachable reports that the sender has recently received an answer from the state service.
	StateServiceReachable bool
	// WaitingUserRequests is the number of user requests at the sender that wait for the state service.
	WaitingUserRequests int
	WorkerReach         WorkerReach
	FailingJobs         map[string]int // by failing job: number of the sender's machines that it fails on
	// TeamsShortOfQuota lists the teams with a pending task that fits neither into the sender's share of the
	// team's quota nor into the unallocated part of the quota.
	TeamsShortOfQuota []string

	Cancellations cancellation.RoundMessage
}
