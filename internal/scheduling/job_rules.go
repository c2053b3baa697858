package scheduling

import (
	"strings"

	"pipitgap/internal/protocol"
	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

// MachineAllowed reports whether a job's tasks may run on a machine, whatever room it has.
func MachineAllowed(spec *storage.JobSpec, machine *storage.ShardMachine) bool {
	return spec.AllowsMachine(machine.Type, machine.Zone) && (spec.Spot || !machine.Spot)
}

// MayBeScavenger reports whether a job is of the scavenger class by its submission alone: an array of the
// lowest priority, without a deadline, that may use spot machines. It is one if, further, its team has no
// guarantee and its class no objective.
func MayBeScavenger(spec *storage.JobSpec) bool {
	return !spec.Service && spec.Spot && spec.Priority == int(protocol.BestEffort) && spec.DeadlineS <= 0
}

// MayBePreemptible reports whether a job's tasks may be stopped for arrays of higher priority as far as its
// submission decides: an array that saves its work. It is if, further, nothing bounds when it is to start and
// its team uses more than its guarantee.
func MayBePreemptible(spec *storage.JobSpec) bool { return !spec.Service && spec.CheckpointS > 0 }

// TaskShape is what decides on which machines a task may run and whether it fits there; with a team, also
// within which team's limit. Of thousands of waiting tasks most have a shape in common, and each pass looks
// at all machines once for all of these.
type TaskShape struct {
	need                     resources.Vector
	spot                     bool
	zone, allowedTypes, team string
}

// ShapeOf returns the shape of a job's tasks, each of which needs so much; a team of "" leaves limits out.
func ShapeOf(spec *storage.JobSpec, need resources.Vector, team string) TaskShape {
	types := ""
	if spec.MachineTypes != nil {
		types = "=" + strings.Join(spec.MachineTypes, " ")
	}
	return TaskShape{need: need, spot: spec.Spot, zone: spec.Zone, allowedTypes: types, team: team}
}
