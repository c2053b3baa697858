package scheduling

import (
	"math"
	"testing"

	"pipitgap/internal/protocol"
	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

func TestMachineAllowed(t *testing.T) {
	for _, tc := range []struct {
		name    string
		spec    storage.JobSpec
		machine storage.ShardMachine
		want    bool
	}{
		{"no demands", storage.JobSpec{}, storage.ShardMachine{Type: "m8", Zone: "a"}, true},
		{"type listed", storage.JobSpec{MachineTypes: []string{"m4", "m8"}}, storage.ShardMachine{Type: "m8"}, true},
		{"type not listed", storage.JobSpec{MachineTypes: []string{"m4"}}, storage.ShardMachine{Type: "m8"}, false},
		{"an empty list", storage.JobSpec{MachineTypes: []string{}}, storage.ShardMachine{Type: "m8"}, false},
		{"its zone", storage.JobSpec{Zone: "a"}, storage.ShardMachine{Zone: "a"}, true},
		{"another zone", storage.JobSpec{Zone: "a"}, storage.ShardMachine{Zone: "b"}, false},
		{"spot, not allowed", storage.JobSpec{}, storage.ShardMachine{Spot: true}, false},
		{"spot, allowed", storage.JobSpec{Spot: true}, storage.ShardMachine{Spot: true}, true},
		{"ordinary where spot is allowed", storage.JobSpec{Spot: true}, storage.ShardMachine{}, true},
	} {
		if got := MachineAllowed(&tc.spec, &tc.machine); got != tc.want {
			t.Errorf("%s: %v", tc.name, got)
		}
	}
}

func TestMayBeScavenger(t *testing.T) {
	scavenger := storage.JobSpec{Spot: true, Priority: int(protocol.BestEffort)}
	for _, tc := range []struct {
		name   string
		change func(*storage.JobSpec)
		want   bool
	}{
		{"an array without demands", func(*storage.JobSpec) {}, true},
		{"a service", func(s *storage.JobSpec) { s.Service = true }, false},
		{"not on spot machines", func(s *storage.JobSpec) { s.Spot = false }, false},
		{"of higher priority", func(s *storage.JobSpec) { s.Priority = int(protocol.Standard) }, false},
		{"with a deadline", func(s *storage.JobSpec) { s.DeadlineS = 1 }, false},
	} {
		spec := scavenger
		tc.change(&spec)
		if got := MayBeScavenger(&spec); got != tc.want {
			t.Errorf("%s: %v", tc.name, got)
		}
	}
}

// TestShapeOf: jobs share a shape if the same machines suit them, and with a team if the same limit binds
// them too.
func TestShapeOf(t *testing.T) {
	need := resources.Vector{CPUs: 2}
	base := ShapeOf(&storage.JobSpec{}, need, "")
	for name, other := range map[string]TaskShape{
		"need":               ShapeOf(&storage.JobSpec{}, resources.Vector{CPUs: 3}, ""),
		"spot":               ShapeOf(&storage.JobSpec{Spot: true}, need, ""),
		"zone":               ShapeOf(&storage.JobSpec{Zone: "a"}, need, ""),
		"an empty type list": ShapeOf(&storage.JobSpec{MachineTypes: []string{}}, need, ""),
		"team":               ShapeOf(&storage.JobSpec{}, need, "free"),
	} {
		if other == base {
			t.Errorf("%s makes no difference", name)
		}
	}
	if ShapeOf(&storage.JobSpec{Class: "x", Team: "free", Tasks: 9}, need, "") != base {
		t.Error("class, team or number of tasks make a difference")
	}
}

func TestZoneConstraint(t *testing.T) {
	for _, tc := range []struct {
		name   string
		spec   storage.JobSpec
		placed map[string]int
		want   map[string]int // what each zone may still take
	}{
		{"none", storage.JobSpec{Tasks: 4}, map[string]int{"a": 4},
			map[string]int{"a": protocol.MaxTasks, "b": protocol.MaxTasks}},
		{"one zone, none placed", storage.JobSpec{OneZone: true, Tasks: 4}, nil,
			map[string]int{"a": protocol.MaxTasks, "b": protocol.MaxTasks}},
		{"one zone", storage.JobSpec{OneZone: true, Tasks: 4}, map[string]int{"a": 1},
			map[string]int{"a": protocol.MaxTasks, "b": 0}},
		{"spread", storage.JobSpec{Spread: true, Tasks: 5}, map[string]int{"a": 2, "b": 3},
			map[string]int{"a": 1, "b": 0, "c": 3}},
		{"spread, more than half", storage.JobSpec{Spread: true, Tasks: 2}, map[string]int{"a": 2},
			map[string]int{"a": 0, "b": 1}},
		{"nothing added is no zone", storage.JobSpec{OneZone: true, Tasks: 2}, map[string]int{"a": 0},
			map[string]int{"b": protocol.MaxTasks}},
	} {
		constraint := NewZoneConstraint(&tc.spec)
		for zone, tasks := range tc.placed {
			constraint.AddTasks(zone, tasks)
		}
		for zone, want := range tc.want {
			if got := constraint.RemainingIn(zone); got != want || constraint.Allows(zone) != (want > 0) {
				t.Errorf(
					"%s: zone %s takes %d, allowed %v, want %d",
					tc.name,
					zone,
					got,
					constraint.Allows(zone),
					want,
				)
			}
		}
	}
}

// TestRuntimeEstimates: runs of a class correct its estimates, step by step and within bounds, and no other
// class's.
func TestRuntimeEstimates(t *testing.T) {
	estimates := NewRuntimeEstimates()
	spec := &storage.JobSpec{Class: "x", EstimateS: 10}
	estimates.Observe(spec, 0)
	estimates.Observe(&storage.JobSpec{Class: "x"}, 10)
	if got := estimates.ExpectedSeconds(spec); got != 10 {
		t.Errorf("%v s without an observation, want 10", got)
	}
	estimates.Observe(spec, 20)
	if got, want := estimates.ExpectedSeconds(spec), 10*math.Exp(0.05*math.Log(2)); math.Abs(
		got-want,
	) > 1e-9 {
		t.Errorf("%v s after one, want %v", got, want)
	}
	for range 1000 {
		estimates.Observe(spec, 1000)
	}
	if got, want := estimates.ExpectedSeconds(spec), 10*math.E; math.Abs(got-want) > 1e-9 {
		t.Errorf("%v s at the bound, want %v", got, want)
	}
	if got := estimates.ExpectedSeconds(&storage.JobSpec{Class: "y", EstimateS: 10}); got != 10 {
		t.Errorf("%v s of another class, want 10", got)
	}
}
