package coordination

import (
	"testing"

	"pipitgap/internal/config"
	"pipitgap/internal/fake"
	"pipitgap/internal/mirror"
	"pipitgap/internal/protocol"
	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

// TestOnlyWorkWithoutObjectiveIsPreemptible: arrays preempt only jobs without an objective. Otherwise small
// urgent tasks repeatedly preempt tasks that fill a whole machine and have an objective themselves.
func TestOnlyWorkWithoutObjectiveIsPreemptible(t *testing.T) {
	c := newCluster(t, 790)
	c.teams = []config.Team{{Name: "free", CPUs: 4, CPUsMax: 200}, {Name: "other", CPUs: 100, CPUsMax: 200}}
	c.adjustFacts = func(cfg *config.Config) {
		cfg.Facts.Objectives = []config.Objective{{Kind: "wait", Class: "survey", LimitS: 50, Share: 0.9}}
	}
	controller := c.startWithLeader().nodes["n-0"].controller
	controller.mirror.UsageByTeam["free"] = resources.Vector{CPUs: 32}
	controller.mirror.UsageByTeam["other"] = resources.Vector{CPUs: 32}
	jobWithCheckpoints := func(change func(*storage.JobSpec)) *mirror.Job {
		job := &mirror.Job{ID: "j-1", TaskResources: resources.Vector{CPUs: 16}}
		job.Record.Spec = storage.JobSpec{Class: "archive", Team: "free", Tasks: 4, CPUs: 16, CheckpointS: 15}
		change(&job.Record.Spec)
		return job
	}
	for _, tc := range []struct {
		name   string
		change func(*storage.JobSpec)
		want   bool
	}{
		{"without an objective", func(*storage.JobSpec) {}, true},
		{"an objective for its class", func(spec *storage.JobSpec) { spec.Class = "survey" }, false},
		{"a deadline", func(spec *storage.JobSpec) { spec.DeadlineS = 100 }, false},
		{"without checkpoints", func(spec *storage.JobSpec) { spec.CheckpointS = 0 }, false},
		{"a service", func(spec *storage.JobSpec) { spec.Service = true }, false},
		{"within its team's guarantee", func(spec *storage.JobSpec) { spec.Team = "other" }, false},
	} {
		if got := controller.scheduler.IsPreemptible(jobWithCheckpoints(tc.change)); got != tc.want {
			t.Errorf("%s: got preemptible %v, want %v", tc.name, got, tc.want)
		}
	}
}

// TestScavengerWorkUsesSpareRoom: work without an objective uses free room and spot machines, and starts on
// one on-demand machine if there are neither. It saves its progress and is preempted within seconds when
// other jobs need the room. Otherwise an array of several hours holds its machines, including on-demand
// machines that were requested for it, while other jobs wait for gaps.
func TestScavengerWorkUsesSpareRoom(t *testing.T) {
	for _, tc := range []struct {
		name         string
		spotCapacity int
	}{{"spot machines", 3}, {"on-demand machines only", 0}} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, uint64(800+tc.spotCapacity))
			c.teams = []config.Team{{Name: "free", CPUs: 40, CPUsMax: 200}, {Name: "guest"}}
			c.settings.ScaleDownDelay = config.Duration(8 * second)
			for _, typ := range testTypes {
				for _, zone := range typ.Zones {
					c.cloud.Capacity[fake.OfferKey(typ.Name, zone, true)] = tc.spotCapacity
				}
			}
			c.startWithLeader()
			scavenger := c.submit(
				600*second,
				withTeam("guest"),
				withPriority(protocol.BestEffort),
				withTasks(60),
				withCPUs(4),
				withSpot(true),
				withEstimateS(300),
				withCheckpointS(30),
				withSaveS(1),
			)
			c.sim.Run(100 * second)
			onDemandMachines := 0
			for _, rented := range c.cloud.Machines {
				if !rented.Spot && !rented.Gone {
					onDemandMachines++
				}
			}
			running := c.fleet.Running(scavenger)
			if tc.spotCapacity == 0 && (running == 0 || onDemandMachines > 1) ||
				tc.spotCapacity > 0 && (running < 30 || onDemandMachines > 0) {
				t.Fatalf(
					"got %d running scavenger tasks and %d on-demand machines; "+
						"want some and at most 1 without spot machines, at least 30 and 0 with them",
					running,
					onDemandMachines,
				)
			}
			if tc.spotCapacity == 0 {
				return
			}
			id := c.submit(3*second, withTasks(20), withCPUs(4), withSpot(true), withEstimateS(3),
				withDeadlineS(20))
			c.requireFinished(id, 25*second)
			for _, rented := range c.cloud.Machines {
				if !rented.Spot {
					t.Errorf("machine %s: got an on-demand machine, want spot machines only", rented.ID)
				}
			}
			c.sim.Run(20 * second)
			if n := c.fleet.Running(scavenger); n < running*3/4 {
				t.Errorf("got %d running scavenger tasks after the preemption, want at least 3/4 of %d", n, running)
			}
			c.requireNoViolations()
		})
	}
}
