package scheduling

import (
	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

// MaxTasksPerMachine is the maximum number of tasks on a machine: as many as a report of 64 KiB can name.
const MaxTasksPerMachine = 300

// Parts of a candidate's score. The unit is free CPUs and the lowest score is best, so the tightest fit (best
// fit) wins among otherwise equal candidates.
const (
	// LessPreferredPenalty is added for a closing machine. For a task that may use spot machines, ten times
	// this penalty is added for an ordinary machine without services. Both outweigh every other part of a
	// score.
	LessPreferredPenalty  = 1e5
	ordinaryMachineFactor = 10
	// spotInsteadOfServicesPenalty is added for a spot machine. A task goes to a spot machine instead of an
	// ordinary machine with services only if a tighter fit or a cached image outweighs this penalty. The
	// ordinary machine stays in any case, and filling it first lets spot machines become empty.
	spotInsteadOfServicesPenalty = 50
	// serviceImageFetchPenalty is added where a service's image is missing. A service counts as started only
	// once the image is fetched, and it then stays on the machine, so a tighter fit isn't worth the fetch.
	serviceImageFetchPenalty = 1000
	imageFetchPenaltyPerGB   = 4
	// servicePackingWeight is the score change for a service per CPU that services already hold on a machine:
	// a bonus up to the packing target, and a penalty per CPU beyond the target.
	servicePackingWeight = 8
)

// Packing target of services, see servicePackingTarget. Services are packed on a machine until they hold
// 1/servicePackingDivisor of its CPUs, or servicePackingFleetFraction of the CPUs of all services if that is
// more. In the second case the loss of the machine still affects only that fraction of all services. The
// target is at most servicePackingMaxFraction of the machine's CPUs.
const (
	servicePackingDivisor       = 4
	servicePackingFleetFraction = 0.02
	servicePackingMaxFraction   = 0.75
)

// ShardWrite is the pending write of a machine's shard. Assignments to the machine are added to this write.
type ShardWrite interface {
	// MaxBytes returns an upper bound on the encoded size of the written shard.
	MaxBytes() int
	// Compares returns the number of records that the write is conditional on.
	Compares() int
	// Writes returns the number of operations of the write's transaction.
	Writes() int
	// OtherBytes returns the size of the records that the transaction writes besides the shard.
	OtherBytes() int
	// AssignsJob reports whether the write already assigns tasks of a job.
	AssignsJob(job string) bool
	// FreedQuota returns the part of a team's share that the write releases and doesn't assign again.
	FreedQuota(team string) resources.Vector
}

// Candidate is a machine with the room that a scheduling pass has not used yet.
type Candidate struct {
	MachineID      string
	Record         *storage.ShardMachine
	TypeCPUs       float64          // total CPUs of a machine of this type
	Free           resources.Vector // free resources minus those that the pass has used
	ServiceCPUs    float64          // CPUs that services hold, including services placed by the pass
	TaskCount      int
	CachedImages   map[string]bool // images that tasks have fetched to the machine
	Closing        bool            // about to be removed; reopened if no other machine has room
	HeldBack       bool            // kept for a more urgent job that doesn't have room yet
	ReservedForJob string          // job for which tasks on the machine are being stopped; "" if none
	Shard          ShardWrite      // write that assigns tasks to the machine
}

// AvailableTo reports whether a job may use the free resources of the machine. While tasks are being stopped
// for a job, only this job may use them. If other jobs used them before the stopped tasks end, more tasks
// would have to be stopped.
func (c *Candidate) AvailableTo(job string) bool {
	return c.ReservedForJob == "" || c.ReservedForJob == job
}

// MachineRequest holds the requirements for a machine for a task of a job.
type MachineRequest struct {
	JobID            string
	Spec             *storage.JobSpec
	Need             resources.Vector
	Zones            *ZoneConstraint
	Failures         *JobFailures // nil if the job has no recorded failures
	SpotOnly         bool         // accept ordinary machines only if services keep them in any case
	FreedQuotaOnly   bool         // accept only shards whose write releases enough of the team's share
	OnlyWrite        ShardWrite   // only write that may assign the job's tasks; nil allows any
	MaxShardBytes    int
	MaxShardCompares int // a write with this many compares can't take another job
	// RecordBytes is the size of the job's record if an assignment writes it, or 0. It must fit into a transaction
	// of MaxShardWrites operations that writes MaxOtherBytes besides the shard.
	RecordBytes      int
	MaxShardWrites   int
	MaxOtherBytes    int
	FleetServiceCPUs float64 // CPUs that services hold on all machines
}

// Accepts reports whether a task of the job may be placed on a candidate.
func (r *MachineRequest) Accepts(c *Candidate) bool {
	return r.Need.FitsIn(c.Free) && c.AvailableTo(r.JobID) &&
		MachineAllowed(r.Spec, c.Record) && r.Zones.Allows(c.Record.Zone) &&
		c.TaskCount < MaxTasksPerMachine &&
		r.acceptsShard(c.Shard) &&
		!r.Failures.Excludes(c.MachineID) &&
		!(r.SpotOnly && !c.Record.Spot && c.ServiceCPUs == 0)
}

// acceptsShard reports whether a task of the job may be added to the write of a machine's shard.
func (r *MachineRequest) acceptsShard(shard ShardWrite) bool {
	if r.OnlyWrite != nil && shard != r.OnlyWrite {
		return false
	}
	if r.FreedQuotaOnly && !r.Need.FitsIn(shard.FreedQuota(r.Spec.Team)) {
		return false
	}
	return shard.MaxBytes() <= r.MaxShardBytes && (shard.AssignsJob(r.JobID) || r.acceptsTransaction(shard))
}

// acceptsTransaction reports whether the transaction of a shard's write has room for another job.
func (r *MachineRequest) acceptsTransaction(shard ShardWrite) bool {
	if shard.Compares() >= r.MaxShardCompares {
		return false
	}
	return r.RecordBytes == 0 ||
		shard.Writes() < r.MaxShardWrites && shard.OtherBytes()+r.RecordBytes <= r.MaxOtherBytes
}

// Score returns the score of a candidate that the request accepts. The lowest score is best.
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
	// Packing services together lets other machines become empty. The packing target limits how many services
	// fail together with their machine.
	target := r.servicePackingTarget(c.TypeCPUs)
	if c.ServiceCPUs <= target {
		return score - servicePackingWeight*c.ServiceCPUs
	}
	return score + servicePackingWeight*(c.ServiceCPUs-target)
}

// servicePackingTarget returns the number of a machine's CPUs up to which services are packed on it.
func (r *MachineRequest) servicePackingTarget(machineCPUs float64) float64 {
	return min(
		max(machineCPUs/servicePackingDivisor, servicePackingFleetFraction*r.FleetServiceCPUs),
		servicePackingMaxFraction*machineCPUs,
	)
}

// imageFetchPenalty returns the penalty for a machine without the job's image, in free CPUs.
func imageFetchPenalty(spec *storage.JobSpec) float64 {
	if spec.Service {
		return serviceImageFetchPenalty + imageFetchPenaltyPerGB*spec.ImageGB
	}
	return imageFetchPenaltyPerGB * spec.ImageGB
}
