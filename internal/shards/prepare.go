package shards

import (
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// Limits on the size of shards and on the rate of their writes.
const (
	// maxInFlightCommitWait bounds how long the next pass waits for a commit in flight.
	maxInFlightCommitWait = 600 * monotime.Millisecond
	// staleEntriesRewriteDelay is how long stale entries stay in a shard if no other change causes a write.
	staleEntriesRewriteDelay = 5 * monotime.Second
	// bytesPerMachine is the estimated size of a machine in an encoded shard, including its part of the job
	// identifiers.
	bytesPerMachine = 60
	// bytesPerCPU is the estimated size of the tasks on one CPU of a machine.
	bytesPerCPU = 7
	// maxFillFraction is the fraction of the state service's value size limit that assignments may fill.
	maxFillFraction = 0.95
)

// FillBytes returns the encoded size up to which a shard accepts assignments, given the value size limit of the
// state service.
func FillBytes(maxValueBytes int) int { return int(maxFillFraction * float64(maxValueBytes)) }

// PrepareUpdates prepares the next versions of all own shards without a commit in flight. New shards come last.
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

// prepareNew prepares an update of a shard whose creation isn't committed yet. It starts empty again: machines
// and tasks from an earlier failed update are not kept.
func (m *Manager) prepareNew(name string) *Update {
	update := m.newUpdate(name, nil, m.newShards[name])
	update.changed = true
	update.next.Machines = map[string]*storage.ShardMachine{}
	update.next.Jobs = map[string]*storage.ShardJob{}
	update.maxBytes = update.next.MaxEncodedSize()
	return update
}

// prepare prepares the next version of a shard. It releases ended attempts, removes deleted machines, corrects
// machine states and the start marks of replicas, and drops the entries of closed jobs.
func (m *Manager) prepare(shard *mirror.Shard, now monotime.Micros) *Update {
	update := m.newUpdate(shard.Name, shard, shard.Record.Clone())
	update.losses = m.drains.NewLosses()
	t := m.trackerOf(shard.Name)
	update.changed = len(t.updatesInDoubt) > 0 // any new version of the shard resolves the updates in doubt
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
		update.changed = true // an unfinished drain waits for the start marks
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

// scaledIn reports whether a completed scale-in request has deleted a machine.
func (m *Manager) scaledIn(machine string) bool {
	scaleIn := m.mirror.ScaleIns[m.mirror.ScaleInOfMachine[machine]]
	return scaleIn != nil && scaleIn.Record.Deleted
}

// releaseMachine removes a deleted machine and all attempts on it from a shard.
func (m *Manager) releaseMachine(update *Update, machine *mirror.Machine) {
	for task := range machine.Attempts {
		m.release(update, machine, task, false)
	}
	delete(update.next.Machines, machine.ID)
	update.changed = true
}

// refreshMachine releases the ended attempts of a machine, and corrects its state and the start marks of its
// replicas. It reports whether a start mark changed.
func (m *Manager) refreshMachine(update *Update, machine *mirror.Machine, now monotime.Micros) bool {
	m.agents.ForEachEndedAttempt(machine, func(task mirror.TaskID, completed bool) {
		m.release(update, machine, task, completed)
	})
	if desired := m.agents.DesiredState(machine); desired != machine.Record.State {
		update.next.SetMachineState(machine.ID, desired)
		update.changed = true
	}
	return m.drains.UpdateStartingMarks(update.next, machine, now)
}

// release removes an ended attempt from a shard and records it as a loss if it counts as one.
func (m *Manager) release(update *Update, machine *mirror.Machine, task mirror.TaskID, completed bool) {
	update.losses.Record(machine, task)
	update.release(machine.ID, task, completed, m.mirror.Jobs[task.Job])
}

// dropClosedJobs removes the entries of closed jobs without attempts from the next version of a shard. It
// reports whether it removed any.
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

// bytesForMachine estimates the encoded size of a fully used machine of a type.
func (m *Manager) bytesForMachine(typeName string) int {
	return bytesPerMachine + bytesPerCPU*int(m.machineType(typeName).CPUs)
}

// plannedBytes estimates the encoded size of a shard with all machines fully used. The size with empty machines
// would admit more machines than the shard has space for tasks.
func (m *Manager) plannedBytes(record *storage.Shard) int {
	bytes := 0
	for _, machine := range record.Machines {
		bytes += m.bytesForMachine(machine.Type)
	}
	return bytes
}
