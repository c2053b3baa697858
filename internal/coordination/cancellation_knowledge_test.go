package coordination

import (
	"testing"

	"pipitgap/internal/fake"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// cancelledDuringRead is a running job whose cancellation a controller reads from the state service while all
// watches are slow, and nobody gets the answer to the cancellation's commit. Then an outage begins.
type cancelledDuringRead struct {
	*cluster
	owner, other string // the controller that owns the job's machine, and the one that gets the cancellation
	job          string
	body         []byte
}

// newCancelledDuringRead starts controllers and a machine with room for the job.
func newCancelledDuringRead(t *testing.T, seed uint64) *cancelledDuringRead {
	c := &cancelledDuringRead{cluster: newCluster(t, seed)}
	c.startWithLeader()
	filler := c.submit(600*second, withCPUs(1))
	if !c.sim.RunUntil(60*second, func() bool { return c.fleet.Running(filler) == 1 }) {
		t.Fatal("the first job does not run")
	}
	c.sim.Run(5 * second)
	for _, machine := range c.nodes["n-0"].controller.mirror.Machines {
		c.owner = machine.Owner()
	}
	for _, node := range c.nodeNames {
		if node != c.owner {
			c.other = node
		}
	}
	id, submission := c.newSubmission(withCPUs(1))
	c.job, c.body = id, protocol.MustMarshal(submission)
	c.fleet.Jobs[id] = fake.JobBehavior{Team: submission.Team, CPUs: submission.CPUs, RunTime: 600 * second}
	return c
}

// third returns the controller that neither owns the machine nor gets the cancellation.
func (c *cancelledDuringRead) third() string {
	for _, node := range c.nodeNames {
		if node != c.owner && node != c.other {
			return node
		}
	}
	return ""
}

// slowOpenRead delays the answer to a controller's read of the job's open record, within which the job is
// accepted, starts and is cancelled.
func (c *cancelledDuringRead) slowOpenRead(reader string) {
	c.store.DelayResponse = func(caller string, call *protocol.StoreCall) monotime.Micros {
		if caller == reader && call.Op == protocol.StoreGet && call.Key == storage.OpenJobKey(c.job) {
			return second
		}
		return 0
	}
}

// loseCancellation makes the state service lose the answer to the cancellation's commit and all watch
// responses from now on.
func (c *cancelledDuringRead) loseCancellation() {
	c.store.LoseResponse = func(txn *protocol.Transaction) bool {
		return len(txn.Then) > 0 && txn.Then[0].Put == storage.JobResultKey(c.job)
	}
	delayRead := c.store.DelayResponse
	c.store.DelayResponse = func(caller string, call *protocol.StoreCall) monotime.Micros {
		if call.Op == protocol.StoreWatch {
			return 10 * second
		}
		return delayRead(caller, call)
	}
}

// TestCancellationConfirmedFromReadIsKnownToOwner: a controller confirms a cancellation that it has read from
// the state service. The tasks end in time although no watch delivers the cancellation.
func TestCancellationConfirmedFromReadIsKnownToOwner(t *testing.T) {
	cases := []struct {
		name   string
		reader func(c *cancelledDuringRead) string
	}{
		{"the owner of the machine reads it", func(c *cancelledDuringRead) string { return c.owner }},
		{"another controller reads it", (*cancelledDuringRead).third},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newCancelledDuringRead(t, 7100)
			reader := tc.reader(c)
			c.slowOpenRead(reader)
			confirmed := false
			c.sendRequest(reader, "GET", protocol.JobPath(c.job), nil, func(response Response) {
				var reply protocol.JobStatusReply
				_ = protocol.Unmarshal(response.Body, &reply)
				confirmed = reply.Status == protocol.JobCancelled
			})
			c.sim.Run(second / 50)
			c.sendRequest(c.other, "POST", protocol.JobsPath, c.body, func(Response) {})
			if !c.sim.RunUntil(second*9/10, func() bool { return c.fleet.Running(c.job) == 1 }) {
				t.Fatal("the job does not run")
			}
			c.loseCancellation()
			c.sendRequest(c.other, "POST", protocol.CancelPath(c.job), nil, func(Response) {})
			if !c.sim.RunUntil(2*second, func() bool { return confirmed }) {
				t.Fatal("the cancellation is not confirmed")
			}
			c.store.LoseResponse, c.store.DelayResponse = nil, nil
			c.store.Outage(54 * second)
			c.sim.Run(50 * second)
			c.requireNoViolations()
		})
	}
}

// slowWatches delays all later watch responses by more than a watch's timeout.
func (s *scenario) slowWatches() {
	s.store.DelayResponse = func(_ string, call *protocol.StoreCall) monotime.Micros {
		if call.Op == protocol.StoreWatch {
			return 10 * second
		}
		return 0
	}
}

// TestLeaseRenewalCarriesKillAlreadySent: at the end of an outage, controllers learn of a cancellation just
// before the leases of the job's machines end, and their direct commands are late. An answer to a heartbeat
// that renews a lease contains the kill, although the same kill was sent a moment ago.
func TestLeaseRenewalCarriesKillAlreadySent(t *testing.T) {
	cases := []struct {
		seed     uint64
		outageMs monotime.Micros
	}{{7264, 29000}, {7316, 29500}, {7361, 29125}, {7508, 29500}, {7617, 29125}, {7665, 29125}, {7762, 29250}}
	for _, tc := range cases {
		s := newScenario(t, tc.seed)
		s.start(s.nodeNames...)
		s.sim.Run(3 * second)
		user := s.addUser(600*second, withTasks(24), withCPUs(2))
		s.sim.Run(60 * second)
		s.scheduleFaults(delayedCommands(s.sim.Now(), 1, 60*second))
		s.slowWatches()
		s.sim.Run(5 * second / 2)
		confirmed := false
		user.cancelling = true
		s.sendRequest("n-1", "POST", protocol.CancelPath(user.id), nil, func(response Response) {
			confirmed = response.Status == 200
			s.store.Outage(tc.outageMs * monotime.Millisecond)
			for _, node := range s.nodeNames {
				s.scheduleFaults(peerPartition(s.sim.Now(), func(*scenario) string { return node }, 40*second))
			}
		})
		s.sim.Run(second / 2)
		s.store.DelayResponse = nil
		s.sim.Run(45 * second)
		if !confirmed {
			t.Errorf("seed %d: the cancellation is not confirmed", tc.seed)
		}
		for _, violation := range s.checker.Violations {
			t.Errorf("seed %d: %s", tc.seed, violation)
		}
	}
}
