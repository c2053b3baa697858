package placement

import (
	"fmt"

	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/scheduling"
	"pipitgap/internal/storage"
)

// OrderedQueue returns the open jobs with unassigned tasks, the most urgent first.
func (sc *Scheduler) OrderedQueue() []*mirror.Job {
	var entries []scheduling.QueueEntry
	wallNow, now := sc.deps.Environment.WallClock(), sc.deps.Environment.Now()
	for _, job := range sc.deps.Mirror.Jobs {
		if job.IsOpen() && job.UnassignedTasks() > 0 {
			entries = append(entries, sc.queueEntryOf(job, wallNow, now))
		}
	}
	if scheduling.AnyDeadlineBoost(entries) {
		scheduling.LimitDeadlineBoost(entries, sc.lateUsage(wallNow))
	}
	scheduling.SortQueue(entries)
	queue := make([]*mirror.Job, len(entries))
	for i := range entries {
		queue[i] = sc.deps.Mirror.Jobs[entries[i].Job.ID]
	}
	return queue
}

// queueEntryOf collects the values that determine a job's position in the queue.
func (sc *Scheduler) queueEntryOf(job *mirror.Job, wallNow int64, now monotime.Micros) scheduling.QueueEntry {
	spec, waiting := &job.Record.Spec, job.UnassignedTasks()
	slack := sc.SlackOf(job, wallNow)
	entry := scheduling.QueueEntry{
		Job: scheduling.QueuedJob{
			ID:              job.ID,
			Spec:            spec,
			AcceptedAt:      job.Record.AcceptedAt,
			UnassignedTasks: waiting,
			TaskCPUs:        job.TaskResources.CPUs,
		},
		SlackSeconds:      slack.Seconds,
		WaitingCPUSeconds: float64(waiting) * job.TaskResources.CPUs * sc.ExpectedRunSeconds(spec),
		MissedObjectives:  slack.Missed,
		DeadlineBoost:     scheduling.NeedsDeadlineBoost(slack),
		WithinGuarantee:   sc.withinGuarantee(job),
		Starved:           sc.isStarved(job, now),
	}
	if sc.IsCrashLooping(job) {
		entry.DemoteToTrials()
	}
	return entry
}

// lateUsage returns the CPUs that each team's late arrays hold, and the fleet's CPUs and team limits that
// bound them.
func (sc *Scheduler) lateUsage(wallNow int64) scheduling.LateUsage {
	usage := scheduling.LateUsage{
		CPUsByTeam: map[string]float64{},
		TeamMax: func(name string) float64 {
			limits, _ := sc.deps.Quota.Limits(name)
			return limits.MaxCPUs
		},
	}
	for _, machine := range sc.deps.Mirror.Machines {
		if machine.Record != nil && machine.Record.State == storage.MachineOpen {
			usage.FleetCPUs += sc.deps.Catalog.MachineTypes()[machine.Record.Type].CPUs
		}
	}
	for _, job := range sc.deps.Mirror.Jobs {
		if job.AssignedTasks <= 0 || job.Record.Spec.Service {
			continue
		}
		if sc.SlackOf(job, wallNow).IsLate() {
			usage.CPUsByTeam[job.Record.Spec.Team] += float64(job.AssignedTasks) * job.TaskResources.CPUs
		}
	}
	return usage
}

// isStarved reports whether an array is starved, that is, no further task of it has started for a long time;
// see scheduling.StartProgress. Services are never starved.
func (sc *Scheduler) isStarved(job *mirror.Job, now monotime.Micros) bool {
	if job.Record.Spec.Service {
		return false
	}
	progress, started := &sc.trackingOf(job.ID).progress, job.DoneTasks+job.AssignedTasks
	if !progress.Begun() {
		progress.Begin(started, monotime.Micros(sc.deps.Environment.WallClock()-job.Record.AcceptedAt), now)
	}
	progress.Observe(started, now)
	if progress.CatchingUp(started) {
		return true
	}
	return progress.Stalled(now) &&
		progress.BeginCatchUp(started, job.UnassignedTasks(), sc.IsScavenger(job))
}

// withinGuarantee reports whether one more task of a job lies within its team's guarantee.
func (sc *Scheduler) withinGuarantee(job *mirror.Job) bool {
	limits, _ := sc.deps.Quota.Limits(job.Record.Spec.Team)
	use := sc.deps.Mirror.UsageByTeam[job.Record.Spec.Team].AddScaled(job.TaskResources, 1)
	return limits.GuaranteeCovers(use)
}

// DescribeWait returns a log text with a job's urgency and the reasons why it waits.
func (sc *Scheduler) DescribeWait(job *mirror.Job) string {
	spec, now, wallNow := &job.Record.Spec, sc.deps.Environment.Now(), sc.deps.Environment.WallClock()
	slack := sc.SlackOf(job, wallNow)
	age := monotime.Micros(wallNow - job.Record.AcceptedAt)
	backoff := max(0, sc.trackingOf(job.ID).placeNotBefore-now)
	return fmt.Sprintf(
		" %s(%s %s age %.0f slack %.0f missed %d"+
			" starved %v within_guarantee %v waiting %d pending_here %d"+
			" backoff_ms %d update_in_flight %v mirror_stale %v)",
		job.ID, spec.Class, spec.Team, age.Seconds(), slack.Seconds, slack.Missed,
		sc.isStarved(job, now), sc.withinGuarantee(job), job.UnassignedTasks(),
		job.PendingInPartition(sc.config.Node),
		backoff.Milliseconds(), sc.deps.RecordWrites.Contains(job.ID),
		sc.deps.Mirror.WatchedRevision < job.Version,
	)
}
