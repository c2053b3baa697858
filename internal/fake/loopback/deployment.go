package loopback

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/BurntSushi/toml"

	"pipitgap/internal/config"
	"pipitgap/internal/fake"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/transport"
)

// Options says what a deployment is made of.
type Options struct {
	Binary            string   // the program
	Controllers       int      // how many
	Settings          []string // settings files, by path
	Zones             []string
	Types             []protocol.MachineType
	Teams             []config.Team
	BootTime          monotime.Micros // of a machine
	HeartbeatInterval monotime.Micros
	LeaseTime         monotime.Micros
	CancelWithin      monotime.Micros
	StateRPS          float64
	StateWriteRPS     float64
}

// Deployment is controllers as processes with stand-ins for all that they speak to.
type Deployment struct {
	Clock       *RealTimeClock
	SimClock    *fake.SimClock
	Store       *fake.StateStore
	Cloud       *fake.Cloud
	Fleet       *fake.WorkerFleet
	Checker     *fake.Checker
	Controllers []string

	t             testing.TB
	options       Options
	directory     string
	processes     map[string]*Process
	publicAddrs   map[string]string // addresses
	peerAddrs     map[string]string
	stateServers  map[string]*Server // by caller
	cloudServer   *Server
	injector      *faultInjector
	workerServers []*Server
}

// Limits of the state service that the options don't set.
const (
	maxTransactionOps = 32
	maxValueKB        = 16
	cloudRPS          = 9
	listLagS          = 1
	memoryMB          = 200
	maxConnections    = 1000
)

// operatorCaller is the name under which commands reach the state service.
const operatorCaller = "operator"

// NewDeployment makes a deployment and starts its controllers. All ends with the test.
func NewDeployment(t testing.TB, seed uint64, options Options) *Deployment {
	t.Helper()
	sim := fake.NewSimClock(seed)
	d := &Deployment{
		t:            t,
		SimClock:     sim,
		options:      options,
		directory:    t.TempDir(),
		processes:    map[string]*Process{},
		publicAddrs:  map[string]string{},
		peerAddrs:    map[string]string{},
		stateServers: map[string]*Server{},
		injector:     &faultInjector{},
	}
	d.Checker = fake.NewChecker(sim, options.CancelWithin)
	d.Store = fake.NewStateStore(sim, options.StateRPS, options.StateWriteRPS, maxTransactionOps)
	d.Cloud = fake.NewCloud(sim, options.Types)
	d.Cloud.BootTime, d.Cloud.ListLag = options.BootTime, listLagS*monotime.Second
	for i := range options.Controllers {
		d.Controllers = append(d.Controllers, fmt.Sprintf("n-%d", i))
	}
	d.Fleet = fake.NewWorkerFleet(sim, options.HeartbeatInterval, options.LeaseTime, d.Controllers, d.Checker)
	d.Clock = NewRealTimeClock(sim)
	t.Cleanup(d.close)
	d.serveFakes()
	d.connectWorkers()
	for _, node := range d.Controllers {
		d.publicAddrs[node], d.peerAddrs[node] = d.freeAddr(), d.freeAddr()
	}
	for _, node := range d.Controllers {
		d.processes[node] = &Process{}
		d.StartController(node)
	}
	return d
}

// close ends all processes and servers.
func (d *Deployment) close() {
	for _, p := range d.processes {
		p.Resume()
		p.Kill()
	}
	d.Clock.Stop()
	for _, s := range d.stateServers {
		s.Close()
	}
	if d.cloudServer != nil {
		d.cloudServer.Close()
	}
	for _, s := range d.workerServers {
		s.Close()
	}
}

// serveFakes has the state service and the cloud listen: the former on a port for each
// caller, so that it can tell them apart.
func (d *Deployment) serveFakes() {
	for _, caller := range append([]string{operatorCaller}, d.Controllers...) {
		d.stateServers[caller] = d.serve(caller, &stateHandler{d.Clock, d.Store, caller})
	}
	d.cloudServer = d.serve("cloud", &cloudHandler{d.Clock, d.Cloud})
}

// connectWorkers gives every machine a listener, and its reports a way to the controllers.
func (d *Deployment) connectWorkers() {
	d.Cloud.NextEndpoint = func() string {
		handler := &workerHandler{clock: d.Clock, fleet: d.Fleet}
		server := d.serve("worker", handler)
		handler.endpoint = func() string { return server.Addr }
		d.workerServers = append(d.workerServers, server)
		return server.Addr
	}
	d.Cloud.OnMachineUp = func(m *fake.Machine) {
		for _, t := range d.options.Types {
			if t.Name == m.Type {
				d.Fleet.MachineUp(m, t.CPUs)
			}
		}
	}
	d.Cloud.OnMachineGone = d.Fleet.MachineDown
	reports := &heartbeatSender{
		clock: d.Clock, clients: map[string]*transport.Client{},
		addr: func(node string) string { return d.publicAddrs[node] },
	}
	d.Fleet.SendHeartbeat = reports.send
}

func (d *Deployment) serve(caller string, handler http.Handler) *Server {
	server, err := newServer(caller, handler, d.injector)
	if err != nil {
		d.t.Fatal(err)
	}
	return server
}

// freeAddr finds a port that is free now.
func (d *Deployment) freeAddr() string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		d.t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// SetFaults has calls to the state service, the cloud and the workers meet faults; nil ends them.
func (d *Deployment) SetFaults(decide FaultFunc) { d.injector.set(decide) }

// Process gives a controller's process.
func (d *Deployment) Process(node string) *Process { return d.processes[node] }

// StartController starts a controller that doesn't run.
func (d *Deployment) StartController(node string) {
	d.t.Helper()
	log, err := os.OpenFile(d.logPath(node), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		d.t.Fatal(err)
	}
	defer log.Close()
	if err := d.processes[node].start(log, d.options.Binary, d.arguments(node)...); err != nil {
		d.t.Fatal(err)
	}
}

func (d *Deployment) logPath(node string) string { return filepath.Join(d.directory, node+".log") }

// ControllerLog gives what a controller has written.
func (d *Deployment) ControllerLog(node string) string {
	text, _ := os.ReadFile(d.logPath(node))
	return string(text)
}

// arguments are the flags that name a caller's settings.
func (d *Deployment) arguments(caller string) []string {
	args := []string{"--config", d.writeConfig(caller)}
	for _, path := range d.options.Settings {
		args = append(args, "--settings", path)
	}
	return args
}

// RunCommand runs an operator's command and gives what it printed and its exit status.
func (d *Deployment) RunCommand(words ...string) (output string, status int) {
	d.t.Helper()
	cmd := exec.Command(d.options.Binary, append(words, d.arguments(operatorCaller)...)...)
	var out, errs bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errs
	err := cmd.Run()
	if cmd.ProcessState == nil {
		d.t.Fatal(err)
	}
	return out.String() + errs.String(), cmd.ProcessState.ExitCode()
}

// writeConfig writes the platform's settings as a caller sees them.
func (d *Deployment) writeConfig(caller string) string {
	cfg := config.Config{
		Node:       caller,
		Area:       d.options.Zones[0],
		PublicAddr: d.publicAddrs[caller],
		PeerBind:   d.peerAddrs[caller],
	}
	if caller == operatorCaller { // a command listens nowhere, but its settings must be whole
		cfg.PublicAddr, cfg.PeerBind = d.publicAddrs[d.Controllers[0]], d.peerAddrs[d.Controllers[0]]
	}
	for i, node := range d.Controllers {
		if node != caller {
			cfg.Peers = append(cfg.Peers, config.Peer{
				Node: node, Area: d.options.Zones[i%len(d.options.Zones)], Addr: d.peerAddrs[node],
			})
		}
	}
	cfg.External.Cloud, cfg.External.State = d.cloudServer.Addr, d.stateServers[caller].Addr
	f := &cfg.Facts
	f.Zones, f.Teams = d.options.Zones, d.options.Teams
	f.Workers = config.Workers{
		HeartbeatIntervalS: d.options.HeartbeatInterval.Seconds(),
		LeaseS:             d.options.LeaseTime.Seconds(),
		CancelWithinS:      d.options.CancelWithin.Seconds(),
	}
	f.State.RPS, f.State.WriteRPS = d.options.StateRPS, d.options.StateWriteRPS
	f.State.ValueKB, f.State.TxnOps = maxValueKB, maxTransactionOps
	f.Cloud.RPS, f.Cloud.ListLagS = cloudRPS, listLagS
	f.Quota.Cores, f.Quota.MemoryMB, f.Quota.MaxConnections = 1, memoryMB, maxConnections
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(&cfg); err != nil {
		d.t.Fatal(err)
	}
	path := filepath.Join(d.directory, caller+".toml")
	if err := os.WriteFile(path, text.Bytes(), 0o600); err != nil {
		d.t.Fatal(err)
	}
	return path
}

// UserRequest makes a user's request of a controller; status 0: there was no answer.
func (d *Deployment) UserRequest(node, method, target string, body []byte) (status int, reply []byte) {
	var question *fake.PendingRequest
	d.Clock.Do(func() { question = d.Checker.UserRequest(method, target, body) })
	client := transport.NewClient(d.publicAddrs[node], 1, maxHeartbeatReply)
	defer client.Close()
	message, err := client.Do(method, target, body, 5*monotime.Second)
	if err != nil {
		return 0, nil
	}
	if question != nil {
		d.Clock.Do(func() { question.Answered(message.Status, message.Body) })
	}
	return message.Status, message.Body
}

// pollInterval is how often a condition is looked at.
const pollInterval = 20 * time.Millisecond

// Eventually waits until a condition on the stand-ins holds, and tells whether it did in time.
func (d *Deployment) Eventually(within time.Duration, ok func() bool) bool {
	for deadline := time.Now().Add(within); ; time.Sleep(pollInterval) {
		held := false
		d.Clock.Do(func() { held = ok() })
		if held {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
	}
}
