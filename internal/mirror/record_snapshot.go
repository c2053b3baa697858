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

// StoreCaller makes a call of the state service and waits for its answer.
type StoreCaller func(*protocol.StoreCall) protocol.StoreResult

// RecordSnapshot is all records as they stood at one revision.
type RecordSnapshot struct {
	mirror       *Mirror
	machineTypes map[string]protocol.MachineType
	// DrainRegistryVersion is the version of the registry of drains, 0 if there is none yet.
	DrainRegistryVersion uint64
}

// ErrStoreUnavailable says that the state service couldn't be read.
var ErrStoreUnavailable = errors.New("the state service doesn't answer")

// Bounds of a reading.
const (
	snapshotPageSize    = 500
	snapshotCallTimeout = 5 * monotime.Second
)

// Kinds are the records that every mirror holds; the answers of finished jobs aren't.
var Kinds = []string{
	storage.KindScaleOut, storage.KindLeader, storage.KindMember, storage.KindOpenJob,
	storage.KindShard, storage.KindPartition, storage.KindScaleIn, storage.KindMachineType,
}

// DrainKinds are those that a mirror holds as well where drains are turned on.
var DrainKinds = []string{storage.KindDrain, storage.KindPermits}

// ReadRecords reads all records and brings them to one revision: the lists are read one after the
// other, then all changes since the first are applied.
func ReadRecords(call StoreCaller, txnOps int) (*RecordSnapshot, error) {
	s := &RecordSnapshot{mirror: New(), machineTypes: map[string]protocol.MachineType{}}
	firstRevision, err := s.readLists(call)
	if err != nil {
		return nil, err
	}
	if err := s.readResults(call, 4*txnOps); err != nil {
		return nil, err
	}
	registry := call(
		&protocol.StoreCall{
			Op:      protocol.StoreGet,
			Key:     storage.DrainRegistryKey,
			Timeout: snapshotCallTimeout,
		},
	)
	switch registry.Outcome {
	case protocol.OK:
		s.DrainRegistryVersion = registry.Item.Version
	case protocol.NotFound:
	default:
		return nil, fmt.Errorf("%w: %v", ErrStoreUnavailable, registry.Outcome)
	}
	return s, s.catchUp(call, firstRevision)
}

// readLists reads all lists and gives the revision of the first.
func (r *RecordSnapshot) readLists(call StoreCaller) (uint64, error) {
	firstRevision, started := uint64(0), false
	for _, kind := range slices.Concat(Kinds, DrainKinds) {
		for after, more := "", true; more; {
			page := call(
				&protocol.StoreCall{
					Op:      protocol.StoreList,
					Key:     storage.Key(kind, ""),
					After:   after,
					Limit:   snapshotPageSize,
					Timeout: snapshotCallTimeout,
				},
			)
			if page.Outcome != protocol.OK {
				return 0, fmt.Errorf("%w: %v", ErrStoreUnavailable, page.Outcome)
			}
			if !started {
				started, firstRevision = true, page.Revision
			}
			for _, item := range page.Items {
				r.mirror.ApplyPut(item.Key, item.Value, item.Version)
				after = item.Key
			}
			more = page.More && len(page.Items) > 0
		}
	}
	return firstRevision, nil
}

// readResults finds which of the listed jobs are over: answers can't be listed, so the versions
// of as many as a commit can name are compared at a time.
func (r *RecordSnapshot) readResults(call StoreCaller, mostConditions int) error {
	ids := sortedmap.Keys(r.mirror.Jobs)
	for len(ids) > 0 {
		n := min(len(ids), mostConditions)
		txn := protocol.Transaction{}
		for _, id := range ids[:n] {
			txn.If = append(txn.If, protocol.Compare{Key: storage.Key(storage.KindJobResult, id)})
		}
		ids = ids[n:]
		compared := call(
			&protocol.StoreCall{Op: protocol.StoreCommit, Transaction: txn, Timeout: snapshotCallTimeout},
		)
		if compared.Outcome != protocol.OK && compared.Outcome != protocol.Conflict {
			return fmt.Errorf("%w: %v", ErrStoreUnavailable, compared.Outcome)
		}
		for _, key := range compared.Failed {
			answer := call(&protocol.StoreCall{Op: protocol.StoreGet, Key: key, Timeout: snapshotCallTimeout})
			if answer.Outcome != protocol.OK {
				return fmt.Errorf("%w: %v", ErrStoreUnavailable, answer.Outcome)
			}
			r.mirror.ApplyPut(key, answer.Item.Value, answer.Item.Version)
		}
	}
	return nil
}

// catchUpWatch applies all changes since a revision.
func (r *RecordSnapshot) catchUp(call StoreCaller, sinceRevision uint64) error {
	r.mirror.WatchedRevision = sinceRevision
	watch := call(
		&protocol.StoreCall{
			Op:           protocol.StoreWatch,
			Key:          storage.KeyPrefix,
			FromRevision: sinceRevision,
			Timeout:      snapshotCallTimeout,
		},
	)
	if watch.Outcome != protocol.OK {
		return fmt.Errorf("%w: %v", ErrStoreUnavailable, watch.Outcome)
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

// DrainSnapshot gives the reading in the form in which drains are decided.
func (r *RecordSnapshot) DrainSnapshot(wall int64) *drain.Snapshot {
	b := r.mirror.DrainSnapshotBuilder(wall, r.machineTypes, func(*Job) bool { return false })
	for _, id := range sortedmap.Keys(r.mirror.Machines) {
		if machine := r.mirror.Machines[id]; machine.Record != nil {
			b.AddMachine(r.mirror.DrainSnapshotMachine(machine, r.machineTypes))
		}
	}
	return b.Build()
}

// IsMember tells whether a controller is a member.
func (r *RecordSnapshot) IsMember(node string) bool {
	_, member := r.mirror.Members[node]
	return member
}

// HasMachineType tells whether the cloud has a machine type.
func (r *RecordSnapshot) HasMachineType(name string) bool {
	_, ok := r.machineTypes[name]
	return ok
}

// NewestMachine is the machine that was rented last, as far as is known; "" if there is none.
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
