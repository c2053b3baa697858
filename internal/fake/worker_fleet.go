package fake

import (
	"strings"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// JobBehavior describes how the tasks of a job run, and the properties of the job that workers look up
// without asking a controller.
type JobBehavior struct {
	Team           string
	CPUs           float64
	MemoryGB       float64
	RunTime        monotime.Micros // 0: a task runs until it is stopped
	Fails          bool
	Service        bool
	PullTime       monotime.Micros // how long a machine pulls the image before a task runs
	CheckpointTime monotime.Micros // how long a stopped task takes to save its state
}

// WorkerFleet holds the workers of all machines. They report the starts and ends of tasks to the checker.
type WorkerFleet struct {
	Clock             *SimClock
	HeartbeatInterval monotime.Micros
	LeaseTime         monotime.Micros
	Controllers       []string
	Checker           *Checker
	Workers           map[string]*Worker // by machine
	ByEndpoint        map[string]*Worker
	Jobs              map[string]JobBehavior
	TaskRunTime       map[string]monotime.Micros // by task: overrides RunTime of the job

	// SendHeartbeat sends a heartbeat to a controller. It passes status 0 to callback if there is no
	// response.
	SendHeartbeat func(w *Worker, node string, body []byte, callback func(status int, reply []byte))
	// OnStop, if set, is called when a command stops a running task, before the task exits.
	OnStop func(task string, w *Worker)

	Starts   map[string]int  // by task
	Finished map[string]bool // tasks that have completed
}

// NewWorkerFleet returns a fleet without workers.
func NewWorkerFleet(
	sim *SimClock,
	heartbeatInterval, leaseTime monotime.Micros,
	controllers []string,
	checker *Checker,
) *WorkerFleet {
	return &WorkerFleet{
		Clock:             sim,
		HeartbeatInterval: heartbeatInterval,
		LeaseTime:         leaseTime,
		Controllers:       controllers,
		Checker:           checker,
		Workers:           map[string]*Worker{},
		ByEndpoint:        map[string]*Worker{},
		Jobs:              map[string]JobBehavior{},
		TaskRunTime:       map[string]monotime.Micros{},
		Starts:            map[string]int{},
		Finished:          map[string]bool{},
	}
}

// MachineUp starts the worker of a machine. The worker sends its first heartbeat to a random controller.
func (f *WorkerFleet) MachineUp(machine *Machine, cpus float64) *Worker {
	w := &Worker{
		Machine:        machine,
		CPUs:           cpus,
		Incarnation:    1,
		Attempts:       map[string]*Attempt{},
		fleet:          f,
		controller:     f.Clock.Rand.IntN(len(f.Controllers)),
		leaseRenewedAt: f.Clock.Now(),
	}
	f.Workers[machine.ID], f.ByEndpoint[machine.Endpoint] = w, w
	w.heartbeatLoop()
	w.watchLease()
	return w
}

// MachineDown ends the worker of a machine and all attempts on it.
func (f *WorkerFleet) MachineDown(machine *Machine) {
	if w := f.Workers[machine.ID]; w != nil {
		w.gone = true
		w.dropAttempts()
	}
}

// RunningReplicas counts a team's running service replicas on machines that still exist.
func (f *WorkerFleet) RunningReplicas(team string) int {
	count := 0
	for _, w := range f.Workers {
		if w.gone {
			continue
		}
		for task, attempt := range w.Attempts {
			job := f.Jobs[jobOf(task)]
			if job.Service && job.Team == team && attempt.State == protocol.StateRunning {
				count++
			}
		}
	}
	return count
}

// Restarts counts the starts of tasks beyond the first start of each task: the total over all tasks and the
// maximum of a single task. tasks is the number of tasks by job.
func (f *WorkerFleet) Restarts(tasks map[string]int) (total, maxPerTask int) {
	for job, count := range tasks {
		for i := range count {
			restarts := f.Starts[taskID(job, i)] - 1
			total += restarts
			maxPerTask = max(maxPerTask, restarts)
		}
	}
	return total, maxPerTask
}

// Running counts the tasks of a job that are on machines: they run or save their state.
func (f *WorkerFleet) Running(job string) int { return f.Checker.LiveAttempts(job) }

// FreeMachines lists the machines that exist and are neither partitioned nor paused, with their free
// resources. memory returns the memory of a machine type in GB.
func (f *WorkerFleet) FreeMachines(memory func(machineType string) float64) []FreeMachine {
	var out []FreeMachine
	for _, w := range f.Workers {
		if w.gone || w.Partitioned || w.Paused {
			continue
		}
		free := FreeMachine{Machine: w.Machine, CPUs: w.CPUs - w.usedCPUs(), MemoryGB: memory(w.Machine.Type)}
		for task, attempt := range w.Attempts {
			if attempt.State != protocol.StateExited {
				free.MemoryGB -= f.Jobs[jobOf(task)].MemoryGB
			}
		}
		out = append(out, free)
	}
	return out
}

// jobOf returns the job ID in a task ID.
func jobOf(task string) string {
	job, _, _ := strings.Cut(task, "/")
	return job
}
