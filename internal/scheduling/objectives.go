package scheduling

import (
	"math"
	"sort"

	"pipitgap/internal/config"
	"pipitgap/internal/storage"
)

// LatestStarts are the times by which the objectives want a job's tasks to start, in seconds from its
// submission, the shortest first. A task is expected to run for so many seconds. Without an objective the
// only one is infinite.
func LatestStarts(objectives []config.Objective, spec *storage.JobSpec, runSeconds float64) []float64 {
	var starts []float64
	hasDeadlineObjective := false
	for _, objective := range objectives {
		switch {
		case objective.Class != spec.Class || spec.Service:
		case objective.Kind == config.ObjectiveFinished:
			starts = append(starts, objective.WithinS-runSeconds)
		case objective.Kind == config.ObjectiveWait:
			starts = append(starts, objective.WithinS)
		case objective.Kind == config.ObjectiveDeadline && spec.DeadlineS > 0 && objective.Times > 0:
			starts = append(starts, objective.Times*spec.DeadlineS-runSeconds)
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

// lateAfterMissedObjectives is past how many objectives a job waits behind all that are in time.
const lateAfterMissedObjectives = 2

// Slack is how long a job's waiting tasks may still wait.
type Slack struct {
	Seconds float64 // until the first objective that can still be met is missed; negative if none can
	Missed  int     // objectives that can't be met any more
}

// CanMeetObjective reports whether there is an objective that can still be met if the job doesn't wait for
// long.
func (s Slack) CanMeetObjective() bool { return s.Seconds >= 0 && !math.IsInf(s.Seconds, 1) }

// IsLate reports whether the job waits behind all that are in time.
func (s Slack) IsLate() bool { return s.Missed >= lateAfterMissedObjectives }

// SlackOf is the slack of a job of an age, see LatestStarts.
func SlackOf(latestStarts []float64, ageSeconds float64) Slack {
	missed := 0
	for missed < len(latestStarts) && latestStarts[missed] < ageSeconds {
		missed++
	}
	return Slack{Seconds: latestStarts[min(missed, len(latestStarts)-1)] - ageSeconds, Missed: missed}
}
