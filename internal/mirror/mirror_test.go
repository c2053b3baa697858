package mirror

import (
	"fmt"
	"runtime"
	"testing"

	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
	"pipitgap/internal/storage/storagetest"
)

// TestMirrorIsIndependentOfEventOrder checks that the aggregates don't depend on the order of changes and
// that late changes don't overwrite newer ones. Own commits can be ahead of the watch, shards can arrive
// before their jobs, and machines can move between shards.
func TestMirrorIsIndependentOfEventOrder(t *testing.T) {
	jobKey := storage.OpenJobKey("j-1")
	shardKeyP, shardKeyQ := storage.ShardKey("p"), storage.ShardKey("q")
	shardWithoutMachine := storagetest.Shard("i-9", "j-9", 0, 0)
	steps := map[string]func(mr *Mirror){
		"put job":         func(mr *Mirror) { putJob(mr, "j-1", 6, 5) },
		"put shard":       func(mr *Mirror) { mr.ApplyPut(shardKeyP, storagetest.Shard("i-1", "j-1", 4, 2), 6) },
		"put older shard": func(mr *Mirror) { mr.ApplyPut(shardKeyP, storagetest.Shard("i-2", "j-1", 4, 0), 4) },
		"own deletions":   func(mr *Mirror) { mr.ApplyDelete(shardKeyP, 9, true); mr.ApplyDelete(jobKey, 9, true) },
		"late watch puts shard": func(mr *Mirror) {
			mr.ApplyEvents(
				[]protocol.Event{{Put: shardKeyP, Value: storagetest.Shard("i-1", "j-1", 4, 2), Version: 6}},
				8,
			)
		},
		"watch moves machine, new shard first": func(mr *Mirror) {
			mr.ApplyEvents(
				[]protocol.Event{
					{Put: shardKeyQ, Value: storagetest.Shard("i-1", "j-1", 4, 2), Version: 8},
					{Put: shardKeyP, Value: shardWithoutMachine, Version: 8},
				},
				8,
			)
		},
		"watch moves machine, old shard first": func(mr *Mirror) {
			mr.ApplyEvents(
				[]protocol.Event{
					{Put: shardKeyP, Value: shardWithoutMachine, Version: 8},
					{Put: shardKeyQ, Value: storagetest.Shard("i-1", "j-1", 4, 2), Version: 8},
				},
				8,
			)
		},
		"own commit moves machine": func(mr *Mirror) {
			mr.ApplyRevision(
				[]protocol.Event{
					{Put: shardKeyQ, Value: storagetest.Shard("i-1", "j-1", 4, 2), Version: 8},
					{Put: shardKeyP, Value: shardWithoutMachine, Version: 8},
				},
				true,
			)
		},
		"watch deletes shard and job": func(mr *Mirror) {
			mr.ApplyEvents([]protocol.Event{{Delete: shardKeyP, Version: 9}, {Delete: jobKey, Version: 9}}, 9)
		},
		"watch deletes shard": func(mr *Mirror) { mr.ApplyEvents([]protocol.Event{{Delete: shardKeyP, Version: 9}}, 9) },
		"older watch puts job and shard": func(mr *Mirror) {
			mr.ApplyEvents(
				[]protocol.Event{
					{Put: jobKey, Value: storagetest.OpenJob(6), Version: 5},
					{Put: shardKeyP, Value: storagetest.Shard("i-1", "j-1", 4, 2), Version: 6},
				},
				6,
			)
		},
		"late own commit puts shard": func(mr *Mirror) {
			mr.ApplyRevision(
				[]protocol.Event{{Put: shardKeyP, Value: storagetest.Shard("i-1", "j-1", 4, 2), Version: 6}},
				true,
			)
		},
	}
	cases := []struct {
		order      []string
		assigned   int
		jobRemains bool // the job's record remains although no task is assigned
	}{
		{[]string{"put job", "put shard"}, 4, false},
		{[]string{"put shard", "put job"}, 4, false},
		{[]string{"put shard", "put job", "put older shard"}, 4, false},
		{[]string{"put shard", "put older shard", "put job"}, 4, false},
		{[]string{"put job", "put shard", "put shard", "put job"}, 4, false},
		{[]string{"put job", "put shard", "watch moves machine, new shard first"}, 4, false},
		{[]string{"put job", "put shard", "watch moves machine, old shard first"}, 4, false},
		{[]string{"put shard", "own commit moves machine", "put job"}, 4, false},
		{[]string{"put job", "put shard", "own deletions"}, 0, false},
		{[]string{"put job", "put shard", "own deletions", "late watch puts shard"}, 0, false},
		{
			[]string{"put job", "put shard", "watch deletes shard and job", "older watch puts job and shard"},
			0, false,
		},
		{
			[]string{"put job", "put shard", "watch deletes shard", "late own commit puts shard"},
			0, true,
		},
	}
	for _, tc := range cases {
		mr := New()
		for _, s := range tc.order {
			steps[s](mr)
		}
		machineCPUs, assigned, done := 0.0, 0, 0
		if m := mr.Machines["i-1"]; m != nil {
			machineCPUs = m.Used.CPUs
		}
		if job := mr.Jobs["j-1"]; job != nil {
			assigned, done = job.AssignedTasks, job.DoneTasks
		}
		if cpus := float64(2 * tc.assigned); mr.UsageByTeam["t"].CPUs != cpus || machineCPUs != cpus ||
			assigned != tc.assigned ||
			assigned > 0 && done != 2 ||
			mr.Machines["i-2"] != nil {
			t.Errorf(
				"%q: got team usage %v, want %v CPUs; got %v CPUs on machine i-1, want %v; "+
					"got %d assigned tasks, want %d; got %d done tasks, want 2 with assigned ones; "+
					"got machine i-2 present %v, want false",
				tc.order,
				mr.UsageByTeam["t"],
				cpus,
				machineCPUs,
				cpus,
				assigned,
				tc.assigned,
				done,
				mr.Machines["i-2"] != nil,
			)
		}
		if tc.assigned == 0 && (mr.Shards["p"] != nil || (len(mr.Jobs) > 0) != tc.jobRemains) {
			t.Errorf("%q: got shard p present %v, want absent; got %d jobs, want jobs to remain %v",
				tc.order, mr.Shards["p"] != nil, len(mr.Jobs), tc.jobRemains)
		}
	}
}

// TestMirrorMemoryStaysBounded checks the heap use of a mirror with the maximum number of open jobs, a shard
// for each and a full result cache. It must stay well within the 98 MB of the smaller deployment.
func TestMirrorMemoryStaysBounded(t *testing.T) {
	measure := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := measure()
	mr := New()
	for i := 0; i < MaxOpenJobs; i++ {
		id := fmt.Sprintf("j-%06d", i)
		putJob(mr, id, 64, uint64(3*i+1))
		mr.ApplyPut(
			storage.ShardKey(id),
			storagetest.Shard(fmt.Sprintf("i-%06d", i), id, 32, 32),
			uint64(3*i+2),
		)
	}
	for i := 0; i < 200_000; i++ {
		mr.Results.Add(fmt.Sprintf("j-%09d", i), Result{State: storage.JobDone})
	}
	if used := measure() - before; used > 64<<20 {
		t.Errorf("mirror with %d open jobs: got %d MB of heap, want at most 64", MaxOpenJobs, used>>20)
	}
	if n := len(mr.Results.results); n > mr.Results.capacity*9/8 || len(mr.Results.insertionOrder) != n {
		t.Errorf("result cache: got %d states and %d insertion entries, want equal numbers, at most %d",
			n, len(mr.Results.insertionOrder), mr.Results.capacity*9/8)
	}
	runtime.KeepAlive(mr)
}

func putJob(mr *Mirror, id string, tasks int, version uint64) {
	mr.ApplyPut(storage.OpenJobKey(id), storagetest.OpenJob(tasks), version)
}
