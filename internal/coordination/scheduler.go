package coordination

import (
	"pipitgap/internal/monotime"
	"pipitgap/internal/scheduling"
)

// scheduler orders the open jobs, places their tasks on machines and preempts others for them. What is
// decided on its inputs alone is in package scheduling.
type scheduler struct {
	c *Controller

	passNeeded                  bool            // a pass may find something to do
	nextPassAt                  monotime.Micros // no pass before
	nextOrphanedTasksTakeoverAt monotime.Micros // no orphaned tasks are adopted before
	nextWorkStealAt             monotime.Micros // tasks don't change their partition before

	serviceCPUsAssigned float64         // CPUs that all services hold, as of the pass under way
	jobsInPass          map[string]bool // jobs with tasks assigned by that pass

	jobStates         map[string]*jobTracking
	estimates         *scheduling.RuntimeEstimates
	preemptions       map[string]*pendingPreemption // by job
	acceptedRevisions map[string]uint64             // jobs that this controller accepted, at these revisions
}

func newScheduler(c *Controller) *scheduler {
	return &scheduler{
		c:                 c,
		jobStates:         map[string]*jobTracking{},
		estimates:         scheduling.NewRuntimeEstimates(),
		preemptions:       map[string]*pendingPreemption{},
		acceptedRevisions: map[string]uint64{},
	}
}

// requestPass has a pass run at the next fast tick that one is due: something has changed that it may act on.
func (sc *scheduler) requestPass() { sc.passNeeded = true }

// passDue tells whether a pass has been requested and may run now.
func (sc *scheduler) passDue(now monotime.Micros) bool { return sc.passNeeded && now >= sc.nextPassAt }

// delayPassUntil lets no pass run before an instant.
func (sc *scheduler) delayPassUntil(at monotime.Micros) { sc.nextPassAt = max(sc.nextPassAt, at) }
