package shards

import (
	"pipitgap/internal/mapentry"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/resources"
)

// tracker holds the local state of an own shard: its unresolved commits and the age of its stale entries. The
// mirror doesn't contain this state.
type tracker struct {
	commitInFlightSince monotime.Micros // 0 if no commit is in flight
	// updatesInDoubt are the updates whose commits are in flight, or got no answer and may still be applied.
	// Each is conditional on a version of the shard. Its outcome is known only after the mirror shows another
	// version. A conflict of a later commit does not resolve an earlier one, because the earlier commit may
	// have caused the conflict.
	updatesInDoubt []*Update
	// staleSince is the time since which the shard has held entries of closed jobs or outdated start marks; 0
	// if it holds none.
	staleSince monotime.Micros
}

// idle reports whether the shard has no commit in flight and no update in doubt.
func (t *tracker) idle() bool { return t.commitInFlightSince == 0 && len(t.updatesInDoubt) == 0 }

// beginCommit records that the commit of an update is in flight.
func (t *tracker) beginCommit(update *Update, now monotime.Micros) {
	t.commitInFlightSince = max(now, 1)
	t.updatesInDoubt = append(t.updatesInDoubt, update)
}

// resolveUpdates removes the updates that are conditional on a version other than the shard's current one.
// Their commits were either applied or can no longer succeed.
func (t *tracker) resolveUpdates(version uint64) {
	t.retainUpdates(func(update *Update) bool { return update.previousVersion() == version })
}

// removeUpdate removes an update whose commit certainly failed.
func (t *tracker) removeUpdate(update *Update) {
	t.retainUpdates(func(other *Update) bool { return other != update })
}

// retainUpdates replaces updatesInDoubt by a new slice of the updates for which keep returns true.
func (t *tracker) retainUpdates(keep func(*Update) bool) {
	var kept []*Update
	for _, update := range t.updatesInDoubt {
		if keep(update) {
			kept = append(kept, update)
		}
	}
	t.updatesInDoubt = kept
}

// rewriteDue updates staleSince. It reports whether the shard should be rewritten only to drop stale entries,
// because no other change has come up within staleEntriesRewriteDelay.
func (t *tracker) rewriteDue(stale bool, now monotime.Micros) bool {
	switch {
	case !stale:
		t.staleSince = 0
	case t.staleSince == 0:
		t.staleSince = now
	default:
		return now-t.staleSince > staleEntriesRewriteDelay
	}
	return false
}

// trackerOf returns the tracker of an own shard and creates it if necessary.
func (m *Manager) trackerOf(shard string) *tracker {
	return mapentry.GetOrNew(m.trackers, shard)
}

// forgetIdleTrackers deletes the idle trackers of shards that no longer exist.
func (m *Manager) forgetIdleTrackers() {
	for name, t := range m.trackers {
		if t.idle() && m.mirror.Shards[name] == nil && m.newShards[name] == nil {
			delete(m.trackers, name)
		}
	}
}

// CommitInFlight reports whether any own shard has a commit in flight.
func (m *Manager) CommitInFlight() bool {
	for _, t := range m.trackers {
		if t.commitInFlightSince != 0 {
			return true
		}
	}
	return false
}

// ShouldAwaitCommit reports whether the next pass should wait for a commit that has been in flight for less than
// maxInFlightCommitWait. A pass skips shards with a commit in flight, so it cannot use the free resources of
// their machines.
func (m *Manager) ShouldAwaitCommit(now monotime.Micros) bool {
	for _, t := range m.trackers {
		if t.commitInFlightSince != 0 && now-t.commitInFlightSince < maxInFlightCommitWait {
			return true
		}
	}
	return false
}

// TasksInDoubt returns the tasks that an unresolved commit may have assigned. These tasks must not be assigned
// again before the outcome of the commit is known.
func (m *Manager) TasksInDoubt() map[mirror.TaskID]bool {
	tasks := map[mirror.TaskID]bool{}
	for _, t := range m.trackers {
		for _, update := range t.updatesInDoubt {
			for task := range update.assignedTasks {
				tasks[task] = true
			}
		}
	}
	return tasks
}

// UseInDoubt returns the resources that unresolved commits may have assigned to a team's tasks.
func (m *Manager) UseInDoubt(team string) resources.Vector {
	use := resources.Vector{}
	for _, t := range m.trackers {
		for _, update := range t.updatesInDoubt {
			use = use.Plus(update.assignedByTeam[team])
		}
	}
	return use
}

// machinesInDoubt returns the machines that an unresolved commit may have claimed.
func (m *Manager) machinesInDoubt() map[string]bool {
	machines := map[string]bool{}
	for _, t := range m.trackers {
		for _, update := range t.updatesInDoubt {
			for id := range update.admittedMachines {
				machines[id] = true
			}
		}
	}
	return machines
}
