package placement

import (
	"math"

	"pipitgap/internal/autoscaling"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/scheduling"
	"pipitgap/internal/storage"
)

// latestStarts returns the times by which a job's tasks must start to meet its objectives; see
// scheduling.LatestStarts.
func (sc *Scheduler) latestStarts(spec *storage.JobSpec) []float64 {
	runSeconds := autoscaling.EstimateMargin * sc.ExpectedRunSeconds(spec)
	return scheduling.LatestStarts(sc.config.Objectives, spec, runSeconds)
}

// hasObjective reports whether an objective or a deadline bounds when a job's tasks must start.
func (sc *Scheduler) hasObjective(spec *storage.JobSpec) bool {
	return !math.IsInf(sc.latestStarts(spec)[0], 1)
}

// SlackOf returns how long a job's waiting tasks may still wait at a time of day in microseconds.
func (sc *Scheduler) SlackOf(job *mirror.Job, wallNow int64) scheduling.Slack {
	age := monotime.Micros(wallNow - job.Record.AcceptedAt)
	return scheduling.SlackOf(sc.latestStarts(&job.Record.Spec), age.Seconds())
}
