// Package mirror holds a local replica of the records in the state service, with the aggregates that
// decisions need: which tasks are assigned and done, and which resources each machine and team uses. Only one
// goroutine writes a Mirror. It applies the changes of a watch in order, and the controller's own commits
// possibly before the watch delivers them. Record versions keep an older change from overwriting a newer one.
package mirror

import (
	"pipitgap/internal/protocol"
	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

// Mirror is the replica of the records, with the aggregates that decisions need. See the package comment for
// the order of changes. Other packages only read its fields, except that package placement adds the images of
// tasks that it assigns to Machine.CachedImages.
type Mirror struct {
	WatchedRevision   uint64                      // all changes up to this revision are applied
	NewestRevision    uint64                      // the newest revision seen in a load, watch or own commit
	Jobs              map[string]*Job             // jobs with an open record, by id
	Shards            map[string]*Shard           // by name
	Machines          map[string]*Machine         // by id
	UsageByTeam       map[string]resources.Vector // resources of all attempts, by team
	Partitions        map[string]*PartitionEntry  // by controller
	ScaleOuts         map[string]*ScaleOutEntry   // by name
	ScaleOutOfMachine map[string]string           // by machine: the scale-out request that names it
	ScaleIns          map[string]*ScaleInEntry    // by name
	ScaleInOfMachine  map[string]string           // by machine: the scale-in request that names it
	MachineTypes      map[string]MachineTypeEntry // by name
	Members           map[string]MemberEntry      // by controller
	Leader            storage.Leader
	LeaderVersion     uint64                  // 0: there is no leader record
	Drains            map[string]DrainEntry   // by name
	PermitsByTeam     map[string]PermitsEntry // by team
	ownDeletions      map[string]uint64       // by key: revision of an own deletion ahead of the watch
	Results           *ResultCache

	onChange          func(kind storage.Kind, name string, ownCommit bool)
	onMachineReleased func(id string)
	generation        int // number of calls of Replace
}

// MaxOpenJobs is the maximum number of unfinished jobs. Submissions are rejected while the mirror holds this
// many.
const MaxOpenJobs = 5000

// resultCacheCapacity is the number of results of ended jobs that a mirror keeps. Older results must be read
// from the state service.
const resultCacheCapacity = 20000

// New returns an empty mirror.
func New() *Mirror {
	return &Mirror{
		Jobs:              map[string]*Job{},
		Shards:            map[string]*Shard{},
		Machines:          map[string]*Machine{},
		UsageByTeam:       map[string]resources.Vector{},
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
		onChange:          func(storage.Kind, string, bool) {},
		onMachineReleased: func(string) {},
	}
}

// Observe sets two callbacks: onChange is called after each change of a record, onMachineReleased when the
// shard that held a machine no longer does. ownCommit reports whether this controller's own commit, and not a
// watch, has brought the change. Replace keeps both callbacks.
func (m *Mirror) Observe(
	onChange func(kind storage.Kind, name string, ownCommit bool),
	onMachineReleased func(id string),
) {
	m.onChange, m.onMachineReleased = onChange, onMachineReleased
}

// Generation returns a number that changes with each Replace. A response to a request that was sent in an
// earlier generation must not be applied to the mirror.
func (m *Mirror) Generation() int { return m.generation }

// Replace replaces all records by those of loaded, a mirror that is complete up to the revision watched.
// newest is the newest revision seen. Replace keeps the callbacks and doesn't call them. The caller must not
// use loaded afterwards.
func (m *Mirror) Replace(loaded *Mirror, watched, newest uint64) {
	onChange, onMachineReleased, generation := m.onChange, m.onMachineReleased, m.generation
	*m = *loaded
	m.onChange, m.onMachineReleased, m.generation = onChange, onMachineReleased, generation+1
	m.WatchedRevision, m.NewestRevision = watched, newest
}

// ApplyPut applies the put of one record unless the mirror is newer.
func (m *Mirror) ApplyPut(key string, value protocol.Raw, version uint64) {
	m.ApplyRevision([]protocol.Event{{Put: key, Value: value, Version: version}}, false)
}

// ApplyPutsAhead applies puts of any revisions ahead of the watch, except those that are older than the mirror's
// records. It reports the changes after it has applied all of them.
func (m *Mirror) ApplyPutsAhead(events []protocol.Event) {
	var changes []change
	for _, event := range events {
		if prepared, ok := m.prepareChange(event, false); ok {
			changes = append(changes, prepared)
		}
	}
	for i := range changes {
		m.applyChange(&changes[i])
	}
	for i := range changes {
		m.onChange(changes[i].kind, changes[i].name, false)
	}
}

// ApplyDelete applies the deletion of one record unless the mirror is newer. ownCommit reports whether this
// controller committed the deletion.
func (m *Mirror) ApplyDelete(key string, version uint64, ownCommit bool) {
	m.ApplyRevision([]protocol.Event{{Delete: key, Version: version}}, ownCommit)
}

// ApplyCommit applies a successful commit of this controller.
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

// ApplyEvents applies the response of a watch: events in the order of their revisions, complete up to the
// given revision.
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

// change is an event to apply because it is newer than the mirror.
type change struct {
	kind      storage.Kind
	name      string
	event     protocol.Event
	nextShard *Shard // the decoded shard of a put; nil for other kinds and for deletions
}

// ApplyRevision applies the changes of one revision, except those that are older than the mirror's record. It
// subtracts all changed shards from the aggregates before it adds any: a machine that moves between shards
// must not be added to the new shard before it is removed from the old one. ownCommit reports whether the
// changes are a commit of this controller, which may be ahead of the watch.
func (m *Mirror) ApplyRevision(events []protocol.Event, ownCommit bool) {
	var changes []change
	for _, event := range events {
		if prepared, ok := m.prepareChange(event, ownCommit); ok {
			changes = append(changes, prepared)
		}
	}
	for i := range changes {
		m.applyChange(&changes[i])
		m.onChange(changes[i].kind, changes[i].name, ownCommit)
	}
}

// prepareChange returns the change that an event makes; ok is false if the event must be ignored. For a shard
// it also subtracts the replaced contents from the aggregates.
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

// isNewer reports whether an event is newer than the mirror's version of the key. It also records own
// deletions that are ahead of the watch, so that a late event with an older put can't restore the record.
func (m *Mirror) isNewer(key string, event protocol.Event, ownCommit bool) bool {
	if event.Version <= m.WatchedRevision {
		// The event's response arrived after a newer response. The watch has already passed this change, and
		// the record may have been deleted since.
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

// decodeShard decodes the shard of a put; it returns nil if the value is malformed.
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

// applyChange applies a prepared change to the records and the aggregates.
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
