package coordination

import (
	"fmt"
	"testing"

	"pipitgap/internal/api"
	"pipitgap/internal/config"
	"pipitgap/internal/fake"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// newGrownCluster returns a cluster of five controllers with capacity for about 500 machines. The limits of
// its state service and its cloud are those of newCluster, which is a cluster of three controllers with about
// 40 machines.
func newGrownCluster(t testing.TB, seed uint64) *cluster {
	c := newCluster(t, seed)
	c.nodeNames = []string{"n-0", "n-1", "n-2", "n-3", "n-4"}
	c.fleet.Controllers = c.nodeNames
	c.addControllers()
	c.teams = []config.Team{
		{Name: "free", CPUs: 1000, CPUsMax: 3500},
		{Name: "tight", CPUs: 800, CPUsMax: 2500},
		{Name: "third", CPUs: 800, CPUsMax: 3500},
	}
	c.settings.ScaleDownDelay = config.Duration(15 * second)
	c.settings.ExpectedCapacity, c.settings.ExpectedOnDemandCapacity = 0.2, 1.75
	c.settings.OverdueBootFactor, c.settings.ServiceHeadroom = 0.75, 0.3
	clear(c.cloud.Capacity)
	for _, zone := range []string{"a", "b"} {
		c.cloud.Capacity[fake.OfferKey("m16", zone, false)] = 135
		c.cloud.Capacity[fake.OfferKey("m16", zone, true)] = 135
	}
	c.checker.Limits["tight"], c.checker.Limits["free"], c.checker.Limits["third"] = 2500, 3500, 3500
	return c
}

// submitWithRetry submits a job to a random controller. Until the job is accepted, it retries 1 s after a
// rejection, or immediately if there is no answer within 5 s.
func (c *cluster) submitWithRetry(runTime monotime.Micros, options ...jobOption) string {
	id, submission := c.newSubmission(options...)
	c.fleet.Jobs[id] = fake.JobBehavior{Team: submission.Team, CPUs: submission.CPUs, RunTime: runTime}
	body := protocol.MustMarshal(submission)
	var send func()
	send = func() {
		settled := false
		c.sendRequest(
			c.nodeNames[c.sim.Rand.IntN(len(c.nodeNames))],
			"POST",
			protocol.JobsPath,
			body,
			func(response Response) {
				if settled {
					return
				}
				settled = true
				if response.Status != 200 && response.Status != 201 {
					c.sim.After(second, send)
				} else if c.onAccepted != nil {
					c.onAccepted(id)
				}
			},
		)
		c.sim.After(5*second, func() {
			if !settled {
				settled = true
				send()
			}
		})
	}
	send()
	return id
}

// bound is the range that a metric of a simulation must be in.
type bound struct {
	metric   string
	min, max int
}

// requireWithinBounds reports every metric that is outside its bounds.
func requireWithinBounds(t *testing.T, got map[string]int, bounds []bound) {
	t.Helper()
	for _, b := range bounds {
		if value := got[b.metric]; value < b.min || value > b.max {
			t.Errorf("%s: got %d, want %d to %d", b.metric, value, b.min, b.max)
		}
	}
}

// TestGrownClusterOpeningLoadStaysWithinBounds simulates an initial load that is twelve times as large as
// that of three controllers. It checks the number of changes, requests and bytes, and the number of completed
// tasks. Before machines were stored in shards, 4,500 changes completed only 137 tasks in the same time.
func TestGrownClusterOpeningLoadStaysWithinBounds(t *testing.T) {
	c := newGrownCluster(t, 1)
	largest := map[string]int{}
	c.onHeartbeat = func(_ *fake.Worker, _ string, body []byte) {
		largest["report"] = max(largest["report"], len(body))
	}
	c.start(c.nodeNames...)
	c.sim.Run(3 * second)
	teams := []string{"free", "tight", "third"}
	for i := 0; i < 400; i++ {
		c.submitWithRetry(
			0,
			withTeam(teams[i%3]),
			withService(true),
			withPriority(protocol.High),
			withCPUs(1),
			withMemoryGB(6),
			withImage(fmt.Sprint("svc", i%16)),
			withImageGB(1.8),
			withEstimateS(0),
		)
	}
	submitArrays := func(n int) {
		for i := 0; i < n; i++ {
			runTime := monotime.Micros(float64(12*second) * (0.5 + 1.2*c.sim.Rand.Float64()))
			c.submitWithRetry(runTime, withTeam(teams[c.sim.Rand.IntN(3)]), withTasks(20+c.sim.Rand.IntN(260)),
				withMemoryGB(10),
				withImage(fmt.Sprint("tr", c.sim.Rand.IntN(18))), withImageGB(0.7), withEstimateS(12),
				withSpot(true), withDeadlineS(46))
		}
	}
	submitArrays(23)
	for s := 0; s < 70; s++ {
		if s%2 == 0 {
			submitArrays(1)
		}
		c.sim.Run(second)
		for _, node := range c.nodeNames {
			if got := c.nodes[node].controller.replica.PendingReads(); got > api.MaxWaitingReaders {
				t.Fatalf("%s: got %d waiting readers, want at most %d", node, got, api.MaxWaitingReaders)
			}
		}
	}
	c.requireNoViolations()
	for _, k := range c.store.Keys(storage.KeyPrefix) {
		largest["value"] = max(largest["value"], c.store.JSONSize(k))
	}
	services := 0
	for id, j := range c.fleet.Jobs {
		if j.RunTime == 0 && c.fleet.Running(id) > 0 {
			services++
		}
	}
	shards := len(c.store.Keys(storage.Key(storage.KindShard, "")))
	got := map[string]int{
		"changes":        c.store.Changes,
		"conflicts":      c.store.Conflicts,
		"throttled":      c.store.Throttled,
		"finished":       len(c.fleet.Finished),
		"services":       services,
		"shards":         shards,
		"largest value":  largest["value"],
		"largest report": largest["report"],
	}
	for _, n := range c.store.Calls {
		got["requests"] += n
	}
	for _, n := range c.cloud.Calls {
		got["cloud calls"] += n
	}
	t.Log(got)
	requireWithinBounds(t, got, []bound{
		{"changes", 0, 70 * 45}, // 45 per second; the state service allows 50
		{"requests", 0, 70 * 150},
		{"conflicts", 0, 400},
		{"throttled", 0, 400},
		{"finished", 5000, 1 << 30},
		{"services", 400, 400},
		{"shards", 5, 40},
		{"cloud calls", 5, 120},
		{"largest value", 0, 4096},
		{"largest report", 0, 64 << 10},
	})
	// After a simultaneous crash of all controllers, they reload all records and tasks complete again.
	c.kill(c.nodeNames...)
	listCalls, finished := c.store.Calls[protocol.StoreList], len(c.fleet.Finished)
	c.sim.Run(3 * second)
	c.start(c.nodeNames...)
	c.sim.Run(12 * second)
	if n := c.store.Calls[protocol.StoreList] - listCalls; n > 5*20 {
		t.Errorf("restart of all controllers: got %d list calls for the reload, want at most %d", n, 5*20)
	}
	if len(c.fleet.Finished) <= finished {
		t.Errorf(
			"restart of all controllers: got %d finished tasks, want more than the %d before it",
			len(c.fleet.Finished),
			finished,
		)
	}
	c.requireNoViolations()
}
