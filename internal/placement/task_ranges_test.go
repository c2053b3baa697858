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

// TestTaskHandOverIsNotStarvedByStealing guards against a service that waits in a partition without room
// because work stealing uses up the writes. The service is handed over as soon as a write is allowed; a
// refused attempt must not delay the next one.
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
		Name:        "n-1.1",
		Record:      &storage.Shard{Owner: "n-1"},
		UsageByTeam: map[string]resources.Vector{},
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
		t.Errorf("job %s: got a handover before a write is allowed, want none", id)
	}
	c.scheduler.placeTasks(nil, now+second/2)
	c.now = now + second
	c.scheduler.nextWorkStealAt = c.now
	c.scheduler.placeTasks(nil, c.now)
	if !c.recordWrites[id] {
		t.Errorf("job %s: got no handover in the first pass in which a write is allowed, want one", id)
	}
}

// TestOrphanedTasksAreAdopted checks that the adopting controller of a job takes over the ranges of a
// partition whose controller is gone or does not reach its workers. Other ranges stay.
func TestOrphanedTasksAreAdopted(t *testing.T) {
	nodeSet := func(node string) map[string]bool { return map[string]bool{node: true} }
	for _, tc := range []struct {
		name   string
		change func(*testController)
		want   []storage.TaskRange // nil: unchanged
	}{
		{"all controllers are members", func(*testController) {}, nil},
		{"one controller is gone", func(c *testController) { c.absent = nodeSet("n-1") }, []storage.TaskRange{
			{First: 0, End: 4, Partition: "n-0"}, {First: 4, End: 6, Partition: "n-2"},
		}},
		{"one controller is cut off from its workers", func(c *testController) { c.cutOff = nodeSet("n-2") }, []storage.TaskRange{
			{First: 0, End: 2, Partition: "n-0"}, {First: 2, End: 4, Partition: "n-1"},
			{First: 4, End: 6, Partition: "n-0"},
		}},
		{"a write of the job record is in flight", func(c *testController) {
			c.absent = nodeSet("n-1")
			for id := range c.mirror.Jobs {
				c.recordWrites.Begin(id)
			}
		}, nil},
		{"the mirror is behind the job record", func(c *testController) {
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
					t.Errorf("got reassigned ranges %v, want no reassignment", c.reassigned[0].TaskRanges)
				}
				return
			}
			// Only one job is reassigned: the next write is allowed later.
			if len(c.reassigned) != 1 || !slices.Equal(c.reassigned[0].TaskRanges, tc.want) {
				t.Fatalf("got reassigned records %+v, want one with ranges %v", c.reassigned, tc.want)
			}
		})
	}
}
