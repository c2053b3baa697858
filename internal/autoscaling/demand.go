package autoscaling

import (
	"sort"

	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

// Demand describes the unplaced tasks of one job, which all have the same resource needs. The planner
// subtracts the tasks that it places from Tasks.
type Demand struct {
	Spec  *storage.JobSpec
	Need  resources.Vector // of one task
	Tasks int              // number of unplaced tasks
	JobID string

	QueueIndex      int            // position in the queue, the most urgent job first
	Zones           ZoneConstraint // nil: unconstrained
	ExpectedSeconds float64        // expected run time of a task
	SlackSeconds    float64        // how long a task may wait and still meet its objective
	SpotOnly        bool           // a scavenger job: no on-demand machine is requested for it
	CrashLoopTrial  bool           // one trial task of a job that fails on every machine
}

// ZoneConstraint is a job's constraint on the zones of its tasks: all in one zone, or spread over zones.
type ZoneConstraint interface {
	// RestrictsZones reports whether the job has such a constraint.
	RestrictsZones() bool
	// RemainingIn returns how many more tasks of the job may run in a zone.
	RemainingIn(zone string) int
	// AddTasks counts tasks as placed in a zone.
	AddTasks(zone string, tasks int)
}

// allowsMachine reports whether the tasks may run on a machine of this type, zone and market. It doesn't
// check whether they fit.
func (d *Demand) allowsMachine(offer Offer) bool {
	return d.Spec.AllowsMachine(offer.MachineType, offer.Zone) && (d.Spec.Spot || !offer.Spot)
}

// restrictsZones reports whether the job constrains the zones of its tasks.
func (d *Demand) restrictsZones() bool { return d.Zones != nil && d.Zones.RestrictsZones() }

// tasksFitting returns how many tasks of the demand fit into free resources in a zone.
func (d *Demand) tasksFitting(free resources.Vector, zone string) int {
	n := min(d.Tasks, d.Need.CountIn(free))
	if d.Zones != nil {
		n = min(n, d.Zones.RemainingIn(zone))
	}
	return n
}

// placeTasks counts n tasks as placed in a zone. The other tasks of a one-zone job must then use this zone.
func (d *Demand) placeTasks(n int, zone string) {
	d.Tasks -= n
	if d.Zones != nil {
		d.Zones.AddTasks(zone, n)
	}
}

// sortLargestFirst sorts demands for first-fit decreasing: by GPUs, CPUs, memory, then urgency. Demands that
// may not use spot machines precede all others. Otherwise tasks that may use spot machines would fill the
// on-demand machines requested for tasks that may not, and each pass would request more on-demand machines.
func sortLargestFirst(demands []*Demand) {
	sort.SliceStable(demands, func(a, b int) bool {
		left, right := demands[a], demands[b]
		if left.Spec.Spot != right.Spec.Spot {
			return right.Spec.Spot
		}
		if left.Need.GPUs != right.Need.GPUs {
			return left.Need.GPUs > right.Need.GPUs
		}
		if left.Need.CPUs != right.Need.CPUs {
			return left.Need.CPUs > right.Need.CPUs
		}
		if left.Need.MemoryGB != right.Need.MemoryGB {
			return left.Need.MemoryGB > right.Need.MemoryGB
		}
		return left.QueueIndex < right.QueueIndex
	})
}

// sortedByUrgency returns a copy of the demands in queue order.
func sortedByUrgency(demands []*Demand) []*Demand {
	sorted := append([]*Demand(nil), demands...)
	sort.SliceStable(sorted, func(a, b int) bool { return sorted[a].QueueIndex < sorted[b].QueueIndex })
	return sorted
}
