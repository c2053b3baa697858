package mirror

import (
	"fmt"
	"runtime"
	"testing"

	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
	"pipitgap/internal/storage/storagetest"
)

// TestMirrorIsIndependentOfEventOrder: changes in any order, own commits ahead of the watch, shards before
// their jobs, machines that move: the sums end up the same, and nothing goes back.
func TestMirrorIsIndependentOfEventOrder(t *testing.T) {
	jobKey := storage.OpenJobKey("j-1")
	shardKeyP, shardKeyQ := storage.ShardKey("p"), storage.ShardKey("q")
	shardWithoutMachine := storagetest.Shard("i-9", "j-9", 0, 0)
	steps := map[string]func(mr *Mirror){
		"job":      func(mr *Mirror) { putJob(mr, "j-1", 6, 5) },
		"page":     func(mr *Mirror) { mr.ApplyPut(shardKeyP, storagetest.Shard("i-1", "j-1", 4, 2), 6) },
		"old page": func(mr *Mirror) { mr.ApplyPut(shardKeyP, storagetest.Shard("i-2", "j-1", 4, 0), 4) },
		"drops":    func(mr *Mirror) { mr.ApplyDelete(shardKeyP, 9, true); mr.ApplyDelete(jobKey, 9, true) },
		"late": func(mr *Mirror) {
			mr.ApplyEvents(
				[]protocol.Event{{Put: shardKeyP, Value: storagetest.Shard("i-1", "j-1", 4, 2), Version: 6}},
				8,
			)
		},
		"move": func(mr *Mirror) {
			mr.ApplyEvents(
				[]protocol.Event{
					{Put: shardKeyQ, Value: storagetest.Shard("i-1", "j-1", 4, 2), Version: 8},
					{Put: shardKeyP, Value: shardWithoutMachine, Version: 8},
				},
				8,
			)
		},
		"move, the other order": func(mr *Mirror) {
			mr.ApplyEvents(
				[]protocol.Event{
					{Put: shardKeyP, Value: shardWithoutMachine, Version: 8},
					{Put: shardKeyQ, Value: storagetest.Shard("i-1", "j-1", 4, 2), Version: 8},
				},
				8,
			)
		},
		"own move": func(mr *Mirror) {
			mr.ApplyRevision(
				[]protocol.Event{
					{Put: shardKeyQ, Value: storagetest.Shard("i-1", "j-1", 4, 2), Version: 8},
					{Put: shardKeyP, Value: shardWithoutMachine, Version: 8},
				},
				true,
			)
		},
		"drops, by the watch": func(mr *Mirror) {
			mr.ApplyEvents([]protocol.Event{{Delete: shardKeyP, Version: 9}, {Delete: jobKey, Version: 9}}, 9)
		},
		"page drops, by the watch": func(mr *Mirror) { mr.ApplyEvents([]protocol.Event{{Delete: shardKeyP, Version: 9}}, 9) },
		"an older answer of the watch": func(mr *Mirror) {
			mr.ApplyEvents(
				[]protocol.Event{
					{Put: jobKey, Value: storagetest.OpenJob(6), Version: 5},
					{Put: shardKeyP, Value: storagetest.Shard("i-1", "j-1", 4, 2), Version: 6},
				},
				6,
			)
		},
		"a late answer to an own commit": func(mr *Mirror) {
			mr.ApplyRevision(
				[]protocol.Event{{Put: shardKeyP, Value: storagetest.Shard("i-1", "j-1", 4, 2), Version: 6}},
				true,
			)
		},
	}
	cases := []struct {
		order      []string
		assigned   int
		jobRemains bool // though nothing of it is held
	}{
		{[]string{"job", "page"}, 4, false},
		{[]string{"page", "job"}, 4, false},
		{[]string{"page", "job", "old page"}, 4, false},
		{[]string{"page", "old page", "job"}, 4, false},
		{[]string{"job", "page", "page", "job"}, 4, false},
		{[]string{"job", "page", "move"}, 4, false},
		{[]string{"job", "page", "move, the other order"}, 4, false},
		{[]string{"page", "own move", "job"}, 4, false},
		{[]string{"job", "page", "drops"}, 0, false},
		{[]string{"job", "page", "drops", "late"}, 0, false},
		{[]string{"job", "page", "drops, by the watch", "an older answer of the watch"}, 0, false},
		{[]string{"job", "page", "page drops, by the watch", "a late answer to an own commit"}, 0, true},
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
		if cpus := float64(2 * tc.assigned); mr.UseByTeam["t"].CPUs != cpus || machineCPUs != cpus ||
			assigned != tc.assigned ||
			assigned > 0 && done != 2 ||
			mr.Machines["i-2"] != nil {
			t.Errorf(
				"%v: team %v, machine %v, held %d, done %d",
				tc.order,
				mr.UseByTeam["t"],
				machineCPUs,
				assigned,
				done,
			)
		}
		if tc.assigned == 0 && (mr.Shards["p"] != nil || (len(mr.Jobs) > 0) != tc.jobRemains) {
			t.Errorf("%v: a dropped job or page is back", tc.order)
		}
	}
}

// TestMirrorMemoryStaysBounded: the most jobs that are taken at once, with their rows, and the
// answers remembered, stay well within the smaller deployment's 98 MB.
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
		mr.Results.Add(fmt.Sprintf("j-%09d", i), storage.JobDone)
	}
	if used := measure() - before; used > 64<<20 {
		t.Errorf("%d MB", used>>20)
	}
	if n := len(mr.Results.finalStates); n > mr.Results.capacity*9/8 || len(mr.Results.insertionOrder) != n {
		t.Errorf("%d answers remembered", n)
	}
	runtime.KeepAlive(mr)
}

func putJob(mr *Mirror, id string, tasks int, version uint64) {
	mr.ApplyPut(storage.OpenJobKey(id), storagetest.OpenJob(tasks), version)
}
