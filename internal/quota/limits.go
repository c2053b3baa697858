package quota

import (
	"math"

	"pipitgap/internal/config"
	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

// Limits is what a team may use at most and what it is guaranteed; 0 is no limit and no guarantee.
type Limits struct{ GuaranteedCPUs, MaxCPUs, GuaranteedGPUs, MaxGPUs float64 }

// LimitsOf returns a team's limits; ok is false if the configuration has no such team.
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

// Unlimited is an amount that bounds nothing.
func Unlimited() resources.Vector {
	return resources.Vector{CPUs: math.Inf(1), GPUs: math.Inf(1), MemoryGB: math.Inf(1)}
}

// Limited reports whether the team has a limit of any resource.
func (l Limits) Limited() bool { return l.MaxCPUs > 0 || l.MaxGPUs > 0 }

// Remaining is what the team may use beyond what it uses; infinite for a resource without a limit.
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

// RemainingOfShare is what a share leaves beyond what is used of it; infinite for a resource without a limit.
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

// Permits reports whether the limits leave room for an amount when the team uses nothing else.
func (l Limits) Permits(cpus, gpus float64) bool {
	return (l.MaxCPUs <= 0 || cpus <= l.MaxCPUs+resources.Tolerance) &&
		(l.MaxGPUs <= 0 || gpus <= l.MaxGPUs+resources.Tolerance)
}

// Guaranteed reports whether the team has a guarantee of any resource.
func (l Limits) Guaranteed() bool { return l.GuaranteedCPUs > 0 || l.GuaranteedGPUs > 0 }

// GuaranteeCovers reports whether an amount lies within the team's guarantee.
func (l Limits) GuaranteeCovers(use resources.Vector) bool {
	return use.CPUs <= l.GuaranteedCPUs+resources.Tolerance &&
		use.GPUs <= l.GuaranteedGPUs+resources.Tolerance
}

// ShareAmount is what a partition's record lets it use of a team's limit. Memory has no limit.
func ShareAmount(partition *storage.Partition, team string) resources.Vector {
	share := partition.QuotaShares[team]
	return resources.Vector{
		CPUs:     resources.Round(share.CPUs),
		GPUs:     resources.Round(share.GPUs),
		MemoryGB: math.Inf(1),
	}
}
