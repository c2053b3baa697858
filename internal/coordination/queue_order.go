package coordination

import (
	"math"
	"sort"

	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/storage"
)

// queueEntry is a job's place in the order of urgency.
type queueEntry struct {
	job               *mirror.Job
	slackSeconds      float64 // seconds that it may still wait
	waitingCPUSeconds float64 // CPU seconds that wait
	missedObjectives  int     // aims that it can't meet any more
	deadlineBoost     bool    // past its first aims, and soon past the next
	withinGuarantee   bool    // its team is within its guarantee
	starved           bool    // got nothing for long, see starved
	crashLooping      bool    // it fails everywhere: an occasional try, after all others
}

// goesBefore orders jobs: higher priority first; of the same priority those first
// whose team doesn't yet use its guarantee, then those that can still meet the
// first of their aims, then those that can meet the next, the least waiting work
// first; last, the oldest first, what can meet none. Past what can be done, going
// by the deadline would have every job end just after its own: a few large ones
// wait instead, not without limit, and the many others are in time.
// Those few must not wait for ever either: shortly before the next of its aims
// passes, a job that is past its first ones goes before all that are in time.
// Before all other arrays, whatever their priority, comes one that has been
// waiting in vain for long, with a partition of its tasks.
func (a queueEntry) goesBefore(b queueEntry) bool {
	left, right := a.job, b.job
	if a.crashLooping != b.crashLooping {
		return b.crashLooping
	}
	if a.starved != b.starved {
		if a.starved {
			return !right.Record.Spec.Service
		}
		return left.Record.Spec.Service
	}
	if left.Record.Spec.Priority != right.Record.Spec.Priority {
		return left.Record.Spec.Priority > right.Record.Spec.Priority
	}
	if a.withinGuarantee != b.withinGuarantee {
		return a.withinGuarantee
	}
	if a.deadlineBoost != b.deadlineBoost {
		return a.deadlineBoost
	}
	if a.missedObjectives != b.missedObjectives && !a.deadlineBoost {
		return a.missedObjectives < b.missedObjectives
	}
	if a.slackSeconds >= 0 && b.slackSeconds >= 0 && a.waitingCPUSeconds != b.waitingCPUSeconds {
		return a.waitingCPUSeconds < b.waitingCPUSeconds
	}
	if left.Record.AcceptedAt != right.Record.AcceptedAt {
		return left.Record.AcceptedAt < right.Record.AcceptedAt
	}
	return left.ID < right.ID
}

// orderedQueue lists jobs with unplaced tasks, the most urgent first.
func (sc *scheduler) orderedQueue() []*mirror.Job {
	var entries []queueEntry
	wall, now := sc.c.env.WallClock(), sc.c.now()
	for _, job := range sc.c.mirror.Jobs {
		if job.IsOpen() && job.UnassignedTasks() > 0 {
			slack, missed := sc.c.autoscaler.slackOf(job, wall)
			work := float64(
				job.UnassignedTasks(),
			) * job.TaskResources.CPUs * sc.expectedRunSeconds(
				&job.Record.Spec,
			)
			urgent := missed >= lateAfterMissedObjectives && slack >= 0 && slack < deadlineBoostWindowSeconds
			entry := queueEntry{
				job,
				slack,
				work,
				missed,
				urgent,
				sc.withinGuarantee(job),
				sc.isStarved(job, now),
				sc.isCrashLooping(job),
			}
			if entry.crashLooping {
				entry.deadlineBoost, entry.withinGuarantee, entry.starved = false, false, false
			}
			entries = append(entries, entry)
		}
	}
	sc.limitDeadlineBoost(entries, wall)
	sort.Slice(entries, func(a, b int) bool { return entries[a].goesBefore(entries[b]) })
	out := make([]*mirror.Job, len(entries))
	for i := range entries {
		out[i] = entries[i].job
	}
	return out
}

// limitDeadlineBoost leaves urgent, of each team's late jobs that are, those with the least work,
// as far as late jobs hold no more than a partition of what the team can use. After a burst
// most that waits is late; were all of it to go first, all that comes after would be
// late too. What they hold counts, not what waits: others become urgent as these go.
func (sc *scheduler) limitDeadlineBoost(entries []queueEntry, wall int64) {
	var lateEntries []*queueEntry
	for i := range entries {
		if entries[i].deadlineBoost {
			lateEntries = append(lateEntries, &entries[i])
		}
	}
	if len(lateEntries) == 0 {
		return
	}
	fleetCPUs := 0.0
	for _, machine := range sc.c.mirror.Machines {
		if machine.Record != nil && machine.Record.State == storage.MachineOpen {
			fleetCPUs += sc.c.catalog.machineTypes[machine.Record.Type].CPUs
		}
	}
	lateCPUsByTeam := map[string]float64{}
	for _, job := range sc.c.mirror.Jobs {
		if job.AssignedTasks > 0 && !job.Record.Spec.Service {
			if _, missed := sc.c.autoscaler.slackOf(job, wall); missed >= lateAfterMissedObjectives {
				lateCPUsByTeam[job.Record.Spec.Team] += float64(job.AssignedTasks) * job.TaskResources.CPUs
			}
		}
	}
	sort.Slice(lateEntries, func(a, b int) bool {
		if lateEntries[a].waitingCPUSeconds != lateEntries[b].waitingCPUSeconds {
			return lateEntries[a].waitingCPUSeconds < lateEntries[b].waitingCPUSeconds
		}
		return lateEntries[a].job.ID < lateEntries[b].job.ID
	})
	for _, entry := range lateEntries {
		name := entry.job.Record.Spec.Team
		usableCPUs := fleetCPUs
		if limits, _ := sc.c.quota.Limits(name); limits.MaxCPUs > 0 {
			usableCPUs = min(usableCPUs, limits.MaxCPUs)
		}
		if lateCPUsByTeam[name] > deadlineBoostMaxFraction*usableCPUs {
			entry.deadlineBoost = false
			continue
		}
		lateCPUsByTeam[name] += float64(entry.job.UnassignedTasks()) * entry.job.TaskResources.CPUs
	}
}

// canMeetObjective tells whether a job has an aim that it can still meet if it doesn't wait
// for long.
func (sc *scheduler) canMeetObjective(job *mirror.Job, wall int64) bool {
	slack, _ := sc.c.autoscaler.slackOf(job, wall)
	return slack >= 0 && !math.IsInf(slack, 1)
}

// isStarved tells whether an array has got nothing for a long time: under lasting
// load those that are late already, large or of low priority would never have
// their turn, and a class, a team or the largest jobs would go unserved.
func (sc *scheduler) isStarved(job *mirror.Job, now monotime.Micros) bool {
	if job.Record.Spec.Service {
		return false
	}
	tracking := sc.trackingOf(job.ID)
	got := job.DoneTasks + job.AssignedTasks
	if tracking.progressAt == 0 { // first seen: it may have waited before we began
		tracking.progressAt = max(1, now)
		if got == 0 {
			tracking.progressAt = max(
				1,
				now-monotime.Micros(
					min(max(0, sc.c.env.WallClock()-job.Record.AcceptedAt), int64(2*starvedAfter)),
				),
			)
		}
	}
	if got > tracking.startedHighWater {
		tracking.startedHighWater, tracking.progressAt = got, now
	}
	if got < tracking.startedTarget {
		return true // room comes bit by bit
	}
	after := starvedAfter
	if tracking.startedHighWater > 0 {
		if sc.isScavenger(job) {
			return false
		}
		after = starvedAgainAfter
	}
	if now-tracking.progressAt <= after {
		return false
	}
	tracking.startedTarget = got + max(1, job.UnassignedTasks()/starvedTaskDivisor)
	if sc.isScavenger(job) {
		tracking.startedTarget = got + 1 // that it begins; the rest is for idle time
	}
	return true
}

// withinGuarantee tells whether one more task of a job lies within its team's guarantee.
func (sc *scheduler) withinGuarantee(job *mirror.Job) bool {
	limits, _ := sc.c.quota.Limits(job.Record.Spec.Team)
	use := sc.c.mirror.UseByTeam[job.Record.Spec.Team].AddScaled(job.TaskResources, 1)
	return limits.GuaranteeCovers(use)
}
