package placement

import (
	"pipitgap/internal/mirror"
	"pipitgap/internal/scheduling"
)

// ZoneConstraintOf returns the zone rule of a job, with the tasks in the shards already counted. The count is
// complete as of the version of the job's record, and every assignment of such a job changes that version. An
// assignment that lacks another one therefore fails; see shards.Update.BeginJob.
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
