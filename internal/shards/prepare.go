package shards

import (
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// Bounds of what shards hold and of how often they are written.
const (
	// maxInFlightCommitWait is how long a commit in flight holds the next pass up.
	maxInFlightCommitWait = 600 * monotime.Millisecond
	// staleEntriesRewriteDelay is how long stale entries wait for another change to go along with.
	staleEntriesRewriteDelay = 5 * monotime.Second
	// bytesPerMachine are the bytes that a machine takes in a shard, with its part of the jobs' identifiers.
	bytesPerMachine = 60
	// bytesPerCPU are the bytes that the tasks on one CPU of a machine take.
	bytesPerCPU = 7
	// maxFillFraction is the part of the state service's limit of a value up to which a shard is filled.
	maxFillFraction = 0.95
)

// FillBytes is how large a shard may get by assignments, of the bytes that the state service takes in a
// value.
func FillBytes(maxValueBytes int) int { return int(maxFillFraction * float64(maxValueBytes)) }

// PrepareUpdates prepares the next versions of all own shards that have no commit in flight, new ones last.
func (m *Manager) PrepareUpdates(now monotime.Micros) []*Update {
	m.forgetIdleTrackers()
	var updates []*Update
	for _, name := range sortedmap.Keys(m.mirror.Shards) {
		if shard := m.mirror.Shards[name]; m.Owns(shard) && m.trackerOf(name).commitInFlightSince == 0 {
			updates = append(updates, m.prepare(shard, now))
		}
	}
	for _, name := range sortedmap.Keys(m.newShards) {
		if m.trackerOf(name).commitInFlightSince == 0 {
			updates = append(updates, m.prepareNew(name))
		}
	}
	return updates
}

// prepareNew prepares the update of a new shard whose first commit hasn't been made: it is empty again.
func (m *Manager) prepareNew(name string) *Update {
	update := NewUpdate(name, nil, m.newShards[name])
	update.changed = true
	update.next.Machines = map[string]*storage.ShardMachine{}
	update.next.Jobs = map[string]*storage.ShardJob{}
	update.maxBytes = update.next.MaxEncodedSize()
	return update
}

// prepare prepares the next version of a shard: attempts that have ended are released, machines that are
// deleted are taken out, states and marks are corrected, and entries of jobs that are over are dropped.
func (m *Manager) prepare(shard *mirror.Shard, now monotime.Micros) *Update {
	update := NewUpdate(shard.Name, shard, shard.Record.Clone())
	update.losses = m.drains.NewLosses()
	t := m.trackerOf(shard.Name)
	update.changed = len(t.updatesInDoubt) > 0 // a new version of the shard settles their outcomes
	marksChanged := false
	for _, id := range sortedmap.Keys(shard.Record.Machines) {
		machine := m.mirror.Machines[id]
		if machine == nil || machine.Shard != shard {
			continue
		}
		if m.scaledIn(id) {
			m.releaseMachine(update, machine)
			continue
		}
		if m.agents.Has(machine) && m.refreshMachine(update, machine, now) {
			marksChanged = true
		}
	}
	stale := m.dropClosedJobs(update, shard)
	if marksChanged && m.drains.HasWork() {
		update.changed = true // a drain waits for the marks
	} else if marksChanged {
		stale = true
	}
	if t.rewriteDue(stale, now) {
		update.changed = true
	}
	update.maxBytes = update.next.MaxEncodedSize()
	update.plannedBytes = m.plannedBytes(update.next)
	return update
}

// scaledIn reports whether a scale-in request says that a machine is deleted.
func (m *Manager) scaledIn(machine string) bool {
	scaleIn := m.mirror.ScaleIns[m.mirror.ScaleInOfMachine[machine]]
	return scaleIn != nil && scaleIn.Record.Deleted
}

// releaseMachine takes a deleted machine out of a shard, with all that it held.
func (m *Manager) releaseMachine(update *Update, machine *mirror.Machine) {
	for task := range machine.Attempts {
		m.release(update, machine, task, false)
	}
	delete(update.next.Machines, machine.ID)
	update.changed = true
}

// refreshMachine releases the attempts of a machine that have ended, and corrects its state and the marks of
// its replicas; it reports whether a mark has changed.
func (m *Manager) refreshMachine(update *Update, machine *mirror.Machine, now monotime.Micros) bool {
	m.agents.EachEndedAttempt(machine, func(task mirror.TaskID, completed bool) {
		m.release(update, machine, task, completed)
	})
	if desired := m.agents.DesiredState(machine); desired != machine.Record.State {
		update.next.SetMachineState(machine.ID, desired)
		update.changed = true
	}
	return m.drains.UpdateStartingMarks(update.next, machine, now)
}

// release takes an attempt that has ended out of a shard.
func (m *Manager) release(update *Update, machine *mirror.Machine, task mirror.TaskID, completed bool) {
	update.losses.Record(machine, task)
	update.release(machine.ID, task, completed, m.mirror.Jobs[task.Job])
}

// dropClosedJobs drops the entries of jobs that are over and hold nothing in a shard any more; it tells
// whether there were any.
func (m *Manager) dropClosedJobs(update *Update, shard *mirror.Shard) bool {
	dropped := false
	for id, entry := range shard.Record.Jobs {
		if m.mirror.Jobs[id] == nil && len(entry.Attempts) == 0 && m.mirror.WatchedRevision >= shard.Version {
			delete(update.next.Jobs, id)
			dropped = true
		}
	}
	return dropped
}

// bytesForMachine is the room that a machine of a type needs in a shard once it is full.
func (m *Manager) bytesForMachine(typeName string) int {
	return bytesPerMachine + bytesPerCPU*int(m.machineType(typeName).CPUs)
}

// plannedBytes is the room that a shard's machines need once they are full. By what they take while they are
// empty, a shard would get more machines than it has room for the tasks of.
func (m *Manager) plannedBytes(record *storage.Shard) int {
	bytes := 0
	for _, machine := range record.Machines {
		bytes += m.bytesForMachine(machine.Type)
	}
	return bytes
}
