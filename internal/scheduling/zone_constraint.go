package scheduling

import (
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// ZoneConstraint restricts a job's tasks to one zone, or spreads them so that no zone has more than half of
// them, rounded up. It counts the tasks that each zone already has. For a job without either restriction it
// allows every zone and counts nothing.
type ZoneConstraint struct {
	oneZone, spread bool
	maxPerZone      int
	tasksByZone     map[string]int
}

// NewZoneConstraint returns the constraint of a job without placed tasks.
func NewZoneConstraint(spec *storage.JobSpec) *ZoneConstraint {
	return &ZoneConstraint{
		oneZone:     spec.OneZone,
		spread:      spec.Spread,
		maxPerZone:  (spec.Tasks + 1) / 2,
		tasksByZone: map[string]int{},
	}
}

// RestrictsZones reports whether the job has a zone restriction.
func (z *ZoneConstraint) RestrictsZones() bool { return z.oneZone || z.spread }

// Allows reports whether one more task may be placed in a zone.
func (z *ZoneConstraint) Allows(zone string) bool { return z.RemainingIn(zone) > 0 }

// RemainingIn returns the number of further tasks that may be placed in a zone, or protocol.MaxTasks without
// a limit.
func (z *ZoneConstraint) RemainingIn(zone string) int {
	if z.oneZone && len(z.tasksByZone) > 0 && z.tasksByZone[zone] == 0 {
		return 0
	}
	if z.spread {
		return max(0, z.maxPerZone-z.tasksByZone[zone])
	}
	return protocol.MaxTasks
}

// AddTasks adds to the count of tasks placed in a zone.
func (z *ZoneConstraint) AddTasks(zone string, count int) {
	if count > 0 && z.RestrictsZones() {
		z.tasksByZone[zone] += count
	}
}
