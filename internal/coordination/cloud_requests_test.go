package coordination

import (
	"testing"

	"pipitgap/internal/autoscaling"
	"pipitgap/internal/protocol"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// TestNewLeaderRepeatsScaleOutIdempotently: a leader that crashes after the cloud has rented is followed
// by one that repeats the request by its name; nothing is rented twice.
func TestNewLeaderRepeatsScaleOutIdempotently(t *testing.T) {
	c := newCluster(t, 8).startWithLeader()
	c.cloud.LoseRentReply = true
	c.submit(0, withService(true), withTasks(4), withCPUs(8))
	if !c.sim.RunUntil(10*second, func() bool { return len(c.cloud.RentedByName) > 0 }) {
		t.Fatal("nothing was rented")
	}
	rented := c.cloud.MachineCount()
	leader := c.leaderNode()
	c.kill(leader.name)
	c.cloud.LoseRentReply = false
	c.sim.Run(30 * second)
	if c.leaderNode() == nil || c.leaderNode() == leader {
		t.Fatal("no new leader")
	}
	if n := c.cloud.MachineCount(); n != rented {
		t.Errorf("%d machines rented by the old leader, %d after the new one", rented, n)
	}
}

// TestThrottledCloudQuarantinesNoOffer: the known weakness of the source. Only "no
// capacity" marks an offer unmet.
func TestThrottledCloudQuarantinesNoOffer(t *testing.T) {
	for _, tc := range []struct {
		name string
		do   func(c *cluster)
		want bool
	}{
		{"throttled", func(c *cluster) { c.cloud.Throttling = true }, false},
		{"unavailable", func(c *cluster) { c.cloud.Unavailable = true }, false},
		{"no capacity", func(c *cluster) { clear(c.cloud.Capacity) }, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, 9).startWithLeader()
			tc.do(c)
			c.submit(0, withTasks(4))
			c.sim.Run(10 * second)
			core := c.leaderNode().controller
			if got := len(autoscaling.QuarantinedOffers(core.mirror)) > 0; got != tc.want {
				t.Errorf("sidelined: %v, want %v", autoscaling.QuarantinedOffers(core.mirror), tc.want)
			}
		})
	}
}

// TestScaleOutNamesAreUniquePerTerm: a new leader's requests have names of their own; the cloud
// would answer a used one with the old machines.
func TestScaleOutNamesAreUniquePerTerm(t *testing.T) {
	c := newCluster(t, 16).startWithLeader()
	for i := 0; i < 3; i++ {
		id := c.submit(0, withService(true), withCPUs(16))
		if !c.sim.RunUntil(60*second, func() bool { return c.fleet.Running(id) == 1 }) {
			t.Fatalf("after %d changes of leader a service finds no machine", i)
		}
		old := c.leaderNode().name
		c.kill(old)
		c.sim.Run(10 * second)
		c.start(old)
		c.sim.Run(3 * second)
	}
	if c.cloud.RepeatedRents > 0 {
		t.Errorf("%d requests under a name that had been answered", c.cloud.RepeatedRents)
	}
	c.requireNoViolations()
}

// TestLateReportDoesNotReviveDeletedMachine: a report of a machine that was deleted, held back on its way,
// must not revive the machine.
func TestLateReportDoesNotReviveDeletedMachine(t *testing.T) {
	c := newCluster(t, 19)
	c.settings.ScaleDownDelay = 0
	c.startWithLeader()
	id := c.submit(second)
	c.sim.Run(20 * second)
	c.requireFinished(id, 60*second)
	worker := c.fleet.Workers[sortedmap.Keys(c.fleet.Workers)[0]]
	late := protocol.MustMarshal(worker.Heartbeat())
	if !c.sim.RunUntil(60*second, func() bool { return c.cloud.MachineCount() == 0 }) {
		t.Fatal("the machine was not given back")
	}
	c.sim.Run(5 * second)
	for _, node := range c.nodeNames {
		if response := c.requestAndWait(node, "POST", protocol.HeartbeatPath, late); response.Status == 200 {
			t.Errorf("%s answers %d", node, response.Status)
		}
	}
	if keys := c.store.Keys(storage.Key(storage.KindShard, "")); len(keys) > 0 {
		t.Errorf("claimed: %v", keys)
	}
}

// TestControllersStartDuringCloudOutage: controllers that start while the cloud is out know the
// machine types from the store; they accept, and place on what is there.
func TestControllersStartDuringCloudOutage(t *testing.T) {
	c := newCluster(t, 11).startWithLeader()
	first := c.submit(0, withService(true))
	if !c.sim.RunUntil(60*second, func() bool { return c.fleet.Running(first) == 1 }) {
		t.Fatal("no machine is up")
	}
	c.cloud.Unavailable = true
	c.kill(c.nodeNames...)
	c.sim.Run(3 * second)
	c.start(c.nodeNames...)
	c.sim.Run(3 * second)
	id := c.submit(2*second, withTasks(2))
	c.requireFinished(id, 30*second)
	c.requireNoViolations()
}

// TestFinalResultSurvivesRestarts: an old job's answer stays right after restarts, when nothing in
// memory knows it any more.
func TestFinalResultSurvivesRestarts(t *testing.T) {
	c := newCluster(t, 12).startWithLeader()
	done := c.submit(second)
	gone := c.submit(0, withService(true))
	c.requireFinished(done, 60*second)
	c.requestAndWait("n-0", "POST", protocol.CancelPath(gone), nil)
	c.sim.Run(10 * second)
	for round := 0; round < 3; round++ {
		c.kill(c.nodeNames...)
		c.sim.Run(second)
		c.start(c.nodeNames...)
		c.sim.Run(3 * second)
		for _, node := range c.nodeNames {
			if code, jobStatus := c.jobStatus(node, done); code != 200 ||
				jobStatus.Status != protocol.JobDone {
				t.Errorf("done job: %d %+v", code, jobStatus)
			}
			if code, jobStatus := c.jobStatus(node, gone); code != 200 ||
				jobStatus.Status != protocol.JobCancelled {
				t.Errorf("cancelled job: %d %+v", code, jobStatus)
			}
			response := c.requestAndWait(node, "POST", protocol.CancelPath(done), nil)
			var a protocol.AcceptedReply
			_ = protocol.Unmarshal(response.Body, &a)
			if response.Status != 200 || a.Status != protocol.JobDone {
				t.Errorf("abort of a done job: %d %+v", response.Status, a)
			}
		}
	}
}
