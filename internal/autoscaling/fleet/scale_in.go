package fleet

import (
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// Bounds of scale-in.
const (
	maxMachinesPerScaleIn = 100 // machines of one request
	scaleInInterval       = 1 * monotime.Second
	// deletedMachineRetention is how long late heartbeats of terminated machines are expected.
	deletedMachineRetention = 10 * monotime.Minute
)

// Size of a scale-in request's encoding, at most.
const (
	scaleInRecordBytes  = 64 // without its machines
	scaleInMachineBytes = 3  // of each machine beside its id
)

// scaleInCommitKey lets one scale-in request be written at a time.
const scaleInCommitKey = "removals"

// reconcileScaleIns has machines terminated: those that their controllers want removed, and those that
// failed. One record and one call are for many machines. The record is written before the call, and says
// afterwards that the machines are terminated.
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

// removableMachines lists the machines that are to be terminated and that no request is for yet.
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

// requestScaleIn writes a request for as many of the machines as its record can hold.
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

// deleteMachines makes the cloud call of a request.
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

// recordDeletion writes what came of a request's call.
func (r *Reconciler) recordDeletion(name string, request *mirror.ScaleInEntry, outcome protocol.Outcome) {
	record := request.Record
	switch outcome {
	case protocol.OK:
		// This is the proof that the machines, and everything on them, are terminated.
		record.Deleted, record.StateSince = true, r.deps.Environment.WallClock()
	case protocol.Throttled, protocol.Unavailable:
		return // says nothing about the machines
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

// countFailedDeletion counts a failed call. After several of them the request is flagged as failed and tried
// at long intervals.
func (r *Reconciler) countFailedDeletion(
	name string,
	record *storage.ScaleInRequest,
	outcome protocol.Outcome,
) {
	record.Attempts++
	if record.Attempts < r.cfg.Settings.ScaleInAttempts {
		return
	}
	record.Failed = true
	r.term.scaleInRetryAt[name] = r.now() + r.cfg.Settings.ScaleInRetryInterval.Micros()
	r.deps.Log.Error("machine deletion failed", "scale_in", name, "machines", len(record.Machines),
		"tries", record.Attempts, "outcome", outcome.String())
}

// deleteExpiredScaleIn deletes the record of terminated machines once no shard has them and none of their late
// heartbeats is to be expected.
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
