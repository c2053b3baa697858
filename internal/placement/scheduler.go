package placement

import (
	"pipitgap/internal/monotime"
	"pipitgap/internal/scheduling"
)

// Scheduler orders the open jobs, places their tasks on machines and preempts others for them. What is
// decided on its inputs alone is in package scheduling.
type Scheduler struct {
	deps   Dependencies
	config Config

	passNeeded           bool            // a pass may find something to do
	nextPassAt           monotime.Micros // no pass before
	nextOrphanAdoptionAt monotime.Micros // no orphaned tasks are adopted before
	nextWorkStealAt      monotime.Micros // tasks don't change their partition before

	serviceCPUsAssigned float64         // CPUs that all services hold, as of the pass under way
	jobsAssignedInPass  map[string]bool // jobs with tasks assigned by that pass

	trackingByJob     map[string]*jobTracking
	estimates         *scheduling.RuntimeEstimates
	preemptions       map[string]*pendingPreemption // by job
	acceptedRevisions map[string]uint64             // jobs that this controller accepted, at these revisions

	counters Counters
}

// New makes a scheduler that has seen nothing yet.
func New(config Config, dependencies Dependencies) *Scheduler {
	return &Scheduler{
		deps:              dependencies,
		config:            config,
		trackingByJob:     map[string]*jobTracking{},
		estimates:         scheduling.NewRuntimeEstimates(),
		preemptions:       map[string]*pendingPreemption{},
		acceptedRevisions: map[string]uint64{},
	}
}

// Counters counts what the scheduler has done since it was made.
type Counters struct {
	MachinesExamined int // machines looked at for tasks
	TasksFailed      int // exits with an error
}

// Counters are the counts so far.
func (sc *Scheduler) Counters() Counters { return sc.counters }

// RequestPass has a pass run at the next fast tick that one is due: something has changed that it may act on.
func (sc *Scheduler) RequestPass() { sc.passNeeded = true }

// PassDue reports whether a pass has been requested and may run now.
func (sc *Scheduler) PassDue(now monotime.Micros) bool { return sc.passNeeded && now >= sc.nextPassAt }

// DelayPassUntil lets no pass run before an instant.
func (sc *Scheduler) DelayPassUntil(at monotime.Micros) { sc.nextPassAt = max(sc.nextPassAt, at) }
