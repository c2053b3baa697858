package scheduling

import (
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// ZoneConstraint keeps a job's tasks in one zone, or spread so that no zone has more than half of them. It
// counts the tasks that each zone already has. Without either rule it allows everything and counts nothing.
type ZoneConstraint struct {
	oneZone, spread bool
	maxPerZone      int
	tasksByZone     map[string]int
}

// NewZoneConstraint returns the rule of a job none of whose tasks is placed yet.
func NewZoneConstraint(spec *storage.JobSpec) *ZoneConstraint {
	return &ZoneConstraint{
		oneZone:     spec.OneZone,
		spread:      spec.Spread,
		maxPerZone:  (spec.Tasks + 1) / 2,
		tasksByZone: map[string]int{},
	}
}

// RestrictsZones reports whether the job has such a rule at all.
func (z *ZoneConstraint) RestrictsZones() bool { return z.oneZone || z.spread }

// Allows reports whether a zone may take one more task.
func (z *ZoneConstraint) Allows(zone string) bool { return z.RemainingIn(zone) > 0 }

// RemainingIn counts the tasks that the rule lets a zone take, protocol.MaxTasks where nothing limits them.
func (z *ZoneConstraint) RemainingIn(zone string) int {
	if z.oneZone && len(z.tasksByZone) > 0 && z.tasksByZone[zone] == 0 {
		return 0
	}
	if z.spread {
		return max(0, z.maxPerZone-z.tasksByZone[zone])
	}
	return protocol.MaxTasks
}

// AddTasks counts tasks placed in a zone.
func (z *ZoneConstraint) AddTasks(zone string, count int) {
	if count > 0 && z.RestrictsZones() {
		z.tasksByZone[zone] += count
	}
}
