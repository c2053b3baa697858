package shards

import (
	"pipitgap/internal/mapentry"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/resources"
)

// tracker is what is kept about an own shard beside the mirror.
type tracker struct {
	commitInFlightSince monotime.Micros // 0: no commit is in flight
	// Updates whose commits are in flight or got no answer, and may still be applied. Each is conditional on
	// a version of the shard; its outcome is known only once the mirror shows another version. A later commit
	// that fails settles nothing: it may have failed because of the first.
	updatesInDoubt []*Update
	// since when the shard holds entries of jobs that are over, or outdated marks; 0: it doesn't
	staleSince monotime.Micros
}

// idle reports whether nothing is in flight or in doubt.
func (t *tracker) idle() bool { return t.commitInFlightSince == 0 && len(t.updatesInDoubt) == 0 }

// beginCommit notes that the commit of an update is in flight.
func (t *tracker) beginCommit(update *Update, now monotime.Micros) {
	t.commitInFlightSince = max(now, 1)
	t.updatesInDoubt = append(t.updatesInDoubt, update)
}

// resolveUpdates forgets the updates that were conditional on another version than the shard's.
func (t *tracker) resolveUpdates(version uint64) {
	t.retainUpdates(func(update *Update) bool { return update.previousVersion() == version })
}

// removeUpdate forgets an update that is known not to have been committed.
func (t *tracker) removeUpdate(update *Update) {
	t.retainUpdates(func(other *Update) bool { return other != update })
}

// retainUpdates keeps the updates in doubt that a function selects, in a new slice.
func (t *tracker) retainUpdates(keep func(*Update) bool) {
	var kept []*Update
	for _, update := range t.updatesInDoubt {
		if keep(update) {
			kept = append(kept, update)
		}
	}
	t.updatesInDoubt = kept
}

// rewriteDue follows whether the shard's next version drops stale entries, and reports whether it should be
// written for these alone.
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

// trackerOf returns the tracker of an own shard, and makes it if there is none.
func (m *Manager) trackerOf(shard string) *tracker {
	return mapentry.GetOrNew(m.trackers, shard)
}

// forgetIdleTrackers drops the trackers of shards that no longer exist.
func (m *Manager) forgetIdleTrackers() {
	for name, t := range m.trackers {
		if t.idle() && m.mirror.Shards[name] == nil && m.newShards[name] == nil {
			delete(m.trackers, name)
		}
	}
}

// CommitInFlight reports whether a commit of any own shard is in flight.
func (m *Manager) CommitInFlight() bool {
	for _, t := range m.trackers {
		if t.commitInFlightSince != 0 {
			return true
		}
	}
	return false
}

// AwaitsCommit reports whether a commit in flight should be waited for before the next pass: one that places
// on some of the shards only would miss what the others have.
func (m *Manager) AwaitsCommit(now monotime.Micros) bool {
	for _, t := range m.trackers {
		if t.commitInFlightSince != 0 && now-t.commitInFlightSince < maxInFlightCommitWait {
			return true
		}
	}
	return false
}

// TasksInDoubt lists the tasks that a commit in doubt or in flight may have assigned: until that is settled
// they must not be assigned again.
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

// UseInDoubt is what commits in doubt or in flight may have assigned to a team's tasks.
func (m *Manager) UseInDoubt(team string) resources.Vector {
	use := resources.Vector{}
	for _, t := range m.trackers {
		for _, update := range t.updatesInDoubt {
			use = use.Plus(update.assignedByTeam[team])
		}
	}
	return use
}

// machinesInDoubt lists the machines that a commit in doubt or in flight may have claimed.
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
