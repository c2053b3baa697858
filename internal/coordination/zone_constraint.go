package coordination

import (
	"pipitgap/internal/mirror"
	"pipitgap/internal/protocol"
)

// zoneConstraint keeps one_zone and apart. It knows where the job's other tasks are;
// such a job has one part at a time,
// which assigns its tasks one commit after the other.
type zoneConstraint struct {
	oneZone, spreadZones bool
	maxPerZone           int
	tasksByZone          map[string]int
}

func newZoneConstraint(mr *mirror.Mirror, job *mirror.Job) *zoneConstraint {
	spec := &job.Record.Spec
	z := &zoneConstraint{
		oneZone:     spec.OneZone,
		spreadZones: spec.Spread,
		maxPerZone:  (spec.Tasks + 1) / 2,
		tasksByZone: map[string]int{},
	}
	if !z.oneZone && !z.spreadZones {
		return z
	}
	for _, shard := range mr.Shards {
		if entry := shard.Record.Jobs[job.ID]; entry != nil {
			for _, held := range entry.Attempts {
				if machineRecord := shard.Record.Machines[held.Machine]; machineRecord != nil {
					z.tasksByZone[machineRecord.Zone]++
				}
			}
		}
	}
	return z
}

func (z *zoneConstraint) allows(zone string) bool { return z.remaining(zone) > 0 }

// remaining counts the tasks that the rule lets a zone take.
func (z *zoneConstraint) remaining(zone string) int {
	if z.oneZone && len(z.tasksByZone) > 0 && z.tasksByZone[zone] == 0 {
		return 0
	}
	if z.spreadZones {
		return max(0, z.maxPerZone-z.tasksByZone[zone])
	}
	return protocol.MaxTasks
}

func (z *zoneConstraint) addTasks(zone string, n int) {
	if n > 0 && (z.oneZone || z.spreadZones) {
		z.tasksByZone[zone] += n
	}
}
