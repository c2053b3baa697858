package standin

import (
	"testing"

	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
)

const second = micros.Second

// watchedDay is a checker with one accepted job of two tasks and a few machines.
type watchedDay struct {
	*Checker
	sim           *Sim
	machine, twin *Rented
}

// submission is a job of two tasks; more, if any, changes it.
func submission(id string, more func(*protocol.Submission)) []byte {
	s := &protocol.Submission{ID: id, Class: "batch", Team: "tight", Priority: protocol.Standard, Tasks: 2,
		CPUs: 4, MemoryGB: 8, Image: "img", ImageGB: 0.5, EstimateS: 5}
	if more != nil {
		more(s)
	}
	return protocol.MustMarshal(s)
}

func inZoneB(s *protocol.Submission) { s.Zone = "b" }

func onlyM16(s *protocol.Submission) { s.Types = []string{"m16"} }

func withoutTasks(s *protocol.Submission) { s.Tasks = 0 }

func newWatchedDay(more func(*protocol.Submission)) *watchedDay {
	sim := NewSim(1)
	d := &watchedDay{Checker: NewChecker(sim, 30*second), sim: sim,
		machine: &Rented{ID: "i-1", Type: "m8", Zone: "a"}, twin: &Rented{ID: "i-2", Type: "m8", Zone: "b"}}
	d.Limits["tight"] = 8
	sim.Run(second)
	d.tell("POST", protocol.JobsPath, submission("j-1", more), 201, protocol.JobPending)
	return d
}

// tell has a user ask and be answered a moment later.
func (d *watchedDay) tell(method, target string, body []byte, status int, state string) {
	q := d.Observe(method, target, body)
	d.sim.Run(second / 10)
	q.Answer(status, protocol.MustMarshal(&protocol.JobStatus{Status: state}))
	d.sim.Run(second / 10)
}

func (d *watchedDay) poll(state string) { d.tell("GET", protocol.JobPath("j-1"), nil, 200, state) }

func (d *watchedDay) begin(task string, m *Rented) { d.Begin(task, m, "tight", 4) }

func (d *watchedDay) cancel() {
	d.tell("POST", protocol.CancelPath("j-1"), nil, 200, protocol.JobCancelled)
}

// TestChecker: each kind of violation is caught, and what is allowed isn't taken for one.
func TestChecker(t *testing.T) {
	cases := []struct {
		name string
		more func(*protocol.Submission)
		do   func(d *watchedDay)
		want Rule // "": none
	}{
		{"a whole life", nil, func(d *watchedDay) {
			d.begin("j-1/0", d.machine)
			d.begin("j-1/1", d.twin)
			d.poll(protocol.JobRunning)
			for _, task := range []string{"j-1/0", "j-1/1"} {
				d.Finish(task)
			}
			d.End("j-1/0", d.machine, "tight", 4)
			d.End("j-1/1", d.twin, "tight", 4)
			d.poll(protocol.JobDone)
		}, ""},
		{"moved after its end", nil, func(d *watchedDay) {
			d.begin("j-1/0", d.machine)
			d.End("j-1/0", d.machine, "tight", 4)
			d.begin("j-1/0", d.twin)
		}, ""},
		{"two attempts", nil, func(d *watchedDay) { d.begin("j-1/0", d.machine); d.begin("j-1/0", d.twin) }, RanTwice},
		{"over the limit", nil, func(d *watchedDay) {
			d.begin("j-1/0", d.machine)
			d.begin("j-1/1", d.machine)
			d.begin("j-2/0", d.machine)
		}, OverLimit},
		{"another zone", inZoneB, func(d *watchedDay) { d.begin("j-1/0", d.machine) }, WrongPlace},
		{"another type", onlyM16, func(d *watchedDay) { d.begin("j-1/0", d.machine) }, WrongPlace},
		{"a spot machine", nil, func(d *watchedDay) { d.machine.Spot = true; d.begin("j-1/0", d.machine) }, WrongPlace},
		{"two zones", func(s *protocol.Submission) { s.OneZone = true }, func(d *watchedDay) {
			d.begin("j-1/0", d.machine)
			d.begin("j-1/1", d.twin)
		}, WrongPlace},
		{"not apart", func(s *protocol.Submission) { s.Spread = true }, func(d *watchedDay) {
			d.begin("j-1/0", d.machine)
			d.begin("j-1/1", d.machine)
		}, WrongPlace},
		{"a start in time after a cancellation", nil, func(d *watchedDay) {
			d.cancel()
			d.begin("j-1/0", d.machine)
			d.End("j-1/0", d.machine, "tight", 4)
			d.sim.Run(40 * second)
		}, ""},
		{"a start too late after a cancellation", nil, func(d *watchedDay) {
			d.cancel()
			d.sim.Run(31 * second)
			d.begin("j-1/0", d.machine)
		}, RanCancelled},
		{"a task stays after a cancellation", nil, func(d *watchedDay) {
			d.begin("j-1/0", d.machine)
			d.cancel()
			d.sim.Run(31 * second)
		}, RanCancelled},
		{"running after cancelled", nil, func(d *watchedDay) { d.cancel(); d.poll(protocol.JobRunning) }, WentBack},
		{"an answer that was on its way", nil, func(d *watchedDay) {
			q := d.Observe("GET", protocol.JobPath("j-1"), nil)
			d.cancel()
			q.Answer(200, protocol.MustMarshal(&protocol.JobStatus{Status: protocol.JobRunning}))
		}, ""},
		{"done after cancelled", nil, func(d *watchedDay) { d.cancel(); d.poll(protocol.JobDone) }, WentBack},
		{"cancelled by nobody", nil, func(d *watchedDay) { d.poll(protocol.JobCancelled) }, WentBack},
		{"cancelled on the way", nil, func(d *watchedDay) {
			q := d.Observe("POST", protocol.CancelPath("j-2"), nil)
			d.tell("POST", protocol.JobsPath, submission("j-2", nil), 201, protocol.JobPending)
			q.Answer(200, protocol.MustMarshal(&protocol.JobStatus{Status: protocol.JobCancelled}))
		}, ""},
		{"done too early", nil, func(d *watchedDay) { d.Finish("j-1/0"); d.poll(protocol.JobDone) }, NotDone},
		{"unknown after accepted", nil, func(d *watchedDay) {
			d.tell("GET", protocol.JobPath("j-1"), nil, 404, "")
		}, Forgotten},
		{"refused after accepted", nil, func(d *watchedDay) {
			d.tell("POST", protocol.JobsPath, submission("j-1", nil), 422, "")
		}, Forgotten},
		{"asked to come back", nil, func(d *watchedDay) {
			d.tell("GET", protocol.JobPath("j-1"), nil, 503, "")
		}, ""},
		{"never answered", nil, func(d *watchedDay) { d.Unanswered("j-1") }, Forgotten},
		{"known by nobody", nil, func(d *watchedDay) {
			d.tell("GET", protocol.JobPath("j-9"), nil, 200, protocol.JobPending)
		}, Invented},
		{"malformed", nil, func(d *watchedDay) {
			d.tell("POST", protocol.JobsPath, submission("j-2", withoutTasks), 201, protocol.JobPending)
		}, Unfit},
		{"can never run", nil, func(d *watchedDay) {
			d.NeverRuns("j-2")
			d.tell("POST", protocol.JobsPath, submission("j-2", nil), 201, protocol.JobPending)
		}, Unfit},
		{"malformed, once it is known", nil, func(d *watchedDay) {
			d.tell("POST", protocol.JobsPath, submission("j-1", withoutTasks), 200, protocol.JobPending)
		}, ""},
		{"left beside room", nil, func(d *watchedDay) { d.wait(Room{d.machine, 8, 64}) }, LeftWaiting},
		{"no room", nil, func(d *watchedDay) { d.wait(Room{d.machine, 3, 64}) }, ""},
		{"no memory", nil, func(d *watchedDay) { d.wait(Room{d.machine, 8, 7}) }, ""},
		{"room elsewhere", inZoneB, func(d *watchedDay) { d.wait(Room{d.machine, 8, 64}) }, ""},
		{"room, the team at its limit", nil, func(d *watchedDay) {
			d.Begin("j-3/0", d.twin, "tight", 8)
			d.wait(Room{d.machine, 8, 64})
		}, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			d := newWatchedDay(tc.more)
			tc.do(d)
			if tc.want == "" && len(d.Broken) > 0 || tc.want != "" && (len(d.Broken) == 0 || d.Broken[0].Rule != tc.want) {
				t.Errorf("broken: %v, want %q", d.Broken, tc.want)
			}
		})
	}
}

// wait lets both tasks wait for two minutes beside a room.
func (d *watchedDay) wait(r Room) {
	d.WatchWaiting(func() []Room { return []Room{r} })
	d.sim.Run(120 * second)
}
