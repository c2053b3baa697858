package fleet

import (
	"slices"

	"pipitgap/internal/autoscaling"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// maxMachinesPerScaleOut bounds the number of machines of one request.
const maxMachinesPerScaleOut = 50

// scaleOutNamePrefix is the prefix of the names of scale-out requests.
const scaleOutNamePrefix = "r-"

// newScaleOutKey returns a unique key for a new scale-out request.
func (r *Reconciler) newScaleOutKey() string {
	return storage.ScaleOutKey(scaleOutNamePrefix + r.nextRequestName())
}

// unfilledKeySuffix, appended to a request's key, is the key of the record that quarantines the request's
// offer after the cloud provided fewer machines than requested.
const unfilledKeySuffix = "-rest"

// reconcileScaleOuts runs the next step of every scale-out request: the cloud call, the end of the offer's
// quarantine, or the supervision of booting machines.
func (r *Reconciler) reconcileScaleOuts(now monotime.Micros) {
	wallClock := r.deps.Environment.WallClock()
	for _, name := range sortedmap.Keys(r.deps.Mirror.ScaleOuts) {
		request := r.deps.Mirror.ScaleOuts[name]
		age := monotime.Micros(wallClock - request.Record.PhaseSince)
		switch request.Record.Phase {
		case storage.ScaleOutPending:
			if !r.term.scaleOutInFlight[name] && now >= r.term.scaleOutRetryAt[name] && r.mayCallCloud(now) {
				r.callScaleOut(name, request)
			}
		case storage.ScaleOutNoCapacity:
			if age > r.cfg.Settings.OfferQuarantine.Micros() {
				r.term.backoffs.NoteOfferRecovery()
				key := storage.ScaleOutKey(name)
				txn := protocol.DeleteIfUnchanged(key, request.Version)
				r.Commit(ratelimit.PriorityBackground, key, txn, nil)
			}
		case storage.ScaleOutProvisioning:
			r.reconcileProvisioning(name, request, age)
		}
	}
}

// reconcileProvisioning deletes a request whose machines are all up. It requests the scale-in of machines
// that aren't up within the readiness timeout. If the designated controller of a missing machine isn't
// connected, it replaces the controllers that may claim the machines with the connected ones.
func (r *Reconciler) reconcileProvisioning(name string, request *mirror.ScaleOutEntry, age monotime.Micros) {
	key := storage.ScaleOutKey(name)
	missing := autoscaling.MissingMachines(r.deps.Mirror, request)
	connected := r.deps.Controllers.Connected()
	unclaimable := slices.ContainsFunc(missing, func(id string) bool {
		return !slices.Contains(connected, r.deps.Controllers.DesignatedController(request, id))
	})
	switch {
	case len(missing) == 0 && r.deps.Mirror.WatchedRevision >= request.Version:
		r.Commit(ratelimit.PriorityBackground, key, protocol.DeleteIfUnchanged(key, request.Version), nil)
	case age > r.cfg.Settings.ReadinessTimeout.Micros():
		r.removeMissing(name, request, missing)
	case unclaimable && len(connected) > 0:
		record := request.Record
		record.LiveControllers, record.DesignatedControllers = connected, nil
		txn := protocol.PutIfUnchanged(key, request.Version, &record)
		r.Commit(ratelimit.PriorityShardUpdate, key, txn, nil)
	}
}

// removeMissing replaces a scale-out request with a scale-in request for its machines that aren't up. Once
// the scale-out request is deleted, no controller may claim these machines.
func (r *Reconciler) removeMissing(name string, request *mirror.ScaleOutEntry, missing []string) {
	key := storage.ScaleOutKey(name)
	scaleInKey := storage.ScaleInKey(r.nextRequestName())
	scaleIn := storage.ScaleInRequest{Machines: missing, StateSince: r.deps.Environment.WallClock()}
	txn := protocol.DeleteIfUnchanged(key, request.Version)
	txn.If = append(txn.If, protocol.Compare{Key: scaleInKey, Version: 0})
	txn.Then = append(txn.Then, protocol.Op{Put: scaleInKey, Value: protocol.MustMarshal(&scaleIn)})
	r.Commit(ratelimit.PriorityBackground, key, txn, func(result protocol.StoreResult) {
		if result.Outcome == protocol.OK {
			r.deps.Log.Info("machines not ready in time, scale-in requested",
				"scale_out", name, "machines", len(missing),
				"machine_type", request.Record.MachineType, "zone", request.Record.Zone)
		}
	})
}

// callScaleOut makes the cloud call of a scale-out request. A new leader repeats the same call under the same
// name, and the cloud gives the same answer.
func (r *Reconciler) callScaleOut(name string, request *mirror.ScaleOutEntry) {
	r.term.scaleOutInFlight[name] = true
	call := protocol.CloudCall{Op: protocol.CloudCreateMachines, Create: protocol.CreateMachinesRequest{
		Name:  name,
		Type:  request.Record.MachineType,
		Zone:  request.Record.Zone,
		Spot:  request.Record.Spot,
		Count: request.Record.Count,
	}}
	r.callCloud(call, func(result protocol.CloudResult) {
		delete(r.term.scaleOutInFlight, name)
		r.term.scaleOutRetryAt[name] = r.now() + cloudRetryDelay
		r.noteCloudOutcome(result.Outcome)
		r.recordScaleOut(name, request, result)
	})
}

// recordScaleOut writes the outcome of a scale-out request's cloud call to its record. The outcomes
// Throttled, Unavailable and Unknown give no information about the offer, so the record stays unchanged and
// the call is repeated.
func (r *Reconciler) recordScaleOut(name string, request *mirror.ScaleOutEntry, result protocol.CloudResult) {
	record := request.Record
	switch {
	case result.Outcome == protocol.OK && len(result.Created) > 0:
		record.Phase, record.Machines = storage.ScaleOutProvisioning, result.Created
		record.LiveControllers = r.deps.Controllers.Connected()
		r.deps.Log.Info("scale-out completed", "scale_out", name,
			"machine_type", record.MachineType, "zone", record.Zone, "spot", record.Spot,
			"requested", record.Count, "machines", len(result.Created))
	case result.Outcome == protocol.OK, result.Outcome == protocol.NoCapacity:
		record.Phase = storage.ScaleOutNoCapacity
		r.deps.Log.Info("insufficient capacity, offer quarantined",
			"machine_type", record.MachineType, "zone", record.Zone, "spot", record.Spot)
	case result.Outcome == protocol.Rejected:
		record.Phase = storage.ScaleOutNoCapacity
		r.deps.Log.Error("scale-out request rejected", "scale_out", name, "machine_type", record.MachineType)
	default:
		return
	}
	record.PhaseSince = r.deps.Environment.WallClock()
	key := storage.ScaleOutKey(name)
	txn := protocol.PutIfUnchanged(key, request.Version, &record)
	if record.Phase == storage.ScaleOutProvisioning && len(result.Created) < record.Count {
		unfilled := storage.ScaleOutRequest{
			Phase:       storage.ScaleOutNoCapacity,
			MachineType: record.MachineType,
			Zone:        record.Zone,
			Spot:        record.Spot,
			PhaseSince:  record.PhaseSince,
		}
		txn.Then = append(txn.Then,
			protocol.Op{Put: key + unfilledKeySuffix, Value: protocol.MustMarshal(&unfilled)})
	}
	r.Commit(ratelimit.PriorityShardUpdate, key, txn, nil)
}

// requestScaleOut writes scale-out requests for the machines of an offer. The cloud call of each request
// follows after its record is written.
func (r *Reconciler) requestScaleOut(scaleOut autoscaling.ScaleOut) {
	for remaining := scaleOut.Machines; remaining > 0; remaining -= maxMachinesPerScaleOut {
		key := r.newScaleOutKey()
		record := storage.ScaleOutRequest{
			Phase:       storage.ScaleOutPending,
			MachineType: scaleOut.MachineType,
			Zone:        scaleOut.Zone,
			Spot:        scaleOut.Spot,
			Count:       min(remaining, maxMachinesPerScaleOut),
			PhaseSince:  r.deps.Environment.WallClock(),
		}
		txn := protocol.PutIfUnchanged(key, 0, &record)
		r.Commit(ratelimit.PriorityShardUpdate, key, txn, func(result protocol.StoreResult) {
			if result.Outcome == protocol.OK {
				r.reconcileScaleOuts(r.now())
			}
		})
	}
}
