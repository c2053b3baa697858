package scheduling

import (
	"math"
	"sort"

	"pipitgap/internal/config"
	"pipitgap/internal/storage"
)

// LatestStarts returns the latest times at which a job's tasks can start and still meet each of the job's
// objectives, in seconds since its submission and in ascending order. The job's own deadline counts as an
// objective if no deadline objective applies to it. runSeconds is the expected run time of a task. Without an
// objective, the only element is infinity.
func LatestStarts(objectives []config.Objective, spec *storage.JobSpec, runSeconds float64) []float64 {
	var starts []float64
	hasDeadlineObjective := false
	for _, objective := range objectives {
		switch {
		case objective.Class != spec.Class || spec.Service:
		case objective.Kind == config.ObjectiveFinished:
			starts = append(starts, objective.LimitS-runSeconds)
		case objective.Kind == config.ObjectiveWait:
			starts = append(starts, objective.LimitS)
		case objective.Kind == config.ObjectiveDeadline && spec.DeadlineS > 0 && objective.DeadlineMultiple > 0:
			starts = append(starts, objective.DeadlineMultiple*spec.DeadlineS-runSeconds)
			hasDeadlineObjective = true
		}
	}
	if !hasDeadlineObjective && spec.DeadlineS > 0 {
		starts = append(starts, spec.DeadlineS-runSeconds)
	}
	if len(starts) == 0 {
		return []float64{math.Inf(1)}
	}
	sort.Float64s(starts)
	return starts
}

// lateAfterMissedObjectives is the number of missed objectives at which a job counts as late: it waits behind
// all jobs that are in time.
const lateAfterMissedObjectives = 2

// Slack is the time that a job's waiting tasks can still wait.
type Slack struct {
	Seconds float64 // time until the job misses the next objective; negative if it can meet none
	Missed  int     // number of objectives that the job can no longer meet
}

// CanMeetObjective reports whether the job has an objective that it can still meet if it doesn't wait for too
// long.
func (s Slack) CanMeetObjective() bool { return s.Seconds >= 0 && !math.IsInf(s.Seconds, 1) }

// IsLate reports whether the job has missed so many objectives that it waits behind all jobs that are in
// time.
func (s Slack) IsLate() bool { return s.Missed >= lateAfterMissedObjectives }

// SlackOf returns the slack of a job with the given latest starts (see LatestStarts) and age.
func SlackOf(latestStarts []float64, ageSeconds float64) Slack {
	missed := 0
	for missed < len(latestStarts) && latestStarts[missed] < ageSeconds {
		missed++
	}
	return Slack{Seconds: latestStarts[min(missed, len(latestStarts)-1)] - ageSeconds, Missed: missed}
}
