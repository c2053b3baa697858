package scheduling

import (
	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

// MaxTasksPerMachine is how many tasks a machine takes: as many as a report of 64 KiB can name.
const MaxTasksPerMachine = 300

// Scores of a candidate, in CPUs left free: the lowest is best, so that the tightest fit wins among equals.
const (
	// LessPreferredPenalty is added for a closing machine, and tenfold for an ordinary one to a task that may
	// use spot machines: more than anything else that is weighed.
	LessPreferredPenalty  = 1e5
	ordinaryMachineFactor = 10
	// spotInsteadOfServicesPenalty is what a tight fit or an image at hand must be worth for a task to go to a
	// spot machine rather than beside services. An ordinary machine with services stays in any case: filling
	// it first leaves spot machines to empty.
	spotInsteadOfServicesPenalty = 50
	// serviceImageFetchPenalty is added where a service's image is missing: it counts as started only once
	// the image is there, and it stays, so it pays to wait for nothing else.
	serviceImageFetchPenalty = 1000
	imageFetchPenaltyPerGB   = 4
	// servicePackingWeight is how much a CPU of services draws services to their machine, up to the target,
	// and keeps them off beyond it.
	servicePackingWeight = 8
)

// Services are drawn to a machine until they hold 1/servicePackingDivisor of it, or
// servicePackingFleetFraction of what all services hold, if that is more: then losing the machine is no more
// of a loss. They are drawn to it up to servicePackingMaxFraction of it at most.
const (
	servicePackingDivisor       = 4
	servicePackingFleetFraction = 0.02
	servicePackingMaxFraction   = 0.75
)

// ShardWrite is the write under way of a machine's shard, which an assignment becomes a part of.
type ShardWrite interface {
	// MaxBytes is how large the shard may come to be.
	MaxBytes() int
	// Compares counts the records that the write is conditional on.
	Compares() int
	// AssignsJob reports whether the write assigns tasks of a job already.
	AssignsJob(job string) bool
	// FreedQuota is what the write gives back of a team's share and hasn't used again.
	FreedQuota(team string) resources.Vector
}

// Candidate is a machine with the room that a pass still has on it.
type Candidate struct {
	MachineID      string
	Record         *storage.ShardMachine
	TypeCPUs       float64          // CPUs of a machine of its type
	Free           resources.Vector // what is free, and not yet used by the pass
	ServiceCPUs    float64          // CPUs that services hold, those placed by the pass too
	TaskCount      int
	CachedImages   map[string]bool // images that tasks have brought there
	Closing        bool            // about to be removed; reopened if nothing else has room
	HeldBack       bool            // kept for a more urgent job that hasn't room yet
	ReservedForJob string          // the job for which tasks are being stopped there; "" if none
	Shard          ShardWrite      // the write that assigns tasks to it
}

// AvailableTo reports whether a job may use what is free on the machine. Room that is being made is for the
// job it is made for: if others took what is free before the stopped tasks are gone, more would have to be
// stopped.
func (c *Candidate) AvailableTo(job string) bool {
	return c.ReservedForJob == "" || c.ReservedForJob == job
}

// MachineRequest is what a machine for a task of a job must meet.
type MachineRequest struct {
	JobID            string
	Spec             *storage.JobSpec
	Need             resources.Vector
	Zones            *ZoneConstraint
	Failures         *JobFailures // nil: none seen
	SpotOnly         bool         // ordinary machines only where services keep them in any case
	FreedQuotaOnly   bool         // only shards whose write gives back enough of the team's share
	OnlyWrite        ShardWrite   // the only write that may take the job's tasks; nil: any
	MaxShardBytes    int
	MaxShardCompares int     // that a shard's write may have before the job is added to it
	FleetServiceCPUs float64 // CPUs that all services hold
}

// Accepts reports whether a task may go to a candidate.
func (r *MachineRequest) Accepts(c *Candidate) bool {
	return r.Need.FitsIn(c.Free) && c.AvailableTo(r.JobID) &&
		MachineAllowed(r.Spec, c.Record) && r.Zones.Allows(c.Record.Zone) &&
		c.TaskCount < MaxTasksPerMachine &&
		r.acceptsShard(c.Shard) &&
		!r.Failures.Excludes(c.MachineID) &&
		!(r.SpotOnly && !c.Record.Spot && c.ServiceCPUs == 0)
}

// acceptsShard reports whether the write of a machine's shard may take a task.
func (r *MachineRequest) acceptsShard(shard ShardWrite) bool {
	if r.OnlyWrite != nil && shard != r.OnlyWrite {
		return false
	}
	if r.FreedQuotaOnly && !r.Need.FitsIn(shard.FreedQuota(r.Spec.Team)) {
		return false
	}
	return shard.MaxBytes() <= r.MaxShardBytes &&
		(shard.Compares() < r.MaxShardCompares || shard.AssignsJob(r.JobID))
}

// Score weighs a candidate that the request accepts, the lowest being the best.
func (r *MachineRequest) Score(c *Candidate) float64 {
	score := c.Free.CPUs
	if r.Spec.Spot && !c.Record.Spot && c.ServiceCPUs == 0 {
		score += ordinaryMachineFactor * LessPreferredPenalty
	}
	if r.Spec.Spot && c.Record.Spot {
		score += spotInsteadOfServicesPenalty
	}
	if c.Closing {
		score += LessPreferredPenalty
	}
	if !c.CachedImages[r.Spec.Image] {
		score += imageFetchPenalty(r.Spec)
	}
	if !r.Spec.Service {
		return score
	}
	// Services kept together leave other machines to empty. But not too many: all of them go down with their
	// machine.
	target := r.servicePackingTarget(c.TypeCPUs)
	if c.ServiceCPUs <= target {
		return score - servicePackingWeight*c.ServiceCPUs
	}
	return score + servicePackingWeight*(c.ServiceCPUs-target)
}

// servicePackingTarget is up to how many of a machine's CPUs services are drawn to it.
func (r *MachineRequest) servicePackingTarget(machineCPUs float64) float64 {
	return min(
		max(machineCPUs/servicePackingDivisor, servicePackingFleetFraction*r.FleetServiceCPUs),
		servicePackingMaxFraction*machineCPUs,
	)
}

// imageFetchPenalty weighs an image fetch against a tighter fit.
func imageFetchPenalty(spec *storage.JobSpec) float64 {
	if spec.Service {
		return serviceImageFetchPenalty + imageFetchPenaltyPerGB*spec.ImageGB
	}
	return imageFetchPenaltyPerGB * spec.ImageGB
}
