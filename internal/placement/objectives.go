package placement

import (
	"math"

	"pipitgap/internal/autoscaling"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/scheduling"
	"pipitgap/internal/storage"
)

// latestStarts are the times by which the objectives want a job's tasks to start, see
// scheduling.LatestStarts.
func (sc *Scheduler) latestStarts(spec *storage.JobSpec) []float64 {
	runSeconds := autoscaling.EstimateMargin * sc.ExpectedRunSeconds(spec)
	return scheduling.LatestStarts(sc.config.Objectives, spec, runSeconds)
}

// hasObjective reports whether anything bounds when a job's tasks are to start.
func (sc *Scheduler) hasObjective(spec *storage.JobSpec) bool {
	return !math.IsInf(sc.latestStarts(spec)[0], 1)
}

// SlackOf is how long a job's waiting tasks may still wait, at a time of day in microseconds.
func (sc *Scheduler) SlackOf(job *mirror.Job, wall int64) scheduling.Slack {
	age := monotime.Micros(wall - job.Record.AcceptedAt)
	return scheduling.SlackOf(sc.latestStarts(&job.Record.Spec), age.Seconds())
}
