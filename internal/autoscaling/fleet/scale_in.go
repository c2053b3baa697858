package fleet

import (
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// Limits of scale-in.
const (
	maxMachinesPerScaleIn = 100 // maximum number of machines in one request
	scaleInInterval       = 1 * monotime.Second
	// deletedMachineRetention is how long late heartbeats of terminated machines may still arrive. The record
	// of their scale-in is kept for this long.
	deletedMachineRetention = 10 * monotime.Minute
)

// Upper bounds of the encoded size of a scale-in request.
const (
	scaleInRecordBytes  = 64 // the record without machines
	scaleInMachineBytes = 3  // each machine, in addition to its ID
)

// scaleInCommitKey is the commit key of all new scale-in requests, so that only one is written at a time.
const scaleInCommitKey = "removals"

// reconcileScaleIns terminates the machines that their controllers marked for removal, and the machines that
// failed. One record and one cloud call cover many machines. The record is written before the call, and is
// updated to state that the machines are terminated after the call has succeeded.
func (r *Reconciler) reconcileScaleIns(now monotime.Micros) {
	if now >= r.term.nextScaleInAt {
		if machines := r.removableMachines(); len(machines) > 0 {
			r.term.nextScaleInAt = now + scaleInInterval
			r.requestScaleIn(machines)
		}
	}
	for _, name := range sortedmap.Keys(r.deps.Mirror.ScaleIns) {
		request := r.deps.Mirror.ScaleIns[name]
		switch {
		case request.Record.Deleted:
			r.deleteExpiredScaleIn(name, request)
		case !r.term.scaleInInFlight[name] && now >= r.term.scaleInRetryAt[name] && r.mayCallCloud(now):
			r.deleteMachines(name, request)
		}
	}
}

// removableMachines lists the machines to terminate that no scale-in request names yet.
func (r *Reconciler) removableMachines() []string {
	records := r.deps.Mirror
	var machines []string
	for _, id := range sortedmap.Keys(records.Machines) {
		machine := records.Machines[id]
		if machine.Record != nil && machine.Record.State == storage.MachineRemoving &&
			records.ScaleInOfMachine[id] == "" {
			machines = append(machines, id)
		}
	}
	for _, id := range sortedmap.Keys(r.term.failedMachines) {
		if records.ScaleInOfMachine[id] != "" {
			delete(r.term.failedMachines, id)
			continue
		}
		machines = append(machines, id)
	}
	return machines
}

// requestScaleIn writes a scale-in request for as many of the machines as one record can hold, at most
// maxMachinesPerScaleIn.
func (r *Reconciler) requestScaleIn(machines []string) {
	size, n := scaleInRecordBytes, 0
	for n < len(machines) && n < maxMachinesPerScaleIn &&
		size+len(machines[n])+scaleInMachineBytes < r.cfg.MaxValueBytes {
		size += len(machines[n]) + scaleInMachineBytes
		n++
	}
	key := storage.ScaleInKey(r.nextRequestName())
	record := storage.ScaleInRequest{Machines: machines[:n], StateSince: r.deps.Environment.WallClock()}
	txn := protocol.PutIfUnchanged(key, 0, &record)
	r.Commit(ratelimit.PriorityBackground, scaleInCommitKey, txn, func(result protocol.StoreResult) {
		if result.Outcome == protocol.OK {
			r.reconcileScaleIns(r.now())
		}
	})
}

// deleteMachines makes the cloud call of a scale-in request.
func (r *Reconciler) deleteMachines(name string, request *mirror.ScaleInEntry) {
	r.term.scaleInInFlight[name] = true
	call := protocol.CloudCall{Op: protocol.CloudDelete, Delete: request.Record.Machines}
	r.callCloud(call, func(result protocol.CloudResult) {
		r.noteCloudOutcome(result.Outcome)
		delete(r.term.scaleInInFlight, name)
		r.term.scaleInRetryAt[name] = r.now() + cloudRetryDelay
		r.recordDeletion(name, request, result.Outcome)
	})
}

// recordDeletion writes the outcome of a scale-in request's cloud call to its record.
func (r *Reconciler) recordDeletion(name string, request *mirror.ScaleInEntry, outcome protocol.Outcome) {
	record := request.Record
	switch outcome {
	case protocol.OK:
		// This outcome proves that the machines and everything on them are terminated.
		record.Deleted, record.StateSince = true, r.deps.Environment.WallClock()
	case protocol.Throttled, protocol.Unavailable:
		return // the call wasn't executed, so the outcome says nothing about the machines
	default:
		r.countFailedDeletion(name, &record, outcome)
	}
	key := storage.ScaleInKey(name)
	txn := protocol.PutIfUnchanged(key, request.Version, &record)
	r.Commit(ratelimit.PriorityShardUpdate, key, txn, func(result protocol.StoreResult) {
		if result.Outcome == protocol.OK && record.Deleted {
			r.deps.Log.Info("machines deleted", "scale_in", name, "machines", len(record.Machines))
		}
	})
}

// countFailedDeletion counts a failed cloud call. After Settings.ScaleInAttempts failures it flags the
// request as failed, and later calls are made at the long ScaleInRetryInterval.
func (r *Reconciler) countFailedDeletion(
	name string,
	record *storage.ScaleInRequest,
	outcome protocol.Outcome,
) {
	record.FailedCalls++
	if record.FailedCalls < r.cfg.Settings.ScaleInAttempts {
		return
	}
	record.Failed = true
	r.term.scaleInRetryAt[name] = r.now() + r.cfg.Settings.ScaleInRetryInterval.Micros()
	r.deps.Log.Error("machine deletion failed", "scale_in", name, "machines", len(record.Machines),
		"tries", record.FailedCalls, "outcome", outcome.String())
}

// deleteExpiredScaleIn deletes the record of terminated machines once no shard holds them and their late
// heartbeats can no longer arrive.
func (r *Reconciler) deleteExpiredScaleIn(name string, request *mirror.ScaleInEntry) {
	age := monotime.Micros(r.deps.Environment.WallClock() - request.Record.StateSince)
	if age < deletedMachineRetention {
		return
	}
	for _, id := range request.Record.Machines {
		if r.deps.Mirror.Machines[id] != nil {
			return
		}
	}
	key := storage.ScaleInKey(name)
	r.Commit(ratelimit.PriorityBackground, key, protocol.DeleteIfUnchanged(key, request.Version), nil)
}
