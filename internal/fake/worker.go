package fake

import "pipitgap/internal/monotime"

// workerLeaseCheckInterval is how often a worker checks whether its lease has expired.
const workerLeaseCheckInterval = 100 * monotime.Millisecond

// Worker simulates the worker process of one machine.
type Worker struct {
	Machine      *Machine
	CPUs         float64
	Incarnation  uint64
	Sequence     uint64 // of the last heartbeat
	FencingToken uint64 // the highest that the worker has received
	Attempts     map[string]*Attempt
	WorkerFaults

	fleet           *WorkerFleet
	controller      int // index in the fleet of the controller that receives the next heartbeat
	leaseRenewedAt  monotime.Micros
	deferred        []func() // direct commands received during a pause
	gone            bool
	inFlight        bool // a heartbeat has neither an answer nor timed out
	heartbeatQueued bool
}

// WorkerFaults are the faults that a test injects into a worker.
type WorkerFaults struct {
	FailsTasks  bool // every task fails
	Partitioned bool // disconnected from all controllers; tasks keep running
	Deaf        bool // heartbeats arrive, but answers and direct commands are lost
	Mute        bool // heartbeats are lost, but direct commands arrive
	Paused      bool
}

// watchLease checks the lease periodically. When it has expired, the worker drops all attempts and starts a
// new incarnation with a fresh lease.
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

// Pause suspends a machine for a duration. The worker sends no heartbeats and executes no commands, but its
// lease keeps running and can expire. On resuming it executes the commands received during the pause.
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

// DeferCommand queues a command to be executed when the paused machine resumes.
func (w *Worker) DeferCommand(execute func()) { w.deferred = append(w.deferred, execute) }
