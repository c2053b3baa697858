package drainer

import (
	"pipitgap/internal/autoscaling"
	"pipitgap/internal/drain"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/storage"
)

// updateDrainStates runs on the leader. It ends drains that have no machines left, pauses drains whose
// deadline has passed, and deletes the records of drains that ended more than drainRetention ago.
func (d *Drainer) updateDrainStates(snapshot *drain.Snapshot) {
	for _, record := range snapshot.Drains() {
		next, changed := snapshot.NextState(&record, d.expectsMachines(&record.Drain), int64(drainRetention))
		if changed {
			d.writeState(&record, next)
		}
	}
}

// writeState commits the next state of a drain, or deletes its record if next is nil.
func (d *Drainer) writeState(record *drain.DrainRecord, next *storage.Drain) {
	key, name := storage.DrainKey(record.Name), record.Name
	txn := protocol.DeleteIfUnchanged(key, record.Version)
	if next != nil {
		txn = protocol.PutIfUnchanged(key, record.Version, next)
	}
	d.deps.Store.CommitAsLeader(ratelimit.PriorityBackground, key, txn, func(result protocol.StoreResult) {
		if result.Outcome == protocol.OK && next != nil {
			d.deps.Log.Info("drain state changed",
				"drain", name, "drain_state", string(next.State), "reason", next.Reason)
		}
	})
}

// expectsMachines reports whether requested machines that a drain covers may still come up.
func (d *Drainer) expectsMachines(record *storage.Drain) bool {
	for _, request := range d.deps.Mirror.ScaleOuts {
		if request.Record.Phase == storage.ScaleOutNoCapacity {
			continue
		}
		for _, id := range autoscaling.MissingMachines(d.deps.Mirror, request) {
			scaleOut := &request.Record
			if drain.Covers(record, id, scaleOut.MachineType, scaleOut.Zone, scaleOut.Spot) {
				return true
			}
		}
	}
	return false
}
