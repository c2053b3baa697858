package mirror

import (
	"testing"

	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// TestMalformedRecords: a record that can't be read changes nothing, and the one before stays.
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
				t.Errorf("a malformed record has version %d", got)
			}
			value := protocol.MustMarshal(record.value)
			if record.kind == storage.KindShard {
				value, _ = (&storage.Shard{Owner: "n-1", Claim: 1}).Encode()
			}
			m.ApplyPut(key, value, 4)
			m.ApplyPut(key, malformed, 5)
			if got := m.VersionOf(key); got != 4 {
				t.Errorf("version %d after a malformed record, want 4", got)
			}
		})
	}
}

// TestOpenJobRecords: records of jobs with a number of tasks out of bounds, or another than before, change
// nothing.
func TestOpenJobRecords(t *testing.T) {
	cases := []struct {
		name  string
		tasks []int
		want  uint64 // version in the mirror; the records have versions from 1
	}{
		{"no tasks", []int{0}, 0},
		{"negative", []int{-1}, 0},
		{"as many as may be", []int{protocol.MaxTasks}, 1},
		{"too many", []int{protocol.MaxTasks + 1}, 0},
		{"changed", []int{3, 3}, 2},
		{"changed with another number", []int{3, 4}, 1},
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
				t.Errorf("version %d, want %d", got, tc.want)
			}
		})
	}
}

// TestMachinesOfRequests: a machine belongs to the request that named it last, also after an earlier one is
// deleted.
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
				t.Errorf("machines belong to %v", index)
			}
			m.ApplyDelete(first, 4, false)
			if len(index) != 1 || index["i-2"] != "second" {
				t.Errorf("machines belong to %v after a deletion", index)
			}
		})
	}
}

// TestDeletions: a deletion removes a record unless the mirror has a newer version of it, and reports no
// change of a record that isn't there.
func TestDeletions(t *testing.T) {
	cases := []struct {
		name    string
		version uint64 // of the deletion; the record has 7, the watch has passed 5
		known   bool
		changes int
	}{
		{"before the record", 6, true, 0},
		{"after the record", 8, true, 1},
		{"unknown record", 8, false, 0},
		{"passed by the watch", 5, true, 0},
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
			m.Observe(func(storage.Kind, string) { changes++ }, func(string) {})
			m.ApplyDelete(key, tc.version, false)
			if changes != tc.changes {
				t.Errorf("%d changes, want %d", changes, tc.changes)
			}
			if got, want := m.VersionOf(key) != 0, tc.known && tc.changes == 0; got != want {
				t.Errorf("the record is there: %v, want %v", got, want)
			}
		})
	}
}

// TestTaskInTwoShards: while two shards have a task, as when its machine moves, it counts once; it counts no
// longer when both are gone.
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
					t.Errorf("%d tasks after step %d, want %d", got, i+1, step.want)
				}
			}
		})
	}
}
