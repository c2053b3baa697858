package fake

import (
	"strings"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// JobBehavior is what a worker fetches about a job on its own, and how the job's tasks run.
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

// WorkerFleet is the workers of all machines; what they run is reported to the checker.
type WorkerFleet struct {
	Clock             *SimClock
	HeartbeatInterval monotime.Micros
	LeaseTime         monotime.Micros
	Controllers       []string
	Checker           *Checker
	Workers           map[string]*Worker // by machine
	ByEndpoint        map[string]*Worker
	Jobs              map[string]JobBehavior
	TaskRunTime       map[string]monotime.Micros // tasks that run for another time than their job's others

	// SendHeartbeat carries a heartbeat to a controller; callback gets status 0 for no response.
	SendHeartbeat func(w *Worker, node string, body []byte, callback func(status int, reply []byte))
	// OnStop, if set, is called for every running task that is stopped by a command, just after.
	OnStop func(task string, w *Worker)

	Starts   map[string]int  // by task
	Finished map[string]bool // tasks that have completed
}

// NewWorkerFleet makes a fleet without workers.
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

// MachineUp starts a machine's worker. It reports to a random controller first.
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

// MachineDown ends a machine with all that is on it.
func (f *WorkerFleet) MachineDown(machine *Machine) {
	if w := f.Workers[machine.ID]; w != nil {
		w.gone = true
		w.dropAttempts()
	}
}

// RunningReplicas counts a team's service replicas that run on machines that are up.
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

// Restarts counts the starts of tasks beyond each one's first: of all tasks, and the most of one task. tasks
// has the number of tasks by job.
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

// Running counts the tasks of a job that are on machines now.
func (f *WorkerFleet) Running(job string) int { return f.Checker.LiveAttempts(job) }

// FreeMachines lists the machines that are up and reachable with what is free on them. memory gives a
// machine type's memory in GB.
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

// jobOf is the job of a task's name.
func jobOf(task string) string {
	job, _, _ := strings.Cut(task, "/")
	return job
}
