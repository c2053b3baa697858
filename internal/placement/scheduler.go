package placement

import (
	"pipitgap/internal/monotime"
	"pipitgap/internal/scheduling"
)

// Scheduler orders the open jobs, places their tasks on machines and preempts other tasks for them. Decisions
// that depend only on their inputs are in package scheduling.
type Scheduler struct {
	deps   Dependencies
	config Config

	passNeeded           bool            // a pass has been requested
	nextPassAt           monotime.Micros // earliest time of the next pass
	nextOrphanAdoptionAt monotime.Micros // earliest time of the next adoption of orphaned tasks
	nextWorkStealAt      monotime.Micros // earliest time of the next work stealing or handover

	serviceCPUsAssigned float64         // CPUs that all services hold, as of the current pass
	jobsAssignedInPass  map[string]bool // jobs to whose tasks the current pass has assigned machines

	trackingByJob     map[string]*jobTracking
	estimates         *scheduling.RuntimeEstimates
	preemptions       map[string]*pendingPreemption // by job
	acceptedRevisions map[string]uint64             // revisions at which this controller accepted jobs

	counters Counters
}

// New creates a scheduler without any history.
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

// Counters counts what a scheduler has done since its creation.
type Counters struct {
	MachinesExamined int // candidates examined while searching machines for tasks
	TasksFailed      int // task exits with an error
}

// Counters returns the current counts.
func (sc *Scheduler) Counters() Counters { return sc.counters }

// RequestPass requests a pass at the next fast tick at which one is due, because something has changed that a
// pass may act on.
func (sc *Scheduler) RequestPass() { sc.passNeeded = true }

// PassDue reports whether a pass has been requested and may run now.
func (sc *Scheduler) PassDue(now monotime.Micros) bool { return sc.passNeeded && now >= sc.nextPassAt }

// DelayPassUntil prevents any pass before the given time.
func (sc *Scheduler) DelayPassUntil(at monotime.Micros) { sc.nextPassAt = max(sc.nextPassAt, at) }
