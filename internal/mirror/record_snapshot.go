package mirror

import (
	"errors"
	"fmt"
	"slices"

	"pipitgap/internal/drain"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// StoreCaller makes a call to the state service and waits for its result.
type StoreCaller func(*protocol.StoreCall) protocol.StoreResult

// RecordSnapshot holds all records at one revision.
type RecordSnapshot struct {
	mirror       *Mirror
	machineTypes map[string]protocol.MachineType
	// DrainRegistryVersion is the version of the drain registry's record; 0 if the record doesn't exist yet.
	DrainRegistryVersion uint64
}

// ErrStoreUnavailable is returned if a call to the state service fails.
var ErrStoreUnavailable = errors.New("the state service doesn't answer")

// snapshotCallTimeout is the timeout of each call of ReadRecords.
const snapshotCallTimeout = 5 * monotime.Second

// ReadRecords returns all records at one revision. It reads the lists one after the other and then applies
// all changes since the first list page. txnOps is the maximum number of operations in a transaction of the
// state service. Errors wrap ErrStoreUnavailable.
func ReadRecords(call StoreCaller, txnOps int) (*RecordSnapshot, error) {
	snapshot := &RecordSnapshot{mirror: New(), machineTypes: map[string]protocol.MachineType{}}
	firstRevision, err := snapshot.readLists(call)
	if err != nil {
		return nil, err
	}
	if err := snapshot.readResults(call, comparesPerOp*txnOps); err != nil {
		return nil, err
	}
	if err := snapshot.readDrainRegistry(call); err != nil {
		return nil, err
	}
	return snapshot, snapshot.catchUp(call, firstRevision)
}

// callWithTimeout makes a call with a timeout of snapshotCallTimeout.
func (caller StoreCaller) callWithTimeout(call *protocol.StoreCall) protocol.StoreResult {
	call.Timeout = snapshotCallTimeout
	return caller(call)
}

// storeError returns the error for a call with an unexpected outcome.
func storeError(outcome protocol.Outcome) error {
	return fmt.Errorf("%w: %v", ErrStoreUnavailable, outcome)
}

// readLists reads all lists and returns the revision of the first page.
func (r *RecordSnapshot) readLists(call StoreCaller) (uint64, error) {
	firstRevision, started := uint64(0), false
	for _, kind := range listedKinds(true) {
		for after, more := "", true; more; {
			page := call.callWithTimeout(listCall(kind, after))
			if page.Outcome != protocol.OK {
				return 0, storeError(page.Outcome)
			}
			if !started {
				started, firstRevision = true, page.Revision
			}
			applyPage(r.mirror, page)
			after, more = nextPage(page)
		}
	}
	return firstRevision, nil
}

// readResults reads the results of those listed jobs that already have one. Each comparison covers up to
// maxCompares jobs.
func (r *RecordSnapshot) readResults(call StoreCaller, maxCompares int) error {
	for ids := range slices.Chunk(sortedmap.Keys(r.mirror.Jobs), maxCompares) {
		compared := call.callWithTimeout(compareResults(ids))
		if compared.Outcome != protocol.OK && compared.Outcome != protocol.Conflict {
			return storeError(compared.Outcome)
		}
		for _, key := range compared.Failed {
			result := call.callWithTimeout(&protocol.StoreCall{Op: protocol.StoreGet, Key: key})
			if result.Outcome != protocol.OK {
				return storeError(result.Outcome)
			}
			r.mirror.ApplyPut(key, result.Item.Value, result.Item.Version)
		}
	}
	return nil
}

// readDrainRegistry reads the version of the drain registry's record.
func (r *RecordSnapshot) readDrainRegistry(call StoreCaller) error {
	registry := call.callWithTimeout(&protocol.StoreCall{Op: protocol.StoreGet, Key: storage.DrainRegistryKey})
	switch registry.Outcome {
	case protocol.OK:
		r.DrainRegistryVersion = registry.Item.Version
	case protocol.NotFound:
	default:
		return storeError(registry.Outcome)
	}
	return nil
}

// catchUp applies all changes since a revision. It gets them from one watch that doesn't block.
func (r *RecordSnapshot) catchUp(call StoreCaller, sinceRevision uint64) error {
	r.mirror.WatchedRevision = sinceRevision
	watch := call.callWithTimeout(&protocol.StoreCall{
		Op:           protocol.StoreWatch,
		Key:          storage.KeyPrefix,
		FromRevision: sinceRevision,
	})
	if watch.Outcome != protocol.OK {
		return storeError(watch.Outcome)
	}
	r.mirror.ApplyEvents(watch.Events, watch.Revision)
	for _, event := range watch.Events {
		if event.Put == storage.DrainRegistryKey {
			r.DrainRegistryVersion = max(r.DrainRegistryVersion, event.Version)
		}
	}
	r.machineTypes = r.mirror.Catalog()
	return nil
}

// DrainSnapshot converts the records to the form that drain decisions use. wall is the wall clock time in
// microseconds. No job counts as failing: the records don't contain failures.
func (r *RecordSnapshot) DrainSnapshot(wall int64) *drain.Snapshot {
	builder := r.mirror.DrainSnapshotBuilder(wall, r.machineTypes, func(*Job) bool { return false })
	for _, id := range sortedmap.Keys(r.mirror.Machines) {
		if machine := r.mirror.Machines[id]; machine.Record != nil {
			builder.AddMachine(r.mirror.DrainSnapshotMachine(machine, r.machineTypes))
		}
	}
	return builder.Build()
}

// IsMember reports whether a controller has a member record.
func (r *RecordSnapshot) IsMember(node string) bool {
	_, member := r.mirror.Members[node]
	return member
}

// HasMachineType reports whether the records contain a machine type of the cloud.
func (r *RecordSnapshot) HasMachineType(name string) bool {
	_, ok := r.machineTypes[name]
	return ok
}

// NewestMachine returns the id of the most recently created machine that the records contain: the greatest
// id; "" if there is none.
func (r *RecordSnapshot) NewestMachine() string {
	newest := ""
	for id := range r.mirror.Machines {
		newest = max(newest, id)
	}
	for id := range r.mirror.ScaleOutOfMachine {
		newest = max(newest, id)
	}
	return newest
}
