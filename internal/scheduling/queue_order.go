package scheduling

import (
	"sort"

	"pipitgap/internal/storage"
)

const (
	// deadlineBoostWindowSeconds is how long before it misses its next objective a late job gets the boost.
	deadlineBoostWindowSeconds = 40.0
	// deadlineBoostMaxFraction limits the CPUs of a team's late jobs, as a fraction of the CPUs that the team
	// can use. Above the limit, no more of the team's jobs get the boost.
	deadlineBoostMaxFraction = 0.3
)

// QueuedJob is an open job that has waiting tasks.
type QueuedJob struct {
	ID              string
	Spec            *storage.JobSpec
	AcceptedAt      int64   // wall clock time in microseconds
	UnassignedTasks int     // number of waiting tasks
	TaskCPUs        float64 // CPUs of each task
}

// QueueEntry is a job with the properties that determine its position in the queue.
type QueueEntry struct {
	Job               QueuedJob
	SlackSeconds      float64 // how long the job can still wait and meet its next objective
	WaitingCPUSeconds float64 // expected CPU seconds of the waiting tasks
	MissedObjectives  int     // number of objectives that the job can no longer meet
	DeadlineBoost     bool    // the job is late and about to miss its next objective too
	WithinGuarantee   bool    // one more task of the job is within its team's guarantee
	Starved           bool    // the array is starved, see StartProgress
	CrashLooping      bool    // the job only gets occasional trials, after all other jobs
}

// NeedsDeadlineBoost reports whether a job is late and about to miss its next objective.
func NeedsDeadlineBoost(slack Slack) bool {
	return slack.IsLate() && slack.Seconds >= 0 && slack.Seconds < deadlineBoostWindowSeconds
}

// DemoteToTrials marks the job as crash-looping and removes its boost and its other precedence.
func (e *QueueEntry) DemoteToTrials() {
	e.CrashLooping = true
	e.DeadlineBoost, e.WithinGuarantee, e.Starved = false, false, false
}

// Before reports whether e goes before other in the queue. It compares, in this order:
//
//   - Crash-looping jobs go last.
//   - A starved array goes before all other arrays, regardless of priority, with a fraction of its tasks.
//   - Higher priority goes first.
//   - Jobs whose team doesn't use its full guarantee yet go first.
//   - Boosted jobs go first. A job that has missed its first objectives is boosted shortly before it misses the
//     next one, so that large jobs don't wait forever.
//   - Otherwise, jobs that have missed fewer objectives go first.
//   - If neither job has missed all of its objectives, the one with the least waiting work goes first.
//   - The job that was accepted first goes first, then the one with the smaller ID.
//
// Under overload, earliest deadline first would finish every job just after its deadline. Least work first
// instead delays a few large jobs, for a limited time, and the many other jobs finish in time.
//
// The order isn't transitive, so the result of SortQueue depends on the order of its input.
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

// SortQueue sorts the entries with Before, most urgent first.
func SortQueue(entries []QueueEntry) {
	sort.Slice(entries, func(a, b int) bool { return entries[a].Before(&entries[b]) })
}

// AnyDeadlineBoost reports whether any entry has the boost. If none has, LimitDeadlineBoost does nothing.
func AnyDeadlineBoost(entries []QueueEntry) bool {
	for i := range entries {
		if entries[i].DeadlineBoost {
			return true
		}
	}
	return false
}

// LateUsage holds the CPUs that late jobs use and the amounts from which LimitDeadlineBoost derives their
// limits.
type LateUsage struct {
	FleetCPUs float64 // CPUs of all machines
	// CPUsByTeam is the number of CPUs that each team's late jobs hold. LimitDeadlineBoost adds to it.
	CPUsByTeam map[string]float64
	TeamMax    func(team string) float64 // a team's CPU limit, 0 if it has none
}

// LimitDeadlineBoost removes the boost from entries so that each team's late jobs hold at most about
// deadlineBoostMaxFraction of the CPUs that the team can use. Entries with the least waiting work keep the
// boost. After a burst, most waiting jobs are late. If all of them went first, all later jobs would be late
// too. Only the CPUs that late jobs hold count, including those of the entries that keep the boost, and not
// the CPUs of all waiting jobs. Other entries get the boost when these jobs end.
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

// boostedByWaitingWork returns the boosted entries, sorted by waiting work, least first.
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
