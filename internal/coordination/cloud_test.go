package coordination

import (
	"testing"

	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/protocol"
)

// TestRepeatedAsk: a leader that crashes after the cloud has rented is followed
// by one that repeats the request by its name; nothing is rented twice.
func TestRepeatedAsk(t *testing.T) {
	c := newCluster(t, 8).steady()
	c.cloud.LoseRent = true
	c.submit(0, withService(true), withTasks(4), withCPUs(8))
	if !c.sim.RunUntil(10*sec, func() bool { return len(c.cloud.Names) > 0 }) {
		t.Fatal("nothing was rented")
	}
	rented := c.cloud.Count()
	leader := c.leader()
	c.kill(leader.name)
	c.cloud.LoseRent = false
	c.sim.Run(30 * sec)
	if c.leader() == nil || c.leader() == leader {
		t.Fatal("no new leader")
	}
	if n := c.cloud.Count(); n != rented {
		t.Errorf("%d machines rented by the old leader, %d after the new one", rented, n)
	}
}

// TestThrottledCloudSidelinesNothing: the known weakness of the source. Only "no
// capacity" marks an offer unmet.
func TestThrottledCloudSidelinesNothing(t *testing.T) {
	for _, tc := range []struct {
		name string
		do   func(c *cluster)
		want bool
	}{
		{"throttled", func(c *cluster) { c.cloud.Limit = true }, false},
		{"trouble", func(c *cluster) { c.cloud.Trouble = true }, false},
		{"no capacity", func(c *cluster) { clear(c.cloud.Capacity) }, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, 9).steady()
			tc.do(c)
			c.submit(0, withTasks(4))
			c.sim.Run(10 * sec)
			core := c.leader().core
			if got := len(core.unmet()) > 0; got != tc.want {
				t.Errorf("sidelined: %v, want %v", core.unmet(), tc.want)
			}
		})
	}
}

// TestNamesOfRequests: a new leader's requests have names of their own; the cloud
// would answer a used one with the old machines.
func TestNamesOfRequests(t *testing.T) {
	c := newCluster(t, 16).steady()
	for i := 0; i < 3; i++ {
		id := c.submit(0, withService(true), withCPUs(16))
		if !c.sim.RunUntil(60*sec, func() bool { return c.fleet.Running(id) == 1 }) {
			t.Fatalf("after %d changes of leader a service finds no machine", i)
		}
		old := c.leader().name
		c.kill(old)
		c.sim.Run(10 * sec)
		c.start(old)
		c.sim.Run(3 * sec)
	}
	if c.cloud.Repeated > 0 {
		t.Errorf("%d requests under a name that had been answered", c.cloud.Repeated)
	}
	c.rules()
}

// TestGhost: a report of a machine that was deleted, held back on its way, must
// not bring the machine to life again.
func TestGhost(t *testing.T) {
	c := newCluster(t, 19)
	c.set.ScaleDownDelay = 0
	c.steady()
	id := c.submit(sec)
	c.sim.Run(20 * sec)
	c.finished(id, 60*sec)
	w := c.fleet.Workers[sortedKeys(c.fleet.Workers)[0]]
	late := protocol.MustMarshal(w.Body())
	if !c.sim.RunUntil(60*sec, func() bool { return c.cloud.Count() == 0 }) {
		t.Fatal("the machine was not given back")
	}
	c.sim.Run(5 * sec)
	for _, n := range c.names {
		if r := c.ask(n, "POST", protocol.HeartbeatPath, late); r.Status == 200 {
			t.Errorf("%s answers %d", n, r.Status)
		}
	}
	if keys := c.store.Keys(bookkeeping.Root + "page"); len(keys) > 0 {
		t.Errorf("claimed: %v", keys)
	}
}

// TestStartInCloudOutage: controllers that start while the cloud is out know the
// machine types from the store; they accept, and place on what is there.
func TestStartInCloudOutage(t *testing.T) {
	c := newCluster(t, 11).steady()
	first := c.submit(0, withService(true))
	if !c.sim.RunUntil(60*sec, func() bool { return c.fleet.Running(first) == 1 }) {
		t.Fatal("no machine is up")
	}
	c.cloud.Trouble = true
	c.kill(c.names...)
	c.sim.Run(3 * sec)
	c.start(c.names...)
	c.sim.Run(3 * sec)
	id := c.submit(2*sec, withTasks(2))
	c.finished(id, 30*sec)
	c.rules()
}

// TestRetired: an old job's answer stays right after restarts, when nothing in
// memory knows it any more.
func TestRetired(t *testing.T) {
	c := newCluster(t, 12).steady()
	done := c.submit(sec)
	gone := c.submit(0, withService(true))
	c.finished(done, 60*sec)
	c.ask("n-0", "POST", protocol.CancelPath(gone), nil)
	c.sim.Run(10 * sec)
	for round := 0; round < 3; round++ {
		c.kill(c.names...)
		c.sim.Run(sec)
		c.start(c.names...)
		c.sim.Run(3 * sec)
		for _, n := range c.names {
			if code, st := c.status(n, done); code != 200 || st.Status != protocol.JobDone {
				t.Errorf("done job: %d %+v", code, st)
			}
			if code, st := c.status(n, gone); code != 200 || st.Status != protocol.JobCancelled {
				t.Errorf("cancelled job: %d %+v", code, st)
			}
			r := c.ask(n, "POST", protocol.CancelPath(done), nil)
			var a protocol.Accepted
			_ = protocol.Unmarshal(r.Body, &a)
			if r.Status != 200 || a.Status != protocol.JobDone {
				t.Errorf("abort of a done job: %d %+v", r.Status, a)
			}
		}
	}
}
