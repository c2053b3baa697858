package fake

import (
	"testing"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

const second = monotime.Second

// checkerScenario is a checker with one accepted job of two tasks, j-1, and two machines.
type checkerScenario struct {
	*Checker
	sim                   *SimClock
	machine, otherMachine *Machine
}

// submission returns the encoded submission of a job with two tasks. modify, if set, changes it first.
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

// request sends a request of a user, which gets the given answer 100 ms later.
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

// TestCheckerReportsExactlyTheViolations guards against a checker that misses a kind of violation or reports
// permitted behavior as one.
func TestCheckerReportsExactlyTheViolations(t *testing.T) {
	cases := []struct {
		name   string
		modify func(*protocol.Submission)
		do     func(s *checkerScenario)
		want   Invariant // "": no violation
	}{
		{"job runs from start to completion", nil, func(s *checkerScenario) {
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
		{"task restarts on another machine after its attempt ended", nil, func(s *checkerScenario) {
			s.startTask("j-1/0", s.machine)
			s.TaskEnded("j-1/0", s.machine, "tight", 4)
			s.startTask("j-1/0", s.otherMachine)
		}, ""},
		{
			"two live attempts of a task",
			nil,
			func(s *checkerScenario) { s.startTask("j-1/0", s.machine); s.startTask("j-1/0", s.otherMachine) },
			RanTwice,
		},
		{"team exceeds its limit", nil, func(s *checkerScenario) {
			s.startTask("j-1/0", s.machine)
			s.startTask("j-1/1", s.machine)
			s.startTask("j-2/0", s.machine)
		}, QuotaExceeded},
		{"start in a zone that the job does not allow", inZoneB, func(s *checkerScenario) {
			s.startTask("j-1/0", s.machine)
		}, PlacementConstraintViolated},
		{"start on a machine type that the job does not allow", onlyM16, func(s *checkerScenario) {
			s.startTask("j-1/0", s.machine)
		}, PlacementConstraintViolated},
		{
			"start on spot without the job's permission",
			nil,
			func(s *checkerScenario) { s.machine.Spot = true; s.startTask("j-1/0", s.machine) },
			PlacementConstraintViolated,
		},
		{"one-zone job in two zones", func(spec *protocol.Submission) { spec.OneZone = true }, func(s *checkerScenario) {
			s.startTask("j-1/0", s.machine)
			s.startTask("j-1/1", s.otherMachine)
		}, PlacementConstraintViolated},
		{"spread job in one zone", func(spec *protocol.Submission) { spec.Spread = true }, func(s *checkerScenario) {
			s.startTask("j-1/0", s.machine)
			s.startTask("j-1/1", s.machine)
		}, PlacementConstraintViolated},
		{"start after a cancellation within the allowed time", nil, func(s *checkerScenario) {
			s.cancel()
			s.startTask("j-1/0", s.machine)
			s.TaskEnded("j-1/0", s.machine, "tight", 4)
			s.sim.Run(40 * second)
		}, ""},
		{"start after a cancellation beyond the allowed time", nil, func(s *checkerScenario) {
			s.cancel()
			s.sim.Run(31 * second)
			s.startTask("j-1/0", s.machine)
		}, RanCancelled},
		{"task still live beyond the allowed time after a cancellation", nil, func(s *checkerScenario) {
			s.startTask("j-1/0", s.machine)
			s.cancel()
			s.sim.Run(31 * second)
		}, RanCancelled},
		{
			"state running after state cancelled",
			nil,
			func(s *checkerScenario) { s.cancel(); s.poll(protocol.JobRunning) },
			InconsistentAnswer,
		},
		{"older answer to a request sent before the cancellation", nil, func(s *checkerScenario) {
			pending := s.UserRequest("GET", protocol.JobPath("j-1"), nil)
			s.cancel()
			pending.Answered(200, protocol.MustMarshal(&protocol.JobStatusReply{Status: protocol.JobRunning}))
		}, ""},
		{
			"state done after state cancelled",
			nil,
			func(s *checkerScenario) { s.cancel(); s.poll(protocol.JobDone) },
			InconsistentAnswer,
		},
		{"state cancelled without a cancel request", nil, func(s *checkerScenario) {
			s.poll(protocol.JobCancelled)
		}, InconsistentAnswer},
		{"cancel request sent before the submission", nil, func(s *checkerScenario) {
			pending := s.UserRequest("POST", protocol.CancelPath("j-2"), nil)
			s.request("POST", protocol.JobsPath, submission("j-2", nil), 201, protocol.JobPending)
			pending.Answered(200, protocol.MustMarshal(&protocol.JobStatusReply{Status: protocol.JobCancelled}))
		}, ""},
		{
			"state done before all tasks completed",
			nil,
			func(s *checkerScenario) { s.TaskCompleted("j-1/0"); s.poll(protocol.JobDone) },
			DoneTooEarly,
		},
		{"404 after the job was accepted", nil, func(s *checkerScenario) {
			s.request("GET", protocol.JobPath("j-1"), nil, 404, "")
		}, JobLost},
		{"422 after the job was accepted", nil, func(s *checkerScenario) {
			s.request("POST", protocol.JobsPath, submission("j-1", nil), 422, "")
		}, JobLost},
		{"503 after the job was accepted", nil, func(s *checkerScenario) {
			s.request("GET", protocol.JobPath("j-1"), nil, 503, "")
		}, ""},
		{"no answer about an accepted job", nil, func(s *checkerScenario) { s.ReportUnanswered("j-1") }, JobLost},
		{"answer about a job that nobody submitted", nil, func(s *checkerScenario) {
			s.request("GET", protocol.JobPath("j-9"), nil, 200, protocol.JobPending)
		}, UnknownJobReported},
		{"malformed submission accepted", nil, func(s *checkerScenario) {
			s.request("POST", protocol.JobsPath, submission("j-2", withoutTasks), 201, protocol.JobPending)
		}, InvalidAccepted},
		{"unrunnable job accepted", nil, func(s *checkerScenario) {
			s.MarkUnrunnable("j-2")
			s.request("POST", protocol.JobsPath, submission("j-2", nil), 201, protocol.JobPending)
		}, InvalidAccepted},
		{"malformed submission of an accepted job", nil, func(s *checkerScenario) {
			s.request("POST", protocol.JobsPath, submission("j-1", withoutTasks), 200, protocol.JobPending)
		}, ""},
		{
			"task waits although a machine has capacity",
			nil,
			func(s *checkerScenario) { s.waitBesideFreeMachine(FreeMachine{s.machine, 8, 64}) },
			TaskStarved,
		},
		{"task waits without enough free CPUs", nil, func(s *checkerScenario) {
			s.waitBesideFreeMachine(FreeMachine{s.machine, 3, 64})
		}, ""},
		{"task waits without enough free memory", nil, func(s *checkerScenario) {
			s.waitBesideFreeMachine(FreeMachine{s.machine, 8, 7})
		}, ""},
		{"task waits with capacity only in another zone", inZoneB, func(s *checkerScenario) {
			s.waitBesideFreeMachine(FreeMachine{s.machine, 8, 64})
		}, ""},
		{"task waits with capacity but its team at the limit", nil, func(s *checkerScenario) {
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
				t.Errorf("got violations %v, want the first to be %q (empty: want none)", s.Violations, tc.want)
			}
		})
	}
}

// waitBesideFreeMachine keeps both tasks waiting for two minutes while a machine has free resources.
func (d *checkerScenario) waitBesideFreeMachine(free FreeMachine) {
	d.WatchStarvation(func() []FreeMachine { return []FreeMachine{free} })
	d.sim.Run(120 * second)
}
