package coordination

import (
	"reflect"
	"testing"

	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

func newDemand(cpus float64, count int, spot, service bool) *taskDemand {
	spec := &storage.JobSpec{CPUs: cpus, MemoryGB: 1, Spot: spot, Service: service, EstimateS: 10}
	return &taskDemand{
		spec:            spec,
		need:            resources.Vector{CPUs: cpus, MemoryGB: 1},
		tasks:           count,
		expectedSeconds: 10,
		slackSeconds:    20,
	}
}

func newBin(zone string, spot bool, freeCPUs float64) *machineBin {
	size := resources.Vector{CPUs: 8, MemoryGB: 64}
	return &machineBin{
		machineType:         "m8",
		zone:                zone,
		spot:                spot,
		capacity:            size,
		free:                resources.Vector{CPUs: freeCPUs, MemoryGB: 64},
		arrayCPUs:           8,
		bootSeconds:         10,
		committedCPUSeconds: 10 * (8 - freeCPUs),
	}
}

// newFullBins are machines that a task fills, each at an unknown point of its run.
func newFullBins(n int, lasts float64) []*machineBin {
	var bins []*machineBin
	for range n {
		bin := newBin("a", true, 0)
		bin.committedCPUSeconds = 8 * lasts / 2
		bin.running = []runningTask{{8, lasts}}
		bins = append(bins, bin)
	}
	return bins
}

// withRunTime sets how long a demand's tasks run.
func withRunTime(demand *taskDemand, seconds float64) *taskDemand {
	demand.expectedSeconds = seconds
	return demand
}

// TestPlanOffers: what is rented for which demands, given room, open requests and
// offers.
func TestPlanOffers(t *testing.T) {
	offers := func() []*pricedOffer {
		var out []*pricedOffer
		for _, z := range []string{"a", "b"} {
			out = append(
				out,
				&pricedOffer{
					offer:        offer{"m8", z, false},
					capacity:     resources.Vector{CPUs: 8, MemoryGB: 64},
					price:        1,
					zoneMachines: map[string]int{"a": 1}[z],
				},
				&pricedOffer{
					offer:        offer{"m8", z, true},
					capacity:     resources.Vector{CPUs: 8, MemoryGB: 64},
					price:        0.4,
					zoneMachines: map[string]int{"a": 1}[z],
				},
				&pricedOffer{
					offer:        offer{"m16", z, false},
					capacity:     resources.Vector{CPUs: 16, MemoryGB: 128},
					price:        1.9,
					zoneMachines: map[string]int{"a": 1}[z],
				},
			)
		}
		return out
	}
	cases := []struct {
		name      string
		ds        []*taskDemand
		bins      []*machineBin
		partition float64
		want      map[offer]int
	}{
		{"no demand", nil, nil, 0, map[offer]int{}},
		{
			"room is there",
			[]*taskDemand{newDemand(2, 4, false, false)},
			[]*machineBin{newBin("a", false, 8)},
			0,
			map[offer]int{},
		},
		{
			"an open request is supply",
			[]*taskDemand{newDemand(8, 1, false, true)},
			[]*machineBin{newBin("a", false, 8)},
			0,
			map[offer]int{},
		},
		{
			"cheapest for what is used, fewest in the zone",
			[]*taskDemand{newDemand(4, 2, false, true)},
			nil,
			0,
			map[offer]int{{"m8", "b", false}: 1},
		},
		{
			"larger when filled",
			[]*taskDemand{newDemand(16, 1, false, true)},
			nil,
			0,
			map[offer]int{{"m16", "b", false}: 1},
		},
		{
			"spot where allowed",
			[]*taskDemand{newDemand(8, 2, true, false)},
			nil,
			0,
			map[offer]int{{"m8", "b", true}: 1, {"m8", "a", true}: 1},
		},
		{
			"what fits nothing isn't rented for",
			[]*taskDemand{newDemand(64, 1, false, true)},
			nil,
			0,
			map[offer]int{},
		},
		// Arrays that may use spot must not fill the ordinary room of services.
		{"strict demands first", []*taskDemand{newDemand(4, 2, true, false), newDemand(1, 8, false, true)},
			[]*machineBin{newBin("a", false, 8), newBin("a", true, 8)}, 0, map[offer]int{}},
		{
			"room freed in time is supply",
			[]*taskDemand{newDemand(8, 1, true, false)},
			[]*machineBin{newBin("a", true, 0)},
			2,
			map[offer]int{},
		},
		{
			"not for services",
			[]*taskDemand{newDemand(8, 1, false, true)},
			[]*machineBin{newBin("a", false, 0)},
			2,
			map[offer]int{{"m8", "b", false}: 1},
		},
		// Where tasks fill their machines and run for longer than a boot, none of them is over
		// for sure when a machine would be up, but some of them are: machines were rented.
		{
			"long tasks release room on some of many machines",
			[]*taskDemand{withRunTime(newDemand(8, 2, true, false), 100)},
			newFullBins(13, 100),
			2,
			map[offer]int{},
		},
		{
			"and on no more than those",
			[]*taskDemand{withRunTime(newDemand(8, 3, true, false), 100)},
			newFullBins(13, 100),
			2,
			map[offer]int{{"m8", "b", true}: 1},
		},
		{
			"and for one demand only",
			[]*taskDemand{
				withRunTime(newDemand(8, 2, true, false), 100),
				withRunTime(newDemand(8, 1, true, false), 100),
			},
			newFullBins(13, 100),
			2,
			map[offer]int{{"m8", "b", true}: 1},
		},
		{
			"not beyond the horizon",
			[]*taskDemand{newDemand(8, 1, true, false)},
			[]*machineBin{newBin("a", true, 0)},
			0.5,
			map[offer]int{{"m8", "b", true}: 1},
		},
	}
	for _, tc := range cases {
		largestFirst(tc.ds)
		fillBins(tc.ds, tc.bins)
		absorbDemand(tc.ds, tc.bins, tc.partition, false)
		got := map[offer]int{}
		planOffers(tc.ds, offers(), 10, nil, got)
		if !reflect.DeepEqual(got, tc.want) {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}

// TestHeadroomUsesPreemptibleRoom: it is met by free room, by what services may preempt, and by what
// is only meant to run on requested machines. Else each pass rented once more.
func TestHeadroomUsesPreemptibleRoom(t *testing.T) {
	cases := []struct {
		name string
		ds   []*taskDemand
		bins []*machineBin
		want int // left to be rented for
	}{
		{"free room", nil, []*machineBin{newBin("a", false, 8)}, 0},
		{"only spot room", nil, []*machineBin{newBin("a", true, 8)}, 2},
		{
			"arrays meant for a requested machine",
			[]*taskDemand{newDemand(2, 4, true, false)},
			[]*machineBin{newBin("a", false, 8)},
			0,
		},
		{
			"services hold it",
			[]*taskDemand{newDemand(8, 1, false, true)},
			[]*machineBin{newBin("a", false, 8)},
			2,
		},
	}
	for _, tc := range cases {
		fillBins(tc.ds, tc.bins)
		reserve := []*taskDemand{newDemand(2, 2, false, true)}
		reserveHeadroom(reserve, tc.bins, map[string]bool{})
		if reserve[0].tasks != tc.want {
			t.Errorf("%s: %d left, want %d", tc.name, reserve[0].tasks, tc.want)
		}
	}
}
