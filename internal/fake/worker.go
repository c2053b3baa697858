package fake

import "pipitgap/internal/monotime"

// workerLeaseCheckInterval is how often a worker looks whether its lease has expired.
const workerLeaseCheckInterval = 100 * monotime.Millisecond

// Worker is the worker of one machine.
type Worker struct {
	Machine      *Machine
	CPUs         float64
	Incarnation  uint64
	Sequence     uint64 // of its last heartbeat
	FencingToken uint64 // the highest that it has seen
	Attempts     map[string]*Attempt
	WorkerFaults

	fleet           *WorkerFleet
	controller      int // index of the controller that it reports to
	leaseRenewedAt  monotime.Micros
	deferred        []func() // direct commands that came while it was paused
	gone            bool
	inFlight        bool // a heartbeat waits for its answer
	heartbeatQueued bool
}

// WorkerFaults are the faults that a test injects into a worker.
type WorkerFaults struct {
	FailsTasks  bool // every task fails
	Partitioned bool // cut off from all controllers; its tasks run on
	Paused      bool
}

// watchLease ends the incarnation, and all attempts with it, when the lease has expired.
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
	w.fleet.Clock.After(workerLeaseCheckInterval, w.watchLease)
}

// Pause suspends a machine for a while: it neither reports nor executes, and its lease runs on. Commands that
// come meanwhile are executed when it resumes.
func (w *Worker) Pause(duration monotime.Micros) {
	w.Paused = true
	w.fleet.Clock.After(duration, func() {
		w.Paused = false
		deferred := w.deferred
		w.deferred = nil
		for _, execute := range deferred {
			if !w.gone {
				execute()
			}
		}
	})
}

// Defer keeps a command until a paused machine resumes.
func (w *Worker) Defer(execute func()) { w.deferred = append(w.deferred, execute) }
