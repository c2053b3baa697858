package coordination

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"testing"

	"pipitgap/internal/config"
	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
	"pipitgap/internal/standin"
)

const sec = micros.Second

// cluster is three controllers (or more) on stand-ins, under one simulated clock.
type cluster struct {
	t        testing.TB
	sim      *standin.Sim
	store    *standin.Store
	cloud    *standin.Cloud
	fleet    *standin.Fleet
	check    *standin.Checker
	names    []string
	nodes    map[string]*simNode
	set      config.Settings
	teams    []config.Team
	cut      map[string]bool // "machine-node" or "node-node" pairs that can't talk
	deaf     map[string]bool // machines whose reports arrive, but nothing reaches them
	unseen   map[string]bool // machines that are reached, but whose reports don't arrive
	split    bool            // the zones can't reach each other
	downSeen map[string]bool // if set, machines that have noticed a controller's end: it says nothing to them from then on
	cutSeen  map[string]bool // if set, machines that have noticed a cut: what they try from then on is refused
	lateDo   func(w *standin.Worker, req *protocol.DoRequest) micros.T
	next     int
	copies   func(w *standin.Worker, node string, body []byte) // sees every report on its way
	facts    func(*config.Config)                              // changes what the platform hands over
	accepted func(id string)                                   // a job that was sent is accepted
	refuse   bool                                              // controllers that are down refuse connections, rather than say nothing
	still    map[string]*[]func()                              // controllers that stand still: what waits for them
	called   func(string)                                      // sees every call of a controller, in words
	wire     func(node, kind, text string)                     // sees every call, hint and answer of a controller in wire form
	commands int                                               // direct commands, and questions to workers
	largest  int                                               // bytes of an answer, at most
}

// simNode is one controller; its env drops whatever belongs to an earlier life.
type simNode struct {
	c    *cluster
	name string
	core *Core
	life int
}

type simEnv struct {
	n    *simNode
	life int
	rnd  *rand.Rand
}

func (e *simEnv) alive() bool { return e.n.life == e.life && e.n.core != nil }

func (e *simEnv) guard(f func()) func() {
	return func() {
		if e.alive() {
			e.n.c.awake(e.n.name, func() {
				if e.alive() {
					f()
				}
			})
		}
	}
}

// awake has something happen in a controller, now or when it goes on.
func (c *cluster) awake(node string, f func()) {
	if wait := c.still[node]; wait != nil {
		*wait = append(*wait, f)
		return
	}
	f()
}

// standStill stops a controller for a while: its clocks run on, and all that comes to
// it waits.
func (c *cluster) standStill(node string, d micros.T) {
	wait := &[]func(){}
	c.still[node] = wait
	c.sim.After(d, func() {
		delete(c.still, node)
		for _, f := range *wait {
			f()
		}
	})
}

// call tells the test of a call.
func (e *simEnv) call(what string, v any) {
	if e.n.c.called != nil {
		raw, _ := json.Marshal(v)
		e.n.c.called(e.n.name + " " + what + " " + string(raw))
	}
}

// record tells the course of a call, see courses_test.go; the text is only made if one is recorded.
func (e *simEnv) record(kind string, text func() string) {
	if e.n.c.wire != nil {
		e.n.c.wire(e.n.name, kind, text())
	}
}

func (e *simEnv) Now() micros.T              { return e.n.c.sim.Now() }
func (e *simEnv) Wall() int64                { return int64(e.n.c.sim.Now()) + 1_000_000_000_000 }
func (e *simEnv) Rand() *rand.Rand           { return e.rnd }
func (e *simEnv) After(d micros.T, f func()) { e.n.c.sim.After(d, e.guard(f)) }
func (e *simEnv) Store(c *protocol.StoreCall, back func(protocol.StoreResult)) {
	e.call("store", c)
	e.record("store", func() string { return wireStoreCall(c) })
	e.n.c.store.Call(e.n.name, c, func(r protocol.StoreResult) { e.guard(func() { back(r) })() })
}

func (e *simEnv) Cloud(c *protocol.CloudCall, back func(protocol.CloudResult)) {
	e.call("cloud", c)
	e.record("cloud", func() string { return wireCloudCall(c) })
	e.n.c.cloud.Call(c, func(r protocol.CloudResult) { e.guard(func() { back(r) })() })
}

func (e *simEnv) Command(endpoint string, req *protocol.DoRequest, within micros.T, back func(protocol.DoResult)) {
	c := e.n.c
	c.commands++
	e.call(endpoint, req)
	e.record("command", func() string { return wireCommand(endpoint, req, within) })
	answered := false
	answer := func(r protocol.DoResult) {
		if !answered {
			answered = true
			e.guard(func() { back(r) })()
		}
	}
	c.sim.After(within, func() { answer(protocol.DoResult{}) })
	if w := c.fleet.At[endpoint]; w != nil && !w.Machine.Gone {
		id := w.Machine.ID
		delay := 2 * micros.Millisecond
		if c.lateDo != nil {
			delay += c.lateDo(w, req)
		}
		execute := func() {
			r := protocol.DoResult{Status: 200}
			if req == nil {
				r.Report = *w.Body()
			} else {
				r = w.Do(req)
			}
			c.sim.After(2*micros.Millisecond, func() { answer(r) })
		}
		c.sim.After(delay, func() {
			switch {
			case w.Machine.Gone || w.Silent || c.apart(w, e.n.name) || c.deaf[id]:
			case w.Hanging:
				w.Hold(execute)
			default:
				execute()
			}
		})
	}
}

func (e *simEnv) Peer(node string, status PeerStatus) {
	c := e.n.c
	e.record("hint", func() string { return node + " " + wirePeerStatus(&status) })
	if c.cut[e.n.name+"-"+node] || c.cut[node+"-"+e.n.name] || c.split && areaOf(e.n.name) != areaOf(node) {
		return
	}
	frame := PeerFrame(&status)
	c.sim.After(2*micros.Millisecond, func() {
		if n := c.nodes[node]; n.core != nil {
			c.awake(node, func() {
				if n.core != nil {
					n.core.OnPeerStatus(FromPeerFrame(&frame))
				}
			})
		}
	})
}

var testTypes = []protocol.MachineType{
	{Name: "m8", CPUs: 8, MemoryGB: 64, Price: 1, SpotPrice: 0.4, Zones: []string{"a", "b"}, BootS: 10},
	{Name: "m16", CPUs: 16, MemoryGB: 128, Price: 2.2, SpotPrice: 0.9, Zones: []string{"a", "b"}, BootS: 10},
}

func newCluster(t testing.TB, seed uint64) *cluster {
	sim := standin.NewSim(seed)
	c := &cluster{t: t, sim: sim, names: []string{"n-0", "n-1", "n-2"}, nodes: map[string]*simNode{},
		set: config.Defaults(), cut: map[string]bool{}, deaf: map[string]bool{}, unseen: map[string]bool{}, still: map[string]*[]func(){},
		teams: []config.Team{{Name: "free"}, {Name: "tight", CPUs: 8, CPUsMax: 12}}}
	c.store = standin.NewStore(sim, 200, 50, 12)
	c.cloud = standin.NewCloud(sim, testTypes)
	for _, typ := range testTypes {
		for _, z := range typ.Zones {
			c.cloud.Capacity[standin.Offer(typ.Name, z, false)] = 6
			c.cloud.Capacity[standin.Offer(typ.Name, z, true)] = 3
		}
	}
	c.check = standin.NewChecker(sim, 32*sec)
	c.check.Limits["tight"] = 12
	c.fleet = standin.NewFleet(sim, 2*sec, 12*sec, c.names, c.check)
	c.cloud.OnUp = func(m *standin.Rented) {
		for _, typ := range testTypes {
			if typ.Name == m.Type {
				c.fleet.Up(m, typ.CPUs)
			}
		}
	}
	c.cloud.OnGone = c.fleet.Down
	c.fleet.Send = func(w *standin.Worker, node string, body []byte, back func(int, []byte)) {
		if c.apart(w, node) && c.cutSeen[w.Machine.ID] {
			c.sim.After(2*micros.Millisecond, func() { back(0, nil) })
			return
		}
		if c.apart(w, node) || c.unseen[w.Machine.ID] {
			if c.cutSeen != nil {
				c.cutSeen[w.Machine.ID] = true // its open connection says nothing, new ones are reset
			}
			return
		}
		if c.copies != nil {
			c.copies(w, node, body)
		}
		down := c.nodes[node].core == nil
		if down && c.downSeen != nil && !c.downSeen[w.Machine.ID] {
			c.downSeen[w.Machine.ID] = true // its open connection is reset, new ones say nothing
			c.sim.After(2*micros.Millisecond, func() { back(0, nil) })
			return
		}
		if c.refuse && down {
			c.sim.After(2*micros.Millisecond, func() { back(0, nil) })
			return
		}
		c.sim.After(2*micros.Millisecond, func() {
			c.request(node, "POST", protocol.HeartbeatPath, body, func(r Reply) {
				if c.deaf[w.Machine.ID] {
					return
				}
				c.sim.After(2*micros.Millisecond, func() { back(r.Status, r.Body) })
			})
		})
	}
	for _, n := range c.names {
		c.nodes[n] = &simNode{c: c, name: n}
	}
	return c
}

// areaOf is the zone that a controller stands in.
func areaOf(node string) string {
	if node == "n-0" {
		return "a"
	}
	return "b"
}

// apart tells whether a machine and a controller can't reach each other.
func (c *cluster) apart(w *standin.Worker, node string) bool {
	return c.cut[w.Machine.ID+"-"+node] || c.split && w.Machine.Zone != areaOf(node)
}

func (c *cluster) config(node string) *config.Config {
	cfg := &config.Config{Node: node, Area: "a", PublicAddr: "127.0.0.1:1", PeerBind: "127.0.0.1:2"}
	for _, n := range c.names {
		if n != node {
			cfg.Known = append(cfg.Known, config.Peer{Node: n, Area: "b", Addr: "127.0.0.1:3"})
		}
	}
	f := &cfg.Facts
	defer func() {
		if c.facts != nil {
			c.facts(cfg)
		}
	}()
	f.Zones, f.Teams = []string{"a", "b"}, c.teams
	f.Workers.ReportS, f.Workers.LeaseS, f.Workers.CancelS = 2, 12, 32
	f.State.RPS, f.State.WriteRPS, f.State.ValueKB, f.State.TxnOps = 200, 50, 4, 12
	f.Cloud.RPS, f.Cloud.ListLagS = 6, 3
	f.Quota.Cores, f.Quota.MemoryMB, f.Quota.MaxConnections = 0.3, 100, 500
	return cfg
}

func (c *cluster) start(nodes ...string) {
	for _, name := range nodes {
		n := c.nodes[name]
		n.life++
		env := &simEnv{n: n, life: n.life, rnd: rand.New(rand.NewPCG(uint64(n.life), c.sim.Rand.Uint64()))}
		out := io.Discard
		if os.Getenv("PIPITGAP_TEST_LOG") != "" {
			out = os.Stderr
		}
		log := slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: slog.LevelDebug})).With("node", name)
		n.core = NewCore(c.config(name), c.set, env, log)
		n.core.Start()
	}
}

func (c *cluster) kill(nodes ...string) {
	for _, n := range nodes {
		c.nodes[n].core = nil
	}
}

// request reaches a node like a new connection; a dead one says nothing.
func (c *cluster) request(node, method, target string, body []byte, back func(Reply)) {
	n := c.nodes[node]
	if n.core == nil {
		return
	}
	life := n.life
	question := c.check.Observe(method, target, body)
	c.awake(node, func() {
		if n.life != life || n.core == nil {
			return
		}
		n.core.OnRequest(method, target, body, func(r Reply) {
			c.largest = max(c.largest, len(r.Body))
			if c.wire != nil {
				c.wire(node, "answer", wireAnswer(method, target, r))
			}
			if n.life == life && n.core != nil {
				if question != nil {
					question.Answer(r.Status, r.Body)
				}
				back(r)
			}
		})
	})
}

// ask sends a request and waits up to five seconds for its answer.
func (c *cluster) ask(node, method, target string, body []byte) Reply {
	var rep Reply
	c.request(node, method, target, body, func(r Reply) { rep = r })
	c.sim.RunUntil(5*sec, func() bool { return rep.Status != 0 })
	return rep
}

// spec is a submission of the cluster's next job.
func (c *cluster) spec(options ...jobOption) (string, *protocol.Submission) {
	c.next++
	submission := newSubmission(options...)
	submission.ID = fmt.Sprintf("j-%06d", c.next)
	return submission.ID, submission
}

// submit has a job accepted, retrying like a user.
func (c *cluster) submit(run micros.T, options ...jobOption) string {
	c.t.Helper()
	id, j := c.spec(options...)
	c.fleet.Jobs[id] = standin.JobInfo{Team: j.Team, CPUs: j.CPUs, Run: run}
	body := protocol.MustMarshal(j)
	for i := 0; i < 30; i++ {
		r := c.ask(c.names[i%len(c.names)], "POST", protocol.JobsPath, body)
		if r.Status == 201 || r.Status == 200 {
			return id
		}
		c.sim.Run(sec)
	}
	c.t.Fatalf("job %s was not accepted", id)
	return id
}

func (c *cluster) status(node, id string) (int, protocol.JobStatus) {
	r := c.ask(node, "GET", protocol.JobPath(id), nil)
	var st protocol.JobStatus
	_ = protocol.Unmarshal(r.Body, &st)
	return r.Status, st
}

// finished waits until a job is told done, and checks that it is.
func (c *cluster) finished(id string, within micros.T) {
	c.t.Helper()
	i := 0
	ok := c.sim.RunUntil(within, func() bool {
		i++
		code, st := c.status(c.names[i%len(c.names)], id)
		return code == 200 && st.Status == protocol.JobDone
	})
	if !ok {
		_, st := c.status(c.names[0], id)
		c.t.Fatalf("job %s is not done after %v s: %+v", id, within.Seconds(), st)
	}
}

func (c *cluster) rules() {
	c.t.Helper()
	for _, b := range c.check.Broken {
		c.t.Error(b)
	}
}

// steady starts all controllers and waits for a leader.
func (c *cluster) steady() *cluster {
	c.start(c.names...)
	c.sim.Run(3 * sec)
	return c
}

func (c *cluster) leader() *simNode {
	for _, n := range c.names {
		if core := c.nodes[n].core; core != nil && core.leading(c.sim.Now()) {
			return c.nodes[n]
		}
	}
	return nil
}

// jitter is some time up to d.
func (c *cluster) jitter(d micros.T) micros.T { return micros.T(c.sim.Rand.Int64N(int64(d))) }
