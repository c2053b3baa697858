package coordination

import (
	"fmt"
	"reflect"
	"testing"

	"pipitgap/internal/config"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
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

// TestQueueOrder: higher priority, then what can still meet its aims, the least work
// first; what got nothing for long before any of that.
func TestQueueOrder(t *testing.T) {
	makeJob := func(id string, priority int, at int64) *mirror.Job {
		return &mirror.Job{
			ID:     id,
			Record: storage.OpenJob{AcceptedAt: at, Spec: storage.JobSpec{Priority: priority}},
		}
	}
	cases := []struct {
		name string
		a, b queueEntry
	}{
		{
			"priority",
			queueEntry{job: makeJob("b", 3, 9), slackSeconds: 90},
			queueEntry{job: makeJob("a", 2, 1), slackSeconds: 1},
		},
		{
			"priority, though late",
			queueEntry{job: makeJob("b", 3, 9), missedObjectives: 2},
			queueEntry{job: makeJob("a", 2, 1)},
		},
		{
			"least work",
			queueEntry{job: makeJob("b", 1, 9), slackSeconds: 9, waitingCPUSeconds: 1},
			queueEntry{job: makeJob("a", 1, 1), slackSeconds: 2, waitingCPUSeconds: 2},
		},
		{
			"in time before late",
			queueEntry{job: makeJob("b", 1, 9), waitingCPUSeconds: 9},
			queueEntry{job: makeJob("a", 1, 1), waitingCPUSeconds: 1, missedObjectives: 1},
		},
		{
			"hungry before the like of higher priority",
			queueEntry{job: makeJob("b", 0, 9), starved: true},
			queueEntry{job: makeJob("a", 1, 1)},
		},
		{
			"just late before long late",
			queueEntry{job: makeJob("b", 1, 9), slackSeconds: -5},
			queueEntry{job: makeJob("a", 1, 1), slackSeconds: -50, missedObjectives: 2},
		},
		{
			"oldest of the long late",
			queueEntry{job: makeJob("b", 1, 1), slackSeconds: -5, missedObjectives: 2},
			queueEntry{job: makeJob("a", 1, 2), slackSeconds: -50, missedObjectives: 2},
		},
		{
			"urgent before in time",
			queueEntry{
				job:               makeJob("b", 1, 9),
				deadlineBoost:     true,
				missedObjectives:  2,
				waitingCPUSeconds: 9,
			},
			queueEntry{job: makeJob("a", 1, 1), waitingCPUSeconds: 1},
		},
		{
			"priority before urgent",
			queueEntry{job: makeJob("b", 2, 9)},
			queueEntry{job: makeJob("a", 1, 1), deadlineBoost: true, missedObjectives: 2},
		},
		{"id at last", queueEntry{job: makeJob("a", 1, 1)}, queueEntry{job: makeJob("b", 1, 1)}},
	}
	for _, tc := range cases {
		if !tc.a.goesBefore(tc.b) || tc.b.goesBefore(tc.a) {
			t.Error(tc.name)
		}
	}
}

// TestDeadlineBoostIsLimitedPerTeam: of each team's late jobs those with least work are urgent before their
// next aim, up to a partition of what the team can run.
func TestDeadlineBoostIsLimitedPerTeam(t *testing.T) {
	c := newCluster(t, 3)
	c.teams = []config.Team{{Name: "free"}, {Name: "tight", CPUsMax: 12}}
	c.adjustFacts = func(cfg *config.Config) {
		cfg.Facts.Objectives = []config.Objective{
			{Kind: "deadline", Class: "x", Times: 1},
			{Kind: "deadline", Class: "x", Times: 1.5},
			{Kind: "wait", Class: "x", WithinS: 150},
			{Kind: "finished", Class: "x", WithinS: 250},
		}
	}
	c.start("n-0")
	core := c.nodes["n-0"].controller
	c.sim.Run(500 * second)
	core.catalog.machineTypes = map[string]protocol.MachineType{"m16": {Name: "m16", CPUs: 16}}
	core.mirror.Machines["i-1"] = &mirror.Machine{
		ID:     "i-1",
		Record: &storage.ShardMachine{Type: "m16", State: storage.MachineOpen},
	}
	add := func(team string, age, cpus float64, tasks int) string {
		id := fmt.Sprintf("j-%06d", len(core.mirror.Jobs))
		core.mirror.Jobs[id] = &mirror.Job{
			ID:            id,
			TaskStates:    make([]uint8, tasks),
			TaskResources: resources.Vector{CPUs: cpus},
			Record: storage.OpenJob{
				AcceptedAt: core.env.WallClock() - int64(
					age*float64(second),
				), Spec: storage.JobSpec{Class: "x", Team: team, Tasks: tasks, CPUs: cpus, EstimateS: 10, DeadlineS: 30}},
		}
		core.scheduler.trackingOf(id).progressAt = core.now() // not hungry
		return id
	}
	fresh := add("free", 5, 2, 1)
	small, large := add(
		"free",
		120,
		2,
		4,
	), add(
		"free",
		120,
		2,
		40,
	) // the small one holds a partition of 16 CPUs
	tight := add(
		"tight",
		130,
		2,
		8,
	) // another late one of its team holds 8 of 12 CPUs
	core.mirror.Jobs[add("tight", 130, 2, 8)].AssignedTasks = 4
	passed, waiting := add("free", 249, 1, 1), add("free", 80, 1, 1)
	finish := add("free", 215, 1, 2) // its start is missed, not its end
	place := map[string]int{}
	for i, job := range core.scheduler.orderedQueue() {
		place[job.ID] = i
	}
	for _, tc := range []struct{ first, then string }{{small, fresh}, {finish, fresh}, {fresh, large}, {fresh, tight}, {fresh, passed}, {fresh, waiting}} {
		if place[tc.first] > place[tc.then] {
			t.Errorf("%s stands behind %s: %v", tc.first, tc.then, place)
		}
	}
}

// TestRendezvousOwnerIsStableAndBalanced: machines spread over the live controllers, and only those of one
// that has gone move.
func TestRendezvousOwnerIsStableAndBalanced(t *testing.T) {
	all := []string{"n-0", "n-1", "n-2"}
	count := map[string]int{}
	for i := 0; i < 300; i++ {
		id := mirror.TaskID{Job: "i", Index: i}.String()
		destination := rendezvousOwner(id, all)
		count[destination]++
		if destination != "n-1" && rendezvousOwner(id, []string{"n-0", "n-2"}) != destination {
			t.Fatalf("%s moved from %s", id, destination)
		}
	}
	for _, node := range all {
		if count[node] < 60 {
			t.Errorf("%s is home to %d of 300", node, count[node])
		}
	}
}

// TestSampledPlacementFindsOnlyRoom: with many machines a sample is looked at, and what only one machine
// has room for is found all the same.
func TestSampledPlacementFindsOnlyRoom(t *testing.T) {
	c := newCluster(t, 23)
	c.start("n-0")
	core := c.nodes["n-0"].controller
	job := &mirror.Job{
		ID:            "j-1",
		TaskResources: resources.Vector{CPUs: 2},
		Record:        storage.OpenJob{Spec: storage.JobSpec{CPUs: 2}},
	}
	update := NewShardUpdate("p", nil, &storage.Shard{})
	var candidates []*candidateMachine
	for i := 0; i < 4*sampleAboveMachines; i++ {
		machine := &mirror.Machine{
			ID:           mirror.TaskID{Job: "i", Index: i}.String(),
			CachedImages: map[string]bool{},
			Record:       &storage.ShardMachine{Type: "m8", Zone: "a"},
		}
		candidates = append(
			candidates,
			&candidateMachine{
				machine:       machine,
				record:        machine.Record,
				update:        update,
				freeResources: resources.Vector{CPUs: 1},
			},
		)
	}
	zones := newZoneConstraint(core.mirror, job)
	if candidate := core.scheduler.chooseMachine(job, candidates, zones, nil, nil, true, false, false); candidate != nil {
		t.Errorf("%s has no room", candidate.machine.ID)
	}
	only := candidates[len(candidates)/3]
	only.freeResources = resources.Vector{CPUs: 2}
	if candidate := core.scheduler.chooseMachine(job, candidates, zones, nil, nil, true, false, false); candidate != only {
		t.Error("the one machine with room was not found")
	}
	for _, candidate := range candidates {
		candidate.freeResources = resources.Vector{CPUs: 8}
	}
	synced := map[string]bool{}
	for i := 0; i < 20; i++ {
		synced[core.scheduler.chooseMachine(job, candidates, zones, nil, nil, true, false, false).machine.ID] = true
	}
	if len(synced) < 5 {
		t.Errorf("20 choices among equals fell on %d machines: no sample", len(synced))
	}
}

// TestScaleInDelayByPrice: how long an empty machine is kept for the next burst: a dear one less
// long than a cheap one of the same type.
func TestScaleInDelayByPrice(t *testing.T) {
	core := newCluster(t, 12).startWithLeader().nodes["n-0"].controller
	core.settings.ScaleDownDelay = config.Duration(20 * second)
	core.catalog.machineTypes = map[string]protocol.MachineType{
		"both":    {Name: "both", CPUs: 8, OnDemandPrice: 1, SpotPrice: 0.25},
		"no spot": {Name: "no spot", CPUs: 8, OnDemandPrice: 1},
		"no gain": {Name: "no gain", CPUs: 8, OnDemandPrice: 1, SpotPrice: 1.5},
	}
	for _, tc := range []struct {
		typ  string
		spot bool
		want monotime.Micros
	}{
		{"both", true, 20 * second}, {"both", false, 5 * second}, {"no spot", false, 20 * second},
		{"no gain", false, 20 * second}, {"no gain", true, 20 * second}, {"unknown", false, 20 * second},
	} {
		if got := core.autoscaler.scaleInDelay(&storage.ShardMachine{Type: tc.typ, Spot: tc.spot}); got != tc.want {
			t.Errorf("%s, spot %v: %v s", tc.typ, tc.spot, got.Seconds())
		}
	}
}
