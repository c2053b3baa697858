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

// fleetSpec describes a small fleet: replicas by machine, as job names.
type fleetSpec struct {
	machines map[string][]string // machine: the jobs of its replicas
	zones    map[string]string   // machine: its zone; "a" unless given
	jobs     map[string]Job
	drains   map[string]storage.Drain
	permits  map[string][]storage.Permit
	starting map[string]bool // machines whose replicas are starting
	state    map[string]storage.MachineState
}

const machineCPUs = 8

// build gives the snapshot; the nth replica of a job in the order of machines is its task n.
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
	return &Controller{Node: "n-0", Live: always, Responsible: always, RecordBytes: 4000}
}

// fleetWithCordonedZone is machines of zone a that are cordoned, and two with room in zone b.
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

// TestGrantsWithinBudgetAndReserve: as many permits as the budget leaves, reserve included.
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
			"two may be missing",
			policyWithReserve(0, minAvailable("t", 2)),
			fleetWithCordonedZone(fourReplicas...),
			2,
			BlockedByBudget,
		},
		{
			"the reserve counts the fullest machine that is left",
			policyWithReserve(1, minAvailable("t", 2)),
			fleetWithCordonedZone(fourReplicas...),
			1,
			BlockedByBudget,
		},
		{
			"the reserve takes all",
			policyWithReserve(2, minAvailable("t", 2)),
			fleetWithCordonedZone(fourReplicas...),
			0,
			BlockedByBudget,
		},
		{"the default pace", policyWithReserve(1), fleetWithCordonedZone(fourReplicas...), 1, BlockedByBudget},
		{
			"a budget of the class",
			policyWithReserve(0, minAvailableOfClass("t", "web", 3)),
			fleetWithCordonedZone(fourReplicas...),
			1,
			BlockedByBudget,
		},
		{
			"the tighter of two budgets",
			policyWithReserve(0, minAvailable("t", 1), minAvailableOfClass("t", "web", 3)),
			fleetWithCordonedZone(fourReplicas...),
			1,
			BlockedByBudget,
		},
		{
			"unreachable",
			policyWithReserve(0, minAvailable("t", 4)),
			fleetWithCordonedZone(fourReplicas...),
			0,
			BlockedByBudget,
		},
		{"starting replicas count as missing", policyWithReserve(0, minAvailable("t", 3)), func() *fleetSpec {
			f := fleetWithCordonedZone(fourReplicas...)
			f.starting["i-3"] = true
			return f
		}(), 0, BlockedByBudget},
		{"permits count as missing", policyWithReserve(0, minAvailable("t", 3)), func() *fleetSpec {
			f := fleetWithCordonedZone(fourReplicas...)
			f.permits["t"] = []storage.Permit{
				{Drain: "rack", Job: "j-1", Task: 3, Attempt: 7, From: "i-3", To: "i-8"},
			}
			return f
		}(), 0, BlockedByBudget},
		{"a machine out of reach counts as lost", policyWithReserve(0, minAvailable("t", 3)), func() *fleetSpec {
			f := fleetWithCordonedZone(fourReplicas...)
			f.state["i-3"] = storage.MachineUnreachable
			return f
		}(), 0, BlockedByBudget},
		{"no room", policyWithReserve(0, minAvailable("t", 0)), func() *fleetSpec {
			f := fleetWithCordonedZone(fourReplicas...)
			delete(f.machines, "i-8")
			delete(f.machines, "i-9")
			return f
		}(), 0, BlockedByCapacity},
		{
			"what the drain covers is no place, cordoned or not",
			policyWithReserve(0, minAvailable("t", 0)),
			func() *fleetSpec {
				f := fleetWithCordonedZone(fourReplicas...)
				f.zones["i-8"], f.zones["i-9"] = "a", "a"
				return f
			}(),
			0,
			BlockedByCapacity,
		},
		{"the job must stay in one zone", policyWithReserve(0, minAvailable("t", 0)), func() *fleetSpec {
			f := fleetWithCordonedZone(fourReplicas...)
			j := f.jobs["j-1"]
			j.OneZone = true
			f.jobs["j-1"] = j
			return f
		}(), 0, BlockedByCapacity},
		{"half of the job may be in the other zone", policyWithReserve(0, minAvailable("t", 0)), func() *fleetSpec {
			f := fleetWithCordonedZone(fourReplicas...)
			j := f.jobs["j-1"]
			j.Spread = true
			f.jobs["j-1"] = j
			f.machines["i-8"] = []string{"j-1"}
			return f
		}(), 4, ""},
		{"paused", policyWithReserve(0, minAvailable("t", 0)), func() *fleetSpec {
			f := fleetWithCordonedZone(fourReplicas...)
			record := zoneDrain("a")
			record.State = storage.DrainPaused
			f.drains["rack"] = record
			return f
		}(), 0, ""},
		{"past the deadline", policyWithReserve(0, minAvailable("t", 0)), func() *fleetSpec {
			f := fleetWithCordonedZone(fourReplicas...)
			record := zoneDrain("a")
			record.DeadlineAt = 900
			f.drains["rack"] = record
			return f
		}(), 0, BlockedByDeadline},
		{"not cordoned yet", policyWithReserve(0, minAvailable("t", 0)), func() *fleetSpec {
			f := fleetWithCordonedZone(fourReplicas...)
			for id := range f.state {
				f.state[id] = storage.MachineOpen
			}
			return f
		}(), 0, BlockedByCordon},
		{"two machines at a time", policyWithReserve(0, minAvailable("t", 0)), func() *fleetSpec {
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
			t.Errorf("%s: %d permits, want %d; blocked %+v", tc.name, got, tc.wantGrants, d.Blocked)
		}
		blockedAsWanted := slices.ContainsFunc(d.Blocked, func(blockage Blockage) bool {
			return blockage.Kind == tc.wantBlocked
		})
		if tc.wantBlocked == "" && len(d.Blocked) > 0 || tc.wantBlocked != "" && !blockedAsWanted {
			t.Errorf("%s: blocked %+v, want %q", tc.name, d.Blocked, tc.wantBlocked)
		}
	}
}

// TestPermitRecordBounded: a team's record takes no more permits than it can hold.
func TestPermitRecordBounded(t *testing.T) {
	controller := controllerN0()
	controller.RecordBytes = 170 // two permits
	d := policyWithReserve(0, minAvailable("t", 0)).Decide(fleetWithCordonedZone("j-1 j-1 j-1").build(), controller)
	if countGranted(d) != 2 || d.Blocked[0].Kind != BlockedByPermits {
		t.Errorf("%d permits, blocked %+v", countGranted(d), d.Blocked)
	}
}

// TestGrantedPermitsAreStoppedRevokedOrCompleted: what becomes of a permit, by what the records show.
func TestGrantedPermitsAreStoppedRevokedOrCompleted(t *testing.T) {
	permit := storage.Permit{Drain: "rack", Job: "j-1", Task: 0, Attempt: 7, From: "i-1", To: "i-8"}
	cases := []struct {
		name                                 string
		change                               func(*fleetSpec)
		wantStop, wantRevoked, wantCompleted int
		minimum                              int
	}{
		{"usable", func(*fleetSpec) {}, 1, 0, 0, 2},
		{
			"the budget doesn't hold any more",
			func(f *fleetSpec) { f.state["i-3"] = storage.MachineUnreachable },
			0,
			1,
			0,
			2,
		},
		{"the drain was aborted", func(f *fleetSpec) {
			record := zoneDrain("a")
			record.State = storage.DrainAborted
			f.drains["rack"] = record
		}, 0, 1, 0, 2},
		{"stopped, not started again", func(f *fleetSpec) { f.machines["i-1"] = nil }, 0, 0, 0, 0},
		{"starting at its new place", func(f *fleetSpec) {
			f.machines["i-1"], f.machines["i-0"], f.zones["i-0"] = nil, []string{"j-1"}, "b"
			f.starting["i-0"] = true
		}, 0, 0, 0, 0},
		{
			"the service has ended",
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
		if tc.name == "starting at its new place" {
			f.permits["t"][0].Attempt = 6
		}
		d := policyWithReserve(0, minAvailable("t", tc.minimum)).Decide(f.build(), controllerN0())
		if len(d.Stop) != tc.wantStop || len(d.Revoked) != tc.wantRevoked || len(d.Completed["t"]) != tc.wantCompleted {
			t.Errorf(
				"%s: stop %d, return %d, over %d",
				tc.name,
				len(d.Stop),
				len(d.Revoked),
				len(d.Completed["t"]),
			)
		}
	}
	f := fleetWithCordonedZone("j-1", "j-1", "j-1")
	moved := permit
	moved.Attempt = 6 // task 0 runs by attempt 7 now
	f.permits["t"] = []storage.Permit{moved}
	if d := policyWithReserve(0, minAvailable("t", 2)).Decide(f.build(), controllerN0()); len(d.Completed["t"]) != 1 {
		t.Errorf("replaced: %+v", d)
	}
}

// TestDecideLeavesSnapshotUnchanged: what a plan tries leaves the snapshot as it was.
func TestDecideLeavesSnapshotUnchanged(t *testing.T) {
	s := fleetWithCordonedZone("j-1 j-1", "j-1").build()
	policy := policyWithReserve(0, minAvailable("t", 0))
	policy.Plan(s, "rack", zoneDrain("a"))
	if d := policy.Decide(s, controllerN0()); countGranted(d) != 3 {
		t.Errorf("after a plan: %d permits", countGranted(d))
	}
	machine, _ := s.Machine("i-8")
	if machine.Free.CPUs != machineCPUs {
		t.Errorf("after a plan: %v", machine.Free)
	}
}

// TestPlanEmptiesMachinesInSteps: the steps of a drain, each within the budget.
func TestPlanEmptiesMachinesInSteps(t *testing.T) {
	f := fleetWithCordonedZone("j-1 j-1", "j-1", "j-1")
	plan := policyWithReserve(0, minAvailable("t", 2)).Plan(f.build(), "rack", zoneDrain("a"))
	moves := 0
	for _, step := range plan.Steps {
		if len(step.Moves) > 2 {
			t.Errorf("a step of %d moves", len(step.Moves))
		}
		moves += len(step.Moves)
	}
	if moves != 4 || len(plan.Machines) != 3 || len(plan.Blocked) > 0 {
		t.Errorf("plan %+v", plan)
	}
	delete(f.machines, "i-8")
	delete(f.machines, "i-9")
	if plan := policyWithReserve(0, minAvailable("t", 2)).Plan(f.build(), "rack", zoneDrain("a")); len(
		plan.Blocked,
	) == 0 ||
		len(plan.Steps) > 0 {
		t.Errorf("without room: %+v", plan)
	}
	record := zoneDrain("a")
	record.Replace = true
	plan = policyWithReserve(0, minAvailable("t", 2)).Plan(f.build(), "rack", record)
	if len(plan.Blocked) > 0 || len(plan.Steps) == 0 || len(plan.Steps[0].ScaleOut) == 0 ||
		!strings.Contains(plan.Steps[0].ScaleOut[0], "zone b") {
		t.Errorf("with replacement: %+v", plan)
	}
}

// TestRandomGrantsKeepFloors: whatever the fleet, all permits of several controllers that decide one after
// the other keep every budget, also with the loss of any machine.
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
					"seed %d: %d permits leave %d, and %d without %s; %d must stay",
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

// TestOverlappingSelectors: drains of the same machines, there or to come.
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
		{"other zones", zoneDrain("a"), zoneDrain("b"), false},
		{"a machine of the zone", zoneDrain("a"), byName("i-1"), true},
		{"a machine of the other zone", zoneDrain("a"), byName("i-2"), false},
		{"a type that may come up in the zone", zoneDrain("c"), bySelector(storage.Selector{Type: "m16"}, ""), true},
		{
			"other kinds",
			bySelector(storage.Selector{CapacityType: storage.SpotCapacity}, ""),
			bySelector(storage.Selector{CapacityType: storage.OnDemandCapacity}, ""),
			false,
		},
		{"only older machines", bySelector(storage.Selector{Zone: "a"}, "i-0"), byName("i-1"), false},
	}
	for _, tc := range cases {
		if got := s.Overlaps(&tc.a, &tc.b); got != tc.want {
			t.Errorf("%s: %v", tc.name, got)
		}
		if got := s.Overlaps(&tc.b, &tc.a); got != tc.want {
			t.Errorf("%s, the other way round: %v", tc.name, got)
		}
	}
	zoneA := zoneDrain("a")
	if !ClosesOffer(&zoneA, "m8", "a", true) || ClosesOffer(&zoneA, "m8", "b", true) {
		t.Error("a drain of a zone closes that zone alone")
	}
	withLastMachine := bySelector(storage.Selector{Zone: "a"}, "i-5")
	if ClosesOffer(&withLastMachine, "m8", "a", true) {
		t.Error("a drain that lets the same be rented closes nothing")
	}
}
