package coordination

import (
	"fmt"
	"strings"
	"testing"

	"pipitgap/internal/fake"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// scenario simulates users, jobs and faults on a cluster; the checker watches every step.
type scenario struct {
	*cluster
	users        []*simUser
	eagerQueries bool
}

const (
	// firstFaultAt is when the first faults may begin: jobs run by then.
	firstFaultAt = 40 * second
	// recoveryTime is how long a scenario goes on after its last fault: longer than requests about an
	// accepted job may go unanswered, and than a task may wait beside room.
	recoveryTime = 150 * second
	// maxCompletions is how often a task may complete. A result is lost with its machine, which few
	// faults cause twice for one task.
	maxCompletions = 3
	// pollForInterval is how often pollFor evaluates its condition.
	pollForInterval = 20 * monotime.Millisecond
)

func newScenario(t testing.TB, seed uint64) *scenario {
	s := &scenario{cluster: newCluster(t, seed)}
	for k := range s.cloud.Capacity {
		s.cloud.Capacity[k] = 8
	}
	return s
}

// addUser has a new user submit a job.
func (s *scenario) addUser(runTime monotime.Micros, options ...jobOption) *simUser {
	user := s.newUser(runTime, options...)
	user.eagerQueries = s.eagerQueries
	s.users = append(s.users, user)
	return user
}

// submitUsualJobs submits services and arrays, long and short, of both teams.
func (s *scenario) submitUsualJobs() {
	for i := range 3 {
		s.addUser(0, withTasks(2+i), withPriority(protocol.Production), withCPUs(2))
		s.addUser(200*second, withTasks(4), withCPUs(2), withSpot(i == 0))
		s.addUser(300*second, withTasks(2), withCPUs(1), withTeam("tight"))
		s.addUser(20*second, withTasks(6), withCPUs(1), withSpot(true))
	}
	s.addUser(250*second, withTasks(3), withCPUs(2), withOneZone(true))
}

// pollFor evaluates a condition every pollForInterval and calls then when it holds, or after a time at most.
func (s *scenario) pollFor(timeout monotime.Micros, condition func() bool, onDone func()) {
	if condition() || timeout <= 0 {
		onDone()
		return
	}
	s.sim.After(pollForInterval, func() { s.pollFor(timeout-pollForInterval, condition, onDone) })
}

// deliverDuplicateReport delivers a copy of an old heartbeat to every controller.
func (s *scenario) deliverDuplicateReport(body []byte) {
	for _, node := range s.nodeNames {
		s.sendRequest(node, "POST", protocol.HeartbeatPath, body, func(Response) {})
	}
}

// runFaults injects the faults, ends them all after a time, and checks that the cluster recovers.
func (s *scenario) runFaults(faults []fault, duration monotime.Micros) {
	s.start(s.nodeNames...)
	s.sim.Run(3 * second)
	s.submitUsualJobs()
	s.scheduleFaults(faults...)
	s.sim.Run(duration - 3*second)
	s.endFaults()
	s.sim.Run(recoveryTime)
	s.checkAcceptedJobsKnown()
	s.requireNoViolations()
}

// scheduleFaults injects faults at their times.
func (s *scenario) scheduleFaults(faults ...fault) {
	for _, f := range faults {
		s.sim.After(f.at-s.sim.Now(), func() { f.inject(s) })
	}
}

// endFaults ends every fault and has the checker look for tasks that wait beside room from then on.
func (s *scenario) endFaults() {
	s.store.DelayCommit, s.store.LoseResponse, s.store.DelayResponse = nil, nil, nil
	s.commandDelay, s.onReport, s.zonesPartitioned = nil, nil, false
	clear(s.store.RefusedCallers)
	clear(s.disconnectedPairs)
	clear(s.unreachableMachines)
	clear(s.mutedMachines)
	for _, node := range s.nodeNames {
		s.startIfDown(node)
	}
	for _, worker := range s.fleet.Workers {
		worker.Partitioned = false
	}
	s.checker.WatchWaiting(func() []fake.FreeMachine { return s.fleet.FreeMachines(machineMemoryGB) })
}

func machineMemoryGB(machineType string) float64 {
	for _, t := range testTypes {
		if t.Name == machineType {
			return t.MemoryGB
		}
	}
	return 0
}

// checkAcceptedJobsKnown checks that every job is accepted, that requests about it are answered, and that its
// user knows when it is done.
func (s *scenario) checkAcceptedJobsKnown() {
	for _, user := range s.users {
		if user.accepted && !user.finished && s.sim.Now()-user.lastAnsweredAt > fake.MaxUnanswered {
			s.checker.ReportUnanswered(user.id)
		}
		if !user.accepted {
			s.t.Errorf("job %s is not accepted", user.id)
		}
		if completions := s.checker.MaxCompletions(user.id); completions > maxCompletions {
			s.t.Errorf("job %s: a task has completed %d times", user.id, completions)
		}
		if completedAt, completed := s.checker.IsJobCompleted(user.id); completed && !user.finished &&
			s.sim.Now()-completedAt > fake.MaxUnanswered {
			s.t.Errorf("job %s: completed at %.0f s, its user doesn't know", user.id, completedAt.Seconds())
		}
	}
}

func describeFaults(faults []fault) string {
	var out []string
	for _, f := range faults {
		out = append(out, fmt.Sprintf("%.1f %s", f.at.Seconds(), f.name))
	}
	return strings.Join(out, ", ")
}
