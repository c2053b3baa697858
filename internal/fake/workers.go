package fake

import (
	"sort"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// JobBehavior is what a worker fetches about a job on its own.
type JobBehavior struct {
	Team           string
	CPUs           float64
	MemoryGB       float64
	RunTime        monotime.Micros // 0: runs until it is stopped
	Fails          bool
	Service        bool
	PullTime       monotime.Micros // how long a machine fetches its image before a task runs
	CheckpointTime monotime.Micros // how long a task saves when it is stopped
}

// WorkerFleet is all workers; what they run is reported to the checker.
type WorkerFleet struct {
	Clock             *SimClock
	HeartbeatInterval monotime.Micros
	LeaseTime         monotime.Micros
	Controllers       []string
	Jobs              map[string]JobBehavior
	Workers           map[string]*Worker
	ByEndpoint        map[string]*Worker // by endpoint
	// SendHeartbeat carries a report to a node; back gets status 0 for no response.
	SendHeartbeat func(w *Worker, node string, body []byte, back func(status int, reply []byte))

	// OnStop, if set, is told of every running task that is stopped by a command, just after.
	OnStop func(task string, w *Worker)

	TaskRunTime map[string]monotime.Micros // tasks that run for another time than their job's others
	Checker     *Checker
	Starts      map[string]int
	Finished    map[string]bool
}

// Worker is one machine's worker.
type Worker struct {
	fleet           *WorkerFleet
	Machine         *Machine
	CPUs            float64
	Incarnation     uint64
	Sequence        uint64
	FencingToken    uint64
	Attempts        map[string]*Attempt
	controller      int
	leaseRenewedAt  monotime.Micros
	FailsTasks      bool // every task fails
	Partitioned     bool // cut from everything, goes on working
	Paused          bool
	deferred        []func() // direct commands that came while it hung
	gone            bool
	inFlight        bool
	heartbeatQueued bool
}

// Attempt is an attempt on a worker.
type Attempt struct {
	Number     uint64
	State      string
	Cause      string
	generation int
}

// NewWorkerFleet starts without workers.
func NewWorkerFleet(
	sim *SimClock,
	report, lease monotime.Micros,
	nodes []string,
	check *Checker,
) *WorkerFleet {
	return &WorkerFleet{
		Clock:             sim,
		HeartbeatInterval: report,
		LeaseTime:         lease,
		Controllers:       nodes,
		Jobs:              map[string]JobBehavior{},
		Workers:           map[string]*Worker{},
		ByEndpoint:        map[string]*Worker{},
		Checker:           check,
		TaskRunTime:       map[string]monotime.Micros{},
		Starts:            map[string]int{},
		Finished:          map[string]bool{},
	}
}

// MachineUp starts a machine's worker.
func (f *WorkerFleet) MachineUp(machine *Machine, cpus float64) *Worker {
	w := &Worker{fleet: f, Machine: machine, CPUs: cpus, Incarnation: 1, Attempts: map[string]*Attempt{},
		leaseRenewedAt: f.Clock.Now(), controller: f.Clock.Rand.IntN(len(f.Controllers))}
	f.Workers[machine.ID], f.ByEndpoint[machine.Endpoint] = w, w
	w.heartbeatLoop()
	w.watchLease()
	return w
}

// MachineDown ends a machine with all that is on it.
func (f *WorkerFleet) MachineDown(machine *Machine) {
	if w := f.Workers[machine.ID]; w != nil {
		w.gone = true
		w.dropAttempts()
	}
}

func jobOf(task string) string {
	for i := range task {
		if task[i] == '/' {
			return task[:i]
		}
	}
	return task
}

func (w *Worker) taskStarted(task string) {
	f := w.fleet
	f.Starts[task]++
	j := f.Jobs[jobOf(task)]
	f.Checker.TaskStarted(task, w.Machine, j.Team, j.CPUs)
}

func (w *Worker) taskEnded(task string) {
	j := w.fleet.Jobs[jobOf(task)]
	w.fleet.Checker.TaskEnded(task, w.Machine, j.Team, j.CPUs)
}

func (w *Worker) dropAttempts() {
	for _, t := range w.taskNames() {
		if attempt := w.Attempts[t]; attempt.State == protocol.StateRunning ||
			attempt.State == protocol.StateFlushing {
			w.taskEnded(t)
		}
		w.Attempts[t].generation++
	}
	w.Attempts = map[string]*Attempt{}
}

func (w *Worker) taskNames() []string {
	var out []string
	for t := range w.Attempts {
		out = append(out, t)
	}
	sort.Strings(out)
	return out
}

func (w *Worker) watchLease() {
	if w.gone {
		return
	}
	if w.fleet.Clock.Now()-w.leaseRenewedAt > w.fleet.LeaseTime {
		w.dropAttempts()
		w.Incarnation++
		w.Sequence = 0
		w.leaseRenewedAt = w.fleet.Clock.Now()
	}
	w.fleet.Clock.After(100*monotime.Millisecond, w.watchLease)
}

// Heartbeat is the worker's report now.
func (w *Worker) Heartbeat() *protocol.Heartbeat {
	w.Sequence++
	r := &protocol.Heartbeat{Machine: w.Machine.ID, Endpoint: w.Machine.Endpoint, Type: w.Machine.Type,
		Zone: w.Machine.Zone, Spot: w.Machine.Spot,
		Incarnation: w.Incarnation, Sequence: w.Sequence, FencingToken: w.FencingToken}
	for _, t := range w.taskNames() {
		attempt := w.Attempts[t]
		r.Tasks = append(
			r.Tasks,
			protocol.TaskStatus{Task: t, Attempt: attempt.Number, State: attempt.State, Cause: attempt.Cause},
		)
	}
	return r
}

func (w *Worker) heartbeatLoop() {
	if w.gone {
		return
	}
	f := w.fleet
	next := f.HeartbeatInterval + monotime.Micros(
		f.Clock.Rand.Int64N(int64(f.HeartbeatInterval/2)),
	) - f.HeartbeatInterval/4
	if !w.inFlight && !w.Paused {
		w.sendHeartbeat()
	}
	f.Clock.After(next, w.heartbeatLoop)
}

// heartbeatSoon sends a report soon.
func (w *Worker) heartbeatSoon() {
	if w.heartbeatQueued {
		return
	}
	w.heartbeatQueued = true
	w.fleet.Clock.After(500*monotime.Millisecond, func() {
		w.heartbeatQueued = false
		if !w.gone && !w.inFlight && !w.Paused {
			w.sendHeartbeat()
		}
	})
}

func (w *Worker) sendHeartbeat() {
	f := w.fleet
	w.inFlight = true
	sent, session := f.Clock.Now(), w.Incarnation
	done := false
	finish := func(status int, reply []byte) {
		if done || w.gone {
			return
		}
		done = true
		w.inFlight = false
		switch status {
		case 200:
			var r protocol.HeartbeatReply
			if protocol.Unmarshal(reply, &r) != nil || r.FencingToken < w.FencingToken ||
				session != w.Incarnation {
				return
			}
			w.leaseRenewedAt = sent
			w.noteToken(r.FencingToken)
			w.execute(r.Commands)
		case 421:
			var r protocol.Redirect
			_ = protocol.Unmarshal(reply, &r)
			for i, n := range f.Controllers {
				if n == r.Leader && i != w.controller {
					w.controller = i
					f.Clock.After(200*monotime.Millisecond, w.retryHeartbeat)
					return
				}
			}
			fallthrough
		default:
			w.controller = (w.controller + 1) % len(f.Controllers)
			f.Clock.After(monotime.Second, w.retryHeartbeat)
		}
	}
	f.Clock.After(4*monotime.Second, func() { finish(0, nil) })
	if w.Partitioned {
		return
	}
	body := protocol.MustMarshal(w.Heartbeat())
	f.SendHeartbeat(w, f.Controllers[w.controller], body, finish)
}

func (w *Worker) retryHeartbeat() {
	if !w.gone && !w.inFlight && !w.Paused {
		w.sendHeartbeat()
	}
}

func (w *Worker) noteToken(token uint64) {
	if token > w.FencingToken {
		w.FencingToken = token
		w.heartbeatSoon()
	}
}

// Pause stops a machine for a while: it neither reports nor executes, and its lease runs
// on. Commands that come meanwhile are executed when it goes on.
func (w *Worker) Pause(d monotime.Micros) {
	w.Paused = true
	w.fleet.Clock.After(d, func() {
		w.Paused = false
		held := w.deferred
		w.deferred = nil
		for _, execute := range held {
			if !w.gone {
				execute()
			}
		}
	})
}

// Defer keeps a command until a hanging machine goes on.
func (w *Worker) Defer(execute func()) { w.deferred = append(w.deferred, execute) }

// Execute executes a direct command batch.
func (w *Worker) Execute(req *protocol.CommandRequest) protocol.CommandResult {
	if req.FencingToken < w.FencingToken || req.Incarnation != w.Incarnation {
		return protocol.CommandResult{Status: 409, Heartbeat: *w.Heartbeat()}
	}
	w.noteToken(req.FencingToken)
	w.execute(req.Commands)
	return protocol.CommandResult{Status: 200, Heartbeat: *w.Heartbeat()}
}

func (w *Worker) execute(cmds []protocol.Command) {
	f := w.fleet
	for _, command := range cmds {
		attempt := w.Attempts[command.Task]
		switch command.Op {
		case protocol.CmdRun:
			if attempt != nil && attempt.Number == command.Attempt {
				continue
			}
			job, known := f.Jobs[jobOf(command.Task)]
			started := &Attempt{Number: command.Attempt, State: protocol.StatePulling}
			switch {
			case attempt != nil:
				// The protocol keeps both attempts; one refused is enough here.
				continue
			case !known:
				started.State, started.Cause = protocol.StateExited, protocol.CauseUnknown
			case w.usedCPUs()+job.CPUs > w.CPUs+1e-6:
				started.State, started.Cause = protocol.StateExited, protocol.CauseMachineFull
			}
			w.Attempts[command.Task] = started
			w.heartbeatSoon()
			if started.State == protocol.StateExited {
				continue
			}
			if job.PullTime == 0 {
				w.start(command.Task, started, job)
				continue
			}
			gen, task := started.generation, command.Task
			f.Clock.After(job.PullTime, func() {
				if w.isCurrent(task, started, gen) {
					w.start(task, started, job)
					w.heartbeatSoon()
				}
			})
		case protocol.CmdKill:
			if attempt != nil && attempt.Number == command.Attempt {
				w.stop(command.Task, attempt, f.Jobs[jobOf(command.Task)])
			}
		case protocol.CmdReap:
			if attempt != nil && attempt.Number == command.Attempt && attempt.State == protocol.StateExited {
				delete(w.Attempts, command.Task)
				w.heartbeatSoon()
			}
		}
	}
}

// isCurrent tells whether an attempt is still what it was.
func (w *Worker) isCurrent(task string, attempt *Attempt, gen int) bool {
	return !w.gone && attempt.generation == gen && w.Attempts[task] == attempt
}

// start has a task run, now that its image is there.
func (w *Worker) start(task string, attempt *Attempt, job JobBehavior) {
	f := w.fleet
	attempt.State = protocol.StateRunning
	w.taskStarted(task)
	run := job.RunTime
	if own, set := f.TaskRunTime[task]; set {
		run = own
	}
	if w.FailsTasks || job.Fails {
		run = 500 * monotime.Millisecond
	}
	if run == 0 {
		return
	}
	gen := attempt.generation
	f.Clock.After(run, func() {
		if w.isCurrent(task, attempt, gen) && attempt.State == protocol.StateRunning {
			w.complete(task, attempt, w.FailsTasks || job.Fails)
		}
	})
}

// complete ends a task by itself.
func (w *Worker) complete(task string, attempt *Attempt, failed bool) {
	attempt.State, attempt.Cause = protocol.StateExited, protocol.CauseDone
	if failed {
		attempt.Cause = protocol.CauseError
	} else {
		w.fleet.Finished[task] = true
		w.fleet.Checker.TaskCompleted(task)
	}
	w.taskEnded(task)
	w.heartbeatSoon()
}

// stop ends a task by a command, once it has saved.
func (w *Worker) stop(task string, attempt *Attempt, job JobBehavior) {
	switch attempt.State {
	case protocol.StatePulling:
		attempt.generation++
		attempt.State, attempt.Cause = protocol.StateExited, protocol.CauseStopped
	case protocol.StateRunning:
		attempt.generation++
		attempt.State = protocol.StateFlushing
		if w.fleet.OnStop != nil {
			w.fleet.OnStop(task, w)
		}
		gen := attempt.generation
		exit := func() {
			if w.isCurrent(task, attempt, gen) {
				attempt.State, attempt.Cause = protocol.StateExited, protocol.CauseStopped
				w.taskEnded(task)
				w.heartbeatSoon()
			}
		}
		if job.CheckpointTime == 0 {
			exit()
		} else {
			w.fleet.Clock.After(job.CheckpointTime, exit)
		}
	default:
		return
	}
	w.heartbeatSoon()
}

// RunningReplicas counts a team's replicas that run on machines that are up.
func (f *WorkerFleet) RunningReplicas(team string) int {
	n := 0
	for _, w := range f.Workers {
		if w.gone {
			continue
		}
		for task, attempt := range w.Attempts {
			if job := f.Jobs[jobOf(task)]; job.Service && job.Team == team &&
				attempt.State == protocol.StateRunning {
				n++
			}
		}
	}
	return n
}

func (w *Worker) usedCPUs() float64 {
	n := 0.0
	for t, attempt := range w.Attempts {
		if attempt.State != protocol.StateExited {
			n += w.fleet.Jobs[jobOf(t)].CPUs
		}
	}
	return n
}

// Running counts the tasks of a job that are on machines now.
func (f *WorkerFleet) Running(job string) int { return f.Checker.LiveAttempts(job) }

// FreeMachines lists the machines that are up with what is free on them.
func (f *WorkerFleet) FreeMachines(memory func(machineType string) float64) []FreeMachine {
	var out []FreeMachine
	for _, w := range f.Workers {
		if w.gone || w.Partitioned || w.Paused {
			continue
		}
		r := FreeMachine{Machine: w.Machine, CPUs: w.CPUs - w.usedCPUs(), MemoryGB: memory(w.Machine.Type)}
		for task, attempt := range w.Attempts {
			if attempt.State != protocol.StateExited {
				r.MemoryGB -= f.Jobs[jobOf(task)].MemoryGB
			}
		}
		out = append(out, r)
	}
	return out
}
