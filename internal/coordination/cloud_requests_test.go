package coordination

import (
	"testing"

	"pipitgap/internal/autoscaling"
	"pipitgap/internal/protocol"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// TestNewLeaderRepeatsScaleOutIdempotently guards against machines that are rented twice. A leader crashes
// after the cloud has rented machines for a scale-out request but before the leader gets the answer. The next
// leader must repeat the request under the same name, so that the cloud rents nothing more.
func TestNewLeaderRepeatsScaleOutIdempotently(t *testing.T) {
	c := newCluster(t, 8).startWithLeader()
	c.cloud.LoseCreateReply = true
	c.submit(0, withService(true), withTasks(4), withCPUs(8))
	if !c.sim.RunUntil(10*second, func() bool { return len(c.cloud.CreatedByRequest) > 0 }) {
		t.Fatal("got no rented machine after 10 s, want at least 1")
	}
	rented := c.cloud.MachineCount()
	leader := c.leaderNode()
	c.kill(leader.name)
	c.cloud.LoseCreateReply = false
	c.sim.Run(30 * second)
	if c.leaderNode() == nil || c.leaderNode() == leader {
		t.Fatal("got no new leader 30 s after the crash, want one")
	}
	if n := c.cloud.MachineCount(); n != rented {
		t.Errorf("%d machines under the old leader; under the new leader: got %d, want as many", rented, n)
	}
}

// TestThrottledCloudQuarantinesNoOffer checks that only the outcome "no capacity" quarantines an offer, not
// throttling or an outage: the known weakness of the source.
func TestThrottledCloudQuarantinesNoOffer(t *testing.T) {
	for _, tc := range []struct {
		name            string
		inject          func(c *cluster)
		wantQuarantined bool
	}{
		{"throttled", func(c *cluster) { c.cloud.Throttling = true }, false},
		{"unavailable", func(c *cluster) { c.cloud.Unavailable = true }, false},
		{"no capacity", func(c *cluster) { clear(c.cloud.Capacity) }, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, 9).startWithLeader()
			tc.inject(c)
			c.submit(0, withTasks(4))
			c.sim.Run(10 * second)
			leader := c.leaderNode().controller
			if got := len(autoscaling.QuarantinedOffers(leader.mirror)) > 0; got != tc.wantQuarantined {
				t.Errorf("quarantined offers: got %v, want any: %v",
					autoscaling.QuarantinedOffers(leader.mirror), tc.wantQuarantined)
			}
		})
	}
}

// TestScaleOutNamesAreUniquePerTerm guards against a new leader that reuses a scale-out request name of an
// earlier leader: the cloud answers a repeated name with the machines of the first request.
func TestScaleOutNamesAreUniquePerTerm(t *testing.T) {
	c := newCluster(t, 16).startWithLeader()
	for i := 0; i < 3; i++ {
		id := c.submit(0, withService(true), withCPUs(16))
		if !c.sim.RunUntil(60*second, func() bool { return c.fleet.Running(id) == 1 }) {
			t.Fatalf("service after %d leader changes: got %d running replicas, want 1", i, c.fleet.Running(id))
		}
		oldLeader := c.leaderNode().name
		c.kill(oldLeader)
		c.sim.Run(10 * second)
		c.start(oldLeader)
		c.sim.Run(3 * second)
	}
	if c.cloud.RepeatedCreateRequests > 0 {
		t.Errorf("got %d requests under a name that was answered before, want 0", c.cloud.RepeatedCreateRequests)
	}
	c.requireNoViolations()
}

// TestLateReportDoesNotReviveDeletedMachine guards against a delayed heartbeat of a deleted machine that
// makes a controller claim the machine again.
func TestLateReportDoesNotReviveDeletedMachine(t *testing.T) {
	c := newCluster(t, 19)
	c.settings.ScaleDownDelay = 0
	c.startWithLeader()
	id := c.submit(second)
	c.sim.Run(20 * second)
	c.requireFinished(id, 60*second)
	worker := c.fleet.Workers[sortedmap.Keys(c.fleet.Workers)[0]]
	lateHeartbeat := protocol.MustMarshal(worker.Heartbeat())
	if !c.sim.RunUntil(60*second, func() bool { return c.cloud.MachineCount() == 0 }) {
		t.Fatalf("got %d machines after 60 s, want 0", c.cloud.MachineCount())
	}
	c.sim.Run(5 * second)
	for _, node := range c.nodeNames {
		if response := c.requestAndWait(node, "POST", protocol.HeartbeatPath, lateHeartbeat); response.Status == 200 {
			t.Errorf("%s: got status %d for the delayed heartbeat, want a rejection", node, response.Status)
		}
	}
	if keys := c.store.Keys(storage.Key(storage.KindShard, "")); len(keys) > 0 {
		t.Errorf("got shards %v, want none: a controller has claimed the deleted machine", keys)
	}
}

// TestControllersStartDuringCloudOutage checks that controllers that start during an outage of the cloud read
// the machine types from the state service. They must accept jobs and place them on the existing machines.
func TestControllersStartDuringCloudOutage(t *testing.T) {
	c := newCluster(t, 11).startWithLeader()
	service := c.submit(0, withService(true))
	if !c.sim.RunUntil(60*second, func() bool { return c.fleet.Running(service) == 1 }) {
		t.Fatalf("service: got %d running replicas after 60 s, want 1", c.fleet.Running(service))
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

// TestFinalResultSurvivesRestarts checks that requests about an old job still get its final state after all
// controllers have restarted and no longer have the job in memory.
func TestFinalResultSurvivesRestarts(t *testing.T) {
	c := newCluster(t, 12).startWithLeader()
	completed := c.submit(second)
	cancelled := c.submit(0, withService(true))
	c.requireFinished(completed, 60*second)
	c.requestAndWait("n-0", "POST", protocol.CancelPath(cancelled), nil)
	c.sim.Run(10 * second)
	for round := 0; round < 3; round++ {
		c.kill(c.nodeNames...)
		c.sim.Run(second)
		c.start(c.nodeNames...)
		c.sim.Run(3 * second)
		for _, node := range c.nodeNames {
			if code, jobStatus := c.jobStatus(node, completed); code != 200 ||
				jobStatus.Status != protocol.JobDone {
				t.Errorf("%s: completed job: got status %d and %+v, want 200 and %s",
					node, code, jobStatus, protocol.JobDone)
			}
			if code, jobStatus := c.jobStatus(node, cancelled); code != 200 ||
				jobStatus.Status != protocol.JobCancelled {
				t.Errorf("%s: cancelled job: got status %d and %+v, want 200 and %s",
					node, code, jobStatus, protocol.JobCancelled)
			}
			response := c.requestAndWait(node, "POST", protocol.CancelPath(completed), nil)
			var reply protocol.AcceptedReply
			_ = protocol.Unmarshal(response.Body, &reply)
			if response.Status != 200 || reply.Status != protocol.JobDone {
				t.Errorf("%s: cancellation of a completed job: got status %d and %+v, want 200 and %s",
					node, response.Status, reply, protocol.JobDone)
			}
		}
	}
}
