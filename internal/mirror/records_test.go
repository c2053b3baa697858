package mirror

import (
	"slices"
	"testing"

	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
	"pipitgap/internal/storage/storagetest"
)

// TestMalformedRecords checks that a put with a malformed value changes nothing: the mirror keeps the
// record's previous version.
func TestMalformedRecords(t *testing.T) {
	records := []struct {
		kind  storage.Kind
		value any
	}{
		{storage.KindOpenJob, &storage.OpenJob{Spec: storage.JobSpec{Tasks: 2}}},
		{storage.KindShard, nil},
		{storage.KindPartition, &storage.Partition{}},
		{storage.KindScaleOut, &storage.ScaleOutRequest{Machines: []string{"i-1"}}},
		{storage.KindScaleIn, &storage.ScaleInRequest{Machines: []string{"i-1"}}},
		{storage.KindMachineType, &storage.MachineType{CPUs: 8}},
		{storage.KindMember, &storage.Member{Incarnation: 1}},
		{storage.KindLeader, &storage.Leader{Node: "n-1"}},
		{storage.KindDrain, &storage.Drain{State: storage.DrainActive}},
		{storage.KindPermits, &storage.Permits{}},
	}
	malformed := protocol.MustMarshal("no record")
	for _, record := range records {
		t.Run(string(record.kind), func(t *testing.T) {
			m := New()
			key := storage.Key(record.kind, "a")
			m.ApplyPut(key, malformed, 3)
			if got := m.VersionOf(key); got != 0 {
				t.Errorf("%s: got version %d for a malformed record, want 0", record.kind, got)
			}
			value := protocol.MustMarshal(record.value)
			if record.kind == storage.KindShard {
				value, _ = (&storage.Shard{Owner: "n-1", Claim: 1}).Encode()
			}
			m.ApplyPut(key, value, 4)
			m.ApplyPut(key, malformed, 5)
			if got := m.VersionOf(key); got != 4 {
				t.Errorf("%s: got version %d after a malformed record, want 4", record.kind, got)
			}
		})
	}
}

// TestOpenJobRecords checks that the mirror ignores a job record whose number of tasks is out of range or
// differs from the previous record's.
func TestOpenJobRecords(t *testing.T) {
	cases := []struct {
		name  string
		tasks []int
		want  uint64 // version in the mirror, 0: none; the records have versions 1, 2, ...
	}{
		{"no tasks", []int{0}, 0},
		{"negative number of tasks", []int{-1}, 0},
		{"maximum number of tasks", []int{protocol.MaxTasks}, 1},
		{"too many tasks", []int{protocol.MaxTasks + 1}, 0},
		{"update with the same number of tasks", []int{3, 3}, 2},
		{"update with a different number of tasks", []int{3, 4}, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			m := New()
			key := storage.OpenJobKey("a")
			for i, tasks := range tc.tasks {
				record := storage.OpenJob{Spec: storage.JobSpec{Tasks: tasks}}
				m.ApplyPut(key, protocol.MustMarshal(&record), uint64(i+1))
			}
			if got := m.VersionOf(key); got != tc.want {
				t.Errorf("records with %v tasks: got version %d, want %d", tc.tasks, got, tc.want)
			}
		})
	}
}

// TestMachinesOfRequests checks the indexes from machine to scale-out and scale-in request. A machine refers
// to the request that named it last, even after an earlier request that named it is deleted.
func TestMachinesOfRequests(t *testing.T) {
	kinds := []struct {
		kind   storage.Kind
		record func(machines ...string) any
		index  func(m *Mirror) map[string]string
	}{
		{
			storage.KindScaleOut,
			func(machines ...string) any { return &storage.ScaleOutRequest{Machines: machines} },
			func(m *Mirror) map[string]string { return m.ScaleOutOfMachine },
		},
		{
			storage.KindScaleIn,
			func(machines ...string) any { return &storage.ScaleInRequest{Machines: machines} },
			func(m *Mirror) map[string]string { return m.ScaleInOfMachine },
		},
	}
	for _, tc := range kinds {
		t.Run(string(tc.kind), func(t *testing.T) {
			m := New()
			first, second := storage.Key(tc.kind, "first"), storage.Key(tc.kind, "second")
			m.ApplyPut(first, protocol.MustMarshal(tc.record("i-1", "i-2")), 1)
			m.ApplyPut(second, protocol.MustMarshal(tc.record("i-2")), 2)
			m.ApplyPut(first, protocol.MustMarshal(tc.record("i-3")), 3)
			index := tc.index(m)
			if index["i-1"] != "" || index["i-2"] != "second" || index["i-3"] != "first" {
				t.Errorf("%s: got requests by machine %v, want i-2: second, i-3: first", tc.kind, index)
			}
			m.ApplyDelete(first, 4, false)
			if len(index) != 1 || index["i-2"] != "second" {
				t.Errorf("%s: got requests by machine %v after the first request's deletion, want i-2: second",
					tc.kind, index)
			}
		})
	}
}

// TestDeletions checks that a deletion removes a record unless the mirror has a newer version of it or the
// watch has passed the deletion's revision. The mirror reports no change if there is no such record.
func TestDeletions(t *testing.T) {
	cases := []struct {
		name    string
		version uint64 // of the deletion; the record has version 7, the watched revision is 5
		known   bool
		changes int
	}{
		{"older than the record", 6, true, 0},
		{"newer than the record", 8, true, 1},
		{"unknown record", 8, false, 0},
		{"at the watched revision", 5, true, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			m := New()
			m.ApplyEvents(nil, 5)
			key := storage.MemberKey("n-1")
			if tc.known {
				m.ApplyPut(key, protocol.MustMarshal(&storage.Member{Incarnation: 1}), 7)
			}
			changes := 0
			m.Observe(func(storage.Kind, string, bool) { changes++ }, func(string) {})
			m.ApplyDelete(key, tc.version, false)
			if changes != tc.changes {
				t.Errorf("deletion at version %d: got %d changes, want %d", tc.version, changes, tc.changes)
			}
			if got, want := m.VersionOf(key) != 0, tc.known && tc.changes == 0; got != want {
				t.Errorf("deletion at version %d: got record present %v, want %v", tc.version, got, want)
			}
		})
	}
}

// TestTaskInTwoShards checks that a task counts once while two shards hold it, as they may while its machine
// moves between them. It must not count after both shards are deleted.
func TestTaskInTwoShards(t *testing.T) {
	cases := []struct {
		name string
		job  storage.ShardJob
		want func(job *Job) int
	}{
		{
			"assigned",
			storage.ShardJob{Attempts: []storage.Attempt{{Task: 1, Machine: "i-1", Number: 7}}},
			func(job *Job) int { return job.AssignedTasks },
		},
		{
			"done",
			storage.ShardJob{Completed: storage.TaskSet{{First: 1, End: 2}}},
			func(job *Job) int { return job.DoneTasks },
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			m := New()
			job := storage.OpenJob{Spec: storage.JobSpec{Tasks: 3}}
			m.ApplyPut(storage.OpenJobKey("a"), protocol.MustMarshal(&job), 1)
			shard := storage.Shard{
				Owner:    "n-1",
				Machines: map[string]*storage.ShardMachine{"i-1": {State: storage.MachineOpen}},
				Jobs:     map[string]*storage.ShardJob{"a": &tc.job},
			}
			value, _ := shard.Encode()
			first, second := storage.ShardKey("first"), storage.ShardKey("second")
			steps := []struct {
				apply func()
				want  int
			}{
				{func() { m.ApplyPut(first, value, 2) }, 1},
				{func() { m.ApplyPut(second, value, 3) }, 1},
				{func() { m.ApplyDelete(first, 4, false) }, 1},
				{func() { m.ApplyDelete(second, 5, false) }, 0},
			}
			for i, step := range steps {
				step.apply()
				if got := tc.want(m.Jobs["a"]); got != step.want {
					t.Errorf("after step %d: got %d %s tasks, want %d", i+1, got, tc.name, step.want)
				}
			}
		})
	}
}

// TestDuplicatedTasksAreFound guards against a second attempt of a task that is not noticed, and against a
// report of a machine that moves between shards in one revision.
func TestDuplicatedTasksAreFound(t *testing.T) {
	first, second := storage.ShardKey("first"), storage.ShardKey("second")
	running := storagetest.Shard("i-1", "a", 2, 0)
	elsewhere := storagetest.Shard("i-2", "a", 1, 0)
	empty := storagetest.Shard("i-9", "b", 0, 0)
	for _, tc := range []struct {
		name  string
		apply func(m *Mirror)
		want  []TaskID
	}{
		{"one shard", func(m *Mirror) { m.ApplyPut(first, running, 2) }, nil},
		{"another attempt in a second shard", func(m *Mirror) {
			m.ApplyPut(first, running, 2)
			m.ApplyPut(second, elsewhere, 3)
		}, []TaskID{{"a", 0}}},
		{"second attempt ended", func(m *Mirror) {
			m.ApplyPut(first, running, 2)
			m.ApplyPut(second, elsewhere, 3)
			m.ApplyPut(second, empty, 4)
		}, nil},
		{"machine moved", func(m *Mirror) {
			m.ApplyPut(second, running, 2)
			m.ApplyRevision([]protocol.Event{
				{Put: first, Value: running, Version: 3}, {Put: second, Value: empty, Version: 3},
			}, false)
		}, nil},
	} {
		m := New()
		putJob(m, "a", 2, 1)
		tc.apply(m)
		if got := m.DuplicatedTasks(m.Shards["first"]); !slices.Equal(got, tc.want) {
			t.Errorf("%s: got duplicated tasks %v, want %v", tc.name, got, tc.want)
		}
		if got := m.IsDuplicated(TaskID{"a", 0}); got != (len(tc.want) > 0) {
			t.Errorf("%s: got task 0 duplicated %t, want %t", tc.name, got, len(tc.want) > 0)
		}
		if got, want := len(m.AttemptsOf(TaskID{"a", 0})), 1+len(tc.want); got != want {
			t.Errorf("%s: got %d attempts of task 0, want %d", tc.name, got, want)
		}
	}
}
