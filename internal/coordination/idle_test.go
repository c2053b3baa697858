package coordination

import (
	"testing"

	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/config"
	"pipitgap/internal/protocol"
	"pipitgap/internal/standin"
)

// TestDisplacing: room that lower work gives way to is room, for higher work alone,
// and each bit of it once.
func TestDisplacing(t *testing.T) {
	at := func(d *demand, priority int) *demand { d.spec.Priority = priority; return d }
	yielding := func(free, idle float64) *bin {
		b := binOf("a", true, free)
		b.yields = map[int]amount{0: {cpus: idle, mem: 2 * idle}}
		return b
	}
	for _, tc := range []struct {
		name string
		ds   []*demand
		bins []*bin
		left []int
	}{
		{"a task for a task", []*demand{at(demandOf(4, 3, true, false), 1)}, []*bin{yielding(0, 8)}, []int{1}},
		{"with what is free", []*demand{at(demandOf(4, 3, true, false), 1)}, []*bin{yielding(4, 8)}, []int{0}},
		{"each once", []*demand{at(demandOf(4, 1, true, false), 1), at(demandOf(4, 2, true, false), 2)}, []*bin{yielding(0, 8)}, []int{0, 1}},
		{"not its like", []*demand{at(demandOf(4, 1, true, false), 0)}, []*bin{yielding(0, 8)}, []int{1}},
		{"not where it may not run", []*demand{at(demandOf(4, 1, false, false), 1)}, []*bin{yielding(0, 8)}, []int{1}},
		{"not services, which have their own way", []*demand{at(demandOf(4, 1, true, true), 1)}, []*bin{yielding(0, 8)}, []int{1}},
	} {
		displacing(tc.ds, tc.bins)
		for i, d := range tc.ds {
			if d.count != tc.left[i] {
				t.Errorf("%s: %d of demand %d left, want %d", tc.name, d.count, i, tc.left[i])
			}
		}
	}
}

// TestYields: only work that nobody has an aim for gives way to arrays. Small urgent tasks
// had stopped tasks of whole machines, with an aim of their own, hundreds of times a day.
func TestYields(t *testing.T) {
	c := newCluster(t, 790)
	c.teams = []config.Team{{Name: "free", CPUs: 4, CPUsMax: 200}, {Name: "other", CPUs: 100, CPUsMax: 200}}
	c.facts = func(cfg *config.Config) {
		cfg.Facts.Objectives = []config.Objective{{Kind: "wait", Class: "survey", WithinS: 50, Share: 0.9}}
	}
	core := c.steady().nodes["n-0"].core
	core.view.teamUse["free"] = amount{cpus: 32}
	core.view.teamUse["other"] = amount{cpus: 32}
	saving := func(change func(*bookkeeping.Spec)) *job {
		j := &job{id: "j-1", need: amount{cpus: 16}}
		j.rec.Spec = bookkeeping.Spec{Class: "archive", Team: "free", Tasks: 4, CPUs: 16, CheckpointS: 15}
		change(&j.rec.Spec)
		return j
	}
	for _, tc := range []struct {
		name   string
		change func(*bookkeeping.Spec)
		want   bool
	}{
		{"nobody has an aim for it", func(*bookkeeping.Spec) {}, true},
		{"an aim of its class", func(s *bookkeeping.Spec) { s.Class = "survey" }, false},
		{"a deadline", func(s *bookkeeping.Spec) { s.DeadlineS = 100 }, false},
		{"it saves nothing", func(s *bookkeeping.Spec) { s.CheckpointS = 0 }, false},
		{"a service", func(s *bookkeeping.Spec) { s.Service = true }, false},
		{"within its team's guarantee", func(s *bookkeeping.Spec) { s.Team = "other" }, false},
	} {
		if got := core.yields(saving(tc.change)); got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}

// TestIdleWork: work that nobody has an aim for takes what room there is and spot
// machines, begins also where there are neither, and is out of the way within
// seconds when others come; what it did is saved. Without that an array of hours held
// its machines, ordinary ones rented for it, while others waited for gaps.
func TestIdleWork(t *testing.T) {
	for _, tc := range []struct {
		name string
		spot int
	}{{"spot machines", 3}, {"ordinary ones only", 0}} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, uint64(800+tc.spot))
			c.teams = []config.Team{{Name: "free", CPUs: 40, CPUsMax: 200}, {Name: "guest"}}
			c.set.ScaleDownDelay = config.Span(8 * sec)
			for _, typ := range testTypes {
				for _, z := range typ.Zones {
					c.cloud.Capacity[standin.Offer(typ.Name, z, true)] = tc.spot
				}
			}
			c.steady()
			swarms := c.submit(600*sec, withTeam("guest"), withPriority(protocol.BestEffort), withTasks(60),
				withCPUs(4), withSpot(true), withEstimateS(300), withCheckpointS(30), withSaveS(1))
			c.sim.Run(100 * sec)
			ordinary := 0
			for _, m := range c.cloud.Machines {
				if !m.Spot && !m.Gone {
					ordinary++
				}
			}
			begun := c.fleet.Running(swarms)
			if tc.spot == 0 && (begun == 0 || ordinary > 1) || tc.spot > 0 && (begun < 30 || ordinary > 0) {
				t.Fatalf("%d of its tasks run, %d ordinary machines", begun, ordinary)
			}
			if tc.spot == 0 {
				return
			}
			id := c.submit(3*sec, withTasks(20), withCPUs(4), withSpot(true), withEstimateS(3),
				withDeadlineS(20))
			c.finished(id, 25*sec)
			for _, m := range c.cloud.Machines {
				if !m.Spot {
					t.Error("an ordinary machine was rented")
				}
			}
			c.sim.Run(20 * sec)
			if n := c.fleet.Running(swarms); n < begun*3/4 {
				t.Errorf("%d of its tasks run again, %d before", n, begun)
			}
			c.rules()
		})
	}
}
