package coordination

import (
	"pipitgap/internal/autoscaling"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

// jobPolicy gives package autoscaling what the scheduler and the quotas say of jobs.
type jobPolicy struct{ c *Controller }

func (p jobPolicy) IsDelayed(job *mirror.Job, now monotime.Micros) bool {
	return p.c.scheduler.placementDelayed(job.ID, now)
}

func (p jobPolicy) IsCrashLooping(job *mirror.Job) bool { return p.c.scheduler.isCrashLooping(job) }

func (p jobPolicy) MayScaleOutForTrial(job *mirror.Job, now monotime.Micros) bool {
	return p.c.scheduler.mayScaleOutForTrial(job, now)
}

func (p jobPolicy) IsScavenger(job *mirror.Job) bool { return p.c.scheduler.isScavenger(job) }

func (p jobPolicy) IsSpotOnly(job *mirror.Job) bool { return p.c.scheduler.spotOnly(job) }

func (p jobPolicy) IsPreemptible(job *mirror.Job) bool { return p.c.scheduler.isPreemptible(job) }

func (p jobPolicy) ExpectedRunSeconds(spec *storage.JobSpec) float64 {
	return p.c.scheduler.expectedRunSeconds(spec)
}

func (p jobPolicy) SlackSeconds(job *mirror.Job, wallClock int64) float64 {
	seconds, _ := p.c.autoscaler.slackOf(job, wallClock)
	return seconds
}

func (p jobPolicy) RemainingQuota(team string) resources.Vector {
	limits, _ := p.c.quota.Limits(team)
	return limits.Remaining(p.c.mirror.UseByTeam[team])
}

func (p jobPolicy) Zones(job *mirror.Job) autoscaling.ZoneConstraint {
	return zoneConstraintOf(p.c.mirror, job)
}
