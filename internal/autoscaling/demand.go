package autoscaling

import (
	"sort"

	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

// Demand is a number of like tasks of one job that found no room. The planner takes from Tasks what it has
// placed.
type Demand struct {
	Spec  *storage.JobSpec
	Need  resources.Vector // of one task
	Tasks int              // without room
	JobID string

	QueueIndex      int            // place in the queue, the most urgent first
	Zones           ZoneConstraint // nil: none
	ExpectedSeconds float64        // expected run of a task
	SlackSeconds    float64        // how long a task may wait and still meet its objective
	SpotOnly        bool           // scavenger work: no on-demand machine is requested for it
	CrashLoopTrial  bool           // a trial of a job that fails wherever it runs
}

// ZoneConstraint is a job's rule on the zones of its tasks: all in one zone, or spread over zones.
type ZoneConstraint interface {
	// RestrictsZones reports whether the job has such a rule.
	RestrictsZones() bool
	// RemainingIn counts the tasks that a zone may still take.
	RemainingIn(zone string) int
	// AddTasks counts tasks as placed in a zone.
	AddTasks(zone string, tasks int)
}

// allowsMachine reports whether the tasks may run on a machine of this kind, whatever its size.
func (d *Demand) allowsMachine(offer Offer) bool {
	return d.Spec.AllowsMachine(offer.MachineType, offer.Zone) && (d.Spec.Spot || !offer.Spot)
}

// restrictsZones reports whether a rule on zones binds the tasks.
func (d *Demand) restrictsZones() bool { return d.Zones != nil && d.Zones.RestrictsZones() }

// tasksFitting counts the tasks that free resources in a zone can take.
func (d *Demand) tasksFitting(free resources.Vector, zone string) int {
	n := min(d.Tasks, d.Need.CountIn(free))
	if d.Zones != nil {
		n = min(n, d.Zones.RemainingIn(zone))
	}
	return n
}

// placeTasks counts n tasks as placed in a zone, which binds the others of a one-zone job.
func (d *Demand) placeTasks(n int, zone string) {
	d.Tasks -= n
	if d.Zones != nil {
		d.Zones.AddTasks(zone, n)
	}
}

// sortLargestFirst sorts demands for first-fit decreasing: by GPUs, CPUs, memory, then urgency. But those
// that may not use spot machines come first: the others would fill the on-demand machines that were requested
// for them, and each pass would request more.
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

// sortedByUrgency lists demands in the order of the queue, and leaves the argument as it is.
func sortedByUrgency(demands []*Demand) []*Demand {
	sorted := append([]*Demand(nil), demands...)
	sort.SliceStable(sorted, func(a, b int) bool { return sorted[a].QueueIndex < sorted[b].QueueIndex })
	return sorted
}
