package coordination

import (
	"testing"

	"pipitgap/internal/mirror"
	"pipitgap/internal/resources"
	"pipitgap/internal/shards"
	"pipitgap/internal/storage"
)

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
	update := shards.NewUpdate("p", nil, &storage.Shard{})
	var candidates []*candidateMachine
	for i := 0; i < 4*sampleAboveMachines; i++ {
		machine := &mirror.Machine{
			ID:           mirror.TaskID{Job: "i", Index: i}.String(),
			CachedImages: map[string]bool{},
			Record:       &storage.ShardMachine{Type: "m8", Zone: "a"},
		}
		candidate := newCandidateMachine(machine, machine.Record, resources.Vector{CPUs: 1}, update)
		candidates = append(candidates, candidate)
	}
	choose := func() *candidateMachine {
		return core.scheduler.chooseMachine(
			core.scheduler.machineRequest(job, zoneConstraintOf(core.mirror, job)),
			machineSearch{candidates: candidates, sampled: true},
		)
	}
	if candidate := choose(); candidate != nil {
		t.Errorf("%s has no room", candidate.MachineID)
	}
	only := candidates[len(candidates)/3]
	only.Free = resources.Vector{CPUs: 2}
	if candidate := choose(); candidate != only {
		t.Error("the one machine with room was not found")
	}
	for _, candidate := range candidates {
		candidate.Free = resources.Vector{CPUs: 8}
	}
	chosen := map[string]bool{}
	for i := 0; i < 20; i++ {
		chosen[choose().MachineID] = true
	}
	if len(chosen) < 5 {
		t.Errorf("20 choices among equals fell on %d machines: no sample", len(chosen))
	}
}
