package fake

import (
	"net/http"
	"sort"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// failureTime is how long a failing task runs before it exits.
const failureTime = 500 * monotime.Millisecond

// Attempt is one execution of a task on a worker.
type Attempt struct {
	Number uint64
	State  protocol.TaskState
	Cause  protocol.ExitCause
	// generation invalidates scheduled events: an event takes effect only if the generation is still the one
	// at which it was scheduled.
	generation int
}

// isOnMachine reports whether the attempt's process exists on the machine: it runs or saves its state.
func (a *Attempt) isOnMachine() bool {
	return a.State == protocol.StateRunning || a.State == protocol.StateFlushing
}

// exit marks the attempt as exited with a cause.
func (a *Attempt) exit(cause protocol.ExitCause) { a.State, a.Cause = protocol.StateExited, cause }

// Execute executes a batch of direct commands and answers with a heartbeat. It rejects a batch with status
// 409 if its fencing token is older than the worker's or its incarnation is not the worker's.
func (w *Worker) Execute(request *protocol.CommandRequest) protocol.CommandResult {
	if request.FencingToken < w.FencingToken || request.Incarnation != w.Incarnation {
		return protocol.CommandResult{Status: http.StatusConflict, Heartbeat: *w.Heartbeat()}
	}
	w.adoptToken(request.FencingToken)
	w.execute(request.Commands)
	return protocol.CommandResult{Status: http.StatusOK, Heartbeat: *w.Heartbeat()}
}

func (w *Worker) execute(commands []protocol.Command) {
	for _, command := range commands {
		attempt := w.Attempts[command.Task]
		attemptMatches := attempt != nil && attempt.Number == command.Attempt
		switch command.Op {
		case protocol.CmdRun:
			// The protocol keeps both an attempt and a later one that was rejected. The fake keeps only the
			// existing attempt.
			if attempt == nil {
				w.run(command)
			}
		case protocol.CmdKill:
			if attemptMatches {
				w.stop(command.Task, attempt, w.fleet.Jobs[jobOf(command.Task)])
			}
		case protocol.CmdReap:
			if attemptMatches && attempt.State == protocol.StateExited {
				delete(w.Attempts, command.Task)
				w.heartbeatSoon()
			}
		}
	}
}

// run creates a new attempt, pulls the image and then starts the task. The attempt exits immediately if the
// worker doesn't know the job or has too few free CPUs.
func (w *Worker) run(command protocol.Command) {
	task := command.Task
	job, known := w.fleet.Jobs[jobOf(task)]
	attempt := &Attempt{Number: command.Attempt, State: protocol.StatePulling}
	switch {
	case !known:
		attempt.exit(protocol.CauseUnknown)
	case w.usedCPUs()+job.CPUs > w.CPUs+roundingTolerance:
		attempt.exit(protocol.CauseMachineFull)
	}
	w.Attempts[task] = attempt
	w.heartbeatSoon()
	if attempt.State == protocol.StateExited {
		return
	}
	if job.PullTime == 0 {
		w.start(task, attempt, job)
		return
	}
	generation := attempt.generation
	w.fleet.Clock.After(job.PullTime, func() {
		if w.isCurrent(task, attempt, generation) {
			w.start(task, attempt, job)
			w.heartbeatSoon()
		}
	})
}

// isCurrent reports whether an attempt is still the task's attempt on this worker and in the same generation.
func (w *Worker) isCurrent(task string, attempt *Attempt, generation int) bool {
	return !w.gone && attempt.generation == generation && w.Attempts[task] == attempt
}

// start runs a task whose image has been pulled, and schedules the task's exit unless it runs until stopped.
func (w *Worker) start(task string, attempt *Attempt, job JobBehavior) {
	f := w.fleet
	attempt.State = protocol.StateRunning
	w.taskStarted(task)
	runTime := job.RunTime
	if override, ok := f.TaskRunTime[task]; ok {
		runTime = override
	}
	if w.FailsTasks || job.Fails {
		runTime = failureTime
	}
	if runTime == 0 {
		return
	}
	generation := attempt.generation
	f.Clock.After(runTime, func() {
		if w.isCurrent(task, attempt, generation) && attempt.State == protocol.StateRunning {
			w.complete(task, attempt, w.FailsTasks || job.Fails)
		}
	})
}

// complete ends a task that exits without being stopped: it has succeeded or failed.
func (w *Worker) complete(task string, attempt *Attempt, failed bool) {
	if failed {
		attempt.exit(protocol.CauseError)
	} else {
		attempt.exit(protocol.CauseDone)
		w.fleet.Finished[task] = true
		w.fleet.Checker.TaskCompleted(task)
	}
	w.taskEnded(task)
	w.heartbeatSoon()
}

// stop ends a task on command. A running task first saves its state; an attempt that still pulls its image
// exits at once.
func (w *Worker) stop(task string, attempt *Attempt, job JobBehavior) {
	switch attempt.State {
	case protocol.StatePulling:
		attempt.generation++
		attempt.exit(protocol.CauseStopped)
	case protocol.StateRunning:
		attempt.generation++
		attempt.State = protocol.StateFlushing
		if w.fleet.OnStop != nil {
			w.fleet.OnStop(task, w)
		}
		w.exitAfterCheckpoint(task, attempt, job.CheckpointTime)
	default:
		return
	}
	w.heartbeatSoon()
}

func (w *Worker) exitAfterCheckpoint(task string, attempt *Attempt, checkpointTime monotime.Micros) {
	generation := attempt.generation
	exit := func() {
		if w.isCurrent(task, attempt, generation) {
			attempt.exit(protocol.CauseStopped)
			w.taskEnded(task)
			w.heartbeatSoon()
		}
	}
	if checkpointTime == 0 {
		exit()
		return
	}
	w.fleet.Clock.After(checkpointTime, exit)
}

func (w *Worker) taskStarted(task string) {
	w.fleet.Starts[task]++
	job := w.fleet.Jobs[jobOf(task)]
	w.fleet.Checker.TaskStarted(task, w.Machine, job.Team, job.CPUs)
}

func (w *Worker) taskEnded(task string) {
	job := w.fleet.Jobs[jobOf(task)]
	w.fleet.Checker.TaskEnded(task, w.Machine, job.Team, job.CPUs)
}

// dropAttempts ends all attempts immediately, without saving state, and removes their records.
func (w *Worker) dropAttempts() {
	for _, task := range w.taskNames() {
		attempt := w.Attempts[task]
		if attempt.isOnMachine() {
			w.taskEnded(task)
		}
		attempt.generation++
	}
	w.Attempts = map[string]*Attempt{}
}

// taskNames lists the tasks that have attempts on the worker, in ascending order.
func (w *Worker) taskNames() []string {
	var names []string
	for task := range w.Attempts {
		names = append(names, task)
	}
	sort.Strings(names)
	return names
}

// usedCPUs returns the total CPUs of all attempts that have not exited.
func (w *Worker) usedCPUs() float64 {
	used := 0.0
	for task, attempt := range w.Attempts {
		if attempt.State != protocol.StateExited {
			used += w.fleet.Jobs[jobOf(task)].CPUs
		}
	}
	return used
}
