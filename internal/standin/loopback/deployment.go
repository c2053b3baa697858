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
	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
	"pipitgap/internal/standin"
	"pipitgap/internal/transport"
)

// Options says what a deployment is made of.
type Options struct {
	Binary      string   // the program
	Controllers int      // how many
	Settings    []string // settings files, by path
	Zones       []string
	Types       []protocol.MachineType
	Teams       []config.Team
	Boot        micros.T // of a machine
	Report      micros.T
	Lease       micros.T
	Cancel      micros.T
	StateRPS    float64
	StateWPS    float64
}

// Deployment is controllers as processes with stand-ins for all that they speak to.
type Deployment struct {
	Clock *Clock
	Sim   *standin.Sim
	Store *standin.Store
	Cloud *standin.Cloud
	Fleet *standin.Fleet
	Check *standin.Checker
	Nodes []string

	t         testing.TB
	options   Options
	folder    string
	processes map[string]*Process
	public    map[string]string // addresses
	peer      map[string]string
	state     map[string]*Server // by caller
	cloud     *Server
	faults    *faults
	workers   []*Server
}

// Limits of the state service that the options don't set.
const (
	txnOps     = 32
	valueKB    = 16
	cloudRPS   = 9
	listLagS   = 1
	memoryMB   = 200
	mostSocket = 1000
)

// operatorCaller is the name under which commands reach the state service.
const operatorCaller = "operator"

// New makes a deployment and starts its controllers. All ends with the test.
func New(t testing.TB, seed uint64, options Options) *Deployment {
	t.Helper()
	sim := standin.NewSim(seed)
	d := &Deployment{t: t, Sim: sim, options: options, folder: t.TempDir(), processes: map[string]*Process{},
		public: map[string]string{}, peer: map[string]string{}, state: map[string]*Server{}, faults: &faults{}}
	d.Check = standin.NewChecker(sim, options.Cancel)
	d.Store = standin.NewStore(sim, options.StateRPS, options.StateWPS, txnOps)
	d.Cloud = standin.NewCloud(sim, options.Types)
	d.Cloud.Boot, d.Cloud.Lag = options.Boot, listLagS*micros.Second
	for i := range options.Controllers {
		d.Nodes = append(d.Nodes, fmt.Sprintf("n-%d", i))
	}
	d.Fleet = standin.NewFleet(sim, options.Report, options.Lease, d.Nodes, d.Check)
	d.Clock = NewClock(sim)
	t.Cleanup(d.close)
	d.serveStandins()
	d.connectWorkers()
	for _, node := range d.Nodes {
		d.public[node], d.peer[node] = d.freeAddr(), d.freeAddr()
	}
	for _, node := range d.Nodes {
		d.processes[node] = &Process{}
		d.Start(node)
	}
	return d
}

// close ends all processes and servers.
func (d *Deployment) close() {
	for _, p := range d.processes {
		p.Continue()
		p.Kill()
	}
	d.Clock.Stop()
	for _, s := range d.state {
		s.Close()
	}
	if d.cloud != nil {
		d.cloud.Close()
	}
	for _, s := range d.workers {
		s.Close()
	}
}

// serveStandins has the state service and the cloud listen: the former on a port for each
// caller, so that it can tell them apart.
func (d *Deployment) serveStandins() {
	for _, caller := range append([]string{operatorCaller}, d.Nodes...) {
		d.state[caller] = d.serve(caller, &stateHandler{d.Clock, d.Store, caller})
	}
	d.cloud = d.serve("cloud", &cloudHandler{d.Clock, d.Cloud})
}

// connectWorkers gives every machine a listener, and its reports a way to the controllers.
func (d *Deployment) connectWorkers() {
	d.Cloud.Endpoint = func() string {
		handler := &workerHandler{clock: d.Clock, fleet: d.Fleet}
		server := d.serve("worker", handler)
		handler.endpoint = func() string { return server.Addr }
		d.workers = append(d.workers, server)
		return server.Addr
	}
	d.Cloud.OnUp = func(m *standin.Rented) {
		for _, t := range d.options.Types {
			if t.Name == m.Type {
				d.Fleet.Up(m, t.CPUs)
			}
		}
	}
	d.Cloud.OnGone = d.Fleet.Down
	reports := &reporter{
		clock: d.Clock, clients: map[string]*transport.Client{},
		addr: func(node string) string { return d.public[node] },
	}
	d.Fleet.Send = reports.send
}

func (d *Deployment) serve(caller string, handler http.Handler) *Server {
	server, err := newServer(caller, handler, d.faults)
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
func (d *Deployment) SetFaults(decide FaultFunc) { d.faults.set(decide) }

// Process gives a controller's process.
func (d *Deployment) Process(node string) *Process { return d.processes[node] }

// Start starts a controller that doesn't run.
func (d *Deployment) Start(node string) {
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

func (d *Deployment) logPath(node string) string { return filepath.Join(d.folder, node+".log") }

// Log gives what a controller has written.
func (d *Deployment) Log(node string) string {
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

// Command runs an operator's command and gives what it printed and its exit status.
func (d *Deployment) Command(words ...string) (output string, status int) {
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
	cfg := config.Config{Node: caller, Area: d.options.Zones[0], PublicAddr: d.public[caller], PeerBind: d.peer[caller]}
	if caller == operatorCaller { // a command listens nowhere, but its settings must be whole
		cfg.PublicAddr, cfg.PeerBind = d.public[d.Nodes[0]], d.peer[d.Nodes[0]]
	}
	for i, node := range d.Nodes {
		if node != caller {
			cfg.Known = append(cfg.Known, config.Peer{
				Node: node, Area: d.options.Zones[i%len(d.options.Zones)], Addr: d.peer[node],
			})
		}
	}
	cfg.External.Cloud, cfg.External.State = d.cloud.Addr, d.state[caller].Addr
	f := &cfg.Facts
	f.Zones, f.Teams = d.options.Zones, d.options.Teams
	f.Workers = config.Workers{
		ReportS: d.options.Report.Seconds(),
		LeaseS:  d.options.Lease.Seconds(),
		CancelS: d.options.Cancel.Seconds(),
	}
	f.State.RPS, f.State.WriteRPS = d.options.StateRPS, d.options.StateWPS
	f.State.ValueKB, f.State.TxnOps = valueKB, txnOps
	f.Cloud.RPS, f.Cloud.ListLagS = cloudRPS, listLagS
	f.Quota.Cores, f.Quota.MemoryMB, f.Quota.MaxConnections = 1, memoryMB, mostSocket
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(&cfg); err != nil {
		d.t.Fatal(err)
	}
	path := filepath.Join(d.folder, caller+".toml")
	if err := os.WriteFile(path, text.Bytes(), 0o600); err != nil {
		d.t.Fatal(err)
	}
	return path
}

// Request makes a user's request of a controller; status 0: there was no answer.
func (d *Deployment) Request(node, method, target string, body []byte) (status int, reply []byte) {
	var question *standin.Question
	d.Clock.Do(func() { question = d.Check.Observe(method, target, body) })
	client := transport.NewClient(d.public[node], 1, reportAnswer)
	defer client.Close()
	message, err := client.Do(method, target, body, 5*micros.Second)
	if err != nil {
		return 0, nil
	}
	if question != nil {
		d.Clock.Do(func() { question.Answer(message.Status, message.Body) })
	}
	return message.Status, message.Body
}

// lookEvery is how often a condition is looked at.
const lookEvery = 20 * time.Millisecond

// Eventually waits until a condition on the stand-ins holds, and tells whether it did in time.
func (d *Deployment) Eventually(within time.Duration, ok func() bool) bool {
	for deadline := time.Now().Add(within); ; time.Sleep(lookEvery) {
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
