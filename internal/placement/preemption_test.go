package placement

import (
	"testing"

	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/resources"
	"pipitgap/internal/shards"
	"pipitgap/internal/storage"
)

// TestPreemptedRoomIsReservedForPreemptor guards against other jobs taking the free room of a machine on
// which tasks are being stopped for a job: more tasks would then have to be stopped. The reservation ends
// with the preemption.
func TestPreemptedRoomIsReservedForPreemptor(t *testing.T) {
	const second = monotime.Second
	c := newTestController()
	now := c.now
	newJob := func(id string, service bool, cpus float64) *mirror.Job {
		job := &mirror.Job{
			ID:            id,
			Version:       1,
			TaskStates:    make([]uint8, 1),
			TaskResources: resources.Vector{CPUs: cpus},
			Record: storage.OpenJob{
				Spec: storage.JobSpec{Team: "free", Service: service, Tasks: 1, CPUs: cpus},
			},
		}
		c.mirror.Jobs[id] = job
		return job
	}
	service, array := newJob("j-900000", true, 4), newJob("j-900001", false, 2)
	newCandidate := func(id string) *candidateMachine {
		return newCandidateMachine(
			&mirror.Machine{ID: id, CachedImages: map[string]bool{}},
			&storage.ShardMachine{Type: "m8", Zone: "a"},
			resources.Vector{CPUs: 2},
			shards.NewUpdate("n-0.1", nil, &storage.Shard{Jobs: map[string]*storage.ShardJob{}}, testFence),
		)
	}
	candidates := []*candidateMachine{newCandidate("i-1"), newCandidate("i-2")}
	c.scheduler.preemptions[service.ID] = &pendingPreemption{now + second, map[string]bool{"i-1": true}}
	c.scheduler.reservePreemptedRoom(candidates, now)
	choose := func(job *mirror.Job) *candidateMachine {
		request := c.scheduler.machineRequest(job, ZoneConstraintOf(c.mirror, array))
		return c.scheduler.chooseMachine(request, machineSearch{candidates: candidates})
	}
	for i := 0; i < 4; i++ {
		if candidate := choose(array); candidate != candidates[1] {
			t.Fatalf("got candidate %v for an array task, want %s, which is not reserved for the service",
				candidate, candidates[1].MachineID)
		}
	}
	if n := tasksThatFit(array, candidates); n != 1 {
		t.Errorf("got room for %d tasks of other jobs, want 1", n)
	}
	candidates[0].Free = resources.Vector{CPUs: 4} // the stopped tasks have ended
	if candidate := choose(service); candidate != candidates[0] {
		t.Errorf("got candidate %v for the service, want %s, where room was made for it",
			candidate, candidates[0].MachineID)
	}
	c.scheduler.reservePreemptedRoom(candidates, now+2*second)
	if candidates[0].ReservedForJob != "" {
		t.Errorf("got machine %s reserved for %s after the preemption expired, want no reservation",
			candidates[0].MachineID, candidates[0].ReservedForJob)
	}
}
