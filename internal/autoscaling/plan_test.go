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

// newFullBins are machines that a task fills, each at an unknown point of its run.
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

// withRunTime sets how long a demand's tasks run.
func withRunTime(demand *Demand, seconds float64) *Demand {
	demand.ExpectedSeconds = seconds
	return demand
}

// TestChooseOffers: what is requested for which demands, given free resources, open requests and offers.
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
		bootTimes float64 // how far ahead running machines' capacity counts
		want      map[Offer]int
	}{
		{"no demand", nil, nil, 0, map[Offer]int{}},
		{
			"room is there",
			[]*Demand{newDemand(2, 4, false, false)},
			[]*Bin{newBin("a", false, 8)},
			0,
			map[Offer]int{},
		},
		{
			"an open request is supply",
			[]*Demand{newDemand(8, 1, false, true)},
			[]*Bin{newBin("a", false, 8)},
			0,
			map[Offer]int{},
		},
		{
			"cheapest for what is used, fewest in the zone",
			[]*Demand{newDemand(4, 2, false, true)},
			nil,
			0,
			map[Offer]int{{"m8", "b", false}: 1},
		},
		{
			"larger when filled",
			[]*Demand{newDemand(16, 1, false, true)},
			nil,
			0,
			map[Offer]int{{"m16", "b", false}: 1},
		},
		{
			"spot where allowed",
			[]*Demand{newDemand(8, 2, true, false)},
			nil,
			0,
			map[Offer]int{{"m8", "b", true}: 1, {"m8", "a", true}: 1},
		},
		{
			"what fits nothing gets no machine",
			[]*Demand{newDemand(64, 1, false, true)},
			nil,
			0,
			map[Offer]int{},
		},
		// Arrays that may use spot must not fill the ordinary room of services.
		{"strict demands first", []*Demand{newDemand(4, 2, true, false), newDemand(1, 8, false, true)},
			[]*Bin{newBin("a", false, 8), newBin("a", true, 8)}, 0, map[Offer]int{}},
		{
			"room freed in time is supply",
			[]*Demand{newDemand(8, 1, true, false)},
			[]*Bin{newBin("a", true, 0)},
			2,
			map[Offer]int{},
		},
		{
			"not for services",
			[]*Demand{newDemand(8, 1, false, true)},
			[]*Bin{newBin("a", false, 0)},
			2,
			map[Offer]int{{"m8", "b", false}: 1},
		},
		// Where tasks fill their machines and run for longer than a boot, none of them is over
		// for sure when a machine would be up, but some of them are: machines were requested.
		{
			"long tasks release room on some of many machines",
			[]*Demand{withRunTime(newDemand(8, 2, true, false), 100)},
			newFullBins(13, 100),
			2,
			map[Offer]int{},
		},
		{
			"and on no more than those",
			[]*Demand{withRunTime(newDemand(8, 3, true, false), 100)},
			newFullBins(13, 100),
			2,
			map[Offer]int{{"m8", "b", true}: 1},
		},
		{
			"and for one demand only",
			[]*Demand{
				withRunTime(newDemand(8, 2, true, false), 100),
				withRunTime(newDemand(8, 1, true, false), 100),
			},
			newFullBins(13, 100),
			2,
			map[Offer]int{{"m8", "b", true}: 1},
		},
		{
			"not beyond the horizon",
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
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}

// TestHeadroomUsesPreemptibleCapacity: it is met by free room, by what services may preempt, and by what
// is only meant to run on requested machines. Otherwise each pass would request machines once more.
func TestHeadroomUsesPreemptibleCapacity(t *testing.T) {
	cases := []struct {
		name    string
		demands []*Demand
		bins    []*Bin
		want    int // tasks left
	}{
		{"free room", nil, []*Bin{newBin("a", false, 8)}, 0},
		{"only spot room", nil, []*Bin{newBin("a", true, 8)}, 2},
		{
			"arrays meant for a requested machine",
			[]*Demand{newDemand(2, 4, true, false)},
			[]*Bin{newBin("a", false, 8)},
			0,
		},
		{
			"services hold it",
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
			t.Errorf("%s: %d left, want %d", tc.name, headroom[0].Tasks, tc.want)
		}
	}
}

// TestPreemptibleCapacityIsSupply: room that lower work gives way to is room, for higher work alone,
// and each bit of it once.
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
		{"a task for a task", []*Demand{withPriority(newDemand(4, 3, true, false), 1)},
			[]*Bin{busyBin(0, 8)}, []int{1}},
		{"with what is free", []*Demand{withPriority(newDemand(4, 3, true, false), 1)},
			[]*Bin{busyBin(4, 8)}, []int{0}},
		{
			"each once",
			[]*Demand{withPriority(newDemand(4, 1, true, false), 1), withPriority(newDemand(4, 2, true, false), 2)},
			[]*Bin{busyBin(0, 8)},
			[]int{0, 1},
		},
		{"not its like", []*Demand{withPriority(newDemand(4, 1, true, false), 0)},
			[]*Bin{busyBin(0, 8)}, []int{1}},
		{"not where it may not run", []*Demand{withPriority(newDemand(4, 1, false, false), 1)},
			[]*Bin{busyBin(0, 8)}, []int{1}},
		{
			"not services, which have their own way",
			[]*Demand{withPriority(newDemand(4, 1, true, true), 1)},
			[]*Bin{busyBin(0, 8)},
			[]int{1},
		},
	} {
		absorbByPreemption(tc.demands, tc.bins)
		for i, demand := range tc.demands {
			if demand.Tasks != tc.wantRemaining[i] {
				t.Errorf("%s: %d of demand %d left, want %d", tc.name, demand.Tasks, i, tc.wantRemaining[i])
			}
		}
	}
}

// allowAll lets every demand use every offer.
func allowAll(*Demand, *PricedOffer) bool { return true }
