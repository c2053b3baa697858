package coordination

import (
	"math"
	"sort"

	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

// offer is something that can be rented.
type offer struct {
	machineType, zone string
	spot              bool
}

// pricedOffer is what the planner knows of an offer.
type pricedOffer struct {
	offer
	capacity     resources.Vector
	price        float64
	zoneMachines int // machines of ours in that zone, for ties
}

// taskDemand is a number of like tasks that found no room.
type taskDemand struct {
	spec            *storage.JobSpec
	need            resources.Vector
	tasks           int
	jobID           string
	queueIndex      int // place in the order of urgency
	zoneConstraint  *zoneConstraint
	expectedSeconds float64 // seconds that a task is expected to run
	slackSeconds    float64 // seconds that it may wait and still meet its aim
	spotOnly        bool    // idle-time work: ordinary machines aren't rented for it
	crashLoopTrial  bool    // of a job that fails everywhere
}

// machineBin is a machine with room, there already or requested.
type machineBin struct {
	machineType, zone     string
	spot                  bool
	capacity              resources.Vector // the machine's
	free                  resources.Vector
	arrayCPUs             float64          // CPUs that services leave to other tasks
	committedCPUSeconds   float64          // CPU seconds of those that are spoken for
	running               []runningTask    // what runs there and will end by itself
	promisedCPUs          float64          // CPUs released by those that are spoken for
	bootSeconds           float64          // boot time of its type, seconds
	preemptibleByServices resources.Vector // taken by tasks that a service may preempt
	machineID             string           // "" for a requested one
	overdue               bool             // requested, and not up when it should be
	// by priority, what tasks take that give way to higher ones
	preemptibleByPriority map[int]resources.Vector
}

// runningTask is a task, or several like it, that will end by itself.
type runningTask struct {
	cpus            float64
	expectedSeconds float64 // seconds that it runs in all; how far it is isn't known
}

// expectedReleases is how many CPUs the running tasks are expected to release within a time.
// A task is equally likely to be at any point of its run, which may be longer than
// estimated. The sum is exact, so that it doesn't depend on the order of the tasks.
func (b *machineBin) expectedReleases(within float64) float64 {
	cpus := 0.0
	for _, r := range b.running {
		cpus += resources.Round(r.cpus * min(1, within/max(estimateMargin*r.expectedSeconds, 1)))
	}
	return cpus
}

// absorbDemand takes from the demands what running machines will have room for within
// part boot times: renting for those tasks would bring machines that find
// nothing to do. Services never end, so none of their tasks is absorbed. With
// later, only tasks that may use spot machines are taken, and by as long as their
// own aim lets them wait, at most part: an ordinary machine is dear for them.
func absorbDemand(demands []*taskDemand, bins []*machineBin, part float64, later bool) {
	byUrgency := append([]*taskDemand(nil), demands...)
	sort.SliceStable(
		byUrgency,
		func(a, b int) bool { return byUrgency[a].queueIndex < byUrgency[b].queueIndex },
	)
	for _, demand := range byUrgency {
		if later && !demand.spec.Spot || demand.spec.Service || demand.need.CPUs <= 0 ||
			demand.zoneConstraint != nil &&
				(demand.zoneConstraint.oneZone || demand.zoneConstraint.spreadZones) {
			continue
		}
		expected := 0.0
		for _, bin := range bins {
			if expected >= float64(demand.tasks) {
				break
			}
			if !demand.allowsMachine(bin.machineType, bin.zone, bin.spot) ||
				!demand.need.FitsIn(bin.capacity) {
				continue
			}
			horizon := part * bin.bootSeconds
			if later {
				horizon = min(horizon, max(demand.slackSeconds, minSpotWaitBoots*bin.bootSeconds))
			}
			expected += bin.absorbDemand(demand, horizon, float64(demand.tasks)-expected)
		}
		demand.tasks -= min(demand.tasks, int(expected))
	}
}

// absorbDemand promises a demand's tasks room that the machine will have within a time, most
// of them at most, and returns how many. Short tasks take turns there; of tasks that run
// longer than that each machine has room for a part only, but all together for some: where
// every task fills its machine, machines were rented for what would have begun in time.
func (b *machineBin) absorbDemand(demand *taskDemand, within, most float64) float64 {
	each := demand.need.CPUs * max(demand.expectedSeconds, 1)
	turns := math.Floor(max(0, b.arrayCPUs*within-b.committedCPUSeconds) / each)
	released := max(0, b.expectedReleases(within)-b.promisedCPUs) / demand.need.CPUs
	n := min(most, max(turns, released))
	b.committedCPUSeconds += n * each
	b.promisedCPUs += n * demand.need.CPUs
	return n
}

// minSpotWaitBoots is the part of a boot time that a spot task waits in any case before
// an ordinary machine is rented for it: sooner than that none would be up.
const minSpotWaitBoots = 0.5

func (d *taskDemand) allowsMachine(typeName, zone string, spot bool) bool {
	return typeAndZoneAllowed(d.spec, typeName, zone) && (d.spec.Spot || !spot)
}

// absorbByPreemption takes from the demands of arrays what work of lower priority makes room
// for by giving way: no machine is rented for that.
func absorbByPreemption(demands []*taskDemand, bins []*machineBin) {
	for _, demand := range demands {
		if demand.spec.Service {
			continue
		}
		for _, bin := range bins {
			if demand.tasks == 0 {
				break
			}
			if len(bin.preemptibleByPriority) == 0 ||
				!demand.allowsMachine(bin.machineType, bin.zone, bin.spot) {
				continue
			}
			available := bin.free
			for p, r := range bin.preemptibleByPriority {
				if p < demand.spec.Priority {
					available = available.AddScaled(r, 1)
				}
			}
			n := demand.tasksFitting(available, bin.zone)
			if n == 0 {
				continue
			}
			left := demand.need // of each, what hasn't been taken from what is free
			left = resources.Vector{
				CPUs:     left.CPUs * float64(n),
				GPUs:     left.GPUs * float64(n),
				MemoryGB: left.MemoryGB * float64(n),
			}
			partition := func(r resources.Vector) resources.Vector {
				return resources.Vector{
					CPUs:     min(r.CPUs, left.CPUs),
					GPUs:     min(r.GPUs, left.GPUs),
					MemoryGB: min(r.MemoryGB, left.MemoryGB),
				}
			}
			t := partition(bin.free)
			bin.free, left = bin.free.AddScaled(t, -1), left.AddScaled(t, -1)
			for p := 0; p < demand.spec.Priority; p++ {
				t := partition(bin.preemptibleByPriority[p])
				if t != (resources.Vector{}) {
					bin.preemptibleByPriority[p], left = bin.preemptibleByPriority[p].AddScaled(
						t,
						-1,
					), left.AddScaled(
						t,
						-1,
					)
				}
			}
			bin.committedCPUSeconds += float64(n) * demand.need.CPUs * demand.expectedSeconds
			demand.placeTasks(n, bin.zone)
		}
	}
}

// tasksFitting counts the demand's tasks that free room in a zone can take.
func (d *taskDemand) tasksFitting(free resources.Vector, zone string) int {
	n := min(d.tasks, d.need.CountIn(free))
	if d.zoneConstraint != nil {
		n = min(n, d.zoneConstraint.remaining(zone))
	}
	return n
}

// placeTasks has n tasks placed in a zone, which binds the others of a one-zone job.
func (d *taskDemand) placeTasks(n int, zone string) {
	d.tasks -= n
	if d.zoneConstraint != nil {
		d.zoneConstraint.addTasks(zone, n)
	}
}

// largestFirst sorts demands by the design's rule, but first those that may not
// use spot machines: the others would fill the ordinary machines asked for them,
// and each pass would ask for more.
func largestFirst(demands []*taskDemand) {
	sort.SliceStable(demands, func(a, b int) bool {
		left, right := demands[a], demands[b]
		if left.spec.Spot != right.spec.Spot {
			return right.spec.Spot
		}
		if left.need.GPUs != right.need.GPUs {
			return left.need.GPUs > right.need.GPUs
		}
		if left.need.CPUs != right.need.CPUs {
			return left.need.CPUs > right.need.CPUs
		}
		if left.need.MemoryGB != right.need.MemoryGB {
			return left.need.MemoryGB > right.need.MemoryGB
		}
		return left.queueIndex < right.queueIndex
	})
}

// fillBins takes from the demands what fits into the bins.
func fillBins(demands []*taskDemand, bins []*machineBin) {
	for _, demand := range demands {
		// A task that may use spot machines leaves the others to those that may not.
		for _, spot := range []bool{true, false} {
			if spot && !demand.spec.Spot {
				continue
			}
			for _, bin := range bins {
				if demand.tasks == 0 {
					break
				}
				if bin.spot != spot || !demand.allowsMachine(bin.machineType, bin.zone, bin.spot) ||
					bin.overdue && demand.spec.Service {
					continue
				}
				n := demand.tasksFitting(bin.free, bin.zone)
				bin.free = bin.free.AddScaled(demand.need, -float64(n))
				demand.placeTasks(n, bin.zone)
				if demand.spec.Service {
					bin.arrayCPUs -= float64(n) * demand.need.CPUs
				} else {
					bin.committedCPUSeconds += float64(n) * demand.need.CPUs * demand.expectedSeconds
					// What is only meant to run there is no more in a service's way than
					// what runs: headroom must not rent for it, pass after pass.
					bin.preemptibleByServices = bin.preemptibleByServices.AddScaled(demand.need, float64(n))
				}
			}
		}
	}
}

// reserveHeadroom takes headroom from the bins, also where tasks run that a service may
// preempt, and notes the machines that it needs.
func reserveHeadroom(demands []*taskDemand, bins []*machineBin, needed map[string]bool) {
	for _, demand := range demands {
		for _, empty := range []bool{false, true} { // machines in use first
			for _, bin := range bins {
				if demand.tasks == 0 {
					break
				}
				available := bin.free.AddScaled(bin.preemptibleByServices, 1)
				if (available == bin.capacity) != empty ||
					!demand.allowsMachine(bin.machineType, bin.zone, bin.spot) {
					continue
				}
				n := demand.tasksFitting(available, bin.zone)
				if n == 0 {
					continue
				}
				bin.preemptibleByServices = bin.preemptibleByServices.AddScaled(demand.need, -float64(n))
				demand.tasks -= n
				needed[bin.machineID] = true
			}
		}
	}
}

// packMachine is what one machine of an offer would carry.
func packMachine(
	o *pricedOffer,
	demands []*taskDemand,
	only func(*taskDemand, *pricedOffer) bool,
) (take []int, cpus float64) {
	free := o.capacity
	take = make([]int, len(demands))
	for i, demand := range demands {
		if demand.tasks == 0 || !demand.allowsMachine(o.machineType, o.zone, o.spot) ||
			only != nil && !only(demand, o) {
			continue
		}
		n := demand.tasksFitting(free, o.zone)
		free = free.AddScaled(demand.need, -float64(n))
		take[i] = n
		cpus += float64(n) * demand.need.CPUs
	}
	return take, cpus
}

// planOffers chooses what to rent for demands that fit nowhere: each time the offer
// with the best price for the CPUs that would be used, ties to the zone with
// fewest machines. What remains of the demands can't be met now.
// only, if set, says which demands may use an offer.
func planOffers(
	demands []*taskDemand,
	offers []*pricedOffer,
	most int,
	only func(*taskDemand, *pricedOffer) bool,
	chosen map[offer]int,
) {
	for n := 0; n < most; n++ {
		var best *pricedOffer
		var bestTake []int
		bestCost := 0.0
		for _, o := range offers {
			take, cpus := packMachine(o, demands, only)
			if cpus <= 0 {
				continue
			}
			cost := o.price / cpus
			if best == nil || cost < bestCost-1e-9 ||
				cost < bestCost+1e-9 && o.zoneMachines < best.zoneMachines {
				best, bestTake, bestCost = o, take, cost
			}
		}
		if best == nil {
			break
		}
		for i, k := range bestTake {
			demands[i].placeTasks(k, best.zone)
		}
		chosen[best.offer]++
		for _, o := range offers {
			if o.zone == best.zone {
				o.zoneMachines++
			}
		}
	}
}
