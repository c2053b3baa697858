package quota

import (
	"math"

	"pipitgap/internal/resources"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// Thresholds for changing the shares of a team's limit.
const (
	// unusedFraction is the fraction of a team's limit that all controllers together may keep in their shares
	// in addition to what they use. Usage fluctuates, and each change of a share costs a write.
	unusedFraction = 0.2
	// lowUnallocatedFraction is the unallocated fraction of a limit at or below which controllers lower
	// shares that they don't fully use.
	lowUnallocatedFraction = 0.15
)

// UnmetDemand describes the tasks of one job that wait because too little of the controller's share of the
// team's limit is left.
type UnmetDemand struct {
	TaskResources  resources.Vector // resources of each task
	Tasks          int              // number of waiting tasks
	RemainingShare resources.Vector // unused part of the controller's share
	HasMachineRoom bool             // whether some machine has room for one of the tasks
}

// shortfallPerTask returns the resources that a single task needs in addition to the unused part of the
// share.
func (u UnmetDemand) shortfallPerTask() resources.Vector {
	shortfall := resources.Vector{}
	if !math.IsInf(u.RemainingShare.CPUs, 1) {
		shortfall.CPUs = max(0, u.TaskResources.CPUs-u.RemainingShare.CPUs)
	}
	if !math.IsInf(u.RemainingShare.GPUs, 1) {
		shortfall.GPUs = max(0, u.TaskResources.GPUs-u.RemainingShare.GPUs)
	}
	return shortfall
}

// Shortage is the demand that a controller's share of a team's limit could not satisfy since the share was last
// adjusted.
type Shortage struct {
	PerTask        resources.Vector // smallest shortfall of any single task
	Total          resources.Vector // of all waiting tasks; the unused part of the share isn't subtracted
	HasMachineRoom bool             // whether some machine has room for one of the tasks
}

// AddDemand returns a copy of the previous shortage with another job's tasks added. previous is nil if there
// was no shortage.
func AddDemand(previous *Shortage, demand UnmetDemand) *Shortage {
	shortfall := demand.shortfallPerTask()
	if previous == nil {
		previous = &Shortage{PerTask: shortfall}
	}
	updated := *previous
	if shortfall.CPUs+shortfall.GPUs < updated.PerTask.CPUs+updated.PerTask.GPUs {
		updated.PerTask = shortfall
	}
	updated.Total = updated.Total.AddScaled(demand.TaskResources, float64(demand.Tasks))
	updated.HasMachineRoom = updated.HasMachineRoom || demand.HasMachineRoom
	return &updated
}

// ShareInputs holds everything that DecideShare needs to know about a controller's share of one team's limit.
type ShareInputs struct {
	Limits             Limits
	Current            storage.QuotaShare
	Use                resources.Vector // upper bound on the resources used by tasks in the controller's shards
	Unallocated        resources.Vector // part of the limit that is in no controller's share
	Shortage           *Shortage        // nil if no task waits for the share to grow
	PeerShortage       bool             // whether another controller recently reported a shortage of this limit
	WorkersUnreachable bool             // whether this controller can't reach its workers, so nothing can start
	Controllers        int              // number of live controllers that divide the limit, at least 1
}

// ShareDecision is the result of DecideShare.
type ShareDecision struct {
	Share storage.QuotaShare // the new share
	// ShortOfQuota is true if the unallocated part of the limit is too small for even one waiting task
	// although a machine of this controller has room for that task.
	ShortOfQuota bool
}

// DecideShare returns the new share that a controller should have of a team's limit.
func DecideShare(in ShareInputs) ShareDecision {
	shortage := in.Shortage
	switch {
	case shortage != nil && in.unallocatedIsBelow(shortage.PerTask):
		// The unallocated part of the limit is too small for a single task of this controller. The unused
		// part of its share may still help another controller: the unused parts of several shares can add up
		// to enough for a task.
		return ShareDecision{Share: in.loweredShare(resources.Vector{}), ShortOfQuota: shortage.HasMachineRoom}
	case in.WorkersUnreachable:
		return ShareDecision{Share: in.loweredShare(resources.Vector{})}
	case in.PeerShortage && (shortage == nil || !shortage.HasMachineRoom):
		// The other controller can start tasks immediately. Tasks of this controller would have to wait for a
		// machine.
		return ShareDecision{Share: in.loweredShare(resources.Vector{})}
	case shortage != nil:
		return ShareDecision{Share: in.raisedShare()}
	case in.unallocatedSuffices():
		return ShareDecision{Share: in.Current}
	}
	fraction := unusedFraction / float64(in.Controllers)
	margin := resources.Vector{CPUs: fraction * in.Limits.MaxCPUs, GPUs: fraction * in.Limits.MaxGPUs}
	return ShareDecision{Share: in.loweredShare(margin)}
}

// unallocatedIsBelow reports whether the unallocated part of the limit is less than need, in any resource.
func (in *ShareInputs) unallocatedIsBelow(need resources.Vector) bool {
	return in.Unallocated.CPUs+resources.Tolerance < need.CPUs ||
		in.Unallocated.GPUs+resources.Tolerance < need.GPUs
}

// unallocatedSuffices reports whether the unallocated part of the limit is large enough that controllers
// needn't lower their shares.
func (in *ShareInputs) unallocatedSuffices() bool {
	return in.Unallocated.CPUs > lowUnallocatedFraction*in.Limits.MaxCPUs &&
		(in.Limits.MaxGPUs == 0 || in.Unallocated.GPUs > lowUnallocatedFraction*in.Limits.MaxGPUs)
}

// raisedShare adds the shortage to the share, up to the unallocated part of the limit. It also adds half of
// this controller's even part of what then remains unallocated. The extra amount makes raises less frequent,
// since each costs a write. It is small because other controllers can't use what this controller holds.
func (in *ShareInputs) raisedShare() storage.QuotaShare {
	fraction := 1 / (2 * float64(in.Controllers))
	growTo := func(current, shortfall, unallocated float64) float64 {
		grown := resources.Round(
			current + min(max(0, unallocated), max(shortfall, 0)+max(0, unallocated-shortfall)*fraction),
		)
		if grown > current+resources.Tolerance {
			return grown
		}
		return current
	}
	share := in.Current
	if in.Limits.MaxCPUs > 0 {
		share.CPUs = growTo(share.CPUs, in.Shortage.Total.CPUs, in.Unallocated.CPUs)
	}
	if in.Limits.MaxGPUs > 0 {
		share.GPUs = growTo(share.GPUs, in.Shortage.Total.GPUs, in.Unallocated.GPUs)
	}
	return share
}

// loweredShare lowers the share to the usage plus margin if the share exceeds the usage by more than twice
// the margin in any resource. Otherwise it returns the share unchanged. Without this hysteresis, each small
// change of usage would cost a write.
func (in *ShareInputs) loweredShare(margin resources.Vector) storage.QuotaShare {
	current := in.Current
	lowered := storage.QuotaShare{
		CPUs: max(0, min(current.CPUs, in.Use.CPUs+margin.CPUs)),
		GPUs: max(0, min(current.GPUs, in.Use.GPUs+margin.GPUs)),
	}
	if lowered.CPUs < current.CPUs-resources.Tolerance-margin.CPUs ||
		lowered.GPUs < current.GPUs-resources.Tolerance-margin.GPUs {
		return lowered
	}
	return current
}

// Raises reports whether after exceeds before in any resource.
func Raises(before, after storage.QuotaShare) bool {
	return after.CPUs > before.CPUs+resources.Tolerance || after.GPUs > before.GPUs+resources.Tolerance
}

// MoveShares moves quota shares from one controller's record to another's when tasks move between their
// shards. It moves the amount that the tasks use, for each team with a limit, and reports whether there is
// such a team.
func MoveShares(
	from, to *storage.Partition,
	useByTeam map[string]resources.Vector,
	limited func(team string) bool,
) (moved bool) {
	for _, team := range sortedmap.Keys(useByTeam) {
		if !limited(team) {
			continue
		}
		moved = true
		use, source, target := useByTeam[team], from.QuotaShares[team], to.QuotaShares[team]
		source.CPUs, target.CPUs = max(0, source.CPUs-use.CPUs), target.CPUs+use.CPUs
		source.GPUs, target.GPUs = max(0, source.GPUs-use.GPUs), target.GPUs+use.GPUs
		from.QuotaShares[team], to.QuotaShares[team] = source, target
	}
	return moved
}
