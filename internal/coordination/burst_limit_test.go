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

// newBurstCluster starts a cluster whose machines are up. The team "home" has a guarantee, the team "guest"
// has none. If facts is not nil, it changes the platform's facts.
func newBurstCluster(t *testing.T, seed uint64, facts func(*config.Config)) (c *cluster) {
	c = newCluster(t, seed)
	c.adjustFacts = facts
	return c.startBurst()
}

// startBurst starts the controllers of a cluster for newBurstCluster, and a service that keeps machines up.
func (c *cluster) startBurst() *cluster {
	c.t.Helper()
	c.teams = []config.Team{{Name: "home", CPUs: 100, CPUsMax: 400}, {Name: "guest"}}
	clear(c.cloud.Capacity)
	for _, zone := range []string{"a", "b"} {
		c.cloud.Capacity[fake.OfferKey("m16", zone, false)] = 10
		c.cloud.Capacity[fake.OfferKey("m16", zone, true)] = 10
	}
	c.startWithLeader()
	service := c.submit(0, withTeam("home"), withService(true), withPriority(protocol.High), withTasks(60),
		withCPUs(3))
	if !c.sim.RunUntil(60*second, func() bool { return c.fleet.Running(service) == 60 }) {
		c.t.Fatalf("service: got %d running replicas after 60 s, want 60", c.fleet.Running(service))
	}
	return c
}

// TestBurstDoesNotDelayOtherTeams guards against a burst of tiny jobs that delays other teams. One team
// submits tiny jobs several times as fast as the state service can store them. Submissions of the other team
// must not wait long, and its services must start once a machine is up. Submissions of the burst that are
// rejected must be rejected at once, with a time to retry, and at least a hundred of its jobs must be
// accepted. Before the calls for such a burst had their own priority class, the tiny jobs took most of the
// changes, and machines that were up stayed unclaimed for seconds.
func TestBurstDoesNotDelayOtherTeams(t *testing.T) {
	for seed := uint64(2000); seed < 2004; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runBurst(t, seed) })
	}
}

func runBurst(t *testing.T, seed uint64) {
	c := newBurstCluster(t, seed, nil)
	changesBefore := c.store.Changes
	accepted := map[string]monotime.Micros{}
	c.onAccepted = func(id string) { accepted[id] = c.sim.Now() }
	sentAt := map[string]monotime.Micros{}
	var smallJobs, services []string
	rejected, lateOrWithoutRetry, runningServices := 0, 0, 0
	// By machine: how long it has been up. The longest time that any machine has been up without a claim.
	upTime, longestUnclaimed := map[string]monotime.Micros{}, monotime.Micros(0)
	var checkClaims func()
	checkClaims = func() {
		for id, worker := range c.fleet.Workers {
			if upTime[id] += 250 * monotime.Millisecond; worker.FencingToken == 0 && !worker.Machine.Gone {
				longestUnclaimed = max(longestUnclaimed, upTime[id])
			}
		}
		c.sim.After(250*monotime.Millisecond, checkClaims)
	}
	checkClaims()
	const burstSeconds = 40
	for s := 0; s < burstSeconds; s++ {
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
		_, submission := c.newSubmission(withTeam("guest"), withPriority(protocol.BestEffort), withCPUs(0.25))
		startedAt := c.sim.Now()
		c.sendRequest(
			c.nodeNames[s%3],
			"POST",
			protocol.JobsPath,
			protocol.MustMarshal(submission),
			func(response Response) {
				if response.Status == 429 {
					rejected++
					if response.RetryAfter == 0 || c.sim.Now() != startedAt {
						lateOrWithoutRetry++
					}
				}
			},
		)
		c.sim.After(c.cloud.BootTime+8*second, func() { runningServices += c.fleet.Running(id) })
		c.sim.Run(second)
	}
	c.sim.Run(c.cloud.BootTime + 8*second)
	lateServices := 0
	for _, id := range services {
		if at, ok := accepted[id]; !ok || at-sentAt[id] > 1500*monotime.Millisecond {
			lateServices++
		}
	}
	acceptedSmallJobs := 0
	for _, id := range smallJobs {
		if accepted[id] > 0 {
			acceptedSmallJobs++
		}
	}
	t.Logf(
		"%d services: %d accepted late, %d running; %d small jobs: %d accepted; %d submissions rejected; "+
			"%d changes; longest wait of a machine for its claim %v s",
		len(services),
		lateServices,
		runningServices,
		len(smallJobs),
		acceptedSmallJobs,
		rejected,
		c.store.Changes-changesBefore,
		longestUnclaimed.Seconds(),
	)
	if longestUnclaimed > 5*second {
		t.Errorf("longest wait of a machine for its claim: got %v s, want at most 5 s", longestUnclaimed.Seconds())
	}
	if lateServices > len(services)/10 || runningServices < len(services)*9/10 {
		t.Errorf("%d services: got %d accepted late and %d running, want at most %d and at least %d",
			len(services), lateServices, runningServices, len(services)/10, len(services)*9/10)
	}
	if acceptedSmallJobs < 100 {
		t.Errorf("got %d small jobs accepted, want at least 100", acceptedSmallJobs)
	}
	if rejected == 0 || lateOrWithoutRetry > 0 {
		t.Errorf("got %d submissions rejected, %d late or without a time to retry, want at least 1 and 0",
			rejected, lateOrWithoutRetry)
	}
	if n := c.store.Changes - changesBefore; n > (burstSeconds+int(c.cloud.BootTime/second)+9)*50 {
		t.Errorf("got %d changes, want at most 50 a second", n)
	}
	c.requireNoViolations()
}

// TestHugeArrayDoesNotDelayServices checks that an array of 25,000 tasks, which each use a quarter of a CPU
// for 4 s, does not delay another team's services. It also bounds the changes per task and the size of the
// largest value, heartbeat and response.
func TestHugeArrayDoesNotDelayServices(t *testing.T) {
	for _, tc := range []struct {
		name                string
		valueKB             float64
		minDone, maxWaiting int
	}{
		{"4 KiB a value", 4, 8000, 4},
		{"1 KiB a value: shards are short of bytes", 1, 4000, 4},
	} {
		t.Run(tc.name, func(t *testing.T) { runHugeArray(t, tc.valueKB, tc.minDone, tc.maxWaiting) })
	}
}

func runHugeArray(t *testing.T, valueKB float64, minDone, maxWaiting int) {
	c := newBurstCluster(t, 2100, func(cfg *config.Config) { cfg.Facts.State.ValueKB = valueKB })
	largestHeartbeat := 0
	c.onHeartbeat = func(_ *fake.Worker, _ string, body []byte) { largestHeartbeat = max(largestHeartbeat, len(body)) }
	array := c.submit(4*second, withTeam("guest"), withPriority(protocol.BestEffort), withTasks(25000),
		withCPUs(0.25), withMemoryGB(0.45), withSpot(true), withEstimateS(4))
	changes, requests := c.store.Changes, 0
	for _, n := range c.store.Calls {
		requests -= n
	}
	largestValue, waitingServices := 0, 0
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
					waitingServices++
				}
			})
		}
		c.sim.Run(second)
		for _, key := range c.store.Keys(storage.KeyPrefix) {
			largestValue = max(largestValue, c.store.JSONSize(key))
		}
	}
	for _, n := range c.store.Calls {
		requests += n
	}
	done := 0
	for task := range c.fleet.Finished {
		if jobIDOfTask(task) == array {
			done++
		}
	}
	changes = c.store.Changes - changes
	t.Logf(
		"%d tasks done, %d changes, %d requests; largest value %d bytes, heartbeat %d bytes, "+
			"response %d bytes; %d services not running after 4 s",
		done,
		changes,
		requests,
		largestValue,
		largestHeartbeat,
		c.largestResponse,
		waitingServices,
	)
	got := map[string]int{
		"tasks done":                     done,
		"changes":                        changes,
		"requests":                       requests,
		"bytes of largest value":         largestValue,
		"bytes of largest heartbeat":     largestHeartbeat,
		"bytes of largest response":      c.largestResponse,
		"services not running after 4 s": waitingServices,
	}
	requireWithinBounds(t, got, []bound{
		{"tasks done", minDone, 25000},
		{"changes", 1, done / 2},
		{"requests", 1, 100 * 150},
		{"bytes of largest value", 1, int(valueKB * 1024)},
		{"bytes of largest heartbeat", 1, 64 << 10},
		{"bytes of largest response", 1, 64 << 10},
		{"services not running after 4 s", 0, maxWaiting},
	})
	response := c.requestAndWait("n-0", "POST", protocol.CancelPath(array), nil)
	if response.Status != 200 {
		t.Errorf("cancellation of the array: got status %d, want 200", response.Status)
	}
	c.checker.CancellationConfirmed(array)
	c.sim.Run(35 * second)
	if n := c.fleet.Running(array); n > 0 {
		t.Errorf("array: got %d running tasks 35 s after its cancellation, want 0", n)
	}
	c.requireNoViolations()
}

// TestPollStormIsBounded checks that 800 polls a second, while one controller is down, overload nothing. Each
// poll must be answered within a second or rejected with a time to retry. Polls of finished jobs cost the
// state service nothing, polls of other jobs cost it a few watches. Submissions must still be accepted, and
// leases must still be renewed.
func TestPollStormIsBounded(t *testing.T) {
	c := newBurstCluster(t, 2200, nil)
	var unfinished, finished []string
	for i := 0; i < 10; i++ {
		finished = append(finished, c.submit(second, withTeam("home"), withCPUs(0.5)))
		unfinished = append(unfinished, c.submit(300*second, withTeam("home"), withCPUs(0.5)))
	}
	for _, id := range finished {
		c.requireFinished(id, 30*second)
	}
	c.refuseConnections = true
	c.kill("n-2")
	c.sim.Run(10 * second)
	incarnations := map[string]uint64{}
	for id, worker := range c.fleet.Workers {
		incarnations[id] = worker.Incarnation
	}
	poll := func(ids []string) (requests, answered, late int) {
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
							t.Errorf("poll: got status %d, retry after %d s, want 200, or 429 with a retry time",
								response.Status, response.RetryAfter)
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
	finishedJobRequests, _, _ := poll(finished)
	id := c.submitWithRetry(second, withTeam("home"), withCPUs(0.5))
	acceptedAt := monotime.Micros(0)
	c.onAccepted = func(accepted string) {
		if accepted == id {
			acceptedAt = c.sim.Now()
		}
	}
	startedAt := c.sim.Now()
	requests, answered, late := poll(unfinished)
	t.Logf(
		"%d polls: %d answered, %d late, %d requests to the store; %d requests for polls of finished jobs",
		8000,
		answered,
		late,
		requests,
		finishedJobRequests,
	)
	if answered < 8000 || late > 0 {
		t.Errorf("got %d polls answered, %d of them late, want 8000 and 0", answered, late)
	}
	if requests > finishedJobRequests+11*60 {
		t.Errorf("got %d requests to the store, want at most %d: %d for polls of finished jobs, and 660",
			requests, finishedJobRequests+11*60, finishedJobRequests)
	}
	if acceptedAt == 0 || acceptedAt-startedAt > 3*second {
		t.Errorf("submission: got it accepted after %v s (negative: not accepted), want at most 3 s",
			(acceptedAt - startedAt).Seconds())
	}
	for id, worker := range c.fleet.Workers {
		if !worker.Machine.Gone && worker.Incarnation != incarnations[id] {
			t.Errorf("%s: got incarnation %d, want %d: its lease has expired",
				id, worker.Incarnation, incarnations[id])
		}
	}
	c.requireNoViolations()
}
