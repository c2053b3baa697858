package coordination

import (
	"fmt"
	"testing"

	"pipitgap/internal/config"
	"pipitgap/internal/fake"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// newBurstCluster is a cluster whose machines are up, with a team that has a guarantee ("home") and one that
// has none ("guest").
func newBurstCluster(t *testing.T, seed uint64, facts func(*config.Config)) (c *cluster) {
	c = newCluster(t, seed)
	c.adjustFacts = facts
	return c.startBurst()
}

func (c *cluster) startBurst() *cluster {
	c.t.Helper()
	c.teams = []config.Team{{Name: "home", CPUs: 100, CPUsMax: 400}, {Name: "guest"}}
	clear(c.cloud.Capacity)
	for _, z := range []string{"a", "b"} {
		c.cloud.Capacity[fake.OfferKey("m16", z, false)] = 10
		c.cloud.Capacity[fake.OfferKey("m16", z, true)] = 10
	}
	c.startWithLeader()
	keep := c.submit(0, withTeam("home"), withService(true), withPriority(protocol.High), withTasks(60),
		withCPUs(3))
	if !c.sim.RunUntil(60*second, func() bool { return c.fleet.Running(keep) == 60 }) {
		c.t.Fatal("the service isn't up")
	}
	return c
}

// TestBurstLeavesOthersUnharmed: one team sends tiny jobs several times as fast as the store takes them. No
// submission of the others waits for long, their services start once a machine is up, and what is rejected
// of the burst is rejected at once, with a time to retry; more than a hundred of its jobs are accepted all
// the same. Without a priority class of their own the tiny jobs took most of all changes, and machines that
// were up were not claimed for seconds.
func TestBurstLeavesOthersUnharmed(t *testing.T) {
	for seed := uint64(2000); seed < 2004; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runBurst(t, seed) })
	}
}

func runBurst(t *testing.T, seed uint64) {
	c := newBurstCluster(t, seed, nil)
	changes := c.store.Changes
	accepted := map[string]monotime.Micros{}
	c.onAccepted = func(id string) { accepted[id] = c.sim.Now() }
	sentAt := map[string]monotime.Micros{}
	var smallJobs, services []string
	rejected, lateOrNoRetry, started := 0, 0, 0
	unclaimed, longest := map[string]monotime.Micros{}, monotime.Micros(0) // machines that are up
	var look func()
	look = func() {
		for id, worker := range c.fleet.Workers {
			if unclaimed[id] += 250 * monotime.Millisecond; worker.FencingToken == 0 && !worker.Machine.Gone {
				longest = max(longest, unclaimed[id])
			}
		}
		c.sim.After(250*monotime.Millisecond, look)
	}
	look()
	const seconds = 40
	for s := 0; s < seconds; s++ {
		for i := 0; i < 30; i++ {
			id := c.submitWithRetry(
				2*second,
				withTeam("guest"),
				withPriority(protocol.BestEffort),
				withCPUs(0.25),
				withMemoryGB(0.5),
				withSpot(true),
				withEstimateS(2),
			)
			smallJobs = append(smallJobs, id)
		}
		id := c.submitWithRetry(
			0,
			withTeam("home"),
			withService(true),
			withPriority(protocol.High),
			withCPUs(1),
		)
		services, sentAt[id] = append(services, id), c.sim.Now()
		_, j := c.newSubmission(withTeam("guest"), withPriority(protocol.BestEffort), withCPUs(0.25))
		startedAt := c.sim.Now()
		c.sendRequest(
			c.nodeNames[s%3],
			"POST",
			protocol.JobsPath,
			protocol.MustMarshal(j),
			func(response Response) {
				if response.Status == 429 {
					rejected++
					if response.RetryAfter == 0 || c.sim.Now() != startedAt {
						lateOrNoRetry++
					}
				}
			},
		)
		c.sim.After(c.cloud.BootTime+8*second, func() { started += c.fleet.Running(id) })
		c.sim.Run(second)
	}
	c.sim.Run(c.cloud.BootTime + 8*second)
	late := 0
	for _, id := range services {
		if at, ok := accepted[id]; !ok || at-sentAt[id] > 1500*monotime.Millisecond {
			late++
		}
	}
	served := 0
	for _, id := range smallJobs {
		if accepted[id] > 0 {
			served++
		}
	}
	t.Logf(
		"of %d services %d accepted late, %d run; of %d small jobs %d accepted; %d rejected; %d changes; "+
			"a machine waited %v s for its claim",
		len(services),
		late,
		started,
		len(smallJobs),
		served,
		rejected,
		c.store.Changes-changes,
		longest.Seconds(),
	)
	if longest > 5*second {
		t.Errorf("a machine that was up waited %v s for its claim", longest.Seconds())
	}
	if late > len(services)/10 || started < len(services)*9/10 {
		t.Errorf("of %d services %d were accepted late, %d run", len(services), late, started)
	}
	if served < 100 {
		t.Errorf("%d small jobs accepted", served)
	}
	if rejected == 0 || lateOrNoRetry > 0 {
		t.Errorf("%d rejected, %d of them late or without a time to retry", rejected, lateOrNoRetry)
	}
	if n := c.store.Changes - changes; n > (seconds+int(c.cloud.BootTime/second)+9)*50 {
		t.Errorf("%d changes", n)
	}
	c.requireNoViolations()
}

// TestHugeArrayLeavesServicesUnharmed: 25,000 tasks of a quarter of a CPU for a few seconds beside another
// team's services, which start as if it weren't there; counted are the changes that a
// task costs, and the largest value, report and answer.
func TestHugeArrayLeavesServicesUnharmed(t *testing.T) {
	for _, tc := range []struct {
		name        string
		kb          float64
		done, waits int
	}{
		{"4 KiB a value", 4, 8000, 4},
		{"1 KiB a value: the shards' bytes are short", 1, 4000, 4},
	} {
		t.Run(tc.name, func(t *testing.T) { runHugeArray(t, tc.kb, tc.done, tc.waits) })
	}
}

func runHugeArray(t *testing.T, kb float64, least, most int) {
	c := newBurstCluster(t, 2100, func(cfg *config.Config) { cfg.Facts.State.ValueKB = kb })
	largest := 0
	c.onReport = func(_ *fake.Worker, _ string, body []byte) { largest = max(largest, len(body)) }
	sweep := c.submit(4*second, withTeam("guest"), withPriority(protocol.BestEffort), withTasks(25000),
		withCPUs(0.25), withMemoryGB(0.45), withSpot(true), withEstimateS(4))
	changes, requests := c.store.Changes, 0
	for _, n := range c.store.Calls {
		requests -= n
	}
	value, waits := 0, 0
	for s := 0; s < 100; s++ {
		if s%5 == 0 {
			id := c.submitWithRetry(
				0,
				withTeam("home"),
				withService(true),
				withPriority(protocol.High),
				withCPUs(1),
			)
			c.sim.After(4*second, func() {
				if c.fleet.Running(id) == 0 {
					waits++
				}
			})
		}
		c.sim.Run(second)
		for _, k := range c.store.Keys(storage.KeyPrefix) {
			value = max(value, c.store.JSONSize(k))
		}
	}
	for _, n := range c.store.Calls {
		requests += n
	}
	done := 0
	for task := range c.fleet.Finished {
		if jobIDOfTask(task) == sweep {
			done++
		}
	}
	changes = c.store.Changes - changes
	t.Logf(
		"%d tasks done, %d changes, %d requests; largest value %d, report %d, answer %d; %d services waited",
		done,
		changes,
		requests,
		value,
		largest,
		c.largestResponse,
		waits,
	)
	got := map[string]int{
		"tasks done":                            done,
		"changes":                               changes,
		"requests":                              requests,
		"largest value":                         value,
		"largest report":                        largest,
		"largest answer":                        c.largestResponse,
		"services that waited for four seconds": waits,
	}
	requireWithinBounds(t, got, []bound{
		{"tasks done", least, 25000},
		{"changes", 1, done / 2},
		{"requests", 1, 100 * 150},
		{"largest value", 1, int(kb * 1024)},
		{"largest report", 1, 64 << 10},
		{"largest answer", 1, 64 << 10},
		{"services that waited for four seconds", 0, most},
	})
	response := c.requestAndWait("n-0", "POST", protocol.CancelPath(sweep), nil)
	if response.Status != 200 {
		t.Errorf("cancelling it: %d", response.Status)
	}
	c.checker.CancellationConfirmed(sweep)
	c.sim.Run(35 * second)
	if n := c.fleet.Running(sweep); n > 0 {
		t.Errorf("%d of its tasks still run", n)
	}
	c.requireNoViolations()
}

// TestPollStormIsBounded: users poll a few hundred times a second while one controller is down: every request
// is answered at once or rejected with a time to retry, finished jobs cost the store nothing, the others a
// few watches; submissions and leases are served all the same.
func TestPollStormIsBounded(t *testing.T) {
	c := newBurstCluster(t, 2200, nil)
	var open, over []string
	for i := 0; i < 10; i++ {
		over = append(over, c.submit(second, withTeam("home"), withCPUs(0.5)))
		open = append(open, c.submit(300*second, withTeam("home"), withCPUs(0.5)))
	}
	for _, id := range over {
		c.requireFinished(id, 30*second)
	}
	c.refuseConnections = true
	c.kill("n-2")
	c.sim.Run(10 * second)
	sessions := map[string]uint64{}
	for id, worker := range c.fleet.Workers {
		sessions[id] = worker.Incarnation
	}
	storm := func(ids []string) (requests, answered, late int) {
		for _, n := range c.store.Calls {
			requests -= n
		}
		for s := 0; s < 100; s++ {
			for i := 0; i < 80; i++ {
				startedAt := c.sim.Now()
				c.sendRequest(
					c.nodeNames[i%2],
					"GET",
					protocol.JobPath(ids[i%len(ids)]),
					nil,
					func(response Response) {
						switch {
						case response.Status == 200 || response.Status == 429 && response.RetryAfter > 0:
							answered++
							if c.sim.Now()-startedAt > second {
								late++
							}
						default:
							t.Errorf("answered %d", response.Status)
						}
					},
				)
			}
			c.sim.Run(100 * monotime.Millisecond)
		}
		c.sim.Run(second)
		for _, n := range c.store.Calls {
			requests += n
		}
		return requests, answered, late
	}
	calm, _, _ := storm(over)
	id := c.submitWithRetry(second, withTeam("home"), withCPUs(0.5))
	taken := monotime.Micros(0)
	c.onAccepted = func(got string) {
		if got == id {
			taken = c.sim.Now()
		}
	}
	startedAt := c.sim.Now()
	requests, answered, late := storm(open)
	t.Logf(
		"%d polls, %d answered, %d late; %d requests, %d for finished jobs",
		8000,
		answered,
		late,
		requests,
		calm,
	)
	if answered < 8000 || late > 0 {
		t.Errorf("%d answered, %d late", answered, late)
	}
	if requests > calm+11*60 {
		t.Errorf("%d requests of the store, %d without", requests, calm)
	}
	if taken == 0 || taken-startedAt > 3*second {
		t.Errorf("a submission was accepted after %v s", (taken - startedAt).Seconds())
	}
	for id, worker := range c.fleet.Workers {
		if !worker.Machine.Gone && worker.Incarnation != sessions[id] {
			t.Errorf("%s lost its lease", id)
		}
	}
	c.requireNoViolations()
}
