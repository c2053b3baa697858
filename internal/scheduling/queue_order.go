package scheduling

import (
	"sort"

	"pipitgap/internal/storage"
)

const (
	// deadlineBoostWindowSeconds is how long before its next objective a late job goes before those in time.
	deadlineBoostWindowSeconds = 40.0
	// deadlineBoostMaxFraction is which fraction of what a team can use its late jobs may hold by that.
	deadlineBoostMaxFraction = 0.3
)

// QueuedJob is an open job with waiting tasks.
type QueuedJob struct {
	ID              string
	Spec            *storage.JobSpec
	AcceptedAt      int64   // time of day, microseconds
	UnassignedTasks int     // tasks that wait
	TaskCPUs        float64 // CPUs of each
}

// QueueEntry is a job with what decides its place in the queue.
type QueueEntry struct {
	Job               QueuedJob
	SlackSeconds      float64 // seconds that it may still wait and meet its next objective
	WaitingCPUSeconds float64 // CPU seconds of the tasks that wait
	MissedObjectives  int     // objectives that it can't meet any more
	DeadlineBoost     bool    // late, and soon past the next objective too
	WithinGuarantee   bool    // one more of its tasks lies within its team's guarantee
	Starved           bool    // see StartProgress
	CrashLooping      bool    // placed for an occasional trial only, after all others
}

// NeedsDeadlineBoost reports whether a job that has missed its first objectives is about to miss the next.
func NeedsDeadlineBoost(slack Slack) bool {
	return slack.IsLate() && slack.Seconds >= 0 && slack.Seconds < deadlineBoostWindowSeconds
}

// LeaveForTrials takes all precedence from a job in a crash loop.
func (e *QueueEntry) LeaveForTrials() {
	e.CrashLooping = true
	e.DeadlineBoost, e.WithinGuarantee, e.Starved = false, false, false
}

// Before orders jobs: higher priority first; of the same priority those first whose team doesn't yet use its
// guarantee, then those that can still meet the first of their objectives, then those that can meet the next,
// the least waiting work first; last, the oldest first, those that can meet none. Past what can be done,
// ordering by deadline would have every job end just after its own: a few large ones wait instead, not
// without limit, and the many others are in time. Those few must not wait for ever either: shortly before the
// next of its objectives passes, a job that is past its first ones goes before all that are in time. Before
// all other arrays, whatever their priority, comes a starved one, with a part of its tasks.
//
// The order isn't transitive: SortQueue's result depends on the order of its input.
func (e *QueueEntry) Before(other *QueueEntry) bool {
	if e.CrashLooping != other.CrashLooping {
		return other.CrashLooping
	}
	if e.Starved != other.Starved {
		if e.Starved {
			return !other.Job.Spec.Service
		}
		return e.Job.Spec.Service
	}
	if e.Job.Spec.Priority != other.Job.Spec.Priority {
		return e.Job.Spec.Priority > other.Job.Spec.Priority
	}
	if e.WithinGuarantee != other.WithinGuarantee {
		return e.WithinGuarantee
	}
	if e.DeadlineBoost != other.DeadlineBoost {
		return e.DeadlineBoost
	}
	if e.MissedObjectives != other.MissedObjectives && !e.DeadlineBoost {
		return e.MissedObjectives < other.MissedObjectives
	}
	if e.SlackSeconds >= 0 && other.SlackSeconds >= 0 && e.WaitingCPUSeconds != other.WaitingCPUSeconds {
		return e.WaitingCPUSeconds < other.WaitingCPUSeconds
	}
	if e.Job.AcceptedAt != other.Job.AcceptedAt {
		return e.Job.AcceptedAt < other.Job.AcceptedAt
	}
	return e.Job.ID < other.Job.ID
}

// SortQueue puts the most urgent job first.
func SortQueue(entries []QueueEntry) {
	sort.Slice(entries, func(a, b int) bool { return entries[a].Before(&entries[b]) })
}

// AnyDeadlineBoost reports whether LimitDeadlineBoost has anything to limit.
func AnyDeadlineBoost(entries []QueueEntry) bool {
	for i := range entries {
		if entries[i].DeadlineBoost {
			return true
		}
	}
	return false
}

// LateUsage is what late jobs hold, and what bounds it.
type LateUsage struct {
	FleetCPUs float64 // CPUs of all machines
	// CPUs that each team's late jobs hold; added to by LimitDeadlineBoost
	CPUsByTeam map[string]float64
	TeamMax    func(team string) float64 // a team's limit of CPUs; 0: none
}

// LimitDeadlineBoost leaves the boost, of each team's entries that have it, to those with the least work, as
// far as late jobs hold no more than a fraction of what the team can use. After a burst most that waits is
// late; if all of it went first, all that comes after would be late too. What they hold counts, not what
// waits: others are boosted as these end.
func LimitDeadlineBoost(entries []QueueEntry, usage LateUsage) {
	for _, entry := range boostedByWaitingWork(entries) {
		team := entry.Job.Spec.Team
		usableCPUs := usage.FleetCPUs
		if limit := usage.TeamMax(team); limit > 0 {
			usableCPUs = min(usableCPUs, limit)
		}
		if usage.CPUsByTeam[team] > deadlineBoostMaxFraction*usableCPUs {
			entry.DeadlineBoost = false
			continue
		}
		usage.CPUsByTeam[team] += float64(entry.Job.UnassignedTasks) * entry.Job.TaskCPUs
	}
}

// boostedByWaitingWork lists the boosted entries, those with the least waiting work first.
func boostedByWaitingWork(entries []QueueEntry) []*QueueEntry {
	var boosted []*QueueEntry
	for i := range entries {
		if entries[i].DeadlineBoost {
			boosted = append(boosted, &entries[i])
		}
	}
	sort.Slice(boosted, func(a, b int) bool {
		if boosted[a].WaitingCPUSeconds != boosted[b].WaitingCPUSeconds {
			return boosted[a].WaitingCPUSeconds < boosted[b].WaitingCPUSeconds
		}
		return boosted[a].Job.ID < boosted[b].Job.ID
	})
	return boosted
}
