package coordination

import (
	"fmt"
	"strings"
	"testing"

	"pipitgap/internal/fake"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// scenario simulates users, jobs and faults on a cluster. The checker verifies the invariants throughout.
type scenario struct {
	*cluster
	users        []*simUser
	eagerQueries bool // simUser.eagerQueries for users added from now on
}

const (
	// firstFaultAt is the earliest time of a random fault. Jobs are running by then.
	firstFaultAt = 40 * second
	// recoveryTime is how long a scenario continues after its last fault has ended. It is longer than
	// fake.MaxUnanswered and fake.MaxWaitBesideRoom, so that violations of these limits are detected.
	recoveryTime = 150 * second
	// maxCompletions is how often a task may complete. A task runs again if its machine is lost with the
	// result, and few faults cause that twice for one task.
	maxCompletions = 3
	// pollForInterval is the interval at which pollFor evaluates its condition.
	pollForInterval = 20 * monotime.Millisecond
)

func newScenario(t testing.TB, seed uint64) *scenario {
	s := &scenario{cluster: newCluster(t, seed)}
	for k := range s.cloud.Capacity {
		s.cloud.Capacity[k] = 8
	}
	return s
}

// addUser adds a user, who submits a job.
func (s *scenario) addUser(runTime monotime.Micros, options ...jobOption) *simUser {
	user := s.newUser(runTime, options...)
	user.eagerQueries = s.eagerQueries
	s.users = append(s.users, user)
	return user
}

// submitUsualJobs submits services, and long and short arrays, for both teams.
func (s *scenario) submitUsualJobs() {
	for i := range 3 {
		s.addUser(0, withTasks(2+i), withPriority(protocol.Production), withCPUs(2))
		s.addUser(200*second, withTasks(4), withCPUs(2), withSpot(i == 0))
		s.addUser(300*second, withTasks(2), withCPUs(1), withTeam("tight"))
		s.addUser(20*second, withTasks(6), withCPUs(1), withSpot(true))
	}
	s.addUser(250*second, withTasks(3), withCPUs(2), withOneZone(true))
}

// pollFor evaluates a condition every pollForInterval. It calls onDone when the condition holds or at the
// timeout.
func (s *scenario) pollFor(timeout monotime.Micros, condition func() bool, onDone func()) {
	if condition() || timeout <= 0 {
		onDone()
		return
	}
	s.sim.After(pollForInterval, func() { s.pollFor(timeout-pollForInterval, condition, onDone) })
}

// deliverDuplicateHeartbeat sends a copy of an old heartbeat to every controller.
func (s *scenario) deliverDuplicateHeartbeat(body []byte) {
	for _, node := range s.nodeNames {
		s.sendRequest(node, "POST", protocol.HeartbeatPath, body, func(Response) {})
	}
}

// runFaults injects the faults, ends them all after the duration, and checks that the cluster recovers.
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

// scheduleFaults schedules faults for their times.
func (s *scenario) scheduleFaults(faults ...fault) {
	for _, f := range faults {
		s.sim.After(f.at-s.sim.Now(), func() { f.inject(s) })
	}
}

// endFaults ends all faults. From then on the checker reports tasks that wait although a machine has room for
// them.
func (s *scenario) endFaults() {
	s.store.DelayCommit, s.store.LoseResponse, s.store.DelayResponse = nil, nil, nil
	s.commandDelay, s.onHeartbeat, s.zonesPartitioned = nil, nil, false
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
	s.checker.WatchStarvation(func() []fake.FreeMachine { return s.fleet.FreeMachines(machineMemoryGB) })
}

// machineMemoryGB returns the memory of a machine type, or 0 if the type is unknown.
func machineMemoryGB(machineType string) float64 {
	for _, t := range testTypes {
		if t.Name == machineType {
			return t.MemoryGB
		}
	}
	return 0
}

// checkAcceptedJobsKnown checks that every job is accepted, that requests about it are answered, and that its
// user learns of its completion.
func (s *scenario) checkAcceptedJobsKnown() {
	for _, user := range s.users {
		if user.accepted && !user.finished && s.sim.Now()-user.lastAnsweredAt > fake.MaxUnanswered {
			s.checker.ReportUnanswered(user.id)
		}
		if !user.accepted {
			s.t.Errorf("job %s: not accepted", user.id)
		}
		if completions := s.checker.MaxCompletions(user.id); completions > maxCompletions {
			s.t.Errorf(
				"job %s: a task completed %d times, want at most %d",
				user.id,
				completions,
				maxCompletions,
			)
		}
		if completedAt, completed := s.checker.IsJobCompleted(user.id); completed && !user.finished &&
			s.sim.Now()-completedAt > fake.MaxUnanswered {
			s.t.Errorf("job %s: completed at %.0f s, not reported to its user", user.id, completedAt.Seconds())
		}
	}
}

// describeFaults lists faults with their times in seconds.
func describeFaults(faults []fault) string {
	var out []string
	for _, f := range faults {
		out = append(out, fmt.Sprintf("%.1f %s", f.at.Seconds(), f.name))
	}
	return strings.Join(out, ", ")
}
