package autoscaling

import (
	"reflect"
	"testing"

	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

func newDemand(cpus float64, count int, spot, service bool) *Demand {
	spec := &storage.JobSpec{CPUs: cpus, MemoryGB: 1, Spot: spot, Service: service, EstimateS: 10}
	return &Demand{
		Spec:            spec,
		Need:            resources.Vector{CPUs: cpus, MemoryGB: 1},
		Tasks:           count,
		ExpectedSeconds: 10,
		SlackSeconds:    20,
	}
}

func newBin(zone string, spot bool, freeCPUs float64) *Bin {
	size := resources.Vector{CPUs: 8, MemoryGB: 64}
	return &Bin{
		Offer:               Offer{"m8", zone, spot},
		Capacity:            size,
		Free:                resources.Vector{CPUs: freeCPUs, MemoryGB: 64},
		ArrayCPUs:           8,
		BootSeconds:         10,
		CommittedCPUSeconds: 10 * (8 - freeCPUs),
	}
}

// newFullBins returns machines that are each filled by one task at an unknown point of its run.
func newFullBins(n int, runSeconds float64) []*Bin {
	var bins []*Bin
	for range n {
		bin := newBin("a", true, 0)
		bin.CommittedCPUSeconds = 8 * runSeconds / 2
		bin.Running = []RunningTask{{8, runSeconds}}
		bins = append(bins, bin)
	}
	return bins
}

// withRunTime sets the expected run time of a demand's tasks.
func withRunTime(demand *Demand, seconds float64) *Demand {
	demand.ExpectedSeconds = seconds
	return demand
}

// TestChooseOffers checks which machines are requested for demands, given free resources, expected releases,
// open requests and offers.
func TestChooseOffers(t *testing.T) {
	offers := func() []*PricedOffer {
		var out []*PricedOffer
		for _, zone := range []string{"a", "b"} {
			out = append(
				out,
				&PricedOffer{
					Offer:        Offer{"m8", zone, false},
					Capacity:     resources.Vector{CPUs: 8, MemoryGB: 64},
					Price:        1,
					ZoneMachines: map[string]int{"a": 1}[zone],
				},
				&PricedOffer{
					Offer:        Offer{"m8", zone, true},
					Capacity:     resources.Vector{CPUs: 8, MemoryGB: 64},
					Price:        0.4,
					ZoneMachines: map[string]int{"a": 1}[zone],
				},
				&PricedOffer{
					Offer:        Offer{"m16", zone, false},
					Capacity:     resources.Vector{CPUs: 16, MemoryGB: 128},
					Price:        1.9,
					ZoneMachines: map[string]int{"a": 1}[zone],
				},
			)
		}
		return out
	}
	cases := []struct {
		name      string
		demands   []*Demand
		bins      []*Bin
		bootTimes float64 // planning horizon for the capacity of running machines
		want      map[Offer]int
	}{
		{"no demand", nil, nil, 0, map[Offer]int{}},
		{
			"free capacity",
			[]*Demand{newDemand(2, 4, false, false)},
			[]*Bin{newBin("a", false, 8)},
			0,
			map[Offer]int{},
		},
		{
			"open request counts as supply",
			[]*Demand{newDemand(8, 1, false, true)},
			[]*Bin{newBin("a", false, 8)},
			0,
			map[Offer]int{},
		},
		{
			"lowest price per used CPU, then zone with fewest machines",
			[]*Demand{newDemand(4, 2, false, true)},
			nil,
			0,
			map[Offer]int{{"m8", "b", false}: 1},
		},
		{
			"larger machine when filled",
			[]*Demand{newDemand(16, 1, false, true)},
			nil,
			0,
			map[Offer]int{{"m16", "b", false}: 1},
		},
		{
			"spot machines for spot tasks",
			[]*Demand{newDemand(8, 2, true, false)},
			nil,
			0,
			map[Offer]int{{"m8", "b", true}: 1, {"m8", "a", true}: 1},
		},
		{
			"no machine for a task that fits no offer",
			[]*Demand{newDemand(64, 1, false, true)},
			nil,
			0,
			map[Offer]int{},
		},
		// Array tasks that may use spot machines must not fill the on-demand capacity that services need.
		{"on-demand-only demands first", []*Demand{newDemand(4, 2, true, false), newDemand(1, 8, false, true)},
			[]*Bin{newBin("a", false, 8), newBin("a", true, 8)}, 0, map[Offer]int{}},
		{
			"capacity released within the horizon counts as supply",
			[]*Demand{newDemand(8, 1, true, false)},
			[]*Bin{newBin("a", true, 0)},
			2,
			map[Offer]int{},
		},
		{
			"released capacity is no supply for services",
			[]*Demand{newDemand(8, 1, false, true)},
			[]*Bin{newBin("a", false, 0)},
			2,
			map[Offer]int{{"m8", "b", false}: 1},
		},
		// Each machine runs one task that fills it and outlasts a boot. No single task is certain to end
		// before a new machine would be up, but some of them will. A planner that ignores expected releases
		// requests unneeded machines here.
		{
			"expected releases of many machines add up",
			[]*Demand{withRunTime(newDemand(8, 2, true, false), 100)},
			newFullBins(13, 100),
			2,
			map[Offer]int{},
		},
		{
			"demand above the expected releases gets a machine",
			[]*Demand{withRunTime(newDemand(8, 3, true, false), 100)},
			newFullBins(13, 100),
			2,
			map[Offer]int{{"m8", "b", true}: 1},
		},
		{
			"each expected release counts for one demand only",
			[]*Demand{
				withRunTime(newDemand(8, 2, true, false), 100),
				withRunTime(newDemand(8, 1, true, false), 100),
			},
			newFullBins(13, 100),
			2,
			map[Offer]int{{"m8", "b", true}: 1},
		},
		{
			"capacity released after the horizon is no supply",
			[]*Demand{newDemand(8, 1, true, false)},
			[]*Bin{newBin("a", true, 0)},
			0.5,
			map[Offer]int{{"m8", "b", true}: 1},
		},
	}
	for _, tc := range cases {
		sortLargestFirst(tc.demands)
		fillBins(tc.demands, tc.bins)
		absorbDemand(tc.demands, tc.bins, absorptionPolicy{bootTimes: tc.bootTimes})
		got := map[Offer]int{}
		chooseOffers(tc.demands, offers(), 10, allowAll, got)
		if !reflect.DeepEqual(got, tc.want) {
			t.Errorf("%s: got machines %v, want %v", tc.name, got, tc.want)
		}
	}
}

// TestHeadroomUsesPreemptibleCapacity checks that headroom is met by free on-demand capacity and by capacity
// that services may preempt, including array tasks that are only planned on requested machines. Otherwise
// each pass would request machines again.
func TestHeadroomUsesPreemptibleCapacity(t *testing.T) {
	cases := []struct {
		name    string
		demands []*Demand
		bins    []*Bin
		want    int // unplaced headroom tasks
	}{
		{"free capacity", nil, []*Bin{newBin("a", false, 8)}, 0},
		{"only spot capacity", nil, []*Bin{newBin("a", true, 8)}, 2},
		{
			"array tasks planned on a requested machine",
			[]*Demand{newDemand(2, 4, true, false)},
			[]*Bin{newBin("a", false, 8)},
			0,
		},
		{
			"capacity held by services",
			[]*Demand{newDemand(8, 1, false, true)},
			[]*Bin{newBin("a", false, 8)},
			2,
		},
	}
	for _, tc := range cases {
		fillBins(tc.demands, tc.bins)
		headroom := []*Demand{newDemand(2, 2, false, true)}
		reserveHeadroom(headroom, tc.bins)
		if headroom[0].Tasks != tc.want {
			t.Errorf("%s: got %d unplaced headroom tasks, want %d", tc.name, headroom[0].Tasks, tc.want)
		}
	}
}

// TestPreemptibleCapacityIsSupply checks that capacity held by preemptible tasks of lower priority counts as
// supply, only for array demands of a higher priority, and each part of it only once.
func TestPreemptibleCapacityIsSupply(t *testing.T) {
	withPriority := func(demand *Demand, priority int) *Demand { demand.Spec.Priority = priority; return demand }
	busyBin := func(freeCPUs, heldCPUs float64) *Bin {
		bin := newBin("a", true, freeCPUs)
		bin.PreemptibleByPriority = map[int]resources.Vector{0: {CPUs: heldCPUs, MemoryGB: 2 * heldCPUs}}
		return bin
	}
	for _, tc := range []struct {
		name          string
		demands       []*Demand
		bins          []*Bin
		wantRemaining []int
	}{
		{"two tasks preempt, one is unplaced", []*Demand{withPriority(newDemand(4, 3, true, false), 1)},
			[]*Bin{busyBin(0, 8)}, []int{1}},
		{"free and preemptible capacity", []*Demand{withPriority(newDemand(4, 3, true, false), 1)},
			[]*Bin{busyBin(4, 8)}, []int{0}},
		{
			"capacity counts only once",
			[]*Demand{withPriority(newDemand(4, 1, true, false), 1), withPriority(newDemand(4, 2, true, false), 2)},
			[]*Bin{busyBin(0, 8)},
			[]int{0, 1},
		},
		{"same priority", []*Demand{withPriority(newDemand(4, 1, true, false), 0)},
			[]*Bin{busyBin(0, 8)}, []int{1}},
		{"demand may not use spot machines", []*Demand{withPriority(newDemand(4, 1, false, false), 1)},
			[]*Bin{busyBin(0, 8)}, []int{1}},
		{
			"services, which preempt by another rule",
			[]*Demand{withPriority(newDemand(4, 1, true, true), 1)},
			[]*Bin{busyBin(0, 8)},
			[]int{1},
		},
	} {
		absorbByPreemption(tc.demands, tc.bins)
		for i, demand := range tc.demands {
			if demand.Tasks != tc.wantRemaining[i] {
				t.Errorf("%s: demand %d: got %d unplaced tasks, want %d",
					tc.name, i, demand.Tasks, tc.wantRemaining[i])
			}
		}
	}
}

// allowAll allows every offer for every demand.
func allowAll(*Demand, *PricedOffer) bool { return true }
