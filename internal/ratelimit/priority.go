package ratelimit

// Priority is the priority of a queued call.
type Priority int

// Priorities, the highest first. See Queue for the exceptions to their order.
const (
	PriorityLease        Priority = iota // the controller's lease, membership and leadership; never delayed
	PriorityClaim                        // claims of shards, and calls that load the mirror of the records
	PriorityCancellation                 // cancellations of jobs
	PriorityUserRequest                  // other requests of users
	PriorityShardUpdate                  // updates of the controller's shards
	PriorityJobResult                    // results of jobs that are done
	PriorityBackground                   // other writes
	PriorityBurst                        // a burst of one team's small jobs; it would starve other teams' calls
	numPriorities
)
