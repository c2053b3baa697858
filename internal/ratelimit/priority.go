package ratelimit

// Priority is the class of a call: which goes first when calls wait.
type Priority int

// Priorities, the most urgent first. See Queue for the turns that some of them take.
const (
	PriorityLease        Priority = iota // own leases, never delayed
	PriorityClaim                        // claims of shards, and what a replica of the records needs
	PriorityCancellation                 // of jobs
	PriorityUserRequest
	PriorityShardUpdate
	PriorityJobResult // results of jobs that are done
	PriorityBackground
	PriorityBurst // a burst of small jobs of one team, which would otherwise crowd out the rest
	numPriorities
)
