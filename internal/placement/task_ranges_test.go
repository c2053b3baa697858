package placement

import (
	"testing"

	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

// TestTaskHandOverIsNotStarvedByStealing: a service that its partition has no room for is handed on as
// soon as that may be written again, however often the partition takes tasks of others:
// an attempt in between doesn't cost it its turn.
func TestTaskHandOverIsNotStarvedByStealing(t *testing.T) {
	const second = monotime.Second
	c := newTestController()
	now := c.now
	id, array := "j-900000", "j-900001"
	for name, spec := range map[string]storage.JobSpec{
		id:    {Team: "free", Service: true, Priority: 2, Tasks: 1, CPUs: 4},
		array: {Team: "free", Priority: 1, Tasks: 4, CPUs: 2, Spot: true},
	} {
		c.mirror.Jobs[name] = &mirror.Job{
			ID:            name,
			Version:       1,
			TaskStates:    make([]uint8, spec.Tasks),
			TaskResources: resources.Vector{CPUs: spec.CPUs},
			Record: storage.OpenJob{
				Spec:       spec,
				TaskRanges: []storage.TaskRange{{First: 0, End: spec.Tasks, Partition: "n-0"}},
			},
		}
	}
	c.scheduler.JobAccepted(id, 1)
	other := &mirror.Shard{
		Name:      "n-1.1",
		Record:    &storage.Shard{Owner: "n-1"},
		UseByTeam: map[string]resources.Vector{},
	}
	c.mirror.Machines["i-9"] = &mirror.Machine{
		ID:       "i-9",
		Shard:    other,
		Used:     resources.Vector{CPUs: 8},
		Attempts: map[mirror.TaskID]uint64{},
		Record:   &storage.ShardMachine{Type: "m8", Zone: "a", State: storage.MachineOpen},
	}
	for i := 0; i < 4; i++ {
		c.mirror.Machines["i-9"].Attempts[mirror.TaskID{Job: array, Index: i}] = 1
	}
	c.scheduler.nextWorkStealAt = now + second
	c.scheduler.placeTasks(nil, now)
	if c.recordWrites[id] {
		t.Error("handed on before a change may be spent on it")
	}
	c.scheduler.placeTasks(nil, now+second/2)
	c.now = now + second
	c.scheduler.nextWorkStealAt = c.now
	c.scheduler.placeTasks(nil, c.now)
	if !c.recordWrites[id] {
		t.Error("not handed on at the first turn that may")
	}
}
