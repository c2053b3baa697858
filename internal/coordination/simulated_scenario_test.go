package coordination

import (
	"fmt"
	"strings"
	"testing"

	"pipitgap/internal/fake"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// scenario plays users, jobs and faults on a cluster; the checker watches every step.
type scenario struct {
	*cluster
	users        []*simUser
	eagerQueries bool
}

const (
	// warmUp is when the first faults may begin: jobs run by then.
	warmUp = 40 * second
	// settlingTime is how long a scenario goes on after its last fault: longer than an
	// accepted job may stay unanswered, and a task may wait beside room.
	settlingTime = 150 * second
	// maxCompletions is how often a task may complete: its result is lost with its machine, which
	// few faults bring about twice.
	maxCompletions = 3
)

func newScenario(t testing.TB, seed uint64) *scenario {
	s := &scenario{cluster: newCluster(t, seed)}
	for k := range s.cloud.Capacity {
		s.cloud.Capacity[k] = 8
	}
	return s
}

// addUser has a new user submit a job.
func (s *scenario) addUser(run monotime.Micros, options ...jobOption) *simUser {
	u := s.newUser(run, options...)
	u.eagerQueries = s.eagerQueries
	s.users = append(s.users, u)
	return u
}

// submitUsualJobs are services and arrays, long and short, of both teams.
func (s *scenario) submitUsualJobs() {
	for i := range 3 {
		s.addUser(0, withTasks(2+i), withPriority(protocol.Production), withCPUs(2))
		s.addUser(200*second, withTasks(4), withCPUs(2), withSpot(i == 0))
		s.addUser(300*second, withTasks(2), withCPUs(1), withTeam("tight"))
		s.addUser(20*second, withTasks(6), withCPUs(1), withSpot(true))
	}
	s.addUser(250*second, withTasks(3), withCPUs(2), withOneZone(true))
}

// pollFor looks every few milliseconds for a condition, for a time at most.
func (s *scenario) pollFor(most monotime.Micros, ok func() bool, then func()) {
	if ok() || most <= 0 {
		then()
		return
	}
	s.sim.After(20*monotime.Millisecond, func() { s.pollFor(most-20*monotime.Millisecond, ok, then) })
}

func (s *scenario) restartController(node string) {
	if s.nodes[node].controller == nil {
		s.start(node)
	}
}

// deliverDuplicateReport brings a copy of an old report to every controller.
func (s *scenario) deliverDuplicateReport(body []byte) {
	for _, node := range s.nodeNames {
		s.sendRequest(node, "POST", protocol.HeartbeatPath, body, func(Response) {})
	}
}

// runFaults runs the faults and then the aftermath.
func (s *scenario) runFaults(faults []fault, lasting monotime.Micros) {
	s.start(s.nodeNames...)
	s.sim.Run(3 * second)
	s.submitUsualJobs()
	for _, f := range faults {
		s.sim.After(f.at-3*second, func() { f.inject(s) })
	}
	s.sim.Run(lasting - 3*second)
	s.settleAndCheck()
	s.sim.Run(settlingTime)
	s.checkAcceptedJobsKnown()
	s.requireNoViolations()
}

// settleAndCheck ends every trouble and has the checker look for what is left behind.
func (s *scenario) settleAndCheck() {
	s.store.DelayCommit, s.store.LoseResponse, s.store.DelayResponse = nil, nil, nil
	s.commandDelay, s.onReport, s.zonesPartitioned = nil, nil, false
	clear(s.store.RefusedCallers)
	clear(s.disconnectedPairs)
	clear(s.unreachableMachines)
	clear(s.mutedMachines)
	for _, node := range s.nodeNames {
		s.restartController(node)
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

// checkAcceptedJobsKnown looks for accepted jobs about which no question was answered for too long.
func (s *scenario) checkAcceptedJobsKnown() {
	for _, u := range s.users {
		if u.accepted && !u.finished && s.sim.Now()-u.answeredAt > fake.MaxUnanswered {
			s.checker.ReportUnanswered(u.id)
		}
		if !u.accepted {
			s.t.Errorf("job %s is not accepted", u.id)
		}
		if n := s.checker.MaxCompletions(u.id); n > maxCompletions {
			s.t.Errorf("job %s: a task has completed %d times", u.id, n)
		}
		if at, complete := s.checker.IsJobCompleted(u.id); complete && !u.finished &&
			s.sim.Now()-at > fake.MaxUnanswered {
			s.t.Errorf("job %s: all tasks have completed by %.0f s, its user isn't told", u.id, at.Seconds())
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
