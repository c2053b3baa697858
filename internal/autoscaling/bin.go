package autoscaling

import (
	"math"

	"pipitgap/internal/resources"
)

// EstimateMargin stretches expected run times: estimates err, and images must be fetched first.
const EstimateMargin = 1.2

// minSpotWaitBootTimes is the part of a boot time that a spot task waits in any case before an on-demand machine
// is requested for it: sooner than that none would be up.
const minSpotWaitBootTimes = 0.5

// Bin is a machine that tasks can be packed into: one that is up, or a requested one.
type Bin struct {
	Offer            // its kind
	MachineID string // "" for a requested one

	Capacity    resources.Vector
	Free        resources.Vector
	BootSeconds float64 // boot time of its type
	Overdue     bool    // requested, and not up when it should have been

	ArrayCPUs           float64       // CPUs that services leave to other tasks
	CommittedCPUSeconds float64       // of these, the CPU seconds that are planned for
	Running             []RunningTask // what runs there and will end by itself
	absorbedCPUs        float64       // CPUs of Running that are planned for already

	// PreemptibleByServices is held by tasks that a service may preempt.
	PreemptibleByServices resources.Vector
	// PreemptibleByPriority is held by tasks that higher priorities may preempt, by their own priority.
	PreemptibleByPriority map[int]resources.Vector
}

// RunningTask is a task that will end by itself, or several like it.
type RunningTask struct {
	CPUs            float64 // of the task
	ExpectedSeconds float64 // its run in all; how far it has come isn't known
}

// expectedReleases is how many CPUs the running tasks are expected to release within a time in seconds. A
// task is equally likely to be at any point of its run, which may be longer than estimated. The sum is exact,
// so that it doesn't depend on the order of the tasks.
func (b *Bin) expectedReleases(withinSeconds float64) float64 {
	cpus := 0.0
	for _, task := range b.Running {
		cpus += resources.Round(task.CPUs * min(1, withinSeconds/max(EstimateMargin*task.ExpectedSeconds, 1)))
	}
	return cpus
}

// absorb plans tasks of a demand, at most so many, on what the machine will have free within a time in
// seconds, and returns how many. Short tasks run there one after the other. Of tasks that run longer than
// that each machine has room for a part only, but many machines together for some whole ones: without that,
// machines would be requested for tasks that could have started in time.
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
	// A task that is only planned there can be preempted like one that runs: otherwise every pass
	// would request machines for headroom.
	b.PreemptibleByServices = b.PreemptibleByServices.AddScaled(demand.Need, float64(n))
}

// availableTo is what is free or held by tasks of a lower priority.
func (b *Bin) availableTo(priority int) resources.Vector {
	available := b.Free
	for lower, held := range b.PreemptibleByPriority {
		if lower < priority {
			available = available.AddScaled(held, 1)
		}
	}
	return available
}

// placeByPreemption plans n tasks of a demand: on what is free first, then on what tasks of lower priority
// hold, the lowest first.
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

// componentMin takes the lesser amount of each resource.
func componentMin(a, b resources.Vector) resources.Vector {
	return resources.Vector{
		CPUs:     min(a.CPUs, b.CPUs),
		GPUs:     min(a.GPUs, b.GPUs),
		MemoryGB: min(a.MemoryGB, b.MemoryGB),
	}
}
