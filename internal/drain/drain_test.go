package drain

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"pipitgap/internal/config"
	"pipitgap/internal/resources"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// fleetSpec describes a small fleet from which build makes a snapshot.
type fleetSpec struct {
	machines map[string][]string // machine id: the jobs of its replicas
	zones    map[string]string   // machine id: its zone; default "a"
	jobs     map[string]Job
	drains   map[string]storage.Drain
	permits  map[string][]storage.Permit
	starting map[string]bool // machines whose replicas are starting
	state    map[string]storage.MachineState
}

const machineCPUs = 8

// build returns the snapshot. The replicas of a job are its tasks 0, 1, ... in the order of the machine ids.
func (f *fleetSpec) build() *Snapshot {
	b := NewBuilder(100, 1000)
	next := map[string]int{}
	for _, id := range sortedmap.Keys(f.machines) {
		machine := &Machine{
			ID:    id,
			Type:  "m8",
			Zone:  "a",
			State: storage.MachineOpen,
			Owner: "n-0",
			Free:  resources.Vector{CPUs: machineCPUs, MemoryGB: 64},
		}
		if zone := f.zones[id]; zone != "" {
			machine.Zone = zone
		}
		if state := f.state[id]; state != "" {
			machine.State = state
		}
		for _, job := range f.machines[id] {
			machine.Replicas = append(
				machine.Replicas,
				Replica{Job: job, Task: next[job], Attempt: 7, Starting: f.starting[id]},
			)
			next[job]++
			machine.Free = machine.Free.Minus(f.jobs[job].PerTask)
		}
		b.AddMachine(machine)
	}
	for id, job := range f.jobs {
		job.ID = id
		job.Replicas = max(job.Replicas, next[id])
		b.AddJob(&job)
	}
	b.AddType(
		TypeCapacity{
			Name:     "m8",
			Capacity: resources.Vector{CPUs: machineCPUs, MemoryGB: 64},
			Zones:    []string{"a", "b"},
		},
	)
	for name, record := range f.drains {
		b.AddDrain(name, 50, record)
	}
	for team, permits := range f.permits {
		b.AddPermits(team, 60, storage.Permits{Permits: permits})
	}
	return b.Build()
}

func webJob(team string) Job {
	return Job{Team: team, Class: "web", PerTask: resources.Vector{CPUs: 2, MemoryGB: 4}, Priority: 3}
}

func zoneDrain(zone string) storage.Drain {
	return storage.Drain{State: storage.DrainActive, Selector: storage.Selector{Zone: zone}, MaxParallel: 5}
}

func policyWithReserve(reserve int, budgets ...config.DisruptionBudget) *Policy {
	return NewPolicy(
		&config.DrainSettings{
			DefaultMaxUnavailable:  1,
			DefaultReserveMachines: &reserve,
			MaxParallel:            5,
			Budgets:                budgets,
		},
	)
}

func minAvailable(team string, n int) config.DisruptionBudget {
	return config.DisruptionBudget{Team: team, MinAvailable: &config.CountOrPercent{Value: n}}
}

func minAvailableOfClass(team, class string, n int) config.DisruptionBudget {
	budget := minAvailable(team, n)
	budget.Class = class
	return budget
}

func controllerN0() *Controller {
	always := func(string) bool { return true }
	return &Controller{Node: "n-0", Live: always, Responsible: always, MaxRecordBytes: 4000}
}

// fleetWithCordonedZone returns a fleet with one cordoned machine in zone a for each string, which lists the
// jobs of the machine's replicas, and with two empty machines in zone b. The drain "rack" covers zone a.
func fleetWithCordonedZone(replicas ...string) *fleetSpec {
	f := &fleetSpec{
		machines: map[string][]string{"i-8": nil, "i-9": nil},
		zones:    map[string]string{"i-8": "b", "i-9": "b"},
		jobs:     map[string]Job{"j-1": webJob("t")},
		drains:   map[string]storage.Drain{"rack": zoneDrain("a")},
		state:    map[string]storage.MachineState{},
		permits:  map[string][]storage.Permit{},
		starting: map[string]bool{},
	}
	for i, jobs := range replicas {
		id := fmt.Sprintf("i-%d", i+1)
		f.machines[id] = strings.Fields(jobs)
		f.state[id] = storage.MachineCordoned
	}
	return f
}

func countGranted(d *Decision) int {
	n := 0
	for _, permits := range d.Granted {
		n += len(permits)
	}
	return n
}

// TestGrantsWithinBudgetAndReserve: a decision grants as many permits as the budget and its reserve allow,
// and names what blocks the other replicas.
func TestGrantsWithinBudgetAndReserve(t *testing.T) {
	fourReplicas := []string{"j-1 j-1", "j-1", "j-1"}
	cases := []struct {
		name        string
		policy      *Policy
		fleet       *fleetSpec
		wantGrants  int
		wantBlocked BlockKind
	}{
		{
			"two replicas may be unavailable",
			policyWithReserve(0, minAvailable("t", 2)),
			fleetWithCordonedZone(fourReplicas...),
			2,
			BlockedByBudget,
		},
		{
			"reserve of one machine",
			policyWithReserve(1, minAvailable("t", 2)),
			fleetWithCordonedZone(fourReplicas...),
			1,
			BlockedByBudget,
		},
		{
			"reserve of two machines leaves no grant",
			policyWithReserve(2, minAvailable("t", 2)),
			fleetWithCordonedZone(fourReplicas...),
			0,
			BlockedByBudget,
		},
		{"default budget", policyWithReserve(1), fleetWithCordonedZone(fourReplicas...), 1, BlockedByBudget},
		{
			"class budget",
			policyWithReserve(0, minAvailableOfClass("t", "web", 3)),
			fleetWithCordonedZone(fourReplicas...),
			1,
			BlockedByBudget,
		},
		{
			"class budget stricter than team budget",
			policyWithReserve(0, minAvailable("t", 1), minAvailableOfClass("t", "web", 3)),
			fleetWithCordonedZone(fourReplicas...),
			1,
			BlockedByBudget,
		},
		{
			"minimum equal to the number of replicas",
			policyWithReserve(0, minAvailable("t", 4)),
			fleetWithCordonedZone(fourReplicas...),
			0,
			BlockedByBudget,
		},
		{"starting replicas are unavailable", policyWithReserve(0, minAvailable("t", 3)), func() *fleetSpec {
			f := fleetWithCordonedZone(fourReplicas...)
			f.starting["i-3"] = true
			return f
		}(), 0, BlockedByBudget},
		{"replicas under permits are unavailable", policyWithReserve(0, minAvailable("t", 3)), func() *fleetSpec {
			f := fleetWithCordonedZone(fourReplicas...)
			f.permits["t"] = []storage.Permit{
				{Drain: "rack", Job: "j-1", Task: 3, Attempt: 7, From: "i-3", To: "i-8"},
			}
			return f
		}(), 0, BlockedByBudget},
		{"replicas on unreachable machines are unavailable", policyWithReserve(0, minAvailable("t", 3)), func() *fleetSpec {
			f := fleetWithCordonedZone(fourReplicas...)
			f.state["i-3"] = storage.MachineUnreachable
			return f
		}(), 0, BlockedByBudget},
		{"no other machine", policyWithReserve(0, minAvailable("t", 0)), func() *fleetSpec {
			f := fleetWithCordonedZone(fourReplicas...)
			delete(f.machines, "i-8")
			delete(f.machines, "i-9")
			return f
		}(), 0, BlockedByCapacity},
		{
			"open machines that the drain covers are no destinations",
			policyWithReserve(0, minAvailable("t", 0)),
			func() *fleetSpec {
				f := fleetWithCordonedZone(fourReplicas...)
				f.zones["i-8"], f.zones["i-9"] = "a", "a"
				return f
			}(),
			0,
			BlockedByCapacity,
		},
		{"job with one-zone rule", policyWithReserve(0, minAvailable("t", 0)), func() *fleetSpec {
			f := fleetWithCordonedZone(fourReplicas...)
			j := f.jobs["j-1"]
			j.OneZone = true
			f.jobs["j-1"] = j
			return f
		}(), 0, BlockedByCapacity},
		{"job with spread rule", policyWithReserve(0, minAvailable("t", 0)), func() *fleetSpec {
			f := fleetWithCordonedZone(fourReplicas...)
			j := f.jobs["j-1"]
			j.Spread = true
			f.jobs["j-1"] = j
			f.machines["i-8"] = []string{"j-1"}
			return f
		}(), 4, ""},
		{"paused drain", policyWithReserve(0, minAvailable("t", 0)), func() *fleetSpec {
			f := fleetWithCordonedZone(fourReplicas...)
			record := zoneDrain("a")
			record.State = storage.DrainPaused
			f.drains["rack"] = record
			return f
		}(), 0, ""},
		{"deadline passed", policyWithReserve(0, minAvailable("t", 0)), func() *fleetSpec {
			f := fleetWithCordonedZone(fourReplicas...)
			record := zoneDrain("a")
			record.DeadlineAt = 900
			f.drains["rack"] = record
			return f
		}(), 0, BlockedByDeadline},
		{"machines not cordoned yet", policyWithReserve(0, minAvailable("t", 0)), func() *fleetSpec {
			f := fleetWithCordonedZone(fourReplicas...)
			for id := range f.state {
				f.state[id] = storage.MachineOpen
			}
			return f
		}(), 0, BlockedByCordon},
		{"two machines in parallel", policyWithReserve(0, minAvailable("t", 0)), func() *fleetSpec {
			f := fleetWithCordonedZone(fourReplicas...)
			record := zoneDrain("a")
			record.MaxParallel = 2
			f.drains["rack"] = record
			return f
		}(), 3, ""},
	}
	for _, tc := range cases {
		d := tc.policy.Decide(tc.fleet.build(), controllerN0())
		if got := countGranted(d); got != tc.wantGrants {
			t.Errorf("%s: got %d permits, want %d; blocked by %+v", tc.name, got, tc.wantGrants, d.Blocked)
		}
		blockedAsWanted := slices.ContainsFunc(
			d.Blocked,
			func(blockage Blockage) bool { return blockage.Kind == tc.wantBlocked },
		)
		if tc.wantBlocked == "" && len(d.Blocked) > 0 || tc.wantBlocked != "" && !blockedAsWanted {
			t.Errorf("%s: got blockages %+v, want one of kind %q (empty: none)", tc.name, d.Blocked, tc.wantBlocked)
		}
	}
}

// TestPermitRecordBounded guards against a permit record that grows beyond its maximum size.
func TestPermitRecordBounded(t *testing.T) {
	controller := controllerN0()
	controller.MaxRecordBytes = 170 // two permits
	d := policyWithReserve(0, minAvailable("t", 0)).Decide(fleetWithCordonedZone("j-1 j-1 j-1").build(), controller)
	if countGranted(d) != 2 || d.Blocked[0].Kind != BlockedByPermits {
		t.Errorf("got %d permits and blockages %+v, want 2 permits and a blockage of kind permits first",
			countGranted(d), d.Blocked)
	}
}

// TestGrantedPermitsAreStoppedRevokedOrCompleted: a committed permit is used, revoked, completed or left
// alone, depending on the records.
func TestGrantedPermitsAreStoppedRevokedOrCompleted(t *testing.T) {
	permit := storage.Permit{Drain: "rack", Job: "j-1", Task: 0, Attempt: 7, From: "i-1", To: "i-8"}
	cases := []struct {
		name                                 string
		change                               func(*fleetSpec)
		wantStop, wantRevoked, wantCompleted int
		minimum                              int
	}{
		{"budget allows the stop", func(*fleetSpec) {}, 1, 0, 0, 2},
		{
			"budget no longer allows the stop",
			func(f *fleetSpec) { f.state["i-3"] = storage.MachineUnreachable },
			0,
			1,
			0,
			2,
		},
		{"drain aborted", func(f *fleetSpec) {
			record := zoneDrain("a")
			record.State = storage.DrainAborted
			f.drains["rack"] = record
		}, 0, 1, 0, 2},
		{"replica stopped, no new attempt", func(f *fleetSpec) { f.machines["i-1"] = nil }, 0, 0, 0, 0},
		{"new attempt starting on another machine", func(f *fleetSpec) {
			f.machines["i-1"], f.machines["i-0"], f.zones["i-0"] = nil, []string{"j-1"}, "b"
			f.starting["i-0"] = true
		}, 0, 0, 0, 0},
		{
			"service ended",
			func(f *fleetSpec) { delete(f.jobs, "j-1"); f.machines["i-1"] = nil },
			0,
			0,
			1,
			0,
		},
	}
	for _, tc := range cases {
		f := fleetWithCordonedZone("j-1", "j-1", "j-1")
		f.permits["t"] = []storage.Permit{permit}
		tc.change(f)
		if tc.name == "new attempt starting on another machine" {
			f.permits["t"][0].Attempt = 6
		}
		d := policyWithReserve(0, minAvailable("t", tc.minimum)).Decide(f.build(), controllerN0())
		if len(d.Stop) != tc.wantStop || len(d.Revoked) != tc.wantRevoked || len(d.Completed["t"]) != tc.wantCompleted {
			t.Errorf(
				"%s: got %d permits to use, %d revoked, %d completed, want %d, %d, %d",
				tc.name,
				len(d.Stop),
				len(d.Revoked),
				len(d.Completed["t"]),
				tc.wantStop,
				tc.wantRevoked,
				tc.wantCompleted,
			)
		}
	}
	f := fleetWithCordonedZone("j-1", "j-1", "j-1")
	moved := permit
	moved.Attempt = 6 // task 0 now runs as attempt 7
	f.permits["t"] = []storage.Permit{moved}
	if d := policyWithReserve(0, minAvailable("t", 2)).Decide(f.build(), controllerN0()); len(d.Completed["t"]) != 1 {
		t.Errorf("replica runs as a new attempt: got decision %+v, want one completed permit", d)
	}
}

// TestDecideLeavesSnapshotUnchanged guards against a plan that changes the snapshot on which it simulates
// steps.
func TestDecideLeavesSnapshotUnchanged(t *testing.T) {
	s := fleetWithCordonedZone("j-1 j-1", "j-1").build()
	policy := policyWithReserve(0, minAvailable("t", 0))
	policy.Plan(s, "rack", zoneDrain("a"))
	if d := policy.Decide(s, controllerN0()); countGranted(d) != 3 {
		t.Errorf("after a plan: got %d permits, want 3", countGranted(d))
	}
	machine, _ := s.Machine("i-8")
	if machine.Free.CPUs != machineCPUs {
		t.Errorf("after a plan: free resources of i-8 are %v, want %d CPUs", machine.Free, machineCPUs)
	}
}

// TestPlanEmptiesMachinesInSteps: a plan moves all replicas in steps that each keep the budget. Without a
// destination it is blocked, and with replacement it requests machines in another zone.
func TestPlanEmptiesMachinesInSteps(t *testing.T) {
	f := fleetWithCordonedZone("j-1 j-1", "j-1", "j-1")
	plan := policyWithReserve(0, minAvailable("t", 2)).Plan(f.build(), "rack", zoneDrain("a"))
	moves := 0
	for _, step := range plan.Steps {
		if len(step.Moves) > 2 {
			t.Errorf("got a step of %d moves, want at most 2", len(step.Moves))
		}
		moves += len(step.Moves)
	}
	if moves != 4 || len(plan.Machines) != 3 || len(plan.Blocked) > 0 {
		t.Errorf("got plan %+v, want 4 moves off 3 machines and no blockages", plan)
	}
	delete(f.machines, "i-8")
	delete(f.machines, "i-9")
	if plan := policyWithReserve(0, minAvailable("t", 2)).Plan(f.build(), "rack", zoneDrain("a")); len(
		plan.Blocked,
	) == 0 ||
		len(plan.Steps) > 0 {
		t.Errorf("without destinations: got plan %+v, want blockages and no steps", plan)
	}
	record := zoneDrain("a")
	record.Replace = true
	plan = policyWithReserve(0, minAvailable("t", 2)).Plan(f.build(), "rack", record)
	if len(plan.Blocked) > 0 || len(plan.Steps) == 0 || len(plan.Steps[0].ScaleOut) == 0 ||
		!strings.Contains(plan.Steps[0].ScaleOut[0], "zone b") {
		t.Errorf("with replacement: got plan %+v, want a first step that requests a machine in zone b, no blockages",
			plan)
	}
}

// TestRandomGrantsKeepFloors: in random fleets, the permits that one decision grants leave at least the minimum
// number of replicas that the budget requires, also after the loss of any machine.
func TestRandomGrantsKeepFloors(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 3))
		f := fleetWithCordonedZone()
		f.jobs["j-2"] = webJob("t")
		var replicasByMachine []string
		for range 2 + random.IntN(5) {
			var replicas []string
			for range random.IntN(4) {
				replicas = append(replicas, fmt.Sprintf("j-%d", 1+random.IntN(2)))
			}
			replicasByMachine = append(replicasByMachine, strings.Join(replicas, " "))
		}
		fleet := fleetWithCordonedZone(replicasByMachine...)
		fleet.jobs = f.jobs
		minimum := random.IntN(6)
		s := fleet.build()
		d := policyWithReserve(1, minAvailable("t", minimum)).Decide(s, controllerN0())
		remaining := map[string]int{}
		total := 0
		s.ForEachMachine(func(machine *Machine) bool {
			remaining[machine.ID] = len(machine.Replicas)
			total += len(machine.Replicas)
			return true
		})
		for _, permit := range d.Granted["t"] {
			remaining[permit.From]--
			total--
		}
		for id, n := range remaining {
			if len(d.Granted["t"]) > 0 && total-n < minimum {
				t.Errorf(
					"seed %d: %d permits leave %d replicas, and %d after the loss of %s; want at least %d",
					seed,
					len(d.Granted["t"]),
					total,
					total-n,
					id,
					minimum,
				)
			}
		}
	}
}

// TestOverlappingSelectors: two drains overlap if they share an existing machine or a machine that may be
// created later. A drain closes exactly the offers of such later machines.
func TestOverlappingSelectors(t *testing.T) {
	f := fleetWithCordonedZone("j-1", "j-1")
	f.zones["i-2"] = "b"
	s := f.build()
	byName := func(ids ...string) storage.Drain {
		return storage.Drain{State: storage.DrainActive, Selector: storage.Selector{Machines: ids}}
	}
	bySelector := func(selector storage.Selector, lastMachine string) storage.Drain {
		return storage.Drain{State: storage.DrainActive, Selector: selector, LastMachine: lastMachine}
	}
	cases := []struct {
		name string
		a, b storage.Drain
		want bool
	}{
		{"different zones", zoneDrain("a"), zoneDrain("b"), false},
		{"machine in the zone", zoneDrain("a"), byName("i-1"), true},
		{"machine in another zone", zoneDrain("a"), byName("i-2"), false},
		{"machine type that may be created in the zone", zoneDrain("c"), bySelector(storage.Selector{Type: "m16"}, ""), true},
		{
			"different capacity types",
			bySelector(storage.Selector{CapacityType: storage.SpotCapacity}, ""),
			bySelector(storage.Selector{CapacityType: storage.OnDemandCapacity}, ""),
			false,
		},
		{"machine newer than LastMachine", bySelector(storage.Selector{Zone: "a"}, "i-0"), byName("i-1"), false},
	}
	for _, tc := range cases {
		if got := s.Overlaps(&tc.a, &tc.b); got != tc.want {
			t.Errorf("%s: a overlaps b: got %v, want %v", tc.name, got, tc.want)
		}
		if got := s.Overlaps(&tc.b, &tc.a); got != tc.want {
			t.Errorf("%s: b overlaps a: got %v, want %v", tc.name, got, tc.want)
		}
	}
	zoneA := zoneDrain("a")
	if !ClosesOffer(&zoneA, "m8", "a", true) || ClosesOffer(&zoneA, "m8", "b", true) {
		t.Error("a drain of zone a must close the offers in zone a and none in zone b")
	}
	withLastMachine := bySelector(storage.Selector{Zone: "a"}, "i-5")
	if ClosesOffer(&withLastMachine, "m8", "a", true) {
		t.Error("a drain with LastMachine closes an offer, want none closed")
	}
}
