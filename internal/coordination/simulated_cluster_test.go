package coordination

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"testing"

	"pipitgap/internal/config"
	"pipitgap/internal/fake"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

const second = monotime.Second

// cluster simulates three or more controllers with fakes of the state service, the cloud and the workers. All
// of them share one simulated clock.
type cluster struct {
	t              testing.TB
	sim            *fake.SimClock
	store          *fake.StateStore
	cloud          *fake.Cloud
	fleet          *fake.WorkerFleet
	checker        *fake.Checker
	nodeNames      []string
	nodes          map[string]*simController
	settings       config.Settings
	teams          []config.Team
	nextSubmission int
	networkFaults
	clusterHooks
	clusterCounters
}

// clusterHooks holds optional functions that a test sets.
type clusterHooks struct {
	adjustFacts func(*config.Config) // changes the facts about the platform in a controller's configuration
	onAccepted  func(id string)      // called when a job of submitWithRetry is accepted
	onCall      func(text string)    // called for every call and direct command of a controller, as JSON
	// onHeartbeat is called for every heartbeat that is sent to a controller and not lost in the network.
	onHeartbeat func(worker *fake.Worker, node string, body []byte)
	// commandDelay returns the additional delay of a direct command.
	commandDelay func(worker *fake.Worker, request *protocol.CommandRequest) monotime.Micros
	// wire is called for every call, direct command, peer status and answer that a controller sends, in wire
	// form.
	wire func(node, kind, text string)
}

// clusterCounters measures the messages between controllers, workers and users.
type clusterCounters struct {
	commandCount    int // direct command requests and probes that controllers sent to workers
	largestResponse int // size of the largest response body in bytes
}

// simController is one simulated controller process, which may be restarted. Its environment drops the
// callbacks of earlier incarnations.
type simController struct {
	cluster     *cluster
	name        string
	controller  *Controller // nil while the process is down
	incarnation int
}

var testTypes = []protocol.MachineType{
	{
		Name:          "m8",
		CPUs:          8,
		MemoryGB:      64,
		OnDemandPrice: 1,
		SpotPrice:     0.4,
		Zones:         []string{"a", "b"},
		BootS:         10,
	},
	{
		Name:          "m16",
		CPUs:          16,
		MemoryGB:      128,
		OnDemandPrice: 2.2,
		SpotPrice:     0.9,
		Zones:         []string{"a", "b"},
		BootS:         10,
	},
}

func newCluster(t testing.TB, seed uint64) *cluster {
	sim := fake.NewSimClock(seed)
	c := &cluster{
		t:         t,
		sim:       sim,
		nodeNames: []string{"n-0", "n-1", "n-2"},
		nodes:     map[string]*simController{},
		settings:  config.Defaults(),
		teams:     []config.Team{{Name: "free"}, {Name: "tight", CPUs: 8, CPUsMax: 12}},
		networkFaults: networkFaults{
			disconnectedPairs:   map[string]bool{},
			unreachableMachines: map[string]bool{},
			mutedMachines:       map[string]bool{},
			pausedControllers:   map[string]*[]func(){},
		},
	}
	c.store = fake.NewStateStore(sim, 200, 50, 12)
	c.cloud = fake.NewCloud(sim, testTypes)
	for _, typ := range testTypes {
		for _, zone := range typ.Zones {
			c.cloud.Capacity[fake.OfferKey(typ.Name, zone, false)] = 6
			c.cloud.Capacity[fake.OfferKey(typ.Name, zone, true)] = 3
		}
	}
	c.checker = fake.NewChecker(sim, 32*second)
	c.checker.Limits["tight"] = 12
	c.fleet = fake.NewWorkerFleet(sim, 2*second, 12*second, c.nodeNames, c.checker)
	c.cloud.OnMachineUp = func(rented *fake.Machine) {
		for _, typ := range testTypes {
			if typ.Name == rented.Type {
				c.fleet.MachineUp(rented, typ.CPUs)
			}
		}
	}
	c.cloud.OnMachineGone = c.fleet.MachineDown
	c.fleet.SendHeartbeat = c.sendHeartbeat
	c.addControllers()
	t.Cleanup(c.requireNoViolatedInvariant)
	return c
}

// requireNoViolatedInvariant fails a test that does not look at the violations itself if a controller has
// reported one.
func (c *cluster) requireNoViolatedInvariant() {
	for _, violation := range c.checker.Violations {
		if violation.Invariant == ControllerInvariant {
			c.t.Error(violation)
		}
	}
}

// addControllers adds a controller for each of nodeNames. It does not start them.
func (c *cluster) addControllers() {
	for _, node := range c.nodeNames {
		c.nodes[node] = &simController{cluster: c, name: node}
	}
}

func (c *cluster) nodeConfig(node string) *config.Config {
	cfg := &config.Config{Node: node, Zone: "a", PublicAddr: "127.0.0.1:1", PeerBind: "127.0.0.1:2"}
	for _, peer := range c.nodeNames {
		if peer != node {
			cfg.Peers = append(cfg.Peers, config.Peer{Node: peer, Zone: "b", Addr: "127.0.0.1:3"})
		}
	}
	facts := &cfg.Facts
	defer func() {
		if c.adjustFacts != nil {
			c.adjustFacts(cfg)
		}
	}()
	facts.Zones, facts.Teams = []string{"a", "b"}, c.teams
	facts.Workers.HeartbeatIntervalS, facts.Workers.LeaseS, facts.Workers.CancelTimeoutS = 2, 12, 32
	facts.State.RPS, facts.State.WriteRPS, facts.State.ValueKB, facts.State.TxnOps = 200, 50, 4, 12
	facts.Cloud.RPS, facts.Cloud.ListLagS = 6, 3
	facts.Quota.Cores, facts.Quota.MemoryMB, facts.Quota.MaxConnections = 0.3, 100, 500
	return cfg
}

func (c *cluster) start(nodes ...string) {
	for _, name := range nodes {
		node := c.nodes[name]
		node.incarnation++
		env := &simEnv{
			node:        node,
			incarnation: node.incarnation,
			random:      rand.New(rand.NewPCG(uint64(node.incarnation), c.sim.Rand.Uint64())),
		}
		out := io.Discard
		if os.Getenv("PIPITGAP_TEST_LOG") != "" {
			out = os.Stderr
		}
		handler := slog.NewTextHandler(out, &slog.HandlerOptions{Level: slog.LevelDebug})
		log := slog.New(violationHandler{handler, c}).With("controller", name)
		node.controller = NewController(c.nodeConfig(name), c.settings, env, log)
		node.controller.Start()
	}
}

func (c *cluster) kill(nodes ...string) {
	for _, node := range nodes {
		c.nodes[node].controller = nil
	}
}

// startIfDown starts a controller if it is down.
func (c *cluster) startIfDown(node string) {
	if c.nodes[node].controller == nil {
		c.start(node)
	}
}

// restart kills a controller and starts it again after the given downtime.
func (c *cluster) restart(node string, downtime monotime.Micros) {
	c.kill(node)
	c.sim.After(downtime, func() { c.startIfDown(node) })
}

// startWithLeader starts all controllers and runs for 3 s, within which they elect a leader.
func (c *cluster) startWithLeader() *cluster {
	c.start(c.nodeNames...)
	c.sim.Run(3 * second)
	return c
}

func (c *cluster) leaderNode() *simController {
	for _, node := range c.nodeNames {
		if controller := c.nodes[node].controller; controller != nil &&
			controller.membership.IsLeader(c.sim.Now()) {
			return c.nodes[node]
		}
	}
	return nil
}

// leaderName returns the name of the leader, or of the first controller if there is no leader.
func (c *cluster) leaderName() string {
	if leader := c.leaderNode(); leader != nil {
		return leader.name
	}
	return c.nodeNames[0]
}

// sendRequest sends a request to a controller on a new connection. A controller that is down does not answer,
// and a controller that stops before it answers loses the request.
func (c *cluster) sendRequest(node, method, target string, body []byte, callback func(Response)) {
	receiver := c.nodes[node]
	if receiver.controller == nil {
		return
	}
	incarnation := receiver.incarnation
	pending := c.checker.UserRequest(method, target, body)
	c.runWhenResumed(node, func() {
		if receiver.incarnation != incarnation || receiver.controller == nil {
			return
		}
		receiver.controller.HandleRequest(method, target, body, func(response Response) {
			c.largestResponse = max(c.largestResponse, len(response.Body))
			if c.wire != nil {
				c.wire(node, "answer", wireAnswer(method, target, response))
			}
			if receiver.incarnation == incarnation && receiver.controller != nil {
				if pending != nil {
					pending.Answered(response.Status, response.Body)
				}
				callback(response)
			}
		})
	})
}

// requestAndWait sends a request and waits up to 5 s for the response. It returns a response with status 0 if
// there is none.
func (c *cluster) requestAndWait(node, method, target string, body []byte) Response {
	var received Response
	c.sendRequest(node, method, target, body, func(response Response) { received = response })
	c.sim.RunUntil(5*second, func() bool { return received.Status != 0 })
	return received
}

// newSubmission returns the next unused job ID and a submission with that ID.
func (c *cluster) newSubmission(options ...jobOption) (string, *protocol.Submission) {
	c.nextSubmission++
	submission := newSubmission(options...)
	submission.ID = fmt.Sprintf("j-%06d", c.nextSubmission)
	return submission.ID, submission
}

// submit submits a job to the controllers in turn until one accepts it, and returns the job's ID. It pauses
// for 1 s between attempts, as users do.
func (c *cluster) submit(runTime monotime.Micros, options ...jobOption) string {
	c.t.Helper()
	id, submission := c.newSubmission(options...)
	c.fleet.Jobs[id] = fake.JobBehavior{Team: submission.Team, CPUs: submission.CPUs, RunTime: runTime}
	body := protocol.MustMarshal(submission)
	for i := 0; i < 30; i++ {
		response := c.requestAndWait(c.nodeNames[i%len(c.nodeNames)], "POST", protocol.JobsPath, body)
		if response.Status == 201 || response.Status == 200 {
			return id
		}
		c.sim.Run(second)
	}
	c.t.Fatalf("job %s: not accepted after 30 attempts", id)
	return id
}

func (c *cluster) jobStatus(node, id string) (int, protocol.JobStatusReply) {
	response := c.requestAndWait(node, "GET", protocol.JobPath(id), nil)
	var jobStatus protocol.JobStatusReply
	_ = protocol.Unmarshal(response.Body, &jobStatus)
	return response.Status, jobStatus
}

// requireFinished waits until a job's status is done, and stops the test if that takes longer than the
// timeout.
func (c *cluster) requireFinished(id string, timeout monotime.Micros) {
	c.t.Helper()
	queries := 0
	finished := c.sim.RunUntil(timeout, func() bool {
		queries++
		code, jobStatus := c.jobStatus(c.nodeNames[queries%len(c.nodeNames)], id)
		return code == 200 && jobStatus.Status == protocol.JobDone
	})
	if !finished {
		_, jobStatus := c.jobStatus(c.nodeNames[0], id)
		c.t.Fatalf("job %s: got status %+v after %v s, want done", id, jobStatus, timeout.Seconds())
	}
}

// requireAllFinished calls requireFinished for each of the jobs in turn.
func (c *cluster) requireAllFinished(ids []string, timeout monotime.Micros) {
	c.t.Helper()
	for _, id := range ids {
		c.requireFinished(id, timeout)
	}
}

// requireReplicas waits until exactly the given number of replicas of a service are running.
func (c *cluster) requireReplicas(service string, replicas int, timeout monotime.Micros) {
	c.t.Helper()
	if !c.sim.RunUntil(timeout, func() bool { return c.fleet.Running(service) == replicas }) {
		c.t.Errorf("service %s: got %d running replicas, want %d", service, c.fleet.Running(service), replicas)
	}
}

func (c *cluster) requireNoViolations() {
	c.t.Helper()
	for _, violation := range c.checker.Violations {
		c.t.Error(violation)
	}
}

// randomDuration returns a random duration that is shorter than limit.
func (c *cluster) randomDuration(limit monotime.Micros) monotime.Micros {
	return monotime.Micros(c.sim.Rand.Int64N(int64(limit)))
}
