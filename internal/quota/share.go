package quota

import (
	"math"

	"pipitgap/internal/resources"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// Bounds of how shares of the teams' limits change.
const (
	// unusedFraction is the part of a team's limit that all controllers together keep beyond what they use:
	// use goes up and down, and each change of a share is a write.
	unusedFraction = 0.2
	// lowUnallocatedFraction is the unallocated part of a limit below which unused shares are lowered.
	lowUnallocatedFraction = 0.15
)

// UnmetDemand is tasks of one job that a controller's share keeps waiting.
type UnmetDemand struct {
	TaskResources  resources.Vector // of each task
	Tasks          int              // that wait
	ShareLeft      resources.Vector // what is left of the controller's share
	HasMachineRoom bool             // a machine has room for one of them
}

// shortfallPerTask is what the share lacks for a single task.
func (u UnmetDemand) shortfallPerTask() resources.Vector {
	shortfall := resources.Vector{}
	if !math.IsInf(u.ShareLeft.CPUs, 1) {
		shortfall.CPUs = max(0, u.TaskResources.CPUs-u.ShareLeft.CPUs)
	}
	if !math.IsInf(u.ShareLeft.GPUs, 1) {
		shortfall.GPUs = max(0, u.TaskResources.GPUs-u.ShareLeft.GPUs)
	}
	return shortfall
}

// Shortage is what a controller's share of a team's limit lacked since the share was last adjusted.
type Shortage struct {
	PerTask        resources.Vector // for the task that lacks least
	Total          resources.Vector // for all tasks
	HasMachineRoom bool             // a machine has room for one of them
}

// AddDemand returns the shortage with another job's tasks; before is nil if there was none.
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

// ShareInputs is all that the decision about a controller's share of one team's limit depends on.
type ShareInputs struct {
	Limits             Limits
	Current            storage.QuotaShare
	Use                resources.Vector // what the controller's shards take, at most
	Unallocated        resources.Vector // what no controller has of the limit
	Shortage           *Shortage        // nil: the share keeps nothing waiting
	ReportedByPeer     bool             // another controller reported lately that it lacks some of the limit
	WorkersUnreachable bool             // nothing can start at this controller
	Controllers        int              // live controllers that divide the limit, at least 1
}

// ShareDecision is what a share should become.
type ShareDecision struct {
	Share storage.QuotaShare
	// ShortOfQuota: what is unallocated isn't enough for a single task that has room on a machine here.
	ShortOfQuota bool
}

// DecideShare decides what a controller's share of a team's limit should become.
func DecideShare(in ShareInputs) ShareDecision {
	shortage := in.Shortage
	switch {
	case shortage != nil && in.unallocatedIsBelow(shortage.PerTask):
		// Not enough for a single task here, and what is left over here may be what another controller
		// lacks: several such rests add up to a task.
		return ShareDecision{Share: in.loweredShare(resources.Vector{}), ShortOfQuota: shortage.HasMachineRoom}
	case in.WorkersUnreachable:
		return ShareDecision{Share: in.loweredShare(resources.Vector{})}
	case in.ReportedByPeer && (shortage == nil || !shortage.HasMachineRoom):
		// Another controller could start tasks at once; here they would wait for machines.
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

// unallocatedIsBelow reports whether less of the limit is unallocated than is needed.
func (in *ShareInputs) unallocatedIsBelow(need resources.Vector) bool {
	return in.Unallocated.CPUs+resources.Tolerance < need.CPUs ||
		in.Unallocated.GPUs+resources.Tolerance < need.GPUs
}

// unallocatedSuffices reports whether so much is unallocated that shares needn't be lowered.
func (in *ShareInputs) unallocatedSuffices() bool {
	return in.Unallocated.CPUs > lowUnallocatedFraction*in.Limits.MaxCPUs &&
		(in.Limits.MaxGPUs == 0 || in.Unallocated.GPUs > lowUnallocatedFraction*in.Limits.MaxGPUs)
}

// raised takes what is lacking, and half of an even part of what is left then: a raise costs a write, and
// what one controller has no other can use.
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

// lowered returns the share without what lies more than twice a margin above what is used, down to the
// margin: within it the share stays, or each small change of use would cost a write.
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

// Raises reports whether a share grows, in any resource, from before to after.
func Raises(before, after storage.QuotaShare) bool {
	return after.CPUs > before.CPUs+resources.Tolerance || after.GPUs > before.GPUs+resources.Tolerance
}

// MoveShares has shares follow tasks that go over from one controller's shards into another's: it moves what the
// tasks take from the one record to the other. It reports whether a team with a limit was among them.
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
