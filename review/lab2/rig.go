package main

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// settings are those of a small deployment.
type settings struct {
	nodes                    []string
	areas                    []string // of the controllers
	zones                    []string
	teams                    string // as in the settings file
	objectives               string
	reportS, leaseS, cancelS float64
	stateRPS, stateWriteRPS  float64
	valueKB, txnOps          int
	cloudRPS, listLagS       float64
	cores, memoryMB          float64
	connections              int
	types                    []*machineType
	extraSettings            []string // further settings files of the operators
}

func (s *settings) lease() time.Duration { return time.Duration(s.leaseS * float64(time.Second)) }

// rig is a deployment: the controllers as processes, and stand-ins for all else.
type rig struct {
	mu       sync.Mutex
	settings *settings
	began    time.Time
	record   *bufio.Writer
	file     *os.File
	folder   string
	state    *stateService
	cloud    *cloud
	public   map[string]string
	peer     map[string]string
	stateAt  map[string]string // by controller
	cloudAt  string
	process  map[string]*exec.Cmd
	ended    map[string]chan struct{} // closed when the controller's process has ended
	jobs     map[string]*job
	user     *caller
	live     map[string]map[string]*attempt // by machine and task
	starts   map[string]int                 // by task
	doneAt   map[string]time.Time           // by task
	rules    *rules                         // nil: not checked
	links    *links                         // nil: no proxies

	lateReports, lateCommands atomic.Bool // see soak.go
}

var current *rig

// fail ends the case: it couldn't run.
func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "couldn't run: "+format+"\n", args...)
	if current != nil {
		current.event("couldn't run: "+format, args...)
		current.close()
	}
	os.Exit(2)
}

func newRig(recordPath string, s *settings) *rig {
	file, err := os.Create(recordPath)
	if err != nil {
		fail("%v", err)
	}
	folder, err := os.MkdirTemp("", "pipitgap-review")
	if err != nil {
		fail("%v", err)
	}
	r := &rig{
		settings: s, began: time.Now(), record: bufio.NewWriter(file), file: file, folder: folder,
		public: map[string]string{}, peer: map[string]string{}, process: map[string]*exec.Cmd{}, ended: map[string]chan struct{}{}, jobs: map[string]*job{},
		user: newCaller(5 * time.Second), live: map[string]map[string]*attempt{}, starts: map[string]int{},
		doneAt: map[string]time.Time{},
	}
	current = r
	r.state = newStateService(s)
	r.cloud = newCloud(r, s)
	r.stateAt = map[string]string{}
	for _, node := range s.nodes {
		_, r.stateAt[node] = serve(r.state.handler(node))
	}
	_, r.cloudAt = serve(r.cloud.ServeHTTP)
	host := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()/250%250, 1+os.Getpid()%250, 7)
	for _, node := range s.nodes {
		r.public[node], r.peer[node] = freeAddr(host), freeAddr(host)
	}
	return r
}

// event writes a line of the record.
func (r *rig) event(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	_ = r.record.Flush()
}

// taskEvent notes and records what happens to a task on a machine.
func (r *rig) taskEvent(machine string, a *attempt, what string) {
	r.mu.Lock()
	if r.live[machine] == nil {
		r.live[machine] = map[string]*attempt{}
	}
	if what == "starts" {
		if r.rules != nil {
			r.rules.started(machine, a)
		}
		r.live[machine][a.pip] = a
		r.starts[a.pip]++
	} else if r.live[machine][a.pip] == a {
		delete(r.live[machine], a.pip)
	}
	if what == "exits: done" {
		r.doneAt[a.pip] = time.Now()
	}
	r.mu.Unlock()
	r.event("%s: task %s, attempt %d, %s", machine, a.pip, a.try, what)
}

// machineOf returns the machine that a task runs on, or "".
func (r *rig) machineOf(pip string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for machine, attempts := range r.live {
		if attempts[pip] != nil {
			return machine
		}
	}
	return ""
}

func (r *rig) startsOf(pip string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts[pip]
}

func (r *rig) isDone(pip string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.doneAt[pip].IsZero()
}

func (r *rig) jobOf(id string) *job {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.jobs[id]
}

// publicAddr returns the address that workers report to.
func (r *rig) publicAddr(node string) string {
	if r.links != nil {
		return r.links.workersAt[node]
	}
	return r.public[node]
}

// peerAddr returns the address by which a controller knows another one.
func (r *rig) peerAddr(node, other string) string {
	if r.links != nil {
		return r.links.peerAt[node+" "+other]
	}
	return r.peer[other]
}

func (r *rig) nodeIndex(node string) int { return slices.Index(r.settings.nodes, node) }

// root returns the root of the repository, which is the folder above review/.
func root() string {
	folder, err := os.Getwd()
	for err == nil && folder != "/" {
		if _, statErr := os.Stat(filepath.Join(folder, "deploy", "service.toml")); statErr == nil {
			return folder
		}
		folder = filepath.Dir(folder)
	}
	fail("no deploy/service.toml above this folder")
	return ""
}

// runCommand returns the program and the arguments that the deploy file names.
func runCommand() []string {
	text, err := os.ReadFile(filepath.Join(root(), "deploy", "service.toml"))
	if err != nil {
		fail("%v", err)
	}
	found := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if found == nil {
		fail("the deploy file has no run command")
	}
	return strings.Fields(string(found[1]))
}

func (r *rig) writeSettings(node string) string {
	s := r.settings
	var b strings.Builder
	fmt.Fprintf(&b, "node = %q\narea = %q\npublic_addr = %q\npeer_bind = %q\n", node, s.areas[r.nodeIndex(node)],
		r.public[node], r.peer[node])
	for i, other := range s.nodes {
		if other != node {
			fmt.Fprintf(&b, "[[known]]\nnode = %q\narea = %q\naddr = %q\n", other, s.areas[i], r.peerAddr(node, other))
		}
	}
	fmt.Fprintf(&b, "[external]\ncloud = %q\nstate = %q\n", r.cloudAt, r.stateAt[node])
	fmt.Fprintf(&b, "[facts]\ninitial_size = %d\nzones = [\"%s\"]\nskew_ms = 25.0\n", len(s.nodes),
		strings.Join(s.zones, `", "`))
	b.WriteString(s.teams + s.objectives)
	fmt.Fprintf(&b, "[facts.workers]\nreport_s = %g\nlease_s = %g\ngang_wait_s = 45.0\ngang_peer_s = 6.0\ncancel_s = %g\n",
		s.reportS, s.leaseS, s.cancelS)
	fmt.Fprintf(&b, "[facts.state]\nrps = %g\nwrite_rps = %g\nvalue_kb = %d.0\ntxn_ops = %d\n", s.stateRPS,
		s.stateWriteRPS, s.valueKB, s.txnOps)
	fmt.Fprintf(&b, "[facts.cloud]\nrps = %g\nlist_lag_s = %g\n", s.cloudRPS, s.listLagS)
	fmt.Fprintf(&b, "[facts.quota]\ncores = %g\nmemory_mb = %g\nmax_connections = %d\n", s.cores, s.memoryMB, s.connections)
	path := filepath.Join(r.folder, node+".toml")
	if err := os.WriteFile(path, []byte(b.String()), 0o600); err != nil {
		fail("%v", err)
	}
	return path
}

// start starts a controller with the command of the deploy file.
func (r *rig) start(node string) {
	command := r.withExtraSettings(runCommand())
	command = append(command, r.writeSettings(node))
	log, err := os.OpenFile(filepath.Join(r.folder, node+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("%v", err)
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(root(), command[0]), command[1:]...)
	cmd.Dir = root()
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), "LOG_LEVEL="+logLevel())
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		fail("%v", err)
	}
	r.event("controller %s starts", node)
	r.process[node] = cmd
	ended := make(chan struct{})
	r.mu.Lock()
	r.ended[node] = ended
	r.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
}

func logLevel() string {
	if level := os.Getenv("LOG_LEVEL"); level != "" {
		return level
	}
	return "info"
}

// kill kills a controller and waits for its end.
func (r *rig) kill(node string) {
	if cmd := r.process[node]; cmd != nil {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		<-r.ended[node]
		delete(r.process, node)
	}
}

// startAll starts all controllers and waits until they are healthy and one of them leads.
func (r *rig) startAll() {
	for _, node := range r.settings.nodes {
		r.start(node)
	}
	for _, node := range r.settings.nodes {
		r.await(20*time.Second, node+" answers /healthz with 200", func() bool {
			status, _ := r.user.call("GET", r.public[node], "/healthz", nil)
			return status == 200
		})
	}
	r.await(10*time.Second, "a leader", func() bool { return r.state.value("gap2/lead/er") != nil })
}

// close ends everything.
func (r *rig) close() {
	for _, node := range r.settings.nodes {
		r.kill(node)
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.MkdirAll(keep, 0o755)
		for _, node := range r.settings.nodes {
			if text, err := os.ReadFile(filepath.Join(r.folder, node+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, node+".log"), text, 0o600)
			}
		}
	}
	_ = os.RemoveAll(r.folder)
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.record.Flush()
	_ = r.file.Close()
}

// await waits for a condition without which the case can't run.
func (r *rig) await(within time.Duration, what string, ok func() bool) {
	if !r.eventually(within, ok) {
		fail("no %s within %v", what, within)
	}
}

// eventually waits for a condition and reports whether it came to hold in time.
func (r *rig) eventually(within time.Duration, ok func() bool) bool {
	for ends := time.Now().Add(within); ; time.Sleep(50 * time.Millisecond) {
		if ok() {
			return true
		}
		if time.Now().After(ends) {
			return false
		}
	}
}

// submit submits a job as users do: it repeats the request until the job is accepted.
func (r *rig) submit(j *job, node int) {
	r.mu.Lock()
	r.jobs[j.id] = j
	r.mu.Unlock()
	r.event("user submits %s: %s of %d tasks, %g cores each", j.id, j.shape, j.pips, j.cores)
	for try := 0; ; try++ {
		status, _ := r.user.call("POST", r.public[r.settings.nodes[(node+try)%len(r.settings.nodes)]], "/v2/runs", j.body())
		if status == 200 || status == 201 {
			r.event("%s is accepted (%d)", j.id, status)
			return
		}
		if status == 400 || status == 422 || try > 30 {
			fail("%s: submission answered %d", j.id, status)
		}
		time.Sleep(time.Second)
	}
}

// poll asks a controller about a job.
func (r *rig) poll(id string, node int) (status int, answer object) {
	status, body := r.user.call("GET", r.public[r.settings.nodes[node]], "/v2/runs/"+id, nil)
	answer, _ = decodeObject(body)
	return status, answer
}

// anyWorker returns the first running machine that meets a condition.
func (r *rig) anyWorker(ok func(m *machine) bool) *machine {
	for _, m := range r.cloud.running() {
		if ok(m) {
			return m
		}
	}
	return nil
}

// withExtraSettings adds the operators' further settings files to a command, before its last flag.
func (r *rig) withExtraSettings(command []string) []string {
	last := len(command) - 1
	with := append([]string(nil), command[:last]...)
	for _, path := range r.settings.extraSettings {
		with = append(with, "--settings", path)
	}
	return append(with, command[last])
}

// hasEnded reports whether a controller's process has ended by itself, and why, by its last output.
func (r *rig) hasEnded(node string) (why string, ended bool) {
	select {
	case <-r.ended[node]:
	default:
		return "", false
	}
	log, _ := os.ReadFile(filepath.Join(r.folder, node+".log"))
	if at := strings.Index(string(log), "panic:"); at >= 0 {
		line, _, _ := strings.Cut(string(log)[at:], "\n")
		return line, true
	}
	return "without a panic", true
}

// operate runs an operators' command, which must succeed.
func (r *rig) operate(args ...string) {
	if err := r.tryOperate(args...); err != nil {
		fail("operator's command: %v", err)
	}
}

// tryOperate runs an operators' command.
func (r *rig) tryOperate(args ...string) error {
	command := r.withExtraSettings(runCommand())
	flags := append([]string(nil), command[1:]...)
	flags = append(flags, filepath.Join(r.folder, r.settings.nodes[0]+".toml"))
	cmd := exec.Command(filepath.Join(root(), command[0]), append(args, flags...)...)
	cmd.Dir = root()
	out, err := cmd.CombinedOutput()
	r.event("operator: %s: %s", strings.Join(args, " "), strings.TrimSpace(string(out)))
	return err
}

// cancel cancels a job at a controller and reports whether that is confirmed.
func (r *rig) cancel(id, node string) bool {
	status, _ := r.user.call("POST", r.public[node], "/v2/runs/"+id+"/abort", nil)
	r.event("user cancels %s at %s: answered %d", id, node, status)
	return status == 200
}
