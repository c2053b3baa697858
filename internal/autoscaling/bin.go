package autoscaling

import (
	"math"

	"pipitgap/internal/resources"
)

// EstimateMargin is the factor by which expected run times are multiplied: estimates may be too short, and
// the image must be fetched before a task runs.
const EstimateMargin = 1.2

// minSpotWaitBootTimes is how long, in boot times, a spot task waits for expected capacity even without
// slack. An on-demand machine requested instead would not be up sooner.
const minSpotWaitBootTimes = 0.5

// Bin is a machine, up or requested, onto which tasks can be packed.
type Bin struct {
	Offer            // the machine's type, zone and market
	MachineID string // empty for a requested machine

	Capacity    resources.Vector
	Free        resources.Vector
	BootSeconds float64 // boot time of the machine type
	Overdue     bool    // requested, and not up after Snapshot.OverdueBootFactor boot times

	ArrayCPUs           float64       // CPUs not used by services
	CommittedCPUSeconds float64       // CPU seconds of ArrayCPUs that running and planned tasks will use
	Running             []RunningTask // running tasks that will end by themselves
	absorbedCPUs        float64       // CPUs that absorb has already planned demand on

	// PreemptibleByServices are the resources held by tasks that a service may preempt.
	PreemptibleByServices resources.Vector
	// PreemptibleByPriority are the resources held by tasks that tasks of a higher priority may preempt, by
	// the priority of the holder.
	PreemptibleByPriority map[int]resources.Vector
}

// RunningTask is a running task of an array job that will end by itself and isn't preemptible.
type RunningTask struct {
	CPUs            float64
	ExpectedSeconds float64 // total expected run time; how long it has run already is unknown
}

// expectedReleases returns how many CPUs the running tasks are expected to release within a time in seconds.
// It assumes that a task is equally likely to be at any point of its run, and that the run may last
// EstimateMargin times as long as estimated. Each summand is rounded, so that the sum is exact and doesn't
// depend on the order of the tasks.
func (b *Bin) expectedReleases(withinSeconds float64) float64 {
	cpus := 0.0
	for _, task := range b.Running {
		cpus += resources.Round(task.CPUs * min(1, withinSeconds/max(EstimateMargin*task.ExpectedSeconds, 1)))
	}
	return cpus
}

// absorb plans up to maxTasks tasks of a demand on the capacity that the machine will have free within a time
// in seconds, and returns their number, which may be a fraction. Short tasks run there one after another. If
// tasks run longer than that time, one machine is expected to free only a fraction of a task's CPUs, but the
// fractions of many machines add up to whole tasks. Without these, machines would be requested for tasks that
// could have started in time.
func (b *Bin) absorb(demand *Demand, withinSeconds, maxTasks float64) float64 {
	cpuSeconds := demand.Need.CPUs * max(demand.ExpectedSeconds, 1)
	sequentialTasks := math.Floor(max(0, b.ArrayCPUs*withinSeconds-b.CommittedCPUSeconds) / cpuSeconds)
	releasedTasks := max(0, b.expectedReleases(withinSeconds)-b.absorbedCPUs) / demand.Need.CPUs
	n := min(maxTasks, max(sequentialTasks, releasedTasks))
	b.CommittedCPUSeconds += n * cpuSeconds
	b.absorbedCPUs += n * demand.Need.CPUs
	return n
}

// place plans n tasks of a demand on the machine's free resources.
func (b *Bin) place(demand *Demand, n int) {
	b.Free = b.Free.AddScaled(demand.Need, -float64(n))
	demand.placeTasks(n, b.Zone)
	if demand.Spec.Service {
		b.ArrayCPUs -= float64(n) * demand.Need.CPUs
		return
	}
	b.CommittedCPUSeconds += float64(n) * demand.Need.CPUs * demand.ExpectedSeconds
	// A task that is only planned here counts as preemptible like a running task. Otherwise every pass
	// would request machines for headroom.
	b.PreemptibleByServices = b.PreemptibleByServices.AddScaled(demand.Need, float64(n))
}

// availableTo returns the resources that are free or held by preemptible tasks of a lower priority.
func (b *Bin) availableTo(priority int) resources.Vector {
	available := b.Free
	for lower, held := range b.PreemptibleByPriority {
		if lower < priority {
			available = available.AddScaled(held, 1)
		}
	}
	return available
}

// placeByPreemption plans n tasks of a demand on the free resources first, then on the resources held by
// preemptible tasks of lower priority, the lowest priority first.
func (b *Bin) placeByPreemption(demand *Demand, n int) {
	remaining := resources.Vector{
		CPUs:     demand.Need.CPUs * float64(n),
		GPUs:     demand.Need.GPUs * float64(n),
		MemoryGB: demand.Need.MemoryGB * float64(n),
	}
	allocated := componentMin(b.Free, remaining)
	b.Free, remaining = b.Free.AddScaled(allocated, -1), remaining.AddScaled(allocated, -1)
	for priority := 0; priority < demand.Spec.Priority; priority++ {
		held := b.PreemptibleByPriority[priority]
		allocated := componentMin(held, remaining)
		if allocated == (resources.Vector{}) {
			continue
		}
		b.PreemptibleByPriority[priority], remaining =
			held.AddScaled(allocated, -1), remaining.AddScaled(allocated, -1)
	}
	b.CommittedCPUSeconds += float64(n) * demand.Need.CPUs * demand.ExpectedSeconds
	demand.placeTasks(n, b.Zone)
}

// componentMin returns the smaller amount of each resource.
func componentMin(a, b resources.Vector) resources.Vector {
	return resources.Vector{
		CPUs:     min(a.CPUs, b.CPUs),
		GPUs:     min(a.GPUs, b.GPUs),
		MemoryGB: min(a.MemoryGB, b.MemoryGB),
	}
}
