package scheduling

import (
	"strings"

	"pipitgap/internal/protocol"
	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

// MachineAllowed reports whether a job's tasks may run on a machine, regardless of the room on it.
func MachineAllowed(spec *storage.JobSpec, machine *storage.ShardMachine) bool {
	return spec.AllowsMachine(machine.Type, machine.Zone) && (spec.Spot || !machine.Spot)
}

// MayBeScavenger reports whether a job's specification meets the requirements of the scavenger class: an
// array of the lowest priority, without a deadline, that may use spot machines. The job is in the scavenger
// class if, in addition, its team has no guarantee and its class has no objective.
func MayBeScavenger(spec *storage.JobSpec) bool {
	return !spec.Service && spec.Spot && spec.Priority == int(protocol.BestEffort) && spec.DeadlineS <= 0
}

// MayBePreemptible reports whether a job's specification allows the preemption of its tasks for arrays of
// higher priority: the job is an array that saves checkpoints. The job is preemptible if, in addition, no
// objective or deadline bounds when it starts and its team uses more than its guarantee.
func MayBePreemptible(spec *storage.JobSpec) bool { return !spec.Service && spec.CheckpointS > 0 }

// TaskShape holds the properties that determine which machines a task may run on and whether it fits there.
// If team is set, it also identifies the limit that applies. Most of the thousands of waiting tasks share a
// shape with others, so a pass examines all machines only once per shape.
type TaskShape struct {
	need                     resources.Vector
	spot                     bool
	zone, allowedTypes, team string
}

// ShapeOf collects the properties that determine which machines a job's tasks may run on and whether a task
// fits there. need is the resources of each task. If team is empty, the limits of teams are ignored, and jobs
// of different teams may have the same shape.
func ShapeOf(spec *storage.JobSpec, need resources.Vector, team string) TaskShape {
	types := ""
	if spec.MachineTypes != nil {
		types = "=" + strings.Join(spec.MachineTypes, " ")
	}
	return TaskShape{need: need, spot: spec.Spot, zone: spec.Zone, allowedTypes: types, team: team}
}
