package placement

import (
	"fmt"
	"slices"
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

// TestOrphanedTasksAreAdopted: the ranges of a partition whose controller has gone, or doesn't reach its
// machines, go to the job's successor; those of others stay.
func TestOrphanedTasksAreAdopted(t *testing.T) {
	nodeSet := func(node string) map[string]bool { return map[string]bool{node: true} }
	for _, tc := range []struct {
		name   string
		change func(*testController)
		want   []storage.TaskRange // nil: unchanged
	}{
		{"all are there", func(*testController) {}, nil},
		{"one has gone", func(c *testController) { c.absent = nodeSet("n-1") }, []storage.TaskRange{
			{First: 0, End: 4, Partition: "n-0"}, {First: 4, End: 6, Partition: "n-2"},
		}},
		{"one is cut off from its workers", func(c *testController) { c.cutOff = nodeSet("n-2") }, []storage.TaskRange{
			{First: 0, End: 2, Partition: "n-0"}, {First: 2, End: 4, Partition: "n-1"},
			{First: 4, End: 6, Partition: "n-0"},
		}},
		{"a write of the record is in flight", func(c *testController) {
			c.absent = nodeSet("n-1")
			for id := range c.mirror.Jobs {
				c.recordWrites.Begin(id)
			}
		}, nil},
		{"the mirror is behind", func(c *testController) {
			c.absent = nodeSet("n-1")
			c.mirror.WatchedRevision = 0
		}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newTestController()
			var jobs []*mirror.Job
			for i := range 30 {
				job := &mirror.Job{
					ID:         fmt.Sprintf("j-%06d", i),
					Version:    1,
					TaskStates: make([]uint8, 6),
					Record: storage.OpenJob{
						Spec: storage.JobSpec{Tasks: 6},
						TaskRanges: []storage.TaskRange{
							{First: 0, End: 2, Partition: "n-0"}, {First: 2, End: 4, Partition: "n-1"},
							{First: 4, End: 6, Partition: "n-2"},
						},
					},
				}
				c.mirror.Jobs[job.ID] = job
				jobs = append(jobs, job)
			}
			tc.change(c)
			c.scheduler.adoptOrphanedTasks(jobs, c.now)
			if tc.want == nil {
				if len(c.reassigned) > 0 {
					t.Errorf("reassigned: %v", c.reassigned[0].TaskRanges)
				}
				return
			}
			// One at a time: the next write is allowed later.
			if len(c.reassigned) != 1 || !slices.Equal(c.reassigned[0].TaskRanges, tc.want) {
				t.Fatalf("reassigned: %+v, want %v once", c.reassigned, tc.want)
			}
		})
	}
}
