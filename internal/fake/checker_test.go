package fake

import (
	"testing"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

const second = monotime.Second

// checkerScenario is a checker with one accepted job of two tasks and a few machines.
type checkerScenario struct {
	*Checker
	sim                   *SimClock
	machine, otherMachine *Machine
}

// submission is a job of two tasks; modify, if any, changes it.
func submission(id string, modify func(*protocol.Submission)) []byte {
	spec := &protocol.Submission{ID: id, Class: "batch", Team: "tight", Priority: protocol.Standard, Tasks: 2,
		CPUs: 4, MemoryGB: 8, Image: "img", ImageGB: 0.5, EstimateS: 5}
	if modify != nil {
		modify(spec)
	}
	return protocol.MustMarshal(spec)
}

func inZoneB(spec *protocol.Submission) { spec.Zone = "b" }

func onlyM16(spec *protocol.Submission) { spec.Types = []string{"m16"} }

func withoutTasks(spec *protocol.Submission) { spec.Tasks = 0 }

func newCheckerScenario(modify func(*protocol.Submission)) *checkerScenario {
	sim := NewSimClock(1)
	s := &checkerScenario{Checker: NewChecker(sim, 30*second), sim: sim,
		machine: &Machine{
			ID:   "i-1",
			Type: "m8",
			Zone: "a",
		}, otherMachine: &Machine{ID: "i-2", Type: "m8", Zone: "b"}}
	s.Limits["tight"] = 8
	sim.Run(second)
	s.request("POST", protocol.JobsPath, submission("j-1", modify), 201, protocol.JobPending)
	return s
}

// request has a user ask and be answered a moment later.
func (d *checkerScenario) request(method, target string, body []byte, status int, state string) {
	pending := d.UserRequest(method, target, body)
	d.sim.Run(second / 10)
	pending.Answered(status, protocol.MustMarshal(&protocol.JobStatusReply{Status: state}))
	d.sim.Run(second / 10)
}

func (d *checkerScenario) poll(state string) {
	d.request("GET", protocol.JobPath("j-1"), nil, 200, state)
}

func (d *checkerScenario) startTask(task string, machine *Machine) {
	d.TaskStarted(task, machine, "tight", 4)
}

func (d *checkerScenario) cancel() {
	d.request("POST", protocol.CancelPath("j-1"), nil, 200, protocol.JobCancelled)
}

// TestCheckerReportsExactlyTheViolations: each kind of violation is caught, and what is allowed isn't taken
// for one.
func TestCheckerReportsExactlyTheViolations(t *testing.T) {
	cases := []struct {
		name   string
		modify func(*protocol.Submission)
		do     func(s *checkerScenario)
		want   Invariant // "": none
	}{
		{"a job from start to end", nil, func(s *checkerScenario) {
			s.startTask("j-1/0", s.machine)
			s.startTask("j-1/1", s.otherMachine)
			s.poll(protocol.JobRunning)
			for _, task := range []string{"j-1/0", "j-1/1"} {
				s.TaskCompleted(task)
			}
			s.TaskEnded("j-1/0", s.machine, "tight", 4)
			s.TaskEnded("j-1/1", s.otherMachine, "tight", 4)
			s.poll(protocol.JobDone)
		}, ""},
		{"moved after its end", nil, func(s *checkerScenario) {
			s.startTask("j-1/0", s.machine)
			s.TaskEnded("j-1/0", s.machine, "tight", 4)
			s.startTask("j-1/0", s.otherMachine)
		}, ""},
		{
			"two attempts",
			nil,
			func(s *checkerScenario) { s.startTask("j-1/0", s.machine); s.startTask("j-1/0", s.otherMachine) },
			RanTwice,
		},
		{"over the limit", nil, func(s *checkerScenario) {
			s.startTask("j-1/0", s.machine)
			s.startTask("j-1/1", s.machine)
			s.startTask("j-2/0", s.machine)
		}, QuotaExceeded},
		{"another zone", inZoneB, func(s *checkerScenario) { s.startTask("j-1/0", s.machine) }, PlacementConstraintViolated},
		{"another type", onlyM16, func(s *checkerScenario) { s.startTask("j-1/0", s.machine) }, PlacementConstraintViolated},
		{
			"a spot machine",
			nil,
			func(s *checkerScenario) { s.machine.Spot = true; s.startTask("j-1/0", s.machine) },
			PlacementConstraintViolated,
		},
		{"two zones", func(spec *protocol.Submission) { spec.OneZone = true }, func(s *checkerScenario) {
			s.startTask("j-1/0", s.machine)
			s.startTask("j-1/1", s.otherMachine)
		}, PlacementConstraintViolated},
		{"not apart", func(spec *protocol.Submission) { spec.Spread = true }, func(s *checkerScenario) {
			s.startTask("j-1/0", s.machine)
			s.startTask("j-1/1", s.machine)
		}, PlacementConstraintViolated},
		{"a start in time after a cancellation", nil, func(s *checkerScenario) {
			s.cancel()
			s.startTask("j-1/0", s.machine)
			s.TaskEnded("j-1/0", s.machine, "tight", 4)
			s.sim.Run(40 * second)
		}, ""},
		{"a start too late after a cancellation", nil, func(s *checkerScenario) {
			s.cancel()
			s.sim.Run(31 * second)
			s.startTask("j-1/0", s.machine)
		}, RanCancelled},
		{"a task stays after a cancellation", nil, func(s *checkerScenario) {
			s.startTask("j-1/0", s.machine)
			s.cancel()
			s.sim.Run(31 * second)
		}, RanCancelled},
		{
			"running after cancelled",
			nil,
			func(s *checkerScenario) { s.cancel(); s.poll(protocol.JobRunning) },
			InconsistentAnswer,
		},
		{"an answer that was on its way", nil, func(s *checkerScenario) {
			pending := s.UserRequest("GET", protocol.JobPath("j-1"), nil)
			s.cancel()
			pending.Answered(200, protocol.MustMarshal(&protocol.JobStatusReply{Status: protocol.JobRunning}))
		}, ""},
		{
			"done after cancelled",
			nil,
			func(s *checkerScenario) { s.cancel(); s.poll(protocol.JobDone) },
			InconsistentAnswer,
		},
		{"cancelled by nobody", nil, func(s *checkerScenario) { s.poll(protocol.JobCancelled) }, InconsistentAnswer},
		{"cancelled on the way", nil, func(s *checkerScenario) {
			pending := s.UserRequest("POST", protocol.CancelPath("j-2"), nil)
			s.request("POST", protocol.JobsPath, submission("j-2", nil), 201, protocol.JobPending)
			pending.Answered(200, protocol.MustMarshal(&protocol.JobStatusReply{Status: protocol.JobCancelled}))
		}, ""},
		{
			"done too early",
			nil,
			func(s *checkerScenario) { s.TaskCompleted("j-1/0"); s.poll(protocol.JobDone) },
			DoneTooEarly,
		},
		{"unknown after accepted", nil, func(s *checkerScenario) {
			s.request("GET", protocol.JobPath("j-1"), nil, 404, "")
		}, JobLost},
		{"refused after accepted", nil, func(s *checkerScenario) {
			s.request("POST", protocol.JobsPath, submission("j-1", nil), 422, "")
		}, JobLost},
		{"asked to come back", nil, func(s *checkerScenario) {
			s.request("GET", protocol.JobPath("j-1"), nil, 503, "")
		}, ""},
		{"never answered", nil, func(s *checkerScenario) { s.ReportUnanswered("j-1") }, JobLost},
		{"known by nobody", nil, func(s *checkerScenario) {
			s.request("GET", protocol.JobPath("j-9"), nil, 200, protocol.JobPending)
		}, UnknownJobReported},
		{"malformed", nil, func(s *checkerScenario) {
			s.request("POST", protocol.JobsPath, submission("j-2", withoutTasks), 201, protocol.JobPending)
		}, InvalidAccepted},
		{"can never run", nil, func(s *checkerScenario) {
			s.MarkUnrunnable("j-2")
			s.request("POST", protocol.JobsPath, submission("j-2", nil), 201, protocol.JobPending)
		}, InvalidAccepted},
		{"malformed, once it is known", nil, func(s *checkerScenario) {
			s.request("POST", protocol.JobsPath, submission("j-1", withoutTasks), 200, protocol.JobPending)
		}, ""},
		{
			"left beside room",
			nil,
			func(s *checkerScenario) { s.waitBesideFreeMachine(FreeMachine{s.machine, 8, 64}) },
			TaskStarved,
		},
		{"no room", nil, func(s *checkerScenario) { s.waitBesideFreeMachine(FreeMachine{s.machine, 3, 64}) }, ""},
		{"no memory", nil, func(s *checkerScenario) { s.waitBesideFreeMachine(FreeMachine{s.machine, 8, 7}) }, ""},
		{"room elsewhere", inZoneB, func(s *checkerScenario) { s.waitBesideFreeMachine(FreeMachine{s.machine, 8, 64}) }, ""},
		{"room, the team at its limit", nil, func(s *checkerScenario) {
			s.TaskStarted("j-3/0", s.otherMachine, "tight", 8)
			s.waitBesideFreeMachine(FreeMachine{s.machine, 8, 64})
		}, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newCheckerScenario(tc.modify)
			tc.do(s)
			if tc.want == "" && len(s.Violations) > 0 ||
				tc.want != "" && (len(s.Violations) == 0 || s.Violations[0].Invariant != tc.want) {
				t.Errorf("broken: %v, want %q", s.Violations, tc.want)
			}
		})
	}
}

// waitBesideFreeMachine lets both tasks wait for two minutes beside a room.
func (d *checkerScenario) waitBesideFreeMachine(free FreeMachine) {
	d.WatchWaiting(func() []FreeMachine { return []FreeMachine{free} })
	d.sim.Run(120 * second)
}
