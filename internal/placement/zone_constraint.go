package placement

import (
	"pipitgap/internal/mirror"
	"pipitgap/internal/scheduling"
)

// ZoneConstraintOf returns the zone rule of a job, with the tasks in the shards already counted. A job with a
// zone rule is placed by one partition at a time, which assigns its tasks one commit after another.
func ZoneConstraintOf(records *mirror.Mirror, job *mirror.Job) *scheduling.ZoneConstraint {
	constraint := scheduling.NewZoneConstraint(&job.Record.Spec)
	if !constraint.RestrictsZones() {
		return constraint
	}
	for _, shard := range records.Shards {
		entry := shard.Record.Jobs[job.ID]
		if entry == nil {
			continue
		}
		for _, attempt := range entry.Attempts {
			if machine := shard.Record.Machines[attempt.Machine]; machine != nil {
				constraint.AddTasks(machine.Zone, 1)
			}
		}
	}
	return constraint
}
