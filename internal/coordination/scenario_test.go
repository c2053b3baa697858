package coordination

import (
	"fmt"
	"strings"
	"testing"

	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
	"pipitgap/internal/standin"
)

// scenario plays users, jobs and faults on a cluster; the checker watches every step.
type scenario struct {
	*cluster
	users     []*user
	closeLook bool
}

const (
	// warmUp is when the first faults may begin: jobs run by then.
	warmUp = 40 * sec
	// aftermath is how long a scenario goes on after its last fault: longer than an
	// accepted job may stay unanswered, and a task may wait beside room.
	aftermath = 150 * sec
	// mostCompletions is how often a task may complete: its result is lost with its machine, which
	// few faults bring about twice.
	mostCompletions = 3
)

func newScenario(t testing.TB, seed uint64) *scenario {
	s := &scenario{cluster: newCluster(t, seed)}
	for k := range s.cloud.Capacity {
		s.cloud.Capacity[k] = 8
	}
	return s
}

// add has a new user submit a job.
func (s *scenario) add(run micros.T, options ...jobOption) *user {
	u := s.newUser(run, options...)
	u.closeLooks = s.closeLook
	s.users = append(s.users, u)
	return u
}

// usualJobs are services and arrays, long and short, of both teams.
func (s *scenario) usualJobs() {
	for i := range 3 {
		s.add(0, withTasks(2+i), withPriority(protocol.Prod), withCPUs(2))
		s.add(200*sec, withTasks(4), withCPUs(2), withSpot(i == 0))
		s.add(300*sec, withTasks(2), withCPUs(1), withTeam("tight"))
		s.add(20*sec, withTasks(6), withCPUs(1), withSpot(true))
	}
	s.add(250*sec, withTasks(3), withCPUs(2), withOneZone(true))
}

// waitFor looks every few milliseconds for a condition, for a time at most.
func (s *scenario) waitFor(most micros.T, ok func() bool, then func()) {
	if ok() || most <= 0 {
		then()
		return
	}
	s.sim.After(20*micros.Millisecond, func() { s.waitFor(most-20*micros.Millisecond, ok, then) })
}

func (s *scenario) revive(node string) {
	if s.nodes[node].core == nil {
		s.start(node)
	}
}

// deliverCopy brings a copy of an old report to every controller.
func (s *scenario) deliverCopy(body []byte) {
	for _, node := range s.names {
		s.request(node, "POST", protocol.HeartbeatPath, body, func(Reply) {})
	}
}

// play runs the faults and then the aftermath.
func (s *scenario) play(faults []fault, lasting micros.T) {
	s.start(s.names...)
	s.sim.Run(3 * sec)
	s.usualJobs()
	for _, f := range faults {
		s.sim.After(f.at-3*sec, func() { f.begin(s) })
	}
	s.sim.Run(lasting - 3*sec)
	s.calm()
	s.sim.Run(aftermath)
	s.checkKnown()
	s.rules()
}

// calm ends every trouble and has the checker look for what is left behind.
func (s *scenario) calm() {
	s.store.Delay, s.store.LoseAnswer, s.store.Slow = nil, nil, nil
	s.lateDo, s.copies, s.split = nil, nil, false
	clear(s.store.Refused)
	clear(s.cut)
	clear(s.deaf)
	clear(s.unseen)
	for _, node := range s.names {
		s.revive(node)
	}
	for _, w := range s.fleet.Workers {
		w.Silent = false
	}
	s.check.WatchWaiting(func() []standin.Room { return s.fleet.Rooms(memoryOf) })
}

func memoryOf(machineType string) float64 {
	for _, t := range testTypes {
		if t.Name == machineType {
			return t.MemoryGB
		}
	}
	return 0
}

// checkKnown looks for accepted jobs about which no question was answered for too long.
func (s *scenario) checkKnown() {
	for _, u := range s.users {
		if u.accepted && !u.over && s.sim.Now()-u.answeredAt > standin.ForgottenAfter {
			s.check.Unanswered(u.id)
		}
		if !u.accepted {
			s.t.Errorf("job %s is not accepted", u.id)
		}
		if n := s.check.Repeated(u.id); n > mostCompletions {
			s.t.Errorf("job %s: a task has completed %d times", u.id, n)
		}
		if at, complete := s.check.Complete(u.id); complete && !u.over && s.sim.Now()-at > standin.ForgottenAfter {
			s.t.Errorf("job %s: all tasks have completed by %.0f s, its user isn't told", u.id, at.Seconds())
		}
	}
}

func describe(faults []fault) string {
	var out []string
	for _, f := range faults {
		out = append(out, fmt.Sprintf("%.1f %s", f.at.Seconds(), f.name))
	}
	return strings.Join(out, ", ")
}
