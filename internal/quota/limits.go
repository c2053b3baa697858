package quota

import (
	"math"

	"pipitgap/internal/config"
	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

// Limits holds a team's resource limits and guarantees. A value of 0 means no limit or no guarantee.
type Limits struct{ GuaranteedCPUs, MaxCPUs, GuaranteedGPUs, MaxGPUs float64 }

// LimitsOf returns the limits of the team with the given name. ok is false if the configuration has no such
// team.
func LimitsOf(teams []config.Team, name string) (limits Limits, ok bool) {
	for i := range teams {
		team := &teams[i]
		if team.Name == name {
			return Limits{
				GuaranteedCPUs: team.CPUs,
				MaxCPUs:        team.CPUsMax,
				GuaranteedGPUs: team.GPUs,
				MaxGPUs:        team.GPUsMax,
			}, true
		}
	}
	return Limits{}, false
}

// Unlimited returns an infinite amount of every resource.
func Unlimited() resources.Vector {
	return resources.Vector{CPUs: math.Inf(1), GPUs: math.Inf(1), MemoryGB: math.Inf(1)}
}

// Limited reports whether the team has a limit on any resource.
func (l Limits) Limited() bool { return l.MaxCPUs > 0 || l.MaxGPUs > 0 }

// Remaining returns the part of the limits that is not used. It is infinite for a resource without a limit,
// and negative if the team uses more than its limit.
func (l Limits) Remaining(used resources.Vector) resources.Vector {
	remaining := Unlimited()
	if l.MaxCPUs > 0 {
		remaining.CPUs = resources.Round(l.MaxCPUs) - used.CPUs
	}
	if l.MaxGPUs > 0 {
		remaining.GPUs = resources.Round(l.MaxGPUs) - used.GPUs
	}
	return remaining
}

// RemainingOfShare returns the unused part of a controller's share of the limits. It is infinite for a
// resource without a limit.
func (l Limits) RemainingOfShare(share, used resources.Vector) resources.Vector {
	remaining := Unlimited()
	if l.MaxCPUs > 0 {
		remaining.CPUs = share.CPUs - used.CPUs
	}
	if l.MaxGPUs > 0 {
		remaining.GPUs = share.GPUs - used.GPUs
	}
	return remaining
}

// Permits reports whether the given amounts alone are within the limits, ignoring what the team already uses.
func (l Limits) Permits(cpus, gpus float64) bool {
	return (l.MaxCPUs <= 0 || cpus <= l.MaxCPUs+resources.Tolerance) &&
		(l.MaxGPUs <= 0 || gpus <= l.MaxGPUs+resources.Tolerance)
}

// Guaranteed reports whether the team has a guarantee for any resource.
func (l Limits) Guaranteed() bool { return l.GuaranteedCPUs > 0 || l.GuaranteedGPUs > 0 }

// GuaranteeCovers reports whether the given usage is within the team's guarantee.
func (l Limits) GuaranteeCovers(use resources.Vector) bool {
	return use.CPUs <= l.GuaranteedCPUs+resources.Tolerance &&
		use.GPUs <= l.GuaranteedGPUs+resources.Tolerance
}

// ShareAmount returns a partition's share of a team's limit, according to the partition's record. Memory is
// not limited.
func ShareAmount(partition *storage.Partition, team string) resources.Vector {
	share := partition.QuotaShares[team]
	return resources.Vector{
		CPUs:     resources.Round(share.CPUs),
		GPUs:     resources.Round(share.GPUs),
		MemoryGB: math.Inf(1),
	}
}
