// Package mirror holds a local replica of the records in the state service, with the sums that decisions
// need: which tasks are assigned and done, what each machine and team uses. A Mirror is written by one
// goroutine, which applies the changes of a watch in order and its own commits ahead of the watch; versions
// keep each record from going back.
package mirror

import (
	"pipitgap/internal/protocol"
	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

// Mirror is the replica of the records, with the sums that decisions need. Changes reach it by the watch, in
// order, and by this controller's own commits, which may be ahead of the watch; versions keep each record
// from going back. Other packages read its fields and write none.
type Mirror struct {
	WatchedRevision   uint64                      // the watch is complete up to here
	NewestRevision    uint64                      // the newest revision seen in any answer
	Jobs              map[string]*Job             // unfinished ones, by id
	Shards            map[string]*Shard           // by name
	Machines          map[string]*Machine         // by id
	UseByTeam         map[string]resources.Vector // resources of all attempts
	Partitions        map[string]*PartitionEntry  // by controller
	ScaleOuts         map[string]*ScaleOutEntry   // by name
	ScaleOutOfMachine map[string]string           // machine: the request that it came with
	ScaleIns          map[string]*ScaleInEntry    // by name
	ScaleInOfMachine  map[string]string           // machine: the scale-in request that names it
	MachineTypes      map[string]MachineTypeEntry // by name
	Members           map[string]MemberEntry      // by controller
	Leader            storage.Leader
	LeaderVersion     uint64                  // 0: there is no leader record
	Drains            map[string]DrainEntry   // by name
	PermitsByTeam     map[string]PermitsEntry // by team
	ownDeletions      map[string]uint64       // own deletions ahead of the watch
	Results           *ResultCache

	onChange          func(kind storage.Kind, name string)
	onMachineReleased func(id string)
	generation        int // how often it was replaced
}

// MaxOpenJobs is how many unfinished jobs a mirror is to hold; submissions beyond are rejected.
const MaxOpenJobs = 5000

// resultCacheCapacity is how many results of ended jobs a mirror keeps; older ones are read from the state
// service.
const resultCacheCapacity = 20000

// New makes an empty mirror.
func New() *Mirror {
	return &Mirror{
		Jobs:              map[string]*Job{},
		Shards:            map[string]*Shard{},
		Machines:          map[string]*Machine{},
		UseByTeam:         map[string]resources.Vector{},
		Partitions:        map[string]*PartitionEntry{},
		ScaleOuts:         map[string]*ScaleOutEntry{},
		ScaleOutOfMachine: map[string]string{},
		ScaleIns:          map[string]*ScaleInEntry{},
		ScaleInOfMachine:  map[string]string{},
		MachineTypes:      map[string]MachineTypeEntry{},
		Members:           map[string]MemberEntry{},
		Drains:            map[string]DrainEntry{},
		PermitsByTeam:     map[string]PermitsEntry{},
		ownDeletions:      map[string]uint64{},
		Results:           NewResultCache(resultCacheCapacity),
		onChange:          func(storage.Kind, string) {},
		onMachineReleased: func(string) {},
	}
}

// Observe sets what is called after each change of a record, and when a machine is in no shard any longer.
// They stay when the mirror is replaced.
func (m *Mirror) Observe(onChange func(kind storage.Kind, name string), onMachineReleased func(id string)) {
	m.onChange, m.onMachineReleased = onChange, onMachineReleased
}

// Generation changes when the mirror is replaced: what was requested of the state service for an earlier
// generation must not be applied to a later one.
func (m *Mirror) Generation() int { return m.generation }

// Replace takes over all records of a mirror that was loaded anew, complete up to the revision watched;
// newest is the newest revision seen. The callbacks stay, and aren't called. The loaded mirror must not be
// used afterwards.
func (m *Mirror) Replace(loaded *Mirror, watched, newest uint64) {
	onChange, onMachineReleased, generation := m.onChange, m.onMachineReleased, m.generation
	*m = *loaded
	m.onChange, m.onMachineReleased, m.generation = onChange, onMachineReleased, generation+1
	m.WatchedRevision, m.NewestRevision = watched, newest
}

// ApplyPut applies one record that was put, unless the mirror is newer.
func (m *Mirror) ApplyPut(key string, value protocol.Raw, version uint64) {
	m.ApplyRevision([]protocol.Event{{Put: key, Value: value, Version: version}}, false)
}

// ApplyDelete applies a deletion, unless the mirror is newer.
func (m *Mirror) ApplyDelete(key string, version uint64, ownCommit bool) {
	m.ApplyRevision([]protocol.Event{{Delete: key, Version: version}}, ownCommit)
}

// ApplyCommit brings a commit of this controller that succeeded into the mirror.
func (m *Mirror) ApplyCommit(txn *protocol.Transaction, revision uint64) {
	events := make([]protocol.Event, 0, len(txn.Then))
	for _, operation := range txn.Then {
		events = append(events, protocol.Event{
			Put:     operation.Put,
			Value:   operation.Value,
			Delete:  operation.Delete,
			Version: revision,
		})
	}
	m.ApplyRevision(events, true)
}

// ApplyEvents brings the result of a watch into the mirror.
func (m *Mirror) ApplyEvents(events []protocol.Event, revision uint64) {
	for len(events) > 0 {
		n := 1
		for n < len(events) && events[n].Version == events[0].Version {
			n++
		}
		m.ApplyRevision(events[:n], false)
		events = events[n:]
	}
	m.WatchedRevision = max(m.WatchedRevision, revision)
	m.NewestRevision = max(m.NewestRevision, revision)
	for key, deletedAt := range m.ownDeletions {
		if deletedAt <= m.WatchedRevision {
			delete(m.ownDeletions, key)
		}
	}
}

// change is an event that is newer than the mirror.
type change struct {
	kind      storage.Kind
	name      string
	event     protocol.Event
	nextShard *Shard // the shard that was put; nil for other kinds and for deletions
}

// ApplyRevision brings the changes of one revision into the mirror, each unless the mirror is newer already.
// All shards are removed from the sums before any is added: a machine that moves from one to another must
// not be added before it is removed. ownCommit says that the changes are a commit of this controller, which
// may be ahead of the watch.
func (m *Mirror) ApplyRevision(events []protocol.Event, ownCommit bool) {
	var changes []change
	for _, event := range events {
		if prepared, ok := m.prepareChange(event, ownCommit); ok {
			changes = append(changes, prepared)
		}
	}
	for i := range changes {
		m.applyChange(&changes[i])
		m.onChange(changes[i].kind, changes[i].name)
	}
}

// prepareChange reports whether an event is to be applied. If it is of a shard, the sums lose what it changes.
func (m *Mirror) prepareChange(event protocol.Event, ownCommit bool) (prepared change, ok bool) {
	m.NewestRevision = max(m.NewestRevision, event.Version)
	key := event.Put + event.Delete
	kind, name, ok := storage.SplitKey(key)
	if !ok || !m.isNewer(key, event, ownCommit) {
		return change{}, false
	}
	prepared = change{kind: kind, name: name, event: event}
	if kind != storage.KindShard {
		return prepared, true
	}
	previous := m.Shards[name]
	if event.Put != "" {
		if prepared.nextShard = decodeShard(name, event, previous); prepared.nextShard == nil {
			return change{}, false
		}
	}
	m.removeShard(previous, prepared.nextShard)
	return prepared, true
}

// isNewer reports whether an event is newer than the mirror, and notes own deletions that are ahead of the
// watch.
func (m *Mirror) isNewer(key string, event protocol.Event, ownCommit bool) bool {
	if event.Version <= m.WatchedRevision {
		// The event is from an answer that comes after a newer one: the watch has passed this change, and the
		// record may have been deleted since.
		return false
	}
	version := m.VersionOf(key)
	if event.Put == "" {
		if ownCommit {
			m.ownDeletions[key] = event.Version
		}
		return version != 0 && event.Version >= version
	}
	if event.Version <= version || event.Version <= m.ownDeletions[key] {
		return false
	}
	delete(m.ownDeletions, key)
	return true
}

// decodeShard reads a shard that was put; nil if it is malformed.
func decodeShard(name string, event protocol.Event, previous *Shard) *Shard {
	var previousRecord *storage.Shard
	if previous != nil {
		previousRecord = previous.Record
	}
	record, err := storage.DecodeShard(event.Value, previousRecord)
	if err != nil {
		return nil
	}
	return &Shard{Name: name, Record: record, Version: event.Version}
}

// applyChange puts a change into the mirror.
func (m *Mirror) applyChange(prepared *change) {
	switch {
	case prepared.nextShard != nil:
		m.addShard(m.Shards[prepared.name], prepared.nextShard)
	case prepared.kind == storage.KindShard:
		delete(m.Shards, prepared.name)
	case prepared.event.Put != "":
		m.applyRecordPut(prepared.kind, prepared.name, prepared.event)
	default:
		m.applyRecordDelete(prepared.kind, prepared.name)
	}
}
