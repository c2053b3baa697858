package coordination

import (
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/scheduling"
	"pipitgap/internal/storage"
)

// orderedQueue lists jobs with unplaced tasks, the most urgent first.
func (sc *scheduler) orderedQueue() []*mirror.Job {
	var entries []scheduling.QueueEntry
	wall, now := sc.c.env.WallClock(), sc.c.now()
	for _, job := range sc.c.mirror.Jobs {
		if job.IsOpen() && job.UnassignedTasks() > 0 {
			entries = append(entries, sc.queueEntryOf(job, wall, now))
		}
	}
	if scheduling.AnyDeadlineBoost(entries) {
		scheduling.LimitDeadlineBoost(entries, sc.lateUsage(wall))
	}
	scheduling.SortQueue(entries)
	queue := make([]*mirror.Job, len(entries))
	for i := range entries {
		queue[i] = sc.c.mirror.Jobs[entries[i].Job.ID]
	}
	return queue
}

// queueEntryOf gathers what decides a job's place in the queue.
func (sc *scheduler) queueEntryOf(job *mirror.Job, wall int64, now monotime.Micros) scheduling.QueueEntry {
	spec, waiting := &job.Record.Spec, job.UnassignedTasks()
	slack := sc.slackOf(job, wall)
	entry := scheduling.QueueEntry{
		Job: scheduling.QueuedJob{
			ID:              job.ID,
			Team:            spec.Team,
			Service:         spec.Service,
			Priority:        spec.Priority,
			AcceptedAt:      job.Record.AcceptedAt,
			UnassignedTasks: waiting,
			TaskCPUs:        job.TaskResources.CPUs,
		},
		SlackSeconds:      slack.Seconds,
		WaitingCPUSeconds: float64(waiting) * job.TaskResources.CPUs * sc.expectedRunSeconds(spec),
		MissedObjectives:  slack.Missed,
		DeadlineBoost:     scheduling.NeedsDeadlineBoost(slack),
		WithinGuarantee:   sc.withinGuarantee(job),
		Starved:           sc.isStarved(job, now),
	}
	if sc.isCrashLooping(job) {
		entry.LeaveForTrials()
	}
	return entry
}

// lateUsage is what late jobs hold of the machines and of their teams' limits.
func (sc *scheduler) lateUsage(wall int64) scheduling.LateUsage {
	usage := scheduling.LateUsage{
		CPUsByTeam: map[string]float64{},
		TeamMax: func(name string) float64 {
			limits, _ := sc.c.quota.Limits(name)
			return limits.MaxCPUs
		},
	}
	for _, machine := range sc.c.mirror.Machines {
		if machine.Record != nil && machine.Record.State == storage.MachineOpen {
			usage.FleetCPUs += sc.c.catalog.MachineTypes()[machine.Record.Type].CPUs
		}
	}
	for _, job := range sc.c.mirror.Jobs {
		if job.AssignedTasks <= 0 || job.Record.Spec.Service {
			continue
		}
		if sc.slackOf(job, wall).IsLate() {
			usage.CPUsByTeam[job.Record.Spec.Team] += float64(job.AssignedTasks) * job.TaskResources.CPUs
		}
	}
	return usage
}

// isStarved tells whether an array has got nothing for a long time, see scheduling.StartProgress.
func (sc *scheduler) isStarved(job *mirror.Job, now monotime.Micros) bool {
	if job.Record.Spec.Service {
		return false
	}
	progress, started := &sc.trackingOf(job.ID).progress, job.DoneTasks+job.AssignedTasks
	if !progress.Begun() {
		progress.Begin(started, monotime.Micros(sc.c.env.WallClock()-job.Record.AcceptedAt), now)
	}
	progress.Observe(started, now)
	if progress.CatchingUp(started) {
		return true
	}
	return progress.Stalled(now) &&
		progress.BeginCatchUp(started, job.UnassignedTasks(), sc.isScavenger(job))
}

// withinGuarantee tells whether one more task of a job lies within its team's guarantee.
func (sc *scheduler) withinGuarantee(job *mirror.Job) bool {
	limits, _ := sc.c.quota.Limits(job.Record.Spec.Team)
	use := sc.c.mirror.UseByTeam[job.Record.Spec.Team].AddScaled(job.TaskResources, 1)
	return limits.GuaranteeCovers(use)
}
