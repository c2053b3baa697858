package placement

import (
	"testing"

	"pipitgap/internal/mirror"
	"pipitgap/internal/protocol"
	"pipitgap/internal/resources"
	"pipitgap/internal/shards"
	"pipitgap/internal/storage"
)

// TestSampledPlacementFindsOnlyMachineWithRoom guards against a task that stays waiting because a random
// sample misses the only machine with room. With many equal machines, a search must still examine only a
// sample.
func TestSampledPlacementFindsOnlyMachineWithRoom(t *testing.T) {
	c := newTestController()
	job := &mirror.Job{
		ID:            "j-1",
		TaskResources: resources.Vector{CPUs: 2},
		Record:        storage.OpenJob{Spec: storage.JobSpec{CPUs: 2}},
	}
	update := shards.NewUpdate("p", nil, &storage.Shard{}, testFence)
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
		return c.scheduler.chooseMachine(
			c.scheduler.machineRequest(job, ZoneConstraintOf(c.mirror, job)),
			machineSearch{candidates: candidates, sampled: true},
		)
	}
	if candidate := choose(); candidate != nil {
		t.Errorf("got machine %s, want none: no machine has room for the task", candidate.MachineID)
	}
	only := candidates[len(candidates)/3]
	only.Free = resources.Vector{CPUs: 2}
	if candidate := choose(); candidate != only {
		t.Errorf("got candidate %v, want %s, the only machine with room", candidate, only.MachineID)
	}
	for _, candidate := range candidates {
		candidate.Free = resources.Vector{CPUs: 8}
	}
	chosen := map[string]bool{}
	for i := 0; i < 20; i++ {
		chosen[choose().MachineID] = true
	}
	if len(chosen) < 5 {
		t.Errorf("20 searches among equal machines chose %d, want at least 5 different ones", len(chosen))
	}
}

// TestShardBytesReservedForHigherPriority guards against tiny arrays of the lowest priority that fill the
// shards, so that other jobs find no machine. Past four fifths of a shard's fill limit, such arrays get no
// more of its machines, however much room the machines have.
func TestShardBytesReservedForHigherPriority(t *testing.T) {
	c := newTestController()
	for _, tc := range []struct {
		filled  float64 // fraction of the fill limit that is used
		lowest  bool    // whether an array of the lowest priority gets the machine
		service bool    // whether a service of the lowest priority gets it
	}{{0.5, true, true}, {0.9, false, true}, {1, false, false}} {
		update := shards.NewUpdate("n-0.1", nil, &storage.Shard{Jobs: map[string]*storage.ShardJob{}}, testFence)
		update.ReserveBytes(int(tc.filled * float64(c.scheduler.AssignmentShardBytes())))
		candidate := newCandidateMachine(
			&mirror.Machine{ID: "i-1", CachedImages: map[string]bool{}},
			&storage.ShardMachine{Type: "m8", Zone: "a"},
			resources.Vector{CPUs: 8, MemoryGB: 64},
			update,
		)
		search := machineSearch{candidates: []*candidateMachine{candidate}}
		for _, service := range []bool{false, true} {
			job := &mirror.Job{
				ID:            "j-900000",
				TaskResources: resources.Vector{CPUs: 0.25},
				TaskStates:    make([]uint8, 1),
				Record: storage.OpenJob{
					Spec: storage.JobSpec{
						Tasks:    1,
						CPUs:     0.25,
						Service:  service,
						Priority: int(protocol.BestEffort),
					},
				},
			}
			request := c.scheduler.machineRequest(job, ZoneConstraintOf(c.mirror, job))
			got := c.scheduler.chooseMachine(request, search) != nil
			if want := map[bool]bool{false: tc.lowest, true: tc.service}[service]; got != want {
				t.Errorf("shard filled to %v of its limit, service %v: got machine %v, want %v",
					tc.filled, service, got, want)
			}
		}
	}
}

// TestWriteStaysWithinCompareLimit guards against a shard's write that the state service rejects because it
// compares too many records, and against one that takes fewer jobs than the limit allows.
func TestWriteStaysWithinCompareLimit(t *testing.T) {
	c := newTestController()
	limit := comparesPerTxnOp * c.scheduler.config.MaxTxnOps
	for claims := range 4 {
		update := shards.NewUpdate("p", nil, &storage.Shard{Jobs: map[string]*storage.ShardJob{}}, testFence)
		for i := range claims {
			update.AddCompare(testFence.Key, testFence.Version)
			update.AddCompare(storage.ScaleOutKey(mirror.TaskID{Job: "r", Index: i}.String()), 1)
		}
		candidate := newCandidateMachine(
			&mirror.Machine{ID: "i-1", CachedImages: map[string]bool{}},
			&storage.ShardMachine{Type: "m8", Zone: "a"}, resources.Vector{CPUs: 8}, update,
		)
		for i := range limit {
			job := &mirror.Job{ID: mirror.TaskID{Job: "j", Index: i}.String()}
			if !c.scheduler.machineRequest(job, ZoneConstraintOf(c.mirror, job)).Accepts(&candidate.Candidate) {
				break
			}
			update.BeginJob(job)
			update.AddCompare(storage.PartitionKey("n-0"), 1)
		}
		const shard, job = 1, 3 // compares of the shard, and of a job whose team has a limit
		if got := update.Compares() + shard; got > limit || got+job <= limit {
			t.Errorf("%d claims: got %d compares, want at most %d and no room for another job", claims, got, limit)
		}
	}
}
