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
		{"no restrictions", storage.JobSpec{}, storage.ShardMachine{Type: "m8", Zone: "a"}, true},
		{"type listed",
			storage.JobSpec{MachineTypes: []string{"m4", "m8"}}, storage.ShardMachine{Type: "m8"}, true},
		{"type not listed",
			storage.JobSpec{MachineTypes: []string{"m4"}}, storage.ShardMachine{Type: "m8"}, false},
		{"empty type list", storage.JobSpec{MachineTypes: []string{}}, storage.ShardMachine{Type: "m8"}, false},
		{"required zone", storage.JobSpec{Zone: "a"}, storage.ShardMachine{Zone: "a"}, true},
		{"another zone", storage.JobSpec{Zone: "a"}, storage.ShardMachine{Zone: "b"}, false},
		{"spot machine, not allowed", storage.JobSpec{}, storage.ShardMachine{Spot: true}, false},
		{"spot machine, allowed", storage.JobSpec{Spot: true}, storage.ShardMachine{Spot: true}, true},
		{"ordinary machine, spot allowed", storage.JobSpec{Spot: true}, storage.ShardMachine{}, true},
	} {
		if got := MachineAllowed(&tc.spec, &tc.machine); got != tc.want {
			t.Errorf("%s: got %v, want %v", tc.name, got, tc.want)
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
		{"scavenger array", func(*storage.JobSpec) {}, true},
		{"service", func(s *storage.JobSpec) { s.Service = true }, false},
		{"spot machines not allowed", func(s *storage.JobSpec) { s.Spot = false }, false},
		{"higher priority", func(s *storage.JobSpec) { s.Priority = int(protocol.Standard) }, false},
		{"with a deadline", func(s *storage.JobSpec) { s.DeadlineS = 1 }, false},
	} {
		spec := scavenger
		tc.change(&spec)
		if got := MayBeScavenger(&spec); got != tc.want {
			t.Errorf("%s: got %v, want %v", tc.name, got, tc.want)
		}
	}
}

// TestShapeOf checks that jobs have the same shape exactly if the same machines suit them and, if a team is
// given, the same limit applies.
func TestShapeOf(t *testing.T) {
	need := resources.Vector{CPUs: 2}
	base := ShapeOf(&storage.JobSpec{}, need, "")
	for name, other := range map[string]TaskShape{
		"need":            ShapeOf(&storage.JobSpec{}, resources.Vector{CPUs: 3}, ""),
		"spot":            ShapeOf(&storage.JobSpec{Spot: true}, need, ""),
		"zone":            ShapeOf(&storage.JobSpec{Zone: "a"}, need, ""),
		"empty type list": ShapeOf(&storage.JobSpec{MachineTypes: []string{}}, need, ""),
		"team":            ShapeOf(&storage.JobSpec{}, need, "free"),
	} {
		if other == base {
			t.Errorf("%s: got equal shapes %+v, want different shapes", name, other)
		}
	}
	if ShapeOf(&storage.JobSpec{Class: "x", Team: "free", Tasks: 9}, need, "") != base {
		t.Error("class, team in the specification, number of tasks: got different shapes, want equal shapes")
	}
}

func TestZoneConstraint(t *testing.T) {
	for _, tc := range []struct {
		name   string
		spec   storage.JobSpec
		placed map[string]int
		want   map[string]int // further tasks allowed by zone
	}{
		{"no restriction", storage.JobSpec{Tasks: 4}, map[string]int{"a": 4},
			map[string]int{"a": protocol.MaxTasks, "b": protocol.MaxTasks}},
		{"one zone, no task placed", storage.JobSpec{OneZone: true, Tasks: 4}, nil,
			map[string]int{"a": protocol.MaxTasks, "b": protocol.MaxTasks}},
		{"one zone", storage.JobSpec{OneZone: true, Tasks: 4}, map[string]int{"a": 1},
			map[string]int{"a": protocol.MaxTasks, "b": 0}},
		{"spread", storage.JobSpec{Spread: true, Tasks: 5}, map[string]int{"a": 2, "b": 3},
			map[string]int{"a": 1, "b": 0, "c": 3}},
		{"spread, more than half in a zone", storage.JobSpec{Spread: true, Tasks: 2}, map[string]int{"a": 2},
			map[string]int{"a": 0, "b": 1}},
		{"adding 0 tasks doesn't choose a zone",
			storage.JobSpec{OneZone: true, Tasks: 2}, map[string]int{"a": 0},
			map[string]int{"b": protocol.MaxTasks}},
	} {
		constraint := NewZoneConstraint(&tc.spec)
		for zone, tasks := range tc.placed {
			constraint.AddTasks(zone, tasks)
		}
		for zone, want := range tc.want {
			if got := constraint.RemainingIn(zone); got != want || constraint.Allows(zone) != (want > 0) {
				t.Errorf(
					"%s, zone %s: got %d further tasks, allowed %v; want %d",
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

// TestRuntimeEstimates checks that observed run times gradually correct the estimates of their class, up to a
// factor of e, and don't change the estimates of other classes.
func TestRuntimeEstimates(t *testing.T) {
	estimates := NewRuntimeEstimates()
	spec := &storage.JobSpec{Class: "x", EstimateS: 10}
	estimates.Observe(spec, 0)
	estimates.Observe(&storage.JobSpec{Class: "x"}, 10)
	if got := estimates.ExpectedSeconds(spec); got != 10 {
		t.Errorf("without a usable observation: got %v s, want 10 s", got)
	}
	estimates.Observe(spec, 20)
	if got, want := estimates.ExpectedSeconds(spec), 10*math.Exp(0.05*math.Log(2)); math.Abs(
		got-want,
	) > 1e-9 {
		t.Errorf("after one observation: got %v s, want %v s", got, want)
	}
	for range 1000 {
		estimates.Observe(spec, 1000)
	}
	if got, want := estimates.ExpectedSeconds(spec), 10*math.E; math.Abs(got-want) > 1e-9 {
		t.Errorf("at the maximum correction: got %v s, want %v s", got, want)
	}
	if got := estimates.ExpectedSeconds(&storage.JobSpec{Class: "y", EstimateS: 10}); got != 10 {
		t.Errorf("another class: got %v s, want 10 s", got)
	}
}
